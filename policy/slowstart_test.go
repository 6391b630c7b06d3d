package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Of a cold backend the sum over all aggregators of a fleet stays within N + 3 x root of N + 3 calls of mean work in the stated
// time, N being what the settings allow it then, though each aggregator knows its own alone, the list tells all at once, and its
// sibling is gone, so that all parts are for it. They are half as much again as it can do warm, which slowStartLoad takes for
// granted; what more would do is not guarded.
func TestSlowStartLimitHoldsOverAllAggregators(t *testing.T) {
	for _, fleet := range []int{10, 100, 300} {
		for seed := range uint64(3) {
			rng := rand.New(rand.NewPCG(seed, uint64(fleet)))
			const work, cold, fall, multiple, share = 0.02, 8.0, 1.5, 2.0, 0.2
			var aggregators []*Aggregator
			now := 100.0
			for i := range fleet {
				m := New(Settings{Seed: rng.Uint64(), Self: AggregatorNo(i), Aggregators: fleet, StepInterval: 0.005, Layout: Layout{Cells: 1, Width: 1},
					Indexes: []IndexSettings{{Soft: 0.5, Hard: 1, Value: 1, Required: 1, Minimum: 1}},
					Limits:  Limits{Cancel: true, Probe: true, MaxAttempts: 3},
					Rules:   Rules{AnswerSlack: 0.02, SlowStartShare: share, SlowStartS: cold, DrainGrace: 0.25, OverloadMultiple: multiple, OverloadWindowS: fall}}, now)
				m.Step(now, []Event{{Kind: ListChanged, List: ListStale, Entries: []Entry{{Backend: 1, StartedAt: now}, {Backend: 2, Phase: Removed}}}}, nil)
				aggregators = append(aggregators, m)
			}
			type end struct {
				at         float64
				aggregator int
				event      Event
			}
			var due []end
			var sent []float64
			next, id := now, uint64(0)
			for began := now; now < began+cold; now += 0.005 {
				events := map[int][]Event{}
				for ; next < now; next += rng.ExpFloat64() * work / 1.5 {
					i := rng.IntN(fleet)
					id++
					events[i] = append(events[i], Event{Kind: QueryReceived, Query: QueryID(id), No: QueryNo(id), Subqueries: 1, Remaining: 1},
						Event{Kind: SubqueryReceived, Subquery: SubqueryID(id), No: QueryNo(id), Weight: 1, Hint: work})
				}
				rest := due[:0]
				for _, d := range due {
					if d.at <= now {
						events[d.aggregator] = append(events[d.aggregator], d.event)
					} else {
						rest = append(rest, d)
					}
				}
				due = rest
				for i, m := range aggregators {
					for _, a := range m.Step(now, append(events[i], Event{Kind: TimerDue, Timer: sweepTimer}), nil) {
						switch a.Kind {
						case Send:
							sent = append(sent, now)
							due = append(due, end{now + 0.03, i, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: 0.03}})
						case Probe:
							due = append(due, end{now + 0.01, i, Event{Kind: ProbeEnded, Backend: a.Backend, Elapsed: 0.01}})
						}
					}
				}
				warmth := share + (1-share)*(now-began)/cold
				n := multiple * warmth * fall / work
				if got := float64(after(sent, now-fall)); got > n+3*math.Sqrt(n)+3 {
					t.Fatalf("%d mixers, seed %d, %.2f s after its start: %g calls in %g s, expected at most %.0f + 3 x root + 3", fleet, seed, now-began, got, fall, n)
				}
			}
			if len(sent) < 50 {
				t.Errorf("%d mixers, seed %d: a cold searcher got %d calls in all, it is hardly used", fleet, seed, len(sent))
			}
		}
	}
}
