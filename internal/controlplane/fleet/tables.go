package fleet

import (
	"maps"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// clusterTables are what this node knows of the tables that the voters agreed on.
type clusterTables struct {
	contracts *residency.Table
	quotas    map[quota.Tenant]quota.Quota
	versions  tableVersions
	// received says that some came from a granter, to this process or to one before it.
	received bool
	// appliedContracts is the version that all subqueries of this node go by.
	appliedContracts residency.Version
	// minimumsVersion is that of the quotas whose minimums this node goes by, also after a restart.
	minimumsVersion consensus.QuotasVersion
}

// newerThan tells whether one of our tables is of a later version.
func (t *clusterTables) newerThan(v tableVersions) bool {
	return v.Contracts < t.versions.Contracts || v.Quotas < t.versions.Quotas
}

// apply takes the tables of a response that are newer than ours, and tells whether any changed, and whether the contracts
// did. Before the first response the initial contracts apply, which nobody agreed on.
func (t *clusterTables) apply(response *grantResponse, initial *residency.Table) (changed, contractsChanged bool) {
	contracts := response.Table != nil && response.Table.Version == response.Versions.Contracts && response.Versions.Contracts != t.versions.Contracts
	quotas := response.Versions.Quotas != t.versions.Quotas
	first := !t.received
	if !contracts && !quotas && !first {
		return false, false
	}
	if contracts || first && response.Versions.Contracts == 0 {
		if t.contracts = response.Table; t.contracts == nil {
			t.contracts = initial
		}
		t.versions.Contracts = response.Versions.Contracts
	}
	if quotas {
		t.quotas, t.versions.Quotas = maps.Clone(response.Quotas), response.Versions.Quotas
	}
	t.received = true
	return true, contracts || first
}

// initialContracts are those of the operator's file, of no version: they apply before anything was agreed on.
func (f *Fleet) initialContracts() *residency.Table {
	return &residency.Table{Contracts: f.settings.FileTables.Contracts}
}

// applyTables takes the tables of a granter's response, and publishes and stores what changed.
func (f *Fleet) applyTables(response *grantResponse) {
	changed, contractsChanged := f.tables.apply(response, f.initialContracts())
	if !changed {
		return
	}
	f.publish()
	if contractsChanged {
		f.publishZones()
	}
	f.saveTables()
}
