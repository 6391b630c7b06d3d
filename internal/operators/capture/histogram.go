package capture

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// unit is what histograms count in, seconds. A part that is faster waits mostly for the aggregator's steps.
const unit = 1e-4

// longest is the longest time that a histogram tells apart, seconds; above any hard deadline.
const longest = 60

// Histogram is a histogram of times. The zero value is empty.
type Histogram struct{ histogram *hdrhistogram.Histogram }

// newHistogram makes one with so many significant digits: 2 for an index (14 KiB), 1 for a backend, of which there may be
// a thousand (2 KiB).
func newHistogram(digits int) Histogram {
	return Histogram{hdrhistogram.New(1, int64(longest/unit), digits)}
}

// Add records a time in seconds, n times.
func (h *Histogram) Add(seconds float64, n int64) {
	if h.histogram == nil {
		*h = newHistogram(2)
	}
	// A value between the histogram's bounds, as this one is, is always recorded.
	_ = h.histogram.RecordValues(min(max(1, int64(seconds/unit+0.5)), int64(longest/unit)), n)
}

// Count is how many times it holds.
func (h Histogram) Count() int64 {
	if h.histogram == nil {
		return 0
	}
	return h.histogram.TotalCount()
}

// Quantile is a time in seconds that the share q of all do not exceed; 0 of none.
func (h Histogram) Quantile(q float64) float64 {
	if h.Count() == 0 {
		return 0
	}
	return float64(h.histogram.ValueAtQuantile(100*q)) * unit
}

// Mean is in seconds; 0 of none.
func (h Histogram) Mean() float64 {
	if h.Count() == 0 {
		return 0
	}
	return h.histogram.Mean() * unit
}

// Moments are the mean and the squared coefficient of variation.
func (h Histogram) Moments() (mean, scv float64) {
	if mean = h.Mean(); mean == 0 {
		return 0, 0
	}
	sd := h.histogram.StdDev() * unit
	return mean, sd * sd / (mean * mean)
}

// Merge adds all that another holds.
func (h *Histogram) Merge(o Histogram) {
	for _, b := range o.buckets() {
		h.Add(float64(b[0])*unit, b[1])
	}
}

// buckets are the values that occur, in units, and how often.
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

// MarshalJSON writes the bars.
func (h Histogram) MarshalJSON() ([]byte, error) { return json.Marshal(h.buckets()) }

// UnmarshalJSON reads bars; a value or a count that no histogram can hold is an error.
func (h *Histogram) UnmarshalJSON(text []byte) error {
	var list [][2]int64
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	*h = Histogram{}
	for _, b := range list {
		if b[0] < 1 || b[0] > 2*longest/unit || b[1] < 1 {
			return invalid("histogram bar %v, expected a time of %g s at most and a count", b, float64(longest))
		}
		h.Add(float64(b[0])*unit, b[1])
	}
	return nil
}
