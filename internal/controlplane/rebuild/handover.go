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
	readyInterval = 100 * time.Millisecond // between questions whether a joining member has been rebuilt
	readyLimit    = 500 * time.Millisecond // for one question
	// rebuildingLimit is the same where members that are down are to hold up nothing.
	rebuildingLimit = 200 * time.Millisecond
)

// readyRequest asks whether a process may vote as a member of the replicas.
type readyRequest struct{}

type readyReply struct {
	Ready bool `msgpack:"r"`
}

func (r *Rebuilder) tellReady(context.Context, readyRequest) (readyReply, error) {
	return readyReply{Ready: r.Ready() && r.config.Views.View().Has(r.config.Self)}, nil
}

// HandOver waits for members that are being rebuilt, and then lets a joining member take this member's place before this process
// stops: leave says goodbye until another has the place, and then the joining member is awaited. It tells whether the joining member has been rebuilt; if so, nothing is left that
// only this process holds.
func (r *Rebuilder) HandOver(ctx context.Context, leave func(ctx context.Context) (replaced bool)) bool {
	for {
		r.awaitRebuilds(ctx)
		earlier := r.config.Views.View()
		if leave(ctx) {
			return r.awaitJoiningMembers(ctx, earlier)
		}
		if !r.someRebuild(ctx) {
			return false // a joining member that waited may have another's place by now, and be rebuilt
		}
	}
}

// awaitRebuilds waits while another member says that it is being rebuilt, as that one may need the copy of this. Members
// that do not answer are not waited for.
func (r *Rebuilder) awaitRebuilds(ctx context.Context) {
	for r.someRebuild(ctx) && sleep(ctx, readyInterval) == nil {
	}
}

func (r *Rebuilder) someRebuild(ctx context.Context) bool {
	var questions sync.WaitGroup
	var rebuilding atomic.Bool
	for _, member := range r.config.Views.View().Members {
		if member == r.config.Self {
			continue
		}
		questions.Go(func() {
			if ready, err := r.askReady(ctx, member, rebuildingLimit); err == nil && !ready {
				rebuilding.Store(true)
			}
		})
	}
	questions.Wait()
	return rebuilding.Load()
}

// awaitJoiningMembers waits until each member of the current view that was none in an earlier view may vote, or the context
// ends. It tells whether they may.
func (r *Rebuilder) awaitJoiningMembers(ctx context.Context, earlier replicaset.View) bool {
	for !r.joiningMembersReady(ctx, earlier) {
		if sleep(ctx, readyInterval) != nil {
			return false
		}
	}
	return true
}

// joiningMembersReady asks all those members at once.
func (r *Rebuilder) joiningMembersReady(ctx context.Context, earlier replicaset.View) bool {
	var questions sync.WaitGroup
	var missing atomic.Int32
	for _, member := range r.config.Views.View().Members {
		if earlier.Has(member) {
			continue
		}
		questions.Go(func() {
			if ready, _ := r.askReady(ctx, member, readyLimit); !ready {
				missing.Add(1)
			}
		})
	}
	questions.Wait()
	return missing.Load() == 0
}

func (r *Rebuilder) askReady(ctx context.Context, member string, limit time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := readyCall.Call(ctx, r.config.Caller, member, readyRequest{})
	if err != nil {
		r.config.Logger.Debug("ask whether a member is rebuilt", zap.String("member", member), zap.Error(err))
	}
	return reply.Ready, err
}
