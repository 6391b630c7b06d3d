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

// operatorDrainRecord says whether an operator allows a worker no new starts, and which orders were taken before. It stays after
// the end of a drain, for as long as the worker lives: an order that comes late is told by its version.
type operatorDrainRecord struct {
	SinceMS int64  `msgpack:"t"` // of the newest change, milliseconds since 1970
	Version uint64 `msgpack:"v"` // the number of orders taken
	// History has a bit for each of the newest versions, the lowest for the newest one: whether the worker was drained then.
	History uint64 `msgpack:"h"`
}

// drainHistory is the number of versions that a record remembers.
const drainHistory = 64

func (r operatorDrainRecord) draining() bool { return r.History&1 == 1 }

// next is the record after a further order.
func (r operatorDrainRecord) next(now Now, draining bool) operatorDrainRecord {
	after := operatorDrainRecord{SinceMS: now.WallMS, Version: r.Version + 1, History: r.History << 1}
	if draining {
		after.History |= 1
	}
	return after
}

// outcomeOf tells what an order comes to that builds on a version. What was taken stays taken: the order that made version N+1 is the one
// that asked on top of N for what N+1 is.
func (r operatorDrainRecord) outcomeOf(change DrainChange) jobreport.DrainOutcome {
	if change.BaseVersion == r.Version {
		return jobreport.DrainTaken
	}
	newerVersions := r.Version - change.BaseVersion - 1 // versions after the one that was made on top of it
	switch {
	case change.BaseVersion > r.Version || newerVersions >= drainHistory:
		return jobreport.DrainUnclear
	case (r.History>>newerVersions&1 == 1) == change.Draining:
		return jobreport.DrainTaken
	}
	return jobreport.DrainSuperseded
}

// DrainChange is an operator's order to drain a worker, or to end that, on top of the version that the operator has read.
type DrainChange struct {
	Draining    bool
	BaseVersion uint64
}

// operatorDrain is one such worker.
type operatorDrain struct {
	operatorDrainRecord
	missedInventories int // the platform's lists in a row while its life is not known
}

func operatorDrainKey(id workerclient.WorkerID) string { return operatorDrainPrefix + string(id) }

// SetOperatorDrain lets a worker get no new starts, or allows them again; what runs there goes on. It tells whether
// the worker is known. The same order again changes nothing; a drain that was taken is known also while the worker is
// not, as after a change of leaders.
func (s *Scheduler) SetOperatorDrain(now Now, id workerclient.WorkerID, draining bool) bool {
	if !s.mayDrain(id) {
		return false
	}
	if draining != s.operatorDrains.isDraining(id) {
		s.applyDrain(now, id, draining)
	}
	return true
}

// ChangeOperatorDrain does the same on top of a version, so that an order that comes late does not undo a later one.
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

// applyDrain carries out an order.
func (s *Scheduler) applyDrain(now Now, id workerclient.WorkerID, draining bool) {
	previous := s.operatorDrains.record(id)
	record := previous.next(now, draining)
	s.operatorDrains[id] = &operatorDrain{operatorDrainRecord: record}
	s.writeRecord(operatorDrainKey(id), record)
	switch {
	case draining == previous.draining():
		return
	case draining:
		s.rebindTasks(now, s.workers[id])
	default:
		s.bindUnboundTasks(now)
	}
	s.dispatchNeeded = true
}

// DrainVersion is the number of operators' orders on the drain of a worker that were taken in its life.
func (s *Scheduler) DrainVersion(id workerclient.WorkerID) uint64 {
	return s.operatorDrains.record(id).Version
}

// IsOperatorDraining tells whether an operator allows a worker no new starts.
func (s *Scheduler) IsOperatorDraining(id workerclient.WorkerID) bool {
	return s.operatorDrains.isDraining(id)
}

// operatorDrains are the workers that operators have drained or undrained.
type operatorDrains map[workerclient.WorkerID]*operatorDrain

// isDraining tells whether an operator allows a worker no new starts now.
func (d operatorDrains) isDraining(id workerclient.WorkerID) bool { return d.record(id).draining() }

// record is that of a worker; its zero value stands for one that no operator has drained.
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

// pruneOperatorDrains forgets the records of workers whose lives are over. It is called after each whole list.
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

// restoreOperatorDrains reads the durable records.
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
