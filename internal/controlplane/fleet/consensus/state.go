package consensus

import (
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// CommandID identifies a command, so that a command that is sent twice is applied only once.
type CommandID string

// Command is a change of the replicated state. Exactly one of Contract, Quota and File is set.
type Command struct {
	ID     CommandID `cbor:"1,keyasint"`
	Author string    `cbor:"2,keyasint,omitempty"`
	Reason string    `cbor:"3,keyasint,omitempty"`

	Contract *ContractChange `cbor:"4,keyasint,omitempty"`
	Quota    *QuotaChange    `cbor:"5,keyasint,omitempty"`
	File     *FileTables     `cbor:"6,keyasint,omitempty"`
}

// ContractChange sets a tenant's contract, or removes it if Contract is nil.
type ContractChange struct {
	Tenant   residency.Tenant    `cbor:"1,keyasint"`
	Contract *residency.Contract `cbor:"2,keyasint,omitempty"`
}

// QuotaChange sets a tenant's quota, or removes it if Quota is nil.
type QuotaChange struct {
	Tenant quota.Tenant `cbor:"1,keyasint"`
	Quota  *quota.Quota `cbor:"2,keyasint,omitempty"`
}

// FileTables holds the tables of an operator's file. A table replaces the current one if its version is above the version last
// applied from a file. Otherwise it is ignored, so that later changes by commands are kept.
type FileTables struct {
	ContractsVersion int                                     `cbor:"1,keyasint,omitempty"`
	Contracts        map[residency.Tenant]residency.Contract `cbor:"2,keyasint,omitempty"`
	QuotasVersion    int                                     `cbor:"3,keyasint,omitempty"`
	Quotas           map[quota.Tenant]quota.Quota            `cbor:"4,keyasint,omitempty"`
}

// QuotasVersion is the version of a table of quotas. A newer table has a higher version, as with residency.Version for contracts.
type QuotasVersion uint64

// Voter is a voting member and the ID of its directory.
type Voter struct {
	Name membership.Name `cbor:"1,keyasint"`
	ID   uint64          `cbor:"2,keyasint"`
}

// MinimumRate is the sum of the minimums of all nodes for one quota.
type MinimumRate struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

// State is the replicated state.
type State struct {
	Index         uint64                       `cbor:"1,keyasint"`
	Contracts     residency.Table              `cbor:"2,keyasint"`
	Quotas        map[quota.Tenant]quota.Quota `cbor:"3,keyasint"`
	QuotasVersion QuotasVersion                `cbor:"4,keyasint"`
	// LargestMinimums holds the largest minimums that each tenant ever had, as a partitioned node may still apply them.
	LargestMinimums map[quota.Tenant]MinimumRate `cbor:"5,keyasint"`
	FileContracts   int                          `cbor:"6,keyasint"` // version of the contracts last applied from a file
	FileQuotas      int                          `cbor:"7,keyasint"` // version of the quotas last applied from a file
	Voters          []Voter                      `cbor:"8,keyasint"`
	Applied         []AppliedCommand             `cbor:"9,keyasint"` // most recent commands, oldest first
	InitialVoters   []Voter                      `cbor:"10,keyasint"`
}

// AppliedCommand is a command that was committed.
type AppliedCommand struct {
	ID      CommandID `cbor:"1,keyasint"`
	Index   uint64    `cbor:"2,keyasint"`
	Failure string    `cbor:"3,keyasint,omitempty"` // reason of a full or partial rejection; "" if the command was applied
}

// maxRememberedCommands is the number of applied commands that are recognized if they are sent again. It covers the commands that
// operators send in several hours.
const maxRememberedCommands = 1024

// FindApplied returns a remembered command by its ID, and reports whether it was found. An empty ID is never found.
func (s *State) FindApplied(id CommandID) (AppliedCommand, bool) {
	i := slices.IndexFunc(s.Applied, func(d AppliedCommand) bool { return d.ID == id })
	if id == "" || i < 0 {
		return AppliedCommand{}, false
	}
	return s.Applied[i], true
}

// apply applies the command of an entry. It is deterministic, so that all voters reach the same state.
func (s *State) apply(index uint64, c *Command) AppliedCommand {
	if earlier, found := s.FindApplied(c.ID); found {
		return earlier
	}
	applied := AppliedCommand{ID: c.ID, Index: index}
	if err := s.applyChange(index, c); err != nil {
		applied.Failure = err.Error()
	}
	s.Applied = append(s.Applied, applied)
	if len(s.Applied) > maxRememberedCommands {
		s.Applied = slices.Clone(s.Applied[len(s.Applied)-maxRememberedCommands:])
	}
	return applied
}

// errEmptyCommand is the failure of a command without a known change. Its text becomes part of the replicated state, so it must be
// the same at all voters.
var errEmptyCommand = errors.New("the command changes nothing that is known")

func (s *State) applyChange(index uint64, c *Command) error {
	switch {
	case c.Contract != nil:
		s.Contracts = *s.Contracts.With(residency.Version(index), c.Contract.Tenant, c.Contract.Contract)
	case c.Quota != nil:
		s.Quotas = maps.Clone(s.Quotas)
		if c.Quota.Quota == nil {
			delete(s.Quotas, c.Quota.Tenant)
		} else {
			s.setQuota(c.Quota.Tenant, *c.Quota.Quota)
		}
		s.QuotasVersion = QuotasVersion(index)
	case c.File != nil:
		return s.applyFile(index, c.File)
	default:
		return errEmptyCommand
	}
	return nil
}

// applyFile applies the tables of a file that are newer than those last applied from a file.
func (s *State) applyFile(index uint64, file *FileTables) error {
	var err error
	switch {
	case file.ContractsVersion == 0:
	case file.ContractsVersion <= s.FileContracts:
		err = staleTableError{"contracts", uint64(file.ContractsVersion), uint64(s.FileContracts)}
	default:
		s.FileContracts = file.ContractsVersion
		s.Contracts = residency.Table{Version: residency.Version(index), Contracts: file.Contracts}
	}
	switch {
	case file.QuotasVersion == 0:
	case file.QuotasVersion <= s.FileQuotas:
		err = errors.Join(err, staleTableError{"quotas", uint64(file.QuotasVersion), uint64(s.FileQuotas)})
	default:
		s.FileQuotas, s.QuotasVersion, s.Quotas = file.QuotasVersion, QuotasVersion(index), map[quota.Tenant]quota.Quota{}
		for tenant, q := range file.Quotas {
			s.setQuota(tenant, q)
		}
	}
	return err
}

func (s *State) setQuota(tenant quota.Tenant, q quota.Quota) {
	if s.Quotas == nil {
		s.Quotas = map[quota.Tenant]quota.Quota{}
	}
	s.Quotas[tenant] = q
	rate, burst := q.MinimumShare*q.Rate, q.MinimumShare*q.Burst
	s.LargestMinimums = maps.Clone(s.LargestMinimums)
	if s.LargestMinimums == nil {
		s.LargestMinimums = map[quota.Tenant]MinimumRate{}
	}
	s.LargestMinimums[tenant] = MinimumRate{max(s.LargestMinimums[tenant].Rate, rate), max(s.LargestMinimums[tenant].Burst, burst)}
}

// setVoterID sets the ID of a voter, and adds the voter if it is not in the list.
func (s *State) setVoterID(v Voter) {
	s.Voters = slices.Clone(s.Voters)
	for i := range s.Voters {
		if s.Voters[i].Name == v.Name {
			s.Voters[i].ID = v.ID
			return
		}
	}
	s.Voters = append(s.Voters, v)
}

// canonicalMode is the canonical CBOR encoding. Equal states have equal bytes at all voters.
var canonicalMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constants
	}
	return mode
}()

func encodeCanonical(v any) []byte {
	b, err := canonicalMode.Marshal(v)
	if err != nil {
		panic(err) // unreachable: every encoded type consists of plain structures
	}
	return b
}
