package policy

import (
	"math"
	"reflect"
	"strings"
	"testing"
)

func FuzzRules(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		e := newEmulation(seed).run(25)
		if e.err != nil {
			t.Fatal(e.err)
		}
		if e.answered == 0 {
			t.Fatal("nothing was answered")
		}
		if again := newEmulation(seed).run(25); !reflect.DeepEqual(e.log, again.log) {
			t.Fatal("the same events led to other actions")
		}
	})
}

// Each checker is seen to fail: the actions of a sound instance are broken on the way out.
func TestCheckerFindsViolations(t *testing.T) {
	type breaker func(*emulation, Action) []Action
	turn := func(to func(*emulation, *host) bool) breaker { // sends go to another host of the cell
		return func(e *emulation, a Action) []Action {
			for _, h := range e.fleet {
				if a.Kind == Send && h.named && h.entry.Cell == e.host(a.Backend).entry.Cell && to(e, h) {
					a.Backend = h.entry.Backend
				}
			}
			return []Action{a}
		}
	}
	twice := func(effect Effect) breaker {
		return func(e *emulation, a Action) []Action {
			if a.Kind == Send && e.set.Limits.Hedge && e.set.Indexes[e.subqueries[a.Subquery].event.Index].Effect == effect {
				return []Action{a, a}
			}
			return []Action{a}
		}
	}
	var kept Action
	for name, broken := range map[string]breaker{
		"lost: lookup": func(_ *emulation, a Action) []Action {
			if a.Kind == Nack || a.Kind == Abort || a.Kind == Answer {
				return nil
			}
			return []Action{a}
		},
		"after its lookup's end": func(e *emulation, a Action) []Action {
			if kept.Kind == Send && kept.Subquery != 0 && e.subqueries[kept.Subquery].query.ended {
				return []Action{a, kept}
			} else if a.Kind == Send {
				kept = a
			}
			return []Action{a}
		},
		"duplicate": twice(AtMostOnce),
		"budget":    twice(Idempotent),
		"drain": turn(func(e *emulation, h *host) bool {
			return h.knownAt > 0 && e.now > h.knownAt+e.set.Rules.DrainGrace
		}),
		"cold": turn(func(_ *emulation, h *host) bool { return h.knownStart > 0 && h.knownAt == 0 }),
		"honest": func(_ *emulation, a Action) []Action {
			if a.Kind == Nack || a.Kind == Abort {
				a.Kind = Answer
			}
			return []Action{a}
		},
		"whole": func(_ *emulation, a Action) []Action {
			a.Complete = true
			return []Action{a}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				kept = Action{}
				e := newEmulation(seed)
				e.sabotage = func(e *emulation, actions []Action) (more []Action) {
					for _, a := range actions {
						more = append(more, broken(e, a)...)
					}
					return more
				}
				if e.run(15); e.err != nil && strings.Contains(e.err.Error(), name) {
					return
				}
			}
			t.Fatal("no run showed the breach")
		})
	}
}

func TestBindsToLeastLatencyTimesQueue(t *testing.T) {
	s := newScene(t, nil)
	for range 6 { // backend 1 answers in 0.1 s, backend 2 in 0.5 s
		p, done := s.take(6, 1)
		at := only(Send, done)[0].Backend
		s.end(0.1, p[0], at, Answered, map[BackendID]float64{1: 0.1, 2: 0.5}[at])
	}
	_, done := s.take(6, 1, 1, 1)
	for _, a := range only(Send, done) {
		if a.Backend != 1 {
			t.Errorf("part %d went to the slow searcher", a.Subquery)
		}
	}
}

// fillWindows takes queries until the windows of the only backend are full.
func fillWindows(s *scene) (subqueries []SubqueryID) {
	for range 4 {
		p, done := s.take(6, 1)
		if len(only(Send, done)) != 1 {
			s.t.Fatal("the window should start at 4")
		}
		subqueries = append(subqueries, p[0])
	}
	return subqueries
}

func TestPendingSubqueriesAreSentInMakespanOrder(t *testing.T) {
	s := newScene(t, nil, Entry{Backend: 1})
	subqueries := fillWindows(s)
	long, _ := s.take(6, 1, 1, 1)
	brief, done := s.take(6, 1, 2)
	if len(only(Send, done)) != 0 {
		t.Fatal("sent beyond the window")
	}
	sends := only(Send, s.end(0.05, subqueries[0], 1, Answered, 0.05))
	if len(sends) == 0 || sends[0].Subquery != brief[1] {
		t.Errorf("first out %v, expected the larger hint %d of the shorter lookup, not %v", sends, brief[1], long)
	}
}

func TestEqualMakespanGoesToSmallerSize(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Layout.Cells = 2 }, Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	m := s.m
	lk := func(no QueryNo, at ...int) *query {
		l := m.addQuery(&Event{Query: QueryID(no), No: no, Subqueries: len(at), Remaining: 6})
		for i, n := range at {
			for range n {
				p := m.addSubquery(l, &Event{Subquery: SubqueryID(100*int(no) + len(l.subqueries)), Shard: ShardID(i)})
				m.assign(p, m.orderedBackends[i])
			}
		}
		return l
	}
	lk(1, 2, 2)
	small := lk(2, 2, 1)
	if m.reorder(); m.sendOrder[0] != small {
		t.Error("the tie should go to the lookup of smaller total size")
	}
}

func TestLateSubqueryIsDroppedAndQueryDeclinedAtOnce(t *testing.T) {
	s := newScene(t, nil, Entry{Backend: 1})
	fillWindows(s)
	_, done := s.take(0.5, 1) // unheard: latency counts as the soft deadline of 2 s
	if n := only(Nack, done); len(n) != 1 || len(only(Send, done)) != 0 {
		t.Errorf("expected a nack and no send, got %v", done)
	}
}

// A list change that ends a query once tripped over the list of open queries.
// Also an aggregator that has heard nobody yet says when to come back.
func TestNackHasRetryAfter(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Limits.RetryAfter, set.Limits.MaxRetryAfter = true, 1 }, Entry{Backend: 1})
	p, done := s.take(6, 1)
	done = append(done, s.end(0.1, p[0], 1, NotConnected, 0.1)...)
	nacks := only(Nack, append(done, s.tick(5.9)...))
	if len(nacks) != 1 || nacks[0].Wait != 1 {
		t.Fatalf("got %+v", nacks)
	}
}

func TestListChangeMayEndQueries(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Limits.MaxAttempts = 9 })
	for range 8 {
		p, done := s.take(6, 1)
		for _, a := range only(Send, done) {
			s.end(0.001, p[0], a.Backend, NotConnected, 0.001)
		}
	}
	s.step(0.01, Event{Kind: ListChanged, List: ListPatch,
		Entries: []Entry{{Backend: 1, Phase: Removed}, {Backend: 2, Phase: Removed}}})
}

// Resets on a live backend once counted as restarts: the whole fleet was then held to a cold share.
// Backends come and go all day: those that are gone are kept while a call to them is out, and no longer.
func TestRemovedBackendsAreReleased(t *testing.T) {
	named := func(phase Phase, ids ...BackendID) Event {
		e := Event{Kind: ListChanged}
		for _, id := range ids {
			e.Entries = append(e.Entries, Entry{Backend: id, Phase: phase, Share: 1})
		}
		return e
	}
	s := newScene(t, nil, Entry{Backend: 1, Share: 1})
	subqueries, done := s.take(4, 0)
	if sends := only(Send, done); len(sends) != 1 || sends[0].Backend != 1 {
		t.Fatalf("got %+v", done)
	}
	for i := range BackendID(100) {
		s.step(0.01, named(Ready, i+2))
		s.step(0.01, named(Removed, i+1))
	}
	if m := s.m; len(m.orderedBackends) != 3 || len(m.backends) != 3 || len(m.replicasByCell[0]) != 3 {
		t.Fatalf("%d searchers are kept, not the one with a call out, the one named and the last one gone", len(m.orderedBackends))
	}
	if got := s.end(0.01, subqueries[0], 1, Answered, 0.1); len(only(Answer, got)) != 1 {
		t.Fatalf("got %+v", got)
	}
	whole := named(Ready, 102)
	whole.List = ListComplete
	s.step(0.01, whole)
	if s.step(0.01, whole); len(s.m.orderedBackends) != 1 {
		t.Fatalf("%d searchers are kept", len(s.m.orderedBackends))
	}
}

func TestBudgetRecordsHoldNoMoreThanTheyCount(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Rules.RetryBudget, set.Rules.RetryBudgetS = true, 1 }, Entry{Backend: 1, Share: 1})
	for range 2000 {
		subqueries, _ := s.take(4, 0)
		s.end(0.01, subqueries[0], 1, Answered, 0.01)
	}
	if n := cap(s.m.receivedTimes); n > 1000 {
		t.Fatalf("%d times are kept of 100 lookups in the span", n)
	}
}

func TestBrokenCallIsNoRestart(t *testing.T) {
	s := newScene(t, func(set *Settings) {
		set.Rules = Rules{SlowStartShare: 0.1, SlowStartS: 10, OverloadMultiple: 2, OverloadWindowS: 1}
	})
	p, done := s.take(6, 1)
	at := only(Send, done)[0].Backend
	s.end(0.1, p[0], at, Broken, 0.1)
	if x := s.m.backends[at]; !usable(x) || s.m.slowStartFactor(x) < 1 {
		t.Error("a broken call made its searcher unreachable or cold")
	}
}

// A backend that answers others' calls but lost this one: the call is taken back and sent to the sibling.
func TestLostCallIsCanceledAndRetried(t *testing.T) {
	s := newScene(t, nil)
	warmUp(s)
	lostSubquery, done := s.take(6, 1)
	at := only(Send, done)[0].Backend
	for range 40 {
		_, done := s.take(6, 1)
		s.serve(done, 0.05, 0.05)
		if back := only(Cancel, s.tick(0.01)); len(back) == 1 {
			sends := only(Send, s.end(0.005, lostSubquery[0], at, Canceled, s.now))
			if len(sends) != 1 || sends[0].Backend == at {
				t.Errorf("the part was not sent to the sibling: %v", sends)
			}
			return
		}
	}
	t.Error("the lost call was never taken back")
}

// One that says nothing is asked at once, apart from the calls it may have lost with their connection; should it answer, it
// is in reach at once.
func TestUnresponsiveBackendIsProbedOnASeparateConnection(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Limits.Probe = true }, Entry{Backend: 1})
	warmUp(s)
	s.take(6, 1)
	s.take(6, 1)
	for range 100 {
		if asked := only(Probe, s.tick(0.02)); len(asked) > 0 {
			x := s.m.backends[1]
			if !asked[0].SeparateConnection || usable(x) {
				t.Fatalf("got %+v with the searcher in reach: %v", asked[0], usable(x))
			}
			if _, done := s.take(6, 1); len(only(Send, done)) > 0 {
				t.Fatal("sent to one that says nothing")
			}
			if done := s.step(0.005, Event{Kind: ProbeEnded, Backend: 1, Outcome: Answered}); len(only(Send, done)) != 1 {
				t.Fatalf("not sent to one that answered: %+v", done)
			}
			return
		}
	}
	t.Fatal("never asked")
}

func warmUp(s *scene) {
	for range 20 {
		_, done := s.take(6, 1)
		s.serve(done, 0.1, 0.1)
	}
}

// Half the fleet cut off: calls hang without an end. The silent backend is shunned, its sibling serves.
func TestUnresponsiveBackendIsAvoided(t *testing.T) {
	s := newScene(t, nil)
	warmUp(s)
	for range 30 {
		_, done := s.take(6, 1, 1, 1)
		for _, a := range only(Send, done) {
			if a.Backend == 2 {
				s.end(0.01, a.Subquery, 2, Answered, 0.1)
			}
		}
		s.tick(0.05)
	}
	if usable(s.m.backends[1]) || !usable(s.m.backends[2]) {
		t.Error("expected searcher 1 shunned and searcher 2 in use")
	}
}

// Overload once became usual: windows stayed wide and backends queued longer than the soft deadline.
func TestOverloadDoesNotRaiseTheUsualLatency(t *testing.T) {
	s := newScene(t, nil, Entry{Backend: 1})
	for range 300 {
		_, done := s.take(6, 1)
		s.serve(done, 0.9, 1.9)
	}
	if w := s.m.backends[1].window; w >= initialWindow {
		t.Errorf("window %.1f after answers near the soft deadline", w)
	}
}

// Work on the other parts of a query is for nothing while one part's only holder cannot be reached.
func TestSubqueriesWaitForUnreachableSibling(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Layout.Cells = 2 }, Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	s.m.markUnreachable(s.m.backends[2])
	if _, done := s.take(6, 1, 1); len(only(Send, done)) != 0 {
		t.Errorf("got %v", done)
	}
}

// A client's late retry in the same step as the sweep was once dropped before it had its chance to go.
func TestSweepComesAfterRelease(t *testing.T) {
	s := newScene(t, nil)
	s.take(6, 1)
	events := []Event{{Kind: QueryReceived, Query: 50, No: 50, Subqueries: 1, Remaining: 3},
		{Kind: SubqueryReceived, Subquery: 500, No: 50, Weight: 1}, {Kind: TimerDue, Timer: sweepTimer}}
	if done := s.step(0.005, events...); len(only(Send, done)) != 1 || len(only(Nack, done)) != 0 {
		t.Errorf("got %v", done)
	}
}

// Connections that die when idle: calls after a pause are lost, so such a connection is closed before it is used.
func TestConnectionIdleTooLongIsClosed(t *testing.T) {
	for _, alive := range []bool{true, false} { // no probe answered: the backend, not its connection, is to blame
		s := newScene(t, func(set *Settings) { set.Limits.Probe = true }, Entry{Backend: 1}, Entry{Backend: 2})
		warmUp(s)
		closed := false
		for range 12 {
			s.now++
			_, done := s.take(6, 1)
			closed = closed || len(only(CloseIdle, done)) > 0
			for range 60 {
				done = append(done, s.tick(0.05)...)
				for _, a := range only(Probe, done) {
					outcome := map[bool]Outcome{true: Answered, false: TimedOut}[alive]
					s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: outcome, Elapsed: 0.1}) // it waits as a call does
				}
				for _, a := range only(Cancel, done) {
					s.end(0.005, a.Subquery, 0, Canceled, 1)
				}
				done = nil
			}
		}
		if closed != alive {
			t.Errorf("probes answered %v, line closed %v", alive, closed)
		}
	}
}

// Scores of aggregators that each send a cold backend one part at once push it over: together they send a share that
// grows as it warms, though each takes a query only now and then.
func TestManyAggregatorsSendLittleToABackendInSlowStart(t *testing.T) {
	const aggregators = 50
	sent := 0
	for i := range aggregators {
		s := newScene(t, func(set *Settings) {
			set.Seed, set.Aggregators = uint64(i), aggregators
			set.Rules = Rules{SlowStartShare: 0.16, SlowStartS: 18, OverloadMultiple: 2, OverloadWindowS: 1.5}
		}, Entry{Backend: 1, StartedAt: 0.01})
		_, done := s.take(6, 0.2)
		sent += len(only(Send, done))
	}
	if sent == 0 || sent > aggregators/3 {
		t.Errorf("%d of %d mixers sent a part at the start", sent, aggregators)
	}
}

// singleBackend is a scene of one warm backend, which may be probed and would be cold after a start.
func singleBackend(t *testing.T) *scene {
	s := newScene(t, func(set *Settings) {
		set.Limits.Probe = true
		set.Rules = Rules{SlowStartShare: 0.1, SlowStartS: 10, OverloadMultiple: 2, OverloadWindowS: 1}
	}, Entry{Backend: 1})
	warmUp(s)
	return s
}

// A backend silent for a while was once shunned for good, and then taken for new: it is asked after each pause,
// and one that answers keeps its figures and is not cold. One that turns probes away is not silent.
func TestUnresponsiveBackendIsProbedAgain(t *testing.T) {
	s := singleBackend(t)
	s.take(60, 1)
	x := s.m.backends[1]
	for i := range 400 {
		answer := TimedOut
		if i > 300 {
			answer = Answered
		}
		for _, a := range only(Probe, s.tick(0.05)) {
			s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: answer})
		}
		if i == 300 && usable(x) {
			t.Fatal("a silent searcher counts as usable")
		}
	}
	if !usable(x) || x.latency == 0 || s.m.slowStartFactor(x) < 1 {
		t.Errorf("usable %v, latency %v, warmth %v after it answered", usable(x), x.latency, s.m.slowStartFactor(x))
	}
	quiet := x.unansweredSince
	s.step(0.001, Event{Kind: ProbeEnded, Backend: 1, Outcome: Rejected})
	if x.probeFailed || x.unansweredSince != quiet {
		t.Error("a probe turned away counts as silence")
	}
}

// At a few hot cells calls were taken back towards siblings with the same long queue, over and over.
func TestCallIsHedgedOnlyToALiveSibling(t *testing.T) {
	for _, alive := range []bool{true, false} {
		s := newScene(t, func(set *Settings) { set.Limits.Probe = true })
		warmUp(s)
		s.take(30, 1)
		backs := 0
		for range 100 {
			done := s.tick(0.05)
			backs += len(only(Cancel, done))
			for _, a := range only(Probe, done) {
				if alive {
					s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: Answered, Elapsed: 0.2})
				}
			}
		}
		if (backs > 0) != alive {
			t.Errorf("sibling alive %v: %d calls taken back", alive, backs)
		}
	}
}

// Connections that break at once after a pause: once that was taken for a fault of every backend.
func TestConnectionThatBreaksAfterIdlingIsClosed(t *testing.T) {
	s := newScene(t, nil, Entry{Backend: 1})
	warmUp(s)
	closed := 0
	for range 20 {
		s.now++
		p, done := s.take(6, 1)
		outcome := Broken
		if len(only(CloseIdle, done)) > 0 {
			closed, outcome = closed+1, Answered
		}
		s.serve(s.end(0.005, p[0], 1, outcome, 0.005), 0.1, 0.1) // the further call, at once, finds a new connection
	}
	if f := s.m.backends[1].faults[0].sum; closed < 15 || f > 0.1 {
		t.Errorf("closed %d times of 20, fault %.2f", closed, f)
	}
}

// A quarter of the backends gone: what a query can do without must not hold its other parts.
func TestSubqueriesGoWhereEnoughCanBeReached(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Layout.Cells, set.Indexes[0].Minimum = 2, 0.4 },
		Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	s.m.markUnreachable(s.m.backends[2])
	if _, done := s.take(6, 1, 1); len(only(Send, done)) != 1 {
		t.Errorf("got %v", done)
	}
}

// Backends of one location fail by turns, each called seldom: what others there did counts for one not yet known,
// and its own answers outweigh that.
func TestFaultsOfALocationCountUntilABackendIsKnown(t *testing.T) {
	s := newScene(t, nil, Entry{Backend: 1, Location: 1}, Entry{Backend: 2, Location: 1}, Entry{Backend: 3})
	m := s.m
	for range 20 {
		m.recordFault(m.backends[1], 0, 1)
		m.recordFault(m.backends[3], 0, 0)
	}
	if a, b := m.faultShare(m.backends[2], 0), m.faultShare(m.backends[3], 0); a < 0.5 || b > 0.05 {
		t.Errorf("unknown one beside faulty ones %.2f, sound one elsewhere %.2f", a, b)
	}
	for range 4 {
		m.recordFault(m.backends[2], 0, 0)
	}
	if a := m.faultShare(m.backends[2], 0); a > 0.2 {
		t.Errorf("%.2f after its own answers", a)
	}
}

// In troubled times a part goes to the holder that first gives a sign of life, not to one that may be dead.
// A backend at home that fails most calls, and quickly, must not look cheaper than crossing to its sibling.
func TestCrossingLocationsIsCheaperThanFaultsAtHome(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Prices.CrossLocation = 0.05 }, Entry{Backend: 1}, Entry{Backend: 2, Location: 1})
	warmUp(s)
	home, away := s.m.backends[1], s.m.backends[2]
	home.latency, away.latency, home.latencyUpdatedAt, away.latencyUpdatedAt = s.m.medianLatency/4, s.m.medianLatency, s.now, s.now
	subqueries, _ := s.take(6, 1)
	p := s.m.subqueries[subqueries[0]]
	if s.m.cost(p, home) > s.m.cost(p, away) {
		t.Fatal("crosses from a sound searcher")
	}
	for i := range 40 {
		s.m.recordFault(home, 0, indicator(i%5 > 0))
	}
	if s.m.cost(p, home) < s.m.cost(p, away) {
		t.Fatalf("stays where %.0f%% of the calls fail", 100*s.m.faultShare(home, 0))
	}
}

func TestProbesBeforeSendingWhenBackendsAreUnhealthy(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Limits.Probe = true })
	warmUp(s)
	s.now += 3
	for range 30 {
		s.m.unhealthyShare.add(1, s.now, unhealthyDecay*s.m.longestSoftDeadline)
	}
	p, done := s.take(6, 1)
	if len(only(Send, done)) != 0 || len(only(Probe, done)) != 2 {
		t.Fatalf("expected both holders asked and nothing sent, got %v", done)
	}
	done = only(Send, s.step(0.01, Event{Kind: ProbeEnded, Backend: 2, Outcome: Answered}))
	if len(done) != 1 || done[0].Subquery != p[0] || done[0].Backend != 2 {
		t.Errorf("got %v", done)
	}
}

// Scores of aggregators with a window of one each make a long queue: windows go below one, and the rest waits its turn.
func TestLongQueuesShrinkTheWindow(t *testing.T) {
	s := newScene(t, nil, Entry{Backend: 1})
	warmUp(s)
	for range 12 {
		p, _ := s.take(6, 1)
		s.end(1.5, p[0], 1, Answered, 1.5)
	}
	if w := s.m.backends[1].window; w >= 1 {
		t.Errorf("window %.2f", w)
	}
}

// A client's last try gives all that is left, often more than its first ones gave: once such a one was seen, first
// tries were taken for late ones and nacked on arrival.
func TestSoftDeadlineCountsFromTheFirstAttempt(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Limits.MaxAttempts = 1 })
	for i, c := range []struct{ left, spent float64 }{
		{3.74, 0}, {3.75, 0}, {5.99, 0.01}, {3.75, 0}, {5, 1}, {5, 1}, {3.73, 0}, {2.2, 3.8}, {3.76, 0},
	} {
		s.take(c.left, 0.1)
		lk := s.m.queries[QueryNo(s.next)]
		if lk == nil {
			t.Fatalf("try %d was nacked on arrival", i)
		}
		if got := s.now + 2 - lk.softDeadline; math.Abs(got-c.spent) > 1e-9 {
			t.Fatalf("try %d, which gives %g s: %g s are taken for spent, expected %g", i, c.left, got, c.spent)
		}
	}
}
