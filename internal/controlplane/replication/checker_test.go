package replication

import (
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"time"
)

// versionKey holds the mark of the newest proposal in each state of the simulation.
const versionKey = "mark"

// version numbers the proposals of a term from 1; a term's base state bears the mark of an earlier term.
type version struct{ term, index uint64 }

func (m version) before(other version) bool {
	return m.term < other.term || m.term == other.term && m.index < other.index
}

func (m version) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, m.term), m.index)
}

func decodeVersion(value []byte) version {
	if len(value) != 16 {
		return version{}
	}
	return version{binary.BigEndian.Uint64(value), binary.BigEndian.Uint64(value[8:])}
}

// recordedTerm is a term as its handler saw it.
type recordedTerm struct {
	term        *Term
	owner       *simulatedNode
	base        map[string][]byte
	proposals   [][]Entry
	commitIndex uint64
	deposed     bool
}

// after is the state after so many of the term's proposals.
func (r *recordedTerm) after(proposals uint64) map[string][]byte {
	state := maps.Clone(r.base)
	for _, entries := range r.proposals[:proposals] {
		for _, entry := range entries {
			if entry.Value == nil {
				delete(state, entry.Key)
				continue
			}
			state[entry.Key] = entry.Value
		}
	}
	return state
}

// checker compares what handlers see with what the package promises.
type checker struct {
	simulation *simulation
	terms      map[string]map[uint64]*recordedTerm // by group and term
	committed  map[string]version                  // the highest
	commits    int
	elections  int
	err        error
}

func newChecker(s *simulation) *checker {
	c := &checker{simulation: s, terms: make(map[string]map[uint64]*recordedTerm), committed: make(map[string]version)}
	for _, group := range s.groups {
		c.terms[group] = make(map[uint64]*recordedTerm)
	}
	return c
}

func (c *checker) failf(format string, arguments ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("at %v: "+format, append([]any{c.simulation.now - time.Hour}, arguments...)...)
	}
}

// checkLeases verifies that no two terms of a group are valid at this moment.
func (c *checker) checkLeases() {
	for _, group := range c.simulation.groups {
		var leader *simulatedNode
		for _, address := range c.simulation.machines {
			n := c.simulation.nodes[address]
			if !n.up || !n.valid(group) {
				continue
			}
			if leader != nil {
				c.failf("%s: both %s and %s hold a lease", group, leader.address, address)
			}
			leader = n
		}
	}
}

func (c *checker) elected(owner *simulatedNode, term *Term, state map[string][]byte) *recordedTerm {
	c.elections++
	group, number := term.Group(), term.Number()
	if c.terms[group][number] != nil {
		c.failf("%s: term %d has two leaders", group, number)
	}
	base := decodeVersion(state[versionKey])
	if base.term >= number {
		c.failf("%s: term %d begins on a state of term %d", group, number, base.term)
	}
	for other, record := range c.terms[group] {
		if other < number && record.commitIndex > 0 && base.before(version{other, record.commitIndex}) {
			c.failf("%s: term %d begins at %v without what term %d had committed, %d", group, number, base, other, record.commitIndex)
		}
	}
	c.checkState(group, number, base, state)
	record := &recordedTerm{term: term, owner: owner, base: maps.Clone(state)}
	c.terms[group][number] = record
	return record
}

// checkState verifies that a state is one that some term had.
func (c *checker) checkState(group string, term uint64, base version, state map[string][]byte) {
	if base == (version{}) {
		if len(state) > 0 {
			c.failf("%s: term %d begins on an unknown state", group, term)
		}
		return
	}
	origin := c.terms[group][base.term]
	if origin == nil || base.index > uint64(len(origin.proposals)) {
		c.failf("%s: term %d begins at %v, which nobody proposed", group, term, base)
		return
	}
	if !reflect.DeepEqual(origin.after(base.index), state) {
		c.failf("%s: term %d begins at %v with another state", group, term, base)
	}
}

func (c *checker) commit(record *recordedTerm, index uint64) {
	c.commits++
	group, term := record.term.Group(), record.term.Number()
	if record.deposed || record.term.over() {
		c.failf("%s: a callback came after term %d had ended", group, term)
	}
	if index != record.commitIndex+1 {
		c.failf("%s: term %d committed %d after %d", group, term, index, record.commitIndex)
	}
	record.commitIndex = index
	for other, later := range c.terms[group] {
		base := decodeVersion(later.base[versionKey])
		if other > term && base.before(version{term, index}) {
			c.failf("%s: term %d committed %d though term %d had begun at %v", group, term, index, other, base)
		}
	}
}

// Elected implements Handler: it proposes as long as the term lasts.
func (n *simulatedNode) Elected(term *Term, state map[string][]byte) {
	record := n.simulation.history.elected(n, term, state)
	n.terms[term.Group()] = term
	n.propose(record)
}

// Deposed implements Handler.
func (n *simulatedNode) Deposed(term *Term) {
	record := n.simulation.history.terms[term.Group()][term.Number()]
	if record == nil || record.deposed {
		n.simulation.history.failf("%s: term %d was deposed wrongly", term.Group(), term.Number())
		return
	}
	record.deposed = true
}

func (n *simulatedNode) propose(record *recordedTerm) {
	s := n.simulation
	if record.term.over() {
		return
	}
	if s.proposing {
		index := uint64(len(record.proposals) + 1)
		entries := []Entry{{versionKey, version{record.term.Number(), index}.encode()}}
		for range s.random.IntN(4) {
			entries = append(entries, n.randomEntry(index))
		}
		record.proposals = append(record.proposals, entries)
		record.term.Propose(entries, func() { s.history.commit(record, index) })
		if s.random.IntN(5) == 0 {
			record.term.Propose(nil, func() {
				if record.commitIndex < index {
					s.history.failf("%s: an empty proposal did not wait", record.term.Group())
				}
			})
		}
	}
	interval := 60 * time.Millisecond
	if s.proposeOften {
		interval = 2 * time.Millisecond
	}
	n.later(s.between(time.Millisecond, interval), func() { n.propose(record) })
}

func (n *simulatedNode) randomEntry(index uint64) Entry {
	entry := Entry{Key: fmt.Sprintf("key %d", n.simulation.random.IntN(12))}
	switch n.simulation.random.IntN(8) {
	case 0: // a deletion
	case 1:
		entry.Value = []byte{}
	default:
		entry.Value = binary.BigEndian.AppendUint64(nil, index)
	}
	return entry
}
