package capture

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Capture is a series of intervals, by time.
type Capture struct{ Intervals []Interval }

// Merge puts the captures of several mixers into one, with intervals of span seconds. What falls into one interval is
// summed; what crosses a border counts where it begins. The error says that a mixer's time is in two captures.
func Merge(span float64, captures ...Capture) (Capture, error) {
	if !(span > 0) {
		return Capture{}, fmt.Errorf("intervals of %g s, expected more than none", span)
	}
	type key struct {
		mixer string
		at    float64
	}
	seen := map[key]bool{}
	byTime := map[int64]*Interval{}
	for _, c := range captures {
		for n := range c.Intervals {
			i := &c.Intervals[n]
			for _, m := range i.Mixers {
				if k := (key{m, i.At}); seen[k] {
					return Capture{}, fmt.Errorf("mixer %s has two intervals at %.3f: the same capture was given twice", m, i.At)
				} else {
					seen[k] = true
				}
			}
			slot := int64(i.At / span)
			into := byTime[slot]
			if into == nil {
				into = &Interval{At: float64(slot) * span, Span: span}
				byTime[slot] = into
			}
			into.add(i)
		}
	}
	var out Capture
	for _, i := range byTime {
		i.sort()
		out.Intervals = append(out.Intervals, *i)
	}
	out.sort()
	return out, nil
}

func (c *Capture) sort() {
	slices.SortFunc(c.Intervals, func(x, y Interval) int { return cmp.Compare(x.At, y.At) })
}

// add sums an interval into another. Held and out of several mixers add up, means weighed by their spans.
func (i *Interval) add(o *Interval) {
	for _, m := range o.Mixers {
		if !slices.Contains(i.Mixers, m) {
			i.Mixers = append(i.Mixers, m)
		}
	}
	slices.Sort(i.Mixers)
	i.Held = Level{i.Held.Mean + o.Held.Mean*o.Span/i.Span, i.Held.Most + o.Held.Most}
	i.Out = Level{i.Out.Mean + o.Out.Mean*o.Span/i.Span, i.Out.Most + o.Out.Most}
	for _, l := range o.Loads {
		n := slices.IndexFunc(i.Loads, func(x Load) bool { return x.Index == l.Index && x.Customer == l.Customer })
		if n < 0 {
			i.Loads = append(i.Loads, l)
			continue
		}
		x := &i.Loads[n]
		x.Lookups += l.Lookups
		x.Resent += l.Resent
		x.Parts += l.Parts
		x.Hint += l.Hint
		x.Ends.add(l.Ends)
	}
	for _, l := range o.Indexes {
		n := slices.IndexFunc(i.Indexes, func(x IndexLoad) bool { return x.Index == l.Index })
		if n < 0 {
			n = len(i.Indexes)
			i.Indexes = append(i.Indexes, IndexLoad{Index: l.Index, Parts: map[int]int64{}})
		}
		for parts, lookups := range l.Parts {
			i.Indexes[n].Parts[parts] += lookups
		}
		i.Indexes[n].Latency.merge(l.Latency)
	}
	i.addShards(o)
	i.addSearchers(o)
}

func (i *Interval) addShards(o *Interval) {
	type key struct {
		index string
		shard int
	}
	at := make(map[key]int, len(i.Shards))
	for n, s := range i.Shards {
		at[key{s.Index, s.Shard}] = n
	}
	for _, s := range o.Shards {
		if n, known := at[key{s.Index, s.Shard}]; known {
			i.Shards[n].Parts += s.Parts
		} else {
			at[key{s.Index, s.Shard}] = len(i.Shards)
			i.Shards = append(i.Shards, s)
		}
	}
}

func (i *Interval) addSearchers(o *Interval) {
	at := make(map[[2]string]int, len(i.Searchers))
	for n, s := range i.Searchers {
		at[[2]string{s.Searcher, s.Index}] = n
	}
	for _, s := range o.Searchers {
		k := [2]string{s.Searcher, s.Index}
		n, known := at[k]
		if !known {
			n = len(i.Searchers)
			at[k] = n
			i.Searchers = append(i.Searchers, SearcherLoad{Searcher: s.Searcher, Location: s.Location, Index: s.Index})
		}
		x := &i.Searchers[n]
		x.Calls += s.Calls
		x.Failed += s.Failed
		x.TurnedAway += s.TurnedAway
		x.Reports += s.Reports
		x.Service += s.Service
		x.Util += s.Util
		x.Latency.merge(s.Latency)
		x.Alone.merge(s.Alone)
	}
}

// Cut keeps what begins from a time on and before another, Unix seconds.
func (c Capture) Cut(from, to float64) (out Capture, err error) {
	for _, i := range c.Intervals {
		if i.At >= from && i.At < to {
			out.Intervals = append(out.Intervals, i)
		}
	}
	if len(out.Intervals) == 0 {
		return out, errors.New("nothing was captured in that time")
	}
	return out, nil
}

// Hole is a time of which nothing was captured, Unix seconds.
type Hole struct{ From, To float64 }

// Holes lists where an interval is missing.
func (c Capture) Holes() (list []Hole) {
	end := 0.0
	for n, i := range c.Intervals {
		if n > 0 && i.At > end+i.Span/2 {
			list = append(list, Hole{end, i.At})
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
	sum := Interval{At: first.At, Span: last.At + last.Span - first.At}
	for n := range c.Intervals {
		i := &c.Intervals[n]
		most := [2]int64{max(sum.Held.Most, i.Held.Most), max(sum.Out.Most, i.Out.Most)}
		sum.add(i)
		sum.Held.Most, sum.Out.Most = most[0], most[1]
	}
	sum.sort()
	return sum
}
