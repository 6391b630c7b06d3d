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
	Most   float64 `json:"Most"`
	Margin float64 `json:"Margin"` // most / used: 1 is at the limit
}

// Limits lists what may break, the nearest first. What has no limit is left out.
func (o *Outcome) Limits(f *Site) (list []Limit) {
	add := func(what, where string, used, most float64) {
		if most > 0 && used > 0 {
			list = append(list, Limit{what, where, used, most, most / used})
		}
	}
	hot := f.Backends[o.Hottest]
	add("cores", hot.Name, o.Use[o.Hottest]*float64(hot.Cores), float64(hot.Cores))
	for _, place := range f.Locations {
		used, all := 0.0, 0.0
		for i, s := range f.Backends {
			if s.Location == place {
				used, all = used+o.Use[i]*float64(s.Cores), all+float64(s.Cores)
			}
		}
		add("cores", "location "+place, used, all)
	}
	queue := 0
	for _, s := range f.Backends {
		if s.Queue > 0 && (queue == 0 || s.Queue < queue) {
			queue = s.Queue
		}
	}
	add("queue", "the fullest searcher", float64(o.MaxQueue), float64(queue))
	add("most held", "each mixer", float64(o.MaxPending), float64(f.MaxPending))
	lines := float64(len(f.Backends)) // one to each at least
	if f.Multiplex > 0 {
		lines = max(lines, math.Ceil(float64(o.MaxInFlight)/float64(f.Multiplex)))
	}
	add("descriptors", "each mixer", lines, float64(f.Descriptors))
	for _, s := range f.Backends {
		if s.Connections > 0 {
			add("connections", s.Name, float64(f.Aggregators)*max(1, lines/float64(len(f.Backends))), float64(s.Connections))
			break
		}
	}
	slices.SortStableFunc(list, func(x, y Limit) int { return cmp.Compare(x.Margin, y.Margin) })
	return list
}

// MeetsGoals tells whether an outcome keeps the goals of the indexes that were asked, and which falls short most, "" for none.
func (o *Outcome) MeetsGoals(f *Site) (bool, string) {
	worst, by := "", 0.0
	for k, x := range f.Indexes {
		if short := x.Goal - o.ByIndex[k]; o.Queries[k] > 0 && short > by {
			worst, by = x.Name, short
		}
	}
	return worst == "", worst
}

// BreakingLoad is where the goals break as a load grows.
type BreakingLoad struct {
	PerS     float64 `json:"PerS"`     // the most that keeps them, queries a second
	Fails    float64 `json:"Fails"`    // the least that was seen to break them
	Index    string  `json:"Index"`    // whose goal breaks first
	First    Limit   `json:"First"`    // what was nearest its limit there
	Searched int     `json:"Searched"` // emulations
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
func FindBreakingLoad(f *Site, a *Workload, seed uint64, progress func(done, of int)) (BreakingLoad, error) {
	if !slices.ContainsFunc(f.Indexes, func(x Index) bool { return x.Goal > 0 }) {
		return BreakingLoad{}, wrong("no index has a goal: state one, as 0.99")
	}
	var b BreakingLoad
	low, high := 0.0, 0.0
	try := a.PerS
	for b.Searched < maxEmulations && (low == 0 || high == 0 || high/low > 1+bracketTolerance) {
		b.Searched++
		if progress != nil {
			progress(b.Searched, maxEmulations)
		}
		asked := a.Scaled(try / a.PerS)
		o := Emulate(f, &asked, seed, 0)
		ok, index := o.MeetsGoals(f)
		if ok && o.Use[o.Hottest] > maxUtilization {
			ok, index = false, "all of them, by a queue that grows"
		}
		if ok {
			low = try
		} else {
			high, b.Index = try, index
			if limits := o.Limits(f); len(limits) > 0 {
				b.First = limits[0]
			}
		}
		switch {
		case high == 0:
			try = low * 2
		case low == 0:
			try = high / 2
		default:
			try = math.Sqrt(low * high)
		}
	}
	b.PerS, b.Fails = low, high
	if low == 0 {
		return b, wrong("the goals of %s are not kept at any load that was tried, down to %.3g lookups a second: they ask for more than the fleet's work and network allow", b.Index, high)
	}
	return b, nil
}

// WhatIf is a named change of fleet and load.
type WhatIf struct {
	Name string
	Site Site
	Ask  Workload
	Lost []int // shards that no backend holds any more: they are lost, not overloaded
}

// WhatIfs are the usual ones: as it is, a burst, all slower, each location lost, both, and all traffic to each index.
func WhatIfs(f *Site, a *Workload) (list []WhatIf) {
	list = append(list, WhatIf{Name: "as it is", Site: *f, Ask: *a},
		WhatIf{Name: "burst x 2", Site: *f, Ask: a.Scaled(2)},
		WhatIf{Name: "all 1.5 times slower", Site: f.Slower(1.5), Ask: *a})
	for _, place := range f.Locations {
		left, lost := f.Without(place)
		if len(left.Backends) == 0 {
			continue
		}
		list = append(list, WhatIf{"location " + place + " lost", left, *a, lost},
			WhatIf{"location " + place + " lost, all 1.5 times slower", left.Slower(1.5), *a, lost})
	}
	if len(a.Mix) > 1 {
		for _, m := range a.Mix {
			moved := *a
			moved.Mix = []Share{{m.Index, 1, m.Subqueries}}
			list = append(list, WhatIf{Name: "all traffic to " + f.Indexes[m.Index].Name, Site: *f, Ask: moved})
		}
	}
	return list
}

// Recovers plays a burst and then the usual load, and tells whether the usual load keeps the goals again: clients that
// come back may hold a fleet down that would bear them one by one. Where it does not, Leave is the load to go down to.
func Recovers(f *Site, a *Workload, burst float64, seed uint64) (recovers bool, leave float64) {
	for share := 1.0; share > 0.1; share -= 0.1 {
		asked := a.Scaled(share)
		w := newSimulation(f, &asked, seed)
		usual := asked.PerS
		w.warm = maxWarmUp + burstDuration*2
		w.end = w.warm + max(3*minDuration, measuredQueries/usual)
		w.schedule(maxWarmUp, func() { asked.PerS = burst * a.PerS })
		w.schedule(maxWarmUp+burstDuration, func() { asked.PerS = usual })
		w.arrive()
		for len(w.pending) > 0 && w.pending[0].at < w.end+10 {
			w.runNextEvent()
		}
		if o := w.summarize(); first(o.MeetsGoals(f)) {
			return share == 1, share * a.PerS
		}
	}
	return false, 0
}

// burstDuration is how long a burst lasts that Recovers plays, seconds.
const burstDuration = 3.0

func first(ok bool, _ string) bool { return ok }
