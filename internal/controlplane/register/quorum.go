package register

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

var (
	// ErrNoQuorum reports that no majority of the members granted the request of a round in time.
	ErrNoQuorum = errors.New("no majority of the members granted the request")
	// ErrNoView reports that the proposer has no view to use for the change or read.
	ErrNoView = errors.New("the members of the replica set are unknown")
	// errConflict reports that members have promised a higher proposal number.
	errConflict = errors.New("a higher proposal number was promised")
)

// viewError reports that members use another view than the proposer.
type viewError struct{ view replicaset.View }

func (e *viewError) Error() string {
	return fmt.Sprintf("members use view %d of the replica set", e.view.Version)
}

// callResult is the reply of one member or the error of the call.
type callResult struct {
	reply reply
	err   error
}

// round counts the replies to one request that was sent to all members of a view. The methods in this file do no input or
// output. The method run sends the request.
type round struct {
	view            replicaset.View
	limit           time.Duration // time since the start of the round after which replies do not count
	granted         []reply
	conflicts       int
	failures        []error
	highestPromised ProposalNumber    // highest proposal number that a reply reported as promised
	newerView       replicaset.View   // newest view that a reply with viewMismatch reported
	startTime       time.Time         // set by run, as are results and outstanding
	results         <-chan callResult // results that have not been counted yet
	outstanding     int               // number of results that have not been counted yet
}

// addResult counts the result of one call.
func (r *round) addResult(result callResult) {
	if result.err != nil {
		r.failures = append(r.failures, result.err)
		return
	}
	if r.highestPromised.Less(result.reply.Promised) {
		r.highestPromised = result.reply.Promised
	}
	switch result.reply.Outcome {
	case granted:
		r.granted = append(r.granted, result.reply)
	case conflict:
		r.conflicts++
	case viewMismatch:
		if result.reply.View.Version > r.newerView.Version {
			r.newerView = result.reply.View
		}
		r.failures = append(r.failures, &viewError{result.reply.View})
	}
}

// failureReason returns the error that explains why there is no majority.
func (r *round) failureReason() error {
	switch {
	case r.newerView.Version > r.view.Version:
		return &viewError{r.newerView}
	case r.conflicts > 0:
		return errConflict
	}
	return r.noQuorumError()
}

// noQuorumError returns ErrNoQuorum with the number of granted replies and the errors of the failed calls.
func (r *round) noQuorumError() error {
	err := fmt.Errorf("%w: %d of %d within %v", ErrNoQuorum, len(r.granted), len(r.view.Members), r.limit)
	return errors.Join(append([]error{err}, r.failures...)...)
}

// latest returns the reply with the highest accepted proposal number. It also reports whether all replies have this number.
// In that case, a majority has accepted the state, so that it is committed.
func (r *round) latest() (reply, bool) {
	latest := r.granted[0]
	allEqual := true
	for _, next := range r.granted[1:] {
		if next.Accepted != latest.Accepted {
			allEqual = false
		}
		if latest.Accepted.Less(next.Accepted) {
			latest = next
		}
	}
	return latest, allEqual
}

// majorityReply returns a reply whose accepted proposal number a majority reported, if there is one. This proposal is
// committed. No higher proposal was committed when the round began, because any majority that had accepted a higher one would
// share a member with this majority. Therefore a read may return this state even if other members have accepted a higher
// proposal, which may or may not be committed later.
func (r *round) majorityReply() (reply, bool) {
	acceptCounts := make(map[ProposalNumber]int)
	for _, answer := range r.granted {
		acceptCounts[answer.Accepted]++
		if acceptCounts[answer.Accepted] == r.view.Quorum() {
			return answer, true
		}
	}
	return reply{}, false
}

// chunkHolders returns all members in the order in which to fetch the chunks of the value accepted under a proposal number.
// Members that reported this number come first. The other members may have accepted it since.
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

// membersWithoutChunkSupport returns the members whose replies to a prepare request show that they do not serve chunked accept
// requests.
func (r *round) membersWithoutChunkSupport() map[string]bool {
	members := make(map[string]bool)
	for _, answer := range r.granted {
		if !answer.SupportsChunks {
			members[answer.member] = true
		}
	}
	return members
}
