package capture

import (
	"cmp"
	"slices"
)

// Capture is a series of intervals, sorted by time.
type Capture struct{ Intervals []Interval }

// Merge merges the captures of several aggregators into one with intervals of span seconds. Intervals that begin in the same
// new interval are summed. It returns an error if two captures hold the same interval of an aggregator.
func Merge(span float64, captures ...Capture) (Capture, error) {
	if !(span > 0) {
		return Capture{}, invalid("intervals of %g s, expected more than none", span)
	}
	type key struct {
		aggregator string
		at         float64
	}
	seen := map[key]bool{}
	byTime := map[int64]*accumulator{}
	for _, capture := range captures {
		for n := range capture.Intervals {
			interval := &capture.Intervals[n]
			for _, aggregator := range interval.Aggregators {
				aggregatorInterval := key{aggregator, interval.At}
				if seen[aggregatorInterval] {
					return Capture{}, invalid("mixer %s has two intervals at %.3f: the same capture was given twice", aggregator, interval.At)
				}
				seen[aggregatorInterval] = true
			}
			number := int64(interval.At / span)
			sum := byTime[number]
			if sum == nil {
				sum = newAccumulator(float64(number)*span, span)
				byTime[number] = sum
			}
			sum.add(interval)
		}
	}
	var out Capture
	for _, interval := range byTime {
		interval.sort()
		out.Intervals = append(out.Intervals, interval.Interval)
	}
	out.sort()
	return out, nil
}

func (c *Capture) sort() {
	slices.SortFunc(c.Intervals, func(x, y Interval) int { return cmp.Compare(x.At, y.At) })
}

// accumulator sums intervals. Its maps hold the positions of the rows, so that adding an interval needs no search through
// all rows.
type accumulator struct {
	Interval
	loads, backends map[[2]string]int
	indexes         map[string]int
	shards          map[shardKey]int
}

type shardKey struct {
	index string
	shard int
}

func newAccumulator(at, span float64) *accumulator {
	return &accumulator{Interval{At: at, Span: span}, map[[2]string]int{}, map[[2]string]int{}, map[string]int{}, map[shardKey]int{}}
}

// row returns the row with a key. If there is none, it appends the fresh row.
func row[K comparable, R any](rows *[]R, at map[K]int, key K, fresh R) *R {
	n, known := at[key]
	if !known {
		n = len(*rows)
		at[key] = n
		*rows = append(*rows, fresh)
	}
	return &(*rows)[n]
}

// add adds an interval. Means in flight are weighted by the length of the interval, and peaks are summed.
func (i *accumulator) add(interval *Interval) {
	for _, aggregator := range interval.Aggregators {
		if !slices.Contains(i.Aggregators, aggregator) {
			i.Aggregators = append(i.Aggregators, aggregator)
		}
	}
	slices.Sort(i.Aggregators)
	i.InFlight = Level{i.InFlight.Mean + interval.InFlight.Mean*interval.Span/i.Span, i.InFlight.Peak + interval.InFlight.Peak}
	i.CallsInFlight = Level{i.CallsInFlight.Mean + interval.CallsInFlight.Mean*interval.Span/i.Span, i.CallsInFlight.Peak + interval.CallsInFlight.Peak}
	for _, l := range interval.Loads {
		sum := row(&i.Loads, i.loads, [2]string{l.Index, l.Customer}, Load{Index: l.Index, Customer: l.Customer})
		sum.Queries += l.Queries
		sum.Resent += l.Resent
		sum.Parts += l.Parts
		sum.Hint += l.Hint
		sum.Ends.add(l.Ends)
	}
	for _, l := range interval.Indexes {
		sum := row(&i.Indexes, i.indexes, l.Index, IndexLoad{Index: l.Index, Parts: map[int]int64{}})
		for parts, queries := range l.Parts {
			sum.Parts[parts] += queries
		}
		sum.Latency.Merge(l.Latency)
	}
	for _, s := range interval.Shards {
		row(&i.Shards, i.shards, shardKey{s.Index, s.Shard}, ShardLoad{Index: s.Index, Shard: s.Shard}).Parts += s.Parts
	}
	for _, s := range interval.Backends {
		sum := row(&i.Backends, i.backends, [2]string{s.Backend, s.Index}, BackendLoad{Backend: s.Backend, Location: s.Location, Index: s.Index})
		sum.Calls += s.Calls
		sum.Failed += s.Failed
		sum.Rejected += s.Rejected
		sum.Reports += s.Reports
		sum.Service += s.Service
		sum.Util += s.Util
		sum.Latency.Merge(s.Latency)
		sum.Alone.Merge(s.Alone)
	}
}

// Between returns the intervals that begin at or after from and before to, both in Unix seconds.
func (c Capture) Between(from, to float64) (out Capture, err error) {
	for _, i := range c.Intervals {
		if i.At >= from && i.At < to {
			out.Intervals = append(out.Intervals, i)
		}
	}
	if len(out.Intervals) == 0 {
		return out, invalid("nothing was captured in that time")
	}
	return out, nil
}

// Gap is a period without intervals, in Unix seconds.
type Gap struct{ From, To float64 }

// Gaps lists the periods in which intervals are missing.
func (c Capture) Gaps() (list []Gap) {
	end := 0.0
	for n, i := range c.Intervals {
		if n > 0 && i.At > end+i.Span/2 {
			list = append(list, Gap{end, i.At})
		}
		end = max(end, i.At+i.Span)
	}
	return list
}

// Sum sums all intervals into one. Its peaks in flight are the highest of all intervals.
func (c Capture) Sum() Interval {
	if len(c.Intervals) == 0 {
		return Interval{}
	}
	first, last := &c.Intervals[0], &c.Intervals[len(c.Intervals)-1]
	sum := newAccumulator(first.At, last.At+last.Span-first.At)
	for n := range c.Intervals {
		i := &c.Intervals[n]
		peaks := [2]int64{max(sum.InFlight.Peak, i.InFlight.Peak), max(sum.CallsInFlight.Peak, i.CallsInFlight.Peak)}
		sum.add(i)
		sum.InFlight.Peak, sum.CallsInFlight.Peak = peaks[0], peaks[1]
	}
	sum.sort()
	return sum.Interval
}
