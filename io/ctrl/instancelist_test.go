package ctrl

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/io/metric"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

const (
	// maxHeadSent and maxBodySent bound the bytes that an endless header or body may send to a control process, with
	// what the sockets hold.
	maxHeadSent = 8 << 20
	maxBodySent = maxInstanceListBytes + maxHeadSent
)

// Guards against a control process that reads bytes without end from whatever serves the instance list, or that does not
// say so in its metrics.
func TestEndlessInstanceList(t *testing.T) {
	for name, response := range stand.EndlessResponses("[", `{"name":"engine-1"},`) {
		t.Run(name, func(t *testing.T) {
			l := stand.Listen(t)
			s := &stand.EndlessServer{Listener: l, Response: response}
			go s.Run()
			scope := tally.NewTestScope("", nil)
			c := &Control{
				InstanceList: "http://" + l.Addr().String(), Clock: wall.Clock{}, Log: zap.NewNop(), Metrics: &metric.Scope{Scope: scope},
			}
			start := time.Now()
			err := c.fetchInstanceList(t.Context())
			if err == nil {
				t.Fatal("the list was read")
			}
			if took := time.Since(start); took > instanceListTimeout+time.Second {
				t.Errorf("the read took %s", took)
			}
			limit := int64(maxHeadSent)
			if name == "body" {
				limit = maxBodySent
			}
			if got := s.Written(); got > limit {
				t.Errorf("the server could send %d KB", got>>10)
			}
			c.countListFailure(err, true)
			if scope.Snapshot().Counters()["instance-list-failures+reason=oversized"] == nil {
				t.Errorf("the failure is not counted as oversized: %v", err)
			}
		})
	}
}
