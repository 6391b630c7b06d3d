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
	fetchRetryInterval = 250 * time.Millisecond // delay between a failed snapshot transfer and the next attempt
	// minChunkTimeout and maxChunkTimeout bound how long the requests for a chunk may take before they are repeated. The
	// timeout starts at the minimum, and each consecutive timeout doubles it.
	minChunkTimeout = 3500 * time.Millisecond
	maxChunkTimeout = 14 * time.Second
	// hedgeDelay is the delay before another hedged request for a chunk. At most maxChunkCalls requests are sent before the
	// timeout.
	hedgeDelay    = time.Second
	maxChunkCalls = 3
	// probeInterval and probeTimeout apply to the probes, which are small requests. They detect whether a donor that does
	// not send a chunk is unreachable.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
)

var (
	errChunkTimeout        = errors.New("no request for the chunk was answered before the timeout")
	errDonorReachableAgain = errors.New("the donor was unreachable, so the requests for the chunk are lost")
)

// donors returns the processes that this member fetches snapshots from. These are the other members, and the member that this
// process replaced. A later process at the same address does not use the replaced member as a donor: its predecessor may have
// voted in the view, and neither its disk nor the snapshot of the replaced member would contain that vote.
func (r *Rebuilder) donors(view replicaset.View) []string {
	donors := slices.DeleteFunc(slices.Clone(view.Members), func(member string) bool { return member == r.config.Self })
	if view.Replaced != "" && r.config.Incarnation != 0 && view.JoinedIncarnation == r.config.Incarnation {
		donors = append(donors, view.Replaced)
	}
	return donors
}

// fetchFromDonors fetches snapshots from all donors of a view in parallel, and returns as soon as it has the needed number. It
// returns nil if the view changes or the context ends first. A donor that does not reply does not delay the others.
func (r *Rebuilder) fetchFromDonors(ctx context.Context, view replicaset.View, changed <-chan struct{}, neededSnapshots int) []storage.Tables {
	ctx, cancel := context.WithCancel(ctx)
	var fetching sync.WaitGroup
	defer fetching.Wait()
	defer cancel()
	donors := r.donors(view)
	snapshots := make(chan storage.Tables, len(donors))
	for _, donor := range donors {
		fetching.Go(func() { r.fetchWithRetries(ctx, donor, view, snapshots) })
	}
	collected := make([]storage.Tables, 0, neededSnapshots)
	for len(collected) < neededSnapshots {
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

// fetchWithRetries fetches the snapshot of one donor, and retries until that succeeds or the context ends.
func (r *Rebuilder) fetchWithRetries(ctx context.Context, member string, view replicaset.View, snapshots chan<- storage.Tables) {
	for ctx.Err() == nil {
		tables, err := r.fetchSnapshot(ctx, member, view)
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

// fetchSnapshot fetches the snapshot of one donor chunk by chunk. It fails if the donor no longer has the snapshot, for example
// after a restart.
func (r *Rebuilder) fetchSnapshot(ctx context.Context, member string, view replicaset.View) (storage.Tables, error) {
	request := chunkRequest{Member: r.config.Self, View: view, Attempt: rand.Uint64()}
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

// fetchChunk fetches one chunk. It repeats the requests after a timeout, because the network may drop them without an error.
// The timeout grows, because a slow link needs longer. If the donor was unreachable and replies to a probe again, fetchChunk
// repeats the requests at once.
func (r *Rebuilder) fetchChunk(ctx context.Context, member string, request chunkRequest) (chunkReply, error) {
	for timeout := minChunkTimeout; ; {
		reply, err := r.fetchChunkHedged(ctx, member, request, timeout)
		switch {
		case errors.Is(err, errDonorReachableAgain):
			timeout = minChunkTimeout
		case errors.Is(err, errChunkTimeout):
			timeout = min(2*timeout, maxChunkTimeout)
		default:
			return reply, err
		}
	}
}

// chunkResult is the result of one request for a chunk.
type chunkResult struct {
	reply chunkReply
	err   error
}

// fetchChunkHedged fetches one chunk within the timeout, with hedged requests (Dean and Barroso, "The Tail at Scale",
// Communications of the ACM 56(2), 2013). The network may drop a request or a reply without an error. So another request is
// sent after hedgeDelay, even though the first one may still be in flight. If the donor refuses a request, that result is final.
func (r *Rebuilder) fetchChunkHedged(ctx context.Context, member string, request chunkRequest, timeout time.Duration) (chunkReply, error) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, timeout, errChunkTimeout)
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
				reply, err := chunkCall.Call(ctx, r.config.Caller, member, request)
				results <- chunkResult{reply, err}
			})
			if sent < maxChunkCalls {
				nextCall.Reset(hedgeDelay)
			} else {
				calls.Go(func() { r.cancelWhenDonorReturns(ctx, member, cancel) })
			}
		case result := <-results:
			if result.err == nil || rpcerror.ExecutionOf(result.err) == rpcerror.NotExecuted {
				return result.reply, result.err
			}
			if failed++; failed == maxChunkCalls && ctx.Err() == nil {
				return chunkReply{}, result.err
			}
		case <-ctx.Done():
			return chunkReply{}, context.Cause(ctx)
		}
	}
}

// cancelWhenDonorReturns probes the donor. If the donor was unreachable and replies again, it cancels all requests for the
// chunk, because those were lost in the meantime.
func (r *Rebuilder) cancelWhenDonorReturns(ctx context.Context, member string, cancel context.CancelCauseFunc) {
	for unreachable := false; timer.Sleep(ctx, probeInterval); {
		probeCtx, cancelProbe := context.WithTimeout(ctx, probeTimeout)
		_, err := r.requestReady(probeCtx, member)
		cancelProbe()
		if err == nil && unreachable {
			cancel(errDonorReachableAgain)
			return
		}
		unreachable = err != nil
	}
}
