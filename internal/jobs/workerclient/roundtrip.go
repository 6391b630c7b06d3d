package workerclient

import "time"

const (
	initialMargin = 300 * time.Millisecond // before the first round trip is measured
	spareMargin   = 100 * time.Millisecond // added to what the round trips suggest
	hedgeMargin   = 25 * time.Millisecond  // the same before a hedged request
	maxSample     = time.Second

	minOverdueDelay   = 200 * time.Millisecond
	maxOverdueDelay   = 700 * time.Millisecond
	minCommandTimeout = 300 * time.Millisecond
	maxCommandTimeout = 900 * time.Millisecond
	minPollTimeout    = 400 * time.Millisecond
	maxPollTimeout    = 700 * time.Millisecond
	commandMargin     = 100 * time.Millisecond // a command may take so much longer than a poll
	smoothingDivisor  = 8                      // a sample's weight in the smoothed round trip, as in RFC 6298
	variationDivisor  = 4                      // and in its variation
	marginFactor      = 4
	lossWeight        = 0.125 // a start's weight in the share of those without a response
	toleratedLossRate = 0.2   // a single start that is lost does not exceed it; two of them in a short time do
)

// roundTrips estimates how long calls to a worker take, from those that were answered, as TCP does for its retransmission timer (RFC
// 6298). The zero value knows nothing.
type roundTrips struct {
	minTimeout time.Duration // of all limits below
	measured   bool
	smoothed   time.Duration
	variation  time.Duration // the smoothed distance of a sample from the smoothed round trip
	lossRate   float64       // smoothed share of the starts that got no response
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

// margin is a time that nearly all responses take less than.
func (r *roundTrips) margin() time.Duration {
	if !r.measured {
		return initialMargin
	}
	return marginFactor*(r.smoothed+r.variation) + spareMargin
}

// clamp bounds a time-out: by the two limits, and by the configured minimum, which goes first.
func (r *roundTrips) clamp(margin, shortest, longest time.Duration) time.Duration {
	return max(r.minTimeout, min(max(margin, shortest), longest))
}

// hedgeDelay is how long after an idempotent call was sent a hedged request follows. One that was not needed costs little, so little
// is added to what the round trips suggest.
func (r *roundTrips) hedgeDelay() time.Duration {
	return r.clamp(r.margin()-spareMargin+hedgeMargin, 0, maxOverdueDelay)
}

// overdueDelay is how long after its wait a renewal without a response is overdue.
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

// startTimeout is the time-out of a start. Where many starts get no response it is what the round trips suggest alone: the sooner a
// poll shows what became of one of them, the sooner its task starts anew.
func (r *roundTrips) startTimeout() time.Duration {
	if r.lossRate > toleratedLossRate {
		return r.clamp(r.margin(), 0, maxCommandTimeout)
	}
	return r.commandTimeout()
}

// commandTimeout is the time-out of stops, and of starts while few are lost.
func (r *roundTrips) commandTimeout() time.Duration {
	return r.clamp(r.margin()+commandMargin, minCommandTimeout, maxCommandTimeout)
}

// pollTimeout is the time-out of an out-of-band poll.
func (r *roundTrips) pollTimeout() time.Duration {
	return r.clamp(r.margin(), minPollTimeout, maxPollTimeout)
}
