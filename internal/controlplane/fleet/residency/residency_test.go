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

var testNames = KnownNames{Zones: []string{"north", "south", ""}, Indexes: []string{"reads", "orders"}, Tenants: []string{"acme", "bolt"}}

func TestContractsCompileToRules(t *testing.T) {
	table := (&Table{}).With(5, "acme", &Contract{Zones: []string{"south", "gone", ""}, RestrictsAggregators: true, Indexes: []string{"orders"}})
	inside, outside := testNames.Compile(table, "south"), testNames.Compile(table, "north")
	if r := inside.For(0, 0); r.Zones != nil || !r.MayServe {
		t.Errorf("an index that no contract covers: %+v", r)
	}
	if r := inside.For(1, 1); r.Zones != nil || !r.MayServe {
		t.Errorf("a tenant without a contract: %+v", r)
	}
	if r := inside.For(99, 99); r.Zones != nil || !r.MayServe {
		t.Errorf("an unknown tenant and index: %+v", r)
	}
	rule := inside.For(0, 1)
	if !rule.MayServe || outside.For(0, 1).MayServe || testNames.Compile(table, "").For(0, 1).MayServe {
		t.Error("MayServe does not follow the zone of the node")
	}
	for location, want := range map[policy.LocationID]bool{0: false, 1: true, 2: false, 3: false, -1: false} {
		if rule.Zones.Allows(location) != want {
			t.Errorf("location %d: allowed is %t; a zone without a name, or not in the settings, is outside of every contract", location, !want)
		}
	}
	if without := table.With(6, "acme", nil); len(without.Contracts) != 0 || len(table.Contracts) != 1 || without.Version != 6 {
		t.Error("removing a contract changed the original table, or left it in the new one")
	}
	for _, c := range []struct {
		tenant Tenant
		Contract
	}{{"nobody", Contract{Zones: []string{"north"}}}, {"acme", Contract{}}, {"acme", Contract{Zones: []string{"west"}}}, {"acme", Contract{Zones: []string{"north"}, Indexes: []string{"x"}}}} {
		if testNames.Check(c.tenant, &c.Contract) == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
}

// omittedRule disables one rule of the implementation in a simulation. The checker has to detect the violation that results.
type omittedRule struct {
	reportBeforeAllApply  bool // a version is reported as applied before all nodes apply it
	ignorePreviousLeader  bool // a new leader ignores that the previous one may have renewed leases
	ignoreExpiry          bool // nodes ignore that their lease has expired
	reportReceivedVersion bool // a node reports a version before its queries follow it
}

const (
	leaseSeconds     = 4.0
	maxQuerySeconds  = 1.0
	authoritySeconds = 1.0
	// enforcedWithinSeconds is the time after which an accepted contract is enforced for strict tenants.
	enforcedWithinSeconds = leaseSeconds + authoritySeconds
)

// simNode is one node. It accepts queries by the table that it received last. Each query may send subqueries until it ends.
type simNode struct {
	name          membership.Name
	clockRate     float64
	lease         *Lease
	received      Version
	applied       Version
	appliesAt     float64 // when the received table is applied
	pausedUntil   float64
	queries       []simQuery
	nextRequestAt float64
}

type simQuery struct {
	version Version
	endsAt  float64
}

type simLeader struct {
	rollout        *Rollout
	version        Version
	confirmedUntil float64 // in true time
}

// simulate runs the contract of one strict tenant, which is narrowed repeatedly. Nodes are partitioned, pause and restart.
// Leaders change while the previous one still acts on its last confirmation. Version v allows no subquery that v-1 allowed. So a
// subquery violates the contract if its query follows an older version than the one that has to be applied.
func simulate(seed uint64, omitted omittedRule) error {
	rng := random.PCG(seed)
	var names []membership.Name
	var nodes []*simNode
	for i := range 4 {
		names = append(names, membership.Name(fmt.Sprint("m", i)))
	}
	startProcess := func(node *simNode) {
		node.lease, node.received, node.applied, node.queries = NewLease(leaseSeconds, maxQuerySeconds), 0, 0, nil
	}
	for _, name := range names {
		node := &simNode{name: name, clockRate: 1 + quota.MaxClockDrift/2*(2*rng.Unit()-1)}
		startProcess(node)
		nodes = append(nodes, node)
	}
	latest, accepted, reported := Version(1), 0.0, Version(0)
	leaders := []*simLeader{{rollout: NewRollout(leaseSeconds, names), version: 1}}
	leaders[0].rollout.Begin(0, authoritySeconds)
	partitioned := map[int]float64{}
	const step = 0.02
	for now := 0.0; now < 60; now += step {
		leader := leaders[len(leaders)-1]
		leader.confirmedUntil, leader.version = now+authoritySeconds, latest // a majority confirms the leader, and sends it the committed version
		switch u := rng.Unit(); {
		case u < 0.004:
			newLeader := &simLeader{rollout: NewRollout(leaseSeconds, names), version: latest, confirmedUntil: now + authoritySeconds}
			if newLeader.rollout.Begin(now, authoritySeconds); omitted.ignorePreviousLeader {
				newLeader.rollout.Begin(now-100, 0)
			}
			leaders = append(leaders, newLeader)
			leader = newLeader
		case u < 0.010 && now-accepted > 0.5:
			latest, accepted = latest+1, now
			leader.version = latest
		case u < 0.014:
			partitioned[int(rng.Unit()*4)] = now + 9*rng.Unit()
		case u < 0.018:
			nodes[int(rng.Unit()*4)].pausedUntil = now + 6*rng.Unit()
		case u < 0.020:
			startProcess(nodes[int(rng.Unit()*4)])
		}
		if progress := leader.rollout.Progress(now, latest, true); progress.Applied || omitted.reportBeforeAllApply && slices.ContainsFunc(progress.Nodes, func(x NodeState) bool { return x.State != StateOutdated }) {
			reported = max(reported, latest)
		}
		requiredVersion := reported
		if now > accepted+enforcedWithinSeconds*quota.WaitFactor+step {
			requiredVersion = latest
		}
		for i, node := range nodes {
			if now < node.pausedUntil {
				continue
			}
			clock := now * node.clockRate
			node.queries = slices.DeleteFunc(node.queries, func(query simQuery) bool { return now >= query.endsAt })
			if node.applied < node.received && now >= node.appliesAt { // running queries follow the new rules from here on
				node.applied = node.received
				for j := range node.queries {
					node.queries[j].version = node.received
				}
			}
			if clock < node.lease.AcceptUntil() || omitted.ignoreExpiry && node.received > 0 {
				node.queries = append(node.queries, simQuery{node.received, now + maxQuerySeconds})
			}
			for _, query := range node.queries { // each sends a subquery now
				if query.version < requiredVersion {
					return fmt.Errorf("at %.2f s: %s sends a subquery by version %d, expected %d or later", now, node.name, query.version, requiredVersion)
				}
			}
			if now < node.nextRequestAt || now < partitioned[i] {
				continue
			}
			node.nextRequestAt = now + 0.2
			contacted := leaders[max(0, len(leaders)-1-int(rng.Unit()*rng.Unit()*3))]
			if now >= contacted.confirmedUntil || rng.Unit() < 0.1 {
				continue
			}
			reportedVersion := node.applied
			if omitted.reportReceivedVersion {
				reportedVersion = node.received
			}
			contacted.rollout.RecordApplied(now, node.name, reportedVersion)
			contacted.rollout.RecordRenewal(now, node.name)
			if rng.Unit() < 0.1 || contacted.version < node.received { // the response is lost, or comes from an earlier leader
				continue
			}
			if node.received != contacted.version {
				node.received, node.appliesAt = contacted.version, now+0.3*rng.Unit()
			}
			node.lease.Renew(clock - 0.05)
		}
	}
	if reported < 2 {
		return fmt.Errorf("only version %d was ever reported as applied", reported)
	}
	return nil
}

func TestNarrowedContractIsEnforcedOnceReportedAsApplied(t *testing.T) {
	seeds := uint64(1000)
	if raceflag.Enabled || testing.Short() {
		seeds = 500
	}
	for seed := range seeds {
		if err := simulate(seed+1, omittedRule{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestCheckerDetectsEachOmittedRule(t *testing.T) {
	for name, omitted := range map[string]omittedRule{"reported before all nodes apply it": {reportBeforeAllApply: true}, "a new leader ignores leases of the previous one": {ignorePreviousLeader: true},
		"expiry of leases is ignored": {ignoreExpiry: true}, "a node reports a version that it does not apply yet": {reportReceivedVersion: true}} {
		found := 0
		for seed := range uint64(100) {
			if simulate(seed+1, omitted) != nil {
				found++
			}
		}
		if t.Logf("%s: found in %d of 100 runs", name, found); found == 0 {
			t.Errorf("%s: not found in 100 runs", name)
		}
	}
}

// A tenant that is not strict is served even after the lease of a node has expired. So its contract counts as applied only when
// all nodes report it, and Progress names the nodes that have not. For a strict tenant an expired lease suffices.
func TestNonStrictContractNeedsAllNodesToApplyIt(t *testing.T) {
	rollout := NewRollout(leaseSeconds, []membership.Name{"a", "b"})
	rollout.Begin(0, authoritySeconds)
	rollout.RecordApplied(50, "a", 7)
	if p := rollout.Progress(100, 7, false); p.Applied || p.Nodes[1].State != StateOutdated {
		t.Errorf("%+v", p)
	}
	if p := rollout.Progress(100, 7, true); !p.Applied || p.Nodes[1].State != StateRefuses {
		t.Errorf("%+v", p)
	}
	if p := rollout.Progress(1, 7, true); p.Applied || !(p.Nodes[1].LeaseEndsIn > 0) || math.IsInf(p.Nodes[1].LeaseEndsIn, 0) {
		t.Errorf("%+v", p)
	}
}
