package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// A backend in slow start gets at most N + 3*sqrt(N) + 3 calls from all aggregators together in the overload window, where N is
// the number that the settings allow at that time. Each aggregator knows only its own calls. All learn of the start at the same
// time, and the backend's sibling is removed, so that all subqueries are for this backend. The load is 1.5 times its full
// capacity, as slowStartOfferedLoad assumes. Higher loads are not tested.
func TestSlowStartLimitHoldsOverAllAggregators(t *testing.T) {
	for _, aggregatorCount := range []int{10, 100, 300} {
		for seed := range uint64(3) {
			rng := rand.New(rand.NewPCG(seed, uint64(aggregatorCount)))
			const work, slowStartS, windowS, overloadMultiple, initialShare = 0.02, 8.0, 1.5, 2.0, 0.2
			var aggregators []*Aggregator
			now := 100.0
			for i := range aggregatorCount {
				aggregator := New(Settings{Seed: rng.Uint64(), Self: AggregatorNumber(i), Aggregators: aggregatorCount, StepInterval: 0.005, Layout: Layout{Cells: 1, Width: 1},
					Indexes: []IndexSettings{{Soft: 0.5, Hard: 1, Value: 1, Required: 1, Minimum: 1}},
					Limits:  Limits{Cancel: true, Probe: true, MaxAttempts: 3},
					Rules:   Rules{AnswerSlack: 0.02, SlowStartShare: initialShare, SlowStartS: slowStartS, DrainGrace: 0.25, OverloadMultiple: overloadMultiple, OverloadWindowS: windowS}}, now)
				aggregator.Step(now, []Event{{Kind: ListChanged, List: ListStale, Entries: []Entry{{Backend: 1, StartedAt: now}, {Backend: 2, Phase: Removed}}}}, nil)
				aggregators = append(aggregators, aggregator)
			}
			type end struct {
				at         float64
				aggregator int
				event      Event
			}
			var scheduled []end
			var sent []float64
			nextArrival, lastID := now, uint64(0)
			for start := now; now < start+slowStartS; now += 0.005 {
				events := map[int][]Event{}
				for ; nextArrival < now; nextArrival += rng.ExpFloat64() * work / 1.5 {
					i := rng.IntN(aggregatorCount)
					lastID++
					events[i] = append(events[i], Event{Kind: QueryReceived, Query: QueryID(lastID), QueryNumber: QueryNumber(lastID), Subqueries: 1, Remaining: 1},
						Event{Kind: SubqueryReceived, Subquery: SubqueryID(lastID), QueryNumber: QueryNumber(lastID), Weight: 1, Hint: work})
				}
				remaining := scheduled[:0]
				for _, d := range scheduled {
					if d.at <= now {
						events[d.aggregator] = append(events[d.aggregator], d.event)
					} else {
						remaining = append(remaining, d)
					}
				}
				scheduled = remaining
				for i, aggregator := range aggregators {
					for _, a := range aggregator.Step(now, append(events[i], Event{Kind: TimerDue, Timer: sweepTimer}), nil) {
						switch a.Kind {
						case Send:
							sent = append(sent, now)
							scheduled = append(scheduled, end{now + 0.03, i, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: 0.03}})
						case Probe:
							scheduled = append(scheduled, end{now + 0.01, i, Event{Kind: ProbeEnded, Backend: a.Backend, Elapsed: 0.01}})
						}
					}
				}
				factor := initialShare + (1-initialShare)*(now-start)/slowStartS
				limit := overloadMultiple * factor * windowS / work
				if got := float64(countAfter(sent, now-windowS)); got > limit+3*math.Sqrt(limit)+3 {
					t.Fatalf("%d aggregators, seed %d, %.2f s after the start: %g calls in %g s, expected at most N + 3*sqrt(N) + 3 with N = %.0f", aggregatorCount, seed, now-start, got, windowS, limit)
				}
			}
			if len(sent) < 50 {
				t.Errorf("%d aggregators, seed %d: a backend in slow start got only %d calls, expected at least 50", aggregatorCount, seed, len(sent))
			}
		}
	}
}
