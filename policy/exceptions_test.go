package policy

import (
	"math"
	"testing"
)

// newEightShardFixture returns a fixture with eight shards of two replicas each and warm latency estimates. Its index has the
// given minimum weight and maximum size of the second step.
func newEightShardFixture(t *testing.T, minimum float64, secondStep int) *fixture {
	var entries []Entry
	for i := range 16 {
		entries = append(entries, Entry{Backend: BackendID(1 + i), Cell: CellID(i % 8)})
	}
	s := newFixture(t, func(set *Settings) {
		set.Aggregators, set.Layout.Cells = 60, 8
		set.Indexes[0].Minimum, set.Indexes[0].PartialValue, set.Indexes[0].SecondStep = minimum, 0.9, secondStep
		set.Limits.Hedge = true
	}, entries...)
	for range 20 {
		s.answerAll(ofKind(Send, actionsOf(s.receive(6, 1))), 0.02, 0.1)
	}
	for number := range s.aggregator.queries { // ends queries that are still in their second step
		s.step(0.005, Event{Kind: ClientDisconnected, Query: s.aggregator.queries[number].id})
	}
	return s
}

// actionsOf returns the second result of fixture.receive.
func actionsOf(_ []SubqueryID, done []Action) []Action { return done }

// eightHints are the work hints of a query with one subquery for each shard of newEightShardFixture.
var eightHints = []float64{1, 1, 1, 1, 1, 1, 1, 0.5}

// Every subquery of a query crashes the backend that executes it. Guards against a fault in which such a query was sent to all
// its backends at once and then retried on their siblings.
func TestQueryThatCrashesBackendsIsRejected(t *testing.T) {
	s := newEightShardFixture(t, 1, 0)
	subqueries, actions := s.receive(6, eightHints...)
	sends := ofKind(Send, actions)
	if len(sends) != len(subqueries) {
		t.Fatalf("%d of %d subqueries were sent, expected all while no crash is suspected", len(sends), len(subqueries))
	}
	actions = nil
	for _, a := range sends {
		actions = append(actions, s.endCall(0.005, a.Subquery, a.Backend, Broken, 0.15)...)
	}
	if len(ofKind(Send, actions)) != 0 || len(ofKind(Nack, actions)) != 1 {
		t.Fatalf("expected a nack after all calls broke and no retry, got %v", actions)
	}
	// Crashes are suspected now. The smallest subquery is sent as a canary; when it breaks too, the query is rejected.
	subqueries, actions = s.receive(6, eightHints...)
	if sends = ofKind(Send, actions); len(sends) != 1 || sends[0].Subquery != subqueries[7] {
		t.Fatalf("expected only the smallest subquery, got %v", sends)
	}
	actions = s.endCall(0.1, subqueries[7], sends[0].Backend, Broken, 0.1)
	if len(ofKind(Send, actions)) != 0 || len(ofKind(Nack, actions)) != 1 {
		t.Fatalf("expected a nack, got %v", actions)
	}
	// The next query is harmless. Its other subqueries are sent after the answer to the canary.
	subqueries, actions = s.receive(6, eightHints...)
	sends = ofKind(Send, actions)
	if actions = s.endCall(0.1, subqueries[7], sends[0].Backend, Answered, 0.1); len(ofKind(Send, actions)) != 7 {
		t.Fatalf("expected the other seven subqueries, got %v", actions)
	}
}

// A backend crash breaks some calls of a query. Another subquery was answered, so the broken ones are retried immediately.
func TestSubqueriesBrokenByACrashAreRetried(t *testing.T) {
	s := newEightShardFixture(t, 1, 0)
	_, actions := s.receive(6, eightHints...)
	sends := ofKind(Send, actions)
	s.endCall(0.05, sends[0].Subquery, sends[0].Backend, Answered, 0.05)
	for _, a := range sends[1:4] {
		if retries := ofKind(Send, s.endCall(0.005, a.Subquery, a.Backend, Broken, 0.05)); len(retries) != 1 {
			t.Fatalf("expected a retry of the subquery, got %v", retries)
		}
	}
}

// Guards against a fault in which subqueries that waited for a canary were abandoned as late. Before the first answer, the
// latency is assumed to be the soft deadline.
func TestNoSubqueryIsAbandonedAsLateBeforeTheFirstAnswer(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Layout.Cells = 2 }, Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	for range 10 {
		s.aggregator.crashShare.add(1, s.now, faultDecay*s.aggregator.longestSoftDeadline)
	}
	_, actions := s.receive(6, 1, 1)
	if actions = append(actions, s.tick(0.3)...); len(ofKind(Nack, actions)) != 0 || len(ofKind(Send, actions)) != 1 {
		t.Fatalf("got %v", actions)
	}
}

// The answer to a first step must leave time for the second step. An answer at the soft deadline would have no value.
func TestFirstStepLeavesTimeForTheSecond(t *testing.T) {
	for secondStep, answered := range map[int]bool{0: false, 3: true} {
		s := newEightShardFixture(t, 0.7, secondStep)
		_, actions := s.receive(6, eightHints...)
		for _, a := range ofKind(Send, actions)[:6] {
			s.endCall(0.01, a.Subquery, a.Backend, Answered, 0.1)
		}
		var answers []Action
		for s.now < s.aggregator.openQueries[0].softDeadline-1.2*s.aggregator.averageLatency && len(answers) == 0 {
			answers = ofKind(Answer, s.tick(0.02))
		}
		if (len(answers) > 0) != answered {
			t.Errorf("second step of %d: got %v before the soft deadline", secondStep, answers)
		}
	}
}

// Admission compares the remaining time with the slowest subquery that the minimum answer needs, not with the slowest of all.
func TestAdmissionUsesTheSlowestRequiredSubquery(t *testing.T) {
	for minimum, rejected := range map[float64]bool{0.5: false, 1: true} {
		s := newEightShardFixture(t, minimum, 0)
		for _, b := range s.aggregator.replicasByCell[0] {
			b.latency, b.latencyUpdatedAt, b.window = 5, s.now, 0.5
		}
		_, actions := s.receive(6, eightHints...)
		if (len(ofKind(Nack, actions)) > 0) != rejected {
			t.Errorf("minimum %g: got %v", minimum, actions)
		}
	}
}

// Under overload, half of a query's dispensable weight is shed, beginning with the subqueries of least weight for their work.
func TestOverloadShedsSubqueriesOfLeastWeight(t *testing.T) {
	s := newEightShardFixture(t, 0.5, 0)
	for range 300 {
		s.aggregator.recentLatencies.add(2*s.aggregator.medianLatency, s.now, s.aggregator.shortestSoftDeadline)
	}
	subqueries, actions := s.receive(6, 2, 2, 1, 1, 1, 1, 1, 1)
	sends := ofKind(Send, actions)
	for _, a := range sends {
		if a.Subquery == subqueries[0] || a.Subquery == subqueries[1] {
			t.Errorf("a subquery with the most work for its weight was sent: %v", a)
		}
	}
	if len(sends) != 6 {
		t.Errorf("%d of 8 subqueries were sent, expected 6", len(sends))
	}
	complete := newEightShardFixture(t, 1, 0)
	for range 300 {
		complete.aggregator.recentLatencies.add(2*complete.aggregator.medianLatency, complete.now, complete.aggregator.shortestSoftDeadline)
	}
	if _, actions := complete.receive(6, eightHints...); len(ofKind(Send, actions)) != 8 {
		t.Errorf("subqueries were shed for an index that needs all of them: %v", actions)
	}
}

// A call that could only be answered after the partial answer to its query need not be executed.
func TestCallsStopWhenAPartialAnswerIsDue(t *testing.T) {
	for minimum, timeout := range map[float64]float64{0.5: 2, 1: 6} {
		s := newEightShardFixture(t, minimum, 0)
		_, actions := s.receive(6, eightHints...)
		for _, a := range ofKind(Send, actions) {
			if math.Abs(a.StopAt-s.now-timeout) > 1e-9 {
				t.Fatalf("minimum %g: the call ends after %g s, expected %g", minimum, a.StopAt-s.now, timeout)
			}
		}
	}
}

// One of many aggregators observes little of the load on local backends, so idle backends elsewhere must cost less for it than
// for one of few aggregators, which observes most of that load.
func TestCrossingIsCheaperAmongManyAggregators(t *testing.T) {
	crossingCost := func(aggregators int) float64 {
		s := newFixture(t, func(set *Settings) { set.Aggregators, set.Prices.CrossLocation = aggregators, 0.03 },
			Entry{Backend: 1}, Entry{Backend: 2, Location: 1})
		warmUp(s)
		subqueries, _ := s.receive(6, 1)
		sub := s.aggregator.subqueries[subqueries[0]]
		for len(sub.calls) > 0 {
			s.endCall(0.001, sub.id, sub.calls[0].backend.id, Rejected, 0.001)
		}
		s.aggregator.unassign(sub)
		for _, b := range s.aggregator.orderedBackends {
			b.latency, b.latencyUpdatedAt = s.aggregator.medianLatency, s.now
		}
		return (s.aggregator.cost(sub, s.aggregator.backends[2]) - s.aggregator.cost(sub, s.aggregator.backends[1])) / s.aggregator.medianLatency
	}
	if few, many := crossingCost(3), crossingCost(80); few < 1 || many > 0.8 {
		t.Errorf("crossing locations adds %.2f median latencies with 3 aggregators and %.2f with 80", few, many)
	}
}

// Guards against a fault in which a backend with a full queue kept its low cost. A busy sibling cost more, so a subquery used
// its three attempts on the full backend within milliseconds. A query of 56 subqueries was lost in this way.
func TestRejectingBackendIsNotCalledRepeatedly(t *testing.T) {
	s := newFixture(t, nil)
	warmUp(s)
	s.aggregator.backends[2].latency, s.aggregator.backends[2].latencyUpdatedAt = 5*s.aggregator.medianLatency, s.now
	subqueries, actions := s.receive(6, 1)
	if at := ofKind(Send, actions)[0].Backend; at != 1 {
		t.Fatalf("sent to %d, expected the fast backend 1", at)
	}
	if sends := ofKind(Send, s.endCall(0.002, subqueries[0], 1, Rejected, 0.002)); len(sends) != 1 || sends[0].Backend != 2 {
		t.Fatalf("expected a call to the busy sibling, got %v", sends)
	}
	actions = s.endCall(0.002, subqueries[0], 2, Rejected, 0.002)
	if len(ofKind(Send, actions)) != 0 || len(ofKind(Nack, actions)) != 0 {
		t.Fatalf("both backends are full, expected the subquery to stay pending, got %v", actions)
	}
	for range 100 {
		if actions = append(actions, s.tick(0.02)...); len(ofKind(Send, actions)) > 0 {
			return
		}
	}
	t.Error("the subquery was not retried")
}

// Probes that bypass a backend's queue are not evidence about the queue. Guards against a fault in which calls without an answer
// did not change the estimates of a backend that answered probes, so that it got further calls as before.
func TestUnansweredCallCountsAsFaultDespiteAnsweredProbes(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Canceled} {
		s := newFixture(t, nil)
		warmUp(s)
		subqueries, actions := s.receive(6, 1)
		at := ofKind(Send, actions)[0].Backend
		s.step(0.3, Event{Kind: ProbeEnded, Backend: at, Outcome: Answered, Elapsed: 0.001})
		s.endCall(0.7, subqueries[0], at, outcome, 1)
		if latency := s.aggregator.backends[at].latency; latency < 1.5*s.aggregator.medianLatency || s.aggregator.backends[at].faults[0].sum == 0 {
			t.Errorf("outcome %d: latency %.2f and faults %.2f after a call of 1 s, the median latency is %.2f", outcome, latency,
				s.aggregator.backends[at].faults[0].sum, s.aggregator.medianLatency)
		}
	}
}

// If probes bypass the queues, hedged requests are delayed so that they do not double the queues. The last subqueries of a query
// are hedged without that delay.
func TestLastSubqueriesAreHedgedEarly(t *testing.T) {
	for _, answered := range []int{2, 7} {
		s := newEightShardFixture(t, 1, 0)
		subqueries, actions := s.receive(6, 1, 1, 1, 1, 1, 1, 1, 1)
		for _, a := range ofKind(Send, actions)[:answered] {
			s.endCall(0.001, a.Subquery, a.Backend, Answered, 0.1)
		}
		hedges := 0
		for range 30 { // 0.6 s, six latencies
			hedges += len(ofKind(Send, s.tick(0.02)))
		}
		if early := hedges > 0; early != (answered == 7) {
			t.Errorf("%d of %d subqueries answered: %d hedged requests in six latencies", answered, len(subqueries), hedges)
		}
	}
}

// After a stall, an aggregator receives all waiting answers, queries and timers in one step, the timer first. The delay is not
// the backends' fault. There must be no hedged request, probe or fault, and the query must be answered.
func TestStallOfTheAggregatorDoesNotCountAgainstBackends(t *testing.T) {
	s := newEightShardFixture(t, 1, 0)
	s.aggregator.settings.Limits.Probe = true
	subqueries, actions := s.receive(6, 1, 1, 1, 1)
	sends := ofKind(Send, actions)
	events := []Event{{Kind: TimerDue, Timer: sweepTimer}}
	for _, a := range sends {
		events = append(events, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Outcome: Answered, Elapsed: 0.1})
	}
	actions = s.step(1.2, events...)
	if len(sends) != len(subqueries) || len(ofKind(Answer, actions)) != 1 || len(ofKind(Send, actions))+len(ofKind(Probe, actions))+len(ofKind(Cancel, actions)) > 0 {
		t.Fatalf("expected an answer and no call, probe or cancellation, got %v", actions)
	}
	// One answer arrives only after the stall, so that its call looks overdue.
	subqueries, actions = s.receive(6, 1, 1, 1, 1)
	sends, events = ofKind(Send, actions), events[:1]
	for _, a := range sends[1:] {
		events = append(events, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Outcome: Answered, Elapsed: 0.1})
	}
	s.step(1.2, events...)
	s.endCall(0.005, sends[0].Subquery, sends[0].Backend, Answered, 0.1)
	for _, b := range s.aggregator.orderedBackends {
		if b.faults[0].sum > 0 || b.unreachableBackoff > 0 || b.window < 1 || b.latency > 1.1*s.aggregator.medianLatency {
			t.Errorf("backend %d: faults %.2f, backoff %.2f, window %.2f, latency %.2f, median %.2f", b.id, b.faults[0].sum, b.unreachableBackoff, b.window, b.latency, s.aggregator.medianLatency)
		}
	}
	if len(s.aggregator.queries) != 0 {
		t.Errorf("%d queries of %d subqueries are still open", len(s.aggregator.queries), len(subqueries))
	}
}

// Guards against a fault in which a single failed connection attempt counted as a restart once a probe was answered. With
// occasional slow connects, all backends were soon in slow start. A process that has ended fails connects repeatedly.
func TestRepeatedlyFailedConnectCountsAsRestart(t *testing.T) {
	for _, failures := range []int{1, 2, 3, 4} {
		s := newSingleBackendFixture(t)
		b := s.aggregator.backends[1]
		subqueries, _ := s.receive(60, 1)
		s.endCall(0.25, subqueries[0], 1, NotConnected, 0.25)
		for failed := 1; failed < failures; {
			for _, a := range ofKind(Probe, s.tick(0.05)) {
				s.step(0.25, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: NotConnected})
				failed++
			}
		}
		for range 100 {
			for _, a := range ofKind(Probe, s.tick(0.05)) {
				s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: Answered})
			}
		}
		if slowStart := s.aggregator.slowStartFactor(b) < 1; !usable(b) || slowStart != (failures > 2) {
			t.Errorf("%d connects failed: usable %v, slow start factor %.2f, expected a slow start after three", failures, usable(b), s.aggregator.slowStartFactor(b))
		}
	}
}

// A failed connection attempt is followed by an answer on another connection. A much later unresponsive period must not count as
// a restart because of it.
func TestAnswerClearsAFailedConnect(t *testing.T) {
	s := newSingleBackendFixture(t)
	b := s.aggregator.backends[1]
	first, _ := s.receive(60, 1)
	second, _ := s.receive(60, 1)
	s.endCall(0.25, first[0], 1, NotConnected, 0.25)
	s.endCall(0.01, second[0], 1, Answered, 0.26)
	s.receive(60, 1)
	outcome := TimedOut
	for i := range 400 {
		if i > 300 {
			outcome = Answered
		}
		for _, a := range ofKind(Probe, s.tick(0.05)) {
			s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: outcome})
		}
	}
	if !usable(b) || s.aggregator.slowStartFactor(b) < 1 {
		t.Errorf("usable %v, slow start factor %.2f", usable(b), s.aggregator.slowStartFactor(b))
	}
}
