package fleet

import (
	"maps"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// clusterTables holds this node's copy of the tables that the voters agreed on.
type clusterTables struct {
	contracts *residency.Table
	quotas    map[quota.Tenant]quota.Quota
	versions  tableVersions
	// received is true once a granter has sent tables to this process or to an earlier one.
	received bool
	// appliedContracts is the version of the contracts that all subqueries of this node comply with.
	appliedContracts residency.Version
	// minimumsVersion is the version of the quotas whose minimums this node applies, also after a restart.
	minimumsVersion consensus.QuotasVersion
}

// newerThan reports whether at least one of this node's tables is newer than the given versions.
func (t *clusterTables) newerThan(v tableVersions) bool {
	return v.Contracts < t.versions.Contracts || v.Quotas < t.versions.Quotas
}

// apply adopts the tables of a response whose versions differ from this node's. It reports whether any table changed, and whether
// the contracts changed. The first response counts as a change of both. If the voters have not agreed on any contracts by the
// first response, the initial contracts stay in use.
func (t *clusterTables) apply(response *grantResponse, initial *residency.Table) (changed, contractsChanged bool) {
	newContracts := response.Table != nil && response.Table.Version == response.Versions.Contracts && response.Versions.Contracts != t.versions.Contracts
	newQuotas := response.Versions.Quotas != t.versions.Quotas
	firstResponse := !t.received
	if !newContracts && !newQuotas && !firstResponse {
		return false, false
	}
	if newContracts || firstResponse && response.Versions.Contracts == 0 {
		if t.contracts = response.Table; t.contracts == nil {
			t.contracts = initial
		}
		t.versions.Contracts = response.Versions.Contracts
	}
	if newQuotas {
		t.quotas, t.versions.Quotas = maps.Clone(response.Quotas), response.Versions.Quotas
	}
	t.received = true
	return true, newContracts || firstResponse
}

// initialContracts returns the contracts of the operator's file, with version 0. They apply before the voters have agreed on any.
func (f *Fleet) initialContracts() *residency.Table {
	return &residency.Table{Contracts: f.settings.FileTables.Contracts}
}

// applyTables adopts the tables of a granter's response, and publishes and stores them if any changed.
func (f *Fleet) applyTables(response *grantResponse) {
	changed, contractsChanged := f.tables.apply(response, f.initialContracts())
	if !changed {
		return
	}
	f.publishTrafficView()
	if contractsChanged {
		f.publishZoneRules()
	}
	f.saveTables()
}
