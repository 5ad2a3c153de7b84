package config_test

import (
	"fmt"

	"wasabiweir/core/config"
	"wasabiweir/core/object"
)

// Example applies two concurrent changes to the same revision, sends the first one again, and applies an invalid
// change.
func Example() {
	m := &config.Machine{}
	apply := func(id, file string) config.Outcome {
		change, err := object.ParseChange("change.json", []byte(file))
		if err != nil {
			fmt.Println(err)
			return config.Outcome{}
		}
		change.RequestID = id
		data, err := (&config.Entry{Change: *change, Author: "ana"}).Encode()
		if err != nil {
			fmt.Println(err)
		}
		return m.Apply(data)
	}
	vets := `{"objects":[{"kind":"account","name":"vets","token-hashes":[],"weight":2}]}`
	farms := `{"objects":[{"kind":"account","name":"farms","token-hashes":["x"]}]}`

	first := apply("ana-1", vets)
	fmt.Println(first.Status, first.Revision)
	second := apply("rui-1", farms)
	fmt.Println(second.Status, second.AcceptedRevision, second.Differences[0].Ref)
	again := apply("ana-1", vets)
	fmt.Println(again.Status, again.Revision, again.Repeat)
	bad := apply("rui-2", `{"base-revision":1,`+farms[1:])
	fmt.Println(bad.Status, bad.Findings[0])
	// Output:
	// accepted 1
	// conflict 1 account/vets
	// accepted 1 true
	// invalid account/farms: token-hashes: "x" is not a SHA-256 sum; allowed: 64 lower-case hexadecimal digits
}
