package workerclient

import "time"

const (
	initialMargin = 300 * time.Millisecond // before the first round trip is measured
	spareMargin   = 100 * time.Millisecond // beyond what the round trips suggest
	hedgeMargin   = 25 * time.Millisecond  // the same before a hedged request of a idempotent call
	maxSample     = time.Second

	minOverdueDelay   = 200 * time.Millisecond
	maxOverdueDelay   = 700 * time.Millisecond
	minCommandTimeout = 300 * time.Millisecond
	maxCommandTimeout = 900 * time.Millisecond
	minPollTimeout    = 400 * time.Millisecond
	maxPollTimeout    = 700 * time.Millisecond
	commandMargin     = 100 * time.Millisecond // a command may take this much longer than a poll
	smoothingDivisor  = 8                      // a sample's weight in the smoothed round trip, as in RFC 6298
	variationDivisor  = 4                      // and in its variation
	marginFactor      = 4
	lossWeight        = 0.125 // a start's weight in the share of those without an answer
	toleratedLossRate = 0.2   // more is not one start that was lost: it takes two of them in a short time
)

// roundTrips estimates how long calls to a worker take, from those that were answered. The zero value knows nothing.
type roundTrips struct {
	minTimeout time.Duration // of all limits below
	measured   bool
	smoothed   time.Duration
	variation  time.Duration // the smoothed distance of a sample from the smoothed round trip
	lossRate   float64       // smoothed share of the starts that got no answer
}

// observe takes in one round trip.
func (r *roundTrips) observe(sample time.Duration) {
	sample = min(sample, maxSample)
	if !r.measured {
		r.measured, r.smoothed, r.variation = true, sample, sample/2
		return
	}
	distance := (sample - r.smoothed).Abs()
	r.variation += (distance - r.variation) / variationDivisor
	r.smoothed += (sample - r.smoothed) / smoothingDivisor
}

// margin is a time that nearly all answers take less than.
func (r *roundTrips) margin() time.Duration {
	if !r.measured {
		return initialMargin
	}
	return marginFactor*(r.smoothed+r.variation) + spareMargin
}

func (r *roundTrips) clamp(margin, shortest, longest time.Duration) time.Duration {
	return max(r.minTimeout, min(max(margin, shortest), longest))
}

// hedgeDelay is how long after it was sent a idempotent call without an answer is sent once more. A request that was not needed
// costs little, so little is added to what the round trips suggest.
func (r *roundTrips) hedgeDelay() time.Duration {
	return r.clamp(r.margin()-spareMargin+hedgeMargin, 0, maxOverdueDelay)
}

// overdueDelay is how long after its wait an unanswered hold is hedged by a poll.
func (r *roundTrips) overdueDelay() time.Duration {
	return r.clamp(r.margin(), minOverdueDelay, maxOverdueDelay)
}

// startEnded takes in whether a start was answered.
func (r *roundTrips) startEnded(answered bool) {
	if answered {
		r.lossRate -= lossWeight * r.lossRate
		return
	}
	r.lossRate += lossWeight * (1 - r.lossRate)
}

// startTimeout is the time-out of a start. Where many starts get no answer it is what the round trips suggest alone: the sooner
// one of them is looked for, the sooner its task starts anew.
func (r *roundTrips) startTimeout() time.Duration {
	if r.lossRate > toleratedLossRate {
		return r.clamp(r.margin(), 0, maxCommandTimeout)
	}
	return r.commandTimeout()
}

// commandTimeout is the time-out of stop commands, and of starts in calm.
func (r *roundTrips) commandTimeout() time.Duration {
	return r.clamp(r.margin()+commandMargin, minCommandTimeout, maxCommandTimeout)
}

// pollTimeout is the time-out of an out-of-band poll.
func (r *roundTrips) pollTimeout() time.Duration {
	return r.clamp(r.margin(), minPollTimeout, maxPollTimeout)
}
