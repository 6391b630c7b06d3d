package fleet

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
	"puffinlink.example/puffinlink/policy"
)

// Settings are what the operator's file and the node's config say together. Times are seconds.
type Settings struct {
	Self        membership.Name
	Location    string // of this node, by the settings' names
	Membership  membership.Set
	Key         [sealedmessage.KeyBytes]byte
	Directory   string // "" keeps nothing; a voter needs one
	Lease       float64
	MaxDeadline float64 // hard deadline
	Names       residency.NameSpace
	Layout      policy.Layout
	Seed        uint64

	HasQuotas  bool // the file has the section: until the consensus was heard no tenant is taken for one without a quota
	FileTables consensus.FileTables
	Strict     []string       // tenants refused where contracts are not sure; "*" for all
	Lines      map[string]int // of the file, by key
}

// Keys of Lines, but for contracts and quotas, each of which has its own.
const (
	LineFleet  = "fleet"
	LineStrict = "strict"
)

// ContractLine and QuotaLine are the keys of a tenant's.
func ContractLine(t quota.Tenant) string { return "contract " + string(t) }

// QuotaLine is the key of the line of a tenant's quota.
func QuotaLine(t quota.Tenant) string { return "quota " + string(t) }

// Check tells what settings and file say against each other, each with its line of the file.
func (s *Settings) Check() error {
	var faults []error
	say := func(key, format string, args ...any) {
		faults = append(faults, invalid("operator's file, line %d: %s", s.Lines[key], fmt.Sprintf(format, args...)))
	}
	me := s.Membership.Find(s.Self)
	switch {
	case me == nil:
		say(LineFleet, "fleet.roster: no mixer is named %q, as this one is", s.Self)
	case me.Votes && s.Directory == "":
		say(LineFleet, "fleet.directory: expected one, as %q votes", s.Self)
	}
	for _, m := range s.Membership.Members {
		if !slices.Contains(s.Names.Zones, m.Location) {
			say(LineFleet, "fleet.roster: location %q of %q is none that the settings know, expected one of %q", m.Location, m.Name, s.Names.Zones)
		}
	}
	if s.Lease*contractShare < s.MaxDeadline+1 {
		say(LineFleet, "fleet.lease_s is %g, expected %g or more: half of it has to last for the longest hard deadline, %g s, and a second", s.Lease, 2*(s.MaxDeadline+1), s.MaxDeadline)
	}
	for _, tenant := range slices.Sorted(maps.Keys(s.FileTables.Contracts)) {
		c := s.FileTables.Contracts[tenant]
		if err := s.Names.Check(tenant, &c); err != nil {
			say(ContractLine(tenant), "contracts: %v", err)
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(s.FileTables.Quotas)) {
		if !slices.Contains(s.Names.Tenants, string(tenant)) {
			say(QuotaLine(tenant), "quotas: tenant %q is none that the settings know, expected one of %q", tenant, s.Names.Tenants)
		}
	}
	for _, tenant := range s.Strict {
		if tenant != "*" && !slices.Contains(s.Names.Tenants, tenant) {
			say(LineStrict, "contracts.strict: tenant %q is none that the settings know, expected some of %q or \"*\"", tenant, s.Names.Tenants)
		}
	}
	return errors.Join(faults...)
}

func (s *Settings) strict(tenant quota.Tenant) bool {
	return slices.Contains(s.Strict, "*") || slices.Contains(s.Strict, string(tenant))
}

// strictHash tells whether two nodes refuse the same tenants where contracts are not sure.
func (s *Settings) strictHash() uint64 {
	h := fnv.New64a()
	h.Write([]byte(strings.Join(slices.Sorted(slices.Values(s.Strict)), "\n")))
	return h.Sum64()
}
