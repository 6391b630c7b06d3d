package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var errNoMajority = errors.New("no majority")

// fakeRegister is an in-memory register that can simulate failures.
type fakeRegister struct {
	mutex   sync.Mutex
	value   []byte
	changes int
	reads   int
	// unavailable makes calls fail without effect.
	unavailable bool
	// loseReplies makes changes take effect but return an error that leaves this open.
	loseReplies bool
	// loseChanges makes changes return the same error without effect.
	loseChanges bool
	// modifyTwice makes a change call modify again with its own result, as after a lost round.
	modifyTwice bool
	// If changeStarted is set, each change sends to it and then waits for continueChange.
	changeStarted, continueChange chan struct{}
}

func (r *fakeRegister) Change(ctx context.Context, modify func([]byte) ([]byte, error)) ([]byte, error) {
	if r.changeStarted != nil {
		r.changeStarted <- struct{}{}
		select {
		case <-r.continueChange:
		case <-ctx.Done():
			return nil, rpcerror.WrapMayHaveExecuted(ctx.Err())
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes++
	if r.unavailable {
		return nil, rpcerror.WrapNotExecuted(errNoMajority, 70*time.Millisecond)
	}
	next, err := modify(r.value)
	if err != nil {
		return nil, rpcerror.WrapNotExecuted(err, 0)
	}
	if r.modifyTwice {
		if next, err = modify(next); err != nil {
			return nil, rpcerror.WrapMayHaveExecuted(err)
		}
	}
	if r.loseChanges {
		return nil, rpcerror.WrapMayHaveExecuted(errNoMajority)
	}
	r.value = next
	if r.loseReplies {
		return nil, rpcerror.WrapMayHaveExecuted(errNoMajority)
	}
	return next, nil
}

func (r *fakeRegister) Read(context.Context) ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reads++
	if r.unavailable {
		return nil, rpcerror.WrapNotExecuted(errNoMajority, 0)
	}
	return r.value, nil
}

func (r *fakeRegister) update(change func(*fakeRegister)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r)
}

func (r *fakeRegister) changeCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changes
}

// callerFunc implements transport.Caller.
type callerFunc func(ctx context.Context, address string, route transport.Route, request, reply any) error

func (f callerFunc) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	return f(ctx, address, route, request, reply)
}

func failUnreachable(context.Context, string, transport.Route, any, any) error {
	return rpcerror.WrapNotExecuted(errNoMajority, 0)
}

func newConfigurator(register Register) *Configurator {
	return New(Options{
		Register: register,
		Caller:   callerFunc(failUnreachable),
		Members:  func() replicaset.View { return replicaset.View{} },
		Address:  "10.0.0.1:1",
		Logger:   zap.NewNop(),
	})
}
