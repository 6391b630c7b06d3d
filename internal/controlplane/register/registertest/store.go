// Package registertest provides helpers that the simulations of registers share. Only tests use it.
package registertest

import (
	"errors"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// ErrKilled is the error of operations of a killed process.
var ErrKilled = errors.New("the process was killed")

// ProcessStore is the store of one process. It writes to a disk that outlives the process, and rejects writes after the process
// was killed. Its methods are safe for concurrent use.
type ProcessStore struct {
	storage.SnapshotStore
	mutex  sync.Mutex
	killed bool
}

// NewProcessStore returns the store of a new process that uses a disk.
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

// Kill marks the process as killed. It waits for a write in progress, and all later writes fail.
func (s *ProcessStore) Kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.killed = true
}

// Alive reports whether the process has not been killed.
func (s *ProcessStore) Alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.killed
}
