package transport

import "sync"

// onceCalls is how many calls a memory keeps at least. They are rare: a few with each end of a process or a leadership.
const onceCalls = 4096

// onceMemory remembers the names of Once calls that were received, so that none is carried out a second time. It forgets
// the oldest half at a time. The zero value is empty.
type onceMemory struct {
	mutex        sync.Mutex
	newer, older map[string]struct{}
}

// first notes a call, and tells whether it was not there before.
func (m *onceMemory) first(call string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, known := m.older[call]; known {
		return false
	}
	if _, known := m.newer[call]; known {
		return false
	}
	if m.newer == nil || len(m.newer) >= onceCalls {
		m.older, m.newer = m.newer, make(map[string]struct{})
	}
	m.newer[call] = struct{}{}
	return true
}
