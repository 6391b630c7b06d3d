package transport

import "sync"

// minRememberedCalls is how many calls a memory keeps at least. They are rare: a few with each end of a process or a leadership.
const minRememberedCalls = 4096

// callIDSet remembers the names of Once calls that were received, so that none is carried out a second time. It forgets
// the oldest half at a time. The zero value is empty.
type callIDSet struct {
	mutex        sync.Mutex
	newer, older map[string]struct{}
}

// firstReceipt notes a call, and tells whether it was not there before.
func (m *callIDSet) add(call string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, known := m.older[call]; known {
		return false
	}
	if _, known := m.newer[call]; known {
		return false
	}
	if m.newer == nil || len(m.newer) >= minRememberedCalls {
		m.older, m.newer = m.newer, make(map[string]struct{})
	}
	m.newer[call] = struct{}{}
	return true
}
