package rebuild

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	fetchRetryInterval = 250 * time.Millisecond // after a member gave no snapshot, until it is asked again
	// minChunkTimeout and maxChunkTimeout bound the calls for a chunk until they are made anew: at first, and after time-outs in
	// a row, each of which doubles it.
	minChunkTimeout = 3500 * time.Millisecond
	maxChunkTimeout = 14 * time.Second
	// hedgeDelay is how long a chunk is waited for before it is requested once more; there are at most maxChunkCalls calls
	// for it.
	hedgeDelay    = time.Second
	maxChunkCalls = 3
	// probeInterval and probeTimeout are those of the small calls that find out whether a donor that gives no chunk is out
	// of reach.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
)

var (
	errChunkLate     = errors.New("no call for the chunk got a reply in time")
	errDonorReturned = errors.New("the donor was out of reach, so that the calls for the chunk are lost")
)

// donors are the processes that this member fetches snapshots from: the other members, and the one that this very process
// replaced. A later process at the same address may have voted in the view and have lost that vote, which the replaced
// member's snapshot would lack; so it asks the members alone.
func (r *Rebuilder) donors(view replicaset.View) []string {
	donors := slices.DeleteFunc(slices.Clone(view.Members), func(member string) bool { return member == r.config.Self })
	if view.Replaced != "" && r.config.Incarnation != 0 && view.JoinedIncarnation == r.config.Incarnation {
		donors = append(donors, view.Replaced)
	}
	return donors
}

// collectFrom fetches snapshots from all donors of a view until there are enough. It returns nil when the view changes or the
// context ends before. A donor that does not reply delays no other.
func (r *Rebuilder) collectFrom(ctx context.Context, view replicaset.View, changed <-chan struct{}, needed int) []storage.Tables {
	ctx, cancel := context.WithCancel(ctx)
	var fetching sync.WaitGroup
	defer fetching.Wait()
	defer cancel()
	donors := r.donors(view)
	snapshots := make(chan storage.Tables, len(donors))
	for _, donor := range donors {
		fetching.Go(func() { r.fetchUntilDone(ctx, donor, view, snapshots) })
	}
	collected := make([]storage.Tables, 0, needed)
	for len(collected) < needed {
		select {
		case tables := <-snapshots:
			collected = append(collected, tables)
		case <-changed:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return collected
}

// fetchUntilDone asks one donor until it has given a snapshot.
func (r *Rebuilder) fetchUntilDone(ctx context.Context, member string, view replicaset.View, snapshots chan<- storage.Tables) {
	for ctx.Err() == nil {
		tables, err := r.fetch(ctx, member, view)
		if err == nil {
			snapshots <- tables
			return
		}
		r.config.Logger.Debug("snapshot transfer failed", zap.String("member", member), zap.Error(err))
		if !timer.Sleep(ctx, fetchRetryInterval) {
			return
		}
	}
}

// fetch gets one donor's snapshot, chunk by chunk. It fails where the donor no longer has that snapshot, as after a restart.
func (r *Rebuilder) fetch(ctx context.Context, member string, view replicaset.View) (storage.Tables, error) {
	request := dumpRequest{Member: r.config.Self, View: view, Attempt: rand.Uint64()}
	tables := make(storage.Tables)
	for chunks := uint32(1); request.Chunk < chunks; request.Chunk++ {
		reply, err := r.fetchChunk(ctx, member, request)
		if err != nil {
			return nil, err
		}
		request.Snapshot, chunks = reply.Snapshot, reply.Chunks
		addEntries(tables, reply.Entries)
	}
	return tables, nil
}

// fetchChunk gets one chunk. Calls that were lost without a sign are made anew: after a time-out that grows, as a slow link
// needs longer, and at once where the donor was out of reach and has replied again.
func (r *Rebuilder) fetchChunk(ctx context.Context, member string, request dumpRequest) (dumpReply, error) {
	for timeout := minChunkTimeout; ; {
		reply, err := r.hedgeChunk(ctx, member, request, timeout)
		switch {
		case errors.Is(err, errDonorReturned):
			timeout = minChunkTimeout
		case errors.Is(err, errChunkLate):
			timeout = min(2*timeout, maxChunkTimeout)
		default:
			return reply, err
		}
	}
}

// chunkResult is the result of one call for a chunk.
type chunkResult struct {
	reply dumpReply
	err   error
}

// hedgeChunk gets one chunk within the time-out, with hedged calls (Dean and Barroso, "The Tail at Scale", Communications of the
// ACM 56(2), 2013): a request or a reply may be lost without a sign, so another call is made after a delay, though the first
// may still be under way. A refusal is final.
func (r *Rebuilder) hedgeChunk(ctx context.Context, member string, request dumpRequest, timeout time.Duration) (dumpReply, error) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, timeout, errChunkLate)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	results := make(chan chunkResult, maxChunkCalls)
	nextCall := time.NewTimer(0)
	defer nextCall.Stop()
	for sent, failed := 0, 0; ; {
		select {
		case <-nextCall.C:
			sent++
			calls.Go(func() {
				reply, err := dumpCall.Call(ctx, r.config.Caller, member, request)
				results <- chunkResult{reply, err}
			})
			if sent < maxChunkCalls {
				nextCall.Reset(hedgeDelay)
			} else {
				calls.Go(func() { r.awaitReturn(ctx, member, cancel) })
			}
		case result := <-results:
			if result.err == nil || rpcerror.ExecutionOf(result.err) == rpcerror.NotExecuted {
				return result.reply, result.err
			}
			if failed++; failed == maxChunkCalls && ctx.Err() == nil {
				return dumpReply{}, result.err
			}
		case <-ctx.Done():
			return dumpReply{}, context.Cause(ctx)
		}
	}
}

// awaitReturn cancels all calls for a chunk once the donor has been out of reach and has replied again: none of them is still
// under way then.
func (r *Rebuilder) awaitReturn(ctx context.Context, member string, cancel context.CancelCauseFunc) {
	for unreachable := false; timer.Sleep(ctx, probeInterval); {
		probe, endProbe := context.WithTimeout(ctx, probeTimeout)
		_, err := r.requestReady(probe, member)
		endProbe()
		if err == nil && unreachable {
			cancel(errDonorReturned)
			return
		}
		unreachable = err != nil
	}
}
