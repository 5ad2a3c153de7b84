package ctrl

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"wasabiweir/core/config"
	"wasabiweir/core/object"
	"wasabiweir/io/repl"
	"wasabiweir/io/serve"
)

// apiError is the JSON body of an error response of the operator API.
type apiError struct {
	Error    string           `json:"error"`
	Findings []object.Finding `json:"findings,omitempty"`
}

// ChangeResult is the response to an operator's change of the configuration: its outcome, and which routers have it in
// force.
type ChangeResult struct {
	config.Outcome
	// Confirmed names the live routers that have the new revision in force, and Missing those that may still run and
	// have not confirmed it. Both are empty unless the request waited for the routers.
	Confirmed []string `json:"confirmed,omitempty"`
	Missing   []string `json:"missing,omitempty"`
}

// apiHandler returns the HTTP handler of the operator API, the health checks and the metrics.
func (c *Control) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/changes", c.requireOperator(c.serveChange))
	mux.HandleFunc("GET /v1/objects", c.requireOperator(c.serveObjects))
	mux.HandleFunc("GET /v1/history", c.requireOperator(c.serveHistory))
	mux.HandleFunc("GET /v1/diff", c.requireOperator(c.serveDiff))
	mux.HandleFunc("GET /v1/status", c.requireOperator(c.serveStatus))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	mux.HandleFunc("GET /readyz", c.serveReady)
	mux.Handle("GET /metrics", c.Metrics)
	return mux
}

// operatorHandler handles an HTTP request of the operator with the given name, who is already authenticated.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

// requireOperator wraps f so that it gets only requests with an operator's access token; others are answered with
// status 401.
func (c *Control) requireOperator(f operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := c.authenticate(r)
		if !ok {
			c.Log.Warn("operator-refused", zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
			serve.WriteJSON(w, http.StatusUnauthorized, apiError{Error: "Authorization: the access token belongs to no operator"})
			return
		}
		f(w, r, name)
	}
}

// authenticate returns the name of the operator whose access token the request carries, and false if there is none.
func (c *Control) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	// The loop does not stop at a match, so that the response time does not reveal which operator a token belongs to.
	found, ok := "", false
	for name, want := range c.OperatorHashes {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(want)) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}

// serveChange handles a change of the configuration. With dry-run=true it only checks the change; with wait-ms it waits
// until the routers have the new revision in force.
func (c *Control) serveChange(w http.ResponseWriter, r *http.Request, operator string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxFileBytes))
	if err != nil {
		serve.WriteJSON(w, http.StatusRequestEntityTooLarge, apiError{Error: "body: " + err.Error()})
		return
	}
	change, err := object.ParseChange("body", body)
	if err != nil {
		writeParseError(w, err)
		return
	}
	if change.RequestID == "" {
		change.RequestID = uuid.NewString()
	}
	if r.URL.Query().Get("dry-run") == "true" {
		c.serveDryRun(w, r, change)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), quorumTimeout)
	defer cancel()
	out, err := c.proposeChange(ctx, change, operator)
	if err != nil {
		c.serveUnavailable(w, err)
		return
	}
	c.Log.Info("change-processed", zap.String("operator", operator), zap.String("request", out.RequestID),
		zap.String("status", string(out.Status)), zap.Uint64("revision", out.Revision))
	p := ChangeResult{Outcome: out}
	if wait := millisecondsParam(r, "wait-ms"); wait > 0 && out.Status == config.StatusAccepted {
		p.Confirmed, p.Missing = c.waitUntilInForce(r.Context(), &out, min(wait, maxConfirmWait))
	}
	serve.WriteJSON(w, changeStatusCode(out.Status), p)
}

// serveDryRun answers with the outcome that the operator's change would have on the current configuration.
func (c *Control) serveDryRun(w http.ResponseWriter, r *http.Request, change *object.Change) {
	if err := c.readBarrier(r.Context()); err != nil {
		c.serveUnavailable(w, err)
		return
	}
	var out config.Outcome
	c.config.withMachine(func(m *config.Machine) { out = m.DryRun(change) })
	serve.WriteJSON(w, changeStatusCode(out.Status), ChangeResult{Outcome: out})
}

// waitUntilInForce waits until each live router, and at least one, has confirmed that it has out's revision of the
// configuration or a later one in force, or until the limit has passed. It returns the names of the live routers that
// have confirmed it and of those that may run and have not, which include routers that are silent.
func (c *Control) waitUntilInForce(ctx context.Context, out *config.Outcome, limit time.Duration) (confirmed, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(confirmPollInterval)
	defer ticker.Stop()
	for {
		var waiting bool
		confirmed, missing, waiting = c.routerConfirmations(out.Revision, out.Digest)
		if !waiting && len(confirmed) > 0 {
			return confirmed, missing
		}
		select {
		case <-ctx.Done():
			return confirmed, missing
		case <-ticker.C:
		}
	}
}

// confirmPollInterval is the time between two checks whether the routers have confirmed a revision of the
// configuration.
const confirmPollInterval = 20 * time.Millisecond

// routerConfirmations returns the names of the live routers that have confirmed the revision of the configuration or a
// later one, and of the routers that may still run and have not. If waiting is set, one of the latter is live, so that
// its confirmation is still expected.
func (c *Control) routerConfirmations(revision uint64, digest object.Digest) (confirmed, missing []string, waiting bool) {
	for _, w := range c.routers.unconfirmedRouters(revision, digest) {
		missing = append(missing, w.Name)
		waiting = waiting || w.Live
	}
	for _, r := range c.routers.liveReports() {
		if !slices.Contains(missing, r.Name) {
			confirmed = append(confirmed, r.Name)
		}
	}
	return confirmed, missing, waiting
}

// serveObjects answers with the objects that the configuration declares, all or those of the query's kind and name,
// after a linearizable read.
func (c *Control) serveObjects(w http.ResponseWriter, r *http.Request, _ string) {
	if err := c.readBarrier(r.Context()); err != nil {
		c.serveUnavailable(w, err)
		return
	}
	g, revision, _ := c.config.currentGraph()
	g, err := selectObjects(g, r.URL.Query().Get("kind"), r.URL.Query().Get("name"))
	if err != nil {
		serve.WriteJSON(w, http.StatusNotFound, apiError{Error: err.Error()})
		return
	}
	data, err := object.MarshalObjects(g)
	if err != nil {
		serve.WriteJSON(w, http.StatusInternalServerError, apiError{Error: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	_, _ = w.Write(data)
}

// RevisionHeader is the response header with the revision of the configuration that the body shows.
const RevisionHeader = "Wasabiweir-Revision"

// selectObjects returns the configuration's objects of a kind, and only the one with the name unless that is empty. An
// empty kind selects all objects. It returns an error if nothing matches.
func selectObjects(g *object.Graph, kind, name string) (*object.Graph, error) {
	if kind == "" {
		return g, nil
	}
	var refs []object.Ref
	for _, item := range g.Objects() {
		if string(item.Ref.Kind) == kind && (name == "" || item.Ref.Name == name) {
			refs = append(refs, item.Ref)
		}
	}
	if len(refs) == 0 {
		return nil, fmt.Errorf("there is no object %s/%s", kind, name)
	}
	put, _ := g.Subset(refs)
	return &put, nil
}

// serveHistory answers with the newest revisions of the configuration, as many as the query's limit says.
func (c *Control) serveHistory(w http.ResponseWriter, r *http.Request, _ string) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistoryLimit
	}
	var list []config.RevisionRecord
	c.config.withMachine(func(m *config.Machine) { list = m.History(limit) })
	serve.WriteJSON(w, http.StatusOK, list)
}

// defaultHistoryLimit is the number of revisions in the history response if the query has no valid limit.
const defaultHistoryLimit = 20

// serveDiff answers with the objects that differ between two revisions of the configuration, the query's from and to.
func (c *Control) serveDiff(w http.ResponseWriter, r *http.Request, _ string) {
	from, errFrom := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	to, errTo := strconv.ParseUint(r.URL.Query().Get("to"), 10, 64)
	if err := errors.Join(errFrom, errTo); err != nil {
		serve.WriteJSON(w, http.StatusBadRequest, apiError{Error: "from and to must be revisions: " + err.Error()})
		return
	}
	var (
		list []object.Difference
		err  error
	)
	c.config.withMachine(func(m *config.Machine) { list, err = m.Diff(from, to) })
	if err != nil {
		serve.WriteJSON(w, http.StatusNotFound, apiError{Error: err.Error()})
		return
	}
	serve.WriteJSON(w, http.StatusOK, list)
}

// serveReady handles the readiness check: this process is ready if a control quorum confirms that its configuration is
// current.
func (c *Control) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := c.readBarrier(r.Context()); err != nil {
		c.serveUnavailable(w, err)
		return
	}
	serve.WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

// serveUnavailable answers with status 503. If the error is that of a change of the configuration, the text says
// whether the change may still take effect.
func (c *Control) serveUnavailable(w http.ResponseWriter, err error) {
	text := err.Error()
	switch {
	case errors.Is(err, repl.ErrUnknown), errors.Is(err, repl.ErrStopped):
		text += "; the change may still take effect: send it again with the same request-id to learn its outcome"
	case errors.Is(err, repl.ErrNotRun):
		text += "; the change was not made and will not take effect"
	}
	serve.WriteJSON(w, http.StatusServiceUnavailable, apiError{Error: text})
}

// changeStatusCode returns the HTTP status code for the outcome of an operator's change of the configuration.
func changeStatusCode(s config.ChangeStatus) int {
	switch s {
	case config.StatusAccepted:
		return http.StatusOK
	case config.StatusConflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

// millisecondsParam returns the named query parameter as a duration; it is 0 if the parameter is missing or invalid.
func millisecondsParam(r *http.Request, name string) time.Duration {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// writeParseError answers with status 400 and, for an *object.ParseError, what was found wrong in the request's body.
func writeParseError(w http.ResponseWriter, err error) {
	out := apiError{Error: err.Error()}
	var parse *object.ParseError
	if errors.As(err, &parse) {
		out.Findings = parse.Findings
	}
	serve.WriteJSON(w, http.StatusBadRequest, out)
}

// Publish replicates a change of the configuration and reports whether at least the given number of routers have it in
// force and none is missing. It waits at most a second for the change; a process that embeds Control repeats the call
// until it succeeds.
func (c *Control) Publish(ctx context.Context, change *object.Change, author string, routers int) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !c.started.Load() {
		return false
	}
	out, err := c.proposeChange(ctx, change, author)
	if err != nil || out.Status != config.StatusAccepted {
		c.Log.Debug("publish-failed", zap.String("status", string(out.Status)), zap.Error(err))
		return false
	}
	confirmed, missing, _ := c.routerConfirmations(out.Revision, out.Digest)
	return len(confirmed) >= routers && len(missing) == 0
}
