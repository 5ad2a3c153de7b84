package chart

import (
	"cmp"
	"slices"
)

// Day is the outcome of one day that was played.
type Day struct {
	Site string
	Name string
	Seed uint64
	// Worth is what callers got less what it cost, 1 at best.
	Worth float64
	// Served is the part of the payoff that was earned.
	Served float64
	// Losses are what is missing to a worth of 1, by cause.
	Losses []Loss
}

// Loss is worth that a day lost for one cause.
type Loss struct {
	Cause string
	Worth float64
}

// Largest returns the n largest losses, the largest first.
func (d *Day) Largest(n int) []Loss {
	list := slices.SortedStableFunc(slices.Values(d.Losses), func(a, b Loss) int { return cmp.Compare(b.Worth, a.Worth) })
	return list[:min(n, len(list))]
}

// lost returns what the day lost for the cause.
func (d *Day) lost(cause string) (sum float64) {
	for _, l := range d.Losses {
		if l.Cause == cause {
			sum += l.Worth
		}
	}
	return sum
}

// causes returns the n causes that cost the days most, the largest first, and whether there are others.
func causes(days []Day, n int) (list []string, more bool) {
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
