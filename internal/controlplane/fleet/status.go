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

// Status describes the fleet as one node sees it, for operators. Times are in seconds.
type Status struct {
	Node                  membership.Name         `json:"mixer"`
	Open                  bool                    `json:"open"`
	OpenError             string                  `json:"why_not_open,omitempty"`
	Isolated              bool                    `json:"hears_nothing"`
	LocalHealth           int                     `json:"doubt_in_itself"`
	Votes                 bool                    `json:"votes"`
	VoterSuspended        bool                    `json:"mute,omitempty"`
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

// MemberStatus is the state of another node, as the failure detector sees it.
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

// Status returns the current state of the fleet as this node sees it. It returns an error if the Fleet has stopped.
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
		VoterSuspended:        f.voter.suspended,
		Leader:                f.granterClient.leader,
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

// Explanation lists the contract, the lease and the quota that apply to a tenant's queries of an index at this node.
type Explanation struct {
	Accepted bool     `json:"taken"`
	Zones    []string `json:"zones,omitempty"` // zones that subqueries may be sent to; empty for all
	Rules    []string `json:"rules"`
}

// Explain returns the rules that currently apply to a tenant's queries of an index. It returns an error if the Fleet has stopped.
func (f *Fleet) Explain(tenant quota.Tenant, index string) (explanation Explanation, err error) {
	s, err := f.Status()
	if err != nil {
		return explanation, err
	}
	explanation.Accepted = true
	addRule := func(format string, args ...any) {
		explanation.Rules = append(explanation.Rules, fmt.Sprintf(format, args...))
	}
	contract, found := s.Contracts.Contracts[tenant]
	confirmed := s.ContractsConfirmedFor > 0
	switch {
	case !confirmed && f.settings.isStrict(tenant):
		explanation.Accepted = false
		addRule("lease: contracts are not sure here, and the tenant is strict: refused")
	case !confirmed:
		addRule("lease: contracts are not sure here; the tenant is served by the last ones, version %d", s.Contracts.Version)
	default:
		addRule("lease: contracts of version %d are sure for %.1f s more", s.Contracts.Version, s.ContractsConfirmedFor)
	}
	switch {
	case !found || len(contract.Indexes) > 0 && !slices.Contains(contract.Indexes, index):
		addRule("contract: none speaks of this tenant and index")
	case contract.RestrictsAggregators && !slices.Contains(contract.Zones, f.settings.Location):
		explanation.Accepted = false
		addRule("contract: mixers have to stand in %q, this one is in %q: refused", contract.Zones, f.settings.Location)
	default:
		explanation.Zones = contract.Zones
		addRule("contract: parts go to searchers in %q alone, whatever a pin or an override says", contract.Zones)
	}
	if tenantQuota, has := s.Quotas[string(tenant)]; has {
		rate, burst := tenantQuota.NodeMinimum(len(f.settings.Membership.Members))
		addRule("quota: %g a second and a burst of %g over all mixers, of which this one has %g and %g by itself", tenantQuota.Rate, tenantQuota.Burst, rate, burst)
	} else {
		addRule("quota: none")
	}
	for _, backend := range s.Outliers {
		addRule("judgement: searcher %s counts as slow where this mixer knows little of it, by the word of others", backend.Backend)
	}
	return explanation, nil
}
