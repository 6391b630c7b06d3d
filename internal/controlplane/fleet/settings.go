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

// Settings are what the operator's file and the node's configuration say together. Times are seconds.
type Settings struct {
	Self        membership.Name
	Location    string // of this node, by the settings' names
	Membership  membership.Set
	Key         [sealedmessage.KeyBytes]byte
	Directory   string // "" stores nothing; a voter needs one
	Lease       float64
	MaxDeadline float64 // the longest hard deadline of a query
	Names       residency.KnownNames
	Layout      policy.Layout
	Seed        uint64

	HasQuotas  bool // the file has the section: until tables were received no tenant counts as one without a quota
	FileTables consensus.FileTables
	Strict     []string       // tenants refused where contracts are not confirmed; "*" for all
	Lines      map[string]int // line numbers in the operator's file, by key
}

// Keys of Lines, but for contracts and quotas, each of which has its own.
const (
	LineFleet  = "fleet"
	LineStrict = "strict"
)

// ContractLine is the key of the line of a tenant's contract.
func ContractLine(t quota.Tenant) string { return "contract " + string(t) }

// QuotaLine is the key of the line of a tenant's quota.
func QuotaLine(t quota.Tenant) string { return "quota " + string(t) }

// Check tells where the operator's file contradicts the settings: a ValidationError for each place, with its line, joined.
func (s *Settings) Check() error {
	var faults []error
	report := func(key, format string, args ...any) {
		faults = append(faults, invalid("operator's file, line %d: %s", s.Lines[key], fmt.Sprintf(format, args...)))
	}
	self := s.Membership.Find(s.Self)
	switch {
	case self == nil:
		report(LineFleet, "fleet.roster: no mixer is named %q, as this one is", s.Self)
	case self.Votes && s.Directory == "":
		report(LineFleet, "fleet.directory: expected one, as %q votes", s.Self)
	}
	for _, member := range s.Membership.Members {
		if !slices.Contains(s.Names.Zones, member.Location) {
			report(LineFleet, "fleet.roster: location %q of %q is none that the settings know, expected one of %q", member.Location, member.Name, s.Names.Zones)
		}
	}
	if s.Lease*contractShare < s.MaxDeadline+1 {
		report(LineFleet, "fleet.lease_s is %g, expected %g or more: half of it has to last for the longest hard deadline, %g s, and a second", s.Lease, 2*(s.MaxDeadline+1), s.MaxDeadline)
	}
	for _, tenant := range slices.Sorted(maps.Keys(s.FileTables.Contracts)) {
		contract := s.FileTables.Contracts[tenant]
		if err := s.Names.Check(tenant, &contract); err != nil {
			report(ContractLine(tenant), "contracts: %v", err)
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(s.FileTables.Quotas)) {
		if !slices.Contains(s.Names.Tenants, string(tenant)) {
			report(QuotaLine(tenant), "quotas: tenant %q is none that the settings know, expected one of %q", tenant, s.Names.Tenants)
		}
	}
	for _, tenant := range s.Strict {
		if tenant != "*" && !slices.Contains(s.Names.Tenants, tenant) {
			report(LineStrict, "contracts.strict: tenant %q is none that the settings know, expected some of %q or \"*\"", tenant, s.Names.Tenants)
		}
	}
	return errors.Join(faults...)
}

func (s *Settings) strict(tenant quota.Tenant) bool {
	return slices.Contains(s.Strict, "*") || slices.Contains(s.Strict, string(tenant))
}

// strictHash is equal at nodes that refuse the same tenants where contracts are not confirmed.
func (s *Settings) strictHash() uint64 {
	h := fnv.New64a()
	h.Write([]byte(strings.Join(slices.Sorted(slices.Values(s.Strict)), "\n")))
	return h.Sum64()
}
