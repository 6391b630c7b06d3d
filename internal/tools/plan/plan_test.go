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
	site := Site{Locations: []string{"north", "south"}, Cells: backends, Width: 2, Shards: 2 * backends, Aggregators: 2, Step: 0.005, Network: 0.0002, MaxAttempts: 3,
		Indexes: []Index{{Name: "reads", Soft: 0.5, Hard: 2, Value: 1, LateValue: 0.1, Work: 0.01, Scv: 0.3, Goal: 0.98}}}
	for i := range backends {
		site.Backends = append(site.Backends, Backend{Name: fmt.Sprint("s-", i), Location: site.Locations[i%2], Cell: i, Cores: cores, Speed: 1, Price: 1})
	}
	return site
}

func testWorkload(queriesPerSecond float64, subqueries int) Workload {
	return Workload{QueriesPerSecond: queriesPerSecond, Mix: []Share{{0, 1, subqueries}}}
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
		"expected two quantiles or more": func(site *Site) { site.Indexes[0].Shape = []float64{2, 1} },
		"a width of no more than":        func(site *Site) { site.Width = 9 },
	} {
		site := testSite(6, 4)
		change(&site)
		if err := site.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	site, a := testSite(6, 4), testWorkload(10, 99)
	if err := a.Check(&site); err == nil || !strings.Contains(err.Error(), "1 to 12 parts") {
		t.Errorf("got %v", err)
	}
	if a = testWorkload(10, 2); a.Check(&site) != nil || site.Check() != nil {
		t.Error("a good fleet is refused")
	}
	a.Popular = make([]float64, 5)
	if err := a.Check(&site); err == nil || !strings.Contains(err.Error(), "asks for 5 shards, the fleet holds 12") {
		t.Errorf("got %v", err)
	}
}

// What the emulation comes to where a formula tells it.
func TestEmulationMatchesFormulas(t *testing.T) {
	site := testSite(6, 4)
	a := testWorkload(100, 4)
	o := Emulate(&site, &a, 1, 0)
	if again := Emulate(&site, &a, 1, 0); !reflect.DeepEqual(o, again) {
		t.Fatal("the same seed gives other figures")
	}
	if o.ValueShare < 0.99 || o.Nacked+o.Aborted > 0 || o.Attempts < 1 {
		t.Fatalf("a low load comes to %+v", o)
	}
	use := 0.0 // 100 queries of 4 parts of 10 ms on 24 cores
	for _, u := range o.Use {
		use += u / 6
	}
	if want := 100 * 4 * 0.01 / 24; math.Abs(use-want) > 0.05*want {
		t.Errorf("use %.4f, expected %.4f", use, want)
	}
	// Alone, a query of one part takes its work, two ways, and some steps.
	one := testWorkload(5, 1)
	site.Indexes[0].Scv = 0
	if o := Emulate(&site, &one, 2, 500); o.P50 < 0.0104 || o.P50 > 0.0104+2*site.Step {
		t.Errorf("a part of 10 ms takes %.4f s", o.P50)
	}
	// Far beyond what the cores bear, no more than they bear is answered, and most of that.
	over := testWorkload(1200, 4) // twice the 600 that they bear
	o = Emulate(&site, &over, 3, 4000)
	if answered := 1 - o.Nacked - o.Aborted; answered > 0.56 || answered < 0.3 {
		t.Errorf("at twice what the cores bear a share of %.2f is answered", answered)
	}
	if limits := o.Limits(&site); limits[0].What != "cores" || limits[0].Margin > 1.15 {
		t.Errorf("nearest its limit: %+v", limits[0])
	}
	lost, shards := site.Without("south")
	if len(lost.Backends) != 3 || len(shards) != 0 {
		t.Errorf("without south: %d searchers, lost %v", len(lost.Backends), shards)
	}
	same := testSite(6, 4)
	same.Backends[1].Location, same.Backends[0].Location = "south", "south"
	if _, shards := same.Without("south"); !slices.Contains(shards, 0) {
		t.Errorf("both copies of shard 0 stand in south, lost are %v", shards)
	}
}

// The load at which the goal breaks lies below what the cores bear, and more cores bear more.
func TestBreakingLoad(t *testing.T) {
	site, a := testSite(4, 2), testWorkload(50, 2)
	b, err := FindBreakingLoad(&site, &a, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	bears := 4 * 2 / 0.01 / 2.0 // 400 queries a second
	if b.QueriesPerSecond < 0.5*bears || b.QueriesPerSecond > 1.05*bears || b.Fails/b.QueriesPerSecond > 1+bracketTolerance+0.01 || b.Index == "" || b.First.What != "cores" {
		t.Fatalf("breaks at %+v, cores bear %g", b, bears)
	}
	if raceflag.On { // the race detector has nothing to find where there is no goroutine
		return
	}
	larger := testSite(4, 4)
	if more, err := FindBreakingLoad(&larger, &a, 1, nil); err != nil || more.QueriesPerSecond < 1.6*b.QueriesPerSecond {
		t.Fatalf("twice the cores break at %g against %g, %v", more.QueriesPerSecond, b.QueriesPerSecond, err)
	}
	site.Indexes[0].Goal = 0
	if _, err := FindBreakingLoad(&site, &a, 1, nil); err == nil {
		t.Fatal("no goal, and it breaks")
	}
}

// cheapestByBruteForce goes through every purchase.
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

func TestCheapestPurchase(t *testing.T) {
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
			t.Fatalf("seed %d: %v, the best costs %g", seed, err, want)
		}
		if err != nil {
			continue
		}
		if math.Abs(got.Price-want) > 1e-9 || !sustains(offers, got.Counts, demand, spare) {
			t.Fatalf("seed %d: %+v, the best costs %g", seed, got, want)
		}
		quick := greedy(offers, demand, spare)
		if !sustains(offers, quick.Counts, demand, spare) || quick.Price < want-1e-9 || lowerBound(offers, demand) > want+1e-9 {
			t.Fatalf("seed %d: quick %+v, bound %g, the best costs %g", seed, quick, lowerBound(offers, demand), want)
		}
		sum, worst, n = sum+quick.Price/want, max(worst, quick.Price/want), n+1
	}
	t.Logf("without going through all: %.3f of the best in the mean, %.3f at worst, of %d", sum/float64(n), worst, n)
	if sum/float64(n) > 1.1 {
		t.Errorf("%.3f of the best in the mean", sum/float64(n))
	}
	if _, err := CheapestPurchase([]Offer{{"a", 1, 1, 5}}, 1, 0); err == nil {
		t.Error("one location bears its own loss")
	}
	var large []Offer
	for i := range 12 {
		large = append(large, Offer{fmt.Sprint("l-", i), 1 + float64(i%3), 8, 100})
	}
	if b, err := CheapestPurchase(large, 3000, 4); err != nil || b.Price > 1.5*b.Bound {
		t.Errorf("got %+v, %v", b, err)
	}
}

// bestPlacement goes through every placement of two copies.
func bestPlacement(site *Site, load []float64) float64 {
	best := math.Inf(1)
	used := make([]float64, len(site.Backends))
	var put func(s int)
	put = func(s int) {
		if s == len(load) {
			most := 0.0
			for i, u := range used {
				most = max(most, u/float64(site.Backends[i].Cores))
			}
			best = min(best, most)
			return
		}
		for i := range site.Backends {
			for j := range i {
				if site.Backends[i].Location != site.Backends[j].Location {
					used[i], used[j] = used[i]+load[s]/2, used[j]+load[s]/2
					put(s + 1)
					used[i], used[j] = used[i]-load[s]/2, used[j]-load[s]/2
				}
			}
		}
	}
	put(0)
	return best
}

func TestPlacement(t *testing.T) {
	worst := 1.0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		site := testSite(4, 1)
		for i := range site.Backends {
			site.Backends[i].Cores = 1 + rng.IntN(3)
		}
		load := make([]float64, 5)
		for s := range load {
			load[s] = 0.1 + rng.Float64()
		}
		p, err := Place(&site, load, 2, nil)
		if err != nil {
			t.Fatal(err)
		}
		best := bestPlacement(&site, load)
		if p.MaxUtilization < best-1e-9 || p.Bound > best+1e-9 {
			t.Fatalf("seed %d: %g, bound %g, the best is %g", seed, p.MaxUtilization, p.Bound, best)
		}
		worst = max(worst, p.MaxUtilization/best)
		for s, list := range p.Copies {
			if len(list) != 2 || site.Backends[list[0]].Location == site.Backends[list[1]].Location {
				t.Fatalf("seed %d: copies of shard %d stand at %v", seed, s, list)
			}
		}
		again, err := Place(&site, load, 2, p.Copies)
		if err != nil || again.Moves > 0 && p.MaxUtilization <= p.Bound*(1+stayTolerance/2) {
			t.Fatalf("seed %d: %d moves from a placement that is as good as it gets, %v", seed, again.Moves, err)
		}
	}
	t.Logf("the fullest searcher has at worst %.3f of the best placement's", worst)
	if worst > 1.35 {
		t.Errorf("%.3f of the best at worst", worst)
	}
	site := testSite(4, 1)
	for i := range site.Backends {
		site.Backends[i].Location = "north"
	}
	if _, err := Place(&site, []float64{1}, 2, nil); err == nil {
		t.Error("two copies in one location")
	}
}

// An emulation keeps the modules' rules: a once-only part is never called twice where a call may have run.
func TestOnceOnlySubqueriesAreNotRetried(t *testing.T) {
	site, a := testSite(6, 2), testWorkload(400, 3)
	site.Indexes[0].Effect = policy.AtMostOnce
	site.Backends[2].Queue = 2
	o := Emulate(&site, &a, 4, 3000)
	if o.Calls > 1.05 {
		t.Fatalf("%.3f calls a part", o.Calls)
	}
}

// A fleet with room recovers from a burst; one that is asked for more than it bears does not, and is told how far to go down.
func TestRecovery(t *testing.T) {
	site, a := testSite(4, 2), testWorkload(100, 2) // its cores bear 400
	site.Retries, site.Backoff = 2, 0.05
	if recovers, leave := Recovers(&site, &a, 3, 1); !recovers || leave != a.QueriesPerSecond {
		t.Errorf("a quarter of what the cores bear: %t, leave at %g", recovers, leave)
	}
	if raceflag.On {
		return
	}
	a = testWorkload(600, 2)
	if recovers, leave := Recovers(&site, &a, 2, 1); recovers || leave < 150 || leave > 420 {
		t.Errorf("one and a half times what the cores bear: %t, leave at %g", recovers, leave)
	}
}

// Work is drawn by its shape: of its mean, and within its ends.
func TestWorkFollowsItsDistribution(t *testing.T) {
	for _, x := range []Index{{Work: 0.01, Shape: []float64{0.5, 1.5}}, {Work: 0.02, Shape: []float64{0, 0.5, 0.5, 3}}, {Work: 0.01, Scv: 0.5}} {
		g, sum, want := pcg{9}, 0.0, x.Work
		if n := len(x.Shape); n > 0 {
			want = 0
			for i := range n - 1 {
				want += x.Work * (x.Shape[i] + x.Shape[i+1]) / 2 / float64(n-1)
			}
		}
		for range 20000 {
			v := g.work(&x)
			if n := len(x.Shape); n > 0 && (v < x.Work*x.Shape[0]-1e-12 || v > x.Work*x.Shape[n-1]+1e-12) {
				t.Fatalf("%v: drew %g", x.Shape, v)
			}
			sum += v
		}
		if got := sum / 20000; math.Abs(got-want) > 0.02*want {
			t.Errorf("%+v: %g in the mean, expected %g", x, got, want)
		}
	}
}
