package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/policy"
)

func testSite(backends, cores int) Site {
	site := Site{Locations: []string{"north", "south"}, Cells: backends, Width: 2, Shards: 2 * backends, Aggregators: 2, StepInterval: 0.005, NetworkDelay: 0.0002, MaxAttempts: 3,
		Indexes: []Index{{Name: "reads", Soft: 0.5, Hard: 2, Value: 1, LateValue: 0.1, Work: 0.01, WorkSCV: 0.3, Goal: 0.98}}}
	for i := range backends {
		site.Backends = append(site.Backends, Backend{Name: fmt.Sprint("s-", i), Location: site.Locations[i%2], Cell: i, Cores: cores, Speed: 1, Price: 1})
	}
	return site
}

func testWorkload(queriesPerSecond float64, subqueries int) Workload {
	return Workload{QueriesPerSecond: queriesPerSecond, Mix: []QueryKind{{0, 1, subqueries}}}
}

func TestCheckReportsMistakes(t *testing.T) {
	for want, change := range map[string]func(*Site){
		"shard 0 has no holder: put a searcher into one of the cells 0 to 1": func(site *Site) { site.Backends = site.Backends[2:5] },
		`"s-1" is named twice`:           func(site *Site) { site.Backends[2].Name = "s-1" },
		`stands at "west": expected`:     func(site *Site) { site.Backends[2].Location = "west" },
		"0 cores":                        func(site *Site) { site.Backends[2].Cores = 0 },
		"cell 9: expected 0 to 5":        func(site *Site) { site.Backends[2].Cell = 9 },
		"goal of 99":                     func(site *Site) { site.Indexes[0].Goal = 99 },
		"is it in milliseconds?":         func(site *Site) { site.Indexes[0].Work = 10 },
		"2000 s: times are seconds, is":  func(site *Site) { site.Indexes[0].Hard = 2000 },
		"read it from a capture":         func(site *Site) { site.Indexes[0].Work = 0 },
		"expected two quantiles or more": func(site *Site) { site.Indexes[0].WorkQuantiles = []float64{2, 1} },
		"a width of no more than":        func(site *Site) { site.Width = 9 },
	} {
		site := testSite(6, 4)
		change(&site)
		if err := site.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	site, workload := testSite(6, 4), testWorkload(10, 99)
	if err := workload.Check(&site); err == nil || !strings.Contains(err.Error(), "1 to 12 parts") {
		t.Errorf("got %v", err)
	}
	if workload = testWorkload(10, 2); workload.Check(&site) != nil || site.Check() != nil {
		t.Error("a valid site and workload are rejected")
	}
	workload.Popularity = make([]float64, 5)
	if err := workload.Check(&site); err == nil || !strings.Contains(err.Error(), "asks for 5 shards, the fleet holds 12") {
		t.Errorf("got %v", err)
	}
}

// Compares the emulation with closed formulas for the utilization, the latency of one subquery and an overload.
func TestEmulationMatchesQueueingFormulas(t *testing.T) {
	site := testSite(6, 4)
	workload := testWorkload(100, 4)
	outcome := Emulate(&site, &workload, 1, 0)
	if again := Emulate(&site, &workload, 1, 0); !reflect.DeepEqual(outcome, again) {
		t.Fatal("two emulations with the same seed differ")
	}
	if outcome.ValueShare < 0.99 || outcome.Nacked+outcome.Aborted > 0 || outcome.AttemptsPerQuery < 1 {
		t.Fatalf("at low load the outcome is %+v, expected all queries answered in time", outcome)
	}
	use := 0.0 // 100 queries per second with 4 subqueries of 10 ms on 24 cores
	for _, backendUse := range outcome.Utilization {
		use += backendUse / 6
	}
	if want := 100 * 4 * 0.01 / 24; math.Abs(use-want) > 0.05*want {
		t.Errorf("utilization is %.4f, expected %.4f", use, want)
	}
	// Without contention, a query with one subquery takes its work, two network delays, and at most two step intervals.
	singleSubquery := testWorkload(5, 1)
	site.Indexes[0].WorkSCV = 0
	if outcome := Emulate(&site, &singleSubquery, 2, 500); outcome.P50 < 0.0104 || outcome.P50 > 0.0104+2*site.StepInterval {
		t.Errorf("a query with one subquery of 10 ms takes %.4f s", outcome.P50)
	}
	// At twice the capacity, at most about half of the queries are answered, and most of that half.
	overload := testWorkload(1200, 4) // the capacity is 600 queries per second
	outcome = Emulate(&site, &overload, 3, 4000)
	if answered := 1 - outcome.Nacked - outcome.Aborted; answered > 0.56 || answered < 0.3 {
		t.Errorf("at twice the capacity, a share of %.2f is answered", answered)
	}
	if limits := outcome.Limits(&site); limits[0].Resource != "cores" || limits[0].Margin > 1.15 {
		t.Errorf("nearest limit is %+v, expected cores with a margin of at most 1.15", limits[0])
	}
	remaining, lostShards := site.WithoutLocation("south")
	if len(remaining.Backends) != 3 || len(lostShards) != 0 {
		t.Errorf("without location south: %d backends, lost shards %v; expected 3 backends and no lost shard", len(remaining.Backends), lostShards)
	}
	unbalanced := testSite(6, 4)
	unbalanced.Backends[1].Location, unbalanced.Backends[0].Location = "south", "south"
	if _, lostShards := unbalanced.WithoutLocation("south"); !slices.Contains(lostShards, 0) {
		t.Errorf("both copies of shard 0 are in location south, but the lost shards are %v", lostShards)
	}
}

func TestBreakingLoadIsBelowCapacityAndGrowsWithCores(t *testing.T) {
	site, workload := testSite(4, 2), testWorkload(50, 2)
	breaking, err := FindBreakingLoad(&site, &workload, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	capacity := 4 * 2 / 0.01 / 2.0 // 400 queries per second
	if breaking.QueriesPerSecond < 0.5*capacity || breaking.QueriesPerSecond > 1.05*capacity || breaking.LowestFailing/breaking.QueriesPerSecond > 1+bracketTolerance+0.01 || breaking.Index == "" || breaking.NearestLimit.Resource != "cores" {
		t.Fatalf("breaking load is %+v, capacity is %g", breaking, capacity)
	}
	if raceflag.Enabled { // the emulation starts no goroutines, so there is nothing for the race detector to find
		return
	}
	larger := testSite(4, 4)
	if more, err := FindBreakingLoad(&larger, &workload, 1, nil); err != nil || more.QueriesPerSecond < 1.6*breaking.QueriesPerSecond {
		t.Fatalf("with twice the cores the breaking load is %g, against %g before; error %v", more.QueriesPerSecond, breaking.QueriesPerSecond, err)
	}
	site.Indexes[0].Goal = 0
	if _, err := FindBreakingLoad(&site, &workload, 1, nil); err == nil {
		t.Fatal("a site without goals has a breaking load")
	}
}

// cheapestByBruteForce returns the price of the cheapest purchase by trying all of them.
func cheapestByBruteForce(offers []Offer, demand float64, spare int) (best float64) {
	best = math.Inf(1)
	counts := make([]int, len(offers))
	for {
		price := 0.0
		for i, n := range counts {
			price += float64(n) * offers[i].Price
		}
		if price < best && sustains(offers, counts, demand, spare) {
			best = price
		}
		i := 0
		for ; i < len(counts) && counts[i] == offers[i].Max; i++ {
			counts[i] = 0
		}
		if i == len(counts) {
			return best
		}
		counts[i]++
	}
}

func TestCheapestPurchaseMatchesExhaustiveSearch(t *testing.T) {
	sum, worst, n := 0.0, 1.0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 8))
		var offers []Offer
		for i := range 2 + rng.IntN(3) {
			offers = append(offers, Offer{fmt.Sprint("l-", i), 1 + 3*rng.Float64(), 1 + 3*rng.Float64(), 4 + rng.IntN(5)})
		}
		demand, spare := 1+8*rng.Float64(), rng.IntN(3)
		got, err := CheapestPurchase(offers, demand, spare)
		want := cheapestByBruteForce(offers, demand, spare)
		if math.IsInf(want, 1) != (err != nil) {
			t.Fatalf("seed %d: got error %v, the optimal price is %g", seed, err, want)
		}
		if err != nil {
			continue
		}
		if math.Abs(got.Price-want) > 1e-9 || !sustains(offers, got.Counts, demand, spare) {
			t.Fatalf("seed %d: got %+v, the optimal price is %g", seed, got, want)
		}
		approximate := greedyPurchase(offers, demand, spare)
		if !sustains(offers, approximate.Counts, demand, spare) || approximate.Price < want-1e-9 || priceLowerBound(offers, demand) > want+1e-9 {
			t.Fatalf("seed %d: greedy purchase %+v, lower bound %g, the optimal price is %g", seed, approximate, priceLowerBound(offers, demand), want)
		}
		sum, worst, n = sum+approximate.Price/want, max(worst, approximate.Price/want), n+1
	}
	t.Logf("greedy price divided by the optimal price: mean %.3f, worst %.3f, over %d cases", sum/float64(n), worst, n)
	if sum/float64(n) > 1.1 {
		t.Errorf("greedy price is %.3f of the optimal price in the mean, expected at most 1.1", sum/float64(n))
	}
	if _, err := CheapestPurchase([]Offer{{"a", 1, 1, 5}}, 1, 0); err == nil {
		t.Error("a single location is accepted, although its loss leaves no backend")
	}
	var large []Offer
	for i := range 12 {
		large = append(large, Offer{fmt.Sprint("l-", i), 1 + float64(i%3), 8, 100})
	}
	if purchase, err := CheapestPurchase(large, 3000, 4); err != nil || purchase.Price > 1.5*purchase.Bound {
		t.Errorf("got %+v, %v", purchase, err)
	}
}

// optimalUtilizationByBruteForce returns the lowest possible maximum utilization with two copies of each shard, by trying all
// placements.
func optimalUtilizationByBruteForce(site *Site, load []float64) float64 {
	best := math.Inf(1)
	used := make([]float64, len(site.Backends))
	var placeFrom func(shard int)
	placeFrom = func(shard int) {
		if shard == len(load) {
			highest := 0.0
			for i, backendLoad := range used {
				highest = max(highest, backendLoad/float64(site.Backends[i].Cores))
			}
			best = min(best, highest)
			return
		}
		for i := range site.Backends {
			for j := range i {
				if site.Backends[i].Location != site.Backends[j].Location {
					used[i], used[j] = used[i]+load[shard]/2, used[j]+load[shard]/2
					placeFrom(shard + 1)
					used[i], used[j] = used[i]-load[shard]/2, used[j]-load[shard]/2
				}
			}
		}
	}
	placeFrom(0)
	return best
}

func TestPlacementIsNearTheOptimum(t *testing.T) {
	worst := 1.0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		site := testSite(4, 1)
		for i := range site.Backends {
			site.Backends[i].Cores = 1 + rng.IntN(3)
		}
		load := make([]float64, 5)
		for shard := range load {
			load[shard] = 0.1 + rng.Float64()
		}
		placement, err := Place(&site, load, 2, nil)
		if err != nil {
			t.Fatal(err)
		}
		best := optimalUtilizationByBruteForce(&site, load)
		if placement.MaxUtilization < best-1e-9 || placement.Bound > best+1e-9 {
			t.Fatalf("seed %d: maximum utilization %g, bound %g, the optimum is %g", seed, placement.MaxUtilization, placement.Bound, best)
		}
		worst = max(worst, placement.MaxUtilization/best)
		for shard, list := range placement.Copies {
			if len(list) != 2 || site.Backends[list[0]].Location == site.Backends[list[1]].Location {
				t.Fatalf("seed %d: copies of shard %d are on backends %v, expected two in different locations", seed, shard, list)
			}
		}
		again, err := Place(&site, load, 2, placement.Copies)
		if err != nil || again.Moves > 0 && placement.MaxUtilization <= placement.Bound*(1+keepInPlaceTolerance/2) {
			t.Fatalf("seed %d: %d moves from a placement that is near the bound already; error %v", seed, again.Moves, err)
		}
	}
	t.Logf("maximum utilization divided by the optimum is at worst %.3f", worst)
	if worst > 1.35 {
		t.Errorf("maximum utilization divided by the optimum is %.3f, expected at most 1.35", worst)
	}
	site := testSite(4, 1)
	for i := range site.Backends {
		site.Backends[i].Location = "north"
	}
	if _, err := Place(&site, []float64{1}, 2, nil); err == nil {
		t.Error("two copies are accepted with a single location")
	}
}

// The emulation follows the policy's rules for at-most-once indexes: a subquery is not called again after a call that may
// have been executed.
func TestOnceOnlySubqueriesAreNotRetried(t *testing.T) {
	site, workload := testSite(6, 2), testWorkload(400, 3)
	site.Indexes[0].Effect = policy.AtMostOnce
	site.Backends[2].Queue = 2
	outcome := Emulate(&site, &workload, 4, 3000)
	if outcome.CallsPerSubquery > 1.05 {
		t.Fatalf("%.3f calls per subquery, expected at most 1.05", outcome.CallsPerSubquery)
	}
}

// A deployment at a quarter of its capacity recovers from a burst. At one and a half times its capacity it does not, and the
// reported recovery load lies near or below the capacity.
func TestRecoveryAfterBurst(t *testing.T) {
	site, workload := testSite(4, 2), testWorkload(100, 2) // the capacity is 400 queries per second
	site.Retries, site.Backoff = 2, 0.05
	if recovers, recoveryLoad := Recovers(&site, &workload, 3, 1); !recovers || recoveryLoad != workload.QueriesPerSecond {
		t.Errorf("at a quarter of the capacity: recovers %t, recovery load %g", recovers, recoveryLoad)
	}
	if raceflag.Enabled {
		return
	}
	workload = testWorkload(600, 2)
	if recovers, recoveryLoad := Recovers(&site, &workload, 2, 1); recovers || recoveryLoad < 150 || recoveryLoad > 420 {
		t.Errorf("at one and a half times the capacity: recovers %t, recovery load %g", recovers, recoveryLoad)
	}
}

// Drawn work has the mean of its distribution, and lies between the lowest and the highest quantile.
func TestDrawnWorkMatchesItsDistribution(t *testing.T) {
	for _, index := range []Index{{Work: 0.01, WorkQuantiles: []float64{0.5, 1.5}}, {Work: 0.02, WorkQuantiles: []float64{0, 0.5, 0.5, 3}}, {Work: 0.01, WorkSCV: 0.5}} {
		random, sum, want := generator{9}, 0.0, index.Work
		if n := len(index.WorkQuantiles); n > 0 {
			want = 0
			for i := range n - 1 {
				want += index.Work * (index.WorkQuantiles[i] + index.WorkQuantiles[i+1]) / 2 / float64(n-1)
			}
		}
		for range 20000 {
			work := random.drawWork(&index)
			if n := len(index.WorkQuantiles); n > 0 && (work < index.Work*index.WorkQuantiles[0]-1e-12 || work > index.Work*index.WorkQuantiles[n-1]+1e-12) {
				t.Fatalf("quantiles %v: drew %g, which is outside of them", index.WorkQuantiles, work)
			}
			sum += work
		}
		if got := sum / 20000; math.Abs(got-want) > 0.02*want {
			t.Errorf("%+v: the mean is %g, expected %g", index, got, want)
		}
	}
}
