package operatorfile

import (
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
)

// Roster is that of the file.
func (f *Fleet) Roster() membership.Set {
	r := membership.Set{Version: f.Version}
	for _, m := range f.Aggregators {
		r.Members = append(r.Members, membership.Member{Name: membership.Name(m.Name), Address: m.Address, Location: m.Location, Votes: m.Votes})
	}
	return r
}

// checkFleet checks what no key of fleet, quotas and contracts can tell alone. What the aggregator's settings know of zones,
// tenants and indexes is checked where it starts.
func (r *reader) checkFleet() {
	fleet, quotas, contracts := &r.file.Fleet, &r.file.Quotas, &r.file.Contracts
	if !fleet.On {
		if quotas.On {
			r.failLine(quotas.Line, "quotas: expected a section fleet beside it, as all mixers hold them together")
		}
		if contracts.On {
			r.failLine(contracts.Line, "contracts: expected a section fleet beside it, as all mixers agree on them")
		}
		return
	}
	if fleet.KeyFile == "" {
		r.failLine(fleet.Line, "fleet: expected key_file, a file of %d hex digits that all mixers have", 2*KeyBytes)
	}
	roster := fleet.Roster()
	for _, wrong := range roster.Check() {
		r.failLine(fleet.Line, "fleet: %s", wrong)
	}
	if quotas.On && quotas.Version == 0 {
		r.failLine(quotas.Line, "quotas: expected version, a number that rises with each change")
	}
	if contracts.On && contracts.Version == 0 {
		r.failLine(contracts.Line, "contracts: expected version, a number that rises with each change")
	}
	seen := map[string]bool{}
	for _, t := range quotas.Tenants {
		if t.Tenant == "" || seen[t.Tenant] {
			r.failLine(t.Line, "quotas: tenant %q, expected a name that no other quota here has", t.Tenant)
		}
		seen[t.Tenant] = true
		if wrong, _ := t.Quota().Check(len(fleet.Aggregators)); wrong != "" {
			r.failLine(t.Line, "quotas: tenant %q: %s", t.Tenant, wrong)
		}
	}
	clear(seen)
	for _, t := range contracts.Tenants {
		if t.Tenant == "" || seen[t.Tenant] {
			r.failLine(t.Line, "contracts: tenant %q, expected a name that no other contract here has", t.Tenant)
		}
		seen[t.Tenant] = true
		if len(t.Zones) == 0 {
			r.failLine(t.Line, "contracts: tenant %q has no zone, expected one at the least", t.Tenant)
		}
	}
}

// Quota is the same in the fleet's terms.
func (q Quota) Quota() quota.Quota {
	return quota.Quota{Rate: q.PerS, Burst: q.Burst, MinimumShare: q.Floor}
}

// Warnings tells of what is allowed and may not be meant, a line each.
func (f *File) Warnings() (list []string) {
	for _, t := range f.Quotas.Tenants {
		if _, warn := t.Quota().Check(len(f.Fleet.Aggregators)); warn != "" {
			list = append(list, "quotas: tenant "+t.Tenant+": "+warn)
		}
	}
	return list
}
