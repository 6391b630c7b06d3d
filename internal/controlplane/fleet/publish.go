package fleet

import (
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

var (
	// emptyBucket is that of a tenant of whom it is not known whether it has a quota, and of all tenants before the address is
	// open: another process may spend what is due to this node.
	emptyBucket = quota.NewEmptyBucket()
	// noZones is for queued queries that this node may not serve any more.
	noZones = policy.NewZones()
)

// publish replaces the view that traffic reads. Buckets are in it only once the address is open.
func (f *Fleet) publish() {
	view := &trafficView{
		buckets:   map[policy.CustomerID]*quota.Bucket{},
		strict:    map[policy.CustomerID]bool{},
		allStrict: slices.Contains(f.settings.Strict, "*"),
	}
	buckets := f.quotaClient.SetQuotas(f.now, f.tables.quotas)
	for i, tenant := range f.settings.Names.Tenants {
		view.strict[policy.CustomerID(i)] = f.settings.strict(quota.Tenant(tenant))
		bucket := buckets[quota.Tenant(tenant)]
		if bucket == nil && f.settings.HasQuotas && (f.detector == nil || !f.tables.received) {
			bucket = emptyBucket
		}
		if bucket != nil {
			view.buckets[policy.CustomerID(i)] = bucket
		}
	}
	view.rules = f.settings.Names.Compile(f.tables.contracts, f.settings.Location)
	failpoint.Pass(failpoint.PublishRules)
	f.admission.view.Store(view)
}

// publishZones brings the aggregator's queued queries under the rules of the view. It is notified with a contractsApplied event
// once all subqueries in flight go by them.
func (f *Fleet) publishZones() {
	rules := f.admission.view.Load().rules
	zones := func(customer policy.CustomerID, index policy.IndexID) *policy.Zones {
		rule := rules.For(customer, index)
		if !rule.MayServe {
			return noZones
		}
		return rule.Zones
	}
	applied := f.contractsAppliedFunc(f.tables.versions.Contracts)
	f.aggregatorEvents.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, Rules: &aggregator.Rules{Zones: zones, InForce: applied}})
}

// contractsAppliedFunc is what the aggregator's goroutine calls once it goes by the contracts of a version.
func (f *Fleet) contractsAppliedFunc(v residency.Version) func() {
	return func() { f.events.Put(event{kind: contractsApplied, version: v}) }
}
