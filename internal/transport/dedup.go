package transport

import "sync"

// minRememberedCalls is the minimum number of calls that a callIDSet remembers after it has received that many. At-most-once
// calls are rare: there are a few at each end of a process or of a leadership.
const minRememberedCalls = 4096

// callIDSet stores the IDs of received at-most-once calls so that duplicates can be rejected. It has two generations and drops
// the older one when the newer one is full. The zero value is empty.
type callIDSet struct {
	mutex        sync.Mutex
	newer, older map[string]struct{}
}

// add inserts an ID. It reports whether the ID was absent.
func (s *callIDSet) add(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.older[id]; known {
		return false
	}
	if _, known := s.newer[id]; known {
		return false
	}
	if s.newer == nil || len(s.newer) >= minRememberedCalls {
		s.older, s.newer = s.newer, make(map[string]struct{})
	}
	s.newer[id] = struct{}{}
	return true
}
