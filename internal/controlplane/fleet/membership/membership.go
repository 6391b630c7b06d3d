// Package membership defines the nodes of a fleet: their names, addresses and locations, and which of them vote. The operator
// fixes the set in a settings file, under the key roster. The package does no I/O.
package membership

import (
	"fmt"
	"net"
	"slices"
)

// Name is the name of a node. It is unique in the set.
type Name string

// Member is one node.
type Member struct {
	Name     Name
	Address  string // host and port on which the node receives datagrams and connections from other nodes
	Location string
	Votes    bool
}

// Set lists all nodes, in the same order at each node.
type Set struct {
	Version int
	Members []Member
}

const (
	// MinVoters is the smallest number of voters. With fewer, no voter could fail without losing the quorum.
	MinVoters = 3
	// MaxVoters is the largest number of voters. With more, the cost of waiting for more disks at each commit outweighs the gain
	// in safety (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4).
	MaxVoters = 7
	// maxMembers is far above the size of any fleet. It prevents a mistake in the file from causing huge tables.
	maxMembers = 4096
)

// Check returns all problems of a set, as texts for the operator who wrote it.
func (s *Set) Check() (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if s.Version < 1 {
		report("version is %d, expected 1 or more", s.Version)
	}
	if len(s.Members) > maxMembers {
		report("has %d mixers, expected at most %d", len(s.Members), maxMembers)
	}
	names, addresses := map[Name]bool{}, map[string]bool{}
	for _, member := range s.Members {
		if member.Name == "" || len(member.Name) > 64 {
			report("a mixer's name has %d bytes, expected 1 to 64", len(member.Name))
		}
		if names[member.Name] {
			report("two mixers are named %q", member.Name)
		}
		if _, _, err := net.SplitHostPort(member.Address); err != nil {
			report("%s: address is %q, expected HOST:PORT", member.Name, member.Address)
		} else if addresses[member.Address] {
			report("%s: address %s is another mixer's too", member.Name, member.Address)
		}
		names[member.Name], addresses[member.Address] = true, true
	}
	if n := len(s.Voters()); n < MinVoters || n > MaxVoters || n%2 == 0 {
		report("%d mixers vote, expected 3, 5 or 7", n)
	}
	return problems
}

// Find returns the member with a name, or nil if there is none.
func (s *Set) Find(name Name) *Member {
	if i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return &s.Members[i]
	}
	return nil
}

// Voters returns the names of the members that vote.
func (s *Set) Voters() (names []Name) {
	for _, m := range s.Members {
		if m.Votes {
			names = append(names, m.Name)
		}
	}
	return names
}

// Others returns the names of all members except self.
func (s *Set) Others(self Name) (names []Name) {
	for _, m := range s.Members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}
