package plan

import (
	"cmp"
	"math"
	"slices"
)

// Limit is one thing that may break, with how much more load it bears.
type Limit struct {
	What   string  `json:"What"`  // cores, queue, most held, connections, descriptors
	Where  string  `json:"Where"` // a backend, a location, or "each aggregator"
	Used   float64 `json:"Used"`  // at this load, in the limit's own unit
	Max    float64 `json:"Most"`
	Margin float64 `json:"Margin"` // most / used: 1 is at the limit
}

// Limits lists what may break, the nearest first. What has no limit is left out.
func (o *Outcome) Limits(site *Site) (list []Limit) {
	add := func(what, where string, used, most float64) {
		if most > 0 && used > 0 {
			list = append(list, Limit{what, where, used, most, most / used})
		}
	}
	hottest := site.Backends[o.Hottest]
	add("cores", hottest.Name, o.Use[o.Hottest]*float64(hottest.Cores), float64(hottest.Cores))
	for _, location := range site.Locations {
		used, all := 0.0, 0.0
		for i, backend := range site.Backends {
			if backend.Location == location {
				used, all = used+o.Use[i]*float64(backend.Cores), all+float64(backend.Cores)
			}
		}
		add("cores", "location "+location, used, all)
	}
	queue := 0
	for _, backend := range site.Backends {
		if backend.Queue > 0 && (queue == 0 || backend.Queue < queue) {
			queue = backend.Queue
		}
	}
	add("queue", "the fullest searcher", float64(o.MaxQueue), float64(queue))
	add("most held", "each mixer", float64(o.MaxPending), float64(site.MaxPending))
	descriptors := float64(len(site.Backends)) // one to each at least
	if site.Multiplex > 0 {
		descriptors = max(descriptors, math.Ceil(float64(o.MaxInFlight)/float64(site.Multiplex)))
	}
	add("descriptors", "each mixer", descriptors, float64(site.Descriptors))
	for _, backend := range site.Backends {
		if backend.Connections > 0 {
			add("connections", backend.Name, float64(site.Aggregators)*max(1, descriptors/float64(len(site.Backends))), float64(backend.Connections))
			break
		}
	}
	slices.SortStableFunc(list, func(x, y Limit) int { return cmp.Compare(x.Margin, y.Margin) })
	return list
}

// MeetsGoals tells whether an outcome keeps the goals of the indexes that were asked, and which falls short most, "" for none.
func (o *Outcome) MeetsGoals(site *Site) (bool, string) {
	worst, by := "", 0.0
	for k, x := range site.Indexes {
		if short := x.Goal - o.ByIndex[k]; o.Queries[k] > 0 && short > by {
			worst, by = x.Name, short
		}
	}
	return worst == "", worst
}

// BreakingLoad is where the goals break as a load grows.
type BreakingLoad struct {
	QueriesPerSecond float64 `json:"PerS"`     // the most that keeps them, queries a second
	Fails            float64 `json:"Fails"`    // the least that was seen to break them
	Index            string  `json:"Index"`    // whose goal breaks first
	First            Limit   `json:"First"`    // what was nearest its limit there
	Searched         int     `json:"Searched"` // emulations
}

const (
	// bracketTolerance is how near the two sides of a breaking load are brought: a third of what predictions are held to.
	bracketTolerance = 0.05
	// maxUtilization is the use of a backend's cores beyond which its queue grows for good: within an emulation's seconds that
	// breaks no goal yet, within an hour it does.
	maxUtilization = 0.97
	// maxEmulations bounds the search.
	maxEmulations = 24
)

// FindBreakingLoad finds the load at which the goals break, by doubling and halving. A fleet without goals never does.
func FindBreakingLoad(site *Site, workload *Workload, seed uint64, progress func(done, of int)) (BreakingLoad, error) {
	if !slices.ContainsFunc(site.Indexes, func(x Index) bool { return x.Goal > 0 }) {
		return BreakingLoad{}, wrong("no index has a goal: state one, as 0.99")
	}
	var breaking BreakingLoad
	low, high := 0.0, 0.0
	rate := workload.QueriesPerSecond
	for breaking.Searched < maxEmulations && (low == 0 || high == 0 || high/low > 1+bracketTolerance) {
		breaking.Searched++
		if progress != nil {
			progress(breaking.Searched, maxEmulations)
		}
		scaled := workload.Scaled(rate / workload.QueriesPerSecond)
		outcome := Emulate(site, &scaled, seed, 0)
		ok, index := outcome.MeetsGoals(site)
		if ok && outcome.Use[outcome.Hottest] > maxUtilization {
			ok, index = false, "all of them, by a queue that grows"
		}
		if ok {
			low = rate
		} else {
			high, breaking.Index = rate, index
			if limits := outcome.Limits(site); len(limits) > 0 {
				breaking.First = limits[0]
			}
		}
		switch {
		case high == 0:
			rate = low * 2
		case low == 0:
			rate = high / 2
		default:
			rate = math.Sqrt(low * high)
		}
	}
	breaking.QueriesPerSecond, breaking.Fails = low, high
	if low == 0 {
		return breaking, wrong("the goals of %s are not kept at any load that was tried, down to %.3g lookups a second: they ask for more than the fleet's work and network allow", breaking.Index, high)
	}
	return breaking, nil
}

// WhatIf is a named change of fleet and load.
type WhatIf struct {
	Name     string
	Site     Site
	Workload Workload
	Lost     []int // shards that no backend holds any more: they are lost, not overloaded
}

// WhatIfs are the usual ones: as it is, a burst, all slower, each location lost, both, and all traffic to each index.
func WhatIfs(site *Site, workload *Workload) (list []WhatIf) {
	list = append(list, WhatIf{Name: "as it is", Site: *site, Workload: *workload},
		WhatIf{Name: "burst x 2", Site: *site, Workload: workload.Scaled(2)},
		WhatIf{Name: "all 1.5 times slower", Site: site.Slower(1.5), Workload: *workload})
	for _, place := range site.Locations {
		remaining, lost := site.Without(place)
		if len(remaining.Backends) == 0 {
			continue
		}
		list = append(list, WhatIf{"location " + place + " lost", remaining, *workload, lost},
			WhatIf{"location " + place + " lost, all 1.5 times slower", remaining.Slower(1.5), *workload, lost})
	}
	if len(workload.Mix) > 1 {
		for _, m := range workload.Mix {
			moved := *workload
			moved.Mix = []Share{{m.Index, 1, m.Subqueries}}
			list = append(list, WhatIf{Name: "all traffic to " + site.Indexes[m.Index].Name, Site: *site, Workload: moved})
		}
	}
	return list
}

// Recovers plays a burst and then the usual load, and tells whether the usual load keeps the goals again: clients that
// come back may hold a fleet down that would bear them one by one. Where it does not, Leave is the load to go down to.
func Recovers(site *Site, workload *Workload, burst float64, seed uint64) (recovers bool, leave float64) {
	for share := 1.0; share > 0.1; share -= 0.1 {
		scaled := workload.Scaled(share)
		sim := newSimulation(site, &scaled, seed)
		usual := scaled.QueriesPerSecond
		sim.warm = maxWarmUp + burstDuration*2
		sim.end = sim.warm + max(3*minDuration, measuredQueries/usual)
		sim.schedule(maxWarmUp, func() { scaled.QueriesPerSecond = burst * workload.QueriesPerSecond })
		sim.schedule(maxWarmUp+burstDuration, func() { scaled.QueriesPerSecond = usual })
		sim.arrive()
		for len(sim.pending) > 0 && sim.pending[0].at < sim.end+10 {
			sim.runNextEvent()
		}
		if o := sim.summarize(); first(o.MeetsGoals(site)) {
			return share == 1, share * workload.QueriesPerSecond
		}
	}
	return false, 0
}

// burstDuration is how long a burst lasts that Recovers plays, seconds.
const burstDuration = 3.0

func first(ok bool, _ string) bool { return ok }
