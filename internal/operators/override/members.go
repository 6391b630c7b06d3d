package override

import (
	"slices"

	"puffinlink.example/puffinlink/policy"
)

func (t *Table) member(name string) *member {
	m := t.members[name]
	if m == nil {
		m = &member{Member: Member{Name: name, Phase: policy.Removed}, levels: make([]share, len(t.limits.Indexes))}
		for k := range m.levels {
			m.levels[k] = share{level{1, 1}, 1}
		}
		t.members[name] = m
	}
	return m
}

func (t *Table) location(name string) *location {
	p := t.locations[name]
	if p == nil {
		p = &location{members: map[string]*member{}}
		t.locations[name] = p
	}
	return p
}

// UpdateMembership takes what the list says: all of it, or what changed. It tells which overrides ended by a backend's restart;
// they have ended already.
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

// unlist takes a backend off the list. Its overrides stand and wait for its name.
func (t *Table) unlist(m *member) {
	m.drained = m.Phase == policy.Draining && len(m.pins) > 0
	m.listed, m.Phase = false, policy.Removed
	t.listed--
	t.removeFromIndexes(m)
	t.touchMember(m)
}

func (t *Table) removeFromIndexes(m *member) {
	delete(t.byCell[m.Cell], m.Name)
	delete(t.location(m.Location).members, m.Name)
}

func (t *Table) updateMember(now float64, entry *Member) (ended []Change) {
	known := t.members[entry.Name]
	if entry.Phase == policy.Removed {
		if known != nil && known.listed {
			t.unlist(known)
		}
		return nil
	}
	known = t.member(entry.Name)
	if known.listed && known.Member == *entry {
		return nil
	}
	if known.listed {
		t.removeFromIndexes(known)
	} else {
		t.listed++
	}
	if known.ID != entry.ID { // the module knows nothing of this number
		for k := range known.levels {
			known.levels[k].notified = 1
		}
	}
	known.Member, known.listed, known.drained = *entry, true, false
	if t.byCell[known.Cell] == nil {
		t.byCell[known.Cell] = map[string]*member{}
	}
	t.byCell[known.Cell][known.Name] = known
	t.location(known.Location).members[known.Name] = known
	for _, o := range slices.Concat(known.own, known.pins) {
		if o.UntilRestart && entry.Started > o.Started {
			ended = append(ended, t.end(now, o, HasRestarted, "its searcher has started anew"))
		}
	}
	t.touchMember(known)
	return ended
}

// dropUnused drops a name that nothing concerns any more.
func (t *Table) dropUnused(m *member) {
	if m.listed || len(m.own)+len(m.pins) > 0 || t.recovering[m] {
		return
	}
	delete(t.members, m.Name)
}

// forEachReplica lists the listed backends that hold a shard.
func (t *Table) forEachReplica(s policy.ShardID, each func(*member)) {
	for j := range min(t.limits.Width, t.limits.Cells) {
		for _, m := range t.byCell[policy.CellID((int(s)+j)%t.limits.Cells)] {
			each(m)
		}
	}
}

// isReplica tells whether a backend holds a shard.
func (t *Table) isReplica(m *member, s policy.ShardID) bool {
	behind := (int(m.Cell) - int(s)) % t.limits.Cells
	return m.listed && (behind+t.limits.Cells)%t.limits.Cells < t.limits.Width
}
