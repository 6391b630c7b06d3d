package scheduler

import (
	"maps"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// operatorDrainPrefix is the key prefix of the durable records of workers that operators have drained or undrained:
//
//	d/WORKER  operatorDrainRecord
const operatorDrainPrefix = "d/"

// operatorDrainRecord stores whether an operator drains a worker, and the history of applied changes. The record is kept
// after the end of a drain, until the worker's incarnation ends. This makes it possible to recognize a delayed change by
// its base version.
type operatorDrainRecord struct {
	SinceMS int64  `msgpack:"t"` // time of the newest change, milliseconds since 1970
	Version uint64 `msgpack:"v"` // number of changes that were applied
	// History has one bit for each of the newest versions, which is set if the worker was drained in that version. The lowest
	// bit represents the newest version.
	History uint64 `msgpack:"h"`
}

// drainHistoryLength is the number of versions in an operatorDrainRecord's history: one for each bit of History.
const drainHistoryLength = 64

func (r operatorDrainRecord) draining() bool { return r.History&1 == 1 }

// afterChange returns the record that results from a further change.
func (r operatorDrainRecord) afterChange(now Now, draining bool) operatorDrainRecord {
	changed := operatorDrainRecord{SinceMS: now.WallMS, Version: r.Version + 1, History: r.History << 1}
	if draining {
		changed.History |= 1
	}
	return changed
}

// outcomeOf returns the outcome of a change that is based on some version. A repeated request has the same outcome as the
// first one: if version N+1 is in the state that a change based on version N requests, the change counts as applied.
func (r operatorDrainRecord) outcomeOf(change DrainChange) jobreport.DrainOutcome {
	if change.BaseVersion == r.Version {
		return jobreport.DrainApplied
	}
	newerVersions := r.Version - change.BaseVersion - 1 // number of versions after BaseVersion+1
	switch {
	case change.BaseVersion > r.Version || newerVersions >= drainHistoryLength:
		return jobreport.DrainIndeterminate
	case (r.History>>newerVersions&1 == 1) == change.Draining:
		return jobreport.DrainApplied
	}
	return jobreport.DrainSuperseded
}

// DrainChange is an operator's request to drain or undrain a worker, based on the drain version that the operator has read.
type DrainChange struct {
	Draining    bool
	BaseVersion uint64
}

// operatorDrain is a worker that an operator has drained or undrained.
type operatorDrain struct {
	operatorDrainRecord
	missedInventories int // number of consecutive complete inventories during which the worker is not known
}

func operatorDrainKey(id workerclient.WorkerID) string { return operatorDrainPrefix + string(id) }

// SetOperatorDrain drains or undrains a worker. A drained worker gets no new starts, but its attempts under way continue.
// SetOperatorDrain is idempotent. It reports whether the worker is known. A worker that was drained or undrained during an
// earlier leadership is known even if no inventory has listed it yet.
func (s *Scheduler) SetOperatorDrain(now Now, id workerclient.WorkerID, draining bool) bool {
	if !s.canDrain(id) {
		return false
	}
	if draining != s.operatorDrains.isDraining(id) {
		s.applyDrain(now, id, draining)
	}
	return true
}

// ChangeOperatorDrain drains or undrains a worker if the change is based on the current version. A delayed change therefore
// does not undo a newer one.
func (s *Scheduler) ChangeOperatorDrain(now Now, id workerclient.WorkerID, change DrainChange) jobreport.DrainOutcome {
	if !s.canDrain(id) {
		return jobreport.DrainWorkerUnknown
	}
	record := s.operatorDrains.record(id)
	outcome := record.outcomeOf(change)
	if change.BaseVersion == record.Version {
		s.applyDrain(now, id, change.Draining)
	}
	return outcome
}

// canDrain reports whether a worker is known, so that an operator can drain or undrain it.
func (s *Scheduler) canDrain(id workerclient.WorkerID) bool {
	return s.workers[id] != nil || s.operatorDrains[id] != nil
}

// applyDrain records a change as a new version. If it changes the worker's state, waiting tasks are bound again.
func (s *Scheduler) applyDrain(now Now, id workerclient.WorkerID, draining bool) {
	previous := s.operatorDrains.record(id)
	record := previous.afterChange(now, draining)
	s.operatorDrains[id] = &operatorDrain{operatorDrainRecord: record}
	s.writeRecord(operatorDrainKey(id), record)
	switch {
	case draining == previous.draining():
		return
	case draining:
		s.rebindTasks(s.workers[id])
	default:
		s.bindUnboundTasks()
	}
	s.dispatchNeeded = true
}

// DrainVersion returns the number of operators' changes to a worker's drain that were applied during its incarnation.
func (s *Scheduler) DrainVersion(id workerclient.WorkerID) uint64 {
	return s.operatorDrains.record(id).Version
}

// IsOperatorDraining reports whether an operator drains a worker.
func (s *Scheduler) IsOperatorDraining(id workerclient.WorkerID) bool {
	return s.operatorDrains.isDraining(id)
}

// operatorDrains contains the workers that operators have drained or undrained, by ID.
type operatorDrains map[workerclient.WorkerID]*operatorDrain

// isDraining reports whether an operator drains a worker.
func (d operatorDrains) isDraining(id workerclient.WorkerID) bool { return d.record(id).draining() }

// record returns a worker's record, or the zero value if no operator has ever drained or undrained the worker.
func (d operatorDrains) record(id workerclient.WorkerID) operatorDrainRecord {
	if drain := d[id]; drain != nil {
		return drain.operatorDrainRecord
	}
	return operatorDrainRecord{}
}

func (s *Scheduler) deleteOperatorDrain(id workerclient.WorkerID) {
	delete(s.operatorDrains, id)
	s.eraseRecord(operatorDrainKey(id))
}

// pruneOperatorDrains erases the records of workers whose incarnations have ended. It is called after each complete
// inventory.
func (s *Scheduler) pruneOperatorDrains() {
	for _, id := range slices.Sorted(maps.Keys(s.operatorDrains)) {
		drain := s.operatorDrains[id]
		if s.KnowsWorker(id) {
			drain.missedInventories = 0
			continue
		}
		drain.missedInventories++
		if s.WasRemoved(id) || drain.missedInventories >= maxMissedInventories {
			s.deleteOperatorDrain(id)
		}
	}
}

// restoreOperatorDrains decodes the durable records of drains. Its error wraps ErrCorruptState.
func restoreOperatorDrains(state map[string][]byte) (operatorDrains, error) {
	drains := operatorDrains{}
	for key, value := range state {
		id, found := strings.CutPrefix(key, operatorDrainPrefix)
		if !found {
			continue
		}
		drain := &operatorDrain{}
		if err := decodeRecord(key, value, &drain.operatorDrainRecord); err != nil {
			return nil, err
		}
		if drain.Version == 0 { // written by a release without versions, in which a record always meant a drain in force
			drain.operatorDrainRecord = operatorDrainRecord{SinceMS: drain.SinceMS, Version: 1, History: 1}
		}
		drains[workerclient.WorkerID(id)] = drain
	}
	return drains, nil
}
