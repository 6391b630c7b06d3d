package register

import (
	"context"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// inlineValueBytes is the length up to which a value is sent and stored inline, not in chunks.
const inlineValueBytes = 4 << 10

// errNoContent is the refusal of a chunked accept request that names no value.
var errNoContent = errors.New("the request names no value")

// servePrepare answers another process. A large value is named by its manifest, and not sent.
func (a *Acceptor) servePrepare(ctx context.Context, request prepareRequest) (reply, error) {
	answer, err := a.prepare(ctx, request)
	answer.TakesChunks = true
	if err != nil || !request.ByChunks {
		return answer, err
	}
	return a.replaceValueByManifest(answer, request.ViewVersion), nil
}

// serveRead answers another process as servePrepare does.
func (a *Acceptor) serveRead(ctx context.Context, request readRequest) (reply, error) {
	answer, err := a.read(ctx, request)
	if err != nil || !request.ByChunks {
		return answer, err
	}
	return a.replaceValueByManifest(answer, request.ViewVersion), nil
}

// replaceValueByManifest puts a manifest in the place of a large value.
func (a *Acceptor) replaceValueByManifest(answer reply, view uint64) reply {
	if len(answer.State.Value) <= inlineValueBytes {
		return answer
	}
	manifest := a.chunks.chunkingOf(answer.Accepted, view, answer.State.Value).Manifest()
	answer.Manifest = &manifest
	answer.State.Value = nil
	return answer
}

// serveAccept assembles a value that is sent in chunks, and accepts it. If chunks are missing, the answer names them, and
// nothing was done.
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

// chunkLarge chunks a large value; nil stands for a small one, which is sent and stored inline.
func (a *Acceptor) chunkLarge(value []byte) *chunks.Chunking {
	if len(value) <= inlineValueBytes {
		return nil
	}
	return chunks.NewChunking(value, a.chunks.newest())
}

// servePush takes chunks of a value that is going to be proposed.
func (a *Acceptor) servePush(_ context.Context, request pushRequest) (pushReply, error) {
	if !a.config.Ready() {
		return pushReply{}, rpcerror.WrapNotExecuted(ErrNotReady, notReadyRetry)
	}
	if err := a.chunks.addPacked(request.Chunks); err != nil {
		return pushReply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	return pushReply{}, nil
}

// serveFetch returns chunks of the value that was accepted last.
func (a *Acceptor) serveFetch(_ context.Context, request fetchRequest) (fetchReply, error) {
	chunking := a.chunks.newest()
	if chunking == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Chunks: chunking.PackedAtLeastOne(chunks.ParseSums(request.Sums), request.MaxBytes)}, nil
}
