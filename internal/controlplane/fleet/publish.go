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
	return &residency.Table{Contracts: f.settings.FileTables.Contracts}
}

// publish puts a view before traffic. Purses are only there once the address is ours.
func (f *Fleet) publish() {
	v := &trafficView{buckets: map[policy.CustomerID]*quota.Bucket{}, strict: map[policy.CustomerID]bool{}, allStrict: slices.Contains(f.settings.Strict, "*")}
	buckets := f.quotaClient.Set(f.now, f.quotas)
	for i, tenant := range f.settings.Names.Tenants {
		v.strict[policy.CustomerID(i)] = f.settings.strict(quota.Tenant(tenant))
		p := buckets[quota.Tenant(tenant)]
		if p == nil && f.settings.HasQuotas && (f.detector == nil || !f.tablesReceived) {
			p = emptyBucket
		}
		if p != nil {
			v.buckets[policy.CustomerID(i)] = p
		}
	}
	v.rules = f.settings.Names.Compile(f.contracts, f.settings.Location)
	failpoint.Pass(failpoint.PublishRules)
	f.view.Store(v)
}

// emptyBucket is the bucket of a tenant of whom it is not known whether it has a quota, and of all before the address is ours:
// another process may spend what is due to this node.
var emptyBucket = quota.Empty()

// publishZones brings the module's held queries under the rules, and hears when all part calls go by them.
func (f *Fleet) publishZones() {
	rules := f.view.Load().rules
	zones := func(c policy.CustomerID, k policy.IndexID) *policy.Zones {
		rule := rules.Of(c, k)
		if !rule.Here {
			return noZones
		}
		return rule.Zones
	}
	f.aggregatorEvents.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, Rules: &aggregator.Rules{Zones: zones, Held: f.contractsAppliedFunc(f.versions.Contracts)}})
}

// noZones is for queries held at a node that may not have them any more.
var noZones = policy.NewZones()

func (f *Fleet) setContractsConfirmedUntil(until float64) {
	f.contractsConfirmedUntil.Store(math.Float64bits(until))
}
