package replication

import (
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"time"
)

// versionKey is the key of the version in each state of the simulation.
const versionKey = "mark"

// version identifies a proposal by its term and its index in the term, from 1. A term starts with a state whose version is of
// an earlier term.
type version struct{ term, index uint64 }

func (v version) before(other version) bool {
	return v.term < other.term || v.term == other.term && v.index < other.index
}

func (v version) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, v.term), v.index)
}

func decodeVersion(value []byte) version {
	if len(value) != 16 {
		return version{}
	}
	return version{binary.BigEndian.Uint64(value), binary.BigEndian.Uint64(value[8:])}
}

// recordedTerm records a term as observed by its handler.
type recordedTerm struct {
	term        *Term
	owner       *simulatedNode
	base        map[string][]byte
	proposals   [][]Entry
	commitIndex uint64
	deposed     bool
}

// stateAfter returns the state after the given number of proposals of the term.
func (r *recordedTerm) stateAfter(proposals uint64) map[string][]byte {
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

// checker verifies that the calls of handlers meet the guarantees of the package.
type checker struct {
	simulation *simulation
	terms      map[string]map[uint64]*recordedTerm // by group and term
	committed  map[string]version                  // highest committed version by group
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

// checkLeases verifies that at most one term of each group is valid at this moment.
func (c *checker) checkLeases() {
	for _, group := range c.simulation.groups {
		var leader *simulatedNode
		for _, address := range c.simulation.machines {
			n := c.simulation.nodes[address]
			if !n.up || !n.holdsLease(group) {
				continue
			}
			if leader != nil {
				c.failf("%s: both %s and %s hold a valid lease", group, leader.address, address)
			}
			leader = n
		}
	}
}

func (c *checker) recordElection(owner *simulatedNode, term *Term, state map[string][]byte) *recordedTerm {
	c.elections++
	group, number := term.Group(), term.Number()
	if c.terms[group][number] != nil {
		c.failf("%s: term %d has two leaders", group, number)
	}
	base := decodeVersion(state[versionKey])
	if base.term >= number {
		c.failf("%s: term %d starts with a state of term %d", group, number, base.term)
	}
	for other, record := range c.terms[group] {
		if other < number && record.commitIndex > 0 && base.before(version{other, record.commitIndex}) {
			c.failf("%s: term %d starts at %v without the committed proposals of term %d up to index %d", group, number, base, other, record.commitIndex)
		}
	}
	c.checkState(group, number, base, state)
	record := &recordedTerm{term: term, owner: owner, base: maps.Clone(state)}
	c.terms[group][number] = record
	return record
}

// checkState verifies that a term starts with a state that existed in an earlier term.
func (c *checker) checkState(group string, term uint64, base version, state map[string][]byte) {
	if base == (version{}) {
		if len(state) > 0 {
			c.failf("%s: term %d starts with a state without a version", group, term)
		}
		return
	}
	origin := c.terms[group][base.term]
	if origin == nil || base.index > uint64(len(origin.proposals)) {
		c.failf("%s: term %d starts at %v, which was never proposed", group, term, base)
		return
	}
	if !reflect.DeepEqual(origin.stateAfter(base.index), state) {
		c.failf("%s: term %d starts at %v with a different state", group, term, base)
	}
}

func (c *checker) recordCommit(record *recordedTerm, index uint64) {
	c.commits++
	group, term := record.term.Group(), record.term.Number()
	if record.deposed || record.term.hasEnded() {
		c.failf("%s: a commit callback ran after the end of term %d", group, term)
	}
	if index != record.commitIndex+1 {
		c.failf("%s: term %d committed index %d after index %d", group, term, index, record.commitIndex)
	}
	record.commitIndex = index
	for other, later := range c.terms[group] {
		base := decodeVersion(later.base[versionKey])
		if other > term && base.before(version{term, index}) {
			c.failf("%s: term %d committed index %d although term %d had started at %v", group, term, index, other, base)
		}
	}
}

// Elected implements Handler. It proposes entries until the term ends.
func (n *simulatedNode) Elected(term *Term, state map[string][]byte) {
	record := n.simulation.checker.recordElection(n, term, state)
	n.terms[term.Group()] = term
	n.propose(record)
}

// Deposed implements Handler.
func (n *simulatedNode) Deposed(term *Term) {
	record := n.simulation.checker.terms[term.Group()][term.Number()]
	if record == nil || record.deposed {
		n.simulation.checker.failf("%s: term %d was deposed twice or without an election", term.Group(), term.Number())
		return
	}
	record.deposed = true
}

func (n *simulatedNode) propose(record *recordedTerm) {
	s := n.simulation
	if record.term.hasEnded() {
		return
	}
	if s.proposing {
		index := uint64(len(record.proposals) + 1)
		entries := []Entry{{versionKey, version{record.term.Number(), index}.encode()}}
		for range s.random.IntN(4) {
			entries = append(entries, n.randomEntry(index))
		}
		record.proposals = append(record.proposals, entries)
		record.term.Propose(entries, func() { s.checker.recordCommit(record, index) })
		if s.random.IntN(5) == 0 {
			record.term.Propose(nil, func() {
				if record.commitIndex < index {
					s.checker.failf("%s: an empty proposal was confirmed before the proposal preceding it", record.term.Group())
				}
			})
		}
	}
	interval := 60 * time.Millisecond
	if s.proposeOften {
		interval = 2 * time.Millisecond
	}
	n.runLater(s.randomBetween(time.Millisecond, interval), func() { n.propose(record) })
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
