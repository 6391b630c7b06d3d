// Package residency keeps each tenant's queries inside the zones that its contract allows. It compiles contracts into masks
// of zones (Rules), knows at each node until when its contracts are confirmed to be the newest (Lease), and at the leader
// which nodes apply a changed one (Rollout). Leases as in Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism
// for distributed file cache consistency", 1989.
//
// It does no I/O, reads no clock and starts no goroutine; times are in seconds.
package residency

import (
	"maps"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/policy"
)

// Tenant is a tenant's name, as quotas have it.
type Tenant = quota.Tenant

// Version orders tables of contracts: the index of the last change in the log of the consensus.
type Version uint64

// Contract is what one tenant's allows.
type Contract struct {
	Zones []string `cbor:"1,keyasint" json:"zones"`
	// Own restricts the aggregators as well to these zones, for data that may not pass through others.
	Own bool `cbor:"2,keyasint,omitempty" json:"own,omitempty"`
	// Indexes are those that the contract is about; none means all.
	Indexes []string `cbor:"3,keyasint,omitempty" json:"indexes,omitempty"`
}

// Table is all contracts as of a version. It is immutable.
type Table struct {
	Version   Version             `cbor:"1,keyasint" json:"version"`
	Contracts map[Tenant]Contract `cbor:"2,keyasint" json:"contracts"`
}

// With is the table with one tenant's contract changed, or, with a nil one, removed.
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

// NameSpace lists the names that the settings have.
type NameSpace struct{ Zones, Indexes, Tenants []string }

// Check tells what is wrong with a contract. The error is a ContractError.
func (n *NameSpace) Check(tenant Tenant, contract *Contract) error {
	switch {
	case !slices.Contains(n.Tenants, string(tenant)):
		return invalid("tenant %q is none that the settings know, expected one of %q", tenant, n.Tenants)
	case len(contract.Zones) == 0:
		return invalid("tenant %q has no zone, expected one at the least", tenant)
	}
	for _, zone := range contract.Zones {
		if !slices.Contains(n.Zones, zone) {
			return invalid("zone %q of tenant %q is none that the settings know, expected some of %q", zone, tenant, n.Zones)
		}
	}
	for _, index := range contract.Indexes {
		if !slices.Contains(n.Indexes, index) {
			return invalid("index %q of tenant %q is none that the settings know, expected some of %q", index, tenant, n.Indexes)
		}
	}
	return nil
}

// Rule is what applies to the queries of one tenant and index.
type Rule struct {
	Zones *policy.Zones // nil where no contract restricts them
	// Here tells whether this node may serve them at all.
	Here bool
}

// Rules is a table compiled for queries: a rule by customer and index. It is immutable.
type Rules struct {
	Table *Table
	rules map[policy.CustomerID][]Rule
}

// Compile makes the rules of a node in a location. Zones that the settings do not have are in no mask, so that a backend of
// such a zone, or of none, is outside of every contract.
func (n *NameSpace) Compile(t *Table, location string) *Rules {
	r := &Rules{Table: t, rules: map[policy.CustomerID][]Rule{}}
	for i, tenant := range n.Tenants {
		contract, has := t.Contracts[Tenant(tenant)]
		if !has {
			continue
		}
		zones := policy.NewZones()
		for j, zone := range n.Zones {
			if zone != "" && slices.Contains(contract.Zones, zone) {
				zones.Allow(policy.LocationID(j))
			}
		}
		here := !contract.Own || location != "" && slices.Contains(contract.Zones, location)
		rules := make([]Rule, len(n.Indexes))
		for k, index := range n.Indexes {
			if rules[k].Here = true; len(contract.Indexes) == 0 || slices.Contains(contract.Indexes, index) {
				rules[k] = Rule{zones, here}
			}
		}
		r.rules[policy.CustomerID(i)] = rules
	}
	return r
}

// Of is the rule for a query.
func (r *Rules) Of(customer policy.CustomerID, index policy.IndexID) Rule {
	if rules := r.rules[customer]; int(index) < len(rules) {
		return rules[index]
	}
	return Rule{Here: true}
}

// Lease is how long a node knows its contracts to be the newest. One goroutine uses it; traffic goes by Until.
type Lease struct {
	length  float64 // from the sending of the request
	margin  float64 // by which it ends sooner for new queries, so that those accepted have ended by then
	until   float64
	renewed bool
}

// NewLease makes one; margin is the longest that a query may last.
func NewLease(length, margin float64) *Lease { return &Lease{length: length, margin: margin} }

// Renew takes the response to a request that was sent at a time: our contracts were the newest after it.
func (l *Lease) Renew(requestedAt float64) {
	l.until, l.renewed = max(l.until, requestedAt+l.length), true
}

// Until is until when queries may be accepted by the contracts; 0 before any response.
func (l *Lease) Until() float64 {
	if !l.renewed {
		return 0
	}
	return l.until - l.margin
}

// Progress tells how far a version is rolled out.
type Progress struct {
	Version Version     `cbor:"version" json:"version"`
	Applied bool        `cbor:"held" json:"held"`
	Nodes   []NodeState `cbor:"mixers" json:"mixers"`
}

// NodeState is how one node stands to a version.
type NodeState struct {
	Node        membership.Name `cbor:"mixer" json:"mixer"`
	State       string          `cbor:"state" json:"state"`
	Applied     Version         `cbor:"holds" json:"holds"` // the version that it reported to apply
	LeaseEndsIn float64         `cbor:"in_s,omitempty" json:"in_s,omitempty"`
}

// How a node stands to a version.
const (
	StateApplied = "holds"   // it reported so, once no subquery outside was in flight
	StateRefuses = "refuses" // its lease has expired for sure: strict tenants are refused there
	StateOld     = "old"     // it may go by an older one
)

// nodeProgress is what the leader knows of one node.
type nodeProgress struct {
	applied   Version
	leaseEnds float64 // when its lease has expired for sure, unless it is renewed
}

// Rollout is the leader's knowledge of which contracts the nodes apply.
type Rollout struct {
	lease       float64 // as granted, with its slack
	ignoreUntil float64 // until when another leader may still hand out what it knew
	nodes       map[membership.Name]*nodeProgress
	names       []membership.Name
}

// NewRollout makes one for a fleet; lease is as granted to the nodes.
func NewRollout(lease float64, names []membership.Name) *Rollout {
	return &Rollout{lease: lease * quota.WaitFactor, names: slices.Sorted(slices.Values(names)), nodes: map[membership.Name]*nodeProgress{}}
}

// Begin starts a leadership. The leader before may renew leases for authority seconds more, and each lasts for a lease. It
// may also send an older table to a node that restarts after it reported a newer one, so that no report counts before then.
func (r *Rollout) Begin(now, authority float64) {
	clear(r.nodes)
	r.ignoreUntil = now + authority*quota.WaitFactor
	for _, name := range r.names {
		r.nodes[name] = &nodeProgress{leaseEnds: now + authority*quota.WaitFactor + r.lease}
	}
}

// RecordApplied takes the version that a node reports to apply.
func (r *Rollout) RecordApplied(now float64, from membership.Name, applied Version) {
	if node := r.nodes[from]; node != nil && now >= r.ignoreUntil {
		node.applied = applied // a restarted process may apply an older version than the one before it
	}
}

// RecordRenewal notes that a node's lease is renewed now.
func (r *Rollout) RecordRenewal(now float64, name membership.Name) {
	if node := r.nodes[name]; node != nil {
		node.leaseEnds = max(node.leaseEnds, now+r.lease)
	}
}

// Progress tells how far a version is rolled out. It applies everywhere once each node applies it, or, where the tenant is
// strict, refuses its queries.
func (r *Rollout) Progress(now float64, version Version, strict bool) Progress {
	progress := Progress{Version: version, Applied: len(r.nodes) > 0}
	for _, name := range r.names {
		node := r.nodes[name]
		if node == nil {
			continue
		}
		state := NodeState{Node: name, State: StateOld, Applied: node.applied}
		switch {
		case node.applied >= version:
			state.State = StateApplied
		case strict && now >= node.leaseEnds:
			state.State = StateRefuses
		default:
			progress.Applied = false
			if strict {
				state.LeaseEndsIn = node.leaseEnds - now
			}
		}
		progress.Nodes = append(progress.Nodes, state)
	}
	return progress
}
