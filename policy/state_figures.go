package policy

import (
	"math"
	"slices"
)

// Figures that fade, are smoothed or are drawn at random.

// pcg is a permuted congruential generator (XSH RR 64/32).
type pcg uint64

func (g *pcg) unit() float64 {
	old := uint64(*g)
	*g = pcg(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(x>>r|x<<(-r&31)) / (1 << 32)
}

// decaying is a figure that fades with time.
type decaying struct{ value, at float64 }

func (f decaying) valueAt(now, over float64) float64 { return f.value * decay(f.at, now, over) }

// add moves it, not below 0, and tells what it was.
func (f *decaying) add(by, now, over float64) (was float64) {
	was = f.valueAt(now, over)
	*f = decaying{max(0, was+by), now}
	return was
}

// decay is what is left of a figure by now.
func decay(at, now, over float64) float64 { return math.Exp((at - now) / over) }

func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// decayingMean is a mean of samples that fade with time.
type decayingMean struct{ sum, n, at float64 }

func (g *decayingMean) add(sample, now, over float64) {
	f := decay(g.at, now, over)
	*g = decayingMean{g.sum*f + sample, g.n*f + 1, now}
}

// limitWeight lets no more than so many samples weigh, so that new ones count.
func (g *decayingMean) limitWeight(most float64) {
	if g.n > most {
		*g = decayingMean{g.sum * most / g.n, most, g.at}
	}
}

// mean takes a prior for as much as weight samples.
func (g decayingMean) mean(prior, weight, now, over float64) float64 {
	f := decay(g.at, now, over)
	return (g.sum*f + weight*prior) / (g.n*f + weight)
}

// times are ends, about in their order.
type times []float64

// due counts those to come.
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
