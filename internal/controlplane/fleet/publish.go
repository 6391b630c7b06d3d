package fleet

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// emptyTable is what holds before anything was agreed on: the file's contracts, of no version.
func (f *Fleet) emptyTable() *residency.Table {
	return &residency.Table{Contracts: f.set.File.Contracts}
}

// publish puts a view before traffic. Purses are only there once the address is ours.
func (f *Fleet) publish() {
	v := &view{buckets: map[policy.CustomerID]*quota.Bucket{}, strict: map[policy.CustomerID]bool{}, all: slices.Contains(f.set.Strict, "*")}
	buckets := f.holder.Set(f.now, f.quotas)
	for i, tenant := range f.set.Site.Tenants {
		v.strict[policy.CustomerID(i)] = f.set.strict(quota.Tenant(tenant))
		p := buckets[quota.Tenant(tenant)]
		if p == nil && f.set.HasQuotas && (f.members == nil || !f.heard) {
			p = nothing
		}
		if p != nil {
			v.buckets[policy.CustomerID(i)] = p
		}
	}
	v.rules = f.set.Site.Compile(f.table, f.set.Location)
	failpoint.Pass(failpoint.PublishRules)
	f.view.Store(v)
}

// nothing is the bucket of a tenant of whom it is not known whether it has a quota, and of all before the address is ours:
// another process may spend what is due to this node.
var nothing = quota.Empty()

// rezone brings the module's held queries under the rules, and hears when all part calls go by them.
func (f *Fleet) rezone() {
	rules := f.view.Load().rules
	zones := func(c policy.CustomerID, k policy.IndexID) *policy.Zones {
		rule := rules.Of(c, k)
		if !rule.Here {
			return nowhere
		}
		return rule.Zones
	}
	f.tell.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, Rules: &aggregator.Rules{Zones: zones, Held: f.held(f.has.Contracts)}})
}

// nowhere is for queries held at a node that may not have them any more.
var nowhere = policy.NewZones()

func (f *Fleet) setSure(until float64) { f.sure.Store(math.Float64bits(until)) }
