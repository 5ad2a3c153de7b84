package route

import (
	"math"
	"slices"
	"time"
)

// The ends of this router's streams are predicted for horizonSteps steps of horizonStep, which cover the usual wait of
// a caller for a slot.
const (
	horizonStep  = 250 * time.Millisecond
	horizonSteps = 16
)

// endForecastTTL is how long a forecast of the ends of streams is used before it is computed again.
const endForecastTTL = 100 * time.Millisecond

// endForecast predicts when this router's long streams of one service end and free their slots.
type endForecast struct {
	computedAt    time.Time
	expectedEnds  [horizonSteps]float64 // expected number of streams that have ended by the end of each step
	predictedEnds []time.Duration       // times until the first, second and further stream ends
}

// lengthLogStdDev is the standard deviation of the logarithm of the ratio of output lengths to predicted lengths.
const lengthLogStdDev = 0.5

// addStreamEndsOf adds, to each step of the forecast, the expected number of the endpoint's long streams that have
// ended by then. gap is the time between tokens in seconds. It assumes a log-normal distribution of lengths: with the
// predicted lengths alone, the first of many ends would be predicted far too late. Short streams are left out, because
// the next short request takes their slot.
func (r *endForecast) addStreamEndsOf(e *Endpoint, gap float64) {
	perStep := horizonStep.Seconds() / gap
	for _, s := range e.streams {
		if s.Short {
			continue
		}
		done := float64(s.generatedTokens + 1)
		length := float64(s.generatedTokens) + s.tokensLeft()
		alreadyEnded := probLengthAtMost(done, length)
		if alreadyEnded > 0.999 {
			continue
		}
		for i := range r.expectedEnds {
			endedByStep := probLengthAtMost(done+float64(i+1)*perStep, length)
			r.expectedEnds[i] += (endedByStep - alreadyEnded) / (1 - alreadyEnded)
		}
	}
}

// probLengthAtMost returns the probability that an output with the predicted length has at most n tokens.
func probLengthAtMost(n, predicted float64) float64 {
	return 0.5 * math.Erfc(-math.Log(n/predicted)/(lengthLogStdDev*math.Sqrt2))
}

// predictedStreamEnds returns the times from now at which the expected number of ended long streams of the service
// reaches 1, 2 and so on.
func (t *Table) predictedStreamEnds(service string, now time.Time) []time.Duration {
	forecast := t.endForecasts.Ensure(service)
	if !forecast.computedAt.IsZero() && now.Sub(forecast.computedAt) < endForecastTTL {
		return forecast.predictedEnds
	}
	*forecast = endForecast{computedAt: now, predictedEnds: forecast.predictedEnds[:0]}
	for _, e := range t.ordered {
		if e.Service == service && !e.Unavailable() && len(e.streams) > 0 {
			forecast.addStreamEndsOf(e, slices.Max([]float64{t.medianGap, e.health.smoothedGap, minTokenGap}))
		}
	}
	previous := 0.0
	for i, n := range forecast.expectedEnds {
		for k := len(forecast.predictedEnds) + 1; float64(k) <= n; k++ {
			fraction := (float64(k) - previous) / (n - previous)
			forecast.predictedEnds = append(forecast.predictedEnds, time.Duration((float64(i)+fraction)*float64(horizonStep)))
		}
		previous = n
	}
	return forecast.predictedEnds
}

// minTokenGap is a lower bound of an endpoint's time between tokens, in seconds, that is used until one has been
// measured.
const minTokenGap = 0.001
