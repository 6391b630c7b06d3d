package register

import (
	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// cachedState is a state that a proposer has read or that acceptors have accepted, with its view and proposal number. Within a view
// a proposal number identifies one state, so a cached state need not be transferred again.
type cachedState struct {
	view           uint64
	proposalNumber ProposalNumber
	state          state
	chunking       *chunks.Chunking // chunks of the state's value; nil for a small value
}

// newestAvailable returns the newest state of a view that is in the cache or at the local acceptor. If there is none, it returns an
// empty state with the zero proposal number.
func (r *Register) newestAvailable(view uint64) cachedState {
	cached := r.cachedFor(view)
	if r.config.Acceptor == nil {
		return cached
	}
	answer, local, err := r.config.Acceptor.loadForRound(view)
	if err != nil || answer.Outcome != granted || !cached.proposalNumber.Less(local.accepted.ProposalNumber) {
		return cached
	}
	return r.cacheState(view, local.accepted.ProposalNumber, local.accepted.State)
}

// cachedFor returns the cached state if it belongs to view, or an empty one.
func (r *Register) cachedFor(view uint64) cachedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cached.view != view {
		return cachedState{view: view}
	}
	return r.cached
}

// cacheState caches a state that was accepted with a proposal number, and returns the cache entry.
func (r *Register) cacheState(view uint64, proposalNumber ProposalNumber, state state) cachedState {
	return r.cache(cachedState{view: view, proposalNumber: proposalNumber, state: state, chunking: r.chunkLargeValue(view, state.Value)})
}

// cache caches a state unless a newer one of the same view is cached. It returns the given state in any case.
func (r *Register) cache(newState cachedState) cachedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cached.view != newState.view || r.cached.proposalNumber.Less(newState.proposalNumber) {
		r.cached, r.partial = newState, nil
	}
	return newState
}

// chunkLargeValue splits a large value into chunks. It returns nil for a small value.
func (r *Register) chunkLargeValue(view uint64, value []byte) *chunks.Chunking {
	if len(value) <= inlineValueBytes {
		return nil
	}
	return chunks.NewChunking(value, r.cachedFor(view).chunking)
}

// stateToCache returns the cache entry for the state of an accept request. The caller caches it once a majority has accepted it.
func (r *Register) stateToCache(view uint64, request acceptRequest) cachedState {
	return cachedState{view: view, proposalNumber: request.ProposalNumber, state: request.State, chunking: r.chunkLargeValue(view, request.State.Value)}
}
