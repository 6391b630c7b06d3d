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

// Settings combines the operator's file with the node's configuration. Times are in seconds.
type Settings struct {
	Self        membership.Name
	Location    string // zone of this node, one of Names.Zones
	Membership  membership.Set
	Key         [sealedmessage.KeyBytes]byte
	Directory   string // directory of the store; "" for none, which is invalid for a voter
	Lease       float64
	MaxDeadline float64 // the longest hard deadline of a query
	Names       residency.KnownNames
	Layout      policy.Layout
	Seed        uint64

	HasQuotas  bool // the operator's file has a section for quotas: until the tables are received, every tenant may have a quota
	FileTables consensus.FileTables
	Strict     []string       // tenants that are refused while the contracts are not confirmed; "*" for all
	Lines      map[string]int // line numbers in the operator's file, by key
}

// Keys of Settings.Lines. ContractLine and QuotaLine return the keys for a tenant's contract and quota.
const (
	LineFleet  = "fleet"
	LineStrict = "strict"
)

// ContractLine returns the key of Settings.Lines for a tenant's contract.
func ContractLine(t quota.Tenant) string { return "contract " + string(t) }

// QuotaLine returns the key of Settings.Lines for a tenant's quota.
func QuotaLine(t quota.Tenant) string { return "quota " + string(t) }

// Check reports the contradictions between the operator's file and the settings. The error joins one ValidationError for each of
// them, with its line in the file.
func (s *Settings) Check() error {
	var errs []error
	report := func(key, format string, args ...any) {
		errs = append(errs, newValidationError("operator's file, line %d: %s", s.Lines[key], fmt.Sprintf(format, args...)))
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
	return errors.Join(errs...)
}

func (s *Settings) isStrict(tenant quota.Tenant) bool {
	return slices.Contains(s.Strict, "*") || slices.Contains(s.Strict, string(tenant))
}

// strictHash returns a hash of the strict tenants. Nodes with the same strict tenants have the same hash.
func (s *Settings) strictHash() uint64 {
	h := fnv.New64a()
	h.Write([]byte(strings.Join(slices.Sorted(slices.Values(s.Strict)), "\n")))
	return h.Sum64()
}
