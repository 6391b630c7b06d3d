package residency

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

var site = NameSpace{Zones: []string{"north", "south", ""}, Indexes: []string{"reads", "orders"}, Tenants: []string{"acme", "bolt"}}

func TestRulesOfContracts(t *testing.T) {
	table := (&Table{}).With(5, "acme", &Contract{Zones: []string{"south", "gone", ""}, Own: true, Indexes: []string{"orders"}})
	here, elsewhere := site.Compile(table, "south"), site.Compile(table, "north")
	if r := here.Of(0, 0); r.Zones != nil || !r.Here {
		t.Errorf("an index that no contract names: %+v", r)
	}
	if r := here.Of(1, 1); r.Zones != nil || !r.Here {
		t.Errorf("a tenant without a contract: %+v", r)
	}
	if r := here.Of(99, 99); r.Zones != nil || !r.Here {
		t.Errorf("one that is not known: %+v", r)
	}
	r := here.Of(0, 1)
	if !r.Here || elsewhere.Of(0, 1).Here || site.Compile(table, "").Of(0, 1).Here {
		t.Error("the node's own zone does not count")
	}
	for at, want := range map[policy.LocationID]bool{0: false, 1: true, 2: false, 3: false, -1: false} {
		if r.Zones.Allows(at) != want {
			t.Errorf("location %d: allowed %t; a zone without a name, or beyond the settings', is outside", at, !want)
		}
	}
	if free := table.With(6, "acme", nil); len(free.Contracts) != 0 || len(table.Contracts) != 1 || free.Version != 6 {
		t.Error("taking a contract away changes the table before, or not the one after")
	}
	for _, c := range []struct {
		tenant Tenant
		Contract
	}{{"nobody", Contract{Zones: []string{"north"}}}, {"acme", Contract{}}, {"acme", Contract{Zones: []string{"west"}}}, {"acme", Contract{Zones: []string{"north"}, Indexes: []string{"x"}}}} {
		if site.Check(c.tenant, &c.Contract) == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// omittedRule is a rule that the simulation leaves out, which the checker has to find.
type omittedRule struct {
	reportEarly          bool // reported as applied before all nodes apply it
	ignorePreviousLeader bool // a new leader ignores that the one before may have renewed leases
	ignoreExpiry         bool // nodes ignore the end of their lease
	reportUnapplied      bool // a node reports a version that its queries do not go by yet
}

const (
	lease, longest, authority = 4.0, 1.0, 1.0
	bound                     = lease + authority // after which an accepted contract holds at strict tenants
)

// simNode is one node. Its queries are accepted by the table that it has, and each may send subqueries until it ends.
type simNode struct {
	name      membership.Name
	rate      float64
	lease     *Lease
	received  Version
	applied   Version
	appliesAt float64 // when the module goes by what it has
	stops     float64
	queries   []simQuery
	next      float64
}

type simQuery struct {
	version Version
	ends    float64
}

type simLeader struct {
	spread         *Rollout
	version        Version
	confirmedUntil float64 // until when, by true time
}

// play runs one strict tenant's contract, narrowed again and again, at nodes that are partitioned, pause and restart, under
// leaders that come and go while the one before still acts on its last confirmation. Version v allows no subquery that v-1
// allowed, so that a subquery is outside where its query goes by an older version than has to be applied.
func play(seed uint64, b omittedRule) error {
	g := random.PCG(seed)
	var names []membership.Name
	var nodes []*simNode
	for i := range 4 {
		names = append(names, membership.Name(fmt.Sprint("m", i)))
	}
	begin := func(m *simNode) {
		m.lease, m.received, m.applied, m.queries = NewLease(lease, longest), 0, 0, nil
	}
	for _, name := range names {
		m := &simNode{name: name, rate: 1 + quota.ClockSlack/2*(2*g.Unit()-1)}
		begin(m)
		nodes = append(nodes, m)
	}
	latest, accepted, reported := Version(1), 0.0, Version(0)
	leaders := []*simLeader{{spread: NewRollout(lease, names), version: 1}}
	leaders[0].spread.Begin(0, authority)
	partitioned := map[int]float64{}
	const step = 0.02
	for now := 0.0; now < 60; now += step {
		newest := leaders[len(leaders)-1]
		newest.confirmedUntil, newest.version = now+authority, latest // a majority says so, and tells what was agreed on
		switch u := g.Unit(); {
		case u < 0.004:
			l := &simLeader{spread: NewRollout(lease, names), version: latest, confirmedUntil: now + authority}
			if l.spread.Begin(now, authority); b.ignorePreviousLeader {
				l.spread.Begin(now-100, 0)
			}
			leaders = append(leaders, l)
			newest = l
		case u < 0.010 && now-accepted > 0.5:
			latest, accepted = latest+1, now
			newest.version = latest
		case u < 0.014:
			partitioned[int(g.Unit()*4)] = now + 9*g.Unit()
		case u < 0.018:
			nodes[int(g.Unit()*4)].stops = now + 6*g.Unit()
		case u < 0.020:
			begin(nodes[int(g.Unit()*4)])
		}
		if p := newest.spread.Progress(now, latest, true); p.Applied || b.reportEarly && slices.ContainsFunc(p.Nodes, func(x NodeState) bool { return x.State != StateOld }) {
			reported = max(reported, latest)
		}
		must := reported
		if now > accepted+bound*quota.WaitFactor+step {
			must = latest
		}
		for i, m := range nodes {
			if now < m.stops {
				continue
			}
			clock := now * m.rate
			m.queries = slices.DeleteFunc(m.queries, func(l simQuery) bool { return now >= l.ends })
			if m.applied < m.received && now >= m.appliesAt { // the module's step brings held queries under the new rules
				m.applied = m.received
				for j := range m.queries {
					m.queries[j].version = m.received
				}
			}
			if clock < m.lease.Until() || b.ignoreExpiry && m.received > 0 {
				m.queries = append(m.queries, simQuery{m.received, now + longest})
			}
			for _, l := range m.queries { // each sends a part call now
				if l.version < must {
					return fmt.Errorf("at %.2f s: %s sends by version %d, %d must hold", now, m.name, l.version, must)
				}
			}
			if now < m.next || now < partitioned[i] {
				continue
			}
			m.next = now + 0.2
			l := leaders[max(0, len(leaders)-1-int(g.Unit()*g.Unit()*3))]
			if now >= l.confirmedUntil || g.Unit() < 0.1 {
				continue
			}
			holds := m.applied
			if b.reportUnapplied {
				holds = m.received
			}
			l.spread.RecordApplied(now, m.name, holds)
			l.spread.RecordRenewal(now, m.name)
			if g.Unit() < 0.1 || l.version < m.received { // the answer is lost, or of one that led before
				continue
			}
			if m.received != l.version {
				m.received, m.appliesAt = l.version, now+0.3*g.Unit()
			}
			m.lease.Renew(clock - 0.05)
		}
	}
	if reported < 2 {
		return fmt.Errorf("only version %d was ever reported as applied", reported)
	}
	return nil
}

func TestNarrowedContractIsEnforcedOnceReported(t *testing.T) {
	seeds := uint64(1000)
	if raceflag.On || testing.Short() {
		seeds = 500
	}
	for seed := range seeds {
		if err := play(seed+1, omittedRule{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestCheckerFindsOmittedRules(t *testing.T) {
	for name, b := range map[string]omittedRule{"told before all hold it": {reportEarly: true}, "a new leader forgets": {ignorePreviousLeader: true},
		"leases are not looked at": {ignoreExpiry: true}, "said to hold before it does": {reportUnapplied: true}} {
		found := 0
		for seed := range uint64(100) {
			if play(seed+1, b) != nil {
				found++
			}
		}
		if t.Logf("%s: found in %d of 100 runs", name, found); found == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}

// A tenant that is served past its lease never counts as applied by time alone, and the nodes that are behind are named.
func TestLenientTenantsWaitForAllNodes(t *testing.T) {
	s := NewRollout(lease, []membership.Name{"a", "b"})
	s.Begin(0, authority)
	s.RecordApplied(50, "a", 7)
	if p := s.Progress(100, 7, false); p.Applied || p.Nodes[1].State != StateOld {
		t.Errorf("%+v", p)
	}
	if p := s.Progress(100, 7, true); !p.Applied || p.Nodes[1].State != StateRefuses {
		t.Errorf("%+v", p)
	}
	if p := s.Progress(1, 7, true); p.Applied || !(p.Nodes[1].LeaseEndsIn > 0) || math.IsInf(p.Nodes[1].LeaseEndsIn, 0) {
		t.Errorf("%+v", p)
	}
}
