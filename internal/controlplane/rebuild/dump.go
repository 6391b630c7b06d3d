package rebuild

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// notReadyRetry is when a member that refuses a dump may be asked again.
const notReadyRetry = 250 * time.Millisecond

var (
	// errNotReady is the refusal of a member that is itself incomplete.
	errNotReady = errors.New("this member is being rebuilt itself")
	// errOtherView is the refusal of a member that works with another view than the one who asks, or with one that the one
	// who asks is no part of: it might still vote in rounds that the copy would lack.
	errOtherView = errors.New("this member works with another view of the replicas")
)

// dumpRequest asks for a part of a copy of all replicated tables. Part 0 has the copy made, once for each attempt.
type dumpRequest struct {
	Member  string          `msgpack:"m"` // who asks
	View    replicaset.View `msgpack:"v"` // that it works with
	Attempt uint64          `msgpack:"a"` // a number of the asker's for all parts
	Copy    uint64          `msgpack:"c"` // as the answer to part 0 named it; 0 with part 0
	Chunk   uint32          `msgpack:"p"`
}

// Internal calls. Both only read: the copy is as of when it is made, and a part of it stays the same.
var (
	dumpCall  = transport.NewRepeatable[dumpRequest, dumpReply]("/rebuild/dump")
	readyCall = transport.NewRepeatable[readyRequest, readyReply]("/rebuild/ready")
)

// dumpReply is that part. The whole copy is of one moment after its giver learned the view.
type dumpReply struct {
	Copy    uint64           `msgpack:"c"`
	Chunks  uint32           `msgpack:"n"`
	Entries []storage.Change `msgpack:"e"`
}

// Serve registers the internal calls by which others rebuild, and learn that this member is.
func (r *Rebuilder) Serve(mux *transport.Mux) {
	transport.Handle(mux, dumpCall, r.dump)
	transport.Handle(mux, readyCall, r.tellReady)
}

func (r *Rebuilder) dump(_ context.Context, request dumpRequest) (dumpReply, error) {
	if !r.mayGive() {
		return dumpReply{}, rpcerror.Unexecuted(errNotReady, notReadyRetry)
	}
	if err := r.admit(request); err != nil {
		return dumpReply{}, rpcerror.Unexecuted(err, notReadyRetry)
	}
	if request.Chunk > 0 {
		return r.copies.chunk(request)
	}
	return r.copies.first(request, func() storage.Tables {
		tables := r.config.Store.Snapshot()
		delete(tables, TableName)
		delete(tables, replicaset.TableName)
		return tables
	}), nil
}

// admit learns the view of the one who asks, and checks that this member works with the same.
func (r *Rebuilder) admit(request dumpRequest) error {
	if request.View.Version > r.config.Views.View().Version {
		if err := r.config.Views.Learn(request.View); err != nil {
			return err
		}
	}
	view := r.config.Views.View()
	if view.Version != request.View.Version || !view.Has(request.Member) || !r.mayGive() {
		return fmt.Errorf("%w: version %d", errOtherView, view.Version)
	}
	return nil
}

// mayGive tells whether this process may give its copy: as a complete member, or as the complete member that the newest
// view has replaced. The latter votes no more, so that its copy has all that it ever voted for.
func (r *Rebuilder) mayGive() bool { return r.Ready() || r.gavePlace() }

// gavePlace tells whether this process was complete in the view before the current one and gave its place in this.
func (r *Rebuilder) gavePlace() bool {
	view := r.config.Views.View()
	absences := r.config.Views.Absences()
	if absences == 0 || view.Replaced != r.config.Self || view.Has(r.config.Self) {
		return false
	}
	mark := r.config.Store.Table(TableName)[completeKey]
	return bytes.Equal(mark, completeMark(absences-1))
}

// givers are those that this member asks for copies: the other members, and the one whose place this very process took
// with the view. A later process at the same address may have voted in the view and have lost that, which the replaced
// member's copy would lack; so it asks the members alone.
func (r *Rebuilder) givers(view replicaset.View) []string {
	givers := slices.DeleteFunc(slices.Clone(view.Members), func(member string) bool { return member == r.config.Self })
	if view.Replaced != "" && r.config.Incarnation != 0 && view.Entered == r.config.Incarnation {
		givers = append(givers, view.Replaced)
	}
	return givers
}

// collectFrom asks the other members of a view until there are enough copies. It returns nil when the view changes or the
// context ends before. A member that does not answer holds up no other.
func (r *Rebuilder) collectFrom(ctx context.Context, view replicaset.View, changed <-chan struct{}, needed int) []storage.Tables {
	ctx, cancel := context.WithCancel(ctx)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	givers := r.givers(view)
	answers := make(chan storage.Tables, len(givers))
	for _, giver := range givers {
		asking.Go(func() { r.fetchUntilDone(ctx, giver, view, answers) })
	}
	copies := make([]storage.Tables, 0, needed)
	for len(copies) < needed {
		select {
		case tables := <-answers:
			copies = append(copies, tables)
		case <-changed:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return copies
}

// fetchUntilDone asks one member until it gives a copy.
func (r *Rebuilder) fetchUntilDone(ctx context.Context, member string, view replicaset.View, answers chan<- storage.Tables) {
	for ctx.Err() == nil {
		tables, err := r.fetch(ctx, member, view)
		if err == nil {
			answers <- tables
			return
		}
		r.config.Logger.Debug("copy of a member's tables", zap.String("member", member), zap.Error(err))
		sleep(ctx, askInterval)
	}
}

// fetch gets one member's copy, part by part. It fails where the member has another copy by then, as after a restart.
func (r *Rebuilder) fetch(ctx context.Context, member string, view replicaset.View) (storage.Tables, error) {
	request := dumpRequest{Member: r.config.Self, View: view, Attempt: rand.Uint64()}
	tables := make(storage.Tables)
	for chunks := uint32(1); request.Chunk < chunks; request.Chunk++ {
		reply, err := r.fetchChunk(ctx, member, request)
		if err != nil {
			return nil, err
		}
		request.Copy, chunks = reply.Copy, reply.Chunks
		addEntries(tables, reply.Entries)
	}
	return tables, nil
}

// chunkResult is how one call for a part ended.
type chunkResult struct {
	reply dumpReply
	err   error
}

// fetchChunk gets one part. A request or an answer may have been lost without a sign, so another is asked for after a while,
// though the first may still be on its way. A refusal is final.
func (r *Rebuilder) fetchChunk(ctx context.Context, member string, request dumpRequest) (dumpReply, error) {
	var open sync.WaitGroup
	defer open.Wait()
	ctx, cancel := context.WithTimeout(ctx, chunkLimit)
	defer cancel()
	results := make(chan chunkResult, openFetches)
	ask := time.NewTimer(0)
	defer ask.Stop()
	for asked, failed := 0, 0; ; {
		select {
		case <-ask.C:
			asked++
			open.Go(func() {
				reply, err := dumpCall.Call(ctx, r.config.Caller, member, request)
				results <- chunkResult{reply, err}
			})
			if asked < openFetches {
				ask.Reset(reaskInterval)
			}
		case result := <-results:
			if result.err == nil || rpcerror.Of(result.err) == rpcerror.NotRun {
				return result.reply, result.err
			}
			if failed++; failed == openFetches {
				return dumpReply{}, result.err
			}
		case <-ctx.Done():
			return dumpReply{}, context.Cause(ctx)
		}
	}
}
