package ledger_test

import (
	"fmt"

	"wasabiweir/core/ledger"
)

// Example shows a call that router r1 sends, and the same call repeated at router r2.
func Example() {
	m := &ledger.Machine{}
	apply := func(c ledger.Command) ledger.Result {
		c.TimeMS, c.Account, c.Key = 1_800_000_000_000, "vets", "01a3185c-5000-7000-8000-000000000001"
		data, err := c.Encode()
		if err != nil {
			fmt.Println(err)
		}
		return m.Apply(data)
	}
	r1 := ledger.Claimant{Router: "r1", Incarnation: 1, Attempt: 1}
	r2 := ledger.Claimant{Router: "r2", Incarnation: 4, Attempt: 7}

	granted := apply(ledger.Command{Op: ledger.OpClaim, Claimant: r1, TimeoutMS: 5000})
	fmt.Println(granted.Verdict, granted.Claim)
	fmt.Println(apply(ledger.Command{Op: ledger.OpClaim, Claimant: r2, TimeoutMS: 5000}).Verdict)
	answer := &ledger.Response{Status: 201, Body: []byte("visit booked")}
	fmt.Println(apply(ledger.Command{Op: ledger.OpDone, Claimant: r1, Claim: granted.Claim, Response: answer}).Verdict)
	again := apply(ledger.Command{Op: ledger.OpClaim, Claimant: r2, TimeoutMS: 5000})
	fmt.Println(again.Verdict, again.Response.Status, string(again.Response.Body))
	// Output:
	// granted 1
	// in-progress
	// recorded
	// done 201 visit booked
}
