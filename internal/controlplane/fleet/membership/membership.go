// Package membership says which nodes make a fleet: names, addresses, locations, and who votes. It does no I/O and decides
// nothing but whether a roster can be one.
package membership

import (
	"fmt"
	"net"
	"slices"
)

// Name is a node's, as the roster has it.
type Name string

// Member is one node.
type Member struct {
	Name     Name
	Address  string // host and port, on which it takes datagrams and connections from others
	Location string
	Votes    bool
}

// Roster is all of them, in one order everywhere.
type Roster struct {
	Version int
	Members []Member
}

const (
	// FewestVoters is how many a council has at the least: with fewer no voter may fail.
	FewestVoters = 3
	// MostVoters is how many it has at most: with more each decision waits for more disks than it gains in safety
	// (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4).
	MostVoters = 7
	// most nodes: far over any fleet asked for, so that a file's slip does not size tables.
	most = 4096
)

// Check tells all that is wrong with a roster.
func (r *Roster) Check() (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	if r.Version < 1 {
		say("version is %d, expected 1 or more", r.Version)
	}
	if len(r.Members) > most {
		say("has %d mixers, expected at most %d", len(r.Members), most)
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
	if n := len(r.Voters()); n < FewestVoters || n > MostVoters || n%2 == 0 {
		say("%d mixers vote, expected 3, 5 or 7", n)
	}
	return wrong
}

// Find is the member of a name, nil if none has it.
func (r *Roster) Find(name Name) *Member {
	if i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return &r.Members[i]
	}
	return nil
}

// Voters lists who votes.
func (r *Roster) Voters() (names []Name) {
	for _, m := range r.Members {
		if m.Votes {
			names = append(names, m.Name)
		}
	}
	return names
}

// Others lists all but one.
func (r *Roster) Others(self Name) (names []Name) {
	for _, m := range r.Members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}
