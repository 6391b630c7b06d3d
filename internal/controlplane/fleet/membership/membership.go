// Package membership says which nodes a fleet has: names, addresses, locations, and which of them vote. The set is fixed by
// the operator's file, where its key is roster. The package does no I/O.
package membership

import (
	"fmt"
	"net"
	"slices"
)

// Name is a node's, unique in the set.
type Name string

// Member is one node.
type Member struct {
	Name     Name
	Address  string // host and port, on which it takes datagrams and connections from others
	Location string
	Votes    bool
}

// Set is all nodes, in the same order at each of them.
type Set struct {
	Version int
	Members []Member
}

const (
	// MinVoters is the least number of voters: with fewer none may fail.
	MinVoters = 3
	// MaxVoters is the largest: with more, each commit waits for more disks than it gains in safety
	// (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4).
	MaxVoters = 7
	// maxMembers is far above any fleet's size, so that a mistake in a file does not size tables.
	maxMembers = 4096
)

// Check lists all that is wrong with a set, in words for the operator who wrote it.
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

// Find is the member of a name, nil if there is none.
func (s *Set) Find(name Name) *Member {
	if i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return &s.Members[i]
	}
	return nil
}

// Voters lists the names of the members that vote.
func (s *Set) Voters() (names []Name) {
	for _, m := range s.Members {
		if m.Votes {
			names = append(names, m.Name)
		}
	}
	return names
}

// Others lists the names of all members but one.
func (s *Set) Others(self Name) (names []Name) {
	for _, m := range s.Members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}
