package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// followerLease is the lease that a replica has granted to a leader. The replica votes for no other candidate before its end.
type followerLease struct {
	term   uint64
	leader string
	until  time.Duration
}

// acceptLeader renews the lease of a leader. Its term must not be lower than the current term.
func (r *replica) acceptLeader(term uint64, leader string) {
	r.advanceTerm(term, leader)
	if r.lease.term <= term {
		r.lease = followerLease{term, leader, r.core.now + r.core.timing.FollowerLease}
	}
	r.group.recordLeaderContact(term, leader)
}

// heartbeat answers a heartbeat. It waits for the disk only if the term of the leader is not yet synced.
func (r *replica) heartbeat(term uint64, leader string, view uint64, reply func(appendReply)) {
	if r.rejection(term, view) == accepted && term == r.durableTerm && term == r.currentTerm {
		r.acceptLeader(term, leader)
		reply(r.answer(accepted))
		return
	}
	r.whenLeaderAccepted(term, view, reply, func() {
		r.acceptLeader(term, leader)
		r.answerOnceDurable(view, accepted, reply)
	})
}

// append applies a batch, a snapshot, or one chunk of them.
func (r *replica) append(request appendRequest, reply func(appendReply)) {
	r.whenLeaderAccepted(request.Term, request.View, reply, func() { r.apply(request, reply) })
}

// whenLeaderAccepted runs an operation for a leader once no write is in progress, unless the replica rejects the leader by
// then. A leader that is rejected already gets its reply at once, without waiting for a disk that may be stalled.
func (r *replica) whenLeaderAccepted(term, view uint64, reply func(appendReply), operation func()) {
	if r.rejectLeader(term, view, reply) {
		return
	}
	r.whenIdle(func() {
		if !r.rejectLeader(term, view, reply) {
			operation()
		}
	})
}

// rejectLeader replies to a leader that must not be followed. It reports whether it has replied.
func (r *replica) rejectLeader(term, view uint64, reply func(appendReply)) bool {
	rejection := r.rejection(term, view)
	if rejection == accepted {
		return false
	}
	reply(r.answer(rejection))
	return true
}

func (r *replica) apply(request appendRequest, reply func(appendReply)) {
	r.acceptLeader(request.Term, request.Leader)
	if !r.position.Before(request.Position) {
		r.answerOnceDurable(request.View, accepted, reply)
		return
	}
	if !request.Snapshot && request.Previous != r.position {
		r.answerOnceDurable(request.View, positionMismatch, reply)
		return
	}
	if request.Chunks > 1 {
		entries, complete := r.assemble(request)
		if !complete {
			r.answerIncomplete(request, reply)
			return
		}
		request.Entries = entries
	}
	r.persist(r.appendChanges(request), func() {
		r.durableTerm = request.Term
		r.position = request.Position
		reply(r.answer(r.unavailableUnlessMayVote(request.View, accepted)))
	}, func() { reply(r.answer(unavailable)) })
}

// rejection returns the reason why messages of a leader are rejected, or accepted if they are not.
func (r *replica) rejection(term, view uint64) appendOutcome {
	if !r.core.mayVote(view) {
		return unavailable
	}
	if term < r.currentTerm || term <= r.group.resignedTerm {
		return staleTerm
	}
	return accepted
}

// unavailableUnlessMayVote returns outcome, or unavailable if this node may no longer vote in the leader's view. Once a newer
// view is known, a member of it may already have copied this replica's state.
func (r *replica) unavailableUnlessMayVote(view uint64, outcome appendOutcome) appendOutcome {
	if !r.core.mayVote(view) {
		return unavailable
	}
	return outcome
}

// answerIncomplete replies with the chunk that is expected next.
func (r *replica) answerIncomplete(request appendRequest, reply func(appendReply)) {
	r.answerOnceDurable(request.View, incomplete, func(answer appendReply) {
		answer.NextChunk = r.nextChunk(request)
		reply(answer)
	})
}

// answerOnceDurable replies to a leader once the current term is synced to disk.
func (r *replica) answerOnceDurable(view uint64, outcome appendOutcome, reply func(appendReply)) {
	if r.durableTerm == r.currentTerm {
		reply(r.answer(outcome))
		return
	}
	term := r.currentTerm
	r.persist(termChanges(r.group.name, term, r.votedFor), func() {
		r.durableTerm = term
		reply(r.answer(r.unavailableUnlessMayVote(view, outcome)))
	}, func() { reply(r.answer(unavailable)) })
}

func (r *replica) appendChanges(request appendRequest) []storage.Change {
	changes := stateChanges(r.group.name, request.Snapshot, request.Entries)
	if r.durableTerm != request.Term {
		changes = append(changes, termChanges(r.group.name, request.Term, request.Leader)...)
	}
	return append(changes, positionChange(r.group.name, request.Position))
}

func (r *replica) answer(outcome appendOutcome) appendReply {
	return appendReply{Outcome: outcome, Term: r.currentTerm, Position: r.position}
}

// releaseLease ends the lease of a leader that has resigned.
func (r *replica) releaseLease(term uint64) {
	if r.lease.term == term {
		r.lease.until = r.core.now
	}
}
