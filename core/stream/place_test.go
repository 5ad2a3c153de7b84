package stream

import (
	"fmt"
	"testing"
)

// Guards against two journal holders in the same failure domain while another domain has none, and against a router
// that gets far more journals than the others.
func TestPlaceSpreadsHolders(t *testing.T) {
	const ids = 3000
	var all []Candidate
	for i := range 9 {
		all = append(all, Candidate{HolderID: HolderID{Router: fmt.Sprint(i), Incarnation: 1}, Domain: fmt.Sprint(i % 3)})
	}
	count := map[string]int{}
	for i := range ids {
		set := PlaceHolders(fmt.Sprint(i), all[0], all)
		fresh, _ := PlaceReplacement(fmt.Sprint(i), set, set.Members[1], all)
		for _, s := range []HolderSet{set, set.Replace(set.Members[1], fresh)} {
			domains := map[byte]bool{}
			for _, m := range s.Members {
				domains[m.Router[0]%3] = true
			}
			if len(domains) != HolderCount {
				t.Fatalf("holders %v are in %d failure domains", s.Members, len(domains))
			}
		}
		if count[set.Members[1].Router]++; count[set.Members[1].Router] > ids/4 {
			t.Fatalf("%v holds far more than its share of the journals", set.Members[1])
		}
	}
}
