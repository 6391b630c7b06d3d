package storage

// Memory is a Store in memory only, for tests and for processes without a disk.
type Memory struct {
	guardedContents
	failure error // the error of all writes; guarded by guardedContents.mutex
}

// NewMemory returns an empty Memory.
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

// Fail makes later calls of Write return err, as a broken disk would. Fail(nil) ends this.
func (m *Memory) Fail(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failure = err
}
