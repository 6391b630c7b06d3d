package register

import (
	"context"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// maxInlineChunkBytes is how many bytes of packed chunks an accept request carries by itself: 0.1 s of a link of 3 Mbit/s.
	maxInlineChunkBytes = 32 << 10
	// maxAcceptAttempts is how often a chunked accept request is sent to an acceptor that turns out to lack chunks.
	maxAcceptAttempts = 3
)

// errForeignChunks is the failure to push chunks that are not of the value which is proposed.
var errForeignChunks = errors.New("asks for parts of another value")

// sendAccept sends an accept request to a member.
type sendAccept func(ctx context.Context, member string, request acceptRequest) (reply, error)

// chunkedAccept returns a sendAccept for a state with a large value. Members are expected to have the state that is cached
// here, on which the new one is based; chunks that a member turns out to lack are pushed, a few at a time, before the request
// is sent again. Members without chunk support, of an older build, get the value inline.
func (r *Register) chunkedAccept(proposed cachedState, noChunkSupport map[string]bool) sendAccept {
	memberHas := func(chunks.Sum) ([]byte, bool) { return nil, false }
	if cached := r.cachedFor(proposed.view); cached.chunking != nil {
		memberHas = cached.chunking.Chunk
	}
	initial := chunkedValue{
		Manifest: proposed.chunking.Manifest(),
		Chunks:   proposed.chunking.Packed(chunks.MissingFrom(proposed.chunking.Sums(), memberHas), maxInlineChunkBytes),
	}
	return func(ctx context.Context, member string, request acceptRequest) (reply, error) {
		if r.isLocal(member) || noChunkSupport[member] {
			return r.accept(ctx, member, request)
		}
		request.State.Value = nil
		request.ChunkedValue = &initial
		return r.sendChunkedAccept(ctx, member, request, proposed.chunking)
	}
}

// sendChunkedAccept sends an accept request until the member has all chunks of its value.
func (r *Register) sendChunkedAccept(ctx context.Context, member string, request acceptRequest, chunking *chunks.Chunking) (reply, error) {
	for range maxAcceptAttempts {
		answer, err := acceptChunksCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
		if err != nil || answer.Outcome != chunksMissing {
			return answer, err
		}
		if err := r.push(ctx, member, chunking, chunks.ParseSums(answer.Missing)); err != nil {
			return reply{}, err
		}
		request.ChunkedValue = &chunkedValue{Manifest: chunking.Manifest()}
	}
	return reply{}, rpcerror.WrapNotExecuted(fmt.Errorf("%s: %w", member, errIncomplete), 0)
}

// push sends chunks to a member.
func (r *Register) push(ctx context.Context, member string, chunking *chunks.Chunking, sums []chunks.Sum) error {
	for len(sums) > 0 {
		packed := chunking.PackedAtLeastOne(sums, maxChunkBatchBytes)
		if len(packed) == 0 {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s %w", member, errForeignChunks), 0)
		}
		if _, err := pushCall(r.config.Name).Call(ctx, r.config.Caller, member, pushRequest{Chunks: packed}); err != nil {
			return err
		}
		sums = sums[min(len(packed), len(sums)):]
	}
	return nil
}
