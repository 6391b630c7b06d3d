// Package plan is the capacity planner. It predicts how a deployment behaves under a workload by a discrete-event emulation:
// the aggregators run the real policy, and backends, clients and the network are modelled. On top of the emulation it finds
// the load at which goals are missed, the nearest limits, the cheapest backends to buy and a placement of shards.
//
// Results are deterministic: the same seed gives the same figures. The package does no I/O, reads no clock and starts no
// goroutines. The plan commands and package validate call it.
package plan

import (
	"fmt"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/policy"
)

// Backend describes one backend of a deployment.
type Backend struct {
	Name        string
	Location    string
	Cell        int     // position of its cell, from 0
	Cores       int     // number of subqueries that it processes at once
	Speed       float64 // relative speed: at 2, work takes half the stated time
	Queue       int     // subqueries that may wait for a core; further ones are rejected. 0 means no limit
	Connections int     // connections that it accepts from all aggregators; 0 means no limit
	Price       float64 // in any unit, the same for all backends
}

// Index describes one index of a deployment. Times are in seconds.
type Index struct {
	Name             string
	Effect           policy.Effect
	Soft, Hard       float64   // soft and hard deadline of a query
	Value, LateValue float64   // value of an answered query, and the share of it that remains after the soft deadline
	Work             float64   // mean processing time of a subquery on a core of speed 1
	WorkSCV          float64   // squared coefficient of variation of lognormal work; unused if WorkQuantiles is set
	WorkQuantiles    []float64 // quantiles of work divided by Work, at evenly spaced probabilities from 0 to 1; nil for lognormal work
	Goal             float64   // required share of queries answered within the soft deadline; 0 means no goal
}

// Site describes a deployment: its backends, indexes, aggregators, and how clients retry. Times are in seconds.
type Site struct {
	Locations          []string
	Cells              int // number of cells
	Width              int // number of consecutive cells that hold each shard
	Shards             int // number of shards
	Backends           []Backend
	Indexes            []Index
	Aggregators        int     // number of aggregators
	MaxPending         int     // queries and subqueries that an aggregator may hold at once; 0 means no limit
	StepInterval       float64 // minimum time between two steps of an aggregator's policy
	NetworkDelay       float64 // one-way delay between an aggregator and a backend
	MaxAttempts        int     // maximum number of calls for one subquery
	Retries            int     // retries by a client after its query was nacked
	Backoff            float64 // mean delay before a client's retry
	CallsPerConnection int     // concurrent calls on one connection; 0 means no limit
	FileDescriptors    int     // file descriptors that an aggregator has for backend connections; 0 means no limit
}

// Check returns a DescriptionError that lists the mistakes in the description, one a line, or nil. Invalid sizes of the
// layout are reported alone, because the other checks need them.
func (site *Site) Check() error { return site.check(false) }

// CheckAfterLoss is like Check but accepts shards that no backend holds. It is for a deployment that has lost backends.
func (site *Site) CheckAfterLoss() error { return site.check(true) }

func (site *Site) check(afterLoss bool) error {
	var mistakes []string
	report := func(format string, args ...any) { mistakes = append(mistakes, fmt.Sprintf(format, args...)) }
	if site.Cells < 1 || site.Width < 1 || site.Width > site.Cells || site.Shards < 1 || site.Aggregators < 1 {
		report("%d cells of width %d with %d shards and %d mixers: expected at least one of each, and a width of no more than the cells", site.Cells, site.Width, site.Shards, site.Aggregators)
		return DescriptionError(strings.Join(mistakes, "\n"))
	}
	site.checkBackends(report)
	for _, shard := range site.shardsWithoutBackend() {
		if shard < site.Cells && !afterLoss { // shards from Cells on repeat the cells of the first ones
			report("shard %d has no holder: put a searcher into one of the cells %d to %d", shard, shard, (shard+site.Width-1)%site.Cells)
		}
	}
	site.checkIndexes(report)
	if len(mistakes) > 0 {
		return DescriptionError(strings.Join(mistakes, "\n"))
	}
	return nil
}

// checkBackends reports mistakes in the descriptions of the backends.
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

// checkIndexes reports the first mistake of each index.
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
		case len(index.WorkQuantiles) == 1 || !slices.IsSorted(index.WorkQuantiles) || len(index.WorkQuantiles) > 0 && !(index.WorkQuantiles[0] >= 0):
			report("index %s has a shape of %v: expected two quantiles or more, rising from 0 or above", index.Name, index.WorkQuantiles)
		case index.WorkSCV < 0 || index.Value < 0 || index.LateValue < 0 || index.LateValue > 1:
			report("index %s has a figure below 0, or a late gain above 1", index.Name)
		}
		seen[index.Name] = true
	}
	if len(site.Indexes) == 0 {
		report("expected at least one index")
	}
}

// shardsWithoutBackend returns the shards that no backend holds.
func (site *Site) shardsWithoutBackend() (list []int) {
	hasBackend := make([]bool, site.Cells)
	for _, backend := range site.Backends {
		if backend.Cell >= 0 && backend.Cell < site.Cells {
			hasBackend[backend.Cell] = true
		}
	}
	for shard := range site.Shards {
		found := false
		for offset := range site.Width {
			found = found || hasBackend[(shard+offset)%site.Cells]
		}
		if !found {
			list = append(list, shard)
		}
	}
	return list
}

// WithoutLocation returns the deployment without the backends of a location, and the shards that no remaining backend holds.
func (site Site) WithoutLocation(location string) (remaining Site, lost []int) {
	remaining = site
	remaining.Backends = nil
	for _, backend := range site.Backends {
		if backend.Location != location {
			remaining.Backends = append(remaining.Backends, backend)
		}
	}
	return remaining, remaining.shardsWithoutBackend()
}

// Slower returns the deployment with all processing times multiplied by factor.
func (site Site) Slower(factor float64) Site {
	site.Backends = slices.Clone(site.Backends)
	for i := range site.Backends {
		site.Backends[i].Speed /= factor
	}
	return site
}

// Workload describes a steady load of queries.
type Workload struct {
	QueriesPerSecond float64
	Mix              []QueryKind
	Popularity       []float64 // relative frequency of each shard among the subqueries; nil means uniform
	InterarrivalSCV  float64   // squared coefficient of variation of the time between two queries; 0 and 1 mean a Poisson process
}

// QueryKind describes one kind of query in a workload.
type QueryKind struct {
	Index      int     // position in Site.Indexes
	Fraction   float64 // share of all queries
	Subqueries int     // number of subqueries of each query
}

// Check returns a DescriptionError if the workload is invalid or does not fit the deployment.
func (workload *Workload) Check(site *Site) error {
	if !(workload.QueriesPerSecond > 0) || len(workload.Mix) == 0 {
		return invalid("%g lookups a second of %d kinds: expected more than none", workload.QueriesPerSecond, len(workload.Mix))
	}
	for _, kind := range workload.Mix {
		if kind.Index < 0 || kind.Index >= len(site.Indexes) || !(kind.Fraction > 0) || kind.Subqueries < 1 || kind.Subqueries > site.Shards {
			return invalid("a share of %g with %d parts of index %d: expected an index of the fleet and 1 to %d parts", kind.Fraction, kind.Subqueries, kind.Index, site.Shards)
		}
	}
	if workload.Popularity != nil && len(workload.Popularity) != site.Shards {
		return invalid("the load asks for %d shards, the fleet holds %d: describe the fleet that the capture was taken on", len(workload.Popularity), site.Shards)
	}
	return nil
}

// meanSubqueries returns the mean number of subqueries of a query.
func (workload *Workload) meanSubqueries() (mean float64) {
	for _, kind := range workload.Mix {
		mean += kind.Fraction * float64(kind.Subqueries)
	}
	return mean
}

// Scaled returns the workload with its rate multiplied by factor.
func (workload Workload) Scaled(factor float64) Workload {
	workload.QueriesPerSecond *= factor
	return workload
}
