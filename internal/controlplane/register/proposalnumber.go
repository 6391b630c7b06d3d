package register

import (
	"cmp"
	"fmt"
)

// ProposalNumber numbers a proposal. Proposal numbers are totally ordered, and no two proposals have the same one: the
// counter rises with each proposal of a member, and the member's address breaks ties.
type ProposalNumber struct {
	Counter uint64 `msgpack:"c"` // 0 in the zero proposal number, below all others
	Member  string `msgpack:"m"` // internal address of the proposer
}

// Compare orders proposal numbers: negative if n is lower than other, 0 if equal, positive if higher.
func (n ProposalNumber) Compare(other ProposalNumber) int {
	return cmp.Or(cmp.Compare(n.Counter, other.Counter), cmp.Compare(n.Member, other.Member))
}

// Less tells whether n is lower than other.
func (n ProposalNumber) Less(other ProposalNumber) bool { return n.Compare(other) < 0 }

// String returns the proposal number for logs.
func (n ProposalNumber) String() string { return fmt.Sprintf("%d@%s", n.Counter, n.Member) }
