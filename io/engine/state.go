package engine

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Names of the engine's Prometheus metrics from which its load report is read.
const (
	metricRunning = "vllm:num_requests_running"
	metricWaiting = "vllm:num_requests_waiting"
	metricUsage   = "vllm:kv_cache_usage_perc"
)

// LoadReport is an engine's load: the numbers of running and waiting requests, and the used share of the KV cache from
// 0 to 1. Software is the engine's software version, empty if it reports none.
type LoadReport struct {
	Running int
	Waiting int
	Usage   float64

	Software string
}

// Metrics reads the engine's load from GET /metrics. The error is an *Error.
func (c *Client) Metrics(ctx context.Context) (LoadReport, error) {
	body, header, err := c.readReply(ctx, http.MethodGet, "/metrics", nil)
	if err != nil {
		return LoadReport{}, err
	}
	sums, err := parseMetrics(body)
	if err != nil {
		return LoadReport{}, &Error{Kind: KindProtocol, Sent: true, Err: err}
	}
	return LoadReport{Running: int(sums[metricRunning]), Waiting: int(sums[metricWaiting]), Usage: sums[metricUsage], Software: reportedSoftware(header)}, nil
}

// parseMetrics parses an engine's page in the Prometheus text format and returns the metrics that the load report
// needs, each summed over all labels.
func parseMetrics(page []byte) (map[string]float64, error) {
	sums := make(map[string]float64)
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		line := lines.Text()
		end := strings.IndexAny(line, "{ ")
		if end < 0 {
			continue
		}
		name := line[:end]
		if name != metricRunning && name != metricWaiting && name != metricUsage {
			continue
		}
		rest := line[end:]
		if i := strings.LastIndexByte(rest, '}'); i >= 0 {
			rest = rest[i+1:]
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			return nil, eris.Errorf("metric %s has no value", name)
		}
		v, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return nil, fmt.Errorf("metric %s: %w", name, err)
		}
		sums[name] += v
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read metrics page: %w", err)
	}
	if _, ok := sums[metricRunning]; !ok {
		return nil, eris.Errorf("metric %s is missing", metricRunning)
	}
	return sums, nil
}

// Model is a model, or an adapter of a model, that an engine serves. Parent is the base model of an adapter.
type Model struct {
	ID     string `json:"id"`
	Parent string `json:"parent"`
}

// Models returns the models and adapters that the engine serves. The error is an *Error.
func (c *Client) Models(ctx context.Context) ([]Model, error) {
	var reply struct {
		Data []Model `json:"data"`
	}
	if err := c.callJSON(ctx, http.MethodGet, "/v1/models", nil, &reply); err != nil {
		return nil, err
	}
	return reply.Data, nil
}

// Fencing is the fencing number of a control order to an engine: the Raft term of the leader that sent it and the log
// index of that leader's first entry in the term.
type Fencing struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Actions of control orders to an engine.
const (
	ActionLoadModel     = "load-model"
	ActionUnloadModel   = "unload-model"
	ActionLoadAdapter   = "load-adapter"
	ActionUnloadAdapter = "unload-adapter"
	ActionSetRole       = "set-role"
)

// Order is a control order to an engine: a command to load or unload a model or an adapter, or to set the engine's
// role. To load an adapter, Model names its base model.
type Order struct {
	Fencing Fencing `json:"fencing"`
	Action  string  `json:"action"`
	Model   string  `json:"model,omitempty"`
	Adapter string  `json:"adapter,omitempty"`
	Version string  `json:"version,omitempty"`
	Role    string  `json:"role,omitempty"`
}

// StateReady is the state of a model or an adapter that the engine has finished loading.
const StateReady = "ready"

// OrderItem is a model or an adapter that control orders have loaded in an engine. Model is the base model of an
// adapter.
type OrderItem struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
	State   string `json:"state"`
}

// OrderState is the state that control orders have set up in an engine. Fencing is the fencing number of the order
// applied last, and Highest the highest fencing number that the engine has seen.
type OrderState struct {
	Fencing  Fencing     `json:"fencing"`
	Highest  Fencing     `json:"highest-fencing"`
	Applied  int         `json:"applied"`
	Role     string      `json:"role"`
	Models   []OrderItem `json:"models"`
	Adapters []OrderItem `json:"adapters"`
}

// CodeStaleFencing is the error code with which an engine refuses a control order that has an outdated fencing number.
const CodeStaleFencing = "stale_fencing"

// SendOrder sends a control order to the engine and returns the state that orders have set up after it. The error is
// an *Error.
func (c *Client) SendOrder(ctx context.Context, o Order) (OrderState, error) {
	var s OrderState
	err := c.callJSON(ctx, http.MethodPost, "/v1/orders", o, &s)
	return s, err
}

// ReadOrders returns the state that control orders have set up in the engine. The error is an *Error.
func (c *Client) ReadOrders(ctx context.Context) (OrderState, error) {
	var s OrderState
	err := c.callJSON(ctx, http.MethodGet, "/v1/orders", nil, &s)
	return s, err
}

// Types of events of an engine's prefix cache.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
)

// CacheEvent reports which blocks were stored in or removed from an engine's prefix cache. A gap between the sequence
// numbers of two events means that events were lost.
type CacheEvent struct {
	Seq             uint64   `json:"seq"`
	Type            string   `json:"type"`
	Model           string   `json:"model"`
	BlockHashes     []uint64 `json:"block_hashes"`
	ParentBlockHash uint64   `json:"parent_block_hash"`
	TokenIDs        []uint32 `json:"token_ids"`
	BlockSize       int      `json:"block_size"`
}

// CacheEventBatch is a batch of an engine's cache events. LastSeq is the greatest sequence number that the engine has
// published; if it is below the number asked for, the engine has restarted.
type CacheEventBatch struct {
	Events  []CacheEvent `json:"events"`
	LastSeq uint64       `json:"last"`
}

// CacheEvents returns the engine's published prefix cache events whose sequence numbers are above after. The error is
// an *Error.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEventBatch, error) {
	var e CacheEventBatch
	err := c.callJSON(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &e)
	return e, err
}
