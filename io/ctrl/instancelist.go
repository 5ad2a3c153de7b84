package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/member"
	"wasabiweir/io/serve"
)

const (
	// instanceListInterval is the time between two reads of the platform's instance list, and instanceListTimeout
	// bounds one read.
	instanceListInterval = time.Second
	instanceListTimeout  = 2 * time.Second
	// maxInstanceListBytes is the largest instance list that is read; one of 2,000 instances has about 200 KB.
	maxInstanceListBytes = 4 << 20
	// maxInstanceListHeader bounds the response header in bytes.
	maxInstanceListHeader = 64 << 10
)

// instanceListClient reads instance lists.
var instanceListClient = serve.NewUnpooledClient(maxInstanceListHeader)

// loopInstanceList reads the platform's instance list every instanceListInterval until ctx ends. Of several failed
// reads in a row only the first is logged.
func (c *Control) loopInstanceList(ctx context.Context) error {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if c.InstanceList == "" {
			continue
		}
		err := c.fetchInstanceList(ctx)
		if err != nil {
			c.countListFailure(err, !failing)
		}
		failing = err != nil
	}
}

// countListFailure counts a failed read of the instance list by its reason, and logs it if log is set.
func (c *Control) countListFailure(err error, log bool) {
	reason := serve.FailureReason(err)
	if c.Metrics != nil {
		c.Metrics.Tagged(map[string]string{"reason": reason}).Counter("instance-list-failures").Inc(1)
	}
	if log {
		c.Log.Warn("instance-list-not-read", zap.String("reason", reason), zap.Error(err))
	}
}

// fetchInstanceList reads the platform's instance list and stores it; after a failed read the previous list stays in
// use.
func (c *Control) fetchInstanceList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, instanceListTimeout)
	defer cancel()
	startedAt := c.Clock.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.InstanceList, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	res, err := instanceListClient.Do(req)
	if err != nil {
		return fmt.Errorf("read instance list: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("the instance list answered %s", res.Status)
	}
	var list []member.ListedInstance
	if err := json.NewDecoder(serve.LimitBody(res.Body, maxInstanceListBytes)).Decode(&list); err != nil {
		return fmt.Errorf("decode instance list: %w", err)
	}
	c.routers.mu.Lock()
	defer c.routers.mu.Unlock()
	c.routers.table.SetInstances(list, startedAt)
	c.routers.hasLeavingInstances = slices.ContainsFunc(list, func(i member.ListedInstance) bool { return i.State == member.StateLeaving })
	return nil
}
