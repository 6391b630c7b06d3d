package rebuild

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

const (
	readyInterval = 100 * time.Millisecond // between questions whether a newcomer has been rebuilt
	readyLimit    = 500 * time.Millisecond // for one question
)

// readyRequest asks whether a process may vote as a member of the replicas.
type readyRequest struct{}

type readyReply struct {
	Ready bool `msgpack:"r"`
}

func (r *Rebuilder) tellReady(context.Context, readyRequest) (readyReply, error) {
	return readyReply{Ready: r.Ready() && r.config.Views.View().Has(r.config.Self)}, nil
}

// HandOver lets a newcomer take this member's place before this process stops: leave says goodbye until another has the
// place, and then the newcomer is awaited. It tells whether the newcomer has been rebuilt; if so, nothing is left that
// only this process holds.
func (r *Rebuilder) HandOver(ctx context.Context, leave func(ctx context.Context) (replaced bool)) bool {
	earlier := r.config.Views.View()
	return leave(ctx) && r.awaitNewcomers(ctx, earlier)
}

// awaitNewcomers waits until each member of the current view that was none in an earlier view may vote, or the context
// ends. It tells whether they may.
func (r *Rebuilder) awaitNewcomers(ctx context.Context, earlier replicaset.View) bool {
	for !r.newcomersReady(ctx, earlier) {
		if sleep(ctx, readyInterval) != nil {
			return false
		}
	}
	return true
}

// newcomersReady asks all those members at once.
func (r *Rebuilder) newcomersReady(ctx context.Context, earlier replicaset.View) bool {
	var questions sync.WaitGroup
	var missing atomic.Int32
	for _, member := range r.config.Views.View().Members {
		if earlier.Has(member) {
			continue
		}
		questions.Go(func() {
			if !r.askReady(ctx, member) {
				missing.Add(1)
			}
		})
	}
	questions.Wait()
	return missing.Load() == 0
}

func (r *Rebuilder) askReady(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	reply, err := readyCall.Call(ctx, r.config.Caller, member, readyRequest{})
	if err != nil {
		r.config.Logger.Debug("ask whether a newcomer is rebuilt", zap.String("member", member), zap.Error(err))
		return false
	}
	return reply.Ready
}
