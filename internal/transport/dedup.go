package transport

import "sync"

// minRememberedCalls is how many calls a set remembers at least. At-most-once calls are rare: a few with each end of a
// process or a leadership.
const minRememberedCalls = 4096

// callIDSet remembers the IDs of the at-most-once calls received, to reject duplicates. It has two generations, and drops
// the older one when the newer one is full. The zero value is empty.
type callIDSet struct {
	mutex        sync.Mutex
	newer, older map[string]struct{}
}

// add inserts an ID and tells whether it was absent.
func (m *callIDSet) add(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, known := m.older[id]; known {
		return false
	}
	if _, known := m.newer[id]; known {
		return false
	}
	if m.newer == nil || len(m.newer) >= minRememberedCalls {
		m.older, m.newer = m.newer, make(map[string]struct{})
	}
	m.newer[id] = struct{}{}
	return true
}
