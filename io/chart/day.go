package chart

import (
	"cmp"
	"slices"
)

// Day is the result of one simulated day of load in a run of the hosting platform's benchmark.
type Day struct {
	// Site is the name of the deployment under test, such as "agencia".
	Site string
	// Name is the name of the pattern of load and faults on that day, such as "calm".
	Name string
	// Seed is the seed of the random numbers that generated the day's load and faults.
	Seed uint64
	// Worth is the value of the day's result as the benchmark states it: what callers got less what it cost; at most
	// 1.
	Worth float64
	// Served is the earned fraction of the payoff that was possible on the day.
	Served float64
	// Losses are the deductions from the best possible worth of a day, which is 1, by cause.
	Losses []Loss
}

// Loss is the amount by which one cause lowered the worth of a benchmark day.
type Loss struct {
	// Cause is the reason for the loss, such as "price: machines" for the cost of machines.
	Cause string
	// Worth is the amount by which the loss lowered the day's worth.
	Worth float64
}

// LargestLosses returns the day's n largest losses of worth, or all if there are fewer, in descending order.
func (d *Day) LargestLosses(n int) []Loss {
	losses := slices.SortedStableFunc(slices.Values(d.Losses), func(a, b Loss) int { return cmp.Compare(b.Worth, a.Worth) })
	return losses[:min(n, len(losses))]
}

// lossByCause returns the total worth that the day lost for the named cause.
func (d *Day) lossByCause(cause string) (sum float64) {
	for _, l := range d.Losses {
		if l.Cause == cause {
			sum += l.Worth
		}
	}
	return sum
}

// largestCauses returns the n causes with the largest total loss of worth over all benchmark days, in descending
// order, and whether there are further causes.
func largestCauses(days []Day, n int) (list []string, more bool) {
	sums := map[string]float64{}
	for i := range days {
		for _, l := range days[i].Losses {
			sums[l.Cause] += l.Worth
		}
	}
	for cause := range sums {
		list = append(list, cause)
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) })
	return list[:min(n, len(list))], len(list) > n
}
