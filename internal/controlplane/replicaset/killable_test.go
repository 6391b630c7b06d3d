package replicaset_test

import (
	"context"
	"errors"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// killableStore is a store that rejects all writes once its process has been killed.
type killableStore struct {
	*storage.Memory
	mutex  sync.Mutex
	killed bool
}

var errKilled = errors.New("the process was killed")

// Write implements storage.Store.
func (s *killableStore) Write(changes ...storage.Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.killed {
		return errKilled
	}
	return s.Memory.Write(changes...)
}

func (s *killableStore) kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.killed = true
}

func (s *killableStore) alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.killed
}

// killableCaller is a Caller that rejects all calls once its process has been killed.
type killableCaller struct {
	transport.Caller
	store *killableStore
}

// Call implements transport.Caller.
func (c killableCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if !c.store.alive() {
		return rpcerror.WrapNotExecuted(errKilled, 0)
	}
	return c.Caller.Call(ctx, address, route, request, reply)
}
