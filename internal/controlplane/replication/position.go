package replication

// Position identifies one state of a group: the state after the batch with number Index of the leader of Term.
// The zero Position is the empty state before the first leader.
type Position struct {
	Term  uint64 `msgpack:"e"`
	Index uint64 `msgpack:"s"`
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Index < other.Index
}
