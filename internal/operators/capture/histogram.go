package capture

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// timeUnit is the resolution of histograms in seconds. A subquery that is faster than this spends most of its time waiting
// for the aggregator's event loop.
const timeUnit = 1e-4

// maxSeconds is the longest time that a histogram holds, in seconds. It is above any hard deadline. Longer times count as
// this one.
const maxSeconds = 60

// Histogram is a histogram of times. The zero value is empty.
type Histogram struct{ histogram *hdrhistogram.Histogram }

// newHistogram returns a histogram with a number of significant digits. An index uses 2 digits (14 KiB). A backend uses 1
// digit (2 KiB), because there may be a thousand backends.
func newHistogram(digits int) Histogram {
	return Histogram{hdrhistogram.New(1, int64(maxSeconds/timeUnit), digits)}
}

// Add records a time in seconds, n times.
func (h *Histogram) Add(seconds float64, n int64) {
	if h.histogram == nil {
		*h = newHistogram(2)
	}
	// The value is within the bounds of the histogram, so RecordValues returns no error.
	_ = h.histogram.RecordValues(min(max(1, int64(seconds/timeUnit+0.5)), int64(maxSeconds/timeUnit)), n)
}

// Count returns the number of recorded times.
func (h Histogram) Count() int64 {
	if h.histogram == nil {
		return 0
	}
	return h.histogram.TotalCount()
}

// Quantile returns the q-quantile in seconds, or 0 for an empty histogram.
func (h Histogram) Quantile(q float64) float64 {
	if h.Count() == 0 {
		return 0
	}
	return float64(h.histogram.ValueAtQuantile(100*q)) * timeUnit
}

// Mean returns the mean in seconds, or 0 for an empty histogram.
func (h Histogram) Mean() float64 {
	if h.Count() == 0 {
		return 0
	}
	return h.histogram.Mean() * timeUnit
}

// Moments returns the mean in seconds and the squared coefficient of variation.
func (h Histogram) Moments() (mean, scv float64) {
	if mean = h.Mean(); mean == 0 {
		return 0, 0
	}
	deviation := h.histogram.StdDev() * timeUnit
	return mean, deviation * deviation / (mean * mean)
}

// Merge adds the recorded times of another histogram.
func (h *Histogram) Merge(o Histogram) {
	for _, b := range o.buckets() {
		h.Add(float64(b[0])*timeUnit, b[1])
	}
}

// buckets returns the values that occur, as multiples of timeUnit, and their counts.
func (h Histogram) buckets() (list [][2]int64) {
	if h.histogram == nil {
		return nil
	}
	for _, b := range h.histogram.Distribution() {
		if b.Count > 0 {
			list = append(list, [2]int64{b.To, b.Count})
		}
	}
	return list
}

// MarshalJSON encodes the histogram as a list of its buckets.
func (h Histogram) MarshalJSON() ([]byte, error) { return json.Marshal(h.buckets()) }

// UnmarshalJSON decodes a list of buckets. A value or a count that no histogram can hold is an error.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	var list [][2]int64
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	*h = Histogram{}
	for _, b := range list {
		if b[0] < 1 || b[0] > 2*maxSeconds/timeUnit || b[1] < 1 {
			return invalid("histogram bar %v, expected a time of %g s at most and a count", b, float64(maxSeconds))
		}
		h.Add(float64(b[0])*timeUnit, b[1])
	}
	return nil
}
