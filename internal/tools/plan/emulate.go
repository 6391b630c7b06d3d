package plan

import (
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// Outcome is what an emulation comes to.
type Outcome struct {
	Requested   int64   // queries, by their clients' first attempts
	Queries     []int64 // of them, by index
	Nacked      float64 // shares of all that ended so at last
	Aborted     float64
	ValueShare  float64   // share of value within the soft deadline
	ByIndex     []float64 // share of queries answered within the soft deadline
	P50, P99    float64   // of answered queries, seconds from the first try
	Use         []float64
	Hottest     int // backend of most use
	MaxQueue    int
	MaxPending  int // queries and parts, of the fullest aggregator
	MaxInFlight int // part calls out, of the busiest aggregator
	Rejected    int64
	Attempts    float64 // queries sent by clients for each asked
	Calls       float64 // part calls for each part

	latencies []float64
}

// sizes of an emulation: enough queries that a p99 rests on some twenty.
const (
	warmUpQueries   = 400
	measuredQueries = 2500
	maxDuration     = 120.0
	// Windows and latencies are learnt once each backend has answered so often, or after maxWarmUp seconds.
	warmUpCalls          = 100
	minWarmUp, maxWarmUp = 0.5, 2.0
	// minDuration is what counts at the least, seconds: queues at high load come and go over tens of parts' work.
	minDuration = 1.0
)

// Emulate plays a steady load on a fleet, so long that so many queries count (0 for the usual number). Both must have
// been checked.
func Emulate(site *Site, workload *Workload, seed uint64, queries int) Outcome {
	if queries == 0 {
		queries = measuredQueries
	}
	sim := newSimulation(site, workload, seed)
	sim.warm = max(warmUpQueries/workload.QueriesPerSecond, min(maxWarmUp, max(minWarmUp, warmUpCalls*float64(len(site.Backends))/(workload.QueriesPerSecond*workload.subqueries()))))
	sim.end = sim.warm + min(maxDuration, max(minDuration, float64(queries)/workload.QueriesPerSecond))
	sim.arrive()
	longest := 0.0
	for _, x := range site.Indexes {
		longest = max(longest, x.Hard)
	}
	for len(sim.pending) > 0 && sim.pending[0].at < sim.end+longest+1 {
		sim.runNextEvent()
	}
	return sim.summarize()
}

// runNextEvent moves the time to the next scheduled event and runs it.
func (sim *simulation) runNextEvent() {
	h := sim.pending[0]
	heap.Pop(&sim.pending)
	sim.now = h.at
	h.run()
}

// newSimulation makes a site without load: idle backends, and aggregators that have been notified of all of them.
func newSimulation(site *Site, workload *Workload, seed uint64) *simulation {
	sim := &simulation{site: site, workload: workload, random: pcg{random.PCG(seed*2 + 1)}, byID: map[policy.BackendID]*queue{}}
	sim.outcome.Queries, sim.outcome.ByIndex = make([]int64, len(site.Indexes)), make([]float64, len(site.Indexes))
	list := policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}
	for i, backend := range site.Backends {
		backendQueue := &queue{Backend: backend, id: policy.BackendID(i + 1)}
		sim.queues = append(sim.queues, backendQueue)
		sim.byID[backendQueue.id] = backendQueue
		list.Entries = append(list.Entries, policy.Entry{Backend: backendQueue.id, Location: policy.LocationID(slices.Index(site.Locations, backend.Location)), Cell: policy.CellID(backend.Cell), Share: 1})
	}
	cumulative := 0.0
	for backend := range site.Shards {
		if workload.Popular == nil {
			cumulative += 1 / float64(site.Shards)
		} else {
			cumulative += workload.Popular[backend]
		}
		sim.popular = append(sim.popular, cumulative)
	}
	for i := range site.Aggregators {
		node := newAggregator(site, seed, i)
		sim.aggregators = append(sim.aggregators, node)
		sim.notify(node, list)
	}
	return sim
}

// newAggregator makes the decision module of the site's i-th aggregator, with no query yet.
func newAggregator(site *Site, seed uint64, i int) *aggregator {
	settings := policy.Settings{Seed: seed + uint64(i)*7919, Self: policy.AggregatorNumber(i), Aggregators: site.Aggregators, Location: policy.LocationID(i % max(1, len(site.Locations))),
		StepInterval: site.Step, Layout: policy.Layout{Cells: site.Cells, Width: site.Width, SubqueriesPerCall: 1},
		Limits: policy.Limits{Cancel: true, Probe: true, Hedge: true, RetryAfter: true, MaxAttempts: max(1, site.MaxAttempts), MaxPending: site.MaxPending, MaxRetryAfter: 1, ConnectTimeout: 0.25},
		Rules:  policy.Rules{AnswerSlack: 0.02, DrainGrace: 2}, Prices: policy.Prices{CrossLocation: 0.02}}
	for _, index := range site.Indexes {
		settings.Indexes = append(settings.Indexes, policy.IndexSettings{Soft: index.Soft, Hard: index.Hard, Value: max(index.Value, 1e-9), LateValue: index.LateValue, Effect: index.Effect, Required: 1, Minimum: 1})
	}
	return &aggregator{policy: policy.New(settings, 0), queries: map[policy.QueryID]*pendingQuery{}, subqueries: map[policy.SubqueryID]policy.IndexID{},
		nextCall: map[policy.SubqueryID]policy.CallNumber{}, inFlight: map[callKey]*call{}, lastStep: -1}
}

// schedule lets something happen at a time, or now if that is past.
func (sim *simulation) schedule(t float64, what func()) {
	sim.lastSequence++
	heap.Push(&sim.pending, scheduledEvent{max(t, sim.now), sim.lastSequence, what})
}

// arrive lets clients ask, until the end.
func (sim *simulation) arrive() {
	if sim.now >= sim.end {
		return
	}
	u, share := sim.random.Unit(), len(sim.workload.Mix)-1
	for i, m := range sim.workload.Mix {
		if u -= m.Fraction; u < 0 {
			share = i
			break
		}
	}
	q := &query{mix: share, began: sim.now, counted: sim.now >= sim.warm}
	q.shards = sim.shards(sim.workload.Mix[share].Subqueries)
	if q.counted {
		sim.outcome.Requested++
		sim.outcome.Queries[sim.workload.Mix[share].Index]++
	}
	sim.sendQuery(q)
	sim.schedule(sim.now+sim.gap()/sim.workload.QueriesPerSecond, sim.arrive)
}

// gap is the time between two queries against its mean.
func (sim *simulation) gap() float64 {
	if sim.workload.Bursts <= 0 || sim.workload.Bursts == 1 {
		return sim.random.Exp()
	}
	return sim.random.logNormal(1, sim.workload.Bursts)
}

// shards draws so many different ones by their popularity.
func (sim *simulation) shards(n int) (list []int) {
	for len(list) < n {
		s, _ := slices.BinarySearch(sim.popular, sim.random.Unit()*sim.popular[len(sim.popular)-1])
		for slices.Contains(list, s%sim.site.Shards) { // all that are popular are in: the next one along
			s++
		}
		list = append(list, s%sim.site.Shards)
	}
	return list
}

// sendQuery sends a query to an aggregator by chance.
func (sim *simulation) sendQuery(q *query) {
	q.attempts++
	if q.counted {
		sim.outcome.Attempts++
	}
	target := sim.aggregators[int(sim.random.Unit()*float64(len(sim.aggregators)))]
	if sim.site.MaxPending > 0 && len(target.queries)+len(target.subqueries) >= sim.site.MaxPending {
		sim.nacked(q, 0)
		return
	}
	indexNo := sim.workload.Mix[q.mix].Index
	index := &sim.site.Indexes[indexNo]
	target.lastID++
	id, pending := policy.QueryID(target.lastID), &pendingQuery{query: q}
	target.queries[id] = pending
	event := policy.Event{Kind: policy.QueryReceived, Query: id, QueryNumber: policy.QueryNumber(id), Index: policy.IndexID(indexNo), Remaining: index.Hard - (sim.now - q.began), Subqueries: len(q.shards), Resent: q.attempts > 1}
	events := []policy.Event{event}
	event.Kind, event.Subqueries = policy.SubqueryReceived, 0
	for _, shard := range q.shards {
		target.lastID++
		event.Subquery, event.Shard, event.Weight = policy.SubqueryID(target.lastID), policy.ShardID(shard), 1/float64(len(q.shards))
		pending.subqueries = append(pending.subqueries, event.Subquery)
		target.subqueries[event.Subquery] = policy.IndexID(indexNo)
		events = append(events, event)
	}
	target.maxPending = max(target.maxPending, len(target.queries)+len(target.subqueries))
	sim.notify(target, events...)
}

// notify hands events to an aggregator, which steps no sooner after its last step than it may.
func (sim *simulation) notify(m *aggregator, events ...policy.Event) {
	m.events = append(m.events, events...)
	if !m.stepScheduled {
		m.stepScheduled = true
		sim.schedule(max(sim.now, m.lastStep+sim.site.Step), func() { sim.step(m) })
	}
}

// step lets an aggregator decide on what it was notified of since its last step.
func (sim *simulation) step(m *aggregator) {
	m.stepScheduled, m.lastStep = false, sim.now
	events := m.events
	m.events = nil
	m.actions = m.policy.Step(sim.now, events, m.actions[:0])
	for i := range m.actions {
		sim.act(m, &m.actions[i])
	}
	m.maxInFlight = max(m.maxInFlight, len(m.inFlight))
}

// act carries out one action of an aggregator.
func (sim *simulation) act(m *aggregator, action *policy.Action) {
	switch action.Kind {
	case policy.Send:
		index, known := m.subqueries[action.Subquery]
		if !known {
			return
		}
		callNumber := m.nextCall[action.Subquery]
		m.nextCall[action.Subquery] = callNumber + 1
		sent := &call{aggregator: m, subquery: action.Subquery, number: callNumber, index: index, sent: sim.now}
		m.inFlight[callKey{action.Subquery, callNumber}] = sent
		backend := sim.byID[action.Backend]
		sim.schedule(sim.now+sim.site.Network, func() { sim.deliver(backend, sent) })
		sim.schedule(action.StopAt, func() { sim.completeCall(sent, backend, policy.TimedOut) })
	case policy.Cancel:
		if sent := m.inFlight[callKey{action.Subquery, action.Call}]; sent != nil {
			sim.completeCall(sent, nil, policy.Canceled)
		}
	case policy.Answer:
		sim.answered(m, action.Query)
	case policy.Nack, policy.Abort:
		if closed := sim.close(m, action.Query); closed != nil && action.Kind == policy.Nack {
			sim.nacked(closed.query, action.Wait)
		} else if closed != nil && closed.query.counted {
			sim.outcome.Aborted++
		}
	case policy.SetTimer:
		timer := action.Timer
		sim.schedule(sim.now+action.Wait, func() {
			if sim.now < sim.end+60 {
				sim.notify(m, policy.Event{Kind: policy.TimerDue, Timer: timer})
			}
		})
	case policy.Probe:
		id := action.Backend
		sim.schedule(sim.now+2*sim.site.Network, func() {
			sim.notify(m, policy.Event{Kind: policy.ProbeEnded, Backend: id, Outcome: policy.Answered, Elapsed: 2 * sim.site.Network})
		})
	}
}

// close takes a query and its subqueries off an aggregator; nil where it has ended before.
func (sim *simulation) close(m *aggregator, id policy.QueryID) *pendingQuery {
	t := m.queries[id]
	if t == nil {
		return nil
	}
	delete(m.queries, id)
	for _, p := range t.subqueries {
		delete(m.subqueries, p)
	}
	return t
}

// answered records the latency of an answered query.
func (sim *simulation) answered(m *aggregator, id policy.QueryID) {
	t := sim.close(m, id)
	if t == nil || !t.query.counted {
		return
	}
	index := sim.workload.Mix[t.query.mix].Index
	latency := sim.now - t.query.began
	sim.outcome.latencies = append(sim.outcome.latencies, latency)
	if latency <= sim.site.Indexes[index].Soft {
		sim.outcome.ByIndex[index]++
	}
}

// nacked lets a client come back, where it has tries and time left.
func (sim *simulation) nacked(q *query, wait float64) {
	index := sim.workload.Mix[q.mix].Index
	retryAt := sim.now + max(wait, sim.site.Backoff*(0.5+sim.random.Unit()))
	if q.attempts <= sim.site.Retries && retryAt < q.began+sim.site.Indexes[index].Hard {
		sim.schedule(retryAt, func() { sim.sendQuery(q) })
	} else if q.counted {
		sim.outcome.Nacked++
	}
}

// summarize turns the counts into shares, and adds the latencies' percentiles and the utilization of backends.
func (sim *simulation) summarize() Outcome {
	outcome := &sim.outcome
	requested := max(1, float64(outcome.Requested))
	earned, possible := 0.0, 0.0
	for indexNo, index := range sim.site.Indexes {
		possible += float64(outcome.Queries[indexNo]) * index.Value
		earned += outcome.ByIndex[indexNo] * index.Value
		outcome.ByIndex[indexNo] /= max(1, float64(outcome.Queries[indexNo]))
	}
	outcome.ValueShare = earned / max(possible, 1e-9)
	outcome.Nacked, outcome.Aborted, outcome.Attempts = outcome.Nacked/requested, outcome.Aborted/requested, outcome.Attempts/requested
	slices.Sort(outcome.latencies)
	if len(outcome.latencies) > 0 {
		outcome.P50, outcome.P99 = outcome.latencies[len(outcome.latencies)/2], outcome.latencies[min(len(outcome.latencies)-1, len(outcome.latencies)*99/100)]
	}
	subqueries := 0.0
	for i, s := range sim.queues {
		outcome.Use = append(outcome.Use, s.used/(float64(s.Cores)*(sim.end-sim.warm)))
		if outcome.Use[i] > outcome.Use[outcome.Hottest] {
			outcome.Hottest = i
		}
		outcome.MaxQueue = max(outcome.MaxQueue, s.maxLength)
		outcome.Rejected += s.rejected
		subqueries += float64(s.calls)
	}
	for _, m := range sim.aggregators {
		outcome.MaxPending, outcome.MaxInFlight = max(outcome.MaxPending, m.maxPending), max(outcome.MaxInFlight, m.maxInFlight)
	}
	outcome.Calls = subqueries / max(1, sim.workload.subqueries()*sim.workload.QueriesPerSecond*sim.end)
	return *outcome
}
