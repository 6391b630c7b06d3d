package aggregator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/policy"
)

// fixture is an aggregator that the test steps itself. It also acts as the aggregator's Backends and Discovery.
type fixture struct {
	*Aggregator
	now            time.Time
	sent           []sentCall
	batchSizes     []int // number of calls in each batch
	canceled       []policy.SubqueryID
	probes         []policy.BackendID
	subscribeCalls int
}

// sentCall is a call with the backend that it was sent to.
type sentCall struct {
	backend policy.BackendID
	Call
}

func (r *fixture) Update(policy.Entry, string)            {}
func (r *fixture) Retain(map[policy.BackendID]bool)       {}
func (r *fixture) Probe(backend policy.BackendID, _ bool) { r.probes = append(r.probes, backend) }
func (r *fixture) CloseIdle(policy.BackendID)             {}
func (r *fixture) Subscribe(bool)                         { r.subscribeCalls++ }
func (r *fixture) RequestCompleteList()                   {}
func (r *fixture) Send(backend policy.BackendID, calls []Call) {
	r.batchSizes = append(r.batchSizes, len(calls))
	for _, c := range calls {
		r.sent = append(r.sent, sentCall{backend, c})
	}
}
func (r *fixture) Cancel(_ policy.BackendID, subquery policy.SubqueryID, _ policy.CallNumber) {
	r.canceled = append(r.canceled, subquery)
}

func newFixture(change func(*settings.Settings)) *fixture {
	conf := settings.Settings{Settings: policy.Settings{Seed: 5, Aggregators: 2, StepInterval: 0.005,
		Indexes: []policy.IndexSettings{{Soft: 1, Hard: 4, Value: 1, LateValue: 0.1}, {Soft: 1, Hard: 4, Value: 3, Effect: policy.AtMostOnce}},
		Layout:  policy.Layout{Cells: 4, Width: 2, SubqueriesPerCall: 1},
		Limits:  policy.Limits{Cancel: true, Probe: true, Hedge: true, RetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 1},
		Rules:   policy.Rules{SlowStartShare: 0.2, SlowStartS: 8, DrainGrace: 0.25, OverloadMultiple: 2, OverloadWindowS: 1}}}
	if change != nil {
		change(&conf)
	}
	r := &fixture{Aggregator: New(conf, zap.NewNop(), counters.New())}
	r.backends, r.discovery, r.now = r, r, r.start
	list := Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListStale}, Addresses: make([]string, 8)}
	for i := range 8 {
		list.Entries = append(list.Entries, policy.Entry{Backend: policy.BackendID(i + 1), Cell: policy.CellID(i % 4)})
	}
	r.process(list)
	return r
}

// process queues events and executes a step 5 ms later.
func (r *fixture) process(events ...Event) {
	for _, e := range events {
		r.Inbox.Put(e)
	}
	r.now = r.now.Add(5 * time.Millisecond)
	r.step(r.now)
}

// queryEvent returns the event of a new query.
func (r *fixture) queryEvent(id string, index policy.IndexID, subqueries int) Event {
	q := &Query{ID: id, Index: index, Arrived: r.now, Timeout: 2, Done: make(chan Reply, 1)}
	for i := range subqueries {
		q.Subqueries = append(q.Subqueries, Subquery{Shard: policy.ShardID(i), Weight: 1 / float64(subqueries)})
	}
	return Event{Event: policy.Event{Kind: policy.QueryReceived}, ClientQuery: q}
}

// ended returns the event of the call's end.
func (c sentCall) ended(outcome policy.Outcome, value string) Event {
	return Event{Value: []byte(value), Event: policy.Event{Kind: policy.CallEnded, Subquery: c.Subquery, Call: c.Number, Backend: c.backend,
		Outcome: outcome, Elapsed: 0.1}}
}

// requireReply returns the query's reply. It fails the test if there is none.
func (q *Query) requireReply(t *testing.T) Reply {
	t.Helper()
	select {
	case reply := <-q.Done:
		return reply
	default:
		t.Fatalf("query %s has no reply", q.ID)
		return Reply{}
	}
}

func TestQueryIsAnsweredAfterAllSubqueries(t *testing.T) {
	r := newFixture(nil)
	e := r.queryEvent("aa", 0, 2)
	q := e.ClientQuery
	q.Arrived = r.now.Add(-time.Second / 4) // the query waited before this step
	r.process(e)
	if len(r.sent) != 2 {
		t.Fatalf("sent %+v", r.sent)
	}
	for _, c := range r.sent {
		if c.Query != q || c.StopAt.Sub(q.Arrived) > 2*time.Second || c.StopAt.Sub(q.Arrived) < 1999*time.Millisecond {
			t.Fatalf("the call ends %v after the query's arrival, want 2s", c.StopAt.Sub(q.Arrived))
		}
	}
	r.process(r.sent[1].ended(policy.Answered, "one"), r.sent[1].ended(policy.Answered, "again"))
	r.process(r.sent[0].ended(policy.Answered, "zero"))
	if reply := q.requireReply(t); reply.End != Satisfied || !reply.Complete {
		t.Fatalf("got %+v", reply)
	}
	if got := string(q.Subqueries[0].Value) + string(q.Subqueries[1].Value); got != "zeroone" && got != "onezero" {
		t.Fatalf("values %q", got)
	}
	r.process(Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: q}) // the client disconnects while the answer is being sent
	r.checkCounters(t, map[string]int64{"taken": 1, "satisfied": 1, "gone": 0, "held": 0})
}

// checkCounters compares counters with the expected values and checks that they are consistent.
func (r *fixture) checkCounters(t *testing.T, want map[string]int64) {
	t.Helper()
	get := func(reason string) int64 { return r.counters.Get("lookups", reason) }
	for reason, n := range want {
		if get(reason) != n {
			t.Fatalf("counter %s is %d, want %d", reason, get(reason), n)
		}
	}
	if got := get("satisfied") + get("nacked") + get("aborted") + get("gone") + get("held"); got != get("taken") {
		t.Fatalf("counter taken is %d, the sum of its outcomes %d", get("taken"), got)
	}
	if int(get("held")) != len(r.queries) || len(r.queries) != len(r.byClientID) {
		t.Fatalf("counter held is %d, pending queries %d by ID and %d by client ID", get("held"), len(r.queries), len(r.byClientID))
	}
}

func TestQueriesBeyondMaxPendingAndDuplicatesAreRejected(t *testing.T) {
	r := newFixture(func(s *settings.Settings) { s.Limits.MaxPending = 4 })
	first, duplicate, second, third := r.queryEvent("aa", 0, 2), r.queryEvent("aa", 0, 2), r.queryEvent("bb", 0, 1), r.queryEvent("cc", 0, 1)
	r.process(first, duplicate, second, third)
	if reply := duplicate.ClientQuery.requireReply(t); reply.End != Duplicate {
		t.Fatalf("got %+v", reply)
	}
	if reply := third.ClientQuery.requireReply(t); reply.End != QueueFull {
		t.Fatalf("got %+v", reply)
	}
	r.process(Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: first.ClientQuery})
	if len(r.canceled) != 2 {
		t.Fatalf("canceled %v, want 2 calls", r.canceled)
	}
	last := r.queryEvent("aa", 0, 1)
	r.process(last)
	if len(r.sent) != 4 {
		t.Fatalf("sent %d calls, want 4", len(r.sent))
	}
	r.checkCounters(t, map[string]int64{"taken": 3, "gone": 1, "held": 2, "full": 1, "twice": 1})
}

func TestSubqueriesOfAStepShareCalls(t *testing.T) {
	r := newFixture(func(s *settings.Settings) {
		s.Layout = policy.Layout{Cells: 1, Width: 1, SubqueriesPerCall: 2}
	})
	list := Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}, Addresses: []string{""}}
	list.Entries = []policy.Entry{{Backend: 1}}
	r.process(list)
	r.process(r.queryEvent("aa", 0, 5))
	if fmt.Sprint(r.batchSizes) != "[2 2 1]" {
		t.Fatalf("batches of %v calls, want [2 2 1]", r.batchSizes)
	}
}

// TestTimersDoNotDrift sets a periodic timer again in the step in which it fired. Late steps must not make it drift. If a
// step is late by more than the period, the timer must start again from that step.
func TestTimersDoNotDrift(t *testing.T) {
	r := newFixture(nil)
	begin := r.timers[0].due
	for i := 1; i <= 50; i++ {
		r.now = r.timers[0].due.Add(time.Duration(i%3) * time.Millisecond)
		r.step(r.now)
		if got, want := r.timers[0].due.Sub(begin), time.Duration(i)*20*time.Millisecond; got != want {
			t.Fatalf("timer %d is due after %v, want %v", i, got, want)
		}
	}
	r.now = r.timers[0].due.Add(time.Second)
	r.step(r.now)
	if got := r.timers[0].due.Sub(r.now); len(r.timers) != 1 || got != 20*time.Millisecond {
		t.Fatalf("%d timers, the next due in %v, want 1 timer in 20ms", len(r.timers), got)
	}
}

func TestPolicyTimeIsUnixTimeAndConvertsBack(t *testing.T) {
	r := newFixture(nil)
	at := time.Now()
	if s := r.policyTime(at); s < float64(at.UnixNano())/1e9-1 || s > float64(at.UnixNano())/1e9+1 {
		t.Fatalf("policy time of %v is %f, want Unix seconds", at, s)
	}
	if off := r.wallTime(r.policyTime(at)).Sub(at); off > time.Microsecond || off < -time.Microsecond {
		t.Fatalf("converted time is off by %v", off)
	}
}

func TestStepsKeepTheMinimumInterval(t *testing.T) {
	r := newFixture(nil)
	go r.Run(r, r)
	begin := time.Now()
	for i := range 40 {
		e := r.queryEvent(fmt.Sprint(i), 0, 1)
		e.ClientQuery.Arrived = time.Now()
		r.Inbox.Put(e)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	took := time.Since(begin)
	r.Stop()
	r.checkCounters(t, map[string]int64{"taken": 40})
	last, steps := time.Time{}, 0
	for _, c := range r.sent { // calls of one step have the same time
		if c.Sent.Equal(last) {
			continue
		}
		if gap := c.Sent.Sub(last); gap < 5*time.Millisecond {
			t.Fatalf("two steps are %v apart, want at least 5ms", gap)
		}
		last = c.Sent
		steps++
	}
	if steps == 0 || time.Duration(steps-1)*5*time.Millisecond > took {
		t.Fatalf("%d steps in %v", steps, took)
	}
}

// FuzzQueriesKeepTheRules sends random queries, call results and disconnects through the aggregator. It checks that each
// query gets one reply in time, that no subquery is sent after its query has ended, and that a subquery of an
// at-most-once index is sent again only if none of its ended calls can have been executed.
func FuzzQueriesKeepTheRules(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 3))
		r := newFixture(func(s *settings.Settings) {
			s.Seed, s.Limits.MaxPending, s.Layout.SubqueriesPerCall = seed, 60, 1+rng.IntN(3)
			s.Limits.Hedge = rng.IntN(2) == 0
		})
		open := map[*Query]bool{}
		neverExecuted := map[policy.SubqueryID]bool{} // by sent subquery: whether none of its ended calls can have been executed
		seen, pending := 0, []sentCall(nil)
		for i := range 1500 {
			var events []Event
			if rng.IntN(8) == 0 && i < 900 {
				e := r.queryEvent(fmt.Sprint(i), policy.IndexID(rng.IntN(2)), 1+rng.IntN(4))
				events = append(events, e)
				open[e.ClientQuery] = true
			}
			for q := range open {
				if rng.IntN(800) == 0 {
					events = append(events, Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: q})
					delete(open, q)
				}
			}
			var remaining []sentCall
			for _, c := range pending {
				if rng.IntN(30) > 0 && r.now.Before(c.StopAt) {
					remaining = append(remaining, c)
					continue
				}
				outcome := []policy.Outcome{policy.Answered, policy.Answered, policy.Answered, policy.Errored, policy.Rejected,
					policy.NotConnected, policy.Broken}[rng.IntN(7)]
				if !r.now.Before(c.StopAt) {
					outcome = policy.TimedOut
				}
				neverExecuted[c.Subquery] = neverExecuted[c.Subquery] && (outcome == policy.Rejected || outcome == policy.NotConnected)
				events = append(events, c.ended(outcome, c.Query.ID))
			}
			pending = remaining
			for _, backend := range r.probes {
				events = append(events, Event{Event: policy.Event{Kind: policy.ProbeEnded, Backend: backend, Outcome: policy.Answered, Elapsed: 0.01}})
			}
			r.probes = nil
			r.process(events...)
			for ; seen < len(r.sent); seen++ {
				c := r.sent[seen]
				if notExecuted, sentBefore := neverExecuted[c.Subquery]; c.Query.Index == 1 && sentBefore && !notExecuted {
					t.Fatalf("an at-most-once subquery of %s was sent again although an earlier call may have been executed", c.Query.ID)
				}
				if !r.isOpen(c.Query) && !open[c.Query] {
					t.Fatalf("a subquery of %s was sent after the end of the query", c.Query.ID)
				}
				neverExecuted[c.Subquery] = true
				pending = append(pending, c)
			}
			for q := range open {
				select {
				case reply := <-q.Done:
					delete(open, q)
					for _, p := range q.Subqueries {
						if reply.End == Satisfied && (!reply.Complete || !p.Answered || string(p.Value) != q.ID) {
							t.Fatalf("query %s: reply %+v with subquery %+v", q.ID, reply, p)
						}
					}
				default:
					if r.now.Sub(q.Arrived).Seconds() > q.Timeout {
						t.Fatalf("query %s has no reply within its timeout", q.ID)
					}
				}
			}
			r.checkCounters(t, nil)
		}
		if len(open) > 0 || len(r.queries) != 0 || len(r.subqueries) > 0 || len(r.inFlight) != len(pending) {
			t.Fatalf("%d queries without reply, %d pending queries, %d subqueries, %d calls in flight, want %d", len(open), len(r.queries), len(r.subqueries), len(r.inFlight), len(pending))
		}
	})
}
