package replication

// Position names one state of a group: the Index-th batch of the leader of Term.
// The zero Position is the empty state before the first leader.
type Position struct {
	Term  uint64 `msgpack:"e"`
	Index uint64 `msgpack:"s"`
}

// Before tells whether the position is older than another.
func (p Position) Before(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Index < other.Index
}
