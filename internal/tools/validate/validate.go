// Package validate compares the planner's predictions with measurements: it plays settings through real aggregators against fake backends with
// known limits, and shows what was predicted, what happened and the error side by side. It decides nothing.
package validate

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/node"
	"puffinlink.example/puffinlink/internal/fakes"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
	"puffinlink.example/puffinlink/internal/tools/plan"
	"puffinlink.example/puffinlink/policy"
)

// Scenario is one that is played.
type Scenario struct {
	Name     string
	Site     plan.Site
	Workload plan.Workload
	Blind    bool // drawn by a seed that was never looked at while tuning
	Seconds  float64
}

// Figure is one that is predicted and happens.
type Figure struct {
	Name      string  `json:"Name"`
	Predicted float64 `json:"Predicted"`
	Measured  float64 `json:"Happened"`
	Error     float64 `json:"Error"` // of the prediction, against what happened
}

// Result is what came of a setting.
type Result struct {
	Scenario string   `json:"Setting"`
	Blind    bool     `json:"Blind"`
	Figures  []Figure `json:"Figures"`
	Worst    float64  `json:"Worst"`
}

// loopbackDelay is what loopback, the kernel's timers and the clients' side add to each way of a part call and of a query, seconds:
// measured by one query at a time on an idle machine.
const loopbackDelay = 0.0002

// predictionQueries is how many queries a prediction rests on: at high load a p99 of fewer differs from seed to seed by more than it is
// held to.
const predictionQueries = 12000

// uniformShape is the shape of the stand-ins' service times, from half to one and a half of their mean.
var uniformShape = []float64{0.5, 1.5}

// Scenarios are the ones that are always played, and so many that a seed draws.
func Scenarios(blind int, seed uint64, seconds float64) (list []Scenario) {
	add := func(name string, change func(*Scenario)) {
		scenario := baseScenario(name, seconds)
		change(&scenario)
		list = append(list, scenario)
	}
	// Six backends of four cores and 10 ms a part bear 2,400 parts a second: some 630 queries of 3.8 parts.
	add("low load", func(s *Scenario) { s.Workload.QueriesPerSecond = 60 })
	add("half load", func(s *Scenario) { s.Workload.QueriesPerSecond = 310 })
	add("high load", func(s *Scenario) { s.Workload.QueriesPerSecond = 500 })
	add("many parts", func(s *Scenario) { s.Workload.QueriesPerSecond = 150; s.Workload.Mix[0].Subqueries = 10 })
	add("popular shards", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 250
		s.Workload.Popular = make([]float64, 12)
		for i := range s.Workload.Popular {
			s.Workload.Popular[i] = 1 / float64(i+1)
		}
	})
	add("all twice as slow", func(s *Scenario) { s.Site = s.Site.Slower(2); s.Workload.QueriesPerSecond = 200 })
	add("once-only alone", func(s *Scenario) {
		s.Workload.Mix = s.Workload.Mix[1:]
		s.Workload.Mix[0].Fraction = 1
		s.Workload.QueriesPerSecond = 400
	})
	add("a location lost", func(s *Scenario) {
		s.Site, _ = s.Site.Without("south")
		s.Workload.QueriesPerSecond = 150
	})
	add("high load, popular shards", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 330
		s.Workload.Popular = make([]float64, 12)
		for i := range s.Workload.Popular {
			s.Workload.Popular[i] = 1 / math.Sqrt(float64(i+1))
		}
	})
	add("one part", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 1200
		s.Workload.Mix = s.Workload.Mix[:1]
		s.Workload.Mix[0] = plan.Share{Index: 0, Fraction: 1, Subqueries: 1}
	})
	add("every shard", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 110
		s.Workload.Mix = s.Workload.Mix[:1]
		s.Workload.Mix[0] = plan.Share{Index: 0, Fraction: 1, Subqueries: 12}
	})
	add("four mixers", func(s *Scenario) { s.Workload.QueriesPerSecond = 400; s.Site.Aggregators = 4 })
	add("a location lost under load", func(s *Scenario) {
		s.Site, _ = s.Site.Without("south")
		s.Workload.QueriesPerSecond = 260
	})
	add("a location lost with both copies", func(s *Scenario) {
		for i := range s.Site.Backends { // cells 0 to 2 stand in north: shards 0 and 1 have both copies there
			s.Site.Backends[i].Location = s.Site.Locations[i/3]
		}
		s.Site, _ = s.Site.Without("north")
		s.Workload.QueriesPerSecond = 60
	})
	add("too much", func(s *Scenario) { s.Workload.QueriesPerSecond = 850 })
	add("too much, clients come back", func(s *Scenario) { s.Workload.QueriesPerSecond = 750; s.Site.Retries, s.Site.Backoff = 2, 0.1 })
	return append(list, drawnScenarios(blind, seed, seconds)...)
}

// baseScenario is the one that all others change.
func baseScenario(name string, seconds float64) Scenario {
	site := plan.Site{Locations: []string{"north", "south"}, Cells: 6, Width: 2, Shards: 12, Aggregators: 2, Step: 0.005, Network: loopbackDelay, MaxAttempts: 3, Multiplex: 100,
		Indexes: []plan.Index{{Name: "reads", Soft: 0.5, Hard: 2, Value: 1, LateValue: 0.1, Work: 0.01, Shape: uniformShape, Goal: 0.99},
			{Name: "orders", Effect: policy.AtMostOnce, Soft: 0.5, Hard: 2, Value: 3, LateValue: 0.1, Work: 0.01, Shape: uniformShape, Goal: 0.99}}}
	for i := range 6 {
		site.Backends = append(site.Backends, plan.Backend{Name: fmt.Sprint("s-", i+1), Location: site.Locations[i%2], Cell: i, Cores: 4, Speed: 1, Price: 1})
	}
	return Scenario{Name: name, Site: site, Workload: plan.Workload{QueriesPerSecond: 100, Mix: []plan.Share{{Index: 0, Fraction: 0.9, Subqueries: 4}, {Index: 1, Fraction: 0.1, Subqueries: 2}}}, Seconds: seconds}
}

// drawnScenarios are so many that a seed draws.
func drawnScenarios(count int, seed uint64, seconds float64) (list []Scenario) {
	state := seed
	unit := func() float64 { // splitmix64
		state += 0x9e3779b97f4a7c15
		z := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		return float64(z^z>>31) / (1 << 64)
	}
	for n := range count {
		s := baseScenario(fmt.Sprintf("drawn %d", n+1), seconds)
		s.Blind = true
		work := 0.005 + 0.02*unit()
		for i := range s.Site.Indexes {
			s.Site.Indexes[i].Work = work
		}
		cores, parts := 2+int(4*unit()), 1+int(7*unit())
		for i := range s.Site.Backends {
			s.Site.Backends[i].Cores = cores
		}
		s.Workload.Mix[0].Subqueries = parts
		subqueriesPerQuery := 0.9*float64(parts) + 0.1*2
		s.Workload.QueriesPerSecond = (0.1 + 0.7*unit()) * float64(6*cores) / work / subqueriesPerQuery
		list = append(list, s)
	}
	return list
}

// TimerOverrun is what timers do on this machine, seconds.
type TimerOverrun struct {
	Work float64 // by how much a sleep beside others overruns: stand-ins work by sleeping
	Step float64 // by how much one alone does, as an aggregator's wait between two steps: an idle process rounds its waits up
}

// MeasureTimers times some sleeps, before anything is played: what it finds is no fit to what is predicted.
func MeasureTimers() TimerOverrun { return TimerOverrun{meanSleepOverrun(8), meanSleepOverrun(1)} }

func meanSleepOverrun(sleepers int) float64 {
	const times, long = 40, 5 * time.Millisecond
	over := make(chan time.Duration, sleepers*times)
	for range sleepers {
		go func() {
			for range times {
				began := time.Now()
				time.Sleep(long)
				over <- time.Since(began) - long
			}
		}()
	}
	sum := 0.0
	for range sleepers * times {
		sum += (<-over).Seconds()
	}
	return sum / float64(sleepers*times)
}

// Run plays one setting, predicted and on sockets.
func Run(ctx context.Context, scenario Scenario, overrun TimerOverrun, seed uint64) (r Result, err error) {
	if err := scenario.Site.CheckLost(); err != nil {
		return r, err
	}
	adjusted := scenario.Site
	adjusted.Indexes = slices.Clone(adjusted.Indexes)
	for i := range adjusted.Indexes { // all backends of a setting are of one speed
		adjusted.Indexes[i].Work += overrun.Work * adjusted.Backends[0].Speed
	}
	adjusted.Step += overrun.Step
	predicted := plan.Emulate(&adjusted, &scenario.Workload, seed, predictionQueries)
	measured, err := runOnSockets(ctx, scenario)
	if err != nil {
		return r, err
	}
	r = Result{Scenario: scenario.Name, Blind: scenario.Blind}
	add := func(name string, predicted, happened float64) {
		relativeError := 0.0
		if happened != predicted {
			relativeError = (predicted - happened) / math.Max(happened, 1e-9)
		}
		r.Figures = append(r.Figures, Figure{name, predicted, happened, relativeError})
		r.Worst = math.Max(r.Worst, math.Abs(relativeError))
	}
	answered := float64(measured.Satisfied) / float64(max(1, measured.Sent))
	add("satisfied", 1-predicted.Nacked-predicted.Aborted, answered)
	add("gain in time", predicted.ValueShare, measured.Value)
	add("p50 ms", 1000*predicted.P50, float64(measured.P50.Microseconds())/1000)
	add("p99 ms", 1000*predicted.P99, float64(measured.P99.Microseconds())/1000)
	return r, nil
}

// runOnSockets plays a setting on sockets: real aggregators, stand-ins for the rest.
func runOnSockets(ctx context.Context, scenario Scenario) (tally fakes.QueryStats, err error) {
	site := fakes.Site{Zones: scenario.Site.Locations, Cells: scenario.Site.Cells, CellsPerShard: scenario.Site.Width, Shards: scenario.Site.Shards, Aggregators: scenario.Site.Aggregators}
	effects := map[policy.Effect]string{policy.Idempotent: "repeatable", policy.Deduplicated: "by_key", policy.AtMostOnce: "once"}
	for _, index := range scenario.Site.Indexes {
		site.Indexes = append(site.Indexes, fakes.Index{Name: index.Name, Effect: effects[index.Effect], SoftDeadlineSeconds: index.Soft, HardDeadlineSeconds: index.Hard, Value: index.Value})
	}
	register, err := fakes.NewRegistry()
	if err != nil {
		return tally, err
	}
	defer register.Close()
	for _, described := range scenario.Site.Backends {
		service := time.Duration(scenario.Site.Indexes[0].Work / described.Speed * float64(time.Second))
		backend, err := fakes.NewBackend(described.Name, described.Location, described.Cell, described.Cores, service)
		if err != nil {
			return tally, err
		}
		defer backend.Kill()
		register.Set(backend.Entry("SERVING", true))
	}
	load := &fakes.Load{Site: site, QueriesPerSecond: scenario.Workload.QueriesPerSecond, ShardWeights: scenario.Workload.Popular, Retries: scenario.Site.Retries, MinBackoff: time.Duration(scenario.Site.Backoff * float64(time.Second))}
	for _, mix := range scenario.Workload.Mix {
		index := scenario.Site.Indexes[mix.Index]
		load.Mixes = append(load.Mixes, fakes.Mix{Index: index.Name, Share: mix.Fraction, Subqueries: mix.Subqueries, Deadline: time.Duration(index.Hard * float64(time.Second)),
			SoftDeadline: time.Duration(index.Soft * float64(time.Second)), Value: index.Value})
	}
	for i := range scenario.Site.Aggregators {
		address, err := fakes.FreeAddress()
		if err != nil {
			return tally, err
		}
		n, err := node.StartText(ctx, site.Config(fmt.Sprint("n", i+1), address, register, i), operatorfile.Defaults(), zap.NewNop(), counters.New())
		if err != nil {
			return tally, err
		}
		defer n.Stop()
		load.Aggregators = append(load.Aggregators, address)
	}
	load.Run(ctx)
	wait := func(seconds float64) {
		select {
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		case <-ctx.Done():
		}
	}
	wait(2) // windows and latencies are learnt
	load.TakeStats()
	wait(scenario.Seconds)
	tally = load.TakeStats()
	load.Stop()
	remainder := load.TakeStats() // what was due then
	// Queries that were due then are few against the others, and their gain is left out.
	tally.Add(remainder)
	tally.Sent = tally.Satisfied + tally.Nacked + tally.Aborted + tally.Lost
	return tally, ctx.Err()
}

// Print shows results, the worst first among the known and among the drawn ones.
func Print(out io.Writer, results []Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SETTING\tFIGURE\tPREDICTED\tHAPPENED\tERROR")
	for _, r := range results {
		for _, f := range r.Figures {
			fmt.Fprintf(w, "%s\t%s\t%.3g\t%.3g\t%+.1f%%\n", r.Scenario, f.Name, f.Predicted, f.Measured, 100*f.Error)
		}
	}
	w.Flush()
}
