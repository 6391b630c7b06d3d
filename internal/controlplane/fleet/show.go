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

// Shown is what an operator sees of the fleet from one node.
type Shown struct {
	Node      membership.Name         `json:"mixer"`
	Open      bool                    `json:"open"`
	Why       string                  `json:"why_not_open,omitempty"`
	Deaf      bool                    `json:"hears_nothing"`
	Doubt     int                     `json:"doubt_in_itself"`
	Votes     bool                    `json:"votes"`
	Mute      bool                    `json:"mute,omitempty"`
	Leader    membership.Name         `json:"leader,omitempty"`
	Leads     bool                    `json:"leads"`
	GrantsIn  float64                 `json:"grants_in_s,omitempty"`
	SureFor   float64                 `json:"contracts_sure_for_s"`
	Contracts residency.Table         `json:"contracts"`
	Holds     residency.Version       `json:"contracts_held"`
	QuotasAt  consensus.QuotasVersion `json:"quotas_version"`
	Quotas    map[string]quota.Quota  `json:"quotas"`
	Members   []ShownMember           `json:"members"`
	Judged    []shownJudgement        `json:"judged"`
	Reports   []outlier.Heard         `json:"reports"`
}

// ShownMember is another node.
type ShownMember struct {
	Node   membership.Name `json:"mixer"`
	Status string          `json:"status"`
	Heard  float64         `json:"heard_s_ago"`
}

type shownJudgement struct {
	Backend string  `json:"searcher"`
	Ago     float64 `json:"s_ago"`
}

// Show tells what this node knows.
func (f *Fleet) Show() (s Shown, err error) {
	done := make(chan struct{})
	f.in.Put(note{kind: asked, ask: func() { s = f.shown(); close(done) }})
	select {
	case <-done:
		return s, nil
	case <-f.stopped:
		return s, errStops
	}
}

func (f *Fleet) shown() Shown {
	s := Shown{Node: f.set.Self, Open: f.members != nil, Why: f.opening, Leader: f.leader, Leads: f.leads(), Mute: f.failed, Contracts: *f.table,
		Holds: f.holds, QuotasAt: f.has.Quotas, Quotas: map[string]quota.Quota{}, SureFor: max(0, f.lease.Until()-f.now), Members: []ShownMember{}, Judged: []shownJudgement{}}
	for tenant, q := range f.quotas {
		s.Quotas[string(tenant)] = q
	}
	if s.Leads {
		s.GrantsIn = max(0, f.granter.Ready()-f.now)
	}
	if f.members == nil {
		return s
	}
	s.Deaf, s.Doubt, s.Votes = f.members.Deaf(), f.members.Doubt(), f.council != nil
	if f.council != nil {
		s.Leader = f.council.Leader()
	}
	for _, name := range f.others {
		s.Members = append(s.Members, ShownMember{name, f.members.Status(name).String(), f.now - f.members.HeardAt(name)})
	}
	s.Reports = f.outliers.Heard(f.now)
	for name, at := range f.judged {
		s.Judged = append(s.Judged, shownJudgement{string(name), f.now - at})
	}
	slices.SortFunc(s.Judged, func(a, b shownJudgement) int { return cmp.Compare(a.Backend, b.Backend) })
	return s
}

// Explained says which contract, lease and quota decide about a tenant's queries of an index at this node.
type Explained struct {
	Taken bool     `json:"taken"`
	Zones []string `json:"zones,omitempty"` // to which parts may go; none for everywhere
	Rules []string `json:"rules"`
}

// Why explains it.
func (f *Fleet) Why(tenant quota.Tenant, index string) (e Explained, err error) {
	s, err := f.Show()
	if err != nil {
		return e, err
	}
	e.Taken = true
	say := func(format string, args ...any) { e.Rules = append(e.Rules, fmt.Sprintf(format, args...)) }
	c, has := s.Contracts.Contracts[tenant]
	sure := s.SureFor > 0
	switch {
	case !sure && f.set.strict(tenant):
		e.Taken = false
		say("lease: contracts are not sure here, and the tenant is strict: refused")
	case !sure:
		say("lease: contracts are not sure here; the tenant is served by the last ones, version %d", s.Contracts.Version)
	default:
		say("lease: contracts of version %d are sure for %.1f s more", s.Contracts.Version, s.SureFor)
	}
	switch {
	case !has || len(c.Indexes) > 0 && !slices.Contains(c.Indexes, index):
		say("contract: none speaks of this tenant and index")
	case c.Own && !slices.Contains(c.Zones, f.set.Location):
		e.Taken = false
		say("contract: mixers have to stand in %q, this one is in %q: refused", c.Zones, f.set.Location)
	default:
		e.Zones = c.Zones
		say("contract: parts go to searchers in %q alone, whatever a pin or an override says", c.Zones)
	}
	if q, has := s.Quotas[string(tenant)]; has {
		perS, burst := q.Share(len(f.set.Roster.Members))
		say("quota: %g a second and a burst of %g over all mixers, of which this one has %g and %g by itself", q.PerS, q.Burst, perS, burst)
	} else {
		say("quota: none")
	}
	for _, j := range s.Judged {
		say("judgement: searcher %s counts as slow where this mixer knows little of it, by the word of others", j.Backend)
	}
	return e, nil
}
