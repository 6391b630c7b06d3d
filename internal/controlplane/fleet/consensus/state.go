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

// CommandID names a command, so that one sent twice acts once.
type CommandID string

// Command is what the consensus agrees on. One of its parts is set.
type Command struct {
	ID     CommandID `cbor:"1,keyasint"`
	Author string    `cbor:"2,keyasint,omitempty"`
	Reason string    `cbor:"3,keyasint,omitempty"`

	Contract *ContractChange `cbor:"4,keyasint,omitempty"`
	Quota    *QuotaChange    `cbor:"5,keyasint,omitempty"`
	File     *FileTables     `cbor:"6,keyasint,omitempty"`
}

// ContractChange sets a tenant's contract, or takes it away where there is none.
type ContractChange struct {
	Tenant   residency.Tenant    `cbor:"1,keyasint"`
	Contract *residency.Contract `cbor:"2,keyasint,omitempty"`
}

// QuotaChange sets a tenant's quota, or takes it away where there is none.
type QuotaChange struct {
	Tenant quota.Tenant `cbor:"1,keyasint"`
	Quota  *quota.Quota `cbor:"2,keyasint,omitempty"`
}

// FileTables are those of an operator's file. Each takes the place of all that holds where its version is above the last
// one taken from a file, and is ignored where it is not: what was set since by a command stands.
type FileTables struct {
	ContractsVersion int                                     `cbor:"1,keyasint,omitempty"`
	Contracts        map[residency.Tenant]residency.Contract `cbor:"2,keyasint,omitempty"`
	QuotasVersion    int                                     `cbor:"3,keyasint,omitempty"`
	Quotas           map[quota.Tenant]quota.Quota            `cbor:"4,keyasint,omitempty"`
}

// QuotasVersion orders tables of quotas, as residency.Version does those of contracts.
type QuotasVersion uint64

// Voter is one of the consensus: a name of the membership, with the number of the directory that it votes by.
type Voter struct {
	Name membership.Name `cbor:"1,keyasint"`
	ID   uint64          `cbor:"2,keyasint"`
}

// MinimumRate is the sum of all nodes' minimums of a quota.
type MinimumRate struct {
	PerS  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

// State is what has been agreed on.
type State struct {
	Index         uint64                       `cbor:"1,keyasint"`
	Contracts     residency.Table              `cbor:"2,keyasint"`
	Quotas        map[quota.Tenant]quota.Quota `cbor:"3,keyasint"`
	QuotasVersion QuotasVersion                `cbor:"4,keyasint"`
	// LargestMinimums are the largest that a tenant ever had: a node that is cut off may still go by them.
	LargestMinimums map[quota.Tenant]MinimumRate `cbor:"5,keyasint"`
	FileContracts   int                          `cbor:"6,keyasint"` // versions last taken from a file
	FileQuotas      int                          `cbor:"7,keyasint"`
	Voters          []Voter                      `cbor:"8,keyasint"`
	Applied         []AppliedCommand             `cbor:"9,keyasint"` // the last commands, oldest first
	Founders        []Voter                      `cbor:"10,keyasint"`
}

// Done is a command that has acted.
type AppliedCommand struct {
	ID      CommandID `cbor:"1,keyasint"`
	Index   uint64    `cbor:"2,keyasint"`
	Failure string    `cbor:"3,keyasint,omitempty"` // why it changed nothing
}

// maxAppliedRemembered is how many commands are known again when they come twice: hours of what operators send.
const maxAppliedRemembered = 1024

// FindApplied finds a command that has acted.
func (s *State) FindApplied(id CommandID) (AppliedCommand, bool) {
	i := slices.IndexFunc(s.Applied, func(d AppliedCommand) bool { return d.ID == id })
	if id == "" || i < 0 {
		return AppliedCommand{}, false
	}
	return s.Applied[i], true
}

// apply takes a command at a place of the log. Every node of the consensus does the same with it.
func (s *State) apply(index uint64, c *Command) AppliedCommand {
	if d, again := s.FindApplied(c.ID); again {
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

// applyFile takes the tables of a file that are newer than those last taken.
func (s *State) applyFile(index uint64, f *FileTables) error {
	var wrong error
	switch {
	case f.ContractsVersion == 0:
	case f.ContractsVersion <= s.FileContracts:
		wrong = staleTableError{"contracts", uint64(f.ContractsVersion), uint64(s.FileContracts)}
	default:
		s.FileContracts = f.ContractsVersion
		s.Contracts = residency.Table{Version: residency.Version(index), Contracts: f.Contracts}
	}
	switch {
	case f.QuotasVersion == 0:
	case f.QuotasVersion <= s.FileQuotas:
		wrong = errors.Join(wrong, staleTableError{"quotas", uint64(f.QuotasVersion), uint64(s.FileQuotas)})
	default:
		s.FileQuotas, s.QuotasVersion, s.Quotas = f.QuotasVersion, QuotasVersion(index), map[quota.Tenant]quota.Quota{}
		for tenant, q := range f.Quotas {
			s.setQuota(tenant, q)
		}
	}
	return wrong
}

func (s *State) setQuota(tenant quota.Tenant, q quota.Quota) {
	if s.Quotas == nil {
		s.Quotas = map[quota.Tenant]quota.Quota{}
	}
	s.Quotas[tenant] = q
	perS, burst := q.MinimumShare*q.PerS, q.MinimumShare*q.Burst
	s.LargestMinimums = maps.Clone(s.LargestMinimums)
	if s.LargestMinimums == nil {
		s.LargestMinimums = map[quota.Tenant]MinimumRate{}
	}
	s.LargestMinimums[tenant] = MinimumRate{max(s.LargestMinimums[tenant].PerS, perS), max(s.LargestMinimums[tenant].Burst, burst)}
}

// replace gives a voter another number.
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

// encode is canonical, so that the same state is the same bytes everywhere.
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
