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
	Queue       int     // parts that may wait beyond those; more are rejected. 0 for no limit
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
	Goal             float64   // share of value within the soft deadline; 0 for none
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
func (site *Site) Check() error { return site.check(false) }

// CheckLost is Check for what a loss has left of a fleet, in which shards may have no holder.
func (site *Site) CheckLost() error { return site.check(true) }

func (site *Site) check(lost bool) error {
	var mistakes []string
	report := func(format string, args ...any) { mistakes = append(mistakes, fmt.Sprintf(format, args...)) }
	if site.Cells < 1 || site.Width < 1 || site.Width > site.Cells || site.Shards < 1 || site.Aggregators < 1 {
		report("%d cells of width %d with %d shards and %d mixers: expected at least one of each, and a width of no more than the cells", site.Cells, site.Width, site.Shards, site.Aggregators)
		return DescriptionError(strings.Join(mistakes, "\n"))
	}
	site.checkBackends(report)
	for _, shard := range site.unowned() {
		if shard < site.Cells && !lost { // the others are held by the same cells
			report("shard %d has no holder: put a searcher into one of the cells %d to %d", shard, shard, (shard+site.Width-1)%site.Cells)
		}
	}
	site.checkIndexes(report)
	if len(mistakes) > 0 {
		return DescriptionError(strings.Join(mistakes, "\n"))
	}
	return nil
}

// checkBackends reports the mistakes in single backends.
func (site *Site) checkBackends(report func(format string, args ...any)) {
	names := map[string]bool{}
	for _, backend := range site.Backends {
		if names[backend.Name] || backend.Name == "" {
			report("searcher %q is named twice, or not at all: give each a name of its own", backend.Name)
		}
		names[backend.Name] = true
		if !slices.Contains(site.Locations, backend.Location) {
			report("searcher %s stands at %q: expected one of %q", backend.Name, backend.Location, site.Locations)
		}
		if backend.Cores < 1 || !(backend.Speed > 0) || backend.Queue < 0 || backend.Connections < 0 || backend.Price < 0 {
			report("searcher %s has %d cores of speed %g, a queue of %d, %d connections: expected at least one core, a speed above 0, and no figure below 0", backend.Name, backend.Cores, backend.Speed, backend.Queue, backend.Connections)
		}
		if backend.Cell < 0 || backend.Cell >= site.Cells {
			report("searcher %s is of cell %d: expected 0 to %d", backend.Name, backend.Cell, site.Cells-1)
		}
	}
}

// checkIndexes reports the mistakes in indexes, the first of each.
func (site *Site) checkIndexes(report func(format string, args ...any)) {
	seen := map[string]bool{}
	for _, index := range site.Indexes {
		switch {
		case index.Name == "" || seen[index.Name]:
			report("index %q is named twice, or not at all", index.Name)
		case !(index.Soft > 0) || index.Hard < index.Soft:
			report("index %s has deadlines of %g and %g s: expected a soft one above 0 and a hard one no sooner", index.Name, index.Soft, index.Hard)
		case index.Hard > 600:
			report("index %s has a hard deadline of %g s: times are seconds, is it in milliseconds?", index.Name, index.Hard)
		case !(index.Work > 0):
			report("index %s states no work of a part: state it in seconds, or read it from a capture with low load", index.Name)
		case index.Work > index.Soft:
			report("index %s has a part's work of %g s, more than its soft deadline of %g s: times are seconds, is it in milliseconds?", index.Name, index.Work, index.Soft)
		case index.Goal < 0 || index.Goal > 1:
			report("index %s has a goal of %g: expected a share from 0 to 1, as 0.99", index.Name, index.Goal)
		case len(index.Shape) == 1 || !slices.IsSorted(index.Shape) || len(index.Shape) > 0 && !(index.Shape[0] >= 0):
			report("index %s has a shape of %v: expected two quantiles or more, rising from 0 or above", index.Name, index.Shape)
		case index.Scv < 0 || index.Value < 0 || index.LateValue < 0 || index.LateValue > 1:
			report("index %s has a figure below 0, or a late gain above 1", index.Name)
		}
		seen[index.Name] = true
	}
	if len(site.Indexes) == 0 {
		report("expected at least one index")
	}
}

// unowned lists the shards that no backend holds.
func (site *Site) unowned() (list []int) {
	owned := make([]bool, site.Cells)
	for _, s := range site.Backends {
		if s.Cell >= 0 && s.Cell < site.Cells {
			owned[s.Cell] = true
		}
	}
	for s := range site.Shards {
		found := false
		for j := range site.Width {
			found = found || owned[(s+j)%site.Cells]
		}
		if !found {
			list = append(list, s)
		}
	}
	return list
}

// Without is the fleet with a location lost, and the shards of which no holder is left.
func (site Site) Without(location string) (remaining Site, lost []int) {
	remaining = site
	remaining.Backends = nil
	for _, s := range site.Backends {
		if s.Location != location {
			remaining.Backends = append(remaining.Backends, s)
		}
	}
	return remaining, remaining.unowned()
}

// Slower is the fleet with every backend taking so many times as long.
func (site Site) Slower(times float64) Site {
	site.Backends = slices.Clone(site.Backends)
	for i := range site.Backends {
		site.Backends[i].Speed /= times
	}
	return site
}

// Workload is a steady load.
type Workload struct {
	QueriesPerSecond float64 // queries
	Mix              []Share
	Popular          []float64 // share of parts by shard; nil for all alike
	Bursts           float64   // squared coefficient of variation of the time between two queries, 1 for chance alone
}

// Share is one kind of query in it.
type Share struct {
	Index      int // place in the fleet's indexes
	Fraction   float64
	Subqueries int
}

// Check tells what of a load does not fit a fleet.
func (a *Workload) Check(site *Site) error {
	if !(a.QueriesPerSecond > 0) || len(a.Mix) == 0 {
		return wrong("%g lookups a second of %d kinds: expected more than none", a.QueriesPerSecond, len(a.Mix))
	}
	for _, m := range a.Mix {
		if m.Index < 0 || m.Index >= len(site.Indexes) || !(m.Fraction > 0) || m.Subqueries < 1 || m.Subqueries > site.Shards {
			return wrong("a share of %g with %d parts of index %d: expected an index of the fleet and 1 to %d parts", m.Fraction, m.Subqueries, m.Index, site.Shards)
		}
	}
	if a.Popular != nil && len(a.Popular) != site.Shards {
		return wrong("the load asks for %d shards, the fleet holds %d: describe the fleet that the capture was taken on", len(a.Popular), site.Shards)
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
	a.QueriesPerSecond *= times
	return a
}
