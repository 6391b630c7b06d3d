package policy

import (
	"math"
	"slices"
)

// Statistics: exponentially decaying values and means, moving averages and random numbers.

// pcg is a permuted congruential generator of random numbers (PCG XSH RR 64/32).
type pcg uint64

// uniform returns a random number in [0, 1).
func (g *pcg) uniform() float64 {
	old := uint64(*g)
	*g = pcg(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(x>>r|x<<(-r&31)) / (1 << 32)
}

// decaying is a value that decays exponentially from the time at on.
type decaying struct{ value, at float64 }

// valueAt returns the value at a time. The time constant is in seconds.
func (f decaying) valueAt(now, timeConstant float64) float64 {
	return f.value * decay(f.at, now, timeConstant)
}

// add adds to the value, limits the sum to 0 or more, and returns the value before.
func (f *decaying) add(by, now, timeConstant float64) (previous float64) {
	previous = f.valueAt(now, timeConstant)
	*f = decaying{max(0, previous+by), now}
	return previous
}

// decay returns the factor of an exponential decay from at to now.
func decay(at, now, timeConstant float64) float64 { return math.Exp((at - now) / timeConstant) }

// indicator returns 1 if a condition holds, else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// decayingMean is a mean of samples whose weights decay exponentially with their age.
type decayingMean struct{ sum, weight, at float64 }

func (g *decayingMean) add(sample, now, timeConstant float64) {
	f := decay(g.at, now, timeConstant)
	*g = decayingMean{g.sum*f + sample, g.weight*f + 1, now}
}

// limitWeight limits the total weight of old samples, so that new samples count.
func (g *decayingMean) limitWeight(maxWeight float64) {
	if g.weight > maxWeight {
		*g = decayingMean{g.sum * maxWeight / g.weight, maxWeight, g.at}
	}
}

// mean returns the mean of the samples and of a prior. The prior counts as much as priorWeight samples.
func (g decayingMean) mean(prior, priorWeight, now, timeConstant float64) float64 {
	f := decay(g.at, now, timeConstant)
	return (g.sum*f + priorWeight*prior) / (g.weight*f + priorWeight)
}

// timestamps are points in time, in roughly ascending order.
type timestamps []float64

// countAfter drops the leading timestamps up to now and returns the number of the remaining ones.
func (t *timestamps) countAfter(now float64) int {
	for len(*t) > 0 && (*t)[0] <= now {
		*t = (*t)[1:]
	}
	return len(*t)
}

// updateEWMA adds a sample to an exponentially weighted moving average. The first sample becomes the average.
func updateEWMA(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// dropBefore removes the times before from. The times are sorted.
func dropBefore(times []float64, from float64) []float64 {
	i, _ := slices.BinarySearch(times, from)
	return slices.Delete(times, 0, i)
}
