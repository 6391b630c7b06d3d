package register

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// wholeBytes is the length up to which a value travels whole.
	wholeBytes = 4 << 10
	// mostPushed bounds the bytes of parts that are kept for values that have not been accepted yet. They are thrown away
	// together: whoever still needs them sends them again.
	mostPushed = 2 * chunks.MaxContent
)

// values holds the parts of large values at an acceptor: of the one that was accepted last, and of those that are being
// sent. Parts are named by their content, so that it does not matter who sent them and for which proposal number; a vote depends
// on them in no other way than that a value is put together from them, which its checksum proves. Nothing here is durable.
type values struct {
	mutex          sync.Mutex
	proposalNumber ProposalNumber // of the value that was cut
	view           uint64
	cut            *chunks.Cut
	pushed         map[chunks.Sum][]byte
	pushedBytes    int
}

// cutOf returns the parts of a value that was accepted under a proposal number in a view.
func (v *values) cutOf(proposalNumber ProposalNumber, view uint64, value []byte) *chunks.Cut {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.cut == nil || v.proposalNumber != proposalNumber || v.view != view {
		v.cut, v.proposalNumber, v.view = chunks.NewCut(value, v.cut), proposalNumber, view
	}
	return v.cut
}

// newest returns the parts of the value that was cut last; nil if there is none.
func (v *values) newest() *chunks.Cut {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.cut
}

// chunk is the parts.Holder of all that is here.
func (v *values) chunk(sum chunks.Sum) (chunk []byte, found bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if chunk, found = v.pushed[sum]; !found && v.cut != nil {
		chunk, found = v.cut.Chunk(sum)
	}
	return chunk, found
}

// keep takes packed parts of a value that is being sent. The error is parts.ErrPacked.
func (v *values) keep(packed [][]byte) error {
	unpacked := make([][]byte, 0, len(packed))
	for _, one := range packed {
		chunk, err := chunks.Unpack(one)
		if err != nil {
			return err
		}
		unpacked = append(unpacked, chunk)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, chunk := range unpacked {
		v.keepOne(chunk)
	}
	return nil
}

func (v *values) keepOne(chunk []byte) {
	if v.pushed == nil || v.pushedBytes+len(chunk) > mostPushed {
		v.pushed, v.pushedBytes = make(map[chunks.Sum][]byte), 0
	}
	sum := chunks.SumOf(chunk)
	if _, twice := v.pushed[sum]; !twice {
		v.pushed[sum] = chunk
		v.pushedBytes += len(chunk)
	}
}

// committed throws away what was sent of earlier values, once one was accepted.
func (v *values) committed(accepted *chunks.Cut, proposalNumber ProposalNumber, view uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.cut, v.proposalNumber, v.view = accepted, proposalNumber, view
	v.pushed, v.pushedBytes = nil, 0
}

// errNoContent is the refusal of an accept request by parts that names no value.
var errNoContent = errors.New("the request names no value")

// servePrepare and serveRead answer other processes: a large value is named there, and not sent.
func (a *Acceptor) servePrepare(ctx context.Context, request prepareRequest) (reply, error) {
	answer, err := a.prepare(ctx, request)
	answer.TakesChunks = true
	if err != nil || !request.ByChunks {
		return answer, err
	}
	return a.named(answer, request.ViewVersion), nil
}

func (a *Acceptor) serveRead(ctx context.Context, request readRequest) (reply, error) {
	answer, err := a.read(ctx, request)
	if err != nil || !request.ByChunks {
		return answer, err
	}
	return a.named(answer, request.ViewVersion), nil
}

// named puts a manifest in the place of a large value.
func (a *Acceptor) named(answer reply, view uint64) reply {
	if len(answer.State.Value) <= wholeBytes {
		return answer
	}
	manifest := a.values.cutOf(answer.Accepted, view, answer.State.Value).Manifest()
	answer.Manifest = &manifest
	answer.State.Value = nil
	return answer
}

// serveAccept puts a value together that comes by parts. If some are missing it tells which, and nothing was done.
func (a *Acceptor) serveAccept(ctx context.Context, request acceptRequest) (reply, error) {
	if request.Content == nil {
		return reply{}, rpcerror.Unexecuted(errNoContent, 0)
	}
	if err := a.values.keep(request.Content.Chunks); err != nil {
		return reply{}, rpcerror.Unexecuted(err, 0)
	}
	gathered, err := chunks.NewCollection(request.Content.Manifest, a.values.chunk)
	if err != nil {
		return reply{}, rpcerror.Unexecuted(err, 0)
	}
	if !gathered.Whole() {
		return reply{Outcome: chunksMissing, Missing: chunks.Join(gathered.Missing(gathered.Lacks()))}, nil
	}
	if request.State.Value, err = gathered.Content(); err != nil {
		return reply{}, rpcerror.Unexecuted(fmt.Errorf("accept in register %s: %w", a.config.Name, err), 0)
	}
	return a.accept(ctx, request)
}

// cutLarge cuts a value that travels and is stored by parts; nil stands for a small one.
func (a *Acceptor) cutLarge(value []byte) *chunks.Cut {
	if len(value) <= wholeBytes {
		return nil
	}
	return chunks.NewCut(value, a.values.newest())
}

func (a *Acceptor) servePush(_ context.Context, request pushRequest) (pushReply, error) {
	if !a.config.Ready() {
		return pushReply{}, rpcerror.Unexecuted(ErrNotReady, notReadyRetry)
	}
	if err := a.values.keep(request.Chunks); err != nil {
		return pushReply{}, rpcerror.Unexecuted(err, 0)
	}
	return pushReply{}, nil
}

func (a *Acceptor) serveFetch(_ context.Context, request fetchRequest) (fetchReply, error) {
	cut := a.values.newest()
	if cut == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Chunks: cut.PackedSome(chunks.SumsOf(request.Sums), request.Room)}, nil
}
