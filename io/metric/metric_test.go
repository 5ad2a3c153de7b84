package metric

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"wasabiweir/core/common"
)

// documentedReason matches a row of the tables of reasons in docs/metrics.md.
var documentedReason = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|")

// Guards against a reason that a counter has and docs/metrics.md does not list, or the other way round.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []common.Reason
	for _, m := range documentedReason.FindAllStringSubmatch(string(page), -1) {
		got = append(got, common.Reason(m[1]))
	}
	want := slices.Concat(common.RefusalReasons, common.RetryReasons)
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("documented %v\nin the code %v", got, want)
	}
}
