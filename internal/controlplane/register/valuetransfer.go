package register

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// maxInlineChunkBytes is how many bytes of packed parts an accept request carries by itself, and maxChunkBatchBytes how many one call
	// pushes or fetches: 0.1 s of a link of 3 Mbit/s.
	maxInlineChunkBytes = 32 << 10
	maxChunkBatchBytes  = 32 << 10
	// fetchTimeout bounds one call that fetches parts. It bounds no transfer as a whole: parts that have come stay.
	fetchTimeout = time.Second
	// maxAcceptAttempts is how often a value is offered to an acceptor that turns out to lack parts of it.
	maxAcceptAttempts = 3
)

// errIncomplete is the failure to get a state that a majority has told of.
var errIncomplete = errors.New("the value is not at hand and did not arrive")

// cachedState is a state that was read or accepted, by the proposal number under which that was in a view.
type cachedState struct {
	view           uint64
	proposalNumber ProposalNumber
	state          state
	chunking       *chunks.Chunking // of the state's value, if it is large
}

// held returns the newest state that is at hand of a view, known or at the own acceptor; the empty one under no proposal number
// where there is none.
func (r *Register) newestAvailable(view uint64) cachedState {
	cached := r.cachedFor(view)
	if r.config.Acceptor == nil {
		return cached
	}
	answer, own, err := r.config.Acceptor.loadForRound(view)
	if err != nil || answer.Outcome != granted || !cached.proposalNumber.Less(own.accepted.ProposalNumber) {
		return cached
	}
	return r.cacheState(view, own.accepted.ProposalNumber, own.accepted.State)
}

func (r *Register) cachedFor(view uint64) cachedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cached.view != view {
		return cachedState{view: view}
	}
	return r.cached
}

// cacheState notes the state that was accepted under a proposal number.
func (r *Register) cacheState(view uint64, proposalNumber ProposalNumber, state state) cachedState {
	return r.cache(cachedState{view: view, proposalNumber: proposalNumber, state: state, chunking: r.chunkLarge(view, state.Value)})
}

// cache notes a state unless a newer one is known, and returns it.
func (r *Register) cache(learned cachedState) cachedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cached.view != learned.view || r.cached.proposalNumber.Less(learned.proposalNumber) {
		r.cached, r.partial = learned, nil
	}
	return learned
}

// cutOf cuts a large value; nil stands for a small one.
func (r *Register) chunkLarge(view uint64, value []byte) *chunks.Chunking {
	if len(value) <= inlineValueBytes {
		return nil
	}
	return chunks.NewChunking(value, r.cachedFor(view).chunking)
}

// completeValue puts the value into the newest of a round's answers, all of which leave it out where it is large or known.
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

// stateAccepted returns the state that was accepted under a proposal number.
func (r *Register) stateAccepted(ctx context.Context, answered *round, proposalNumber ProposalNumber, cached cachedState) (state, error) {
	if cached.proposalNumber == proposalNumber {
		return cached.state, nil
	}
	var manifested *reply
	for i, answer := range answered.granted {
		if answer.Accepted != proposalNumber {
			continue
		}
		if answer.Manifest == nil { // whole
			return r.cacheState(cached.view, proposalNumber, answer.State).state, nil
		}
		manifested = &answered.granted[i]
	}
	value, err := r.assemble(ctx, answered, proposalNumber, *manifested.Manifest, cached)
	if err != nil {
		return state{}, err
	}
	complete := manifested.State
	complete.Value = value
	return r.cacheState(cached.view, proposalNumber, complete).state, nil
}

// assemble puts a value together from parts that are at hand and others, which members that have it are asked for.
func (r *Register) assemble(ctx context.Context, answered *round, proposalNumber ProposalNumber, manifest chunks.Manifest, cached cachedState) ([]byte, error) {
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

// chunkHolders are the members that may have what was accepted under a proposal number: first those that have told of it.
func (r *round) chunkHolders(proposalNumber ProposalNumber) []string {
	var members []string
	for _, answer := range r.granted {
		if answer.Accepted == proposalNumber && answer.member != "" {
			members = append(members, answer.member)
		}
	}
	for _, member := range r.view.Members {
		if !slices.Contains(members, member) {
			members = append(members, member)
		}
	}
	return members
}

// holders are where parts may be at hand: in what is known, what came of a state that did not arrive whole, and the own
// acceptor.
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

func (r *Register) setPartial(assembler *chunks.Assembler) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partial = assembler
}

var errNoChunksReceived = errors.New("the member holds none of the parts")

// fetch makes one call for parts.
func (r *Register) fetch(ctx context.Context, member string, assembler *chunks.Assembler) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := fetchRequest{Sums: chunks.JoinSums(assembler.Missing(maxChunkBatchBytes / typicalChunkBytes)), MaxBytes: maxChunkBatchBytes}
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

// typicalChunkBytes is about the length of a packed part, by which the parts to ask for are counted.
const typicalChunkBytes = 256

// stateToCache is the state of an accept request.
func (r *Register) stateToCache(view uint64, request acceptRequest) cachedState {
	return cachedState{view: view, proposalNumber: request.ProposalNumber, state: request.State, chunking: r.chunkLarge(view, request.State.Value)}
}

// chunkedAccept returns what asks members to accept a state with a large value. They are expected to hold the state that
// is known here, on which the new one is based; parts of which a member turns out to lack are sent ahead, a few at a time.
// Members that are known to take whole values only, as they are of an older build, get it whole.
func (r *Register) chunkedAccept(proposed cachedState, noChunkSupport map[string]bool) sendAccept {
	memberHas := func(chunks.Sum) ([]byte, bool) { return nil, false }
	if cached := r.cachedFor(proposed.view); cached.chunking != nil {
		memberHas = cached.chunking.Chunk
	}
	initial := content{
		Manifest: proposed.chunking.Manifest(),
		Chunks:   proposed.chunking.Packed(chunks.MissingFrom(proposed.chunking.Sums(), memberHas), maxInlineChunkBytes),
	}
	return func(ctx context.Context, member string, request acceptRequest) (reply, error) {
		if r.isLocal(member) || noChunkSupport[member] {
			return r.accept(ctx, member, request)
		}
		request.State.Value = nil
		request.Content = &initial
		return r.sendChunkedAccept(ctx, member, request, proposed.chunking)
	}
}

// withoutChunkSupport lists the members whose answers to a prepare request show that they serve no accept requests by parts.
func (r *round) withoutChunkSupport() map[string]bool {
	members := make(map[string]bool)
	for _, answer := range r.granted {
		if !answer.TakesChunks {
			members[answer.member] = true
		}
	}
	return members
}

// sendAccept sends an accept request to a member.
type sendAccept func(ctx context.Context, member string, request acceptRequest) (reply, error)

// sendChunkedAccept sends an accept request until the member has all parts of its value.
func (r *Register) sendChunkedAccept(ctx context.Context, member string, request acceptRequest, chunking *chunks.Chunking) (reply, error) {
	for range maxAcceptAttempts {
		answer, err := acceptChunksCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
		if err != nil || answer.Outcome != chunksMissing {
			return answer, err
		}
		if err := r.push(ctx, member, chunking, chunks.ParseSums(answer.Missing)); err != nil {
			return reply{}, err
		}
		request.Content = &content{Manifest: chunking.Manifest()}
	}
	return reply{}, rpcerror.WrapNotExecuted(fmt.Errorf("%s: %w", member, errIncomplete), 0)
}

// push sends parts to a member.
func (r *Register) push(ctx context.Context, member string, chunking *chunks.Chunking, sums []chunks.Sum) error {
	for len(sums) > 0 {
		packed := chunking.PackedAtLeastOne(sums, maxChunkBatchBytes)
		if len(packed) == 0 {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s asks for parts of another value", member), 0)
		}
		if _, err := pushCall(r.config.Name).Call(ctx, r.config.Caller, member, pushRequest{Chunks: packed}); err != nil {
			return err
		}
		sums = sums[min(len(packed), len(sums)):]
	}
	return nil
}
