package route_test

import (
	"fmt"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/route"
)

// A router picks an endpoint, the stream fails after one token, and the router picks another endpoint to resume it.
func ExampleTable_PickEndpoint() {
	now := time.Unix(0, 0)
	tab := route.Table{Budget: &route.Budget{}}
	tab.Configure([]route.EndpointSpec{
		{Name: "engine-1", Service: "dente-llm", Address: "10.0.0.1:8000", Domain: "petrolina", Slots: 32},
		{Name: "engine-2", Service: "dente-llm", Address: "10.0.0.2:8000", Domain: "juazeiro", Slots: 32, Leaving: true},
		{Name: "engine-3", Service: "dente-llm", Address: "10.0.0.3:8000", Domain: "caruaru", Slots: 32},
	})
	req := &route.Request{ID: "r1/1", Service: "dente-llm", PrefillTokens: 800, OutputTokens: 400, Idempotent: true}
	first, _ := tab.PickEndpoint(req, nil, now)
	s := tab.StartStream(req, first, now)
	tab.RecordTokens(s, 1, now.Add(100*time.Millisecond))
	tab.FailStream(s, common.RetryReset, now.Add(200*time.Millisecond))

	req.ID, req.PrefillTokens, req.OutputTokens, req.Resume = "r1/2", 801, 399, true
	second, _ := tab.PickEndpoint(req, route.NewNameSet(first.Name), now.Add(200*time.Millisecond))
	fmt.Println(first.Name != second.Name, second.Leaving)

	_, err := tab.PickEndpoint(req, route.NewNameSet(first.Name, second.Name), now.Add(200*time.Millisecond))
	fmt.Println(err)
	// Output:
	// true false
	// no-endpoint (not-run): service: no endpoint of the service accepts work
}
