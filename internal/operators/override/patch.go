package override

import (
	"cmp"
	"maps"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

// Patch tells the decision module what has changed by now, nil for nothing. What comes back moves on by the time since
// the last call.
func (t *Table) Patch(now float64) *policy.Overrides {
	var patch policy.Overrides
	dt := max(0, now-t.movedAt)
	t.movedAt = now
	t.move(min(dt, 1)) // a late caller is no reason for a blow
	t.wantAll()
	for _, name := range slices.Sorted(maps.Keys(t.dirtyMembers)) {
		t.tellMember(t.dirtyMembers[name], &patch)
	}
	for _, at := range slices.SortedFunc(maps.Keys(t.dirtySpots), func(x, y spot) int {
		return cmp.Or(cmp.Compare(x.shard, y.shard), cmp.Compare(x.index, y.index))
	}) {
		t.tellSpot(at, &patch)
	}
	clear(t.dirtyMembers)
	clear(t.dirtySpots)
	if len(patch.Backends)+len(patch.Pins) == 0 {
		return nil
	}
	return &patch
}

// wantAll works out anew what is wanted where something was touched.
func (t *Table) wantAll() {
	for _, m := range t.dirtyMembers {
		for k := range m.levels {
			l := &m.levels[k]
			l.want, _ = t.target(m, policy.IndexID(k), nil)
			if l.now >= l.want {
				l.now = l.want
			} else {
				l.now = max(l.now, min(least, l.want))
				t.rising[m] = true
			}
		}
	}
	for at := range t.dirtySpots {
		t.wantSpot(at)
	}
}

// wantSpot: a pin takes its shard at once; one that ended lets go of it bit by bit, as its siblings come back. One that
// is suspended lets go at once, and comes back bit by bit.
func (t *Table) wantSpot(at spot) {
	o, why := t.pinOf(at)
	p := t.spots[at]
	switch {
	case o == nil && p == nil:
		return
	case p == nil:
		p = &pinState{}
		t.spots[at] = p
		p.now = 1
	}
	switch {
	case o == nil:
		p.want = 0
		m := t.members[p.to]
		if m == nil || !m.listed || m.Phase != policy.Ready || m.ID != p.id {
			p.now = 0
		}
		p.strict, p.by = false, 0
	case why != "":
		p.want, p.now = 0, 0
		p.to, p.strict, p.by = o.Backend, o.Strict, o.ID
	default:
		m := t.member(o.Backend)
		switch {
		case o.ID > p.by: // as told by its operator, at once
			p.now = 1
		case p.by != o.ID && p.to != o.Backend: // the one above it has ended
			p.now = 0
		}
		p.to, p.id, p.strict, p.by, p.want = o.Backend, m.ID, o.Strict, o.ID, 1
		if !m.listed {
			p.id, p.now = nobody, 1
		}
	}
	if p.now != p.want {
		t.waning[at] = true
	}
}

// move lets what comes back come back by so many seconds: each by its ramp, and all together by no more than their share
// of the fleet, or of the shards, in a second.
func (t *Table) move(dt float64) {
	if dt == 0 {
		return
	}
	step := t.step(dt, t.listed, len(t.rising))
	for m := range t.rising {
		done := true
		for k := range m.levels {
			l := &m.levels[k]
			if l.now < l.want {
				l.now = min(l.want, l.now+step)
				done = done && l.now == l.want
			}
		}
		t.dirtyMembers[m.Name] = m
		if done {
			delete(t.rising, m)
		}
	}
	step = t.step(dt, t.lim.Shards*len(t.lim.Indexes), len(t.waning))
	for at := range t.waning {
		p := t.spots[at]
		if p == nil {
			delete(t.waning, at)
			continue
		}
		if p.now < p.want {
			p.now = min(p.want, p.now+step)
		} else {
			p.now = max(p.want, p.now-step)
		}
		t.dirtySpots[at] = true
		if p.now == p.want {
			delete(t.waning, at)
		}
	}
}

// step is by how much each of some that come back together moves in dt seconds, of all that there are.
func (t *Table) step(dt float64, all, moving int) float64 {
	if moving == 0 {
		return 0
	}
	each := 1 / max(t.lim.Ramp, returnStep)
	return dt * min(each, max(t.lim.Together*float64(all), each)/float64(moving))
}

func (t *Table) tellMember(m *member, patch *policy.Overrides) {
	if !m.listed {
		t.forgotten(m)
		return
	}
	for k := range m.levels {
		l := &m.levels[k]
		if l.now == l.told {
			continue
		}
		l.told = l.now
		w := policy.BackendOverride{Backend: m.ID, Index: policy.IndexID(k), Weight: l.now}
		if l.now == 0 {
			w.Excluded, w.Weight = true, 1
		}
		patch.Backends = append(patch.Backends, w)
	}
}

func (t *Table) tellSpot(at spot, patch *policy.Overrides) {
	p := t.spots[at]
	if p == nil {
		return
	}
	tell := policy.PinOverride{Shard: at.shard, Index: at.index}
	if p.now > 0 {
		tell.Backend, tell.Strict, tell.Share = p.id, p.strict, p.now
	}
	if tell != p.told && (tell.Backend != 0 || p.told.Backend != 0) {
		patch.Pins = append(patch.Pins, tell)
	}
	p.told = tell
	if o, _ := t.pinOf(at); o == nil && p.now == 0 {
		delete(t.spots, at)
		delete(t.waning, at)
	}
}
