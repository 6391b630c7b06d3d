package storage

// Memory is a Store without a disk, for tests and for processes that have none.
type Memory struct {
	guardedContents
	failure error // of all writes; guarded by the mutex of the contents
}

// NewMemory makes an empty Memory.
func NewMemory() *Memory { return &Memory{guardedContents: newGuardedContents()} }

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

// Fail makes every later Write return an error, as a broken disk would, until Fail(nil).
func (m *Memory) Fail(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failure = err
}
