package plan

import (
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// Outcome is what an emulation comes to.
type Outcome struct {
	Asked     int64   // queries, by their clients' first tries
	Queries   []int64 // of them, by index
	Nacked    float64 // shares of all that ended so at last
	Aborted   float64
	Gain      float64   // share of gain within the soft deadline
	ByIndex   []float64 // share of queries answered within the soft deadline
	P50, P99  float64   // of answered queries, seconds from the first try
	Use       []float64
	Hottest   int // backend of most use
	MostQueue int
	MostHeld  int // queries and parts, of the fullest aggregator
	MostOut   int // part calls out, of the busiest aggregator
	Refused   int64
	Tries     float64 // queries sent by clients for each asked
	Calls     float64 // part calls for each part

	took []float64
}

// sizes of an emulation: enough queries that a p99 rests on some twenty.
const (
	warmQueries = 400
	sureQueries = 2500
	mostTime    = 120.0
	// Windows and latencies are learnt once each backend has answered so often, or after mostWarm seconds.
	warmCalls           = 100
	leastWarm, mostWarm = 0.5, 2.0
	// leastTime is what counts at the least, seconds: queues at high load come and go over tens of parts' work.
	leastTime = 1.0
)

// Emulate plays a steady load on a fleet, so long that so many queries count (0 for the usual number). Both must have
// been checked.
func Emulate(f *Site, a *Ask, seed uint64, queries int) Outcome {
	if queries == 0 {
		queries = sureQueries
	}
	w := newWorld(f, a, seed)
	w.warm = max(warmQueries/a.PerS, min(mostWarm, max(leastWarm, warmCalls*float64(len(f.Backends))/(a.PerS*a.subqueries()))))
	w.end = w.warm + min(mostTime, max(leastTime, float64(queries)/a.PerS))
	w.arrive()
	longest := 0.0
	for _, x := range f.Indexes {
		longest = max(longest, x.Hard)
	}
	for len(w.agenda) > 0 && w.agenda[0].at < w.end+longest+1 {
		w.next()
	}
	return w.outcome()
}

// next lets the next thing happen.
func (w *world) next() {
	h := w.agenda[0]
	heap.Pop(&w.agenda)
	w.now = h.at
	h.what()
}

func newWorld(f *Site, a *Ask, seed uint64) *world {
	w := &world{f: f, a: a, g: pcg{random.PCG(seed*2 + 1)}, byID: map[policy.BackendID]*station{}}
	w.got.Queries, w.got.ByIndex = make([]int64, len(f.Indexes)), make([]float64, len(f.Indexes))
	list := policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}
	for i, s := range f.Backends {
		st := &station{Backend: s, id: policy.BackendID(i + 1)}
		w.stations = append(w.stations, st)
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
			Limits: policy.Limits{Cancel: true, Probe: true, Hedge: true, RetryAfter: true, MaxAttempts: max(1, f.MostTries), MaxPending: f.MostHeld, MaxRetryAfter: 1, ConnectTimeout: 0.25},
			Rules:  policy.Rules{AnswerSlack: 0.02, DrainGrace: 2}, Prices: policy.Prices{CrossLocation: 0.02}}
		for _, x := range f.Indexes {
			set.Indexes = append(set.Indexes, policy.IndexSettings{Soft: x.Soft, Hard: x.Hard, Value: max(x.Gain, 1e-9), LateValue: x.Late, Effect: x.Effect, Required: 1, Minimum: 1})
		}
		m := &aggregator{m: policy.New(set, 0), queries: map[policy.QueryID]*taken{}, subqueries: map[policy.SubqueryID]policy.IndexID{},
			made: map[policy.SubqueryID]policy.CallNo{}, out: map[callKey]*work{}, stepped: -1}
		w.aggregators = append(w.aggregators, m)
		w.tell(m, list)
	}
	return w
}

func (w *world) at(t float64, what func()) {
	w.no++
	heap.Push(&w.agenda, happening{max(t, w.now), w.no, what})
}

// arrive lets clients ask, until the end.
func (w *world) arrive() {
	if w.now >= w.end {
		return
	}
	u, share := w.g.Unit(), len(w.a.Mix)-1
	for i, m := range w.a.Mix {
		if u -= m.Of; u < 0 {
			share = i
			break
		}
	}
	q := &query{share: share, began: w.now, counts: w.now >= w.warm}
	q.shards = w.shards(w.a.Mix[share].Subqueries)
	if q.counts {
		w.got.Asked++
		w.got.Queries[w.a.Mix[share].Index]++
	}
	w.try(q)
	w.at(w.now+w.gap()/w.a.PerS, w.arrive)
}

// gap is the time between two queries against its mean.
func (w *world) gap() float64 {
	if w.a.Bursts <= 0 || w.a.Bursts == 1 {
		return w.g.Exp()
	}
	return w.g.about(1, w.a.Bursts)
}

// shards draws so many different ones by their popularity.
func (w *world) shards(n int) (list []int) {
	for len(list) < n {
		s, _ := slices.BinarySearch(w.popular, w.g.Unit()*w.popular[len(w.popular)-1])
		for slices.Contains(list, s%w.f.Shards) { // all that are popular are in: the next one along
			s++
		}
		list = append(list, s%w.f.Shards)
	}
	return list
}

// try sends a query to an aggregator by chance.
func (w *world) try(q *query) {
	q.tries++
	if q.counts {
		w.got.Tries++
	}
	m := w.aggregators[int(w.g.Unit()*float64(len(w.aggregators)))]
	if w.f.MostHeld > 0 && len(m.queries)+len(m.subqueries) >= w.f.MostHeld {
		w.nacked(q, 0)
		return
	}
	k := w.a.Mix[q.share].Index
	x := &w.f.Indexes[k]
	m.lastID++
	id, t := policy.QueryID(m.lastID), &taken{of: q}
	m.queries[id] = t
	e := policy.Event{Kind: policy.QueryReceived, Query: id, No: policy.QueryNo(id), Index: policy.IndexID(k), Remaining: x.Hard - (w.now - q.began), Subqueries: len(q.shards), Resent: q.tries > 1}
	events := []policy.Event{e}
	e.Kind, e.Subqueries = policy.SubqueryReceived, 0
	for _, s := range q.shards {
		m.lastID++
		e.Subquery, e.Shard, e.Weight = policy.SubqueryID(m.lastID), policy.ShardID(s), 1/float64(len(q.shards))
		t.subqueries = append(t.subqueries, e.Subquery)
		m.subqueries[e.Subquery] = policy.IndexID(k)
		events = append(events, e)
	}
	m.mostHeld = max(m.mostHeld, len(m.queries)+len(m.subqueries))
	w.tell(m, events...)
}

// tell hands events to an aggregator, which steps no sooner after its last step than it may.
func (w *world) tell(m *aggregator, events ...policy.Event) {
	m.events = append(m.events, events...)
	if !m.waiting {
		m.waiting = true
		w.at(max(w.now, m.stepped+w.f.Step), func() { w.step(m) })
	}
}

func (w *world) step(m *aggregator) {
	m.waiting, m.stepped = false, w.now
	events := m.events
	m.events = nil
	m.actions = m.m.Step(w.now, events, m.actions[:0])
	for i := range m.actions {
		w.act(m, &m.actions[i])
	}
	m.mostOut = max(m.mostOut, len(m.out))
}

func (w *world) act(m *aggregator, a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		k, held := m.subqueries[a.Subquery]
		if !held {
			return
		}
		no := m.made[a.Subquery]
		m.made[a.Subquery] = no + 1
		c := &work{aggregator: m, subquery: a.Subquery, no: no, k: k, sent: w.now}
		m.out[callKey{a.Subquery, no}] = c
		to := w.byID[a.Backend]
		w.at(w.now+w.f.Network, func() { w.reach(to, c) })
		w.at(a.StopAt, func() { w.finish(c, to, policy.TimedOut) })
	case policy.Cancel:
		if c := m.out[callKey{a.Subquery, a.Call}]; c != nil {
			w.finish(c, nil, policy.Canceled)
		}
	case policy.Answer:
		w.answered(m, a.Query)
	case policy.Nack, policy.Abort:
		if t := w.close(m, a.Query); t != nil && a.Kind == policy.Nack {
			w.nacked(t.of, a.Wait)
		} else if t != nil && t.of.counts {
			w.got.Aborted++
		}
	case policy.SetTimer:
		timer := a.Timer
		w.at(w.now+a.Wait, func() {
			if w.now < w.end+60 {
				w.tell(m, policy.Event{Kind: policy.TimerDue, Timer: timer})
			}
		})
	case policy.Probe:
		id := a.Backend
		w.at(w.now+2*w.f.Network, func() {
			w.tell(m, policy.Event{Kind: policy.ProbeEnded, Backend: id, Outcome: policy.Answered, Elapsed: 2 * w.f.Network})
		})
	}
}

func (w *world) close(m *aggregator, id policy.QueryID) *taken {
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

func (w *world) answered(m *aggregator, id policy.QueryID) {
	t := w.close(m, id)
	if t == nil || !t.of.counts {
		return
	}
	k := w.a.Mix[t.of.share].Index
	took := w.now - t.of.began
	w.got.took = append(w.got.took, took)
	if took <= w.f.Indexes[k].Soft {
		w.got.ByIndex[k]++
	}
}

// nacked lets a client come back, where it has tries and time left.
func (w *world) nacked(q *query, wait float64) {
	k := w.a.Mix[q.share].Index
	back := w.now + max(wait, w.f.Backoff*(0.5+w.g.Unit()))
	if q.tries <= w.f.Retries && back < q.began+w.f.Indexes[k].Hard {
		w.at(back, func() { w.try(q) })
	} else if q.counts {
		w.got.Nacked++
	}
}

func (w *world) outcome() Outcome {
	o := &w.got
	n := max(1, float64(o.Asked))
	gain, all := 0.0, 0.0
	for k, x := range w.f.Indexes {
		all += float64(o.Queries[k]) * x.Gain
		gain += o.ByIndex[k] * x.Gain
		o.ByIndex[k] /= max(1, float64(o.Queries[k]))
	}
	o.Gain = gain / max(all, 1e-9)
	o.Nacked, o.Aborted, o.Tries = o.Nacked/n, o.Aborted/n, o.Tries/n
	slices.Sort(o.took)
	if len(o.took) > 0 {
		o.P50, o.P99 = o.took[len(o.took)/2], o.took[min(len(o.took)-1, len(o.took)*99/100)]
	}
	subqueries := 0.0
	for i, s := range w.stations {
		o.Use = append(o.Use, s.used/(float64(s.Cores)*(w.end-w.warm)))
		if o.Use[i] > o.Use[o.Hottest] {
			o.Hottest = i
		}
		o.MostQueue = max(o.MostQueue, s.most)
		o.Refused += s.refused
		subqueries += float64(s.calls)
	}
	for _, m := range w.aggregators {
		o.MostHeld, o.MostOut = max(o.MostHeld, m.mostHeld), max(o.MostOut, m.mostOut)
	}
	o.Calls = subqueries / max(1, w.a.subqueries()*w.a.PerS*w.end)
	return *o
}
