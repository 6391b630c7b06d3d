package replicaset_test

import (
	"context"
	"errors"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// mortalStore lets a process write to a disk until the process is killed.
type mortalStore struct {
	*storage.Memory
	mutex sync.Mutex
	dead  bool
}

var errDead = errors.New("the process was killed")

// Write implements storage.Store.
func (s *mortalStore) Write(changes ...storage.Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dead {
		return errDead
	}
	return s.Memory.Write(changes...)
}

func (s *mortalStore) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dead = true
}

func (s *mortalStore) alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.dead
}

// mortalCaller lets a process send until the process is killed.
type mortalCaller struct {
	transport.Caller
	store *mortalStore
}

// Call implements transport.Caller.
func (m mortalCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if !m.store.alive() {
		return rpcerror.WrapNotExecuted(errDead, 0)
	}
	return m.Caller.Call(ctx, address, route, request, reply)
}
