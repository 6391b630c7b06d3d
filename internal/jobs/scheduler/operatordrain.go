package scheduler

import (
	"maps"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/worker"
)

// operatorDrainPrefix is the prefix of the durable records of searchers that operators have drained or undrained:
//
//	d/SEARCHER  operatorDrainRecord
const operatorDrainPrefix = "d/"

// operatorDrainRecord says whether an operator allows a searcher no new starts, and which orders were taken before. It stays after
// the end of a drain, for as long as the searcher lives: an order that comes late is told by its version.
type operatorDrainRecord struct {
	SinceMS int64  `msgpack:"t"` // of the newest change, milliseconds since 1970
	Version uint64 `msgpack:"v"` // the number of orders taken
	// History has a bit for each of the newest versions, the lowest for the newest one: whether the searcher was drained then.
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

// DrainOrder is an operator's order to drain a searcher, or to end that, on top of the version that the operator has read.
type DrainOrder struct {
	Draining bool
	OnTopOf  uint64
}

// operatorDrain is one such searcher.
type operatorDrain struct {
	operatorDrainRecord
	missingLists int // the platform's lists in a row while its life is not known
}

func operatorDrainKey(id worker.SearcherID) string { return operatorDrainPrefix + string(id) }

// SetOperatorDrain lets a searcher get no new starts, or allows them again; what runs there goes on. It tells whether
// the searcher is known. The same order again changes nothing; a drain that was taken is known also while the searcher is
// not, as after a change of leaders.
func (s *Scheduler) SetOperatorDrain(now Now, id worker.SearcherID, draining bool) bool {
	if !s.knowsDrained(id) {
		return false
	}
	if draining != s.operatorDrains.has(id) {
		s.takeDrain(now, id, draining)
	}
	return true
}

// OrderOperatorDrain does the same on top of a version, so that an order that comes late does not undo a later one.
func (s *Scheduler) OrderOperatorDrain(now Now, id worker.SearcherID, order DrainOrder) jobreport.DrainOutcome {
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

// knowsDrained tells whether an operator may drain or undrain a searcher.
func (s *Scheduler) knowsDrained(id worker.SearcherID) bool {
	return s.searchers[id] != nil || s.operatorDrains[id] != nil
}

// takeDrain carries out an order.
func (s *Scheduler) takeDrain(now Now, id worker.SearcherID, draining bool) {
	was := s.operatorDrains.record(id)
	record := was.next(now, draining)
	s.operatorDrains[id] = &operatorDrain{operatorDrainRecord: record}
	s.write(operatorDrainKey(id), record)
	switch {
	case draining == was.draining():
		return
	case draining:
		s.rebind(now, s.searchers[id])
	default:
		s.bindAll(now)
	}
	s.unplaced = true
}

// DrainVersion is the number of operators' orders on the drain of a searcher that were taken in its life.
func (s *Scheduler) DrainVersion(id worker.SearcherID) uint64 {
	return s.operatorDrains.record(id).Version
}

// OperatorDrains tells whether an operator allows a searcher no new starts.
func (s *Scheduler) OperatorDrains(id worker.SearcherID) bool { return s.operatorDrains.has(id) }

// operatorDrains are the searchers that operators have drained or undrained.
type operatorDrains map[worker.SearcherID]*operatorDrain

// has tells whether an operator allows a searcher no new starts now.
func (d operatorDrains) has(id worker.SearcherID) bool { return d.record(id).draining() }

// record is that of a searcher; its zero value stands for one that no operator has drained.
func (d operatorDrains) record(id worker.SearcherID) operatorDrainRecord {
	if drain := d[id]; drain != nil {
		return drain.operatorDrainRecord
	}
	return operatorDrainRecord{}
}

func (s *Scheduler) forgetOperatorDrain(id worker.SearcherID) {
	delete(s.operatorDrains, id)
	s.erase(operatorDrainKey(id))
}

// pruneOperatorDrains forgets the records of searchers whose lives are over. It is called after each whole list.
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
		drains[worker.SearcherID(id)] = drain
	}
	return drains, nil
}
