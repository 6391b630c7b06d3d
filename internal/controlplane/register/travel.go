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
	// mostInline is how many bytes of packed parts an accept request carries by itself, and mostChunk how many one call
	// pushes or fetches: 0.1 s of a link of 3 Mbit/s.
	mostInline = 32 << 10
	mostChunk  = 32 << 10
	// chunksSilence bounds one call that fetches parts. It bounds no transfer as a whole: parts that have come stay.
	chunksSilence = time.Second
	// offers is how often a value is offered to an acceptor that turns out to lack parts of it.
	offers = 3
)

// errIncomplete is the failure to get a state that a majority has told of.
var errIncomplete = errors.New("the value is not at hand and did not arrive")

// knownState is a state that was read or accepted, by the proposal number under which that was in a view.
type knownState struct {
	view           uint64
	proposalNumber ProposalNumber
	state          state
	cut            *chunks.Cut // of the state's value, if it is large
}

// held returns the newest state that is at hand of a view, known or at the own acceptor; the empty one under no proposal number
// where there is none.
func (r *Register) held(view uint64) knownState {
	known := r.knownIn(view)
	if r.config.Acceptor == nil {
		return known
	}
	answer, own, err := r.config.Acceptor.begin(view)
	if err != nil || answer.Outcome != granted || !known.proposalNumber.Less(own.accepted.ProposalNumber) {
		return known
	}
	return r.learnState(view, own.accepted.ProposalNumber, own.accepted.State)
}

func (r *Register) knownIn(view uint64) knownState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known.view != view {
		return knownState{view: view}
	}
	return r.known
}

// learnState notes the state that was accepted under a proposal number.
func (r *Register) learnState(view uint64, proposalNumber ProposalNumber, state state) knownState {
	return r.know(knownState{view: view, proposalNumber: proposalNumber, state: state, cut: r.cutOf(view, state.Value)})
}

// know notes a state unless a newer one is known, and returns it.
func (r *Register) know(learned knownState) knownState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known.view != learned.view || r.known.proposalNumber.Less(learned.proposalNumber) {
		r.known, r.partial = learned, nil
	}
	return learned
}

// cutOf cuts a large value; nil stands for a small one.
func (r *Register) cutOf(view uint64, value []byte) *chunks.Cut {
	if len(value) <= wholeBytes {
		return nil
	}
	return chunks.NewCut(value, r.knownIn(view).cut)
}

// complete puts the value into the newest of a round's answers, all of which leave it out where it is large or known.
func (r *Register) complete(ctx context.Context, answered *round, known knownState) error {
	latest, _ := answered.latest()
	if latest.Accepted == (ProposalNumber{}) {
		return nil
	}
	state, err := r.stateUnder(ctx, answered, latest.Accepted, known)
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

// stateUnder returns the state that was accepted under a proposal number.
func (r *Register) stateUnder(ctx context.Context, answered *round, proposalNumber ProposalNumber, known knownState) (state, error) {
	if known.proposalNumber == proposalNumber {
		return known.state, nil
	}
	var named *reply
	for i, answer := range answered.granted {
		if answer.Accepted != proposalNumber {
			continue
		}
		if answer.Manifest == nil { // whole
			return r.learnState(known.view, proposalNumber, answer.State).state, nil
		}
		named = &answered.granted[i]
	}
	value, err := r.gather(ctx, answered, proposalNumber, *named.Manifest, known)
	if err != nil {
		return state{}, err
	}
	whole := named.State
	whole.Value = value
	return r.learnState(known.view, proposalNumber, whole).state, nil
}

// gather puts a value together from parts that are at hand and others, which members that have it are asked for.
func (r *Register) gather(ctx context.Context, answered *round, proposalNumber ProposalNumber, manifest chunks.Manifest, known knownState) ([]byte, error) {
	collection, err := chunks.NewCollection(manifest, r.holders(known)...)
	if err != nil {
		return nil, err
	}
	r.setPartial(collection)
	for _, member := range answered.sources(proposalNumber) {
		for !collection.Whole() && ctx.Err() == nil {
			if err = r.fetch(ctx, member, collection); err != nil {
				break // the next member goes on from here
			}
		}
	}
	if !collection.Whole() {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return collection.Content()
}

// sources are the members that may have what was accepted under a proposal number: first those that have told of it.
func (r *round) sources(proposalNumber ProposalNumber) []string {
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
func (r *Register) holders(known knownState) []chunks.Holder {
	var holders []chunks.Holder
	if known.cut != nil {
		holders = append(holders, known.cut.Chunk)
	}
	if r.config.Acceptor != nil {
		holders = append(holders, r.config.Acceptor.values.chunk)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.partial != nil {
		holders = append(holders, r.partial.Chunk)
	}
	return holders
}

func (r *Register) setPartial(collection *chunks.Collection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partial = collection
}

var errNotHeld = errors.New("the member holds none of the parts")

// fetch makes one call for parts.
func (r *Register) fetch(ctx context.Context, member string, collection *chunks.Collection) error {
	limited, cancel := context.WithTimeout(ctx, chunksSilence)
	defer cancel()
	ask := fetchRequest{Sums: chunks.Join(collection.Missing(mostChunk / typicalChunk)), Room: mostChunk}
	answer, err := fetchCall(r.config.Name).Call(limited, r.config.Caller, member, ask)
	if err != nil {
		return err
	}
	before := collection.Lacks()
	if err := collection.AddPacked(answer.Chunks); err != nil {
		return err
	}
	if collection.Lacks() == before {
		return errNotHeld
	}
	return nil
}

// typicalChunk is about the length of a packed part, by which the parts to ask for are counted.
const typicalChunk = 256

// proposed is the state of an accept request.
func (r *Register) proposed(view uint64, request acceptRequest) knownState {
	return knownState{view: view, proposalNumber: request.ProposalNumber, state: request.State, cut: r.cutOf(view, request.State.Value)}
}

// acceptByChunks returns what asks members to accept a state with a large value. They are expected to hold the state that
// is known here, on which the new one is based; parts of which a member turns out to lack are sent ahead, a few at a time.
// Members that are known to take whole values only, as they are of an older build, get it whole.
func (r *Register) acceptByChunks(proposed knownState, wholeOnly map[string]bool) sendAccept {
	base := func(chunks.Sum) ([]byte, bool) { return nil, false }
	if known := r.knownIn(proposed.view); known.cut != nil {
		base = known.cut.Chunk
	}
	offered := content{
		Manifest: proposed.cut.Manifest(),
		Chunks:   proposed.cut.Packed(chunks.Without(proposed.cut.Sums(), base), mostInline),
	}
	return func(ctx context.Context, member string, request acceptRequest) (reply, error) {
		if r.own(member) || wholeOnly[member] {
			return r.accept(ctx, member, request)
		}
		request.State.Value = nil
		request.Content = &offered
		return r.offer(ctx, member, request, proposed.cut)
	}
}

// takeWholeOnly lists the members whose answers to a prepare request show that they serve no accept requests by parts.
func (r *round) takeWholeOnly() map[string]bool {
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

// offer sends an accept request until the member has all parts of its value.
func (r *Register) offer(ctx context.Context, member string, request acceptRequest, cut *chunks.Cut) (reply, error) {
	for range offers {
		answer, err := acceptChunksCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
		if err != nil || answer.Outcome != chunksMissing {
			return answer, err
		}
		if err := r.push(ctx, member, cut, chunks.SumsOf(answer.Missing)); err != nil {
			return reply{}, err
		}
		request.Content = &content{Manifest: cut.Manifest()}
	}
	return reply{}, rpcerror.Unexecuted(fmt.Errorf("%s: %w", member, errIncomplete), 0)
}

// push sends parts to a member.
func (r *Register) push(ctx context.Context, member string, cut *chunks.Cut, sums []chunks.Sum) error {
	for len(sums) > 0 {
		packed := cut.PackedSome(sums, mostChunk)
		if len(packed) == 0 {
			return rpcerror.Unexecuted(fmt.Errorf("%s asks for parts of another value", member), 0)
		}
		if _, err := pushCall(r.config.Name).Call(ctx, r.config.Caller, member, pushRequest{Chunks: packed}); err != nil {
			return err
		}
		sums = sums[min(len(packed), len(sums)):]
	}
	return nil
}
