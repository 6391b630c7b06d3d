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

// judge tells what an order comes to that builds on a version. What was taken stays taken: the order that made version N+1 is the one
// that asked on top of N for what N+1 is.
func (r operatorDrainRecord) judge(order DrainOrder) jobreport.DrainOutcome {
	if order.OnTopOf == r.Version {
		return jobreport.DrainTaken
	}
	since := r.Version - order.OnTopOf - 1 // versions after the one that was made on top of it
	switch {
	case order.OnTopOf > r.Version || since >= drainHistory:
		return jobreport.DrainUnclear
	case (r.History>>since&1 == 1) == order.Draining:
		return jobreport.DrainTaken
	}
	return jobreport.DrainSuperseded
}

// DrainOrder is an operator's order to drain a worker, or to end that, on top of the version that the operator has read.
type DrainOrder struct {
	Draining bool
	OnTopOf  uint64
}

// operatorDrain is one such worker.
type operatorDrain struct {
	operatorDrainRecord
	missingLists int // the platform's lists in a row while its life is not known
}

func operatorDrainKey(id workerclient.WorkerID) string { return operatorDrainPrefix + string(id) }

// SetOperatorDrain lets a worker get no new starts, or allows them again; what runs there goes on. It tells whether
// the worker is known. The same order again changes nothing; a drain that was taken is known also while the worker is
// not, as after a change of leaders.
func (s *Scheduler) SetOperatorDrain(now Now, id workerclient.WorkerID, draining bool) bool {
	if !s.knowsDrained(id) {
		return false
	}
	if draining != s.operatorDrains.has(id) {
		s.takeDrain(now, id, draining)
	}
	return true
}

// OrderOperatorDrain does the same on top of a version, so that an order that comes late does not undo a later one.
func (s *Scheduler) OrderOperatorDrain(now Now, id workerclient.WorkerID, order DrainOrder) jobreport.DrainOutcome {
	if !s.knowsDrained(id) {
		return jobreport.DrainUnknown
	}
	record := s.operatorDrains.record(id)
	outcome := record.judge(order)
	if order.OnTopOf == record.Version {
		s.takeDrain(now, id, order.Draining)
	}
	return outcome
}

// knowsDrained tells whether an operator may drain or undrain a worker.
func (s *Scheduler) knowsDrained(id workerclient.WorkerID) bool {
	return s.workers[id] != nil || s.operatorDrains[id] != nil
}

// takeDrain carries out an order.
func (s *Scheduler) takeDrain(now Now, id workerclient.WorkerID, draining bool) {
	was := s.operatorDrains.record(id)
	record := was.next(now, draining)
	s.operatorDrains[id] = &operatorDrain{operatorDrainRecord: record}
	s.write(operatorDrainKey(id), record)
	switch {
	case draining == was.draining():
		return
	case draining:
		s.rebind(now, s.workers[id])
	default:
		s.bindAll(now)
	}
	s.unplaced = true
}

// DrainVersion is the number of operators' orders on the drain of a worker that were taken in its life.
func (s *Scheduler) DrainVersion(id workerclient.WorkerID) uint64 {
	return s.operatorDrains.record(id).Version
}

// OperatorDrains tells whether an operator allows a worker no new starts.
func (s *Scheduler) OperatorDrains(id workerclient.WorkerID) bool { return s.operatorDrains.has(id) }

// operatorDrains are the workers that operators have drained or undrained.
type operatorDrains map[workerclient.WorkerID]*operatorDrain

// has tells whether an operator allows a worker no new starts now.
func (d operatorDrains) has(id workerclient.WorkerID) bool { return d.record(id).draining() }

// record is that of a worker; its zero value stands for one that no operator has drained.
func (d operatorDrains) record(id workerclient.WorkerID) operatorDrainRecord {
	if drain := d[id]; drain != nil {
		return drain.operatorDrainRecord
	}
	return operatorDrainRecord{}
}

func (s *Scheduler) forgetOperatorDrain(id workerclient.WorkerID) {
	delete(s.operatorDrains, id)
	s.erase(operatorDrainKey(id))
}

// pruneOperatorDrains forgets the records of workers whose lives are over. It is called after each whole list.
func (s *Scheduler) pruneOperatorDrains() {
	for _, id := range slices.Sorted(maps.Keys(s.operatorDrains)) {
		drain := s.operatorDrains[id]
		if s.Knows(id) {
			drain.missingLists = 0
			continue
		}
		drain.missingLists++
		if s.Over(id) || drain.missingLists >= missingLists {
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
		if err := decode(key, value, &drain.operatorDrainRecord); err != nil {
			return nil, err
		}
		if drain.Version == 0 { // written by a release whose records were drains alone
			drain.operatorDrainRecord = operatorDrainRecord{SinceMS: drain.SinceMS, Version: 1, History: 1}
		}
		drains[workerclient.WorkerID(id)] = drain
	}
	return drains, nil
}
