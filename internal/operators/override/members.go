package override

import (
	"slices"

	"puffinlink.example/puffinlink/policy"
)

func (t *Table) member(name string) *member {
	m := t.members[name]
	if m == nil {
		m = &member{Member: Member{Name: name, Phase: policy.Removed}, levels: make([]share, len(t.lim.Indexes))}
		for k := range m.levels {
			m.levels[k] = share{level{1, 1}, 1}
		}
		t.members[name] = m
	}
	return m
}

func (t *Table) place(name string) *place {
	p := t.places[name]
	if p == nil {
		p = &place{members: map[string]*member{}}
		t.places[name] = p
	}
	return p
}

// List takes what the list says: all of it, or what changed. It tells which overrides ended by a backend's restart;
// they have ended already.
func (t *Table) List(now float64, whole bool, entries []Member) (ended []Change) {
	if whole {
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
		ended = append(ended, t.named(now, &entries[i])...)
	}
	return ended
}

// unlist takes a backend off the list. Its overrides stand and wait for its name.
func (t *Table) unlist(m *member) {
	m.drained = m.Phase == policy.Draining && len(m.pins) > 0
	m.listed, m.Phase = false, policy.Removed
	t.listed--
	t.out(m)
	t.touchMember(m)
}

func (t *Table) out(m *member) {
	delete(t.byCell[m.Cell], m.Name)
	delete(t.place(m.Location).members, m.Name)
}

func (t *Table) named(now float64, e *Member) (ended []Change) {
	m := t.members[e.Name]
	if e.Phase == policy.Removed {
		if m != nil && m.listed {
			t.unlist(m)
		}
		return nil
	}
	m = t.member(e.Name)
	if m.listed && m.Member == *e {
		return nil
	}
	if m.listed {
		t.out(m)
	} else {
		t.listed++
	}
	if m.ID != e.ID { // the module knows nothing of this number
		for k := range m.levels {
			m.levels[k].told = 1
		}
	}
	m.Member, m.listed, m.drained = *e, true, false
	if t.byCell[m.Cell] == nil {
		t.byCell[m.Cell] = map[string]*member{}
	}
	t.byCell[m.Cell][m.Name] = m
	t.place(m.Location).members[m.Name] = m
	for _, o := range slices.Concat(m.own, m.pins) {
		if o.UntilRestart && e.Started > o.Started {
			ended = append(ended, t.end(now, o, HasRestarted, "its searcher has started anew"))
		}
	}
	t.touchMember(m)
	return ended
}

// forgotten drops a name that nothing concerns any more.
func (t *Table) forgotten(m *member) {
	if m.listed || len(m.own)+len(m.pins) > 0 || t.rising[m] {
		return
	}
	delete(t.members, m.Name)
}

// holders lists the listed backends that hold a shard.
func (t *Table) holders(s policy.ShardID, each func(*member)) {
	for j := range min(t.lim.Width, t.lim.Cells) {
		for _, m := range t.byCell[policy.CellID((int(s)+j)%t.lim.Cells)] {
			each(m)
		}
	}
}

// holds tells whether a backend holds a shard.
func (t *Table) holds(m *member, s policy.ShardID) bool {
	behind := (int(m.Cell) - int(s)) % t.lim.Cells
	return m.listed && (behind+t.lim.Cells)%t.lim.Cells < t.lim.Width
}
