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
	// emptyBucket holds no tokens. If the operator's file has quotas, tenants without a bucket get this one in two cases: before
	// this node has received the tables, as a tenant may have a quota, and before the address is open, as another process may
	// spend this node's tokens.
	emptyBucket = quota.NewEmptyBucket()
	// noZones is the set of zones for queued queries that this node may no longer serve.
	noZones = policy.NewZones()
)

// publishTrafficView builds a new trafficView from the current tables and replaces the published one. Tenants without a quota get
// no bucket, or emptyBucket in the cases that its comment describes.
func (f *Fleet) publishTrafficView() {
	view := &trafficView{
		buckets:   map[policy.CustomerID]*quota.Bucket{},
		strict:    map[policy.CustomerID]bool{},
		allStrict: slices.Contains(f.settings.Strict, "*"),
	}
	buckets := f.quotaClient.SetQuotas(f.now, f.tables.quotas)
	for i, tenant := range f.settings.Names.Tenants {
		view.strict[policy.CustomerID(i)] = f.settings.isStrict(quota.Tenant(tenant))
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

// publishZoneRules makes the aggregator apply the rules of the current view to its queued queries. A contractsApplied event
// follows once all subqueries in flight comply with these rules.
func (f *Fleet) publishZoneRules() {
	rules := f.admission.view.Load().rules
	zones := func(customer policy.CustomerID, index policy.IndexID) *policy.Zones {
		rule := rules.For(customer, index)
		if !rule.MayServe {
			return noZones
		}
		return rule.Zones
	}
	applied := f.contractsAppliedFunc(f.tables.versions.Contracts)
	f.aggregatorEvents.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, Rules: &aggregator.Rules{Zones: zones, OnApplied: applied}})
}

// contractsAppliedFunc returns the function that the aggregator's goroutine calls once it applies the contracts of a version.
func (f *Fleet) contractsAppliedFunc(v residency.Version) func() {
	return func() { f.events.Put(event{kind: contractsApplied, version: v}) }
}
