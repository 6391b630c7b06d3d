// Package register implements a compare-and-swap register that is replicated on the members of a view. A change takes two
// quorum rounds, prepare and accept, and may be made by any node; there is no log and no leader (the protocol is known
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

// ProposalNumber numbers a proposal. Higher proposal numbers win; no two proposals have the same one.
type ProposalNumber struct {
	Counter uint64 `msgpack:"c"` // 0 in the zero proposal number, below all others
	Member  string `msgpack:"m"` // internal address of the proposer
}

// Compare orders proposal numbers: negative if b is lower than other, 0 if equal, positive if higher.
func (b ProposalNumber) Compare(other ProposalNumber) int {
	return cmp.Or(cmp.Compare(b.Counter, other.Counter), cmp.Compare(b.Member, other.Member))
}

// Less tells whether b is lower than other.
func (b ProposalNumber) Less(other ProposalNumber) bool { return b.Compare(other) < 0 }

// String returns the proposal number for logs.
func (b ProposalNumber) String() string { return fmt.Sprintf("%d@%s", b.Counter, b.Member) }
