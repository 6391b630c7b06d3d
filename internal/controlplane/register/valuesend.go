package register

import (
	"context"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// maxInlineChunkBytes is the maximum total length of the packed chunks in an accept request. A link of 3 Mbit/s transfers
	// them in 0.1 s.
	maxInlineChunkBytes = 32 << 10
	// maxAcceptAttempts is the number of times that a chunked accept request is sent to an acceptor that lacks chunks.
	maxAcceptAttempts = 3
)

// errUnknownChunksRequested is returned if a member requests chunks that do not belong to the proposed value.
var errUnknownChunksRequested = errors.New("requests chunks that do not belong to the proposed value")

// acceptSender sends an accept request to a member.
type acceptSender func(ctx context.Context, member string, request acceptRequest) (reply, error)

// chunkedAccept returns an acceptSender for a state with a large value. It expects members to have the state in this process's
// cache, on which the new state is based. If a member lacks chunks, they are pushed in batches before the request is sent again.
// Members of older builds, which do not support chunks, get the value inline.
func (r *Register) chunkedAccept(proposed cachedState, noChunkSupport map[string]bool) acceptSender {
	expectedAtMember := func(chunks.Sum) ([]byte, bool) { return nil, false }
	if cached := r.cachedFor(proposed.view); cached.chunking != nil {
		expectedAtMember = cached.chunking.Chunk
	}
	initialContent := chunkedValue{
		Manifest: proposed.chunking.Manifest(),
		Chunks:   proposed.chunking.Packed(chunks.MissingFrom(proposed.chunking.Sums(), expectedAtMember), maxInlineChunkBytes),
	}
	return func(ctx context.Context, member string, request acceptRequest) (reply, error) {
		if r.isLocal(member) || noChunkSupport[member] {
			return r.accept(ctx, member, request)
		}
		request.State.Value = nil
		request.ChunkedValue = &initialContent
		return r.sendChunkedAccept(ctx, member, request, proposed.chunking)
	}
}

// sendChunkedAccept sends an accept request, and pushes missing chunks and repeats it if the member lacks any. It makes at most
// maxAcceptAttempts attempts.
func (r *Register) sendChunkedAccept(ctx context.Context, member string, request acceptRequest, chunking *chunks.Chunking) (reply, error) {
	for range maxAcceptAttempts {
		answer, err := acceptChunksCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
		if err != nil || answer.Outcome != chunksMissing {
			return answer, err
		}
		if err := r.pushChunks(ctx, member, chunking, chunks.ParseSums(answer.Missing)); err != nil {
			return reply{}, err
		}
		request.ChunkedValue = &chunkedValue{Manifest: chunking.Manifest()}
	}
	return reply{}, rpcerror.WrapNotExecuted(fmt.Errorf("%s: %w", member, errValueIncomplete), 0)
}

// pushChunks sends chunks to a member in batches.
func (r *Register) pushChunks(ctx context.Context, member string, chunking *chunks.Chunking, sums []chunks.Sum) error {
	for len(sums) > 0 {
		packed := chunking.PackedAtLeastOne(sums, maxChunkBatchBytes)
		if len(packed) == 0 {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s %w", member, errUnknownChunksRequested), 0)
		}
		if _, err := pushCall(r.config.Name).Call(ctx, r.config.Caller, member, pushRequest{Chunks: packed}); err != nil {
			return err
		}
		sums = sums[min(len(packed), len(sums)):]
	}
	return nil
}
