package aggregator

import (
	"fmt"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/policy"
)

// orders yields each order of n things.
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

// The ends of both calls, the client's disconnect and the hard deadline come in one and the same step, in each order, however the calls end and
// whatever the index allows: there is one final answer, or the client has gone, and nothing of the query goes out after that or stays.
func TestSimultaneousEndsGiveOneFinalAnswer(t *testing.T) {
	outcomes := []policy.Outcome{policy.Answered, policy.Errored, policy.Rejected, policy.TimedOut, policy.NotConnected, policy.Broken, policy.Canceled, policy.NotSent}
	for index := range policy.IndexID(2) {
		for _, first := range outcomes {
			for _, second := range outcomes {
				for _, late := range []time.Duration{0, 3 * time.Second} { // past the wait: its timers come behind
					permutations(3, func(order []int) {
						r := newFixture(nil)
						e := r.query("aa", index, 2)
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
							for _, c := range r.sent[2:] { // a subquery that went again before its client was known to have left
								if _, inFlight := r.inFlight[callKey{c.Subquery, c.Number}]; inFlight {
									r.process(c.ended(policy.Canceled, ""))
								}
							}
							r.now = r.now.Add(100 * time.Millisecond)
							r.process(Event{Event: policy.Event{Kind: policy.CallEnded, Subquery: 1 << 40, Call: policy.CallNo(i)}})
						}
						if len(r.sent) != sent {
							t.Fatalf("%s: %d calls after its end", description, len(r.sent)-sent)
						}
						answers := len(e.ClientQuery.Done)
						gone := int(r.counters.Get("lookups", "gone"))
						if answers+gone != 1 {
							t.Fatalf("%s: %d answers, gone %d", description, answers, gone)
						}
						r.checkCounters(t, map[string]int64{"taken": 1, "held": 0})
						if len(r.queries)+len(r.byClientID)+len(r.subqueries)+len(r.inFlight) != 0 {
							t.Fatalf("%s: left are %v %v %v %v", description, r.queries, r.byClientID, r.subqueries, r.inFlight)
						}
					})
				}
			}
		}
	}
}

// A client that left while its query waited in the queue, or for a backend to have room: nothing of it is sent, neither then nor later.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	r := newFixture(func(s *settings.Settings) { s.Rules.SlowStartShare = 0.2 })
	e := r.query("aa", 0, 4)
	r.process(e, Event{Event: policy.Event{Kind: policy.ClientDisconnected}, ClientQuery: e.ClientQuery})
	if len(r.sent) != 0 {
		t.Fatalf("sent %+v", r.sent)
	}
	// All backends start anew and are cold: of many queries some wait until they may take more.
	list := Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}, Addresses: make([]string, 8)}
	for i := range 8 {
		list.Entries = append(list.Entries, policy.Entry{Backend: policy.BackendID(i + 20), Cell: policy.CellID(i % 4), StartedAt: r.policyTime(r.now)})
	}
	r.process(list)
	var queries []Event
	for i := range 300 {
		queries = append(queries, r.query(fmt.Sprint("c", i), 0, 4))
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
		t.Fatalf("none of %d lookups waits", len(queries))
	}
	r.process(disconnects...)
	sent := len(r.sent)
	for i := 0; i < len(r.sent); i++ { // all that is out ends, so that there is room
		r.process(r.sent[i].ended(policy.Answered, "v"))
	}
	for _, c := range r.sent[sent:] {
		if !started[c.Query] {
			t.Fatalf("lookup %s went out after its client had left", c.Query.ID)
		}
	}
}
