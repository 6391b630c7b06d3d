package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// emulation is a small world around one instance. It keeps books of its own and checks the six rules after every
// step from those alone; err holds the first breach.
type emulation struct {
	set            Settings
	rng            *rand.Rand
	now            float64
	aggregator     *Aggregator
	next           uint64
	fleet          []*host
	queries        map[QueryID]*clientQuery
	subqueries     map[SubqueryID]*querySubquery
	due            []dueEvent
	taken, further []float64
	log            []Action
	answered       int
	sabotage       func(e *emulation, actions []Action) []Action
	extra          func(e *emulation) []Event // told before all else in each step
	zoned          func(*clientQuery) *Zones  // of a query that is taken
	renamed        func(BackendID)            // what was known by this number is forgotten
	err            error
}

type host struct {
	entry                    Entry
	named                    bool
	knownPhase               Phase   // as last told
	knownAt                  float64 // when the instance heard that it drains or is gone; 0 if it did not
	fault                    int     // 0 sound, 1 fails fast, 2 silent, 3 refuses, 4 slow
	sentWork                 []sentWork
	knownStart, knownStartAt float64 // the start that the instance was told of, and when
}

type clientQuery struct {
	event                 Event
	subqueries            []*querySubquery
	ends                  float64
	ended, stepped, short bool
}

type querySubquery struct {
	event            Event
	query            *clientQuery
	calls            []*attempt
	first            float64
	answered, closed bool // answered; of a step that is over
}

type attempt struct {
	host                        *host
	sent                        float64
	open, notExecuted, canceled bool
}

type dueEvent struct {
	at    float64
	event Event
}

// capacity is the work a second that a host of this world takes at its busiest.
const workOfSubquery, capacity = 0.1, 3.0

// randomSettings draws a deployment: every kind of index, with and without the optional rules.
func randomSettings(rng *rand.Rand) Settings {
	set := Settings{Seed: rng.Uint64(), Aggregators: 1 + rng.IntN(4), StepInterval: 0.005, ListOnRequest: rng.IntN(2) == 0,
		OverQuotaValue: 0.1, Layout: Layout{Cells: 4, Width: 1 + rng.IntN(3), SubqueriesPerCall: 1 + 7*rng.IntN(2)},
		Limits: Limits{Cancel: rng.IntN(4) > 0, Probe: rng.IntN(2) == 0, Hedge: rng.IntN(2) == 0,
			RetryAfter: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(4), MaxPending: 300, MaxRetryAfter: 1},
		Rules: Rules{AnswerSlack: 0.02, ListPollEvery: 10, SlowStartShare: 0.2, SlowStartS: 8, DrainGrace: 0.25,
			OverloadMultiple: 2, OverloadWindowS: 1.5, RetryBudget: rng.IntN(2) == 0, RetryBudgetMin: 3, RetryBudgetRatio: 0.1, RetryBudgetS: 2},
		Prices: Prices{CrossLocation: 0.04}}
	set.Customers = []CustomerSettings{{0.7, 9}, {0.3, 4}}[:2*rng.IntN(2)]
	for i := range 3 {
		set.Indexes = append(set.Indexes, IndexSettings{Soft: 1 + rng.Float64(), Hard: 4, Value: 1, LateValue: 0.2,
			Effect: Effect(i), DedupS: 1, Required: 1, Minimum: []float64{0.6, 1, 1}[rng.IntN(3)], PartialValue: 0.9,
			SecondStep: []int{2, 0, 0, 0}[rng.IntN(4)]})
	}
	return set
}

func newEmulation(seed uint64) *emulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	e := &emulation{set: randomSettings(rng), rng: rng, now: 100, queries: map[QueryID]*clientQuery{}, subqueries: map[SubqueryID]*querySubquery{}}
	for i := range 10 {
		e.fleet = append(e.fleet, &host{entry: Entry{Backend: BackendID(1000 + 37*i), Cell: CellID(i % 4),
			Location: LocationID(i % 2), Share: 1}})
	}
	e.aggregator = New(e.set, e.now)
	return e
}

func (e *emulation) fail(format string, args ...any) {
	if e.err == nil {
		e.err = fmt.Errorf("at %.3f: %s", e.now, fmt.Sprintf(format, args...))
	}
}

func (e *emulation) run(seconds float64) *emulation {
	e.step([]Event{e.list(ListStale)})
	for end := e.now + seconds; e.now < end && e.err == nil; {
		e.now += e.set.StepInterval
		var events []Event
		if e.extra != nil {
			events = e.extra(e)
		}
		e.due = slices.DeleteFunc(e.due, func(d dueEvent) bool {
			if d.at > e.now {
				return false
			}
			events = append(events, d.event)
			return true
		})
		if e.rng.IntN(20) == 0 && e.now < end-6 {
			events = append(events, e.arrival()...)
		}
		if e.rng.IntN(200) == 0 {
			h := e.fleet[e.rng.IntN(len(e.fleet))]
			h.fault = max(0, e.rng.IntN(9)-4)
			switch e.rng.IntN(6) {
			case 0:
				h.entry.Phase = Phase(e.rng.IntN(3))
			case 1:
				h.entry.Phase, h.entry.StartedAt = Ready, e.now
			}
			events = append(events, e.list(ListKind(e.rng.IntN(4))))
		}
		e.step(events)
	}
	return e
}

func (e *emulation) list(kind ListKind) Event {
	ev := Event{Kind: ListChanged, List: kind}
	if kind == ListFailed {
		return ev
	}
	for _, h := range e.fleet {
		if kind == ListPatch || h.entry.Phase != Removed {
			ev.Entries = append(ev.Entries, h.entry)
		}
	}
	return ev
}

// applyList books what a list event tells the instance.
func (e *emulation) applyList(ev Event) {
	for _, h := range e.fleet {
		i := slices.IndexFunc(ev.Entries, func(r Entry) bool { return r.Backend == h.entry.Backend })
		switch {
		case ev.List == ListFailed || i < 0 && ev.List == ListPatch:
			continue
		case i < 0 || ev.Entries[i].Phase != Ready:
			h.knownAt = cmp.Or(h.knownAt, e.now)
			if e.renamed != nil && (i < 0 || ev.Entries[i].Phase == Removed) {
				e.renamed(h.entry.Backend)
			}
		default:
			h.knownAt = 0
		}
		if i >= 0 {
			h.knownPhase = ev.Entries[i].Phase
			h.named = h.named || ev.Entries[i].Phase != Removed
			if at := ev.Entries[i].StartedAt; at > h.knownStart {
				h.knownStart, h.knownStartAt = at, e.now
			}
		}
	}
}

func (e *emulation) newID() uint64 { e.next += 1 + e.rng.Uint64N(1000); return e.next }

func (e *emulation) arrival() []Event {
	k := IndexID(e.rng.IntN(len(e.set.Indexes)))
	n := 1 + e.rng.IntN(5)
	lk := Event{Kind: QueryReceived, Query: QueryID(e.newID()), No: QueryNo(e.newID()), Index: k, Subqueries: n,
		Customer: CustomerID(e.rng.IntN(3)), Remaining: e.set.Indexes[k].Hard * (0.3 + 0.7*e.rng.Float64())}
	a := &clientQuery{event: lk, ends: e.now + lk.Remaining}
	if e.zoned != nil {
		lk.Zones = e.zoned(a)
	}
	e.queries[lk.Query] = a
	e.taken = append(e.taken, e.now)
	return append([]Event{lk}, e.newSubqueries(a, n)...)
}

func (e *emulation) newSubqueries(a *clientQuery, n int) (events []Event) {
	for range n {
		ev := Event{Kind: SubqueryReceived, Subquery: SubqueryID(e.newID()), No: a.event.No, Index: a.event.Index,
			Shard: ShardID(e.rng.IntN(8)), Weight: 1 / float64(n), Remaining: a.ends - e.now, Hint: workOfSubquery}
		p := &querySubquery{event: ev, query: a}
		a.subqueries = append(a.subqueries, p)
		e.subqueries[ev.Subquery] = p
		e.taken = append(e.taken, e.now)
		events = append(events, ev)
	}
	return events
}

func (e *emulation) step(events []Event) {
	for _, ev := range events {
		if ev.Kind == ListChanged {
			e.applyList(ev)
		}
		if ev.Kind == CallEnded {
			p := e.subqueries[ev.Subquery]
			c := p.calls[ev.Call]
			c.open, c.notExecuted = false, slices.Contains([]Outcome{Rejected, NotConnected, NotSent}, ev.Outcome)
			p.answered = p.answered || ev.Outcome == Answered && !p.closed
		}
	}
	actions := e.aggregator.Step(e.now, events, nil)
	if e.sabotage != nil {
		actions = e.sabotage(e, actions)
	}
	e.log = append(e.log, actions...)
	for _, a := range actions {
		e.act(a)
	}
	for _, h := range e.fleet {
		e.checkSlowStart(h)
	}
	for _, a := range e.queries {
		if !a.ended && e.now > a.ends+e.set.Rules.AnswerSlack {
			e.fail("lost: lookup %d has no final answer", a.event.Query)
		}
	}
}

func (e *emulation) act(a Action) {
	switch a.Kind {
	case SetTimer:
		e.due = append(e.due, dueEvent{e.now + max(a.Wait, e.set.StepInterval/2), Event{Kind: TimerDue, Timer: a.Timer}})
	case Subscribe, RequestFullList:
		e.due = append(e.due, dueEvent{e.now + 0.1, e.list(ListComplete)})
	case Probe:
		ev := Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: Answered}
		if h := e.host(a.Backend); h.fault >= 2 {
			ev.Outcome = NotConnected
		}
		e.due = append(e.due, dueEvent{e.now + 0.2, ev})
	case Cancel:
		if c := e.subqueries[a.Subquery].calls[a.Call]; c.open && !c.canceled {
			c.canceled = true
			e.scheduleEnd(e.subqueries[a.Subquery], int(a.Call), Canceled, 0.005)
		}
	case Send:
		e.checkSend(a)
	case Answer, Nack, Abort:
		e.checkFinal(a)
	}
}

func (e *emulation) host(id BackendID) *host {
	return e.fleet[slices.IndexFunc(e.fleet, func(h *host) bool { return h.entry.Backend == id })]
}

func (e *emulation) scheduleEnd(p *querySubquery, no int, outcome Outcome, after float64) {
	e.due = slices.DeleteFunc(e.due, func(d dueEvent) bool {
		return d.event.Kind == CallEnded && d.event.Subquery == p.event.Subquery && d.event.Call == CallNo(no)
	})
	c := p.calls[no]
	e.due = append(e.due, dueEvent{e.now + after, Event{Kind: CallEnded, Subquery: p.event.Subquery, Call: CallNo(no),
		Backend: c.host.entry.Backend, Outcome: outcome, Elapsed: e.now + after - c.sent}})
}

func (e *emulation) checkSend(a Action) {
	p, h := e.subqueries[a.Subquery], e.host(a.Backend)
	x, r := e.set.Indexes[p.event.Index], e.set.Rules
	open, ran := 0, false
	for _, c := range p.calls {
		ran = ran || !c.notExecuted
		if c.open {
			open++
		}
	}
	cells := e.set.Layout.Cells
	away := (int(h.entry.Cell) - int(p.event.Shard)%cells + cells) % cells
	for _, c := range []struct {
		breach bool
		text   string
	}{
		{p.query.ended || p.closed, "lost: sent after its lookup's end"},
		{p.answered, "sent after its answer"},
		{away >= e.set.Layout.Width || !h.named, "sent to a searcher that does not hold it"},
		{open > 0 && (!e.set.Limits.Hedge || x.Effect == AtMostOnce), "duplicate: two calls out at once"},
		{x.Effect == AtMostOnce && ran, "duplicate: once-only, sent again"},
		{x.Effect == Deduplicated && ran && e.now > p.first+x.DedupS, "duplicate: sent again too late"},
		{x.Effect == Deduplicated && ran && !(a.StartBy > 0 && a.StartBy <= p.first+x.DedupS+1e-9), "duplicate: may begin too late"},
		{h.knownAt > 0 && e.now > h.knownAt+r.DrainGrace, "drain: sent after the grace"},
		{e.set.Limits.MaxAttempts > 0 && len(p.calls) >= e.set.Limits.MaxAttempts, "too many calls"},
	} {
		if c.breach {
			e.fail("part %d: %s", a.Subquery, c.text)
		}
	}
	if len(p.calls) > 0 {
		e.further = append(e.further, e.now)
		from := e.now - r.RetryBudgetS
		if r.RetryBudget && float64(after(e.further, from)) > r.RetryBudgetMin+r.RetryBudgetRatio*float64(after(e.taken, from)) {
			e.fail("budget: %d further calls", after(e.further, from))
		}
	}
	p.first = cmp.Or(p.first, e.now)
	h.sentWork = append(h.sentWork, sentWork{e.now, workOfSubquery})
	p.calls = append(p.calls, &attempt{host: h, sent: e.now, open: true})
	outcome, took := Answered, 0.05+0.2*e.rng.Float64()
	switch h.fault {
	case 1:
		outcome, took = []Outcome{Errored, Broken, Rejected}[e.rng.IntN(3)], 0.01
	case 2:
		outcome, took = TimedOut, p.query.ends-e.now+0.001
	case 3:
		outcome, took = NotConnected, 0.1
	case 4:
		took *= 8
	}
	if left := p.query.ends - e.now; took > left && !p.query.ended {
		outcome, took = TimedOut, left+0.001
	}
	e.scheduleEnd(p, len(p.calls)-1, outcome, took)
}

func after(times []float64, from float64) int {
	i, _ := slices.BinarySearch(times, from)
	return len(times) - i
}

func (e *emulation) checkFinal(a Action) {
	k := e.queries[a.Query]
	if k == nil || k.ended {
		e.fail("lost: lookup %d answered twice", a.Query)
		return
	}
	x := e.set.Indexes[k.event.Index]
	n, weight, ran := 0, 0.0, false
	for _, p := range k.subqueries {
		if p.answered && !p.closed {
			n, weight = n+1, weight+p.event.Weight
		}
		p.closed = true
		for _, c := range p.calls {
			ran = ran || !c.notExecuted
		}
	}
	need := x.Required
	if k.stepped {
		need = 1
	}
	switch {
	case a.Kind == Answer && weight < x.Minimum-1e-4:
		e.fail("honest: lookup %d answered from %.2f", a.Query, weight)
	case a.Kind == Answer && a.Complete && (weight < need-1e-4 || k.short):
		e.fail("honest: lookup %d called whole at %.2f", a.Query, weight)
	case a.Kind == Nack && x.Effect == AtMostOnce && ran:
		e.fail("duplicate: lookup %d nacked though a part may have run", a.Query)
	}
	if a.Kind == Answer {
		e.answered++
	}
	if a.Kind == Answer && x.SecondStep > 0 && !k.stepped {
		k.stepped, k.short = true, !a.Complete
		for _, ev := range e.newSubqueries(k, min(n, x.SecondStep)) {
			e.due = append(e.due, dueEvent{e.now + e.set.StepInterval/2, ev})
		}
		return
	}
	k.ended = true
}

// checkSlowStart holds this instance to its share of what a cold backend may get, by the true capacity.
func (e *emulation) checkSlowStart(h *host) {
	r := e.set.Rules
	if h.knownStart == 0 || e.now > h.knownStart+r.SlowStartS {
		return
	}
	sum := 0.0
	for _, w := range h.sentWork {
		if w.at > e.now-r.OverloadWindowS && w.at >= h.knownStartAt {
			sum += w.work
		}
	}
	warmth := r.SlowStartShare + (1-r.SlowStartShare)*(e.now-h.knownStart)/r.SlowStartS
	most := r.OverloadMultiple * warmth * capacity / float64(e.set.Aggregators) * r.OverloadWindowS
	if sum > math.Max(most, workOfSubquery+1e-9) {
		e.fail("cold: %.2f of work sent to %d, at most %.2f", sum, h.entry.Backend, most)
	}
}

// scene drives an instance by hand: fixed settings, two cells of one backend each unless told otherwise.
type scene struct {
	t     *testing.T
	m     *Aggregator
	now   float64
	next  uint64
	calls map[SubqueryID]int
}

func newScene(t *testing.T, change func(*Settings), entries ...Entry) *scene {
	set := Settings{Seed: 1, Aggregators: 1, StepInterval: 0.005, Layout: Layout{Cells: 1, Width: 1},
		Indexes: []IndexSettings{{Soft: 2, Hard: 6, Value: 1, LateValue: 0.1, Required: 1, Minimum: 1}},
		Limits:  Limits{Cancel: true, MaxAttempts: 3}}
	if change != nil {
		change(&set)
	}
	s := &scene{t: t, m: New(set, 0), calls: map[SubqueryID]int{}}
	if entries == nil {
		entries = []Entry{{Backend: 1}, {Backend: 2}}
	}
	s.step(0.01, Event{Kind: ListChanged, List: ListComplete, Entries: entries})
	return s
}

func (s *scene) step(dt float64, events ...Event) []Action {
	s.now += dt
	return s.m.Step(s.now, events, nil)
}

// receiveQuery hands over a query with parts of the given hints, and returns what was done at once.
func (s *scene) take(left float64, hints ...float64) (subqueries []SubqueryID, done []Action) {
	s.next++
	no := QueryNo(s.next)
	events := []Event{{Kind: QueryReceived, Query: QueryID(s.next), No: no, Subqueries: len(hints), Remaining: left}}
	for _, h := range hints {
		id := SubqueryID(1000*s.next) + SubqueryID(len(subqueries))
		subqueries = append(subqueries, id)
		events = append(events, Event{Kind: SubqueryReceived, Subquery: id, No: no, Shard: ShardID(len(subqueries) - 1), Weight: 1 / float64(len(hints)), Hint: h})
	}
	return subqueries, s.step(0.005, events...)
}

func (s *scene) end(dt float64, p SubqueryID, at BackendID, outcome Outcome, elapsed float64) []Action {
	no := s.calls[p]
	s.calls[p]++
	return s.step(dt, Event{Kind: CallEnded, Subquery: p, Call: CallNo(no), Backend: at, Outcome: outcome, Elapsed: elapsed})
}

// serve answers all that was sent, each after the same time.
func (s *scene) serve(done []Action, dt, took float64) {
	for _, a := range only(Send, done) {
		s.end(dt, a.Subquery, a.Backend, Answered, took)
	}
}

func (s *scene) tick(dt float64) []Action {
	return s.step(dt, Event{Kind: TimerDue, Timer: sweepTimer})
}

// only picks the actions of one kind.
func only(kind ActionKind, actions []Action) (list []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			list = append(list, a)
		}
	}
	return list
}
