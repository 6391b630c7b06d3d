// Package residency keeps each tenant's queries inside the zones that its contract allows. It knows the contracts, makes
// masks of zones from them, knows at a node for how long they are sure, and at the consensus's leader where a changed one
// holds. It does no I/O, reads no clock and starts no goroutine.
package residency

import (
	"maps"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/policy"
)

// Tenant is one by its name, as quotas have it.
type Tenant = quota.Tenant

// Version orders tables of contracts: the place of the last change in the consensus's log.
type Version uint64

// Contract is what one tenant's allows.
type Contract struct {
	Zones []string `cbor:"1,keyasint" json:"zones"`
	// Own keeps queries to nodes in these zones as well, where the data may not pass elsewhere either.
	Own bool `cbor:"2,keyasint,omitempty" json:"own,omitempty"`
	// Indexes are those that it is about, all if there are none.
	Indexes []string `cbor:"3,keyasint,omitempty" json:"indexes,omitempty"`
}

// Table is all contracts as of a version. It never changes.
type Table struct {
	Version   Version             `cbor:"1,keyasint" json:"version"`
	Contracts map[Tenant]Contract `cbor:"2,keyasint" json:"contracts"`
}

// With is the table with one tenant's contract changed, or, with a nil one, taken away.
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

// NameSpace is what contracts are about, by the settings' names.
type NameSpace struct{ Zones, Indexes, Tenants []string }

// Check tells what is wrong with a contract.
func (s *NameSpace) Check(tenant Tenant, c *Contract) error {
	switch {
	case !slices.Contains(s.Tenants, string(tenant)):
		return invalid("tenant %q is none that the settings know, expected one of %q", tenant, s.Tenants)
	case len(c.Zones) == 0:
		return invalid("tenant %q has no zone, expected one at the least", tenant)
	}
	for _, z := range c.Zones {
		if !slices.Contains(s.Zones, z) {
			return invalid("zone %q of tenant %q is none that the settings know, expected some of %q", z, tenant, s.Zones)
		}
	}
	for _, x := range c.Indexes {
		if !slices.Contains(s.Indexes, x) {
			return invalid("index %q of tenant %q is none that the settings know, expected some of %q", x, tenant, s.Indexes)
		}
	}
	return nil
}

// Rule is what holds for the queries of one tenant and index.
type Rule struct {
	Zones *policy.Zones // nil where no contract speaks of them
	// Here tells whether this node may take them at all.
	Here bool
}

// Rules is a table made ready for queries: a rule by customer and index.
type Rules struct {
	Table *Table
	rules map[policy.CustomerID][]Rule
}

// Compile makes the rules of a node that stands in a zone. Zones that the settings do not know stand in no mask, so that
// a backend of such a zone, or of none, is outside of all of them.
func (s *NameSpace) Compile(t *Table, own string) *Rules {
	r := &Rules{Table: t, rules: map[policy.CustomerID][]Rule{}}
	for i, tenant := range s.Tenants {
		c, has := t.Contracts[Tenant(tenant)]
		if !has {
			continue
		}
		zones := policy.NewZones()
		for j, z := range s.Zones {
			if z != "" && slices.Contains(c.Zones, z) {
				zones.Allow(policy.LocationID(j))
			}
		}
		here := !c.Own || own != "" && slices.Contains(c.Zones, own)
		rules := make([]Rule, len(s.Indexes))
		for k, index := range s.Indexes {
			if rules[k].Here = true; len(c.Indexes) == 0 || slices.Contains(c.Indexes, index) {
				rules[k] = Rule{zones, here}
			}
		}
		r.rules[policy.CustomerID(i)] = rules
	}
	return r
}

// Of is the rule of a query.
func (r *Rules) Of(customer policy.CustomerID, index policy.IndexID) Rule {
	if rules := r.rules[customer]; int(index) < len(rules) {
		return rules[index]
	}
	return Rule{Here: true}
}

// Lease is how long a node knows the contracts for sure. Its goroutine alone uses it; what traffic goes by is Until.
type Lease struct {
	length  float64 // from the asking
	margin  float64 // and by how much sooner queries are refused, so that those taken have ended by then
	until   float64
	renewed bool
}

// NewLease makes one; stop is the longest that a query may last.
func NewLease(length, stop float64) *Lease { return &Lease{length: length, margin: stop} }

// Renew takes the answer to an asking: the contracts that we hold were the newest after it.
func (l *Lease) Renew(asked float64) { l.until, l.renewed = max(l.until, asked+l.length), true }

// Until is when the contracts are sure no more, for queries that begin; 0 before anything was heard.
func (l *Lease) Until() float64 {
	if !l.renewed {
		return 0
	}
	return l.until - l.margin
}

// Progress is how far a version got, node by node.
type Progress struct {
	Version Version     `cbor:"version" json:"version"`
	Applied bool        `cbor:"held" json:"held"`
	Nodes   []NodeState `cbor:"mixers" json:"mixers"`
}

// NodeState tells of one node how it stands to a version.
type NodeState struct {
	Node        membership.Name `cbor:"mixer" json:"mixer"`
	State       string          `cbor:"state" json:"state"`
	Applied     Version         `cbor:"holds" json:"holds"` // that it has told of
	LeaseEndsIn float64         `cbor:"in_s,omitempty" json:"in_s,omitempty"`
}

// How a node stands to a version.
const (
	StateApplied = "holds"   // it told us, once no part call outside was out any more
	StateRefuses = "refuses" // its lease has run out for sure: strict tenants are refused there
	StateOld     = "old"     // it may go by an older one
)

// nodeProgress is what the leader knows of one.
type nodeProgress struct {
	applied   Version
	leaseEnds float64 // when its lease has run out for sure, if it hears nothing more
}

// Rollout is the leader's knowledge of which contracts nodes hold.
type Rollout struct {
	lease       float64 // as granted, with its slack
	ignoreUntil float64 // until when another leader may still hand out what it knew
	nodes       map[membership.Name]*nodeProgress
	names       []membership.Name
}

// NewRollout makes one for a fleet; leases are of so many seconds at the nodes.
func NewRollout(lease float64, names []membership.Name) *Rollout {
	return &Rollout{lease: lease * quota.WaitFactor, names: slices.Sorted(slices.Values(names)), nodes: map[membership.Name]*nodeProgress{}}
}

// Begin forgets what another leader may have known: until its authority has ended it may renew leases, and each of those
// lasts for a lease. It may also hand an older table to a node that begins anew after it told us of a newer one, so that
// nothing that nodes say counts before then.
func (s *Rollout) Begin(now, authority float64) {
	clear(s.nodes)
	s.ignoreUntil = now + authority*quota.WaitFactor
	for _, name := range s.names {
		s.nodes[name] = &nodeProgress{leaseEnds: now + authority*quota.WaitFactor + s.lease}
	}
}

// RecordApplied takes what a node says it holds.
func (s *Rollout) RecordApplied(now float64, from membership.Name, holds Version) {
	if m := s.nodes[from]; m != nil && now >= s.ignoreUntil {
		m.applied = holds // a process that begins anew holds less than the one before it
	}
}

// RecordRenewal notes that a node's lease is renewed now.
func (s *Rollout) RecordRenewal(now float64, name membership.Name) {
	if m := s.nodes[name]; m != nil {
		m.leaseEnds = max(m.leaseEnds, now+s.lease)
	}
}

// Progress tells how far a version got. It is held once each node holds it, or refuses whom it is about, where that
// tenant is strict.
func (s *Rollout) Progress(now float64, v Version, strict bool) Progress {
	p := Progress{Version: v, Applied: len(s.nodes) > 0}
	for _, name := range s.names {
		m := s.nodes[name]
		if m == nil {
			continue
		}
		x := NodeState{Node: name, State: StateOld, Applied: m.applied}
		switch {
		case m.applied >= v:
			x.State = StateApplied
		case strict && now >= m.leaseEnds:
			x.State = StateRefuses
		default:
			p.Applied = false
			if strict {
				x.LeaseEndsIn = m.leaseEnds - now
			}
		}
		p.Nodes = append(p.Nodes, x)
	}
	return p
}
