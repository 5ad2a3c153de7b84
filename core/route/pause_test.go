package route

import (
	"testing"
	"time"

	"wasabiweir/core/common"
)

// Guards against requests within a pause that an endpoint has asked for, and against a refusal that tells a caller to come back
// before its end.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	tab := Table{Budget: &Budget{}}
	cfg := specs(2, 8)
	tab.Configure(cfg)
	req := &Request{Service: cfg[0].Service}
	pick := func(at time.Duration) string {
		e, err := tab.PickEndpoint(req, nil, epoch.Add(at))
		if err != nil {
			return ""
		}
		return e.Name
	}
	tab.PauseEndpoint(cfg[0].Name, 10*time.Second, epoch)
	tab.PauseEndpoint(cfg[0].Name, time.Second, epoch)
	tab.PauseEndpoint(cfg[0].Name, -time.Second, epoch)
	for range 20 {
		if got := pick(9 * time.Second); got != cfg[1].Name {
			t.Fatalf("endpoint %q is picked within the pause of the other", got)
		}
	}
	tab.PauseEndpoint(cfg[1].Name, 1<<62, epoch)
	if _, err := tab.PickEndpoint(req, nil, epoch); common.AsRefusal(err).RetryAfter != 10*time.Second {
		t.Errorf("got %v with a wait of %s, want that of the first pause", err, common.AsRefusal(err).RetryAfter)
	}
	if got := pick(10 * time.Second); got != cfg[0].Name {
		t.Errorf("endpoint %q is picked after the first pause", got)
	}
	if c := tab.Capacity(cfg[0].Service, 0, epoch); c.Slots != 0 {
		t.Errorf("endpoints in a pause count with %d slots", c.Slots)
	}
	cfg[1].Address = "moved:1"
	tab.Configure(cfg)
	if got := pick(time.Second); got != cfg[1].Name {
		t.Errorf("an endpoint at a new address is still in the pause of the one before; picked %q", got)
	}
}
