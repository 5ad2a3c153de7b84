package admit_test

import (
	"fmt"
	"time"

	"wasabiweir/core/admit"
)

// With one free slot at a time, the request of the account "small" starts before the remaining requests of the account
// "large", and requests that are predicted to start too late are refused at once.
func ExampleAdmission() {
	now := time.Unix(0, 0)
	a := admit.Admission{Routers: 1}
	a.SetCapacity(admit.Capacity{Slots: 32, FreeShort: 1, FreeReserved: 1, FreeLong: 1, TokensPerSecond: 1000})
	for i := range 5 {
		_, err := a.Enqueue(admit.Request{ID: fmt.Sprint("large-", i), Account: "large", MaxOutputTokens: 1000}, now)
		if err != nil {
			fmt.Println(err)
		}
	}
	_, err := a.Enqueue(admit.Request{ID: "small-0", Account: "small", MaxOutputTokens: 1000}, now)
	fmt.Println("small:", err)
	for range 2 {
		for _, k := range a.StartRequests(now) {
			fmt.Println("start", k.ID)
		}
		a.SetCapacity(admit.Capacity{Slots: 32, FreeShort: 1, FreeReserved: 1, FreeLong: 1, TokensPerSecond: 1000})
	}
	// Output:
	// overloaded (not-run): the predicted start is after the caller's wait
	// overloaded (not-run): the predicted start is after the caller's wait
	// small: <nil>
	// start large-0
	// start small-0
}
