package rebuild

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/verdict"
)

// notReadyRetry is when a member that refuses a dump may be asked again.
const notReadyRetry = 250 * time.Millisecond

// errNotReady is the refusal of a member that is itself incomplete.
var errNotReady = errors.New("this member is being rebuilt itself")

// dumpRequest asks for a copy of all replicated tables.
type dumpRequest struct{}

// dumpReply is that copy, as of one moment.
type dumpReply struct {
	Tables storage.Tables `msgpack:"t"`
}

// Serve registers the internal call by which others rebuild.
func (r *Rebuilder) Serve(mux *transport.Mux) { transport.Handle(mux, dumpPath, r.dump) }

func (r *Rebuilder) dump(context.Context, dumpRequest) (dumpReply, error) {
	if !r.Ready() {
		return dumpReply{}, verdict.Unexecuted(errNotReady, notReadyRetry)
	}
	tables := r.config.Store.Snapshot()
	delete(tables, TableName)
	delete(tables, replicaset.TableName)
	return dumpReply{Tables: tables}, nil
}

// fetched is a member's copy, or why there is none.
type fetched struct {
	member string
	tables storage.Tables
	err    error
}

// fetchMissing asks all members that gave no copy yet, until there are enough copies or all have answered.
func (r *Rebuilder) fetchMissing(ctx context.Context, view replicaset.View, copies map[string]storage.Tables) {
	ctx, cancel := context.WithTimeout(ctx, dumpLimit)
	defer cancel()
	missing := r.missing(view, copies)
	answers := make(chan fetched, len(missing))
	for _, member := range missing {
		go func() { answers <- r.fetch(ctx, member) }()
	}
	for open := len(missing); open > 0 && len(copies) < majorityOfOthers(view); open-- {
		answer := <-answers
		if answer.err != nil {
			r.config.Logger.Debug("copy of a member's tables", zap.String("member", answer.member), zap.Error(answer.err))
			continue
		}
		copies[answer.member] = answer.tables
	}
}

// missing lists the other members that gave no copy yet.
func (r *Rebuilder) missing(view replicaset.View, copies map[string]storage.Tables) []string {
	var missing []string
	for _, member := range view.Members {
		if _, found := copies[member]; !found && member != r.config.Self {
			missing = append(missing, member)
		}
	}
	return missing
}

func (r *Rebuilder) fetch(ctx context.Context, member string) fetched {
	var reply dumpReply
	err := r.config.Caller.Call(ctx, member, dumpPath, dumpRequest{}, &reply)
	return fetched{member, reply.Tables, err}
}
