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
	departureInterval = 100 * time.Millisecond // from one round of a departure until the next
	readyTimeout      = 300 * time.Millisecond // of a request whether a member may vote and stays
)

func (r *Rebuilder) handleReady(context.Context, readyRequest) (readyReply, error) {
	views := r.config.Views
	return readyReply{
		Ready:     r.Ready() && views.View().Has(r.config.Self),
		Departing: views.Departing(),
		Joining:   views.KnowsJoiningMember(),
	}, nil
}

// HandOver serves on as a departing member until it may stop (replicaset.Departure.MayStop) or the context ends. Meanwhile it
// calls leave again and again, which is to send leave requests, so that a joining member replaces this one. It returns what it
// knew last: where the member may stop, nothing is left that only this process holds.
func (r *Rebuilder) HandOver(ctx context.Context, leave func(ctx context.Context)) replicaset.Departure {
	begun := r.config.Views.View()
	joined := joinedMembers{view: begun, unconfirmed: make(map[string]bool)}
	for {
		var leaving sync.WaitGroup
		leaving.Go(func() { leave(ctx) })
		departure := r.observeDeparture(ctx, &joined)
		departure.WasMember = begun.Has(r.config.Self)
		leaving.Wait()
		if departure.MayStop() || !timer.Sleep(ctx, departureInterval) {
			return departure
		}
	}
}

// joinedMembers are the members that have joined since a departure began, and have not replied yet that they may vote.
type joinedMembers struct {
	view        replicaset.View // the newest that was observed
	unconfirmed map[string]bool // by address
}

// observe adds the members that have joined with a newer view. Where views were missed, a member may have been replaced and
// have joined again, so that each of them counts.
func (j *joinedMembers) observe(view replicaset.View) {
	missed := view.Version > j.view.Version+1
	for _, member := range view.Members {
		if missed || !j.view.Has(member) {
			j.unconfirmed[member] = true
		}
	}
	maps.DeleteFunc(j.unconfirmed, func(member string, _ bool) bool { return !view.Has(member) })
	j.view = view
}

// memberReply is a member's reply to a ready request, or the failure to get one.
type memberReply struct {
	member string
	reply  readyReply
	err    error
}

// observeDeparture asks all other members at once, and returns what this member now knows.
func (r *Rebuilder) observeDeparture(ctx context.Context, joined *joinedMembers) replicaset.Departure {
	views := r.config.Views
	joined.observe(views.View())
	departure := replicaset.Departure{
		View: joined.view, Self: r.config.Self, JoiningMember: views.KnowsJoiningMember(), OthersDepart: views.OthersDepart(),
	}
	for _, answer := range r.askWhetherReady(ctx, joined.view) {
		ready := answer.err == nil && answer.reply.Ready
		stopsBefore := answer.reply.Departing && answer.member < r.config.Self
		if ready {
			delete(joined.unconfirmed, answer.member)
		}
		if ready && !stopsBefore {
			departure.Staying++
		}
		if answer.reply.Joining {
			departure.JoiningMember = true
		}
	}
	delete(joined.unconfirmed, r.config.Self)
	departure.JoinedIncomplete = len(joined.unconfirmed) > 0
	return departure
}

// askWhetherReady asks all other members of a view at once whether they may vote and stay.
func (r *Rebuilder) askWhetherReady(ctx context.Context, view replicaset.View) []memberReply {
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

func (r *Rebuilder) requestReady(ctx context.Context, member string) (readyReply, error) {
	reply, err := readyCall.Call(ctx, r.config.Caller, member, readyRequest{})
	if err != nil {
		r.config.Logger.Debug("readiness request failed", zap.String("member", member), zap.Error(err))
	}
	return reply, err
}
