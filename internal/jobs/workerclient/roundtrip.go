package workerclient

import "time"

const (
	initialMargin = 300 * time.Millisecond // before the first round trip is measured
	spareMargin   = 100 * time.Millisecond // beyond what the round trips suggest
	repeatMargin  = 25 * time.Millisecond  // the same before a further copy of a repeatable call
	longestSample = time.Second

	shortestHedgeDelay  = 200 * time.Millisecond
	longestHedgeDelay   = 700 * time.Millisecond
	shortestOrderLimit  = 300 * time.Millisecond
	longestOrderLimit   = 900 * time.Millisecond
	shortestLookLimit   = 400 * time.Millisecond
	longestLookLimit    = 700 * time.Millisecond
	orderMargin         = 100 * time.Millisecond // an order may take this much longer than a look
	smoothedParts       = 8                      // a sample's weight in the smoothed round trip, as in RFC 6298
	variationParts      = 4                      // and in its variation
	deviationsTolerated = 4
	lossWeight          = 0.125 // a start's weight in the share of those without an answer
	usualLoss           = 0.2   // more is not one start that was lost: it takes two of them in a short time
)

// roundTrips estimates how long calls to a worker take, from those that were answered. The zero value knows nothing.
type roundTrips struct {
	minimum   time.Duration // of all limits below
	measured  bool
	smoothed  time.Duration
	variation time.Duration // the smoothed distance of a sample from the smoothed round trip
	lost      float64       // smoothed share of the starts that got no answer
}

// observe takes in one round trip.
func (r *roundTrips) observe(sample time.Duration) {
	sample = min(sample, longestSample)
	if !r.measured {
		r.measured, r.smoothed, r.variation = true, sample, sample/2
		return
	}
	distance := (sample - r.smoothed).Abs()
	r.variation += (distance - r.variation) / variationParts
	r.smoothed += (sample - r.smoothed) / smoothedParts
}

// margin is a time that nearly all answers take less than.
func (r *roundTrips) margin() time.Duration {
	if !r.measured {
		return initialMargin
	}
	return deviationsTolerated*(r.smoothed+r.variation) + spareMargin
}

func (r *roundTrips) limit(margin, shortest, longest time.Duration) time.Duration {
	return max(r.minimum, min(max(margin, shortest), longest))
}

// repeatDelay is how long after it was sent a repeatable call without an answer is sent once more. A copy that was not needed
// costs little, so little is added to what the round trips suggest.
func (r *roundTrips) repeatDelay() time.Duration {
	return r.limit(r.margin()-spareMargin+repeatMargin, 0, longestHedgeDelay)
}

// hedgeDelay is how long after its wait an unanswered hold is hedged by a look.
func (r *roundTrips) hedgeDelay() time.Duration {
	return r.limit(r.margin(), shortestHedgeDelay, longestHedgeDelay)
}

// startEnded takes in whether a start was answered.
func (r *roundTrips) startEnded(answered bool) {
	if answered {
		r.lost -= lossWeight * r.lost
		return
	}
	r.lost += lossWeight * (1 - r.lost)
}

// startLimit is the time-out of a start. Where many starts get no answer it is what the round trips suggest alone: the sooner
// one of them is looked for, the sooner its task starts anew.
func (r *roundTrips) startLimit() time.Duration {
	if r.lost > usualLoss {
		return r.limit(r.margin(), 0, longestOrderLimit)
	}
	return r.orderLimit()
}

// orderLimit is the time-out of stop orders, and of starts in calm.
func (r *roundTrips) orderLimit() time.Duration {
	return r.limit(r.margin()+orderMargin, shortestOrderLimit, longestOrderLimit)
}

// lookLimit is the time-out of an out-of-band look.
func (r *roundTrips) lookLimit() time.Duration {
	return r.limit(r.margin(), shortestLookLimit, longestLookLimit)
}
