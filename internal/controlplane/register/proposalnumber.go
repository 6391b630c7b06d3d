package register

import (
	"cmp"
	"fmt"
)

// ProposalNumber identifies a proposal. Proposal numbers are totally ordered and unique. A proposer increases the counter for
// each proposal, and the addresses of the proposers break ties.
type ProposalNumber struct {
	Counter uint64 `msgpack:"c"` // 0 only in the zero value, which is lower than every other number
	Member  string `msgpack:"m"` // internal address of the proposer
}

// Compare returns a negative number if n is lower than other, 0 if they are equal, and a positive number if n is higher.
func (n ProposalNumber) Compare(other ProposalNumber) int {
	return cmp.Or(cmp.Compare(n.Counter, other.Counter), cmp.Compare(n.Member, other.Member))
}

// Less reports whether n is lower than other.
func (n ProposalNumber) Less(other ProposalNumber) bool { return n.Compare(other) < 0 }

// String returns the proposal number in the form counter@member for logs.
func (n ProposalNumber) String() string { return fmt.Sprintf("%d@%s", n.Counter, n.Member) }
