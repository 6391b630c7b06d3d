package operatorfile

import (
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
)

// Roster returns the members of the fleet, in the form of the membership package.
func (f *Fleet) Roster() membership.Set {
	r := membership.Set{Version: f.Version}
	for _, m := range f.Aggregators {
		r.Members = append(r.Members, membership.Member{Name: membership.Name(m.Name), Address: m.Address, Location: m.Location, Votes: m.Votes})
	}
	return r
}

// checkFleet checks the rules that relate several keys of the sections fleet, quotas and contracts. Names of zones, tenants
// and indexes are not compared with the aggregator's settings here. The aggregator does that when it starts.
func (r *parser) checkFleet() {
	fleet, quotas, contracts := &r.file.Fleet, &r.file.Quotas, &r.file.Contracts
	if !fleet.On {
		if quotas.On {
			r.reportLine(quotas.Line, "quotas: expected a section fleet beside it, as all mixers hold them together")
		}
		if contracts.On {
			r.reportLine(contracts.Line, "contracts: expected a section fleet beside it, as all mixers agree on them")
		}
		return
	}
	if fleet.KeyFile == "" {
		r.reportLine(fleet.Line, "fleet: expected key_file, a file of %d hex digits that all mixers have", 2*KeyBytes)
	}
	roster := fleet.Roster()
	for _, mistake := range roster.Check() {
		r.reportLine(fleet.Line, "fleet: %s", mistake)
	}
	if quotas.On && quotas.Version == 0 {
		r.reportLine(quotas.Line, "quotas: expected version, a number that rises with each change")
	}
	if contracts.On && contracts.Version == 0 {
		r.reportLine(contracts.Line, "contracts: expected version, a number that rises with each change")
	}
	seen := map[string]bool{}
	for _, t := range quotas.Tenants {
		if t.Tenant == "" || seen[t.Tenant] {
			r.reportLine(t.Line, "quotas: tenant %q, expected a name that no other quota here has", t.Tenant)
		}
		seen[t.Tenant] = true
		if mistake, _ := t.Quota().Check(len(fleet.Aggregators)); mistake != "" {
			r.reportLine(t.Line, "quotas: tenant %q: %s", t.Tenant, mistake)
		}
	}
	clear(seen)
	for _, t := range contracts.Tenants {
		if t.Tenant == "" || seen[t.Tenant] {
			r.reportLine(t.Line, "contracts: tenant %q, expected a name that no other contract here has", t.Tenant)
		}
		seen[t.Tenant] = true
		if len(t.Zones) == 0 {
			r.reportLine(t.Line, "contracts: tenant %q has no zone, expected one at the least", t.Tenant)
		}
	}
}

// Quota returns the quota in the form of the quota package.
func (q Quota) Quota() quota.Quota {
	return quota.Quota{Rate: q.QueriesPerSecond, Burst: q.Burst, MinimumShare: q.MinimumShare}
}

// Warnings returns one line for each quota that is valid but possibly not intended.
func (f *File) Warnings() (list []string) {
	for _, t := range f.Quotas.Tenants {
		if _, warn := t.Quota().Check(len(f.Fleet.Aggregators)); warn != "" {
			list = append(list, "quotas: tenant "+t.Tenant+": "+warn)
		}
	}
	return list
}
