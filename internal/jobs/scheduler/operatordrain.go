package scheduler

import (
	"maps"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// operatorDrainPrefix is the prefix of the durable records of workers that operators have drained or undrained:
//
//	d/Worker  operatorDrainRecord
const operatorDrainPrefix = "d/"

// operatorDrainRecord says whether an operator drains a worker, and which changes were taken before. It stays after the end
// of a drain, for as long as the worker's incarnation: a change that arrives late is recognized by its base version.
type operatorDrainRecord struct {
	SinceMS int64  `msgpack:"t"` // of the newest change, milliseconds since 1970
	Version uint64 `msgpack:"v"` // the number of changes that were taken
	// History has a bit for each of the newest versions, the lowest for the newest one: whether the worker was drained then.
	History uint64 `msgpack:"h"`
}

// drainHistory is the number of versions that a record remembers.
const drainHistory = 64

func (r operatorDrainRecord) draining() bool { return r.History&1 == 1 }

// next is the record after a further change.
func (r operatorDrainRecord) next(now Now, draining bool) operatorDrainRecord {
	after := operatorDrainRecord{SinceMS: now.WallMS, Version: r.Version + 1, History: r.History << 1}
	if draining {
		after.History |= 1
	}
	return after
}

// outcomeOf tells what a change on top of a base version comes to. What was taken stays taken: the change that made version
// N+1 is one that requested, on top of N, what N+1 is.
func (r operatorDrainRecord) outcomeOf(change DrainChange) jobreport.DrainOutcome {
	if change.BaseVersion == r.Version {
		return jobreport.DrainTaken
	}
	newerVersions := r.Version - change.BaseVersion - 1 // versions after the one made on top of the base version
	switch {
	case change.BaseVersion > r.Version || newerVersions >= drainHistory:
		return jobreport.DrainUnclear
	case (r.History>>newerVersions&1 == 1) == change.Draining:
		return jobreport.DrainTaken
	}
	return jobreport.DrainSuperseded
}

// DrainChange is an operator's request to drain a worker, or to end that, on top of the version that the operator has read.
type DrainChange struct {
	Draining    bool
	BaseVersion uint64
}

// operatorDrain is a worker that an operator has drained or undrained.
type operatorDrain struct {
	operatorDrainRecord
	missedInventories int // complete lists in a row while the worker is not known
}

func operatorDrainKey(id workerclient.WorkerID) string { return operatorDrainPrefix + string(id) }

// SetOperatorDrain drains a worker, which then gets no new starts, or ends that; attempts under way go on. It tells whether
// the worker is known, which is the case also for one that was drained under an earlier leadership and has not been listed
// yet. It is idempotent.
func (s *Scheduler) SetOperatorDrain(now Now, id workerclient.WorkerID, draining bool) bool {
	if !s.mayDrain(id) {
		return false
	}
	if draining != s.operatorDrains.isDraining(id) {
		s.applyDrain(now, id, draining)
	}
	return true
}

// ChangeOperatorDrain does the same on top of a version, so that a change that arrives late does not undo a newer one.
func (s *Scheduler) ChangeOperatorDrain(now Now, id workerclient.WorkerID, change DrainChange) jobreport.DrainOutcome {
	if !s.mayDrain(id) {
		return jobreport.DrainUnknown
	}
	record := s.operatorDrains.record(id)
	outcome := record.outcomeOf(change)
	if change.BaseVersion == record.Version {
		s.applyDrain(now, id, change.Draining)
	}
	return outcome
}

// mayDrain tells whether an operator may drain or undrain a worker.
func (s *Scheduler) mayDrain(id workerclient.WorkerID) bool {
	return s.workers[id] != nil || s.operatorDrains[id] != nil
}

// applyDrain records a change and rebinds tasks accordingly.
func (s *Scheduler) applyDrain(now Now, id workerclient.WorkerID, draining bool) {
	previous := s.operatorDrains.record(id)
	record := previous.next(now, draining)
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

// DrainVersion is the number of operators' changes to a worker's drain that were taken in its incarnation.
func (s *Scheduler) DrainVersion(id workerclient.WorkerID) uint64 {
	return s.operatorDrains.record(id).Version
}

// IsOperatorDraining tells whether an operator drains a worker.
func (s *Scheduler) IsOperatorDraining(id workerclient.WorkerID) bool {
	return s.operatorDrains.isDraining(id)
}

// operatorDrains are the workers that operators have drained or undrained.
type operatorDrains map[workerclient.WorkerID]*operatorDrain

// isDraining tells whether an operator drains a worker.
func (d operatorDrains) isDraining(id workerclient.WorkerID) bool { return d.record(id).draining() }

// record is a worker's record; the zero value if no operator has ever drained it.
func (d operatorDrains) record(id workerclient.WorkerID) operatorDrainRecord {
	if drain := d[id]; drain != nil {
		return drain.operatorDrainRecord
	}
	return operatorDrainRecord{}
}

func (s *Scheduler) forgetOperatorDrain(id workerclient.WorkerID) {
	delete(s.operatorDrains, id)
	s.eraseRecord(operatorDrainKey(id))
}

// pruneOperatorDrains forgets the records of workers whose incarnations are over. It is called after each complete list.
func (s *Scheduler) pruneOperatorDrains() {
	for _, id := range slices.Sorted(maps.Keys(s.operatorDrains)) {
		drain := s.operatorDrains[id]
		if s.KnowsWorker(id) {
			drain.missedInventories = 0
			continue
		}
		drain.missedInventories++
		if s.WasRemoved(id) || drain.missedInventories >= maxMissedInventories {
			s.forgetOperatorDrain(id)
		}
	}
}

// restoreOperatorDrains reads the durable records; the error is ErrCorruptState.
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
		if drain.Version == 0 { // written by a release whose records were drains alone
			drain.operatorDrainRecord = operatorDrainRecord{SinceMS: drain.SinceMS, Version: 1, History: 1}
		}
		drains[workerclient.WorkerID(id)] = drain
	}
	return drains, nil
}
