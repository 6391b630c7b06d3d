package override

import (
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// claim is one that a row of the precedence has found.
type claim struct {
	by   *Override
	text string
}

// precedence is the order in which rules are asked about a part of a shard and index and one backend that holds it. The
// first that claims decides; those below it are suspended there. A drain wins over all: who announced it takes nothing.
// Out wins over a pin: who took a backend out knows of a fault, who pinned to it may not. A pin wins over weights, as
// these share out among several.
var precedence = []struct {
	rule string
	asks func(t *Table, m *member, s policy.ShardID, k policy.IndexID) *claim
}{
	{"list", (*Table).notServing},
	{"out", (*Table).takenOut},
	{"pin", (*Table).pinnedThere},
	{"weight", (*Table).weighed},
}

func (t *Table) notServing(m *member, _ policy.ShardID, _ policy.IndexID) *claim {
	switch {
	case !m.listed:
		return &claim{text: "the list does not name it"}
	case m.Phase == policy.Draining:
		return &claim{text: "it drains"}
	}
	return nil
}

func (t *Table) takenOut(m *member, _ policy.ShardID, k policy.IndexID) *claim {
	if _, by := t.target(m, k, nil); by != nil && by.Kind == Out {
		return &claim{by: by, text: "it is out of service"}
	}
	return nil
}

func (t *Table) pinnedThere(m *member, s policy.ShardID, k policy.IndexID) *claim {
	o, why := t.pinOf(pinKey{s, k})
	switch {
	case o == nil || why != "":
		return nil
	case o.Backend == m.Name:
		return &claim{by: o, text: "the shard is pinned to it"}
	default:
		return &claim{by: o, text: fmt.Sprintf("the shard is pinned to %s", o.Backend)}
	}
}

func (t *Table) weighed(m *member, _ policy.ShardID, k policy.IndexID) *claim {
	if factor, by := t.target(m, k, nil); by != nil {
		return &claim{by: by, text: fmt.Sprintf("its share is weighed by %.3g", factor)}
	}
	return nil
}

// stronger tells which of two overrides of one kind and target holds for an index: the one for that index alone over
// one for all, and then the newer.
func stronger(x, y *Override) bool {
	if (x.Index != "") != (y.Index != "") {
		return x.Index != ""
	}
	return x.ID > y.ID
}

// strongest finds the override of a kind that holds in a list for an index, with one more that is thought of.
func (t *Table) strongest(list []*Override, kind Kind, k policy.IndexID, more *Override) (found *Override) {
	for _, o := range list {
		if o.Kind == kind && t.covers(o, k) && (found == nil || stronger(o, found)) {
			found = o
		}
	}
	if more != nil && more.Kind == kind && t.covers(more, k) && (found == nil || stronger(more, found)) {
		found = more
	}
	return found
}

// target is what a backend's share of an index comes to, 0 for out, and the override that says so, nil for none. Out
// at either the backend or its location is out; weights at both multiply.
func (t *Table) target(m *member, k policy.IndexID, more *Override) (factor float64, by *Override) {
	here, there := (*Override)(nil), (*Override)(nil)
	if more != nil && more.Backend == m.Name {
		here = more
	} else if more != nil && more.Location == m.Location {
		there = more
	}
	all := t.location(m.Location).own
	for _, o := range []*Override{t.strongest(m.own, Out, k, here), t.strongest(all, Out, k, there)} {
		if o != nil {
			return 0, o
		}
	}
	factor = 1
	for _, o := range []*Override{t.strongest(all, Weight, k, there), t.strongest(m.own, Weight, k, here)} {
		if o != nil {
			factor, by = factor*o.Factor, o
		}
	}
	return factor, by
}

// pinOf finds the pin that holds for a shard of an index, and why it is suspended or waits; "" if it acts.
func (t *Table) pinOf(at pinKey) (o *Override, why string) {
	if o = t.strongest(t.byShard[at.shard], Pin, at.index, nil); o == nil {
		return nil, ""
	}
	m := t.member(o.Backend)
	factor, _ := t.target(m, at.index, nil)
	switch {
	case m.listed && m.Phase == policy.Draining:
		return o, "suspended: its searcher drains"
	case !m.listed && m.drained:
		return o, "suspended: its searcher has drained and left"
	case !m.listed && !o.Strict:
		return o, "waits: the list does not name its searcher"
	case m.listed && !t.isReplica(m, at.shard):
		return o, "waits: its searcher does not hold the shard"
	case m.listed && factor == 0:
		return o, "suspended: its searcher is out of service"
	}
	return o, ""
}
