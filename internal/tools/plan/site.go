// Package plan says beforehand what a load does to a fleet: it plays queries through the aggregators' own decision module
// against modelled backends, in its own time, and looks for what breaks first. It does no I/O, has no clock and no
// goroutine; the same seed gives the same figures.
package plan

import (
	"fmt"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/policy"
)

// Backend is one of a fleet.
type Backend struct {
	Name        string
	Location    string
	Cell        int
	Cores       int     // parts that it works on at once
	Speed       float64 // 1 takes an index's work as stated, 2 half as long
	Queue       int     // parts that may wait beyond those; more are turned away. 0 for no limit
	Connections int     // connections that it takes; 0 for no limit
	Price       float64
}

// Index is one index of a fleet. Times are seconds.
type Index struct {
	Name             string
	Effect           policy.Effect
	Soft, Hard       float64
	Value, LateValue float64   // of a query, and the share of it after the soft deadline
	Work             float64   // of a part, in the mean
	Scv              float64   // squared coefficient of variation of that, where no shape is stated: work is lognormal then
	Shape            []float64 // quantiles of work against its mean, evenly apart from the least to the most; nil for none
	Goal             float64   // share of gain within the soft deadline; 0 for none
}

// Site is what a load meets. Times are seconds.
type Site struct {
	Locations   []string
	Cells       int
	Width       int
	Shards      int
	Backends    []Backend
	Indexes     []Index
	Aggregators int
	MaxPending  int     // queries and parts that an aggregator may hold; 0 for no limit
	Step        float64 // least time between two steps of an aggregator
	Network     float64 // one way, aggregator to backend
	MaxAttempts int     // part calls of a part
	Retries     int     // of a client whose query was nacked
	Backoff     float64 // before each
	Multiplex   int     // calls that one connection carries; 0 for no limit
	Descriptors int     // descriptors that an aggregator has for backends; 0 for no limit
}

// Check tells every mistake with what to do about it, a line each.
func (f *Site) Check() error { return f.check(false) }

// CheckLost is Check for what a loss has left of a fleet, in which shards may have no holder.
func (f *Site) CheckLost() error { return f.check(true) }

func (f *Site) check(lost bool) error {
	var wrong []string
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	if f.Cells < 1 || f.Width < 1 || f.Width > f.Cells || f.Shards < 1 || f.Aggregators < 1 {
		say("%d cells of width %d with %d shards and %d mixers: expected at least one of each, and a width of no more than the cells", f.Cells, f.Width, f.Shards, f.Aggregators)
		return DescriptionError(strings.Join(wrong, "\n"))
	}
	names := map[string]bool{}
	for _, s := range f.Backends {
		if names[s.Name] || s.Name == "" {
			say("searcher %q is named twice, or not at all: give each a name of its own", s.Name)
		}
		names[s.Name] = true
		if !slices.Contains(f.Locations, s.Location) {
			say("searcher %s stands at %q: expected one of %q", s.Name, s.Location, f.Locations)
		}
		if s.Cores < 1 || !(s.Speed > 0) || s.Queue < 0 || s.Connections < 0 || s.Price < 0 {
			say("searcher %s has %d cores of speed %g, a queue of %d, %d connections: expected at least one core, a speed above 0, and no figure below 0", s.Name, s.Cores, s.Speed, s.Queue, s.Connections)
		}
		if s.Cell < 0 || s.Cell >= f.Cells {
			say("searcher %s is of cell %d: expected 0 to %d", s.Name, s.Cell, f.Cells-1)
		}
	}
	for _, s := range f.unowned() {
		if s < f.Cells && !lost { // the others are held by the same cells
			say("shard %d has no holder: put a searcher into one of the cells %d to %d", s, s, (s+f.Width-1)%f.Cells)
		}
	}
	seen := map[string]bool{}
	for _, x := range f.Indexes {
		switch {
		case x.Name == "" || seen[x.Name]:
			say("index %q is named twice, or not at all", x.Name)
		case !(x.Soft > 0) || x.Hard < x.Soft:
			say("index %s has deadlines of %g and %g s: expected a soft one above 0 and a hard one no sooner", x.Name, x.Soft, x.Hard)
		case x.Hard > 600:
			say("index %s has a hard deadline of %g s: times are seconds, is it in milliseconds?", x.Name, x.Hard)
		case !(x.Work > 0):
			say("index %s states no work of a part: state it in seconds, or read it from a capture with low load", x.Name)
		case x.Work > x.Soft:
			say("index %s has a part's work of %g s, more than its soft deadline of %g s: times are seconds, is it in milliseconds?", x.Name, x.Work, x.Soft)
		case x.Goal < 0 || x.Goal > 1:
			say("index %s has a goal of %g: expected a share from 0 to 1, as 0.99", x.Name, x.Goal)
		case len(x.Shape) == 1 || !slices.IsSorted(x.Shape) || len(x.Shape) > 0 && !(x.Shape[0] >= 0):
			say("index %s has a shape of %v: expected two quantiles or more, rising from 0 or above", x.Name, x.Shape)
		case x.Scv < 0 || x.Value < 0 || x.LateValue < 0 || x.LateValue > 1:
			say("index %s has a figure below 0, or a late gain above 1", x.Name)
		}
		seen[x.Name] = true
	}
	if len(f.Indexes) == 0 {
		say("expected at least one index")
	}
	if len(wrong) > 0 {
		return DescriptionError(strings.Join(wrong, "\n"))
	}
	return nil
}

// unowned lists the shards that no backend holds.
func (f *Site) unowned() (list []int) {
	owned := make([]bool, f.Cells)
	for _, s := range f.Backends {
		if s.Cell >= 0 && s.Cell < f.Cells {
			owned[s.Cell] = true
		}
	}
	for s := range f.Shards {
		found := false
		for j := range f.Width {
			found = found || owned[(s+j)%f.Cells]
		}
		if !found {
			list = append(list, s)
		}
	}
	return list
}

// Without is the fleet with a location lost, and the shards of which no holder is left.
func (f Site) Without(location string) (left Site, lost []int) {
	left = f
	left.Backends = nil
	for _, s := range f.Backends {
		if s.Location != location {
			left.Backends = append(left.Backends, s)
		}
	}
	return left, left.unowned()
}

// Slower is the fleet with every backend taking so many times as long.
func (f Site) Slower(times float64) Site {
	f.Backends = slices.Clone(f.Backends)
	for i := range f.Backends {
		f.Backends[i].Speed /= times
	}
	return f
}

// Workload is a steady load.
type Workload struct {
	PerS    float64 // queries
	Mix     []Share
	Popular []float64 // share of parts by shard; nil for all alike
	Bursts  float64   // squared coefficient of variation of the time between two queries, 1 for chance alone
}

// Share is one kind of query in it.
type Share struct {
	Index      int // place in the fleet's indexes
	Fraction   float64
	Subqueries int
}

// Check tells what of a load does not fit a fleet.
func (a *Workload) Check(f *Site) error {
	if !(a.PerS > 0) || len(a.Mix) == 0 {
		return wrong("%g lookups a second of %d kinds: expected more than none", a.PerS, len(a.Mix))
	}
	for _, m := range a.Mix {
		if m.Index < 0 || m.Index >= len(f.Indexes) || !(m.Fraction > 0) || m.Subqueries < 1 || m.Subqueries > f.Shards {
			return wrong("a share of %g with %d parts of index %d: expected an index of the fleet and 1 to %d parts", m.Fraction, m.Subqueries, m.Index, f.Shards)
		}
	}
	if a.Popular != nil && len(a.Popular) != f.Shards {
		return wrong("the load asks for %d shards, the fleet holds %d: describe the fleet that the capture was taken on", len(a.Popular), f.Shards)
	}
	return nil
}

// subqueries is how many a query has in the mean.
func (a *Workload) subqueries() (n float64) {
	for _, m := range a.Mix {
		n += m.Fraction * float64(m.Subqueries)
	}
	return n
}

// Scaled is the load at another rate.
func (a Workload) Scaled(times float64) Workload {
	a.PerS *= times
	return a
}
