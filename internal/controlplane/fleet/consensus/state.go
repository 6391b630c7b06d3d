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

// CommandID identifies a command, so that one that is sent twice is applied once.
type CommandID string

// Command is what the voters agree on. One of Contract, Quota and File is set.
type Command struct {
	ID     CommandID `cbor:"1,keyasint"`
	Author string    `cbor:"2,keyasint,omitempty"`
	Reason string    `cbor:"3,keyasint,omitempty"`

	Contract *ContractChange `cbor:"4,keyasint,omitempty"`
	Quota    *QuotaChange    `cbor:"5,keyasint,omitempty"`
	File     *FileTables     `cbor:"6,keyasint,omitempty"`
}

// ContractChange sets a tenant's contract, or removes it where Contract is nil.
type ContractChange struct {
	Tenant   residency.Tenant    `cbor:"1,keyasint"`
	Contract *residency.Contract `cbor:"2,keyasint,omitempty"`
}

// QuotaChange sets a tenant's quota, or removes it where Quota is nil.
type QuotaChange struct {
	Tenant quota.Tenant `cbor:"1,keyasint"`
	Quota  *quota.Quota `cbor:"2,keyasint,omitempty"`
}

// FileTables are those of an operator's file. Each replaces the current table where its version is above the last one applied
// from a file, and is ignored elsewhere: then what a command has set since stays.
type FileTables struct {
	ContractsVersion int                                     `cbor:"1,keyasint,omitempty"`
	Contracts        map[residency.Tenant]residency.Contract `cbor:"2,keyasint,omitempty"`
	QuotasVersion    int                                     `cbor:"3,keyasint,omitempty"`
	Quotas           map[quota.Tenant]quota.Quota            `cbor:"4,keyasint,omitempty"`
}

// QuotasVersion orders tables of quotas, as residency.Version does those of contracts.
type QuotasVersion uint64

// Voter is a member that votes, with the ID of the directory that it votes by.
type Voter struct {
	Name membership.Name `cbor:"1,keyasint"`
	ID   uint64          `cbor:"2,keyasint"`
}

// MinimumRate is the sum of all nodes' minimums of a quota.
type MinimumRate struct {
	PerS  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

// State is the replicated state.
type State struct {
	Index         uint64                       `cbor:"1,keyasint"`
	Contracts     residency.Table              `cbor:"2,keyasint"`
	Quotas        map[quota.Tenant]quota.Quota `cbor:"3,keyasint"`
	QuotasVersion QuotasVersion                `cbor:"4,keyasint"`
	// LargestMinimums are the largest that each tenant ever had: a node that is partitioned may still go by them.
	LargestMinimums map[quota.Tenant]MinimumRate `cbor:"5,keyasint"`
	FileContracts   int                          `cbor:"6,keyasint"` // versions last taken from a file
	FileQuotas      int                          `cbor:"7,keyasint"`
	Voters          []Voter                      `cbor:"8,keyasint"`
	Applied         []AppliedCommand             `cbor:"9,keyasint"` // the last commands, oldest first
	Founders        []Voter                      `cbor:"10,keyasint"`
}

// AppliedCommand is a command that was committed.
type AppliedCommand struct {
	ID      CommandID `cbor:"1,keyasint"`
	Index   uint64    `cbor:"2,keyasint"`
	Failure string    `cbor:"3,keyasint,omitempty"` // why it changed nothing
}

// maxAppliedRemembered is how many commands are recognized when they come again: hours of what operators send.
const maxAppliedRemembered = 1024

// FindApplied finds a command that was applied.
func (s *State) FindApplied(id CommandID) (AppliedCommand, bool) {
	i := slices.IndexFunc(s.Applied, func(d AppliedCommand) bool { return d.ID == id })
	if id == "" || i < 0 {
		return AppliedCommand{}, false
	}
	return s.Applied[i], true
}

// apply applies the command of an entry. It is deterministic: all voters come to the same state.
func (s *State) apply(index uint64, c *Command) AppliedCommand {
	if d, applied := s.FindApplied(c.ID); applied {
		return d
	}
	d := AppliedCommand{ID: c.ID, Index: index}
	if err := s.change(index, c); err != nil {
		d.Failure = err.Error()
	}
	s.Applied = append(s.Applied, d)
	if len(s.Applied) > maxAppliedRemembered {
		s.Applied = slices.Clone(s.Applied[len(s.Applied)-maxAppliedRemembered:])
	}
	return d
}

var errEmptyCommand = errors.New("the command changes nothing that is known")

func (s *State) change(index uint64, c *Command) error {
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

// applyFile takes the tables of a file that are newer than those last applied from one.
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
	perS, burst := q.MinimumShare*q.Rate, q.MinimumShare*q.Burst
	s.LargestMinimums = maps.Clone(s.LargestMinimums)
	if s.LargestMinimums == nil {
		s.LargestMinimums = map[quota.Tenant]MinimumRate{}
	}
	s.LargestMinimums[tenant] = MinimumRate{max(s.LargestMinimums[tenant].PerS, perS), max(s.LargestMinimums[tenant].Burst, burst)}
}

// replace gives a voter another ID.
func (s *State) replace(v Voter) {
	s.Voters = slices.Clone(s.Voters)
	for i := range s.Voters {
		if s.Voters[i].Name == v.Name {
			s.Voters[i].ID = v.ID
			return
		}
	}
	s.Voters = append(s.Voters, v)
}

// encode is canonical: equal states are equal bytes at all voters.
var encode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func encoded(v any) []byte {
	b, err := encode.Marshal(v)
	if err != nil {
		panic(err) // plain structures
	}
	return b
}
