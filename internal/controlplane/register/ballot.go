// Package register implements a compare-and-swap register that is replicated on the members of a view. A change takes two
// quorum rounds, prepare and accept, and may be made by any mixer; there is no log and no leader (the protocol is known
// as CASPaxos).
//
// Safety rests on three facts. Acceptors make a promise or a value durable before they answer. Two majorities of a view
// share a member. And a member that lost its disk answers nothing until it has been rebuilt from a majority of the
// others, later than any round can last that counted one of its former answers (see RoundLimit and package rebuild).
package register

import (
	"cmp"
	"fmt"
)

// Ballot numbers a proposal. Higher ballots win; no two proposals have the same one.
type Ballot struct {
	Counter uint64 `msgpack:"c"` // 0 in the zero ballot, below all others
	Member  string `msgpack:"m"` // internal address of the proposer
}

// Compare orders ballots: negative if b is lower than other, 0 if equal, positive if higher.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Counter, other.Counter), cmp.Compare(b.Member, other.Member))
}

// Less tells whether b is lower than other.
func (b Ballot) Less(other Ballot) bool { return b.Compare(other) < 0 }

// String returns the ballot for logs.
func (b Ballot) String() string { return fmt.Sprintf("%d@%s", b.Counter, b.Member) }
