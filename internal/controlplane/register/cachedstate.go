package register

import (
	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// cachedState is a state that a proposer has read or that was accepted, with the proposal number under which that was in a
// view. Within a view a proposal number stands for one state, so that a state that is cached need not be sent again.
type cachedState struct {
	view           uint64
	proposalNumber ProposalNumber
	state          state
	chunking       *chunks.Chunking // of the state's value; nil for a small one
}

// newestAvailable returns the newest state of a view that is cached or at the local acceptor; the empty one, under the zero
// proposal number, where there is none.
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

// cachedFor returns the cached state if it is of a view, else an empty one.
func (r *Register) cachedFor(view uint64) cachedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cached.view != view {
		return cachedState{view: view}
	}
	return r.cached
}

// cacheState caches the state that was accepted under a proposal number.
func (r *Register) cacheState(view uint64, proposalNumber ProposalNumber, state state) cachedState {
	return r.cache(cachedState{view: view, proposalNumber: proposalNumber, state: state, chunking: r.chunkLarge(view, state.Value)})
}

// cache keeps a state unless a newer one is cached, and returns it.
func (r *Register) cache(read cachedState) cachedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cached.view != read.view || r.cached.proposalNumber.Less(read.proposalNumber) {
		r.cached, r.partial = read, nil
	}
	return read
}

// chunkLarge chunks a large value; nil stands for a small one.
func (r *Register) chunkLarge(view uint64, value []byte) *chunks.Chunking {
	if len(value) <= inlineValueBytes {
		return nil
	}
	return chunks.NewChunking(value, r.cachedFor(view).chunking)
}

// stateToCache is the state of an accept request, to be cached once a majority has accepted it.
func (r *Register) stateToCache(view uint64, request acceptRequest) cachedState {
	return cachedState{view: view, proposalNumber: request.ProposalNumber, state: request.State, chunking: r.chunkLarge(view, request.State.Value)}
}
