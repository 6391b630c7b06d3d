package workerclient

import "time"

const (
	initialResponseTimeout = 300 * time.Millisecond // response timeout before the first round trip was measured
	responseTimeoutMargin  = 100 * time.Millisecond // added to the multiple of the measured round-trip time
	hedgeMargin            = 25 * time.Millisecond  // used instead of responseTimeoutMargin for the delay of hedged requests
	maxRTTSample           = time.Second

	minOverdueDelay      = 200 * time.Millisecond
	maxOverdueDelay      = 700 * time.Millisecond
	minCommandTimeout    = 300 * time.Millisecond
	maxCommandTimeout    = 900 * time.Millisecond
	minPollTimeout       = 400 * time.Millisecond
	maxPollTimeout       = 700 * time.Millisecond
	commandTimeoutMargin = 100 * time.Millisecond // additional time for a command, which may take longer than a poll
	smoothingDivisor     = 8                      // reciprocal of a sample's weight in the smoothed round-trip time, as in RFC 6298
	variationDivisor     = 4                      // reciprocal of its weight in the variation, as in RFC 6298
	rttFactor            = 4                      // multiple of the round-trip time and its variation in the response timeout
	lossWeight           = 0.125                  // weight of a single start in the loss rate
	toleratedLossRate    = 0.2                    // a single lost start does not exceed this rate; two lost starts in a short time do
)

// rttEstimator estimates the round-trip time of calls to a worker from the answered calls, as TCP does for its retransmission timer
// (RFC 6298). The zero value has no measurement yet.
type rttEstimator struct {
	minTimeout   time.Duration // lower limit of all delays and timeouts
	measured     bool
	smoothedRTT  time.Duration
	rttVariation time.Duration // smoothed deviation of the samples from smoothedRTT
	lossRate     float64       // smoothed share of starts without a response
}

// observe updates the estimate with one measured round trip.
func (r *rttEstimator) observe(sample time.Duration) {
	sample = min(sample, maxRTTSample)
	if !r.measured {
		r.measured, r.smoothedRTT, r.rttVariation = true, sample, sample/2
		return
	}
	deviation := (sample - r.smoothedRTT).Abs()
	r.rttVariation += (deviation - r.rttVariation) / variationDivisor
	r.smoothedRTT += (sample - r.smoothedRTT) / smoothingDivisor
}

// responseTimeout returns a duration within which nearly all responses arrive.
func (r *rttEstimator) responseTimeout() time.Duration {
	if !r.measured {
		return initialResponseTimeout
	}
	return rttFactor*(r.smoothedRTT+r.rttVariation) + responseTimeoutMargin
}

// clamp limits a timeout to the given range. The configured minTimeout takes precedence.
func (r *rttEstimator) clamp(timeout, minimum, maximum time.Duration) time.Duration {
	return max(r.minTimeout, min(max(timeout, minimum), maximum))
}

// hedgeDelay returns the delay between an idempotent call and a hedged request. An unnecessary hedged request is cheap, so the margin is
// small.
func (r *rttEstimator) hedgeDelay() time.Duration {
	return r.clamp(r.responseTimeout()-responseTimeoutMargin+hedgeMargin, 0, maxOverdueDelay)
}

// overdueDelay returns the time after the requested wait of a renewal at which its response is overdue.
func (r *rttEstimator) overdueDelay() time.Duration {
	return r.clamp(r.responseTimeout(), minOverdueDelay, maxOverdueDelay)
}

// recordStart updates the loss rate with the end of a start.
func (r *rttEstimator) recordStart(answered bool) {
	if answered {
		r.lossRate -= lossWeight * r.lossRate
		return
	}
	r.lossRate += lossWeight * (1 - r.lossRate)
}

// startTimeout returns the timeout of a start. It is shorter if many starts get no response: the sooner a poll shows whether the worker
// has the attempt, the sooner the task can be started again.
func (r *rttEstimator) startTimeout() time.Duration {
	if r.lossRate > toleratedLossRate {
		return r.clamp(r.responseTimeout(), 0, maxCommandTimeout)
	}
	return r.commandTimeout()
}

// commandTimeout returns the timeout of stops, and of starts while few of them are lost.
func (r *rttEstimator) commandTimeout() time.Duration {
	return r.clamp(r.responseTimeout()+commandTimeoutMargin, minCommandTimeout, maxCommandTimeout)
}

// pollTimeout returns the timeout of an out-of-band poll.
func (r *rttEstimator) pollTimeout() time.Duration {
	return r.clamp(r.responseTimeout(), minPollTimeout, maxPollTimeout)
}
