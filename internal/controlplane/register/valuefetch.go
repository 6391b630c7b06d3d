package register

import (
	"context"
	"errors"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

const (
	// maxChunkBatchBytes is how many bytes of packed chunks one call pushes or fetches: 0.1 s of a link of 3 Mbit/s.
	maxChunkBatchBytes = 32 << 10
	// typicalChunkBytes is about the length of a packed chunk, by which the chunks to fetch in one call are counted.
	typicalChunkBytes = 256
	// fetchTimeout bounds one call that fetches chunks. It bounds no transfer as a whole: chunks that have arrived are kept.
	fetchTimeout = time.Second
)

var (
	// errIncomplete is the failure to get the value of a state that a majority has reported.
	errIncomplete = errors.New("the value is not at hand and did not arrive")
	// errNoChunksReceived is the failure of a fetch that brought none of the missing chunks.
	errNoChunksReceived = errors.New("the member holds none of the parts")
)

// completeValue puts the value into the newest of a round's answers, all of which leave it out where it is large or cached.
func (r *Register) completeValue(ctx context.Context, answered *round, cached cachedState) error {
	latest, _ := answered.latest()
	if latest.Accepted == (ProposalNumber{}) {
		return nil
	}
	state, err := r.stateAccepted(ctx, answered, latest.Accepted, cached)
	if err != nil {
		return fmt.Errorf("%w: %w", errIncomplete, err)
	}
	for i := range answered.granted {
		if answered.granted[i].Accepted == latest.Accepted {
			answered.granted[i].State = state
		}
	}
	return nil
}

// stateAccepted returns the state that was accepted under a proposal number, from the cache or from a round's answers.
func (r *Register) stateAccepted(ctx context.Context, answered *round, proposalNumber ProposalNumber, cached cachedState) (state, error) {
	if cached.proposalNumber == proposalNumber {
		return cached.state, nil
	}
	var manifested *reply
	for i, answer := range answered.granted {
		if answer.Accepted != proposalNumber {
			continue
		}
		if answer.Manifest == nil { // the value is inline
			return r.cacheState(cached.view, proposalNumber, answer.State).state, nil
		}
		manifested = &answered.granted[i]
	}
	value, err := r.assemble(ctx, answered, proposalNumber, *manifested.Manifest, cached)
	if err != nil {
		return state{}, err
	}
	assembled := manifested.State
	assembled.Value = value
	return r.cacheState(cached.view, proposalNumber, assembled).state, nil
}

// assemble gets a value from chunks that are at hand and fetches the others from the members that have it.
func (r *Register) assemble(
	ctx context.Context, answered *round, proposalNumber ProposalNumber, manifest chunks.Manifest, cached cachedState,
) ([]byte, error) {
	assembler, err := chunks.NewAssembler(manifest, r.chunkSources(cached)...)
	if err != nil {
		return nil, err
	}
	r.setPartial(assembler)
	for _, member := range answered.chunkHolders(proposalNumber) {
		for !assembler.Complete() && ctx.Err() == nil {
			if err = r.fetch(ctx, member, assembler); err != nil {
				break // the next member goes on from here
			}
		}
	}
	if !assembler.Complete() {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return assembler.Content()
}

// chunkSources are where chunks may be at hand: in the cached state, at the local acceptor, and in what has arrived of a value
// that is not complete yet.
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

// setPartial keeps what arrives of a value for the next attempt.
func (r *Register) setPartial(assembler *chunks.Assembler) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partial = assembler
}

// fetch makes one call for missing chunks.
func (r *Register) fetch(ctx context.Context, member string, assembler *chunks.Assembler) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	missing := assembler.Missing(maxChunkBatchBytes / typicalChunkBytes)
	request := fetchRequest{Sums: chunks.JoinSums(missing), MaxBytes: maxChunkBatchBytes}
	answer, err := fetchCall(r.config.Name).Call(bounded, r.config.Caller, member, request)
	if err != nil {
		return err
	}
	before := assembler.MissingCount()
	if err := assembler.AddPacked(answer.Chunks); err != nil {
		return err
	}
	if assembler.MissingCount() == before {
		return errNoChunksReceived
	}
	return nil
}
