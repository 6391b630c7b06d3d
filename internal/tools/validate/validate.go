// Package validate compares the planner's predictions with measurements. It runs each scenario twice: through the emulation of
// package plan, and with real aggregators and fake backends, clients and register on local sockets. It reports the predicted
// and the measured figures with their relative errors, but does not judge them. The plan validate command calls it.
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

// Scenario is a deployment and a workload to predict and to measure.
type Scenario struct {
	Name     string
	Site     plan.Site
	Workload plan.Workload
	HeldOut  bool    // drawn from a seed that was not used in tuning the planner
	Seconds  float64 // duration of the measurement
}

// Figure is a predicted figure with its measurement.
type Figure struct {
	Name      string  `json:"Name"`
	Predicted float64 `json:"Predicted"`
	Measured  float64 `json:"Happened"`
	Error     float64 `json:"Error"` // relative error of the prediction; positive if it is too high
}

// Result contains the figures of a scenario.
type Result struct {
	Scenario string   `json:"Setting"`
	HeldOut  bool     `json:"Blind"`
	Figures  []Figure `json:"Figures"`
	MaxError float64  `json:"Worst"`
}

// loopbackNetworkDelay is the one-way delay in seconds that the loopback interface, the kernel's timers and the client side
// add to a call or a query. It was measured with one query at a time on an idle machine.
const loopbackNetworkDelay = 0.0002

// predictionQueries is the number of queries in the emulation of a scenario. With fewer, the p99 at high load varies between
// seeds by more than the allowed error.
const predictionQueries = 12000

// uniformWorkQuantiles describes the service times of the fake backends: uniform from half to one and a half times the mean.
var uniformWorkQuantiles = []float64{0.5, 1.5}

// Scenarios returns the fixed scenarios and the given number of scenarios that are drawn from the seed.
func Scenarios(drawn int, seed uint64, seconds float64) (list []Scenario) {
	add := func(name string, change func(*Scenario)) {
		scenario := baseScenario(name, seconds)
		change(&scenario)
		list = append(list, scenario)
	}
	// The capacity of six backends with four cores is 2,400 subqueries of 10 ms per second: about 630 queries of 3.8
	// subqueries.
	add("low load", func(s *Scenario) { s.Workload.QueriesPerSecond = 60 })
	add("half load", func(s *Scenario) { s.Workload.QueriesPerSecond = 310 })
	add("high load", func(s *Scenario) { s.Workload.QueriesPerSecond = 500 })
	add("many parts", func(s *Scenario) { s.Workload.QueriesPerSecond = 150; s.Workload.Mix[0].Subqueries = 10 })
	add("popular shards", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 250
		s.Workload.Popularity = make([]float64, 12)
		for i := range s.Workload.Popularity {
			s.Workload.Popularity[i] = 1 / float64(i+1)
		}
	})
	add("all twice as slow", func(s *Scenario) { s.Site = s.Site.Slower(2); s.Workload.QueriesPerSecond = 200 })
	add("once-only alone", func(s *Scenario) {
		s.Workload.Mix = s.Workload.Mix[1:]
		s.Workload.Mix[0].Fraction = 1
		s.Workload.QueriesPerSecond = 400
	})
	add("a location lost", func(s *Scenario) {
		s.Site, _ = s.Site.WithoutLocation("south")
		s.Workload.QueriesPerSecond = 150
	})
	add("high load, popular shards", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 330
		s.Workload.Popularity = make([]float64, 12)
		for i := range s.Workload.Popularity {
			s.Workload.Popularity[i] = 1 / math.Sqrt(float64(i+1))
		}
	})
	add("one part", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 1200
		s.Workload.Mix = s.Workload.Mix[:1]
		s.Workload.Mix[0] = plan.QueryKind{Index: 0, Fraction: 1, Subqueries: 1}
	})
	add("every shard", func(s *Scenario) {
		s.Workload.QueriesPerSecond = 110
		s.Workload.Mix = s.Workload.Mix[:1]
		s.Workload.Mix[0] = plan.QueryKind{Index: 0, Fraction: 1, Subqueries: 12}
	})
	add("four mixers", func(s *Scenario) { s.Workload.QueriesPerSecond = 400; s.Site.Aggregators = 4 })
	add("a location lost under load", func(s *Scenario) {
		s.Site, _ = s.Site.WithoutLocation("south")
		s.Workload.QueriesPerSecond = 260
	})
	add("a location lost with both copies", func(s *Scenario) {
		for i := range s.Site.Backends { // cells 0 to 2 are in north, so both copies of shards 0 and 1 are there
			s.Site.Backends[i].Location = s.Site.Locations[i/3]
		}
		s.Site, _ = s.Site.WithoutLocation("north")
		s.Workload.QueriesPerSecond = 60
	})
	add("too much", func(s *Scenario) { s.Workload.QueriesPerSecond = 850 })
	add("too much, clients come back", func(s *Scenario) { s.Workload.QueriesPerSecond = 750; s.Site.Retries, s.Site.Backoff = 2, 0.1 })
	return append(list, drawnScenarios(drawn, seed, seconds)...)
}

// baseScenario returns the scenario that all others modify.
func baseScenario(name string, seconds float64) Scenario {
	site := plan.Site{Locations: []string{"north", "south"}, Cells: 6, Width: 2, Shards: 12, Aggregators: 2, StepInterval: 0.005, NetworkDelay: loopbackNetworkDelay, MaxAttempts: 3, CallsPerConnection: 100,
		Indexes: []plan.Index{{Name: "reads", Soft: 0.5, Hard: 2, Value: 1, LateValue: 0.1, Work: 0.01, WorkQuantiles: uniformWorkQuantiles, Goal: 0.99},
			{Name: "orders", Effect: policy.AtMostOnce, Soft: 0.5, Hard: 2, Value: 3, LateValue: 0.1, Work: 0.01, WorkQuantiles: uniformWorkQuantiles, Goal: 0.99}}}
	for i := range 6 {
		site.Backends = append(site.Backends, plan.Backend{Name: fmt.Sprint("s-", i+1), Location: site.Locations[i%2], Cell: i, Cores: 4, Speed: 1, Price: 1})
	}
	return Scenario{Name: name, Site: site, Workload: plan.Workload{QueriesPerSecond: 100, Mix: []plan.QueryKind{{Index: 0, Fraction: 0.9, Subqueries: 4}, {Index: 1, Fraction: 0.1, Subqueries: 2}}}, Seconds: seconds}
}

// drawnScenarios draws the given number of scenarios from the seed.
func drawnScenarios(count int, seed uint64, seconds float64) (list []Scenario) {
	state := seed
	unit := func() float64 { // splitmix64
		state += 0x9e3779b97f4a7c15
		z := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		return float64(z^z>>31) / (1 << 64)
	}
	for n := range count {
		scenario := baseScenario(fmt.Sprintf("drawn %d", n+1), seconds)
		scenario.HeldOut = true
		work := 0.005 + 0.02*unit()
		for i := range scenario.Site.Indexes {
			scenario.Site.Indexes[i].Work = work
		}
		cores, subqueries := 2+int(4*unit()), 1+int(7*unit())
		for i := range scenario.Site.Backends {
			scenario.Site.Backends[i].Cores = cores
		}
		scenario.Workload.Mix[0].Subqueries = subqueries
		subqueriesPerQuery := 0.9*float64(subqueries) + 0.1*2
		scenario.Workload.QueriesPerSecond = (0.1 + 0.7*unit()) * float64(6*cores) / work / subqueriesPerQuery
		list = append(list, scenario)
	}
	return list
}

// TimerOverrun is by how much sleeps on this machine last longer than requested, in seconds.
type TimerOverrun struct {
	ConcurrentSleep float64 // mean overrun of concurrent sleeps; fake backends emulate work by sleeping
	SingleSleep     float64 // mean overrun of a single sleep, as between two steps of an aggregator; an idle process rounds its waits up
}

// MeasureTimerOverrun measures the overrun of sleeps. It must be called before the scenarios run, so that the result does not
// depend on the measurements that it corrects.
func MeasureTimerOverrun() TimerOverrun {
	return TimerOverrun{meanSleepOverrun(8), meanSleepOverrun(1)}
}

// meanSleepOverrun returns the mean overrun of sleeps, in seconds, with the given number of goroutines sleeping concurrently.
func meanSleepOverrun(sleepers int) float64 {
	const sleepsPerGoroutine, sleepDuration = 40, 5 * time.Millisecond
	overruns := make(chan time.Duration, sleepers*sleepsPerGoroutine)
	for range sleepers {
		go func() {
			for range sleepsPerGoroutine {
				began := time.Now()
				time.Sleep(sleepDuration)
				overruns <- time.Since(began) - sleepDuration
			}
		}()
	}
	sum := 0.0
	for range sleepers * sleepsPerGoroutine {
		sum += (<-overruns).Seconds()
	}
	return sum / float64(sleepers*sleepsPerGoroutine)
}

// Run predicts and measures a scenario. The prediction takes the timer overrun of this machine into account.
func Run(ctx context.Context, scenario Scenario, overrun TimerOverrun, seed uint64) (result Result, err error) {
	if err := scenario.Site.CheckAfterLoss(); err != nil {
		return result, err
	}
	adjusted := scenario.Site
	adjusted.Indexes = slices.Clone(adjusted.Indexes)
	for i := range adjusted.Indexes { // all backends of a scenario have the same speed
		adjusted.Indexes[i].Work += overrun.ConcurrentSleep * adjusted.Backends[0].Speed
	}
	adjusted.StepInterval += overrun.SingleSleep
	predicted := plan.Emulate(&adjusted, &scenario.Workload, seed, predictionQueries)
	measured, err := runOnSockets(ctx, scenario)
	if err != nil {
		return result, err
	}
	result = Result{Scenario: scenario.Name, HeldOut: scenario.HeldOut}
	add := func(name string, predicted, observed float64) {
		relativeError := 0.0
		if observed != predicted {
			relativeError = (predicted - observed) / math.Max(observed, 1e-9)
		}
		result.Figures = append(result.Figures, Figure{name, predicted, observed, relativeError})
		result.MaxError = math.Max(result.MaxError, math.Abs(relativeError))
	}
	answered := float64(measured.Satisfied) / float64(max(1, measured.Sent))
	add("satisfied", 1-predicted.Nacked-predicted.Aborted, answered)
	add("gain in time", predicted.ValueShare, measured.Value)
	add("p50 ms", 1000*predicted.P50, float64(measured.P50.Microseconds())/1000)
	add("p99 ms", 1000*predicted.P99, float64(measured.P99.Microseconds())/1000)
	return result, nil
}

// runOnSockets measures a scenario on local sockets, with real aggregators and fake backends, clients and register.
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
		serviceTime := time.Duration(scenario.Site.Indexes[0].Work / described.Speed * float64(time.Second))
		backend, err := fakes.NewBackend(described.Name, described.Location, described.Cell, described.Cores, serviceTime)
		if err != nil {
			return tally, err
		}
		defer backend.Kill()
		register.Set(backend.Entry("SERVING", true))
	}
	load := &fakes.Load{Site: site, QueriesPerSecond: scenario.Workload.QueriesPerSecond, ShardWeights: scenario.Workload.Popularity, Retries: scenario.Site.Retries, MinBackoff: time.Duration(scenario.Site.Backoff * float64(time.Second))}
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
		aggregator, err := node.StartText(ctx, site.Config(fmt.Sprint("n", i+1), address, register, i), operatorfile.Defaults(), zap.NewNop(), counters.New())
		if err != nil {
			return tally, err
		}
		defer aggregator.Stop()
		load.Aggregators = append(load.Aggregators, address)
	}
	load.Run(ctx)
	wait := func(seconds float64) {
		select {
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		case <-ctx.Done():
		}
	}
	wait(2) // let the aggregators learn windows and latencies
	load.TakeStats()
	wait(scenario.Seconds)
	tally = load.TakeStats()
	load.Stop()
	remainder := load.TakeStats() // queries that were pending at the end
	// The pending queries are few, and their value is ignored.
	tally.Add(remainder)
	tally.Sent = tally.Satisfied + tally.Nacked + tally.Aborted + tally.Lost
	return tally, ctx.Err()
}

// Print writes a table of the results, in the given order.
func Print(out io.Writer, results []Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SETTING\tFIGURE\tPREDICTED\tHAPPENED\tERROR")
	for _, result := range results {
		for _, figure := range result.Figures {
			fmt.Fprintf(w, "%s\t%s\t%.3g\t%.3g\t%+.1f%%\n", result.Scenario, figure.Name, figure.Predicted, figure.Measured, 100*figure.Error)
		}
	}
	w.Flush()
}
