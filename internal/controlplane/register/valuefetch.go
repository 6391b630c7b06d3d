package register

import (
	"context"
	"errors"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

const (
	// maxChunkBatchBytes is the maximum total length of the packed chunks that one call pushes or fetches. A link of 3 Mbit/s
	// transfers them in 0.1 s.
	maxChunkBatchBytes = 32 << 10
	// typicalChunkBytes is the approximate length of a packed chunk. It determines how many chunks one call requests.
	typicalChunkBytes = 256
	// fetchTimeout is the timeout of one call that fetches chunks. It does not limit the whole transfer, since chunks that have
	// arrived are kept.
	fetchTimeout = time.Second
)

var (
	// errValueIncomplete is returned if the value of a state that a majority has reported cannot be obtained.
	errValueIncomplete = errors.New("the value is not cached and could not be fetched completely")
	// errNoChunksReceived is returned if a member's reply contains none of the missing chunks.
	errNoChunksReceived = errors.New("the member has none of the requested chunks")
)

// completeValue sets the value in those answers of a round that have the newest state. Answers omit values that are large or
// cached by the proposer.
func (r *Register) completeValue(ctx context.Context, majority *round, cached cachedState) error {
	latest, _ := majority.latest()
	if latest.Accepted == (ProposalNumber{}) {
		return nil
	}
	state, err := r.acceptedStateFor(ctx, majority, latest.Accepted, cached)
	if err != nil {
		return fmt.Errorf("%w: %w", errValueIncomplete, err)
	}
	for i := range majority.granted {
		if majority.granted[i].Accepted == latest.Accepted {
			majority.granted[i].State = state
		}
	}
	return nil
}

// acceptedStateFor returns the state that was accepted with a proposal number, from the cache or from the answers of a round.
func (r *Register) acceptedStateFor(ctx context.Context, majority *round, proposalNumber ProposalNumber, cached cachedState) (state, error) {
	if cached.proposalNumber == proposalNumber {
		return cached.state, nil
	}
	var withManifest *reply
	for i, answer := range majority.granted {
		if answer.Accepted != proposalNumber {
			continue
		}
		if answer.Manifest == nil { // the value is inline
			return r.cacheState(cached.view, proposalNumber, answer.State).state, nil
		}
		withManifest = &majority.granted[i]
	}
	value, err := r.assembleValue(ctx, majority, proposalNumber, *withManifest.Manifest, cached)
	if err != nil {
		return state{}, err
	}
	complete := withManifest.State
	complete.Value = value
	return r.cacheState(cached.view, proposalNumber, complete).state, nil
}

// assembleValue assembles a value from local chunks, and fetches the missing ones from the members that have the value.
func (r *Register) assembleValue(
	ctx context.Context, majority *round, proposalNumber ProposalNumber, manifest chunks.Manifest, cached cachedState,
) ([]byte, error) {
	assembler, err := chunks.NewAssembler(manifest, r.chunkSources(cached)...)
	if err != nil {
		return nil, err
	}
	r.setPartial(assembler)
	for _, member := range majority.chunkHolders(proposalNumber) {
		for !assembler.Complete() && ctx.Err() == nil {
			if err = r.fetchChunks(ctx, member, assembler); err != nil {
				break // the next member continues the transfer
			}
		}
	}
	if !assembler.Complete() {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return assembler.Content()
}

// chunkSources returns the local sources of chunks: the cached state, the local acceptor, and a partially transferred value.
func (r *Register) chunkSources(cached cachedState) []chunks.Source {
	var sources []chunks.Source
	if cached.chunking != nil {
		sources = append(sources, cached.chunking.Chunk)
	}
	if r.config.Acceptor != nil {
		sources = append(sources, r.config.Acceptor.chunks.chunk)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.partial != nil {
		sources = append(sources, r.partial.Chunk)
	}
	return sources
}

// setPartial keeps the chunks of a partially transferred value for the next attempt.
func (r *Register) setPartial(assembler *chunks.Assembler) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partial = assembler
}

// fetchChunks requests missing chunks from a member by one call, and adds them to the assembler.
func (r *Register) fetchChunks(ctx context.Context, member string, assembler *chunks.Assembler) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	missing := assembler.Missing(maxChunkBatchBytes / typicalChunkBytes)
	request := fetchRequest{Sums: chunks.JoinSums(missing), MaxBytes: maxChunkBatchBytes}
	answer, err := fetchCall(r.config.Name).Call(bounded, r.config.Caller, member, request)
	if err != nil {
		return err
	}
	missingBefore := assembler.MissingCount()
	if err := assembler.AddPacked(answer.Chunks); err != nil {
		return err
	}
	if assembler.MissingCount() == missingBefore {
		return errNoChunksReceived
	}
	return nil
}
