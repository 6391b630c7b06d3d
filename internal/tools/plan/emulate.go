package plan

import (
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// Outcome is the result of an emulation. It covers the queries that started after the warm-up, except for the maxima,
// Rejected and the calls, which cover the whole run.
type Outcome struct {
	Requested        int64     // number of queries, without retries
	Queries          []int64   // the same, by index
	Nacked           float64   // share of queries whose last attempt was nacked
	Aborted          float64   // share of queries that were aborted
	ValueShare       float64   // share of the possible value that was earned within the soft deadline
	InTimeByIndex    []float64 // by index, share of queries answered within the soft deadline
	P50, P99         float64   // latency percentiles of answered queries, in seconds from the first attempt
	Utilization      []float64 // by backend, share of the cores that was busy
	Hottest          int       // backend with the highest utilization
	MaxQueue         int       // largest number of calls waiting at a backend
	MaxPending       int       // largest number of queries and subqueries that an aggregator held at once
	MaxInFlight      int       // largest number of calls that an aggregator had in flight at once
	Rejected         int64     // calls rejected by backends with a full queue
	AttemptsPerQuery float64   // attempts by clients divided by queries
	CallsPerSubquery float64   // calls to backends divided by the expected number of subqueries

	latencies []float64 // of answered queries, in seconds; sorted at the end
}

const (
	// warmUpQueries is the minimum number of queries in the warm-up.
	warmUpQueries = 400
	// measuredQueries is the default number of queries after the warm-up. It leaves about twenty queries above the p99.
	measuredQueries = 2500
	// maxDuration limits the measured interval, in seconds.
	maxDuration = 120.0
	// warmUpCalls is the mean number of calls to each backend after which the policy has learned the backends' windows and
	// latencies.
	warmUpCalls = 100
	// minWarmUp is the minimum duration of the warm-up for learning, in seconds.
	minWarmUp = 0.5
	// maxWarmUp is the duration in seconds after which learning is regarded as complete, even with fewer calls than
	// warmUpCalls.
	maxWarmUp = 2.0
	// minDuration is the minimum measured interval, in seconds. At high load, queues grow and shrink over tens of times a
	// subquery's work, so that a shorter interval would not be representative.
	minDuration = 1.0
)

// Emulate runs a steady workload on a deployment until about the given number of queries is measured; 0 means
// measuredQueries. Site and workload must have passed Check; a site that has lost backends must have passed CheckAfterLoss.
func Emulate(site *Site, workload *Workload, seed uint64, queries int) Outcome {
	if queries == 0 {
		queries = measuredQueries
	}
	sim := newEmulation(site, workload, seed)
	sim.warmUpEnd = max(warmUpQueries/workload.QueriesPerSecond, min(maxWarmUp, max(minWarmUp, warmUpCalls*float64(len(site.Backends))/(workload.QueriesPerSecond*workload.meanSubqueries()))))
	sim.end = sim.warmUpEnd + min(maxDuration, max(minDuration, float64(queries)/workload.QueriesPerSecond))
	sim.handleArrival()
	longestDeadline := 0.0
	for _, index := range site.Indexes {
		longestDeadline = max(longestDeadline, index.Hard)
	}
	for len(sim.pendingEvents) > 0 && sim.pendingEvents[0].at < sim.end+longestDeadline+1 {
		sim.runNextEvent()
	}
	return sim.summarize()
}

// runNextEvent advances the emulated time to the next scheduled event and runs it.
func (sim *emulation) runNextEvent() {
	event := sim.pendingEvents[0]
	heap.Pop(&sim.pendingEvents)
	sim.now = event.at
	event.run()
}

// newEmulation returns an emulation without load. All backends are idle, and the aggregators are notified of all of them.
func newEmulation(site *Site, workload *Workload, seed uint64) *emulation {
	sim := &emulation{site: site, workload: workload, random: generator{random.PCG(seed*2 + 1)}, backendsByID: map[policy.BackendID]*emulatedBackend{}}
	sim.outcome.Queries, sim.outcome.InTimeByIndex = make([]int64, len(site.Indexes)), make([]float64, len(site.Indexes))
	listChange := policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}
	for i, description := range site.Backends {
		backend := &emulatedBackend{Backend: description, id: policy.BackendID(i + 1)}
		sim.backends = append(sim.backends, backend)
		sim.backendsByID[backend.id] = backend
		listChange.Entries = append(listChange.Entries, policy.Entry{Backend: backend.id, Location: policy.LocationID(slices.Index(site.Locations, description.Location)), Cell: policy.CellID(description.Cell), Share: 1})
	}
	cumulative := 0.0
	for shard := range site.Shards {
		if workload.Popularity == nil {
			cumulative += 1 / float64(site.Shards)
		} else {
			cumulative += workload.Popularity[shard]
		}
		sim.cumulativePopularity = append(sim.cumulativePopularity, cumulative)
	}
	for i := range site.Aggregators {
		aggregator := newEmulatedAggregator(site, seed, i)
		sim.aggregators = append(sim.aggregators, aggregator)
		sim.notify(aggregator, listChange)
	}
	return sim
}

// newEmulatedAggregator returns the site's i-th aggregator, without queries.
func newEmulatedAggregator(site *Site, seed uint64, i int) *emulatedAggregator {
	settings := policy.Settings{Seed: seed + uint64(i)*7919, Self: policy.AggregatorNumber(i), Aggregators: site.Aggregators, Location: policy.LocationID(i % max(1, len(site.Locations))),
		StepInterval: site.StepInterval, Layout: policy.Layout{Cells: site.Cells, Width: site.Width, SubqueriesPerCall: 1},
		Limits: policy.Limits{Cancel: true, Probe: true, Hedge: true, RetryAfter: true, MaxAttempts: max(1, site.MaxAttempts), MaxPending: site.MaxPending, MaxRetryAfter: 1, ConnectTimeout: 0.25},
		Rules:  policy.Rules{AnswerSlack: 0.02, DrainGrace: 2}, Prices: policy.Prices{CrossLocation: 0.02}}
	for _, index := range site.Indexes {
		settings.Indexes = append(settings.Indexes, policy.IndexSettings{Soft: index.Soft, Hard: index.Hard, Value: max(index.Value, 1e-9), LateValue: index.LateValue, Effect: index.Effect, Required: 1, Minimum: 1})
	}
	return &emulatedAggregator{policy: policy.New(settings, 0), queries: map[policy.QueryID]*pendingQuery{}, subqueries: map[policy.SubqueryID]policy.IndexID{},
		nextCallNumber: map[policy.SubqueryID]policy.CallNumber{}, inFlight: map[callKey]*call{}, lastStep: -1}
}

// schedule adds an event to run at the given time, or now if that time has passed.
func (sim *emulation) schedule(at float64, run func()) {
	sim.lastSequence++
	heap.Push(&sim.pendingEvents, scheduledEvent{max(at, sim.now), sim.lastSequence, run})
}

// handleArrival starts a query of a random kind and schedules the next arrival. After the end of the run it does nothing.
func (sim *emulation) handleArrival() {
	if sim.now >= sim.end {
		return
	}
	remaining, kindNo := sim.random.Unit(), len(sim.workload.Mix)-1
	for i, kind := range sim.workload.Mix {
		if remaining -= kind.Fraction; remaining < 0 {
			kindNo = i
			break
		}
	}
	started := &query{kind: kindNo, startedAt: sim.now, measured: sim.now >= sim.warmUpEnd}
	started.shards = sim.drawShards(sim.workload.Mix[kindNo].Subqueries)
	if started.measured {
		sim.outcome.Requested++
		sim.outcome.Queries[sim.workload.Mix[kindNo].Index]++
	}
	sim.sendQuery(started)
	sim.schedule(sim.now+sim.relativeInterarrivalTime()/sim.workload.QueriesPerSecond, sim.handleArrival)
}

// relativeInterarrivalTime draws the time between two queries, divided by its mean.
func (sim *emulation) relativeInterarrivalTime() float64 {
	if sim.workload.InterarrivalSCV <= 0 || sim.workload.InterarrivalSCV == 1 {
		return sim.random.Exp()
	}
	return sim.random.drawLogNormal(1, sim.workload.InterarrivalSCV)
}

// drawShards draws n different shards by their popularity.
func (sim *emulation) drawShards(n int) (list []int) {
	for len(list) < n {
		shard, _ := slices.BinarySearch(sim.cumulativePopularity, sim.random.Unit()*sim.cumulativePopularity[len(sim.cumulativePopularity)-1])
		for slices.Contains(list, shard%sim.site.Shards) { // already drawn: take the next shard
			shard++
		}
		list = append(list, shard%sim.site.Shards)
	}
	return list
}

// sendQuery sends a query to a random aggregator. An aggregator that holds MaxPending queries and subqueries nacks it.
func (sim *emulation) sendQuery(sent *query) {
	sent.attempts++
	if sent.measured {
		sim.outcome.AttemptsPerQuery++
	}
	aggregator := sim.aggregators[int(sim.random.Unit()*float64(len(sim.aggregators)))]
	if sim.site.MaxPending > 0 && len(aggregator.queries)+len(aggregator.subqueries) >= sim.site.MaxPending {
		sim.handleNack(sent, 0)
		return
	}
	indexNo := sim.workload.Mix[sent.kind].Index
	index := &sim.site.Indexes[indexNo]
	aggregator.lastID++
	id, pending := policy.QueryID(aggregator.lastID), &pendingQuery{query: sent}
	aggregator.queries[id] = pending
	event := policy.Event{Kind: policy.QueryReceived, Query: id, QueryNumber: policy.QueryNumber(id), Index: policy.IndexID(indexNo), Remaining: index.Hard - (sim.now - sent.startedAt), Subqueries: len(sent.shards), Resent: sent.attempts > 1}
	events := []policy.Event{event}
	event.Kind, event.Subqueries = policy.SubqueryReceived, 0
	for _, shard := range sent.shards {
		aggregator.lastID++
		event.Subquery, event.Shard, event.Weight = policy.SubqueryID(aggregator.lastID), policy.ShardID(shard), 1/float64(len(sent.shards))
		pending.subqueries = append(pending.subqueries, event.Subquery)
		aggregator.subqueries[event.Subquery] = policy.IndexID(indexNo)
		events = append(events, event)
	}
	aggregator.maxPending = max(aggregator.maxPending, len(aggregator.queries)+len(aggregator.subqueries))
	sim.notify(aggregator, events...)
}

// notify queues events for an aggregator, and schedules its next step no sooner than StepInterval after the last one.
func (sim *emulation) notify(aggregator *emulatedAggregator, events ...policy.Event) {
	aggregator.events = append(aggregator.events, events...)
	if !aggregator.stepScheduled {
		aggregator.stepScheduled = true
		sim.schedule(max(sim.now, aggregator.lastStep+sim.site.StepInterval), func() { sim.step(aggregator) })
	}
}

// step passes the events since the last step to the aggregator's policy and executes the resulting actions.
func (sim *emulation) step(aggregator *emulatedAggregator) {
	aggregator.stepScheduled, aggregator.lastStep = false, sim.now
	events := aggregator.events
	aggregator.events = nil
	aggregator.actions = aggregator.policy.Step(sim.now, events, aggregator.actions[:0])
	for i := range aggregator.actions {
		sim.execute(aggregator, &aggregator.actions[i])
	}
	aggregator.maxInFlight = max(aggregator.maxInFlight, len(aggregator.inFlight))
}

// execute executes one action of an aggregator.
func (sim *emulation) execute(aggregator *emulatedAggregator, action *policy.Action) {
	switch action.Kind {
	case policy.Send:
		index, known := aggregator.subqueries[action.Subquery]
		if !known {
			return
		}
		callNumber := aggregator.nextCallNumber[action.Subquery]
		aggregator.nextCallNumber[action.Subquery] = callNumber + 1
		sent := &call{aggregator: aggregator, subquery: action.Subquery, number: callNumber, index: index, sentAt: sim.now}
		aggregator.inFlight[callKey{action.Subquery, callNumber}] = sent
		backend := sim.backendsByID[action.Backend]
		sim.schedule(sim.now+sim.site.NetworkDelay, func() { sim.deliver(backend, sent) })
		sim.schedule(action.StopAt, func() { sim.completeCall(sent, backend, policy.TimedOut) })
	case policy.Cancel:
		if sent := aggregator.inFlight[callKey{action.Subquery, action.Call}]; sent != nil {
			sim.completeCall(sent, nil, policy.Canceled)
		}
	case policy.Answer:
		sim.recordAnswer(aggregator, action.Query)
	case policy.Nack, policy.Abort:
		if closed := sim.removeQuery(aggregator, action.Query); closed != nil && action.Kind == policy.Nack {
			sim.handleNack(closed.query, action.Wait)
		} else if closed != nil && closed.query.measured {
			sim.outcome.Aborted++
		}
	case policy.SetTimer:
		timer := action.Timer
		sim.schedule(sim.now+action.Wait, func() {
			if sim.now < sim.end+60 {
				sim.notify(aggregator, policy.Event{Kind: policy.TimerDue, Timer: timer})
			}
		})
	case policy.Probe:
		id := action.Backend
		sim.schedule(sim.now+2*sim.site.NetworkDelay, func() {
			sim.notify(aggregator, policy.Event{Kind: policy.ProbeEnded, Backend: id, Outcome: policy.Answered, Elapsed: 2 * sim.site.NetworkDelay})
		})
	}
}

// removeQuery removes a query and its subqueries from an aggregator. It returns nil if the aggregator does not hold the query.
func (sim *emulation) removeQuery(aggregator *emulatedAggregator, id policy.QueryID) *pendingQuery {
	removed := aggregator.queries[id]
	if removed == nil {
		return nil
	}
	delete(aggregator.queries, id)
	for _, subquery := range removed.subqueries {
		delete(aggregator.subqueries, subquery)
	}
	return removed
}

// recordAnswer removes an answered query and records its latency if it is measured.
func (sim *emulation) recordAnswer(aggregator *emulatedAggregator, id policy.QueryID) {
	answered := sim.removeQuery(aggregator, id)
	if answered == nil || !answered.query.measured {
		return
	}
	index := sim.workload.Mix[answered.query.kind].Index
	latency := sim.now - answered.query.startedAt
	sim.outcome.latencies = append(sim.outcome.latencies, latency)
	if latency <= sim.site.Indexes[index].Soft {
		sim.outcome.InTimeByIndex[index]++
	}
}

// handleNack schedules the client's next attempt, or counts the query as nacked if no retry or no time is left.
func (sim *emulation) handleNack(rejected *query, wait float64) {
	index := sim.workload.Mix[rejected.kind].Index
	retryAt := sim.now + max(wait, sim.site.Backoff*(0.5+sim.random.Unit()))
	if rejected.attempts <= sim.site.Retries && retryAt < rejected.startedAt+sim.site.Indexes[index].Hard {
		sim.schedule(retryAt, func() { sim.sendQuery(rejected) })
	} else if rejected.measured {
		sim.outcome.Nacked++
	}
}

// summarize converts the counts into shares, and adds the latency percentiles and the utilization of the backends.
func (sim *emulation) summarize() Outcome {
	outcome := &sim.outcome
	requested := max(1, float64(outcome.Requested))
	earned, possible := 0.0, 0.0
	for indexNo, index := range sim.site.Indexes {
		possible += float64(outcome.Queries[indexNo]) * index.Value
		earned += outcome.InTimeByIndex[indexNo] * index.Value
		outcome.InTimeByIndex[indexNo] /= max(1, float64(outcome.Queries[indexNo]))
	}
	outcome.ValueShare = earned / max(possible, 1e-9)
	outcome.Nacked, outcome.Aborted, outcome.AttemptsPerQuery = outcome.Nacked/requested, outcome.Aborted/requested, outcome.AttemptsPerQuery/requested
	slices.Sort(outcome.latencies)
	if len(outcome.latencies) > 0 {
		outcome.P50, outcome.P99 = outcome.latencies[len(outcome.latencies)/2], outcome.latencies[min(len(outcome.latencies)-1, len(outcome.latencies)*99/100)]
	}
	calls := 0.0
	for i, backend := range sim.backends {
		outcome.Utilization = append(outcome.Utilization, backend.busyTime/(float64(backend.Cores)*(sim.end-sim.warmUpEnd)))
		if outcome.Utilization[i] > outcome.Utilization[outcome.Hottest] {
			outcome.Hottest = i
		}
		outcome.MaxQueue = max(outcome.MaxQueue, backend.maxQueued)
		outcome.Rejected += backend.rejected
		calls += float64(backend.calls)
	}
	for _, aggregator := range sim.aggregators {
		outcome.MaxPending, outcome.MaxInFlight = max(outcome.MaxPending, aggregator.maxPending), max(outcome.MaxInFlight, aggregator.maxInFlight)
	}
	outcome.CallsPerSubquery = calls / max(1, sim.workload.meanSubqueries()*sim.workload.QueriesPerSecond*sim.end)
	return *outcome
}
