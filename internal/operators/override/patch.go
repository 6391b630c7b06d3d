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
	dt := max(0, now-t.advancedAt)
	t.advancedAt = now
	t.advance(min(dt, 1)) // a late caller is no reason for a blow
	t.updateDesired()
	for _, name := range slices.Sorted(maps.Keys(t.dirtyMembers)) {
		t.notifyMember(t.dirtyMembers[name], &patch)
	}
	for _, at := range slices.SortedFunc(maps.Keys(t.dirtyPins), func(x, y pinKey) int {
		return cmp.Or(cmp.Compare(x.shard, y.shard), cmp.Compare(x.index, y.index))
	}) {
		t.notifyPin(at, &patch)
	}
	clear(t.dirtyMembers)
	clear(t.dirtyPins)
	if len(patch.Backends)+len(patch.Pins) == 0 {
		return nil
	}
	return &patch
}

// updateDesired works out anew what is wanted where something was touched.
func (t *Table) updateDesired() {
	for _, m := range t.dirtyMembers {
		for k := range m.levels {
			l := &m.levels[k]
			l.desired, _ = t.target(m, policy.IndexID(k), nil)
			if l.current >= l.desired {
				l.current = l.desired
			} else {
				l.current = max(l.current, min(leastLevel, l.desired))
				t.recovering[m] = true
			}
		}
	}
	for at := range t.dirtyPins {
		t.updateDesiredPin(at)
	}
}

// updateDesiredPin: a pin takes its shard at once; one that ended lets go of it bit by bit, as its siblings come back. One that
// is suspended lets go at once, and comes back bit by bit.
func (t *Table) updateDesiredPin(at pinKey) {
	pin, why := t.pinOf(at)
	state := t.pinnedShards[at]
	switch {
	case pin == nil && state == nil:
		return
	case state == nil:
		state = &pinState{}
		t.pinnedShards[at] = state
		state.current = 1
	}
	switch {
	case pin == nil:
		state.desired = 0
		target := t.members[state.to]
		if target == nil || !target.listed || target.Phase != policy.Ready || target.ID != state.id {
			state.current = 0
		}
		state.strict, state.by = false, 0
	case why != "":
		state.desired, state.current = 0, 0
		state.to, state.strict, state.by = pin.Backend, pin.Strict, pin.ID
	default:
		target := t.member(pin.Backend)
		switch {
		case pin.ID > state.by: // as told by its operator, at once
			state.current = 1
		case state.by != pin.ID && state.to != pin.Backend: // the one above it has ended
			state.current = 0
		}
		state.to, state.id, state.strict, state.by, state.desired = pin.Backend, target.ID, pin.Strict, pin.ID, 1
		if !target.listed {
			state.id, state.current = noBackend, 1
		}
	}
	if state.current != state.desired {
		t.changingPins[at] = true
	}
}

// advance lets what comes back come back by so many seconds: each by its ramp, and all together by no more than their share
// of the fleet, or of the shards, in a second.
func (t *Table) advance(dt float64) {
	if dt == 0 {
		return
	}
	step := t.step(dt, t.listed, len(t.recovering))
	for target := range t.recovering {
		done := true
		for k := range target.levels {
			levelOfIndex := &target.levels[k]
			if levelOfIndex.current < levelOfIndex.desired {
				levelOfIndex.current = min(levelOfIndex.desired, levelOfIndex.current+step)
				done = done && levelOfIndex.current == levelOfIndex.desired
			}
		}
		t.dirtyMembers[target.Name] = target
		if done {
			delete(t.recovering, target)
		}
	}
	step = t.step(dt, t.limits.Shards*len(t.limits.Indexes), len(t.changingPins))
	for key := range t.changingPins {
		state := t.pinnedShards[key]
		if state == nil {
			delete(t.changingPins, key)
			continue
		}
		if state.current < state.desired {
			state.current = min(state.desired, state.current+step)
		} else {
			state.current = max(state.desired, state.current-step)
		}
		t.dirtyPins[key] = true
		if state.current == state.desired {
			delete(t.changingPins, key)
		}
	}
}

// step is by how much each of some that come back together moves in dt seconds, of all that there are.
func (t *Table) step(dt float64, all, moving int) float64 {
	if moving == 0 {
		return 0
	}
	each := 1 / max(t.limits.SlowStart, recoveryStep)
	return dt * min(each, max(t.limits.RecoveryRate*float64(all), each)/float64(moving))
}

func (t *Table) notifyMember(m *member, patch *policy.Overrides) {
	if !m.listed {
		t.dropUnused(m)
		return
	}
	for k := range m.levels {
		l := &m.levels[k]
		if l.current == l.notified {
			continue
		}
		l.notified = l.current
		w := policy.BackendOverride{Backend: m.ID, Index: policy.IndexID(k), Weight: l.current}
		if l.current == 0 {
			w.Excluded, w.Weight = true, 1
		}
		patch.Backends = append(patch.Backends, w)
	}
}

func (t *Table) notifyPin(at pinKey, patch *policy.Overrides) {
	state := t.pinnedShards[at]
	if state == nil {
		return
	}
	update := policy.PinOverride{Shard: at.shard, Index: at.index}
	if state.current > 0 {
		update.Backend, update.Strict, update.Share = state.id, state.strict, state.current
	}
	if update != state.notified && (update.Backend != 0 || state.notified.Backend != 0) {
		patch.Pins = append(patch.Pins, update)
	}
	state.notified = update
	if o, _ := t.pinOf(at); o == nil && state.current == 0 {
		delete(t.pinnedShards, at)
		delete(t.changingPins, at)
	}
}
