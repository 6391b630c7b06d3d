package plan

import (
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// Outcome is what an emulation comes to.
type Outcome struct {
	Requested   int64   // queries, by their clients' first tries
	Queries     []int64 // of them, by index
	Nacked      float64 // shares of all that ended so at last
	Aborted     float64
	ValueShare  float64   // share of gain within the soft deadline
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
func Emulate(f *Site, a *Workload, seed uint64, queries int) Outcome {
	if queries == 0 {
		queries = measuredQueries
	}
	w := newSimulation(f, a, seed)
	w.warm = max(warmUpQueries/a.PerS, min(maxWarmUp, max(minWarmUp, warmUpCalls*float64(len(f.Backends))/(a.PerS*a.subqueries()))))
	w.end = w.warm + min(maxDuration, max(minDuration, float64(queries)/a.PerS))
	w.arrive()
	longest := 0.0
	for _, x := range f.Indexes {
		longest = max(longest, x.Hard)
	}
	for len(w.pending) > 0 && w.pending[0].at < w.end+longest+1 {
		w.runNextEvent()
	}
	return w.summarize()
}

// runNextEvent lets the next thing happen.
func (w *simulation) runNextEvent() {
	h := w.pending[0]
	heap.Pop(&w.pending)
	w.now = h.at
	h.run()
}

func newSimulation(f *Site, a *Workload, seed uint64) *simulation {
	w := &simulation{site: f, workload: a, random: pcg{random.PCG(seed*2 + 1)}, byID: map[policy.BackendID]*queue{}}
	w.outcome.Queries, w.outcome.ByIndex = make([]int64, len(f.Indexes)), make([]float64, len(f.Indexes))
	list := policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}
	for i, s := range f.Backends {
		st := &queue{Backend: s, id: policy.BackendID(i + 1)}
		w.queues = append(w.queues, st)
		w.byID[st.id] = st
		list.Entries = append(list.Entries, policy.Entry{Backend: st.id, Location: policy.LocationID(slices.Index(f.Locations, s.Location)), Cell: policy.CellID(s.Cell), Share: 1})
	}
	sum := 0.0
	for s := range f.Shards {
		if a.Popular == nil {
			sum += 1 / float64(f.Shards)
		} else {
			sum += a.Popular[s]
		}
		w.popular = append(w.popular, sum)
	}
	for i := range f.Aggregators {
		set := policy.Settings{Seed: seed + uint64(i)*7919, Self: policy.AggregatorNo(i), Aggregators: f.Aggregators, Location: policy.LocationID(i % max(1, len(f.Locations))),
			Step: f.Step, Layout: policy.Layout{Cells: f.Cells, Width: f.Width, CallSubqueries: 1},
			Limits: policy.Limits{Cancel: true, Probe: true, Hedge: true, RetryAfter: true, MaxAttempts: max(1, f.MaxAttempts), MaxPending: f.MaxPending, MaxRetryAfter: 1, ConnectTimeout: 0.25},
			Rules:  policy.Rules{AnswerSlack: 0.02, DrainGrace: 2}, Prices: policy.Prices{CrossLocation: 0.02}}
		for _, x := range f.Indexes {
			set.Indexes = append(set.Indexes, policy.IndexSettings{Soft: x.Soft, Hard: x.Hard, Value: max(x.Value, 1e-9), LateValue: x.LateValue, Effect: x.Effect, Required: 1, Minimum: 1})
		}
		m := &aggregator{policy: policy.New(set, 0), queries: map[policy.QueryID]*pendingQuery{}, subqueries: map[policy.SubqueryID]policy.IndexID{},
			nextCall: map[policy.SubqueryID]policy.CallNo{}, inFlight: map[callKey]*call{}, lastStep: -1}
		w.aggregators = append(w.aggregators, m)
		w.notify(m, list)
	}
	return w
}

func (w *simulation) schedule(t float64, what func()) {
	w.lastEventNo++
	heap.Push(&w.pending, scheduledEvent{max(t, w.now), w.lastEventNo, what})
}

// arrive lets clients ask, until the end.
func (w *simulation) arrive() {
	if w.now >= w.end {
		return
	}
	u, share := w.random.Unit(), len(w.workload.Mix)-1
	for i, m := range w.workload.Mix {
		if u -= m.Fraction; u < 0 {
			share = i
			break
		}
	}
	q := &query{mix: share, began: w.now, counted: w.now >= w.warm}
	q.shards = w.shards(w.workload.Mix[share].Subqueries)
	if q.counted {
		w.outcome.Requested++
		w.outcome.Queries[w.workload.Mix[share].Index]++
	}
	w.sendQuery(q)
	w.schedule(w.now+w.gap()/w.workload.PerS, w.arrive)
}

// gap is the time between two queries against its mean.
func (w *simulation) gap() float64 {
	if w.workload.Bursts <= 0 || w.workload.Bursts == 1 {
		return w.random.Exp()
	}
	return w.random.logNormal(1, w.workload.Bursts)
}

// shards draws so many different ones by their popularity.
func (w *simulation) shards(n int) (list []int) {
	for len(list) < n {
		s, _ := slices.BinarySearch(w.popular, w.random.Unit()*w.popular[len(w.popular)-1])
		for slices.Contains(list, s%w.site.Shards) { // all that are popular are in: the next one along
			s++
		}
		list = append(list, s%w.site.Shards)
	}
	return list
}

// sendQuery sends a query to an aggregator by chance.
func (w *simulation) sendQuery(q *query) {
	q.attempts++
	if q.counted {
		w.outcome.Attempts++
	}
	m := w.aggregators[int(w.random.Unit()*float64(len(w.aggregators)))]
	if w.site.MaxPending > 0 && len(m.queries)+len(m.subqueries) >= w.site.MaxPending {
		w.nacked(q, 0)
		return
	}
	k := w.workload.Mix[q.mix].Index
	x := &w.site.Indexes[k]
	m.lastID++
	id, t := policy.QueryID(m.lastID), &pendingQuery{query: q}
	m.queries[id] = t
	e := policy.Event{Kind: policy.QueryReceived, Query: id, No: policy.QueryNo(id), Index: policy.IndexID(k), Remaining: x.Hard - (w.now - q.began), Subqueries: len(q.shards), Resent: q.attempts > 1}
	events := []policy.Event{e}
	e.Kind, e.Subqueries = policy.SubqueryReceived, 0
	for _, s := range q.shards {
		m.lastID++
		e.Subquery, e.Shard, e.Weight = policy.SubqueryID(m.lastID), policy.ShardID(s), 1/float64(len(q.shards))
		t.subqueries = append(t.subqueries, e.Subquery)
		m.subqueries[e.Subquery] = policy.IndexID(k)
		events = append(events, e)
	}
	m.maxPending = max(m.maxPending, len(m.queries)+len(m.subqueries))
	w.notify(m, events...)
}

// notify hands events to an aggregator, which steps no sooner after its last step than it may.
func (w *simulation) notify(m *aggregator, events ...policy.Event) {
	m.events = append(m.events, events...)
	if !m.stepScheduled {
		m.stepScheduled = true
		w.schedule(max(w.now, m.lastStep+w.site.Step), func() { w.step(m) })
	}
}

func (w *simulation) step(m *aggregator) {
	m.stepScheduled, m.lastStep = false, w.now
	events := m.events
	m.events = nil
	m.actions = m.policy.Step(w.now, events, m.actions[:0])
	for i := range m.actions {
		w.act(m, &m.actions[i])
	}
	m.maxInFlight = max(m.maxInFlight, len(m.inFlight))
}

func (w *simulation) act(m *aggregator, a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		k, held := m.subqueries[a.Subquery]
		if !held {
			return
		}
		no := m.nextCall[a.Subquery]
		m.nextCall[a.Subquery] = no + 1
		c := &call{aggregator: m, subquery: a.Subquery, no: no, index: k, sent: w.now}
		m.inFlight[callKey{a.Subquery, no}] = c
		to := w.byID[a.Backend]
		w.schedule(w.now+w.site.Network, func() { w.deliver(to, c) })
		w.schedule(a.StopAt, func() { w.completeCall(c, to, policy.TimedOut) })
	case policy.Cancel:
		if c := m.inFlight[callKey{a.Subquery, a.Call}]; c != nil {
			w.completeCall(c, nil, policy.Canceled)
		}
	case policy.Answer:
		w.answered(m, a.Query)
	case policy.Nack, policy.Abort:
		if t := w.close(m, a.Query); t != nil && a.Kind == policy.Nack {
			w.nacked(t.query, a.Wait)
		} else if t != nil && t.query.counted {
			w.outcome.Aborted++
		}
	case policy.SetTimer:
		timer := a.Timer
		w.schedule(w.now+a.Wait, func() {
			if w.now < w.end+60 {
				w.notify(m, policy.Event{Kind: policy.TimerDue, Timer: timer})
			}
		})
	case policy.Probe:
		id := a.Backend
		w.schedule(w.now+2*w.site.Network, func() {
			w.notify(m, policy.Event{Kind: policy.ProbeEnded, Backend: id, Outcome: policy.Answered, Elapsed: 2 * w.site.Network})
		})
	}
}

func (w *simulation) close(m *aggregator, id policy.QueryID) *pendingQuery {
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

func (w *simulation) answered(m *aggregator, id policy.QueryID) {
	t := w.close(m, id)
	if t == nil || !t.query.counted {
		return
	}
	k := w.workload.Mix[t.query.mix].Index
	took := w.now - t.query.began
	w.outcome.latencies = append(w.outcome.latencies, took)
	if took <= w.site.Indexes[k].Soft {
		w.outcome.ByIndex[k]++
	}
}

// nacked lets a client come back, where it has tries and time left.
func (w *simulation) nacked(q *query, wait float64) {
	k := w.workload.Mix[q.mix].Index
	back := w.now + max(wait, w.site.Backoff*(0.5+w.random.Unit()))
	if q.attempts <= w.site.Retries && back < q.began+w.site.Indexes[k].Hard {
		w.schedule(back, func() { w.sendQuery(q) })
	} else if q.counted {
		w.outcome.Nacked++
	}
}

func (w *simulation) summarize() Outcome {
	o := &w.outcome
	n := max(1, float64(o.Requested))
	gain, all := 0.0, 0.0
	for k, x := range w.site.Indexes {
		all += float64(o.Queries[k]) * x.Value
		gain += o.ByIndex[k] * x.Value
		o.ByIndex[k] /= max(1, float64(o.Queries[k]))
	}
	o.ValueShare = gain / max(all, 1e-9)
	o.Nacked, o.Aborted, o.Attempts = o.Nacked/n, o.Aborted/n, o.Attempts/n
	slices.Sort(o.latencies)
	if len(o.latencies) > 0 {
		o.P50, o.P99 = o.latencies[len(o.latencies)/2], o.latencies[min(len(o.latencies)-1, len(o.latencies)*99/100)]
	}
	subqueries := 0.0
	for i, s := range w.queues {
		o.Use = append(o.Use, s.used/(float64(s.Cores)*(w.end-w.warm)))
		if o.Use[i] > o.Use[o.Hottest] {
			o.Hottest = i
		}
		o.MaxQueue = max(o.MaxQueue, s.maxLength)
		o.Rejected += s.rejected
		subqueries += float64(s.calls)
	}
	for _, m := range w.aggregators {
		o.MaxPending, o.MaxInFlight = max(o.MaxPending, m.maxPending), max(o.MaxInFlight, m.maxInFlight)
	}
	o.Calls = subqueries / max(1, w.workload.subqueries()*w.workload.PerS*w.end)
	return *o
}
