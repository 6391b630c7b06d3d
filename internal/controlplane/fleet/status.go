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

// Status is what an operator sees of the fleet from one node.
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

// MemberStatus is another node.
type MemberStatus struct {
	Node          membership.Name `json:"mixer"`
	Status        string          `json:"status"`
	SinceReceived float64         `json:"heard_s_ago"`
}

type outlierStatus struct {
	Backend string  `json:"searcher"`
	Age     float64 `json:"s_ago"`
}

// Status tells what this node knows.
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
	s := Status{Node: f.settings.Self, Open: f.detector != nil, OpenError: f.openError, Leader: f.leader, Leads: f.isConfirmedLeader(), SteppedOut: f.steppedOut, Contracts: *f.contracts,
		AppliedContracts: f.appliedContracts, QuotasVersion: f.versions.Quotas, Quotas: map[string]quota.Quota{}, ContractsConfirmedFor: max(0, f.contractLease.Until()-f.now), Members: []MemberStatus{}, Outliers: []outlierStatus{}}
	for tenant, q := range f.quotas {
		s.Quotas[string(tenant)] = q
	}
	if s.Leads {
		s.GrantsIn = max(0, f.granter.ReadyAt()-f.now)
	}
	if f.detector == nil {
		return s
	}
	s.Isolated, s.LocalHealth, s.Votes = f.detector.Isolated(), f.detector.LocalHealth(), f.consensus != nil
	if f.consensus != nil {
		s.Leader = f.consensus.Leader()
	}
	for _, name := range f.peers {
		s.Members = append(s.Members, MemberStatus{name, f.detector.Status(name).String(), f.now - f.detector.ReceivedAt(name)})
	}
	s.Reports = f.reports.Summaries(f.now)
	for name, at := range f.verdictAt {
		s.Outliers = append(s.Outliers, outlierStatus{string(name), f.now - at})
	}
	slices.SortFunc(s.Outliers, func(a, b outlierStatus) int { return cmp.Compare(a.Backend, b.Backend) })
	return s
}

// Explanation says which contract, lease and quota decide about a tenant's queries of an index at this node.
type Explanation struct {
	Accepted bool     `json:"taken"`
	Zones    []string `json:"zones,omitempty"` // to which parts may go; none for everywhere
	Rules    []string `json:"rules"`
}

// Why explains it.
func (f *Fleet) Explain(tenant quota.Tenant, index string) (e Explanation, err error) {
	s, err := f.Status()
	if err != nil {
		return e, err
	}
	e.Accepted = true
	say := func(format string, args ...any) { e.Rules = append(e.Rules, fmt.Sprintf(format, args...)) }
	c, has := s.Contracts.Contracts[tenant]
	sure := s.ContractsConfirmedFor > 0
	switch {
	case !sure && f.settings.strict(tenant):
		e.Accepted = false
		say("lease: contracts are not sure here, and the tenant is strict: refused")
	case !sure:
		say("lease: contracts are not sure here; the tenant is served by the last ones, version %d", s.Contracts.Version)
	default:
		say("lease: contracts of version %d are sure for %.1f s more", s.Contracts.Version, s.ContractsConfirmedFor)
	}
	switch {
	case !has || len(c.Indexes) > 0 && !slices.Contains(c.Indexes, index):
		say("contract: none speaks of this tenant and index")
	case c.Own && !slices.Contains(c.Zones, f.settings.Location):
		e.Accepted = false
		say("contract: mixers have to stand in %q, this one is in %q: refused", c.Zones, f.settings.Location)
	default:
		e.Zones = c.Zones
		say("contract: parts go to searchers in %q alone, whatever a pin or an override says", c.Zones)
	}
	if q, has := s.Quotas[string(tenant)]; has {
		perS, burst := q.NodeMinimum(len(f.settings.Membership.Members))
		say("quota: %g a second and a burst of %g over all mixers, of which this one has %g and %g by itself", q.PerS, q.Burst, perS, burst)
	} else {
		say("quota: none")
	}
	for _, j := range s.Outliers {
		say("judgement: searcher %s counts as slow where this mixer knows little of it, by the word of others", j.Backend)
	}
	return e, nil
}
