package fleettest

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The quota of most scenarios, and the floor of one of three aggregators.
const (
	perS, burst   = 60.0, 90.0
	floorPerS     = 0.1 * perS / 3
	quotas        = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90, "floor_share": 0.1}]}`
	contracts     = `{"version": 1, "strict": ["cato"], "tenants": [{"tenant": "cato", "zones": ["a", "b"]}]}`
	lease         = 8 * time.Second
	leaseAndSlack = lease + 2*time.Second // a busy machine's
)

func TestMain(m *testing.M) { os.Exit(Main(m)) }

// grants waits until somebody grants, and tells who.
func (w *World) grants() *Aggregator {
	w.Helper()
	var m *Aggregator
	w.Until("somebody grants", func() bool { m = w.Leader(); return m != nil })
	return m
}

// load asks for all three tenants: acme for well over its quota at every aggregator, orders of bolt, reads of cato.
func (w *World) load() (stop func()) {
	acme := w.Load(150, "acme", "reads", w.All)
	orders := w.Load(20, OrdersOf, "orders", w.All)
	cato := w.Load(20, "cato", "reads", w.All)
	return func() { acme(); orders(); cato() }
}

// usesAll waits until acme, which asks for more than its quota, has nearly all of it, over two seconds at a time.
func (w *World) usesAll(what string) {
	w.Helper()
	w.Until(what, func() bool {
		from := time.Now()
		time.Sleep(2 * time.Second)
		return w.Judge.Rate("acme", "", from, time.Now()) > 0.85*perS
	})
}

// strict waits until strict tenants are served everywhere, and from then on holds their part calls to the contract.
func (w *World) strict() {
	w.Helper()
	for _, m := range w.Aggregators {
		w.Until("cato is served at "+m.Name, func() bool { status, _ := w.Ask(m, "cato", "reads", 0, 1); return status == 200 })
	}
	w.Judge.Holds("cato", "a", "b")
}

// An aggregator that is cut off admits its floor and no more; the side that holds the majority has the rest of the quota within a
// lease of the cut, be it the granter that is cut off or another. Strict tenants are refused where contracts are not sure.
func TestCutOffAndHealed(t *testing.T) {
	t.Parallel()
	for _, granter := range []bool{false, true} {
		t.Run(fmt.Sprintf("granter=%t", granter), func(t *testing.T) {
			t.Parallel()
			w := Start(t, Options{Aggregators: 3, Quotas: quotas, Contracts: contracts})
			alone := w.grants()
			w.strict()
			if !granter {
				alone = w.Aggregators[(alone.no+1)%3]
			}
			stop := w.load()
			began := time.Now()
			w.usesAll("the whole quota is used")
			cut := time.Now()
			w.Cut(alone.no)
			w.Until("it hears nothing", func() bool { s := alone.Show(); return s != nil && s["hears_nothing"] == true })
			deaf := time.Since(cut)
			time.Sleep(time.Until(cut.Add(leaseAndSlack)))
			from := time.Now()
			time.Sleep(5 * time.Second)
			to := time.Now()
			all, own := w.Judge.Rate("acme", "", from, to), w.Judge.Rate("acme", alone.Name, from, to)
			t.Logf("hears nothing after %.1f s; alone %.2f a second of a floor of %.2f, the others %.1f of %.1f", deaf.Seconds(), own, floorPerS, all-own, perS-floorPerS)
			if own < 0.5*floorPerS || own > 1.5*floorPerS+1 {
				t.Errorf("alone it admits %.2f a second, expected its floor of %.2f", own, floorPerS)
			}
			if all-own < 0.85*(perS-floorPerS) {
				t.Errorf("the majority admits %.1f a second a lease after the cut, expected nearly %.1f", all-own, perS-floorPerS)
			}
			if n := w.Judge.Statuses("cato", alone.Name, from); n[200] > 0 || n[429] == 0 {
				t.Errorf("a strict tenant where contracts are not sure: %v", n)
			}
			t.Logf("p99 of a tenant that is not concerned: %s before, %s after the cut", w.Judge.P99(OrdersOf, began, cut), w.Judge.P99(OrdersOf, cut, to))
			w.Cut()
			healed := time.Now()
			w.usesAll("the whole quota is used again")
			w.Until("the strict tenant is served again", func() bool { status, _ := w.Ask(alone, "cato", "reads", 0, 1); return status == 200 })
			t.Logf("all is used and served again %.1f s after the cut has healed, 2 s of them measured", time.Since(healed).Seconds())
			stop()
			w.Quota("acme", perS, burst)
			w.Rules()
		})
	}
}

// The granter is killed; the next one is stopped for longer than a lease and goes on, in the middle of spending; then all
// are killed together, and a voter comes back with an empty directory. The quota holds in every window through all of it.
func TestGranterKilledAndStopped(t *testing.T) {
	t.Parallel()
	w := Start(t, Options{Aggregators: 3, Quotas: quotas, Contracts: contracts, Keeps: true})
	first := w.grants()
	w.strict()
	stop := w.load()
	began := time.Now()
	w.usesAll("the whole quota is used")
	killed := time.Now()
	first.Kill()
	var second *Aggregator
	w.Until("another grants", func() bool { second = w.Leader(); return second != nil && second != first })
	t.Logf("another grants %.1f s after the kill; p99 of a tenant that is not concerned: %s before, %s after", time.Since(killed).Seconds(),
		w.Judge.P99(OrdersOf, began, killed), w.Judge.P99(OrdersOf, killed, time.Now()))
	first.Start()
	time.Sleep(2 * time.Second)
	second.Signal(syscall.SIGSTOP)
	time.Sleep(leaseAndSlack)
	second.Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	w.Quota("acme", perS, burst)
	for _, m := range w.Aggregators {
		m.Kill()
	}
	for i, m := range w.Aggregators {
		if i == 1 {
			w.must(os.RemoveAll(m.dir))
		}
		m.Start()
	}
	for _, m := range w.Aggregators {
		w.Until(m.Name+" serves", m.up)
	}
	w.grants()
	w.Until("the voter whose directory was lost votes again", func() bool {
		s := w.Aggregators[1].Show()
		return s != nil && s["leader"] != nil && s["leader"] != "" && s["quotas_version"] != 0.0
	})
	from := time.Now()
	time.Sleep(4 * time.Second)
	if used := w.Judge.Rate("acme", "", from, time.Now()); used < 0.8*perS {
		t.Errorf("%.1f a second admitted after all came back, expected nearly %.0f", used, perS)
	}
	stop()
	w.Quota("acme", perS, burst)
	w.Rules(w.Aggregators...)
}

// A contract is narrowed while one aggregator is cut off, and again while a backend moves to another zone under its name. No part
// call begins outside from when the operator is told that it holds, and none later than a lease after it was accepted.
func TestContractNarrowed(t *testing.T) {
	t.Parallel()
	w := Start(t, Options{Aggregators: 3, Contracts: strings.Replace(contracts, `["a", "b"]`, `["a", "b", "c"]`, 1)})
	w.grants()
	stop := w.Load(60, "cato", "reads", w.All)
	orders := w.Load(20, OrdersOf, "orders", w.All)
	narrow := func(zones ...string) (accepted time.Time, version uint64) {
		t.Helper()
		asked := time.Now()
		version, err := w.Aggregators[0].Command(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": zones}})
		if err != nil {
			t.Fatal(err)
		}
		return asked, version
	}
	held := func(version uint64) (states map[string]string) {
		w.Until("it is told as held", func() bool {
			is := false
			is, states = w.Aggregators[0].Held(version, "cato")
			return is
		})
		return states
	}
	accepted, version := narrow("a", "b")
	held(version)
	t.Logf("held everywhere %.2f s after it was given", time.Since(accepted).Seconds())
	w.Judge.Holds("cato", "a", "b")
	time.Sleep(time.Second)

	alone := w.Aggregators[2]
	if w.grants() == alone {
		alone = w.Aggregators[1]
	}
	began, cut := accepted, time.Now()
	w.Cut(alone.no)
	accepted, version = narrow("b")
	w.Judge.HoldsFrom(accepted.Add(leaseAndSlack), "cato", "b")
	states := held(version)
	told := time.Now()
	t.Logf("with %s cut off told as held %.2f s after it was given: %v", alone.Name, told.Sub(accepted).Seconds(), states)
	if told.Sub(accepted) > leaseAndSlack {
		t.Errorf("told %s after it was given, expected a lease at most", told.Sub(accepted))
	}
	if states[alone.Name] != "refuses" {
		t.Errorf("the mixer that is cut off is shown as %q", states[alone.Name])
	}
	w.Judge.Holds("cato", "b")
	time.Sleep(time.Second)
	t.Logf("p99 of a tenant that is not concerned: %s before, %s after the cut", w.Judge.P99(OrdersOf, began, cut), w.Judge.P99(OrdersOf, cut, time.Now()))
	w.Cut()
	w.Until("it is served at the mixer that was cut off, by the new contract", func() bool { status, _ := w.Ask(alone, "cato", "reads", 0, 1); return status == 200 })

	// s-1 and s-4 stand in b. s-1 now moves to c under its name: it is outside wherever the list calls it so.
	moved := w.Backends[1]
	for _, m := range w.Aggregators {
		e := moved.Entry("SERVING", true)
		e.Zone, e.Address = "c", m.before[1].Address()
		m.register.Set(e)
	}
	w.Until("shards without another holder in b are refused", func() bool {
		for _, m := range w.Aggregators {
			if status, _ := w.Ask(m, "cato", "reads", 1); status != 429 {
				return false
			}
		}
		return true
	})
	was := moved.CallsOf(0) + moved.CallsOf(1)
	for range 50 {
		w.Ask(w.Aggregators[0], "cato", "reads", 0, 1)
	}
	now := moved.CallsOf(0) + moved.CallsOf(1)
	stop()
	orders()
	if now > was+int64(len(w.Judge.admitted(OrdersOf, ""))) { // orders have no contract and may go there
		t.Errorf("%d part calls to a searcher that moved", now-was)
	}
	for _, s := range w.Backends {
		if s == moved {
			s.Zone = "c"
		}
	}
	w.Rules()
}

// A tenant asks for twice its quota at all aggregators at once, while links drop a fifth of all messages, double and reorder
// others; then everything takes 2 s longer. The quota holds, queries of others wait for nothing.
func TestLossyAndSlowLinks(t *testing.T) {
	t.Parallel()
	w := Start(t, Options{Aggregators: 3, Quotas: quotas})
	w.grants()
	stop := w.Load(2*perS, "acme", "reads", w.All)
	calm := w.Load(40, OrdersOf, "orders", w.All)
	settled := time.Now()
	w.usesAll("the whole quota is used")
	quiet := time.Now()
	w.Links(Fault{Drop: 0.2, Double: 0.1, Mix: 30 * time.Millisecond}, func(int, int) bool { return true })
	time.Sleep(time.Second)
	from := time.Now()
	time.Sleep(6 * time.Second)
	lossy := time.Now()
	used := w.Judge.Rate("acme", "", from, lossy)
	for _, m := range w.Aggregators {
		if m.Counter("fleet_dropped.replayed") == 0 {
			t.Errorf("%s opened every letter that came twice", m.Name)
		}
	}
	w.Links(Fault{Delay: 2 * time.Second}, func(int, int) bool { return true })
	time.Sleep(leaseAndSlack)
	to := time.Now()
	stop()
	calm()
	p99 := func(a, b time.Time) time.Duration { return w.Judge.P99(OrdersOf, a, b).Round(100 * time.Microsecond) }
	t.Logf("with a fifth lost %.1f of %.0f a second are used; p99 of others %s without, %s with loss, %s with 2 s of delay", used, perS, p99(settled, quiet), p99(from, lossy), p99(lossy, to))
	if used < 0.6*perS {
		t.Errorf("with a fifth of the letters lost %.1f a second are used of %.0f", used, perS)
	}
	w.Quota("acme", perS, burst)
	w.Rules()
}

// Two processes under one name: the second has neither floors nor leases until the first lets go of the address, as it does
// when it begins to stop; its successor then takes over.
func TestTwoProcessesOfOneName(t *testing.T) {
	t.Parallel()
	w := Start(t, Options{Aggregators: 3, Quotas: quotas, Contracts: contracts, Keeps: true})
	w.grants()
	w.strict()
	m := w.Aggregators[2]
	if w.Leader() == m {
		m = w.Aggregators[1]
	}
	twin := m.Twin()
	for range 20 {
		if status, _ := w.Ask(twin, "acme", "reads", 0, 1); status == 200 {
			t.Fatal("a second process of one name admits lookups of a quota")
		}
		if status, _ := w.Ask(twin, "cato", "reads", 0, 1); status == 200 {
			t.Fatal("a second process of one name serves a strict tenant")
		}
	}
	m.Signal(syscall.SIGTERM)
	w.Until("the twin takes over", func() bool {
		a, _ := w.Ask(twin, "acme", "reads", 0, 1)
		b, _ := w.Ask(twin, "cato", "reads", 0, 1)
		return a == 200 && b == 200
	})
	<-m.ended
	w.Quota("acme", perS, burst)
	w.Rules()
}

// A voter's directory is put back from an old copy, which is a mistake that nothing can tell from a start: the voter may give up
// its part, but the aggregator goes on, and so does the council of the others.
func TestDirectoryPutBack(t *testing.T) {
	t.Parallel()
	w := Start(t, Options{Aggregators: 3, Quotas: quotas})
	m := w.Aggregators[(w.grants().no+1)%3]
	m.Kill()
	w.must(os.CopyFS(m.dir+"-copy", os.DirFS(m.dir)))
	m.Start()
	w.Until("it serves", m.up)
	change := func(i int) {
		w.Until("the council acts", func() bool {
			_, err := w.Aggregators[m.no].Command(map[string]any{"id": fmt.Sprint("c", i), "author": "t", "reason": "r", "tenant": "cato", "quota": map[string]any{"per_s": 100 + i, "burst": 100}})
			return err == nil
		})
	}
	for i := range 5 {
		change(i)
	}
	m.Kill()
	w.must(os.RemoveAll(m.dir))
	w.must(os.Rename(m.dir+"-copy", m.dir))
	m.Start()
	w.Until("it serves", m.up)
	stop := w.Load(40, OrdersOf, "orders", w.All)
	time.Sleep(3 * time.Second)
	change(9)
	stop()
	if m.Ended() {
		t.Error("the mixer ended")
	}
	text, _ := os.ReadFile(m.log)
	t.Logf("the library gave up: %t", strings.Contains(string(text), "gave up"))
	w.Rules()
}
