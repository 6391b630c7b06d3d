package override

import (
	"cmp"
	"maps"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

// Patch returns the updates for the decision module since the last call, or nil if there are none. It first advances the
// gradual recoveries by the time since the last call.
func (t *Table) Patch(now float64) *policy.Overrides {
	var patch policy.Overrides
	dt := max(0, now-t.advancedAt)
	t.advancedAt = now
	t.advanceRecoveries(min(dt, 1)) // a late call must not cause a sudden jump in load
	t.updateDesired()
	for _, name := range slices.Sorted(maps.Keys(t.dirtyMembers)) {
		t.notifyMember(t.dirtyMembers[name], &patch)
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.dirtyPins), func(x, y pinKey) int {
		return cmp.Or(cmp.Compare(x.shard, y.shard), cmp.Compare(x.index, y.index))
	}) {
		t.notifyPin(key, &patch)
	}
	clear(t.dirtyMembers)
	clear(t.dirtyPins)
	if len(patch.Backends)+len(patch.Pins) == 0 {
		return nil
	}
	return &patch
}

// updateDesired recomputes the desired levels of all members and pins that are marked dirty.
func (t *Table) updateDesired() {
	for _, m := range t.dirtyMembers {
		for k := range m.levels {
			level := &m.levels[k]
			level.desired, _ = t.targetWeight(m, policy.IndexID(k), nil)
			if level.current >= level.desired {
				level.current = level.desired
			} else {
				level.current = max(level.current, min(initialRecoveryLevel, level.desired))
				t.recovering[m] = true
			}
		}
	}
	for key := range t.dirtyPins {
		t.updateDesiredPin(key)
	}
}

// updateDesiredPin recomputes the state of one pinned shard. A new pin takes full effect at once. A pin that ended releases
// the shard gradually, so that the load returns gradually to the other replicas. A pin that is suspended releases the
// shard at once, and recovers gradually when the suspension ends.
func (t *Table) updateDesiredPin(key pinKey) {
	pin, suspendedBecause := t.effectivePin(key)
	state := t.pinStates[key]
	switch {
	case pin == nil && state == nil:
		return
	case state == nil:
		state = &pinState{}
		t.pinStates[key] = state
		state.current = 1
	}
	switch {
	case pin == nil:
		state.desired = 0
		target := t.members[state.backend]
		if target == nil || !target.listed || target.Phase != policy.Ready || target.ID != state.backendID {
			state.current = 0
		}
		state.strict, state.pinID = false, 0
	case suspendedBecause != "":
		state.desired, state.current = 0, 0
		state.backend, state.strict, state.pinID = pin.Backend, pin.Strict, pin.ID
	default:
		target := t.member(pin.Backend)
		switch {
		case pin.ID > state.pinID: // a newer pin, which takes effect at once
			state.current = 1
		case state.pinID != pin.ID && state.backend != pin.Backend: // the pin that had priority has ended
			state.current = 0
		}
		state.backend, state.backendID, state.strict, state.pinID, state.desired = pin.Backend, target.ID, pin.Strict, pin.ID, 1
		if !target.listed {
			state.backendID, state.current = unassignedBackendID, 1
		}
	}
	if state.current != state.desired {
		t.changingPins[key] = true
	}
}

// advanceRecoveries advances all gradual recoveries by dt seconds. Each recovery is limited by SlowStart. All recoveries
// together are limited by RecoveryRate, as a share of the listed backends or of all shards of all indexes.
func (t *Table) advanceRecoveries(dt float64) {
	if dt == 0 {
		return
	}
	step := t.recoveryStepSize(dt, t.listedCount, len(t.recovering))
	for m := range t.recovering {
		recovered := true
		for k := range m.levels {
			level := &m.levels[k]
			if level.current < level.desired {
				level.current = min(level.desired, level.current+step)
				recovered = recovered && level.current == level.desired
			}
		}
		t.dirtyMembers[m.Name] = m
		if recovered {
			delete(t.recovering, m)
		}
	}
	step = t.recoveryStepSize(dt, t.limits.Shards*len(t.limits.Indexes), len(t.changingPins))
	for key := range t.changingPins {
		state := t.pinStates[key]
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

// recoveryStepSize returns by how much each recovery advances in dt seconds, given the number of concurrent recoveries. The
// total is the number of backends or shards that RecoveryRate refers to.
func (t *Table) recoveryStepSize(dt float64, total, recoveries int) float64 {
	if recoveries == 0 {
		return 0
	}
	single := 1 / max(t.limits.SlowStart, recoveryInterval)
	return dt * min(single, max(t.limits.RecoveryRate*float64(total), single)/float64(recoveries))
}

func (t *Table) notifyMember(m *member, patch *policy.Overrides) {
	if !m.listed {
		t.dropUnused(m)
		return
	}
	for k := range m.levels {
		level := &m.levels[k]
		if level.current == level.notified {
			continue
		}
		level.notified = level.current
		update := policy.BackendOverride{Backend: m.ID, Index: policy.IndexID(k), Weight: level.current}
		if level.current == 0 {
			update.Excluded, update.Weight = true, 1
		}
		patch.Backends = append(patch.Backends, update)
	}
}

func (t *Table) notifyPin(key pinKey, patch *policy.Overrides) {
	state := t.pinStates[key]
	if state == nil {
		return
	}
	update := policy.PinOverride{Shard: key.shard, Index: key.index}
	if state.current > 0 {
		update.Backend, update.Strict, update.Share = state.backendID, state.strict, state.current
	}
	if update != state.notified && (update.Backend != 0 || state.notified.Backend != 0) {
		patch.Pins = append(patch.Pins, update)
	}
	state.notified = update
	if o, _ := t.effectivePin(key); o == nil && state.current == 0 {
		delete(t.pinStates, key)
		delete(t.changingPins, key)
	}
}
