package workerclient

import "time"

// minClockRate is the minimum rate of the worker's monotonic clock relative to the local clock. The maximum rate is 1.
const minClockRate = 0.98

// clockGranularity is the maximum rounding error of a clock reading in a response, which is in whole milliseconds.
const clockGranularity = time.Millisecond

// clockReading pairs a time on the worker's clock with a local time.
type clockReading struct {
	localTime   time.Time
	workerClock time.Duration // time since the zero of the worker's clock
}

// clockBounds holds the lower and upper bound of the worker's clock. The zero value has no bounds yet.
type clockBounds struct {
	initialized bool
	lower       clockReading // lower bound; advances at minClockRate
	upper       clockReading // upper bound; advances at the rate of the local clock
}

// observe updates the bounds from a response. The worker read its clock between the two local times.
func (b *clockBounds) observe(sentAt, receivedAt time.Time, clockMS int64) {
	clock := time.Duration(clockMS) * time.Millisecond
	lowest, highest := clock-clockGranularity, clock+clockGranularity
	if !b.initialized || lowest > b.lowest(receivedAt) {
		b.lower = clockReading{receivedAt, lowest}
	}
	if !b.initialized || highest < b.highest(sentAt) {
		b.upper = clockReading{sentAt, highest}
	}
	b.initialized = true
}

// lowest returns the lower bound of the worker's clock at a local time.
func (b *clockBounds) lowest(localTime time.Time) time.Duration {
	return b.lower.workerClock + time.Duration(float64(localTime.Sub(b.lower.localTime))*minClockRate)
}

// highest returns the upper bound of the worker's clock at a local time.
func (b *clockBounds) highest(localTime time.Time) time.Duration {
	return b.upper.workerClock + localTime.Sub(b.upper.localTime)
}

// maxTimeUntil returns the maximum local duration, from a local time on, until the worker's clock has passed the given time.
func (b *clockBounds) maxTimeUntil(workerTime time.Duration, localTime time.Time) time.Duration {
	return max(0, time.Duration(float64(workerTime-b.lowest(localTime))/minClockRate)) + clockGranularity
}
