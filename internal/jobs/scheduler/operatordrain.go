package scheduler

import (
	"maps"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/internal/jobs/worker"
)

// operatorDrainPrefix is the prefix of the durable records of searchers to which an operator allows no new starts:
//
//	d/SEARCHER  operatorDrainRecord
const operatorDrainPrefix = "d/"

type operatorDrainRecord struct {
	SinceMS int64 `msgpack:"t"` // milliseconds since 1970
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
	sr := s.searchers[id]
	switch {
	case sr == nil && !s.operatorDrains.has(id):
		return false
	case draining == s.operatorDrains.has(id):
	case draining:
		record := operatorDrainRecord{SinceMS: now.WallMS}
		s.operatorDrains[id] = &operatorDrain{operatorDrainRecord: record}
		s.write(operatorDrainKey(id), record)
		s.rebind(now, sr)
	default:
		s.forgetOperatorDrain(id)
		s.bindAll(now)
	}
	s.unplaced = true
	return true
}

// OperatorDrains tells whether an operator allows a searcher no new starts.
func (s *Scheduler) OperatorDrains(id worker.SearcherID) bool { return s.operatorDrains.has(id) }

// operatorDrains are the searchers to which an operator allows no new starts.
type operatorDrains map[worker.SearcherID]*operatorDrain

func (d operatorDrains) has(id worker.SearcherID) bool { return d[id] != nil }

func (s *Scheduler) forgetOperatorDrain(id worker.SearcherID) {
	if !s.operatorDrains.has(id) {
		return
	}
	delete(s.operatorDrains, id)
	s.erase(operatorDrainKey(id))
}

// pruneOperatorDrains forgets the drains of searchers whose lives are over. It is called after each whole list.
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
		drains[worker.SearcherID(id)] = drain
	}
	return drains, nil
}
