// Package residency keeps the queries of each tenant within the zones that its contract allows. Rules are contracts compiled
// into masks of zones. A Lease, at each node, records until when the contracts of the node are confirmed to be the newest. A
// Rollout, at the leader, records which nodes apply a changed contract. Leases work as in Gray and Cheriton, "Leases: an
// efficient fault-tolerant mechanism for distributed file cache consistency", 1989.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in seconds.
package residency

import (
	"maps"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/policy"
)

// Tenant is the name of a tenant, as in package quota.
type Tenant = quota.Tenant

// Version orders tables of contracts. It is the index of the last change in the consensus log.
type Version uint64

// Contract restricts the queries of one tenant to zones.
type Contract struct {
	Zones []string `cbor:"1,keyasint" json:"zones"`
	// RestrictsAggregators restricts the aggregators to these zones as well, for data that must not pass through other zones.
	RestrictsAggregators bool `cbor:"2,keyasint,omitempty" json:"own,omitempty"`
	// Indexes are the indexes that the contract applies to. An empty list means all.
	Indexes []string `cbor:"3,keyasint,omitempty" json:"indexes,omitempty"`
}

// Table holds all contracts as of a version. It is immutable.
type Table struct {
	Version   Version             `cbor:"1,keyasint" json:"version"`
	Contracts map[Tenant]Contract `cbor:"2,keyasint" json:"contracts"`
}

// With returns a copy of the table in which the contract of one tenant is replaced, or removed if c is nil.
func (t *Table) With(version Version, tenant Tenant, c *Contract) *Table {
	next := &Table{Version: version, Contracts: maps.Clone(t.Contracts)}
	if next.Contracts == nil {
		next.Contracts = map[Tenant]Contract{}
	}
	if c == nil {
		delete(next.Contracts, tenant)
	} else {
		next.Contracts[tenant] = *c
	}
	return next
}

// KnownNames lists the zones, indexes and tenants that the settings define.
type KnownNames struct{ Zones, Indexes, Tenants []string }

// Check validates a contract. The error is a ContractError.
func (n *KnownNames) Check(tenant Tenant, contract *Contract) error {
	switch {
	case !slices.Contains(n.Tenants, string(tenant)):
		return contractErrorf("tenant %q is none that the settings know, expected one of %q", tenant, n.Tenants)
	case len(contract.Zones) == 0:
		return contractErrorf("tenant %q has no zone, expected one at the least", tenant)
	}
	for _, zone := range contract.Zones {
		if !slices.Contains(n.Zones, zone) {
			return contractErrorf("zone %q of tenant %q is none that the settings know, expected some of %q", zone, tenant, n.Zones)
		}
	}
	for _, index := range contract.Indexes {
		if !slices.Contains(n.Indexes, index) {
			return contractErrorf("index %q of tenant %q is none that the settings know, expected some of %q", index, tenant, n.Indexes)
		}
	}
	return nil
}

// Rule applies to the queries of one tenant on one index.
type Rule struct {
	Zones *policy.Zones // nil if no contract restricts them
	// MayServe reports whether this node may serve the queries at all.
	MayServe bool
}

// Rules is a compiled Table: a rule for each customer and index. It is immutable.
type Rules struct {
	Table *Table
	rules map[policy.CustomerID][]Rule
}

// Compile returns the rules for a node at a location. Zones that the settings do not define are in no mask. So a backend in such
// a zone, or in none, is outside of every contract.
func (n *KnownNames) Compile(t *Table, location string) *Rules {
	r := &Rules{Table: t, rules: map[policy.CustomerID][]Rule{}}
	for i, tenant := range n.Tenants {
		contract, hasContract := t.Contracts[Tenant(tenant)]
		if !hasContract {
			continue
		}
		zones := policy.NewZones()
		for j, zone := range n.Zones {
			if zone != "" && slices.Contains(contract.Zones, zone) {
				zones.Allow(policy.LocationID(j))
			}
		}
		mayServe := !contract.RestrictsAggregators || location != "" && slices.Contains(contract.Zones, location)
		rules := make([]Rule, len(n.Indexes))
		for k, index := range n.Indexes {
			if rules[k].MayServe = true; len(contract.Indexes) == 0 || slices.Contains(contract.Indexes, index) {
				rules[k] = Rule{zones, mayServe}
			}
		}
		r.rules[policy.CustomerID(i)] = rules
	}
	return r
}

// For returns the rule for a query.
func (r *Rules) For(customer policy.CustomerID, index policy.IndexID) Rule {
	if rules := r.rules[customer]; int(index) < len(rules) {
		return rules[index]
	}
	return Rule{MayServe: true}
}

// Lease records until when the contracts of a node are known to be the newest. It must be used by one goroutine only. Queries
// are accepted until AcceptUntil.
type Lease struct {
	length    float64 // counted from when the request was sent
	margin    float64 // new queries are refused this long before the lease expires, so that accepted ones end within it
	expiresAt float64
	renewed   bool
}

// NewLease returns a lease that is not granted yet. margin is the longest time that a query may take.
func NewLease(length, margin float64) *Lease { return &Lease{length: length, margin: margin} }

// Renew extends the lease after the response to a request that was sent at requestedAt. The response confirms that the contracts
// of this node were the newest at that time.
func (l *Lease) Renew(requestedAt float64) {
	l.expiresAt, l.renewed = max(l.expiresAt, requestedAt+l.length), true
}

// AcceptUntil returns until when new queries may be accepted. It is 0 before the first renewal.
func (l *Lease) AcceptUntil() float64 {
	if !l.renewed {
		return 0
	}
	return l.expiresAt - l.margin
}

// Progress describes how far a version is rolled out.
type Progress struct {
	Version Version     `cbor:"version" json:"version"`
	Applied bool        `cbor:"held" json:"held"`
	Nodes   []NodeState `cbor:"mixers" json:"mixers"`
}

// NodeState describes the state of one node in the rollout of a version.
type NodeState struct {
	Node        membership.Name `cbor:"mixer" json:"mixer"`
	State       string          `cbor:"state" json:"state"`
	Applied     Version         `cbor:"holds" json:"holds"` // the version that the node reported as applied
	LeaseEndsIn float64         `cbor:"in_s,omitempty" json:"in_s,omitempty"`
}

// States of a node in the rollout of a version.
const (
	StateApplied  = "holds"   // it reported the version as applied, once it had no subquery outside of the contract in flight
	StateRefuses  = "refuses" // its lease has certainly expired, so it refuses the queries of strict tenants
	StateOutdated = "old"     // it may still apply an older version
)

// nodeProgress is what the leader knows about one node.
type nodeProgress struct {
	applied        Version
	leaseExpiresAt float64 // when its lease has certainly expired, unless it is renewed
}

// Rollout records at the leader which version of the contracts each node applies.
type Rollout struct {
	lease              float64 // length of a lease at the nodes, times quota.WaitFactor
	ignoreReportsUntil float64 // until when the previous leader may still send its older table to nodes
	nodes              map[membership.Name]*nodeProgress
	names              []membership.Name
}

// NewRollout returns the rollout state for the named nodes. lease is the length of the leases that are granted to them.
func NewRollout(lease float64, names []membership.Name) *Rollout {
	return &Rollout{lease: lease * quota.WaitFactor, names: slices.Sorted(slices.Values(names)), nodes: map[membership.Name]*nodeProgress{}}
}

// Begin resets the state when this node becomes the leader. The previous leader may renew leases for authority more seconds, and
// each renewed lease lasts one lease length. The previous leader may also send an older table to a node that restarts after it
// reported a newer one as applied. So reports are ignored until that authority has ended.
func (r *Rollout) Begin(now, authority float64) {
	clear(r.nodes)
	r.ignoreReportsUntil = now + authority*quota.WaitFactor
	for _, name := range r.names {
		r.nodes[name] = &nodeProgress{leaseExpiresAt: now + authority*quota.WaitFactor + r.lease}
	}
}

// RecordApplied records the version that a node reports as applied.
func (r *Rollout) RecordApplied(now float64, from membership.Name, applied Version) {
	if node := r.nodes[from]; node != nil && now >= r.ignoreReportsUntil {
		node.applied = applied // may decrease: a restarted process may apply an older version than the previous process
	}
}

// RecordRenewal records that the lease of a node is renewed at the time now.
func (r *Rollout) RecordRenewal(now float64, name membership.Name) {
	if node := r.nodes[name]; node != nil {
		node.leaseExpiresAt = max(node.leaseExpiresAt, now+r.lease)
	}
}

// Progress returns how far a version is rolled out. The version counts as applied once every node applies it. For a strict tenant
// a node whose lease has certainly expired counts too, because it refuses the queries of the tenant.
func (r *Rollout) Progress(now float64, version Version, strict bool) Progress {
	progress := Progress{Version: version, Applied: len(r.nodes) > 0}
	for _, name := range r.names {
		node := r.nodes[name]
		if node == nil {
			continue
		}
		nodeState := NodeState{Node: name, State: StateOutdated, Applied: node.applied}
		switch {
		case node.applied >= version:
			nodeState.State = StateApplied
		case strict && now >= node.leaseExpiresAt:
			nodeState.State = StateRefuses
		default:
			progress.Applied = false
			if strict {
				nodeState.LeaseEndsIn = node.leaseExpiresAt - now
			}
		}
		progress.Nodes = append(progress.Nodes, nodeState)
	}
	return progress
}
