package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// Status is what an operator sees of the fleet from one node. Times are in seconds.
type Status struct {
	Node                  membership.Name         `json:"mixer"`
	Open                  bool                    `json:"open"`
	OpenError             string                  `json:"why_not_open,omitempty"`
	Isolated              bool                    `json:"hears_nothing"`
	LocalHealth           int                     `json:"doubt_in_itself"`
	Votes                 bool                    `json:"votes"`
	SteppedOut            bool                    `json:"mute,omitempty"`
	Leader                membership.Name         `json:"leader,omitempty"`
	Leads                 bool                    `json:"leads"`
	GrantsIn              float64                 `json:"grants_in_s,omitempty"`
	ContractsConfirmedFor float64                 `json:"contracts_sure_for_s"`
	Contracts             residency.Table         `json:"contracts"`
	AppliedContracts      residency.Version       `json:"contracts_held"`
	QuotasVersion         consensus.QuotasVersion `json:"quotas_version"`
	Quotas                map[string]quota.Quota  `json:"quotas"`
	Members               []MemberStatus          `json:"members"`
	Outliers              []outlierStatus         `json:"judged"`
	Reports               []outlier.Summary       `json:"reports"`
}

// MemberStatus is another node, as the failure detector sees it.
type MemberStatus struct {
	Node          membership.Name `json:"mixer"`
	Status        string          `json:"status"`
	SinceReceived float64         `json:"heard_s_ago"`
}

// outlierStatus is a backend that counts as an outlier.
type outlierStatus struct {
	Backend string  `json:"searcher"`
	Age     float64 `json:"s_ago"`
}

// Status is what this node knows now; an error says that the Fleet has stopped.
func (f *Fleet) Status() (s Status, err error) {
	done := make(chan struct{})
	f.events.Put(event{kind: callRequested, call: func() { s = f.status(); close(done) }})
	select {
	case <-done:
		return s, nil
	case <-f.stopped:
		return s, errStopping
	}
}

func (f *Fleet) status() Status {
	status := Status{
		Node:                  f.settings.Self,
		Open:                  f.detector != nil,
		OpenError:             f.openError,
		SteppedOut:            f.voter.steppedOut,
		Leader:                f.granters.leader,
		Leads:                 f.isConfirmedLeader(),
		ContractsConfirmedFor: max(0, f.contractLease.AcceptUntil()-f.now),
		Contracts:             *f.tables.contracts,
		AppliedContracts:      f.tables.appliedContracts,
		QuotasVersion:         f.tables.versions.Quotas,
		Quotas:                map[string]quota.Quota{},
		Members:               []MemberStatus{},
		Outliers:              []outlierStatus{},
	}
	for tenant, q := range f.tables.quotas {
		status.Quotas[string(tenant)] = q
	}
	if status.Leads {
		status.GrantsIn = max(0, f.leadership.granter.ReadyAt()-f.now)
	}
	if f.detector == nil {
		return status
	}
	status.Isolated, status.LocalHealth, status.Votes = f.detector.Isolated(), f.detector.LocalHealth(), f.voter.machine != nil
	if f.voter.machine != nil {
		status.Leader = f.voter.machine.Leader()
	}
	for _, name := range f.peers {
		status.Members = append(status.Members, MemberStatus{name, f.detector.Status(name).String(), f.now - f.detector.ReceivedAt(name)})
	}
	status.Reports = f.outliers.store.Summaries(f.now)
	for name, at := range f.outliers.verdictAt {
		status.Outliers = append(status.Outliers, outlierStatus{string(name), f.now - at})
	}
	slices.SortFunc(status.Outliers, func(a, b outlierStatus) int { return cmp.Compare(a.Backend, b.Backend) })
	return status
}

// Explanation says which contract, lease and quota decide about a tenant's queries of an index at this node.
type Explanation struct {
	Accepted bool     `json:"taken"`
	Zones    []string `json:"zones,omitempty"` // that subqueries may go to; none for all
	Rules    []string `json:"rules"`
}

// Explain says which rules decide about a tenant's queries of an index now; an error says that the Fleet has stopped.
func (f *Fleet) Explain(tenant quota.Tenant, index string) (e Explanation, err error) {
	s, err := f.Status()
	if err != nil {
		return e, err
	}
	e.Accepted = true
	explain := func(format string, args ...any) { e.Rules = append(e.Rules, fmt.Sprintf(format, args...)) }
	contract, has := s.Contracts.Contracts[tenant]
	confirmed := s.ContractsConfirmedFor > 0
	switch {
	case !confirmed && f.settings.strict(tenant):
		e.Accepted = false
		explain("lease: contracts are not sure here, and the tenant is strict: refused")
	case !confirmed:
		explain("lease: contracts are not sure here; the tenant is served by the last ones, version %d", s.Contracts.Version)
	default:
		explain("lease: contracts of version %d are sure for %.1f s more", s.Contracts.Version, s.ContractsConfirmedFor)
	}
	switch {
	case !has || len(contract.Indexes) > 0 && !slices.Contains(contract.Indexes, index):
		explain("contract: none speaks of this tenant and index")
	case contract.RestrictsAggregators && !slices.Contains(contract.Zones, f.settings.Location):
		e.Accepted = false
		explain("contract: mixers have to stand in %q, this one is in %q: refused", contract.Zones, f.settings.Location)
	default:
		e.Zones = contract.Zones
		explain("contract: parts go to searchers in %q alone, whatever a pin or an override says", contract.Zones)
	}
	if tenantQuota, has := s.Quotas[string(tenant)]; has {
		perS, burst := tenantQuota.NodeMinimum(len(f.settings.Membership.Members))
		explain("quota: %g a second and a burst of %g over all mixers, of which this one has %g and %g by itself", tenantQuota.Rate, tenantQuota.Burst, perS, burst)
	} else {
		explain("quota: none")
	}
	for _, backend := range s.Outliers {
		explain("judgement: searcher %s counts as slow where this mixer knows little of it, by the word of others", backend.Backend)
	}
	return e, nil
}
