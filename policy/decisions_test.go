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
		e := newSimulation(seed).run(25)
		if e.err != nil {
			t.Fatal(e.err)
		}
		if e.answered == 0 {
			t.Fatal("no query was answered")
		}
		if again := newSimulation(seed).run(25); !reflect.DeepEqual(e.emitted, again.emitted) {
			t.Fatal("two runs with the same events gave different actions")
		}
	})
}

// Verifies that each check of the simulation can fail, by changing the actions of a correct instance.
func TestCheckerFindsViolations(t *testing.T) {
	type breaker func(*simulation, Action) []Action
	redirect := func(chosen func(*simulation, *simulatedBackend) bool) breaker { // sends to another backend of the same cell
		return func(e *simulation, a Action) []Action {
			for _, b := range e.backends {
				if a.Kind == Send && b.listed && b.entry.Cell == e.backendByID(a.Backend).entry.Cell && chosen(e, b) {
					a.Backend = b.entry.Backend
				}
			}
			return []Action{a}
		}
	}
	duplicate := func(effect Effect) breaker {
		return func(e *simulation, a Action) []Action {
			if a.Kind == Send && e.settings.Limits.Hedge && e.settings.Indexes[e.subqueries[a.Subquery].event.Index].Effect == effect {
				return []Action{a, a}
			}
			return []Action{a}
		}
	}
	var earlier Action
	for name, breakAction := range map[string]breaker{
		"lost: query": func(_ *simulation, a Action) []Action {
			if a.Kind == Nack || a.Kind == Abort || a.Kind == Answer {
				return nil
			}
			return []Action{a}
		},
		"after the end of its query": func(e *simulation, a Action) []Action {
			if earlier.Kind == Send && earlier.Subquery != 0 && e.subqueries[earlier.Subquery].query.ended {
				return []Action{a, earlier}
			} else if a.Kind == Send {
				earlier = a
			}
			return []Action{a}
		},
		"duplicate": duplicate(AtMostOnce),
		"budget":    duplicate(Idempotent),
		"drain": redirect(func(e *simulation, b *simulatedBackend) bool {
			return b.unavailableAt > 0 && e.now > b.unavailableAt+e.settings.Rules.DrainGrace
		}),
		"slow start": redirect(func(_ *simulation, b *simulatedBackend) bool { return b.reportedStart > 0 && b.unavailableAt == 0 }),
		"minimum": func(_ *simulation, a Action) []Action {
			if a.Kind == Nack || a.Kind == Abort {
				a.Kind = Answer
			}
			return []Action{a}
		},
		"complete": func(_ *simulation, a Action) []Action {
			a.Complete = true
			return []Action{a}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				earlier = Action{}
				e := newSimulation(seed)
				e.interceptActions = func(e *simulation, actions []Action) (result []Action) {
					for _, a := range actions {
						result = append(result, breakAction(e, a)...)
					}
					return result
				}
				if e.run(15); e.err != nil && strings.Contains(e.err.Error(), name) {
					return
				}
			}
			t.Fatal("no run detected the violation")
		})
	}
}

func TestBindsToLeastLatencyTimesQueue(t *testing.T) {
	s := newFixture(t, nil)
	for range 6 { // backend 1 answers in 0.1 s, backend 2 in 0.5 s
		subqueries, actions := s.receive(6, 1)
		target := ofKind(Send, actions)[0].Backend
		s.endCall(0.1, subqueries[0], target, Answered, map[BackendID]float64{1: 0.1, 2: 0.5}[target])
	}
	_, actions := s.receive(6, 1, 1, 1)
	for _, a := range ofKind(Send, actions) {
		if a.Backend != 1 {
			t.Errorf("subquery %d was sent to the slow backend", a.Subquery)
		}
	}
}

// fillWindows passes queries to the instance until the window of its only backend is full.
func fillWindows(s *fixture) (subqueries []SubqueryID) {
	for range 4 {
		sent, actions := s.receive(6, 1)
		if len(ofKind(Send, actions)) != 1 {
			s.t.Fatal("expected an initial window of 4 calls")
		}
		subqueries = append(subqueries, sent[0])
	}
	return subqueries
}

func TestPendingSubqueriesAreSentInMakespanOrder(t *testing.T) {
	s := newFixture(t, nil, Entry{Backend: 1})
	subqueries := fillWindows(s)
	largeQuery, _ := s.receive(6, 1, 1, 1)
	smallQuery, actions := s.receive(6, 1, 2)
	if len(ofKind(Send, actions)) != 0 {
		t.Fatal("sent more calls than the window permits")
	}
	sends := ofKind(Send, s.endCall(0.05, subqueries[0], 1, Answered, 0.05))
	if len(sends) == 0 || sends[0].Subquery != smallQuery[1] {
		t.Errorf("got sends %v, expected first the subquery %d, which has the larger hint of the shorter query, and not %v", sends, smallQuery[1], largeQuery)
	}
}

func TestEqualMakespansAreOrderedBySize(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Layout.Cells = 2 }, Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	aggregator := s.aggregator
	addQuery := func(number QueryNumber, pendingCounts ...int) *query {
		q := aggregator.addQuery(&Event{Query: QueryID(number), QueryNumber: number, Subqueries: len(pendingCounts), Remaining: 6})
		for i, n := range pendingCounts {
			for range n {
				sub := aggregator.addSubquery(q, &Event{Subquery: SubqueryID(100*int(number) + len(q.subqueries)), Shard: ShardID(i)})
				aggregator.assign(sub, aggregator.orderedBackends[i])
			}
		}
		return q
	}
	addQuery(1, 2, 2)
	smaller := addQuery(2, 2, 1)
	if aggregator.reorder(); aggregator.sendOrder[0] != smaller {
		t.Error("with equal makespans, the query with fewer pending calls should be first")
	}
}

func TestQueryThatCannotMeetItsDeadlineIsRejectedImmediately(t *testing.T) {
	s := newFixture(t, nil, Entry{Backend: 1})
	fillWindows(s)
	_, actions := s.receive(0.5, 1) // before the first answer, the latency is assumed to be the soft deadline of 2 s
	if nacks := ofKind(Nack, actions); len(nacks) != 1 || len(ofKind(Send, actions)) != 0 {
		t.Errorf("expected a nack and no send, got %v", actions)
	}
}

// A nack states a retry time even if the aggregator has not received any answer yet.
func TestNackBeforeAnyAnswerHasRetryAfter(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Limits.RetryAfter, set.Limits.MaxRetryAfter = true, 1 }, Entry{Backend: 1})
	subqueries, actions := s.receive(6, 1)
	actions = append(actions, s.endCall(0.1, subqueries[0], 1, NotConnected, 0.1)...)
	nacks := ofKind(Nack, append(actions, s.tick(5.9)...))
	if len(nacks) != 1 || nacks[0].Wait != 1 {
		t.Fatalf("got %+v", nacks)
	}
}

// Guards against a fault in which a list change that ended a query modified the list of open queries during iteration.
func TestListChangeMayEndSeveralQueries(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Limits.MaxAttempts = 9 })
	for range 8 {
		subqueries, actions := s.receive(6, 1)
		for _, a := range ofKind(Send, actions) {
			s.endCall(0.001, subqueries[0], a.Backend, NotConnected, 0.001)
		}
	}
	s.step(0.01, Event{Kind: ListChanged, List: ListPatch,
		Entries: []Entry{{Backend: 1, Phase: Removed}, {Backend: 2, Phase: Removed}}})
}

// Backends are added and removed continuously. The record of a removed backend must be kept while a call to it is in flight,
// and no longer.
func TestRemovedBackendsAreReleased(t *testing.T) {
	listEvent := func(phase Phase, ids ...BackendID) Event {
		e := Event{Kind: ListChanged}
		for _, id := range ids {
			e.Entries = append(e.Entries, Entry{Backend: id, Phase: phase, Share: 1})
		}
		return e
	}
	s := newFixture(t, nil, Entry{Backend: 1, Share: 1})
	subqueries, actions := s.receive(4, 0)
	if sends := ofKind(Send, actions); len(sends) != 1 || sends[0].Backend != 1 {
		t.Fatalf("got %+v", actions)
	}
	for i := range BackendID(100) {
		s.step(0.01, listEvent(Ready, i+2))
		s.step(0.01, listEvent(Removed, i+1))
	}
	if aggregator := s.aggregator; len(aggregator.orderedBackends) != 3 || len(aggregator.backends) != 3 || len(aggregator.replicasByCell[0]) != 3 {
		t.Fatalf("got %d backends, expected the one with a call in flight, the listed one and the last removed one", len(aggregator.orderedBackends))
	}
	if got := s.endCall(0.01, subqueries[0], 1, Answered, 0.1); len(ofKind(Answer, got)) != 1 {
		t.Fatalf("got %+v", got)
	}
	complete := listEvent(Ready, 102)
	complete.List = ListComplete
	s.step(0.01, complete)
	if s.step(0.01, complete); len(s.aggregator.orderedBackends) != 1 {
		t.Fatalf("got %d backends, expected 1", len(s.aggregator.orderedBackends))
	}
}

func TestRetryBudgetRecordsAreBounded(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Rules.RetryBudget, set.Rules.RetryBudgetS = true, 1 }, Entry{Backend: 1, Share: 1})
	for range 2000 {
		subqueries, _ := s.receive(4, 0)
		s.endCall(0.01, subqueries[0], 1, Answered, 0.01)
	}
	if n := cap(s.aggregator.receivedTimes); n > 1000 {
		t.Fatalf("the records hold %d times, with 100 queries in the window", n)
	}
}

// Guards against a fault in which connection resets counted as restarts of a live backend, so that all backends were limited
// to their slow start share.
func TestBrokenCallDoesNotCountAsRestart(t *testing.T) {
	s := newFixture(t, func(set *Settings) {
		set.Rules = Rules{SlowStartShare: 0.1, SlowStartS: 10, OverloadMultiple: 2, OverloadWindowS: 1}
	})
	subqueries, actions := s.receive(6, 1)
	at := ofKind(Send, actions)[0].Backend
	s.endCall(0.1, subqueries[0], at, Broken, 0.1)
	if b := s.aggregator.backends[at]; !usable(b) || s.aggregator.slowStartFactor(b) < 1 {
		t.Error("a broken call made its backend unreachable or started its slow start")
	}
}

// A backend answers other calls but has lost this one. The call must be canceled and retried on the sibling.
func TestLostCallIsCanceledAndRetried(t *testing.T) {
	s := newFixture(t, nil)
	warmUp(s)
	lostSubquery, actions := s.receive(6, 1)
	at := ofKind(Send, actions)[0].Backend
	for range 40 {
		_, actions := s.receive(6, 1)
		s.answerAll(actions, 0.05, 0.05)
		if cancels := ofKind(Cancel, s.tick(0.01)); len(cancels) == 1 {
			sends := ofKind(Send, s.endCall(0.005, lostSubquery[0], at, Canceled, s.now))
			if len(sends) != 1 || sends[0].Backend == at {
				t.Errorf("got %v, expected a retry on the sibling", sends)
			}
			return
		}
	}
	t.Error("the lost call was not canceled")
}

// An unresponsive backend is probed immediately, on a separate connection, as its calls may be lost with their connection.
// If it answers, it is reachable immediately.
func TestUnresponsiveBackendIsProbedOnASeparateConnection(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Limits.Probe = true }, Entry{Backend: 1})
	warmUp(s)
	s.receive(6, 1)
	s.receive(6, 1)
	for range 100 {
		if probes := ofKind(Probe, s.tick(0.02)); len(probes) > 0 {
			b := s.aggregator.backends[1]
			if !probes[0].SeparateConnection || usable(b) {
				t.Fatalf("got %+v, backend usable: %v", probes[0], usable(b))
			}
			if _, actions := s.receive(6, 1); len(ofKind(Send, actions)) > 0 {
				t.Fatal("sent a call to an unresponsive backend")
			}
			if actions := s.step(0.005, Event{Kind: ProbeEnded, Backend: 1, Outcome: Answered}); len(ofKind(Send, actions)) != 1 {
				t.Fatalf("got %+v, expected a call to the backend that answered", actions)
			}
			return
		}
	}
	t.Fatal("the backend was not probed")
}

// warmUp answers 20 queries, so that the instance has estimates of latencies.
func warmUp(s *fixture) {
	for range 20 {
		_, actions := s.receive(6, 1)
		s.answerAll(actions, 0.1, 0.1)
	}
}

// One of two backends is partitioned, so that calls to it never end. It must be marked unreachable while its sibling serves.
func TestUnresponsiveBackendIsAvoided(t *testing.T) {
	s := newFixture(t, nil)
	warmUp(s)
	for range 30 {
		_, actions := s.receive(6, 1, 1, 1)
		for _, a := range ofKind(Send, actions) {
			if a.Backend == 2 {
				s.endCall(0.01, a.Subquery, 2, Answered, 0.1)
			}
		}
		s.tick(0.05)
	}
	if usable(s.aggregator.backends[1]) || !usable(s.aggregator.backends[2]) {
		t.Error("expected backend 1 unreachable and backend 2 usable")
	}
}

// Guards against a fault in which overload raised the median latency. Windows then stayed wide, and subqueries queued at
// backends for longer than the soft deadline.
func TestOverloadDoesNotWidenTheWindow(t *testing.T) {
	s := newFixture(t, nil, Entry{Backend: 1})
	for range 300 {
		_, actions := s.receive(6, 1)
		s.answerAll(actions, 0.9, 1.9)
	}
	if w := s.aggregator.backends[1].window; w >= initialWindow {
		t.Errorf("window %.1f after answers near the soft deadline", w)
	}
}

// While the only replica of one shard is unreachable, work on a query's other subqueries would be wasted.
func TestSubqueriesWaitWhileARequiredShardIsUnreachable(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Layout.Cells = 2 }, Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	s.aggregator.markUnreachable(s.aggregator.backends[2])
	if _, actions := s.receive(6, 1, 1); len(ofKind(Send, actions)) != 0 {
		t.Errorf("got %v", actions)
	}
}

// Guards against a fault in which the sweep abandoned a client's late retry received in the same step, before it could be sent.
func TestPendingSubqueriesAreSentBeforeTheSweep(t *testing.T) {
	s := newFixture(t, nil)
	s.receive(6, 1)
	events := []Event{{Kind: QueryReceived, Query: 50, QueryNumber: 50, Subqueries: 1, Remaining: 3},
		{Kind: SubqueryReceived, Subquery: 500, QueryNumber: 50, Weight: 1}, {Kind: TimerDue, Timer: sweepTimer}}
	if actions := s.step(0.005, events...); len(ofKind(Send, actions)) != 1 || len(ofKind(Nack, actions)) != 0 {
		t.Errorf("got %v", actions)
	}
}

// Connections die while idle, and calls sent after an idle time are lost. Such a connection must be closed before use.
func TestConnectionIdleTooLongIsClosed(t *testing.T) {
	for _, probesAnswered := range []bool{true, false} { // without answers to probes, the fault is in the backend and not in its connection
		s := newFixture(t, func(set *Settings) { set.Limits.Probe = true }, Entry{Backend: 1}, Entry{Backend: 2})
		warmUp(s)
		closed := false
		for range 12 {
			s.now++
			_, actions := s.receive(6, 1)
			closed = closed || len(ofKind(CloseIdle, actions)) > 0
			for range 60 {
				actions = append(actions, s.tick(0.05)...)
				for _, a := range ofKind(Probe, actions) {
					outcome := map[bool]Outcome{true: Answered, false: TimedOut}[probesAnswered]
					s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: outcome, Elapsed: 0.1}) // a probe waits in the queue as a call does
				}
				for _, a := range ofKind(Cancel, actions) {
					s.endCall(0.005, a.Subquery, 0, Canceled, 1)
				}
				actions = nil
			}
		}
		if closed != probesAnswered {
			t.Errorf("probes answered: %v, connection closed: %v", probesAnswered, closed)
		}
	}
}

// Many aggregators that each send a subquery to a backend in slow start at the same time would overload it. Together they may
// only send a share that grows during the slow start, although each one receives few queries.
func TestManyAggregatorsSendLittleToABackendInSlowStart(t *testing.T) {
	const aggregators = 50
	sent := 0
	for i := range aggregators {
		s := newFixture(t, func(set *Settings) {
			set.Seed, set.Aggregators = uint64(i), aggregators
			set.Rules = Rules{SlowStartShare: 0.16, SlowStartS: 18, OverloadMultiple: 2, OverloadWindowS: 1.5}
		}, Entry{Backend: 1, StartedAt: 0.01})
		_, actions := s.receive(6, 0.2)
		sent += len(ofKind(Send, actions))
	}
	if sent == 0 || sent > aggregators/3 {
		t.Errorf("%d of %d aggregators sent a subquery at the start", sent, aggregators)
	}
}

// newSingleBackendFixture returns a fixture with one backend that is not in slow start. Probes are permitted, and a restart
// of the backend would begin a slow start.
func newSingleBackendFixture(t *testing.T) *fixture {
	s := newFixture(t, func(set *Settings) {
		set.Limits.Probe = true
		set.Rules = Rules{SlowStartShare: 0.1, SlowStartS: 10, OverloadMultiple: 2, OverloadWindowS: 1}
	}, Entry{Backend: 1})
	warmUp(s)
	return s
}

// Guards against a fault in which a backend that was unresponsive for some time was never used again, and later counted as
// restarted. It must be probed after each backoff. When it answers, it keeps its estimates and does not begin a slow start.
// A backend that rejects probes is not unresponsive.
func TestUnresponsiveBackendIsProbedUntilItAnswers(t *testing.T) {
	s := newSingleBackendFixture(t)
	s.receive(60, 1)
	b := s.aggregator.backends[1]
	for i := range 400 {
		outcome := TimedOut
		if i > 300 {
			outcome = Answered
		}
		for _, a := range ofKind(Probe, s.tick(0.05)) {
			s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: outcome})
		}
		if i == 300 && usable(b) {
			t.Fatal("an unresponsive backend counts as usable")
		}
	}
	if !usable(b) || b.latency == 0 || s.aggregator.slowStartFactor(b) < 1 {
		t.Errorf("after an answer: usable %v, latency %v, slow start factor %v", usable(b), b.latency, s.aggregator.slowStartFactor(b))
	}
	unansweredSince := b.unansweredSince
	s.step(0.001, Event{Kind: ProbeEnded, Backend: 1, Outcome: Rejected})
	if b.probeFailed || b.unansweredSince != unansweredSince {
		t.Error("a rejected probe counts as unanswered")
	}
}

// Guards against a fault in which calls of overloaded cells were canceled repeatedly in favor of siblings with equally long
// queues.
func TestCallIsHedgedOnlyToALiveSibling(t *testing.T) {
	for _, siblingAlive := range []bool{true, false} {
		s := newFixture(t, func(set *Settings) { set.Limits.Probe = true })
		warmUp(s)
		s.receive(30, 1)
		cancels := 0
		for range 100 {
			actions := s.tick(0.05)
			cancels += len(ofKind(Cancel, actions))
			for _, a := range ofKind(Probe, actions) {
				if siblingAlive {
					s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: Answered, Elapsed: 0.2})
				}
			}
		}
		if (cancels > 0) != siblingAlive {
			t.Errorf("sibling alive %v: %d calls canceled", siblingAlive, cancels)
		}
	}
}

// Guards against a fault in which connections that broke immediately after an idle time counted as faults of their backends.
func TestConnectionThatBreaksAfterIdlingIsClosed(t *testing.T) {
	s := newFixture(t, nil, Entry{Backend: 1})
	warmUp(s)
	closed := 0
	for range 20 {
		s.now++
		subqueries, actions := s.receive(6, 1)
		outcome := Broken
		if len(ofKind(CloseIdle, actions)) > 0 {
			closed, outcome = closed+1, Answered
		}
		s.answerAll(s.endCall(0.005, subqueries[0], 1, outcome, 0.005), 0.1, 0.1) // the immediate retry uses a new connection
	}
	if faults := s.aggregator.backends[1].faults[0].sum; closed < 15 || faults > 0.1 {
		t.Errorf("connection closed before %d of 20 calls, faults %.2f", closed, faults)
	}
}

// Dispensable subqueries without a reachable replica must not delay the other subqueries of a query.
func TestSubqueriesAreSentWhileEnoughShardsAreReachable(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Layout.Cells, set.Indexes[0].Minimum = 2, 0.4 },
		Entry{Backend: 1}, Entry{Backend: 2, Cell: 1})
	s.aggregator.markUnreachable(s.aggregator.backends[2])
	if _, actions := s.receive(6, 1, 1); len(ofKind(Send, actions)) != 1 {
		t.Errorf("got %v", actions)
	}
}

// Backends of one location fail in turn, and each is called rarely. The faults of the others count for a backend without
// samples of its own. Its own answers then outweigh them.
func TestLocationFaultsCountUntilABackendHasOwnSamples(t *testing.T) {
	s := newFixture(t, nil, Entry{Backend: 1, Location: 1}, Entry{Backend: 2, Location: 1}, Entry{Backend: 3})
	aggregator := s.aggregator
	for range 20 {
		aggregator.recordFault(aggregator.backends[1], 0, 1)
		aggregator.recordFault(aggregator.backends[3], 0, 0)
	}
	if unknown, healthy := aggregator.faultShare(aggregator.backends[2], 0), aggregator.faultShare(aggregator.backends[3], 0); unknown < 0.5 || healthy > 0.05 {
		t.Errorf("fault share: %.2f for a backend without samples in a faulty location, %.2f for a healthy one elsewhere", unknown, healthy)
	}
	for range 4 {
		aggregator.recordFault(aggregator.backends[2], 0, 0)
	}
	if unknown := aggregator.faultShare(aggregator.backends[2], 0); unknown > 0.2 {
		t.Errorf("fault share %.2f after answers of the backend itself", unknown)
	}
}

// A local backend that quickly fails most calls must not look cheaper than its sibling in another location.
func TestCrossingLocationsCostsLessThanLocalFaults(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Prices.CrossLocation = 0.05 }, Entry{Backend: 1}, Entry{Backend: 2, Location: 1})
	warmUp(s)
	local, remote := s.aggregator.backends[1], s.aggregator.backends[2]
	local.latency, remote.latency, local.latencyUpdatedAt, remote.latencyUpdatedAt = s.aggregator.medianLatency/4, s.aggregator.medianLatency, s.now, s.now
	subqueries, _ := s.receive(6, 1)
	sub := s.aggregator.subqueries[subqueries[0]]
	if s.aggregator.cost(sub, local) > s.aggregator.cost(sub, remote) {
		t.Fatal("the remote backend costs less than a healthy local one")
	}
	for i := range 40 {
		s.aggregator.recordFault(local, 0, indicator(i%5 > 0))
	}
	if s.aggregator.cost(sub, local) < s.aggregator.cost(sub, remote) {
		t.Fatalf("a local backend that fails %.0f%% of the calls costs less than the remote one", 100*s.aggregator.faultShare(local, 0))
	}
}

// If many calls fail or are slow, a subquery goes to the replica that first answers a probe, not to one that may be dead.
func TestProbesBeforeSendingWhenBackendsAreUnhealthy(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Limits.Probe = true })
	warmUp(s)
	s.now += 3
	for range 30 {
		s.aggregator.unhealthyShare.add(1, s.now, unhealthyDecay*s.aggregator.longestSoftDeadline)
	}
	subqueries, actions := s.receive(6, 1)
	if len(ofKind(Send, actions)) != 0 || len(ofKind(Probe, actions)) != 2 {
		t.Fatalf("got %v, expected probes of both replicas and no send", actions)
	}
	actions = ofKind(Send, s.step(0.01, Event{Kind: ProbeEnded, Backend: 2, Outcome: Answered}))
	if len(actions) != 1 || actions[0].Subquery != subqueries[0] || actions[0].Backend != 2 {
		t.Errorf("got %v", actions)
	}
}

// Many aggregators with a window of one call each cause a long queue, so windows must shrink below one call.
func TestSlowAnswersShrinkTheWindowBelowOneCall(t *testing.T) {
	s := newFixture(t, nil, Entry{Backend: 1})
	warmUp(s)
	for range 12 {
		subqueries, _ := s.receive(6, 1)
		s.endCall(1.5, subqueries[0], 1, Answered, 1.5)
	}
	if w := s.aggregator.backends[1].window; w >= 1 {
		t.Errorf("window %.2f", w)
	}
}

// A client's last attempt states the whole remaining time, which is often longer than the timeout of its first attempts.
// Guards against a fault in which, after such an attempt, first attempts were mistaken for late ones and rejected on receipt.
func TestSoftDeadlineCountsFromTheFirstAttempt(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Limits.MaxAttempts = 1 })
	for i, c := range []struct{ remaining, elapsed float64 }{
		{3.74, 0}, {3.75, 0}, {5.99, 0.01}, {3.75, 0}, {5, 1}, {5, 1}, {3.73, 0}, {2.2, 3.8}, {3.76, 0},
	} {
		s.receive(c.remaining, 0.1)
		q := s.aggregator.queries[QueryNumber(s.lastID)]
		if q == nil {
			t.Fatalf("attempt %d was rejected on receipt", i)
		}
		if got := s.now + 2 - q.softDeadline; math.Abs(got-c.elapsed) > 1e-9 {
			t.Fatalf("attempt %d with %g s remaining: %g s assumed to have elapsed, expected %g", i, c.remaining, got, c.elapsed)
		}
	}
}
