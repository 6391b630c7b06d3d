// Package membership says which nodes make a fleet: names, addresses, locations, and who votes. It does no I/O and decides
// nothing but whether a membership can be one.
package membership

import (
	"fmt"
	"net"
	"slices"
)

// Name is a node's, as the membership has it.
type Name string

// Member is one node.
type Member struct {
	Name     Name
	Address  string // host and port, on which it takes datagrams and connections from others
	Location string
	Votes    bool
}

// Set is all of them, in one order everywhere.
type Set struct {
	Version int
	Members []Member
}

const (
	// MinVoters is how many a consensus has at the least: with fewer no voter may fail.
	MinVoters = 3
	// MaxVoters is how many it has at most: with more each decision waits for more disks than it gains in safety
	// (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4).
	MaxVoters = 7
	// maxMembers nodes: far over any fleet asked for, so that a file's slip does not size tables.
	maxMembers = 4096
)

// Check tells all that is wrong with a membership.
func (r *Set) Check() (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	if r.Version < 1 {
		say("version is %d, expected 1 or more", r.Version)
	}
	if len(r.Members) > maxMembers {
		say("has %d mixers, expected at most %d", len(r.Members), maxMembers)
	}
	names, addresses := map[Name]bool{}, map[string]bool{}
	for _, m := range r.Members {
		if m.Name == "" || len(m.Name) > 64 {
			say("a mixer's name has %d bytes, expected 1 to 64", len(m.Name))
		}
		if names[m.Name] {
			say("two mixers are named %q", m.Name)
		}
		if _, _, err := net.SplitHostPort(m.Address); err != nil {
			say("%s: address is %q, expected HOST:PORT", m.Name, m.Address)
		} else if addresses[m.Address] {
			say("%s: address %s is another mixer's too", m.Name, m.Address)
		}
		names[m.Name], addresses[m.Address] = true, true
	}
	if n := len(r.Voters()); n < MinVoters || n > MaxVoters || n%2 == 0 {
		say("%d mixers vote, expected 3, 5 or 7", n)
	}
	return wrong
}

// Find is the member of a name, nil if none has it.
func (r *Set) Find(name Name) *Member {
	if i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return &r.Members[i]
	}
	return nil
}

// Voters lists who votes.
func (r *Set) Voters() (names []Name) {
	for _, m := range r.Members {
		if m.Votes {
			names = append(names, m.Name)
		}
	}
	return names
}

// Others lists all but one.
func (r *Set) Others(self Name) (names []Name) {
	for _, m := range r.Members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}
