package capture

import (
	"cmp"
	"slices"
)

// Capture is a series of intervals, by time.
type Capture struct{ Intervals []Interval }

// Merge puts the captures of several aggregators into one, with intervals of span seconds. What falls into one interval is
// summed; what crosses a border counts where it begins. The error says that an aggregator's time is in two captures.
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

// accumulator is an interval into which others are summed, and where its rows stand: of a day's intervals each would
// otherwise be looked through for each other.
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

// row finds a row by its key, and puts a fresh one where there is none.
func row[K comparable, R any](rows *[]R, at map[K]int, key K, fresh R) *R {
	n, known := at[key]
	if !known {
		n = len(*rows)
		at[key] = n
		*rows = append(*rows, fresh)
	}
	return &(*rows)[n]
}

// add sums an interval in. Held and out of several aggregators add up, means weighed by their spans.
func (i *accumulator) add(interval *Interval) {
	for _, aggregator := range interval.Aggregators {
		if !slices.Contains(i.Aggregators, aggregator) {
			i.Aggregators = append(i.Aggregators, aggregator)
		}
	}
	slices.Sort(i.Aggregators)
	i.InFlight = Level{i.InFlight.Mean + interval.InFlight.Mean*interval.Span/i.Span, i.InFlight.Most + interval.InFlight.Most}
	i.CallsInFlight = Level{i.CallsInFlight.Mean + interval.CallsInFlight.Mean*interval.Span/i.Span, i.CallsInFlight.Most + interval.CallsInFlight.Most}
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

// Cut keeps what begins from a time on and before another, Unix seconds.
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

// Gap is a time of which nothing was captured, Unix seconds.
type Gap struct{ From, To float64 }

// Gaps lists where an interval is missing.
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

// Sum is all of a capture as one interval.
func (c Capture) Sum() Interval {
	if len(c.Intervals) == 0 {
		return Interval{}
	}
	first, last := &c.Intervals[0], &c.Intervals[len(c.Intervals)-1]
	sum := newAccumulator(first.At, last.At+last.Span-first.At)
	for n := range c.Intervals {
		i := &c.Intervals[n]
		peaks := [2]int64{max(sum.InFlight.Most, i.InFlight.Most), max(sum.CallsInFlight.Most, i.CallsInFlight.Most)}
		sum.add(i)
		sum.InFlight.Most, sum.CallsInFlight.Most = peaks[0], peaks[1]
	}
	sum.sort()
	return sum.Interval
}
