package policy

import (
	"math"
	"testing"
)

// newWideScene is a deployment of eight shards with two holders each, whose index may be answered in part.
func newWideScene(t *testing.T, minimum float64, second int) *scene {
	var entries []Entry
	for i := range 16 {
		entries = append(entries, Entry{Backend: BackendID(1 + i), Cell: CellID(i % 8)})
	}
	s := newScene(t, func(set *Settings) {
		set.Aggregators, set.Layout.Cells = 60, 8
		set.Indexes[0].Minimum, set.Indexes[0].PartialValue, set.Indexes[0].SecondStep = minimum, 0.9, second
		set.Limits.Hedge = true
	}, entries...)
	for range 20 {
		s.serve(only(Send, actionsOf(s.take(6, 1))), 0.02, 0.1)
	}
	for lk := range s.m.queries { // what a second step left open
		s.step(0.005, Event{Kind: ClientDisconnected, Query: s.m.queries[lk].id})
	}
	return s
}

func actionsOf(_ []SubqueryID, done []Action) []Action { return done }

var eight = []float64{1, 1, 1, 1, 1, 1, 1, 0.5}

// A query each of whose parts brings down the backend that begins it was sent to all its backends at once, and its
// parts to their siblings after that.
func TestQueryThatOnlyBreaksIsGivenUp(t *testing.T) {
	s := newWideScene(t, 1, 0)
	subqueries, done := s.take(6, eight...)
	sends := only(Send, done)
	if len(sends) != len(subqueries) {
		t.Fatalf("%d parts of %d went out while nothing was in doubt", len(sends), len(subqueries))
	}
	done = nil
	for _, a := range sends {
		done = append(done, s.end(0.005, a.Subquery, a.Backend, Broken, 0.15)...)
	}
	if len(only(Send, done)) != 0 || len(only(Nack, done)) != 1 {
		t.Fatalf("expected a nack once all had broken and no part again, got %v", done)
	}
	// In doubt now: one part goes ahead, the least; as it breaks too, that is all.
	subqueries, done = s.take(6, eight...)
	if sends = only(Send, done); len(sends) != 1 || sends[0].Subquery != subqueries[7] {
		t.Fatalf("expected the least part alone, got %v", sends)
	}
	done = s.end(0.1, subqueries[7], sends[0].Backend, Broken, 0.1)
	if len(only(Send, done)) != 0 || len(only(Nack, done)) != 1 {
		t.Fatalf("expected a nack, got %v", done)
	}
	// The next one is sound: its other parts follow the answer.
	subqueries, done = s.take(6, eight...)
	sends = only(Send, done)
	if done = s.end(0.1, subqueries[7], sends[0].Backend, Answered, 0.1); len(only(Send, done)) != 7 {
		t.Fatalf("expected the other seven, got %v", done)
	}
}

// A crash takes some parts of a query with it. Its others are answered, so those go again at once.
func TestSubqueriesBrokenByACrashAreRetried(t *testing.T) {
	s := newWideScene(t, 1, 0)
	_, done := s.take(6, eight...)
	sends := only(Send, done)
	s.end(0.05, sends[0].Subquery, sends[0].Backend, Answered, 0.05)
	for _, a := range sends[1:4] {
		if again := only(Send, s.end(0.005, a.Subquery, a.Backend, Broken, 0.05)); len(again) != 1 {
			t.Fatalf("expected the part again, got %v", again)
		}
	}
}

// What waits for a part sent ahead was dropped as late where nobody had answered yet: latency counts as the soft
// deadline until then.
func TestNothingIsDroppedAsLateBeforeAnyAnswer(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Layout.Cells = 2 }, Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	for range 10 {
		s.m.crashShare.add(1, s.now, faultDecay*s.m.longestSoftDeadline)
	}
	_, done := s.take(6, 1, 1)
	if done = append(done, s.tick(0.3)...); len(only(Nack, done)) != 0 || len(only(Send, done)) != 1 {
		t.Fatalf("got %v", done)
	}
}

// The first answer of two leaves time for the second step: given at the soft deadline, it earned nothing.
func TestFirstStepLeavesTimeForTheSecond(t *testing.T) {
	for second, answered := range map[int]bool{0: false, 3: true} {
		s := newWideScene(t, 0.7, second)
		_, done := s.take(6, eight...)
		for _, a := range only(Send, done)[:6] {
			s.end(0.01, a.Subquery, a.Backend, Answered, 0.1)
		}
		var short []Action
		for s.now < s.m.openQueries[0].softDeadline-1.2*s.m.averageLatency && len(short) == 0 {
			short = only(Answer, s.tick(0.02))
		}
		if (len(short) > 0) != answered {
			t.Errorf("second step of %d: got %v before the soft deadline", second, short)
		}
	}
}

// Turned away is who has too little time for what the least answer needs, not for the slowest of all parts.
func TestRejectedByTheSlowestRequiredSubquery(t *testing.T) {
	for floor, refused := range map[float64]bool{0.5: false, 1: true} {
		s := newWideScene(t, floor, 0)
		for _, x := range s.m.replicasByCell[0] {
			x.latency, x.latencyUpdatedAt, x.window = 5, s.now, 0.5
		}
		_, done := s.take(6, eight...)
		if (len(only(Nack, done)) > 0) != refused {
			t.Errorf("floor %g: got %v", floor, done)
		}
	}
}

// Where it is crowded, half of the weight that a query may do without is not sent: what weighs least for its work.
func TestOverloadShedsSubqueriesOfLeastWeight(t *testing.T) {
	s := newWideScene(t, 0.5, 0)
	for range 300 {
		s.m.recentLatencies.add(2*s.m.medianLatency, s.now, s.m.shortestSoftDeadline)
	}
	subqueries, done := s.take(6, 2, 2, 1, 1, 1, 1, 1, 1)
	sends := only(Send, done)
	for _, a := range sends {
		if a.Subquery == subqueries[0] || a.Subquery == subqueries[1] {
			t.Errorf("the heaviest work for its weight was sent: %v", a)
		}
	}
	if len(sends) != 6 {
		t.Errorf("%d of 8 parts sent, expected 6", len(sends))
	}
	whole := newWideScene(t, 1, 0)
	for range 300 {
		whole.m.recentLatencies.add(2*whole.m.medianLatency, whole.now, whole.m.shortestSoftDeadline)
	}
	if _, done := whole.take(6, eight...); len(only(Send, done)) != 8 {
		t.Errorf("an index that needs all went without some: %v", done)
	}
}

// A call whose answer would come when a short one has been given need not be begun.
func TestCallsStopWhenAPartialAnswerIsDue(t *testing.T) {
	for floor, stop := range map[float64]float64{0.5: 2, 1: 6} {
		s := newWideScene(t, floor, 0)
		_, done := s.take(6, eight...)
		for _, a := range only(Send, done) {
			if math.Abs(a.StopAt-s.now-stop) > 1e-9 {
				t.Fatalf("floor %g: stops after %g s, expected %g", floor, a.StopAt-s.now, stop)
			}
		}
	}
}

// Idle backends elsewhere: one of many aggregators sees little of how busy those at home are, one of few sees it all.
func TestCrossingIsCheaperAmongManyAggregators(t *testing.T) {
	dear := func(aggregators int) float64 {
		s := newScene(t, func(set *Settings) { set.Aggregators, set.Prices.CrossLocation = aggregators, 0.03 },
			Entry{Backend: 1}, Entry{Backend: 2, Location: 1})
		warmUp(s)
		subqueries, _ := s.take(6, 1)
		p := s.m.subqueries[subqueries[0]]
		for len(p.calls) > 0 {
			s.end(0.001, p.id, p.calls[0].backend.id, Rejected, 0.001)
		}
		s.m.unassign(p)
		for _, x := range s.m.orderedBackends {
			x.latency, x.latencyUpdatedAt = s.m.medianLatency, s.now
		}
		return (s.m.cost(p, s.m.backends[2]) - s.m.cost(p, s.m.backends[1])) / s.m.medianLatency
	}
	if few, many := dear(3), dear(80); few < 1 || many > 0.8 {
		t.Errorf("crossing adds %.2f usual latencies among 3 mixers and %.2f among 80", few, many)
	}
}

// A full queue was no reason to go elsewhere: a busy sibling looked dearer, and the part spent its three calls on the full
// one within milliseconds. A query of 56 parts was lost with it.
func TestBackendThatRejectsIsNotCalledAgainAtOnce(t *testing.T) {
	s := newScene(t, nil)
	warmUp(s)
	s.m.backends[2].latency, s.m.backends[2].latencyUpdatedAt = 5*s.m.medianLatency, s.now
	subqueries, done := s.take(6, 1)
	if at := only(Send, done)[0].Backend; at != 1 {
		t.Fatalf("bound to %d, expected the quick one", at)
	}
	if sends := only(Send, s.end(0.002, subqueries[0], 1, Rejected, 0.002)); len(sends) != 1 || sends[0].Backend != 2 {
		t.Fatalf("expected the busy sibling, got %v", sends)
	}
	done = s.end(0.002, subqueries[0], 2, Rejected, 0.002)
	if len(only(Send, done)) != 0 || len(only(Nack, done)) != 0 {
		t.Fatalf("both are full, expected the part to wait, got %v", done)
	}
	for range 100 {
		if done = append(done, s.tick(0.02)...); len(only(Send, done)) > 0 {
			return
		}
	}
	t.Error("the part never went again")
}

// Probes answered beside a backend's queue say nothing of it: calls that ended without an answer taught nothing, and
// the next part went there as before.
func TestUnansweredCallCountsThoughProbesAreAnswered(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Canceled} {
		s := newScene(t, nil)
		warmUp(s)
		subqueries, done := s.take(6, 1)
		at := only(Send, done)[0].Backend
		s.step(0.3, Event{Kind: ProbeEnded, Backend: at, Outcome: Answered, Elapsed: 0.001})
		s.end(0.7, subqueries[0], at, outcome, 1)
		if l := s.m.backends[at].latency; l < 1.5*s.m.medianLatency || s.m.backends[at].faults[0].sum == 0 {
			t.Errorf("outcome %d: latency %.2f and fault %.2f after a call of 1 s, %.2f is usual", outcome, l,
				s.m.backends[at].faults[0].sum, s.m.medianLatency)
		}
	}
}

// Where probes tell little, copies are late lest queues double; the last part of a query has one in time.
func TestLastSubqueriesAreHedgedEarly(t *testing.T) {
	for _, answered := range []int{2, 7} {
		s := newWideScene(t, 1, 0)
		subqueries, done := s.take(6, 1, 1, 1, 1, 1, 1, 1, 1)
		for _, a := range only(Send, done)[:answered] {
			s.end(0.001, a.Subquery, a.Backend, Answered, 0.1)
		}
		copies := 0
		for range 30 { // 0.6 s, six latencies
			copies += len(only(Send, s.tick(0.02)))
		}
		if early := copies > 0; early != (answered == 7) {
			t.Errorf("%d of %d parts answered: %d copies in six latencies", answered, len(subqueries), copies)
		}
	}
}

// An aggregator that stood still finds its answers, its clients and its timer all at once, the timer first. What it took so long to
// hear is nobody's fault: nothing is copied, asked or blamed, and the query is answered.
func TestStallOfTheAggregatorIsNoFaultOfBackends(t *testing.T) {
	s := newWideScene(t, 1, 0)
	s.m.settings.Limits.Probe = true
	subqueries, done := s.take(6, 1, 1, 1, 1)
	sends := only(Send, done)
	events := []Event{{Kind: TimerDue, Timer: sweepTimer}}
	for _, a := range sends {
		events = append(events, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Outcome: Answered, Elapsed: 0.1})
	}
	done = s.step(1.2, events...)
	if len(sends) != len(subqueries) || len(only(Answer, done)) != 1 || len(only(Send, done))+len(only(Probe, done))+len(only(Cancel, done)) > 0 {
		t.Fatalf("expected an answer and no doubt in anybody, got %v", done)
	}
	// One answer is still on its way when the aggregator wakes: its call is as old as the stall, and looks overdue.
	subqueries, done = s.take(6, 1, 1, 1, 1)
	sends, events = only(Send, done), events[:1]
	for _, a := range sends[1:] {
		events = append(events, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Outcome: Answered, Elapsed: 0.1})
	}
	s.step(1.2, events...)
	s.end(0.005, sends[0].Subquery, sends[0].Backend, Answered, 0.1)
	for _, x := range s.m.orderedBackends {
		if x.faults[0].sum > 0 || x.unreachableBackoff > 0 || x.window < 1 || x.latency > 1.1*s.m.medianLatency {
			t.Errorf("searcher %d: fault %.2f, down %.2f, window %.2f, latency %.2f of %.2f", x.id, x.faults[0].sum, x.unreachableBackoff, x.window, x.latency, s.m.medianLatency)
		}
	}
	if len(s.m.queries) != 0 {
		t.Errorf("%d lookups of %d parts are still open", len(s.m.queries), len(subqueries))
	}
}

// Where connects come up late now and then, each failed one was taken for a restart once a probe was answered: its backend counted as cold for
// the time that the settings name, and soon all did. A process that is no more fails again and again.
func TestAFailedConnectIsNoRestart(t *testing.T) {
	for _, fails := range []int{1, 2, 3, 4} {
		s := singleBackend(t)
		x := s.m.backends[1]
		subqueries, _ := s.take(60, 1)
		s.end(0.25, subqueries[0], 1, NotConnected, 0.25)
		for failed := 1; failed < fails; {
			for _, a := range only(Probe, s.tick(0.05)) {
				s.step(0.25, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: NotConnected})
				failed++
			}
		}
		for range 100 {
			for _, a := range only(Probe, s.tick(0.05)) {
				s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: Answered})
			}
		}
		if cold := s.m.slowStartFactor(x) < 1; !usable(x) || cold != (fails > 2) {
			t.Errorf("%d connects failed: usable %v, warmth %.2f, cold is expected after three", fails, usable(x), s.m.slowStartFactor(x))
		}
	}
}

// A failed connect that a call's answer on another connection has followed is no reason to take a silence, long after, for a restart.
func TestAnswerClearsAFailedConnect(t *testing.T) {
	s := singleBackend(t)
	x := s.m.backends[1]
	first, _ := s.take(60, 1)
	second, _ := s.take(60, 1)
	s.end(0.25, first[0], 1, NotConnected, 0.25)
	s.end(0.01, second[0], 1, Answered, 0.26)
	s.take(60, 1)
	answer := TimedOut
	for i := range 400 {
		if i > 300 {
			answer = Answered
		}
		for _, a := range only(Probe, s.tick(0.05)) {
			s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: answer})
		}
	}
	if !usable(x) || s.m.slowStartFactor(x) < 1 {
		t.Errorf("usable %v, warmth %.2f", usable(x), s.m.slowStartFactor(x))
	}
}
