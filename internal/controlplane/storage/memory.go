package storage

import "sync"

// Memory is a Store without a disk, for tests and for processes that have none.
type Memory struct {
	mutex    sync.RWMutex
	contents *contents
	failure  error
}

// NewMemory makes an empty Memory.
func NewMemory() *Memory { return &Memory{contents: newContents()} }

// Tables implements Store.
func (m *Memory) Tables() []string {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.contents.names()
}

// Table implements Store.
func (m *Memory) Table(name string) map[string][]byte {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.contents.table(name)
}

// Snapshot implements SnapshotStore.
func (m *Memory) Snapshot() Tables {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.contents.snapshot()
}

// Write implements Store.
func (m *Memory) Write(changes ...Change) error {
	cloned := cloneChanges(changes)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.failure != nil {
		return m.failure
	}
	m.contents.apply(cloned)
	return nil
}

// Fail makes every later Write return an error, as a broken disk would.
func (m *Memory) Fail(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failure = err
}
