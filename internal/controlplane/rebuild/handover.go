package rebuild

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	departureCheckInterval = 100 * time.Millisecond // delay between two checks whether a departing member may stop
	readyTimeout           = 300 * time.Millisecond // timeout of a readyRequest
)

// handleReady replies to a readyRequest.
func (r *Rebuilder) handleReady(context.Context, readyRequest) (readyReply, error) {
	views := r.config.Views
	return readyReply{
		Ready:     r.Ready() && views.View().Has(r.config.Self),
		Departing: views.Departing(),
		Joining:   views.HasJoiningMember(),
	}, nil
}

// HandOver waits until this departing member may stop (replicaset.Departure.MayStop) or the context ends. Meanwhile, it calls
// leave repeatedly. That function must send leave requests, so that a joining member replaces this one. HandOver returns the
// result of the last check that ended before the context, because the replies that such an end cuts off say nothing about their
// members. If the result permits the member to stop, no state exists on this process alone.
func (r *Rebuilder) HandOver(ctx context.Context, leave func(ctx context.Context)) replicaset.Departure {
	initialView := r.config.Views.View()
	joined := joinedMembers{view: initialView, unconfirmed: make(map[string]bool)}
	var last replicaset.Departure
	for checks := 0; ; checks++ {
		var leaving sync.WaitGroup
		leaving.Go(func() { leave(ctx) })
		departure := r.checkDeparture(ctx, &joined)
		departure.WasMember = initialView.Has(r.config.Self)
		leaving.Wait()
		if departure.MayStop() {
			return departure
		}
		if ctx.Err() != nil && checks > 0 {
			return last
		}
		last = departure
		if !timer.Sleep(ctx, departureCheckInterval) {
			return last
		}
	}
}

// joinedMembers tracks the members that joined after a departure began and have not yet replied that they may vote.
type joinedMembers struct {
	view        replicaset.View // the newest view passed to update
	unconfirmed map[string]bool // set of addresses
}

// update adds the members that joined with a newer view. If this process missed a view, any member may have been replaced and
// have joined again, so all members of the newer view are added. Members that are no longer in the view are removed.
func (j *joinedMembers) update(view replicaset.View) {
	missed := view.Version > j.view.Version+1
	for _, member := range view.Members {
		if missed || !j.view.Has(member) {
			j.unconfirmed[member] = true
		}
	}
	maps.DeleteFunc(j.unconfirmed, func(member string, _ bool) bool { return !view.Has(member) })
	j.view = view
}

// memberReply is the result of a readyRequest to one member.
type memberReply struct {
	member string
	reply  readyReply
	err    error
}

// checkDeparture sends a readyRequest to all other members in parallel, and returns what this process then knows about the
// departure.
func (r *Rebuilder) checkDeparture(ctx context.Context, joined *joinedMembers) replicaset.Departure {
	views := r.config.Views
	joined.update(views.View())
	departure := replicaset.Departure{
		View: joined.view, Self: r.config.Self, JoiningMember: views.HasJoiningMember(), AllOthersDeparting: views.AllOthersDeparting(),
	}
	for _, result := range r.requestReadyFromAll(ctx, joined.view) {
		ready := result.err == nil && result.reply.Ready
		stopsBefore := result.reply.Departing && result.member < r.config.Self
		if ready {
			delete(joined.unconfirmed, result.member)
		}
		if ready && !stopsBefore {
			departure.Staying++
		}
		if result.reply.Joining {
			departure.JoiningMember = true
		}
	}
	delete(joined.unconfirmed, r.config.Self)
	departure.JoinedIncomplete = len(joined.unconfirmed) > 0
	return departure
}

// requestReadyFromAll sends a readyRequest to all other members of a view in parallel, and returns all results.
func (r *Rebuilder) requestReadyFromAll(ctx context.Context, view replicaset.View) []memberReply {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var replies []memberReply
	for _, member := range view.Members {
		if member != r.config.Self {
			replies = append(replies, memberReply{member: member})
		}
	}
	var calls sync.WaitGroup
	for i := range replies {
		calls.Go(func() { replies[i].reply, replies[i].err = r.requestReady(ctx, replies[i].member) })
	}
	calls.Wait()
	return replies
}

// requestReady sends a readyRequest to one member.
func (r *Rebuilder) requestReady(ctx context.Context, member string) (readyReply, error) {
	reply, err := readyCall.Call(ctx, r.config.Caller, member, readyRequest{})
	if err != nil {
		r.config.Logger.Debug("readiness request failed", zap.String("member", member), zap.Error(err))
	}
	return reply, err
}
