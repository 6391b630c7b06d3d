package workerclient

import "time"

// slowestClockRate is the rate of the worker's monotonic clock to the local one at the least; at the most it is 1.
const slowestClockRate = 0.98

// clockGranularity is how far the whole milliseconds of a response may be from the clock's reading.
const clockGranularity = time.Millisecond

// reading ties a time on the worker's clock to a local time.
type reading struct {
	at    time.Time
	clock time.Duration // since the zero of the worker's clock
}

// clockBounds knows between which bounds the worker's clock lies. The zero value knows nothing.
type clockBounds struct {
	known bool
	lower reading // the clock reads at least this, and goes on at the slowest rate
	upper reading // the clock reads at most this, and goes on at the local rate
}

// observe takes in the clock of a response. The worker read its clock between the two local times.
func (b *clockBounds) observe(sent, received time.Time, clockMS int64) {
	clock := time.Duration(clockMS) * time.Millisecond
	lowest, highest := clock-clockGranularity, clock+clockGranularity
	if !b.known || lowest > b.lowest(received) {
		b.lower = reading{received, lowest}
	}
	if !b.known || highest < b.highest(sent) {
		b.upper = reading{sent, highest}
	}
	b.known = true
}

// lowest is the least that the clock may read at a local time, by the responses observed.
func (b *clockBounds) lowest(at time.Time) time.Duration {
	return b.lower.clock + time.Duration(float64(at.Sub(b.lower.at))*slowestClockRate)
}

// highest is the most that the clock may read at a local time, by the responses observed.
func (b *clockBounds) highest(at time.Time) time.Duration {
	return b.upper.clock + at.Sub(b.upper.at)
}

// untilPassed is the longest that it may take, from a local time on, until the clock reads more than the given time.
func (b *clockBounds) untilPassed(clock time.Duration, at time.Time) time.Duration {
	return max(0, time.Duration(float64(clock-b.lowest(at))/slowestClockRate)) + clockGranularity
}
