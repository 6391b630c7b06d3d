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
	// inlineValueBytes is the length up to which a value travels whole.
	inlineValueBytes = 4 << 10
	// maxPushedBytes bounds the bytes of parts that are kept for values that have not been accepted yet. They are thrown away
	// together: whoever still needs them sends them again.
	maxPushedBytes = 2 * chunks.MaxContent
)

// values holds the parts of large values at an acceptor: of the one that was accepted last, and of those that are being
// sent. Parts are named by their content, so that it does not matter who sent them and for which proposal number; a vote depends
// on them in no other way than that a value is put together from them, which its checksum proves. Nothing here is durable.
type chunkCache struct {
	mutex          sync.Mutex
	proposalNumber ProposalNumber // of the value that was cut
	view           uint64
	chunking       *chunks.Chunking
	pushed         map[chunks.Sum][]byte
	pushedBytes    int
}

// cutOf returns the parts of a value that was accepted under a proposal number in a view.
func (v *chunkCache) chunkingOf(proposalNumber ProposalNumber, view uint64, value []byte) *chunks.Chunking {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.chunking == nil || v.proposalNumber != proposalNumber || v.view != view {
		v.chunking, v.proposalNumber, v.view = chunks.NewChunking(value, v.chunking), proposalNumber, view
	}
	return v.chunking
}

// newest returns the parts of the value that was cut last; nil if there is none.
func (v *chunkCache) newest() *chunks.Chunking {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.chunking
}

// chunk is the parts.Holder of all that is here.
func (v *chunkCache) chunk(sum chunks.Sum) (chunk []byte, found bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if chunk, found = v.pushed[sum]; !found && v.chunking != nil {
		chunk, found = v.chunking.Chunk(sum)
	}
	return chunk, found
}

// keep takes packed parts of a value that is being sent. The error is parts.ErrPacked.
func (v *chunkCache) addPacked(packed [][]byte) error {
	unpacked := make([][]byte, 0, len(packed))
	for _, compressed := range packed {
		chunk, err := chunks.Unpack(compressed)
		if err != nil {
			return err
		}
		unpacked = append(unpacked, chunk)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, chunk := range unpacked {
		v.add(chunk)
	}
	return nil
}

func (v *chunkCache) add(chunk []byte) {
	if v.pushed == nil || v.pushedBytes+len(chunk) > maxPushedBytes {
		v.pushed, v.pushedBytes = make(map[chunks.Sum][]byte), 0
	}
	sum := chunks.SumOf(chunk)
	if _, duplicate := v.pushed[sum]; !duplicate {
		v.pushed[sum] = chunk
		v.pushedBytes += len(chunk)
	}
}

// replace throws away what was sent of earlier values, once one was accepted.
func (v *chunkCache) replace(accepted *chunks.Chunking, proposalNumber ProposalNumber, view uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.chunking, v.proposalNumber, v.view = accepted, proposalNumber, view
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
	return a.replaceValueByManifest(answer, request.ViewVersion), nil
}

func (a *Acceptor) serveRead(ctx context.Context, request readRequest) (reply, error) {
	answer, err := a.read(ctx, request)
	if err != nil || !request.ByChunks {
		return answer, err
	}
	return a.replaceValueByManifest(answer, request.ViewVersion), nil
}

// named puts a manifest in the place of a large value.
func (a *Acceptor) replaceValueByManifest(answer reply, view uint64) reply {
	if len(answer.State.Value) <= inlineValueBytes {
		return answer
	}
	manifest := a.chunks.chunkingOf(answer.Accepted, view, answer.State.Value).Manifest()
	answer.Manifest = &manifest
	answer.State.Value = nil
	return answer
}

// serveAccept puts a value together that comes by parts. If some are missing it tells which, and nothing was done.
func (a *Acceptor) serveAccept(ctx context.Context, request acceptRequest) (reply, error) {
	if request.Content == nil {
		return reply{}, rpcerror.WrapNotExecuted(errNoContent, 0)
	}
	if err := a.chunks.addPacked(request.Content.Chunks); err != nil {
		return reply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	assembler, err := chunks.NewAssembler(request.Content.Manifest, a.chunks.chunk)
	if err != nil {
		return reply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	if !assembler.Complete() {
		return reply{Outcome: chunksMissing, Missing: chunks.JoinSums(assembler.Missing(assembler.MissingCount()))}, nil
	}
	if request.State.Value, err = assembler.Content(); err != nil {
		return reply{}, rpcerror.WrapNotExecuted(fmt.Errorf("accept in register %s: %w", a.config.Name, err), 0)
	}
	return a.accept(ctx, request)
}

// chunkLarge cuts a value that travels and is stored by parts; nil stands for a small one.
func (a *Acceptor) chunkLarge(value []byte) *chunks.Chunking {
	if len(value) <= inlineValueBytes {
		return nil
	}
	return chunks.NewChunking(value, a.chunks.newest())
}

func (a *Acceptor) servePush(_ context.Context, request pushRequest) (pushReply, error) {
	if !a.config.Ready() {
		return pushReply{}, rpcerror.WrapNotExecuted(ErrNotReady, notReadyRetry)
	}
	if err := a.chunks.addPacked(request.Chunks); err != nil {
		return pushReply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	return pushReply{}, nil
}

func (a *Acceptor) serveFetch(_ context.Context, request fetchRequest) (fetchReply, error) {
	chunking := a.chunks.newest()
	if chunking == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Chunks: chunking.PackedAtLeastOne(chunks.ParseSums(request.Sums), request.MaxBytes)}, nil
}
