// Package registertest holds what simulations of registers share.
package registertest

import (
	"errors"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// ErrKilled is the error of a process that was killed.
var ErrKilled = errors.New("the process was killed")

// ProcessStore is the store of one process: it writes to a disk, which outlasts the process, until the process is killed. Its
// methods may be called from any goroutine.
type ProcessStore struct {
	storage.SnapshotStore
	mutex  sync.Mutex
	killed bool
}

// NewProcessStore makes the store of a process on a disk.
func NewProcessStore(disk storage.SnapshotStore) *ProcessStore {
	return &ProcessStore{SnapshotStore: disk}
}

// Write implements storage.Store. After Kill it writes nothing and returns ErrKilled.
func (s *ProcessStore) Write(changes ...storage.Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.killed {
		return ErrKilled
	}
	return s.SnapshotStore.Write(changes...)
}

// Kill ends all writes. It waits for one that is in progress.
func (s *ProcessStore) Kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.killed = true
}

// Alive reports whether the process was not killed.
func (s *ProcessStore) Alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.killed
}
