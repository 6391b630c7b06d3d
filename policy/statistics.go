package policy

import (
	"math"
	"slices"
)

// Statistics: decaying values, smoothed means and random numbers.

// pcg is a permuted congruential generator (XSH RR 64/32).
type pcg uint64

// unit draws a number of [0, 1).
func (g *pcg) unit() float64 {
	old := uint64(*g)
	*g = pcg(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(x>>r|x<<(-r&31)) / (1 << 32)
}

// decaying is a value that decays exponentially from a time on.
type decaying struct{ value, at float64 }

// valueAt is the value at a time, with over as the time constant in seconds.
func (f decaying) valueAt(now, over float64) float64 { return f.value * decay(f.at, now, over) }

// add changes the value, not below 0, and returns what it was.
func (f *decaying) add(by, now, over float64) (was float64) {
	was = f.valueAt(now, over)
	*f = decaying{max(0, was+by), now}
	return was
}

// decay is the factor of an exponential decay from at to now.
func decay(at, now, over float64) float64 { return math.Exp((at - now) / over) }

// indicator is 1 where a condition holds, else 0.
func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// decayingMean is a mean of samples whose weights decay exponentially with age.
type decayingMean struct{ sum, n, at float64 }

func (g *decayingMean) add(sample, now, over float64) {
	f := decay(g.at, now, over)
	*g = decayingMean{g.sum*f + sample, g.n*f + 1, now}
}

// limitWeight limits the weight of old samples, so that new ones count.
func (g *decayingMean) limitWeight(limit float64) {
	if g.n > limit {
		*g = decayingMean{g.sum * limit / g.n, limit, g.at}
	}
}

// mean is the mean with a prior that weighs as much as weight samples.
func (g decayingMean) mean(prior, weight, now, over float64) float64 {
	f := decay(g.at, now, over)
	return (g.sum*f + weight*prior) / (g.n*f + weight)
}

// times are points in time, in about ascending order.
type times []float64

// countAfter drops those up to now and counts the others.
func (t *times) countAfter(now float64) int {
	for len(*t) > 0 && (*t)[0] <= now {
		*t = (*t)[1:]
	}
	return len(*t)
}

// smooth moves a mean towards a sample; the first sample is the mean.
func smooth(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// dropBefore drops the times before from.
func dropBefore(times []float64, from float64) []float64 {
	i, _ := slices.BinarySearch(times, from)
	return slices.Delete(times, 0, i)
}
