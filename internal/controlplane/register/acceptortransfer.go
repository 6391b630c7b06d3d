package register

import (
	"context"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// inlineValueBytes is the maximum length in bytes of a value that is sent and stored inline. Longer values use chunks.
const inlineValueBytes = 4 << 10

// errNoChunkedValue reports a chunked accept request without a chunked value.
var errNoChunkedValue = errors.New("accept request has no chunked value")

// servePrepare handles a prepare request from another process. The reply contains the manifest instead of a large value if the
// proposer accepts manifests.
func (a *Acceptor) servePrepare(ctx context.Context, request prepareRequest) (reply, error) {
	answer, err := a.prepare(ctx, request)
	answer.SupportsChunks = true
	if err != nil || !request.AcceptsManifest {
		return answer, err
	}
	return a.replaceValueByManifest(answer, request.ViewVersion), nil
}

// serveRead handles a read request from another process. It replaces large values in the same way as servePrepare.
func (a *Acceptor) serveRead(ctx context.Context, request readRequest) (reply, error) {
	answer, err := a.read(ctx, request)
	if err != nil || !request.AcceptsManifest {
		return answer, err
	}
	return a.replaceValueByManifest(answer, request.ViewVersion), nil
}

// replaceValueByManifest replaces a large value in a reply by its manifest.
func (a *Acceptor) replaceValueByManifest(answer reply, view uint64) reply {
	if len(answer.State.Value) <= inlineValueBytes {
		return answer
	}
	manifest := a.chunks.chunkingOf(answer.Accepted, view, answer.State.Value).Manifest()
	answer.Manifest = &manifest
	answer.State.Value = nil
	return answer
}

// serveAccept assembles a value that was sent in chunks and accepts it. If chunks are missing, it accepts nothing, and the
// reply lists the checksums of the missing chunks.
func (a *Acceptor) serveAccept(ctx context.Context, request acceptRequest) (reply, error) {
	if request.ChunkedValue == nil {
		return reply{}, rpcerror.WrapNotExecuted(errNoChunkedValue, 0)
	}
	if err := a.chunks.addPacked(request.ChunkedValue.Chunks); err != nil {
		return reply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	assembler, err := chunks.NewAssembler(request.ChunkedValue.Manifest, a.chunks.chunk)
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

// chunkLarge splits a large value into chunks. It returns nil for a small value, which is sent and stored inline.
func (a *Acceptor) chunkLarge(value []byte) *chunks.Chunking {
	if len(value) <= inlineValueBytes {
		return nil
	}
	return chunks.NewChunking(value, a.chunks.newestChunking())
}

// servePush caches chunks of a value that a proposer is about to propose.
func (a *Acceptor) servePush(_ context.Context, request pushRequest) (pushReply, error) {
	if !a.config.Ready() {
		return pushReply{}, rpcerror.WrapNotExecuted(ErrNotReady, notReadyRetryDelay)
	}
	if err := a.chunks.addPacked(request.Chunks); err != nil {
		return pushReply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	return pushReply{}, nil
}

// serveFetch returns chunks of the value that was accepted last, or no chunks if the value is small.
func (a *Acceptor) serveFetch(_ context.Context, request fetchRequest) (fetchReply, error) {
	chunking := a.chunks.newestChunking()
	if chunking == nil {
		return fetchReply{}, nil
	}
	return fetchReply{Chunks: chunking.PackedAtLeastOne(chunks.ParseSums(request.Sums), request.MaxBytes)}, nil
}
