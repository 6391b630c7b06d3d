package override

import (
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// decision is the result of a precedence rule that applies.
type decision struct {
	override    *Override
	explanation string
}

// precedence is the order in which the rules are evaluated for a shard, an index and one replica. The first rule that
// applies decides, and the rules below it are suspended there.
//   - A drain wins over everything, because a draining backend accepts no work.
//   - Out of service wins over a pin, because the operator who took the backend out knows of a fault, which the operator
//     who set the pin may not know of.
//   - A pin wins over weights, because weights distribute load among several backends.
var precedence = []struct {
	rule     string
	evaluate func(t *Table, m *member, shard policy.ShardID, index policy.IndexID) *decision
}{
	{"list", (*Table).decideByMembership},
	{"out", (*Table).decideByOutOfService},
	{"pin", (*Table).decideByPin},
	{"weight", (*Table).decideByWeight},
}

func (t *Table) decideByMembership(m *member, _ policy.ShardID, _ policy.IndexID) *decision {
	switch {
	case !m.listed:
		return &decision{explanation: "the list does not name it"}
	case m.Phase == policy.Draining:
		return &decision{explanation: "it drains"}
	}
	return nil
}

func (t *Table) decideByOutOfService(m *member, _ policy.ShardID, index policy.IndexID) *decision {
	if _, by := t.targetWeight(m, index, nil); by != nil && by.Kind == OutOfService {
		return &decision{override: by, explanation: "it is out of service"}
	}
	return nil
}

func (t *Table) decideByPin(m *member, shard policy.ShardID, index policy.IndexID) *decision {
	o, suspendedBecause := t.effectivePin(pinKey{shard, index})
	switch {
	case o == nil || suspendedBecause != "":
		return nil
	case o.Backend == m.Name:
		return &decision{override: o, explanation: "the shard is pinned to it"}
	default:
		return &decision{override: o, explanation: fmt.Sprintf("the shard is pinned to %s", o.Backend)}
	}
}

func (t *Table) decideByWeight(m *member, _ policy.ShardID, index policy.IndexID) *decision {
	if factor, by := t.targetWeight(m, index, nil); by != nil {
		return &decision{override: by, explanation: fmt.Sprintf("its share is weighed by %.3g", factor)}
	}
	return nil
}

// hasPriority reports whether x takes priority over y, where both have the same kind and target. An override for a single
// index takes priority over one for all indexes. Otherwise the newer override takes priority.
func hasPriority(x, y *Override) bool {
	if (x.Index != "") != (y.Index != "") {
		return x.Index != ""
	}
	return x.ID > y.ID
}

// effective returns the override of a kind that takes effect for an index, or nil if there is none. The candidates are a
// list and a proposed override, which may be nil.
func (t *Table) effective(candidates []*Override, kind Kind, index policy.IndexID, proposed *Override) (best *Override) {
	for _, o := range candidates {
		if o.Kind == kind && t.coversIndex(o, index) && (best == nil || hasPriority(o, best)) {
			best = o
		}
	}
	if proposed != nil && proposed.Kind == kind && t.coversIndex(proposed, index) && (best == nil || hasPriority(proposed, best)) {
		best = proposed
	}
	return best
}

// targetWeight returns a backend's weight for an index, and the override that determines it, nil for none. The weight is 0
// if the backend or its location is out of service. The weights of the backend and of its location are multiplied. A
// proposed override, which may be nil, is taken into account.
func (t *Table) targetWeight(m *member, index policy.IndexID, proposed *Override) (factor float64, by *Override) {
	proposedForBackend, proposedForLocation := (*Override)(nil), (*Override)(nil)
	if proposed != nil && proposed.Backend == m.Name {
		proposedForBackend = proposed
	} else if proposed != nil && proposed.Location == m.Location {
		proposedForLocation = proposed
	}
	locationOverrides := t.location(m.Location).overrides
	for _, o := range []*Override{t.effective(m.overrides, OutOfService, index, proposedForBackend), t.effective(locationOverrides, OutOfService, index, proposedForLocation)} {
		if o != nil {
			return 0, o
		}
	}
	factor = 1
	for _, o := range []*Override{t.effective(locationOverrides, Weight, index, proposedForLocation), t.effective(m.overrides, Weight, index, proposedForBackend)} {
		if o != nil {
			factor, by = factor*o.Factor, o
		}
	}
	return factor, by
}

// effectivePin returns the pin with priority for a shard of an index, or nil if there is none. If the pin has no effect,
// suspendedBecause states the reason.
func (t *Table) effectivePin(key pinKey) (o *Override, suspendedBecause string) {
	if o = t.effective(t.pinsByShard[key.shard], Pin, key.index, nil); o == nil {
		return nil, ""
	}
	m := t.member(o.Backend)
	factor, _ := t.targetWeight(m, key.index, nil)
	switch {
	case m.listed && m.Phase == policy.Draining:
		return o, "suspended: its searcher drains"
	case !m.listed && m.removedWhileDraining:
		return o, "suspended: its searcher has drained and left"
	case !m.listed && !o.Strict:
		return o, "waits: the list does not name its searcher"
	case m.listed && !t.isReplica(m, key.shard):
		return o, "waits: its searcher does not hold the shard"
	case m.listed && factor == 0:
		return o, "suspended: its searcher is out of service"
	}
	return o, ""
}
