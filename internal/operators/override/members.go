package override

import (
	"slices"

	"puffinlink.example/puffinlink/policy"
)

func (t *Table) member(name string) *member {
	m := t.members[name]
	if m == nil {
		m = &member{Member: Member{Name: name, Phase: policy.Removed}, levels: make([]memberLevel, len(t.limits.Indexes))}
		for k := range m.levels {
			m.levels[k] = memberLevel{recoveryLevel{1, 1}, 1}
		}
		t.members[name] = m
	}
	return m
}

func (t *Table) location(name string) *location {
	l := t.locations[name]
	if l == nil {
		l = &location{members: map[string]*member{}}
		t.locations[name] = l
	}
	return l
}

// UpdateMembership applies a membership list, or the changed entries of one if complete is false. It ends the overrides
// whose backend has restarted and returns these changes, which the caller must store.
func (t *Table) UpdateMembership(now float64, complete bool, entries []Member) (ended []Change) {
	if complete {
		named := make(map[string]bool, len(entries))
		for i := range entries {
			named[entries[i].Name] = true
		}
		for _, m := range t.members {
			if m.listed && !named[m.Name] {
				t.unlist(m)
			}
		}
	}
	for i := range entries {
		ended = append(ended, t.updateMember(now, &entries[i])...)
	}
	return ended
}

// unlist marks a backend as missing from the membership list. Its overrides stay live and apply again if a backend with
// the same name is listed.
func (t *Table) unlist(m *member) {
	m.removedWhileDraining = m.Phase == policy.Draining && len(m.pins) > 0
	m.listed, m.Phase = false, policy.Removed
	t.listedCount--
	t.removeFromLookups(m)
	t.markMemberDirty(m)
}

func (t *Table) removeFromLookups(m *member) {
	delete(t.membersByCell[m.Cell], m.Name)
	delete(t.location(m.Location).members, m.Name)
}

func (t *Table) updateMember(now float64, entry *Member) (ended []Change) {
	m := t.members[entry.Name]
	if entry.Phase == policy.Removed {
		if m != nil && m.listed {
			t.unlist(m)
		}
		return nil
	}
	m = t.member(entry.Name)
	if m.listed && m.Member == *entry {
		return nil
	}
	if m.listed {
		t.removeFromLookups(m)
	} else {
		t.listedCount++
	}
	if m.ID != entry.ID { // the decision module has no overrides for the new ID
		for k := range m.levels {
			m.levels[k].notified = 1
		}
	}
	m.Member, m.listed, m.removedWhileDraining = *entry, true, false
	if t.membersByCell[m.Cell] == nil {
		t.membersByCell[m.Cell] = map[string]*member{}
	}
	t.membersByCell[m.Cell][m.Name] = m
	t.location(m.Location).members[m.Name] = m
	for _, o := range slices.Concat(m.overrides, m.pins) {
		if o.UntilRestart && entry.StartedAt > o.BackendStartedAt {
			ended = append(ended, t.endOverride(now, o, EndedByRestart, "its searcher has started anew"))
		}
	}
	t.markMemberDirty(m)
	return ended
}

// dropUnused deletes a member that is not listed, has no overrides and is not recovering.
func (t *Table) dropUnused(m *member) {
	if m.listed || len(m.overrides)+len(m.pins) > 0 || t.recovering[m] {
		return
	}
	delete(t.members, m.Name)
}

// forEachReplica calls a function for each listed backend that holds a replica of a shard.
func (t *Table) forEachReplica(shard policy.ShardID, visit func(*member)) {
	for offset := range min(t.limits.Width, t.limits.Cells) {
		for _, m := range t.membersByCell[policy.CellID((int(shard)+offset)%t.limits.Cells)] {
			visit(m)
		}
	}
}

// isReplica reports whether a backend is listed and holds a replica of a shard.
func (t *Table) isReplica(m *member, shard policy.ShardID) bool {
	cellOffset := (int(m.Cell) - int(shard)) % t.limits.Cells
	return m.listed && (cellOffset+t.limits.Cells)%t.limits.Cells < t.limits.Width
}
