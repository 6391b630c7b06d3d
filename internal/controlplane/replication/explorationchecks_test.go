package replication

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// check verifies after each step what must always hold.
func (w *exploredCluster) check(m *exploredMember) {
	if l := m.core.group(exploredGroup).leading; l != nil {
		w.checkLeader(l)
	}
}

// checkState verifies after a write that all that are at one position hold the same state.
func (w *exploredCluster) checkState(m *exploredMember) {
	g := m.core.group(exploredGroup)
	if len(m.writes) > 0 || g.replica.writing {
		return
	}
	position, sum := g.replica.position, hashState(m.disk[stateTable(exploredGroup)])
	if known, found := w.states[position]; found && known != sum {
		w.failf("%s holds another state at %v than one before it", m.address, position)
	}
	w.states[position] = sum
}

func (w *exploredCluster) checkLeader(l *leadership) {
	if _, known := w.bases[l.termNumber]; !known {
		w.bases[l.termNumber] = l.history.batches[0].previous
	}
	w.committed[l.termNumber] = max(w.committed[l.termNumber], l.commitIndex)
	for later, base := range w.bases {
		for term, sequence := range w.committed {
			if term < later && sequence > 0 && base.Before(Position{term, sequence}) {
				w.failf("term %d begins at %v without what term %d has committed, %d", later, base, term, sequence)
			}
		}
	}
}

func (w *exploredCluster) failf(format string, arguments ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, arguments...)
	}
}

func hashState(state map[string][]byte) uint64 {
	sum := fnv.New64a()
	for _, key := range slices.Sorted(maps.Keys(state)) {
		fmt.Fprintf(sum, "%q=%q ", key, state[key])
	}
	return sum.Sum64()
}
