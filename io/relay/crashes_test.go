package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/core/state"
	"wasabiweir/io/guard"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

// newCrashRequest returns a request without prompt parts at a relay that knows three crashes by it.
func newCrashRequest(t *testing.T) *request {
	r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), ctx: t.Context()}
	r.crashes = guard.Guard{Clock: r.Clock, Log: r.Log, Metrics: tally.NoopScope, Send: func([]poison.Crash) {}}
	q := &request{relay: r, r: httptest.NewRequest(http.MethodPost, "/x", http.NoBody), id: "r", body: []byte("body"), ctx: t.Context()}
	for i := range 3 {
		age := time.Duration(3-i) * time.Second
		r.crashes.Record(poison.NewCrash(fmt.Sprint("r", i), fmt.Sprint("e", i), "", q.crashParts()), r.Clock.Now().Add(-age))
	}
	return q
}

// An endpoint that answers with an error may not have run the request, so that its response must not free one that crashes
// endpoints.
func TestErrorResponsesFreeNoCrashingRequest(t *testing.T) {
	for status, free := range map[int]bool{500: false, 502: false, 503: false, 429: false, 408: false, 200: true, 204: true, 302: true, 404: true} {
		q := newCrashRequest(t)
		q.sentAt = q.relay.Clock.Now()
		q.recordPlainOutcome(place.Endpoint{ID: "e"}, attemptResult{outcome: completed, res: &http.Response{StatusCode: status}})
		if got := q.passesQuarantine(); got != free {
			t.Errorf("after a response with status %d the request may be sent: %t", status, got)
		}
	}
}

// Requests that differ in one of the fields must not be taken for the one that crashes endpoints, and the same one must be known
// under another id.
func TestFingerprintOfRequest(t *testing.T) {
	q := newCrashRequest(t)
	for name, change := range map[string]func(o *request){
		"id":      func(o *request) { o.id = "other" },
		"host":    func(o *request) { o.r.Host = strings.ToUpper(o.r.Host) },
		"account": func(o *request) { o.account = "other" },
		"method":  func(o *request) { o.r.Method = http.MethodPut },
		"query":   func(o *request) { o.r.RequestURI = "/x?y" },
		"body":    func(o *request) { o.body = []byte("bodies") },
		"stream":  func(o *request) { o.body, o.bodyReader = nil, http.NoBody },
	} {
		o := &request{relay: q.relay, r: httptest.NewRequest(http.MethodPost, "/x", http.NoBody), id: "r", body: []byte("body"), ctx: t.Context()}
		change(o)
		if same := name == "id" || name == "host"; o.passesQuarantine() == same {
			t.Errorf("a request with another %s may be sent: %t", name, !same)
		}
	}
}

// Guards against a trial that is used up before the request has reached an endpoint, because the first one refused the
// connection or the request waited for its turn.
func TestTrialLastsUntilItRan(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	q := newCrashRequest(t)
	q.relay.Clock, q.relay.relayCount = now, 1
	q.relay.crashes = guard.Guard{Clock: now, Log: zap.NewNop(), Metrics: tally.NoopScope, Send: func([]poison.Crash) {}}
	for i := range 3 {
		q.relay.crashes.Record(poison.NewCrash(fmt.Sprint("t", i), fmt.Sprint("f", i), "", q.crashParts()), now.Now())
		now.Advance(time.Second)
	}
	if q.passesQuarantine() {
		t.Fatal("the request is not in quarantine")
	}
	now.Advance(20 * time.Second)
	for i := range 3 {
		if !q.passesQuarantine() {
			t.Errorf("look %d: the trial is over before an endpoint has run it", i+1)
		}
	}
	q.attempts = 1
	if q.passesQuarantine() {
		t.Error("a trial that has run may be sent once more")
	}
}

// The restart of an endpoint that has left a request unanswered must count against that request, and be in doubt for those that were
// sent to the endpoint afterwards.
func TestLossAfterSilence(t *testing.T) {
	l, err := net.Listen("tcp", net.JoinHostPort(stand.LoopbackHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	r := newTestRelay(t)
	r.Clock, r.crashes.Clock = now, now
	e := place.Endpoint{ID: "e", Address: l.Addr().String()}
	newRequest := func(id string) *request {
		return &request{
			relay: r, r: httptest.NewRequest(http.MethodPost, "/"+id, http.NoBody), id: id, ctx: t.Context(), index: &state.ConfigIndex{}, sentAt: now.Now(),
			route: &state.Route{Kind: state.Unsafe},
		}
	}
	unanswered := newRequest("unanswered")
	now.Advance(900 * time.Millisecond)
	later := newRequest("later")
	now.Advance(100 * time.Millisecond)
	unanswered.recordPlainOutcome(e, attemptResult{outcome: outcomeUnknown, cause: common.RetrySilent})
	<-r.losses.check(e, now.Now()).done
	now.Advance(200 * time.Millisecond)
	_ = l.Close()
	later.recordPlainOutcome(e, attemptResult{outcome: outcomeUnknown, cause: common.RetryReset})
	for end := time.Now().Add(time.Second); len(r.crashes.All()) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if list := r.crashes.All(); len(list) != 2 || list[0].Request != "unanswered" || list[0].Doubtful || !list[1].Doubtful {
		t.Errorf("recorded crashes: %v, want one by the unanswered request and a doubtful one", list)
	}
}
