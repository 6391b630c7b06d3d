package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation runs one instance with simulated clients and backends. It keeps its own records and checks the six rules against
// them after every step. The first violation is stored in err.
type simulation struct {
	settings                  Settings
	rng                       *rand.Rand
	now                       float64
	aggregator                *Aggregator
	lastID                    uint64
	backends                  []*simulatedBackend
	queries                   map[QueryID]*clientQuery
	subqueries                map[SubqueryID]*querySubquery
	scheduled                 []scheduledEvent
	receivedTimes, retryTimes []float64
	emitted                   []Action
	answered                  int
	interceptActions          func(e *simulation, actions []Action) []Action
	extraEvents               func(e *simulation) []Event // events at the start of each step
	zonesFor                  func(*clientQuery) *Zones   // zones of a received query
	onRemoved                 func(BackendID)             // called when the list removes a backend
	err                       error
}

type simulatedBackend struct {
	entry                          Entry
	listed                         bool
	reportedPhase                  Phase   // phase that the list last reported to the instance
	unavailableAt                  float64 // time at which the list reported it as draining or removed; 0 if it is ready
	fault                          int     // 0 healthy, 1 fails fast, 2 unresponsive, 3 refuses connections, 4 slow
	sentWork                       []sentWork
	reportedStart, reportedStartAt float64 // start that the list reported, and the time of the report
}

type clientQuery struct {
	event                         Event
	subqueries                    []*querySubquery
	deadline                      float64
	ended, firstStepDone, partial bool
}

type querySubquery struct {
	event            Event
	query            *clientQuery
	calls            []*attempt
	firstSentAt      float64
	answered, closed bool // closed when its query's step ends
}

type attempt struct {
	backend                         *simulatedBackend
	sentAt                          float64
	inFlight, notExecuted, canceled bool
}

type scheduledEvent struct {
	at    float64
	event Event
}

const (
	// workPerSubquery is the work of each simulated subquery.
	workPerSubquery = 0.1
	// backendCapacity is the highest work per second of a simulated backend.
	backendCapacity = 3.0
)

// randomSettings returns the settings of a random deployment. It has an index of each effect; optional rules are enabled at
// random.
func randomSettings(rng *rand.Rand) Settings {
	settings := Settings{Seed: rng.Uint64(), Aggregators: 1 + rng.IntN(4), StepInterval: 0.005, ListOnRequest: rng.IntN(2) == 0,
		OverQuotaValue: 0.1, Layout: Layout{Cells: 4, Width: 1 + rng.IntN(3), SubqueriesPerCall: 1 + 7*rng.IntN(2)},
		Limits: Limits{Cancel: rng.IntN(4) > 0, Probe: rng.IntN(2) == 0, Hedge: rng.IntN(2) == 0,
			RetryAfter: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(4), MaxPending: 300, MaxRetryAfter: 1},
		Rules: Rules{AnswerSlack: 0.02, ListPollEvery: 10, SlowStartShare: 0.2, SlowStartS: 8, DrainGrace: 0.25,
			OverloadMultiple: 2, OverloadWindowS: 1.5, RetryBudget: rng.IntN(2) == 0, RetryBudgetMin: 3, RetryBudgetRatio: 0.1, RetryBudgetS: 2},
		Prices: Prices{CrossLocation: 0.04}}
	settings.Customers = []CustomerSettings{{0.7, 9}, {0.3, 4}}[:2*rng.IntN(2)]
	for i := range 3 {
		settings.Indexes = append(settings.Indexes, IndexSettings{Soft: 1 + rng.Float64(), Hard: 4, Value: 1, LateValue: 0.2,
			Effect: Effect(i), DedupS: 1, Required: 1, Minimum: []float64{0.6, 1, 1}[rng.IntN(3)], PartialValue: 0.9,
			SecondStep: []int{2, 0, 0, 0}[rng.IntN(4)]})
	}
	return settings
}

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	e := &simulation{settings: randomSettings(rng), rng: rng, now: 100, queries: map[QueryID]*clientQuery{}, subqueries: map[SubqueryID]*querySubquery{}}
	for i := range 10 {
		e.backends = append(e.backends, &simulatedBackend{entry: Entry{Backend: BackendID(1000 + 37*i), Cell: CellID(i % 4),
			Location: LocationID(i % 2), Share: 1}})
	}
	e.aggregator = New(e.settings, e.now)
	return e
}

func (e *simulation) fail(format string, args ...any) {
	if e.err == nil {
		e.err = fmt.Errorf("at %.3f: %s", e.now, fmt.Sprintf(format, args...))
	}
}

func (e *simulation) run(seconds float64) *simulation {
	e.step([]Event{e.listEvent(ListStale)})
	for end := e.now + seconds; e.now < end && e.err == nil; {
		e.now += e.settings.StepInterval
		var events []Event
		if e.extraEvents != nil {
			events = e.extraEvents(e)
		}
		e.scheduled = slices.DeleteFunc(e.scheduled, func(d scheduledEvent) bool {
			if d.at > e.now {
				return false
			}
			events = append(events, d.event)
			return true
		})
		if e.rng.IntN(20) == 0 && e.now < end-6 {
			events = append(events, e.newQuery()...)
		}
		if e.rng.IntN(200) == 0 {
			b := e.backends[e.rng.IntN(len(e.backends))]
			b.fault = max(0, e.rng.IntN(9)-4)
			switch e.rng.IntN(6) {
			case 0:
				b.entry.Phase = Phase(e.rng.IntN(3))
			case 1:
				b.entry.Phase, b.entry.StartedAt = Ready, e.now
			}
			events = append(events, e.listEvent(ListKind(e.rng.IntN(4))))
		}
		e.step(events)
	}
	return e
}

func (e *simulation) listEvent(kind ListKind) Event {
	event := Event{Kind: ListChanged, List: kind}
	if kind == ListFailed {
		return event
	}
	for _, b := range e.backends {
		if kind == ListPatch || b.entry.Phase != Removed {
			event.Entries = append(event.Entries, b.entry)
		}
	}
	return event
}

// applyList records what a list event reports to the instance.
func (e *simulation) applyList(event Event) {
	for _, b := range e.backends {
		i := slices.IndexFunc(event.Entries, func(r Entry) bool { return r.Backend == b.entry.Backend })
		switch {
		case event.List == ListFailed || i < 0 && event.List == ListPatch:
			continue
		case i < 0 || event.Entries[i].Phase != Ready:
			b.unavailableAt = cmp.Or(b.unavailableAt, e.now)
			if e.onRemoved != nil && (i < 0 || event.Entries[i].Phase == Removed) {
				e.onRemoved(b.entry.Backend)
			}
		default:
			b.unavailableAt = 0
		}
		if i >= 0 {
			b.reportedPhase = event.Entries[i].Phase
			b.listed = b.listed || event.Entries[i].Phase != Removed
			if at := event.Entries[i].StartedAt; at > b.reportedStart {
				b.reportedStart, b.reportedStartAt = at, e.now
			}
		}
	}
}

func (e *simulation) newID() uint64 { e.lastID += 1 + e.rng.Uint64N(1000); return e.lastID }

func (e *simulation) newQuery() []Event {
	index := IndexID(e.rng.IntN(len(e.settings.Indexes)))
	n := 1 + e.rng.IntN(5)
	received := Event{Kind: QueryReceived, Query: QueryID(e.newID()), QueryNumber: QueryNumber(e.newID()), Index: index, Subqueries: n,
		Customer: CustomerID(e.rng.IntN(3)), Remaining: e.settings.Indexes[index].Hard * (0.3 + 0.7*e.rng.Float64())}
	q := &clientQuery{event: received, deadline: e.now + received.Remaining}
	if e.zonesFor != nil {
		received.Zones = e.zonesFor(q)
	}
	e.queries[received.Query] = q
	e.receivedTimes = append(e.receivedTimes, e.now)
	return append([]Event{received}, e.newSubqueries(q, n)...)
}

func (e *simulation) newSubqueries(q *clientQuery, n int) (events []Event) {
	for range n {
		event := Event{Kind: SubqueryReceived, Subquery: SubqueryID(e.newID()), QueryNumber: q.event.QueryNumber, Index: q.event.Index,
			Shard: ShardID(e.rng.IntN(8)), Weight: 1 / float64(n), Remaining: q.deadline - e.now, Hint: workPerSubquery}
		sub := &querySubquery{event: event, query: q}
		q.subqueries = append(q.subqueries, sub)
		e.subqueries[event.Subquery] = sub
		e.receivedTimes = append(e.receivedTimes, e.now)
		events = append(events, event)
	}
	return events
}

func (e *simulation) step(events []Event) {
	for _, ev := range events {
		if ev.Kind == ListChanged {
			e.applyList(ev)
		}
		if ev.Kind == CallEnded {
			sub := e.subqueries[ev.Subquery]
			c := sub.calls[ev.Call]
			c.inFlight, c.notExecuted = false, slices.Contains([]Outcome{Rejected, NotConnected, NotSent}, ev.Outcome)
			sub.answered = sub.answered || ev.Outcome == Answered && !sub.closed
		}
	}
	actions := e.aggregator.Step(e.now, events, nil)
	if e.interceptActions != nil {
		actions = e.interceptActions(e, actions)
	}
	e.emitted = append(e.emitted, actions...)
	for _, a := range actions {
		e.handleAction(a)
	}
	for _, b := range e.backends {
		e.checkSlowStart(b)
	}
	for _, q := range e.queries {
		if !q.ended && e.now > q.deadline+e.settings.Rules.AnswerSlack {
			e.fail("lost: query %d has no final answer", q.event.Query)
		}
	}
}

func (e *simulation) handleAction(a Action) {
	switch a.Kind {
	case SetTimer:
		e.scheduled = append(e.scheduled, scheduledEvent{e.now + max(a.Wait, e.settings.StepInterval/2), Event{Kind: TimerDue, Timer: a.Timer}})
	case Subscribe, RequestCompleteList:
		e.scheduled = append(e.scheduled, scheduledEvent{e.now + 0.1, e.listEvent(ListComplete)})
	case Probe:
		event := Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: Answered}
		if b := e.backendByID(a.Backend); b.fault >= 2 {
			event.Outcome = NotConnected
		}
		e.scheduled = append(e.scheduled, scheduledEvent{e.now + 0.2, event})
	case Cancel:
		if c := e.subqueries[a.Subquery].calls[a.Call]; c.inFlight && !c.canceled {
			c.canceled = true
			e.scheduleEnd(e.subqueries[a.Subquery], int(a.Call), Canceled, 0.005)
		}
	case Send:
		e.checkSend(a)
	case Answer, Nack, Abort:
		e.checkReply(a)
	}
}

func (e *simulation) backendByID(id BackendID) *simulatedBackend {
	return e.backends[slices.IndexFunc(e.backends, func(b *simulatedBackend) bool { return b.entry.Backend == id })]
}

func (e *simulation) scheduleEnd(sub *querySubquery, callNumber int, outcome Outcome, after float64) {
	e.scheduled = slices.DeleteFunc(e.scheduled, func(d scheduledEvent) bool {
		return d.event.Kind == CallEnded && d.event.Subquery == sub.event.Subquery && d.event.Call == CallNumber(callNumber)
	})
	c := sub.calls[callNumber]
	e.scheduled = append(e.scheduled, scheduledEvent{e.now + after, Event{Kind: CallEnded, Subquery: sub.event.Subquery, Call: CallNumber(callNumber),
		Backend: c.backend.entry.Backend, Outcome: outcome, Elapsed: e.now + after - c.sentAt}})
}

func (e *simulation) checkSend(a Action) {
	sub, b := e.subqueries[a.Subquery], e.backendByID(a.Backend)
	index, rules := e.settings.Indexes[sub.event.Index], e.settings.Rules
	inFlight, maybeExecuted := 0, false
	for _, c := range sub.calls {
		maybeExecuted = maybeExecuted || !c.notExecuted
		if c.inFlight {
			inFlight++
		}
	}
	cells := e.settings.Layout.Cells
	cellOffset := (int(b.entry.Cell) - int(sub.event.Shard)%cells + cells) % cells
	for _, c := range []struct {
		violated bool
		text     string
	}{
		{sub.query.ended || sub.closed, "lost: sent after the end of its query"},
		{sub.answered, "sent after its answer"},
		{cellOffset >= e.settings.Layout.Width || !b.listed, "sent to a backend that does not hold its shard"},
		{inFlight > 0 && (!e.settings.Limits.Hedge || index.Effect == AtMostOnce), "duplicate: two calls in flight at the same time"},
		{index.Effect == AtMostOnce && maybeExecuted, "duplicate: at-most-once subquery sent again"},
		{index.Effect == Deduplicated && maybeExecuted && e.now > sub.firstSentAt+index.DedupS, "duplicate: sent again too late"},
		{index.Effect == Deduplicated && maybeExecuted && !(a.StartBy > 0 && a.StartBy <= sub.firstSentAt+index.DedupS+1e-9), "duplicate: execution may start too late"},
		{b.unavailableAt > 0 && e.now > b.unavailableAt+rules.DrainGrace, "drain: sent after the grace period"},
		{e.settings.Limits.MaxAttempts > 0 && len(sub.calls) >= e.settings.Limits.MaxAttempts, "too many calls"},
	} {
		if c.violated {
			e.fail("subquery %d: %s", a.Subquery, c.text)
		}
	}
	if len(sub.calls) > 0 {
		e.retryTimes = append(e.retryTimes, e.now)
		from := e.now - rules.RetryBudgetS
		if rules.RetryBudget && float64(countAfter(e.retryTimes, from)) > rules.RetryBudgetMin+rules.RetryBudgetRatio*float64(countAfter(e.receivedTimes, from)) {
			e.fail("budget: %d retries", countAfter(e.retryTimes, from))
		}
	}
	sub.firstSentAt = cmp.Or(sub.firstSentAt, e.now)
	b.sentWork = append(b.sentWork, sentWork{e.now, workPerSubquery})
	sub.calls = append(sub.calls, &attempt{backend: b, sentAt: e.now, inFlight: true})
	outcome, elapsed := Answered, 0.05+0.2*e.rng.Float64()
	switch b.fault {
	case 1:
		outcome, elapsed = []Outcome{Errored, Broken, Rejected}[e.rng.IntN(3)], 0.01
	case 2:
		outcome, elapsed = TimedOut, sub.query.deadline-e.now+0.001
	case 3:
		outcome, elapsed = NotConnected, 0.1
	case 4:
		elapsed *= 8
	}
	if remaining := sub.query.deadline - e.now; elapsed > remaining && !sub.query.ended {
		outcome, elapsed = TimedOut, remaining+0.001
	}
	e.scheduleEnd(sub, len(sub.calls)-1, outcome, elapsed)
}

func countAfter(times []float64, from float64) int {
	i, _ := slices.BinarySearch(times, from)
	return len(times) - i
}

func (e *simulation) checkReply(a Action) {
	q := e.queries[a.Query]
	if q == nil || q.ended {
		e.fail("lost: query %d answered twice", a.Query)
		return
	}
	index := e.settings.Indexes[q.event.Index]
	answered, weight, maybeExecuted := 0, 0.0, false
	for _, sub := range q.subqueries {
		if sub.answered && !sub.closed {
			answered, weight = answered+1, weight+sub.event.Weight
		}
		sub.closed = true
		for _, c := range sub.calls {
			maybeExecuted = maybeExecuted || !c.notExecuted
		}
	}
	required := index.Required
	if q.firstStepDone {
		required = 1
	}
	switch {
	case a.Kind == Answer && weight < index.Minimum-1e-4:
		e.fail("minimum: query %d answered with weight %.2f", a.Query, weight)
	case a.Kind == Answer && a.Complete && (weight < required-1e-4 || q.partial):
		e.fail("complete: query %d answered as complete with weight %.2f", a.Query, weight)
	case a.Kind == Nack && index.Effect == AtMostOnce && maybeExecuted:
		e.fail("duplicate: query %d rejected with a nack although a subquery may have been executed", a.Query)
	}
	if a.Kind == Answer {
		e.answered++
	}
	if a.Kind == Answer && index.SecondStep > 0 && !q.firstStepDone {
		q.firstStepDone, q.partial = true, !a.Complete
		for _, ev := range e.newSubqueries(q, min(answered, index.SecondStep)) {
			e.scheduled = append(e.scheduled, scheduledEvent{e.now + e.settings.StepInterval/2, ev})
		}
		return
	}
	q.ended = true
}

// checkSlowStart checks that this instance sends at most its share of what a backend in slow start may get. The limit is
// calculated from the true capacity.
func (e *simulation) checkSlowStart(b *simulatedBackend) {
	rules := e.settings.Rules
	if b.reportedStart == 0 || e.now > b.reportedStart+rules.SlowStartS {
		return
	}
	sum := 0.0
	for _, w := range b.sentWork {
		if w.at > e.now-rules.OverloadWindowS && w.at >= b.reportedStartAt {
			sum += w.work
		}
	}
	factor := rules.SlowStartShare + (1-rules.SlowStartShare)*(e.now-b.reportedStart)/rules.SlowStartS
	limit := rules.OverloadMultiple * factor * backendCapacity / float64(e.settings.Aggregators) * rules.OverloadWindowS
	if sum > math.Max(limit, workPerSubquery+1e-9) {
		e.fail("slow start: %.2f of work sent to %d, expected at most %.2f", sum, b.entry.Backend, limit)
	}
}

// fixture drives an instance with fixed settings and explicit events. By default it has one cell with two backends.
type fixture struct {
	t          *testing.T
	aggregator *Aggregator
	now        float64
	lastID     uint64
	calls      map[SubqueryID]int
}

func newFixture(t *testing.T, change func(*Settings), entries ...Entry) *fixture {
	settings := Settings{Seed: 1, Aggregators: 1, StepInterval: 0.005, Layout: Layout{Cells: 1, Width: 1},
		Indexes: []IndexSettings{{Soft: 2, Hard: 6, Value: 1, LateValue: 0.1, Required: 1, Minimum: 1}},
		Limits:  Limits{Cancel: true, MaxAttempts: 3}}
	if change != nil {
		change(&settings)
	}
	s := &fixture{t: t, aggregator: New(settings, 0), calls: map[SubqueryID]int{}}
	if entries == nil {
		entries = []Entry{{Backend: 1}, {Backend: 2}}
	}
	s.step(0.01, Event{Kind: ListChanged, List: ListComplete, Entries: entries})
	return s
}

func (s *fixture) step(dt float64, events ...Event) []Action {
	s.now += dt
	return s.aggregator.Step(s.now, events, nil)
}

// receive passes a query to the instance, with one subquery for each hint. It returns the subqueries and the immediate actions.
func (s *fixture) receive(remaining float64, hints ...float64) (subqueries []SubqueryID, actions []Action) {
	s.lastID++
	number := QueryNumber(s.lastID)
	events := []Event{{Kind: QueryReceived, Query: QueryID(s.lastID), QueryNumber: number, Subqueries: len(hints), Remaining: remaining}}
	for _, b := range hints {
		id := SubqueryID(1000*s.lastID) + SubqueryID(len(subqueries))
		subqueries = append(subqueries, id)
		events = append(events, Event{Kind: SubqueryReceived, Subquery: id, QueryNumber: number, Shard: ShardID(len(subqueries) - 1), Weight: 1 / float64(len(hints)), Hint: b})
	}
	return subqueries, s.step(0.005, events...)
}

// endCall ends the next call of a subquery with the given outcome.
func (s *fixture) endCall(dt float64, sub SubqueryID, from BackendID, outcome Outcome, elapsed float64) []Action {
	number := s.calls[sub]
	s.calls[sub]++
	return s.step(dt, Event{Kind: CallEnded, Subquery: sub, Call: CallNumber(number), Backend: from, Outcome: outcome, Elapsed: elapsed})
}

// answerAll answers all sent subqueries, dt seconds after each other and with the same latency.
func (s *fixture) answerAll(actions []Action, dt, elapsed float64) {
	for _, a := range ofKind(Send, actions) {
		s.endCall(dt, a.Subquery, a.Backend, Answered, elapsed)
	}
}

func (s *fixture) tick(dt float64) []Action {
	return s.step(dt, Event{Kind: TimerDue, Timer: sweepTimer})
}

// ofKind returns the actions of one kind.
func ofKind(kind ActionKind, actions []Action) (matching []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			matching = append(matching, a)
		}
	}
	return matching
}
