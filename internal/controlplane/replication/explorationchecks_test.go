package replication

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// check verifies the invariants of a member after each step.
func (c *exploredCluster) check(m *exploredMember) {
	if l := m.core.group(exploredGroup).leadership; l != nil {
		c.checkLeader(l)
	}
}

// checkState verifies after a write that all members that ever reached a position had the same state there.
func (c *exploredCluster) checkState(m *exploredMember) {
	g := m.core.group(exploredGroup)
	if len(m.writes) > 0 || g.replica.writing {
		return
	}
	position, hash := g.replica.position, hashState(m.disk[stateTable(exploredGroup)])
	if known, found := c.stateHashes[position]; found && known != hash {
		c.failf("%s has a different state at %v than an earlier member at this position", m.address, position)
	}
	c.stateHashes[position] = hash
}

func (c *exploredCluster) checkLeader(l *leadership) {
	if _, known := c.adopted[l.termNumber]; !known {
		c.adopted[l.termNumber] = l.history.batches[0].previous
	}
	c.committed[l.termNumber] = max(c.committed[l.termNumber], l.commitIndex)
	for laterTerm, base := range c.adopted {
		for term, index := range c.committed {
			if term < laterTerm && index > 0 && base.Before(Position{term, index}) {
				c.failf("term %d starts at %v without the committed batches of term %d up to index %d", laterTerm, base, term, index)
			}
		}
	}
}

func (c *exploredCluster) failf(format string, arguments ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, arguments...)
	}
}

func hashState(state map[string][]byte) uint64 {
	hash := fnv.New64a()
	for _, key := range slices.Sorted(maps.Keys(state)) {
		fmt.Fprintf(hash, "%q=%q ", key, state[key])
	}
	return hash.Sum64()
}
