package aggregator

import (
	"fmt"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/policy"
)

// permutations calls yield with each permutation of the numbers 0 to n-1.
func permutations(n int, yield func([]int)) {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	var permute func(from int)
	permute = func(from int) {
		if from == n {
			yield(order)
			return
		}
		for i := from; i < n; i++ {
			order[from], order[i] = order[i], order[from]
			permute(from + 1)
			order[from], order[i] = order[i], order[from]
		}
	}
	permute(0)
}

// TestSimultaneousEndsGiveOneFinalAnswer processes the ends of both calls of a query, the client's disconnect and the hard
// deadline in one step, in each order, for each outcome of the calls and both indexes. There must be either one reply or
// one counted disconnect. After that, no call of the query may be sent and none of its state may remain.
func TestSimultaneousEndsGiveOneFinalAnswer(t *testing.T) {
	outcomes := []policy.Outcome{policy.Answered, policy.Errored, policy.Rejected, policy.TimedOut, policy.NotConnected, policy.Broken, policy.Canceled, policy.NotSent}
	for index := range policy.IndexID(2) {
		for _, first := range outcomes {
			for _, second := range outcomes {
				for _, late := range []time.Duration{0, 3 * time.Second} { // with 3 s the query's timeout has passed, and timers follow the events
					permutations(3, func(order []int) {
						r := newFixture(nil)
						e := r.queryEvent("aa", index, 2)
						r.process(e)
						if len(r.sent) != 2 {
							t.Fatalf("sent %+v", r.sent)
						}
						ends := []Event{r.sent[0].ended(first, "one"), r.sent[1].ended(second, "two"),
							{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: e.ClientQuery}}
						r.now = r.now.Add(late)
						r.process(ends[order[0]], ends[order[1]], ends[order[2]])
						description := fmt.Sprintf("index %d, outcomes %d and %d, order %v, %s late", index, first, second, order, late)
						sent := len(r.sent)
						for i := range 40 {
							for _, c := range r.sent[2:] { // calls of subqueries that were sent again before the disconnect was processed
								if _, inFlight := r.inFlight[callKey{c.Subquery, c.Number}]; inFlight {
									r.process(c.ended(policy.Canceled, ""))
								}
							}
							r.now = r.now.Add(100 * time.Millisecond)
							r.process(Event{Event: policy.Event{Kind: policy.CallEnded, Subquery: 1 << 40, Call: policy.CallNumber(i)}})
						}
						if len(r.sent) != sent {
							t.Fatalf("%s: %d calls were sent after the end of the query", description, len(r.sent)-sent)
						}
						answers := len(e.ClientQuery.Done)
						gone := int(r.counters.Get("lookups", "gone"))
						if answers+gone != 1 {
							t.Fatalf("%s: %d replies, counter gone %d, want a sum of 1", description, answers, gone)
						}
						r.checkCounters(t, map[string]int64{"taken": 1, "held": 0})
						if len(r.queries)+len(r.byClientID)+len(r.subqueries)+len(r.inFlight) != 0 {
							t.Fatalf("%s: remaining queries %v, client IDs %v, subqueries %v, calls %v", description, r.queries, r.byClientID, r.subqueries, r.inFlight)
						}
					})
				}
			}
		}
	}
}

// TestNothingIsSentForADisconnectedClient disconnects clients whose queries wait in the inbox or for capacity of a backend.
// No call of such a query may be sent, then or later.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	r := newFixture(func(s *settings.Settings) { s.Rules.SlowStartShare = 0.2 })
	e := r.queryEvent("aa", 0, 4)
	r.process(e, Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: e.ClientQuery})
	if len(r.sent) != 0 {
		t.Fatalf("sent %+v", r.sent)
	}
	// All backends have just started, so slow start limits their calls: of many queries, some have to wait.
	list := Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}, Addresses: make([]string, 8)}
	for i := range 8 {
		list.Entries = append(list.Entries, policy.Entry{Backend: policy.BackendID(i + 20), Cell: policy.CellID(i % 4), StartedAt: r.policyTime(r.now)})
	}
	r.process(list)
	var queries []Event
	for i := range 300 {
		queries = append(queries, r.queryEvent(fmt.Sprint("c", i), 0, 4))
	}
	r.process(queries...)
	started := map[*Query]bool{}
	for _, c := range r.sent {
		started[c.Query] = true
	}
	waiting := 0
	var disconnects []Event
	for _, e := range queries {
		if !started[e.ClientQuery] && len(e.ClientQuery.Done) == 0 {
			waiting++
			disconnects = append(disconnects, Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: e.ClientQuery})
		}
	}
	if waiting == 0 {
		t.Fatalf("none of %d queries waits for capacity", len(queries))
	}
	r.process(disconnects...)
	sent := len(r.sent)
	for i := 0; i < len(r.sent); i++ { // end all sent calls to free capacity
		r.process(r.sent[i].ended(policy.Answered, "v"))
	}
	for _, c := range r.sent[sent:] {
		if !started[c.Query] {
			t.Fatalf("query %s was sent after its client had disconnected", c.Query.ID)
		}
	}
}
