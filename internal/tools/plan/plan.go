package plan

import (
	"cmp"
	"math"
	"slices"
)

// Limit is the usage of a resource against its limit.
type Limit struct {
	Resource string  `json:"What"`  // cores, queue, most held, connections, descriptors
	Scope    string  `json:"Where"` // a backend, a location, or each aggregator; names as in the output
	Used     float64 `json:"Used"`  // at the emulated load, in the unit of the resource
	Max      float64 `json:"Most"`
	Margin   float64 `json:"Margin"` // Max / Used; 1 means that the limit is reached
}

// Limits returns the limits of the deployment, the nearest first. Resources that are unlimited or unused are left out.
func (outcome *Outcome) Limits(site *Site) (list []Limit) {
	add := func(resource, scope string, used, limit float64) {
		if limit > 0 && used > 0 {
			list = append(list, Limit{resource, scope, used, limit, limit / used})
		}
	}
	hottest := site.Backends[outcome.Hottest]
	add("cores", hottest.Name, outcome.Utilization[outcome.Hottest]*float64(hottest.Cores), float64(hottest.Cores))
	for _, location := range site.Locations {
		used, total := 0.0, 0.0
		for i, backend := range site.Backends {
			if backend.Location == location {
				used, total = used+outcome.Utilization[i]*float64(backend.Cores), total+float64(backend.Cores)
			}
		}
		add("cores", "location "+location, used, total)
	}
	queueLimit := 0
	for _, backend := range site.Backends {
		if backend.Queue > 0 && (queueLimit == 0 || backend.Queue < queueLimit) {
			queueLimit = backend.Queue
		}
	}
	add("queue", "the fullest searcher", float64(outcome.MaxQueue), float64(queueLimit))
	add("most held", "each mixer", float64(outcome.MaxPending), float64(site.MaxPending))
	connections := float64(len(site.Backends)) // at least one to each backend
	if site.CallsPerConnection > 0 {
		connections = max(connections, math.Ceil(float64(outcome.MaxInFlight)/float64(site.CallsPerConnection)))
	}
	add("descriptors", "each mixer", connections, float64(site.FileDescriptors))
	for _, backend := range site.Backends {
		if backend.Connections > 0 {
			add("connections", backend.Name, float64(site.Aggregators)*max(1, connections/float64(len(site.Backends))), float64(backend.Connections))
			break
		}
	}
	slices.SortStableFunc(list, func(x, y Limit) int { return cmp.Compare(x.Margin, y.Margin) })
	return list
}

// MeetsGoals reports whether all indexes that were queried meet their goals. If not, it also returns the name of the index
// with the largest shortfall.
func (outcome *Outcome) MeetsGoals(site *Site) (bool, string) {
	worstIndex, largestShortfall := "", 0.0
	for indexNo, index := range site.Indexes {
		if shortfall := index.Goal - outcome.InTimeByIndex[indexNo]; outcome.Queries[indexNo] > 0 && shortfall > largestShortfall {
			worstIndex, largestShortfall = index.Name, shortfall
		}
	}
	return worstIndex == "", worstIndex
}

// BreakingLoad is the load at which the goals are missed as the load grows.
type BreakingLoad struct {
	QueriesPerSecond float64 `json:"PerS"`     // highest rate that was found to meet the goals
	LowestFailing    float64 `json:"Fails"`    // lowest rate that was found to miss them, in queries per second
	Index            string  `json:"Index"`    // index with the largest shortfall at LowestFailing, or a text on growing queues
	NearestLimit     Limit   `json:"First"`    // nearest limit at LowestFailing
	Emulations       int     `json:"Searched"` // number of emulations of the search
}

const (
	// bracketTolerance is the relative difference between the highest rate that meets the goals and the lowest that misses
	// them at which the search ends. It is a third of the prediction error that package validate allows.
	bracketTolerance = 0.05
	// maxUtilization is the utilization of a backend above which a load counts as failing. The backend's queue grows without
	// end: the goals may still be met within the seconds of an emulation, but not within an hour.
	maxUtilization = 0.97
	// maxEmulations is the maximum number of emulations in a search for the breaking load.
	maxEmulations = 24
)

// FindBreakingLoad finds the load at which the goals are missed. It doubles or halves the rate until it has one that meets
// the goals and one that misses them, and then bisects the interval geometrically. It returns a DescriptionError if no index
// has a goal, or if the goals are missed at every rate tried.
func FindBreakingLoad(site *Site, workload *Workload, seed uint64, progress func(done, of int)) (BreakingLoad, error) {
	if !slices.ContainsFunc(site.Indexes, func(index Index) bool { return index.Goal > 0 }) {
		return BreakingLoad{}, invalid("no index has a goal: state one, as 0.99")
	}
	var breaking BreakingLoad
	low, high := 0.0, 0.0
	rate := workload.QueriesPerSecond
	for breaking.Emulations < maxEmulations && (low == 0 || high == 0 || high/low > 1+bracketTolerance) {
		breaking.Emulations++
		if progress != nil {
			progress(breaking.Emulations, maxEmulations)
		}
		scaled := workload.Scaled(rate / workload.QueriesPerSecond)
		outcome := Emulate(site, &scaled, seed, 0)
		meetsGoals, index := outcome.MeetsGoals(site)
		if meetsGoals && outcome.Utilization[outcome.Hottest] > maxUtilization {
			meetsGoals, index = false, "all of them, by a queue that grows"
		}
		if meetsGoals {
			low = rate
		} else {
			high, breaking.Index = rate, index
			if limits := outcome.Limits(site); len(limits) > 0 {
				breaking.NearestLimit = limits[0]
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
	breaking.QueriesPerSecond, breaking.LowestFailing = low, high
	if low == 0 {
		return breaking, invalid("the goals of %s are not kept at any load that was tried, down to %.3g lookups a second: they ask for more than the fleet's work and network allow", breaking.Index, high)
	}
	return breaking, nil
}

// WhatIf is a named scenario with a changed deployment or workload.
type WhatIf struct {
	Name     string
	Site     Site
	Workload Workload
	Lost     []int // shards that no backend holds any more; their subqueries fail at any load
}

// WhatIfs returns the standard scenarios: no change, a burst, slower backends, the loss of each location, that loss together
// with slower backends, and all traffic to each single index.
func WhatIfs(site *Site, workload *Workload) (list []WhatIf) {
	list = append(list, WhatIf{Name: "as it is", Site: *site, Workload: *workload},
		WhatIf{Name: "burst x 2", Site: *site, Workload: workload.Scaled(2)},
		WhatIf{Name: "all 1.5 times slower", Site: site.Slower(1.5), Workload: *workload})
	for _, location := range site.Locations {
		remaining, lost := site.WithoutLocation(location)
		if len(remaining.Backends) == 0 {
			continue
		}
		list = append(list, WhatIf{"location " + location + " lost", remaining, *workload, lost},
			WhatIf{"location " + location + " lost, all 1.5 times slower", remaining.Slower(1.5), *workload, lost})
	}
	if len(workload.Mix) > 1 {
		for _, kind := range workload.Mix {
			singleIndex := *workload
			singleIndex.Mix = []QueryKind{{kind.Index, 1, kind.Subqueries}}
			list = append(list, WhatIf{Name: "all traffic to " + site.Indexes[kind.Index].Name, Site: *site, Workload: singleIndex})
		}
	}
	return list
}

// Recovers emulates a burst followed by the steady load, and reports whether the goals are met again after the burst.
// Retries by clients can keep a deployment overloaded that would sustain the load without them. recoveryLoad is the rate that
// meets the goals after the burst, in queries per second. It is 0 if none was found down to a fifth of the steady load.
func Recovers(site *Site, workload *Workload, burstFactor float64, seed uint64) (recovers bool, recoveryLoad float64) {
	for fraction := 1.0; fraction > 0.1; fraction -= 0.1 {
		scaled := workload.Scaled(fraction)
		emulation := newEmulation(site, &scaled, seed)
		steadyRate := scaled.QueriesPerSecond
		emulation.warmUpEnd = maxWarmUp + burstDuration*2
		emulation.end = emulation.warmUpEnd + max(3*minDuration, measuredQueries/steadyRate)
		emulation.schedule(maxWarmUp, func() { scaled.QueriesPerSecond = burstFactor * workload.QueriesPerSecond })
		emulation.schedule(maxWarmUp+burstDuration, func() { scaled.QueriesPerSecond = steadyRate })
		emulation.handleArrival()
		for len(emulation.pendingEvents) > 0 && emulation.pendingEvents[0].at < emulation.end+10 {
			emulation.runNextEvent()
		}
		if outcome := emulation.summarize(); firstResult(outcome.MeetsGoals(site)) {
			return fraction == 1, fraction * workload.QueriesPerSecond
		}
	}
	return false, 0
}

// burstDuration is the duration of the burst in Recovers, in seconds.
const burstDuration = 3.0

// firstResult returns the first result of MeetsGoals.
func firstResult(ok bool, _ string) bool { return ok }
