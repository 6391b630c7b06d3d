package register

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

var (
	// ErrNoQuorum is the failure of a round that too few members answered in time.
	ErrNoQuorum = errors.New("too few members answered")
	// ErrNoView is the failure of a proposer that knows no members.
	ErrNoView = errors.New("the replicas are not known")
	// errConflict is the failure of a round that lost against a higher proposal number.
	errConflict = errors.New("a higher proposal number was promised")
)

// viewError is the failure of a round at members with another view.
type viewError struct{ view replicaset.View }

func (e *viewError) Error() string {
	return fmt.Sprintf("members work with view %d of the replicas", e.view.Version)
}

// answer is what one member replied, or why it did not.
type answer struct {
	reply reply
	err   error
}

// round counts the answers to one request that went to all members of a view. What is in this file does no input or output;
// run sends the request.
type round struct {
	view            replicaset.View
	limit           time.Duration // from the start of the round; later answers do not count
	granted         []reply
	conflicts       int
	failures        []error
	highestPromised ProposalNumber  // to any proposer, as far as answers show
	newer           replicaset.View // newest view of members that answered with viewMismatch
	start           time.Time       // set by run, as are the next two
	answers         <-chan answer   // of members that have not been counted
	open            int             // how many they are
}

// count takes an answer.
func (r *round) count(next answer) {
	if next.err != nil {
		r.failures = append(r.failures, next.err)
		return
	}
	if r.highestPromised.Less(next.reply.Promised) {
		r.highestPromised = next.reply.Promised
	}
	switch next.reply.Outcome {
	case granted:
		r.granted = append(r.granted, next.reply)
	case conflict:
		r.conflicts++
	case viewMismatch:
		if next.reply.View.Version > r.newer.Version {
			r.newer = next.reply.View
		}
		r.failures = append(r.failures, &viewError{next.reply.View})
	}
}

// failure says why there is no majority.
func (r *round) failure() error {
	switch {
	case r.newer.Version > r.view.Version:
		return &viewError{r.newer}
	case r.conflicts > 0:
		return errConflict
	}
	return r.noQuorum()
}

// noQuorum is the failure of a round with too few answers, with the reasons that are known.
func (r *round) noQuorum() error {
	err := fmt.Errorf("%w: %d of %d within %v", ErrNoQuorum, len(r.granted), len(r.view.Members), r.limit)
	return errors.Join(append([]error{err}, r.failures...)...)
}

// latest returns the answer with the highest accepted proposal number, and whether all have that one: then it is committed,
// as a majority has accepted it.
func (r *round) latest() (reply, bool) {
	latest := r.granted[0]
	same := true
	for _, next := range r.granted[1:] {
		if next.Accepted != latest.Accepted {
			same = false
		}
		if latest.Accepted.Less(next.Accepted) {
			latest = next
		}
	}
	return latest, same
}

// agreed returns the answer that a majority has in common, if there is one. Its proposal was committed, and no higher one was when the
// round began: each majority that had accepted a higher one would have a member among these, which has not. So a read may return it
// although other members have accepted more, which may or may not be committed later.
func (r *round) agreed() (reply, bool) {
	count := make(map[ProposalNumber]int)
	for _, answer := range r.granted {
		count[answer.Accepted]++
		if count[answer.Accepted] == r.view.Quorum() {
			return answer, true
		}
	}
	return reply{}, false
}

// chunkHolders are the members that may have what was accepted under a proposal number: first those that reported it.
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

// withoutChunkSupport are the members whose answers to a prepare request show that they serve no chunked accept requests.
func (r *round) withoutChunkSupport() map[string]bool {
	members := make(map[string]bool)
	for _, answer := range r.granted {
		if !answer.TakesChunks {
			members[answer.member] = true
		}
	}
	return members
}
