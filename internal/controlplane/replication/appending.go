package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// followerLease is what a replica has granted to a leader: until then it elects no other.
type followerLease struct {
	term   uint64
	leader string
	until  time.Duration
}

// acceptLeader renews the lease of a leader whose term is not below the current one.
func (r *replica) acceptLeader(term uint64, leader string) {
	r.advanceTerm(term, leader)
	if r.lease.term <= term {
		r.lease = followerLease{term, leader, r.core.now + r.core.timing.FollowerLease}
	}
	r.group.leaderContacted(term, leader)
}

// heartbeat answers a heartbeat. It waits for the disk only when the term is new to this replica.
func (r *replica) heartbeat(term uint64, leader string, view uint64, reply func(appendReply)) {
	if r.rejection(term, view) == accepted && term == r.durableTerm && term == r.currentTerm {
		r.acceptLeader(term, leader)
		reply(r.answer(accepted))
		return
	}
	r.whenAccepted(term, view, reply, func() {
		r.acceptLeader(term, leader)
		r.answerOnceDurable(view, accepted, reply)
	})
}

// append applies a batch or a snapshot, or one chunk of it.
func (r *replica) append(request appendRequest, reply func(appendReply)) {
	r.whenAccepted(request.Term, request.View, reply, func() { r.apply(request, reply) })
}

// whenAccepted runs an operation for a leader once no write is under way, unless the leader is rejected by then. One that
// is rejected already does not wait for the disk, which may be stalled.
func (r *replica) whenAccepted(term, view uint64, reply func(appendReply), operation func()) {
	if r.rejects(term, view, reply) {
		return
	}
	r.whenIdle(func() {
		if !r.rejects(term, view, reply) {
			operation()
		}
	})
}

// rejects answers a leader that is not to be followed, and returns whether it has.
func (r *replica) rejects(term, view uint64, reply func(appendReply)) bool {
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
		reply(r.answer(r.ifStillVoting(request.View, accepted)))
	}, func() { reply(r.answer(unavailable)) })
}

// rejection is why a leader's message is not followed; accepted means that it is.
func (r *replica) rejection(term, view uint64) appendOutcome {
	if !r.core.mayVote(view) {
		return unavailable
	}
	if term < r.currentTerm || term <= r.group.resignedTerm {
		return staleTerm
	}
	return accepted
}

// ifStillVoting is a result, or unavailable where a newer view came since the leader's message: another member may have
// copied this state by then.
func (r *replica) ifStillVoting(view uint64, result appendOutcome) appendOutcome {
	if !r.core.mayVote(view) {
		return unavailable
	}
	return result
}

// answerIncomplete tells a leader which chunk is missing.
func (r *replica) answerIncomplete(request appendRequest, reply func(appendReply)) {
	r.answerOnceDurable(request.View, incomplete, func(answer appendReply) {
		answer.NextChunk = r.nextChunk(request)
		reply(answer)
	})
}

// answerOnceDurable answers a leader once the current term is on disk.
func (r *replica) answerOnceDurable(view uint64, result appendOutcome, reply func(appendReply)) {
	if r.durableTerm == r.currentTerm {
		reply(r.answer(result))
		return
	}
	term := r.currentTerm
	r.persist(termChanges(r.group.name, term, r.votedFor), func() {
		r.durableTerm = term
		reply(r.answer(r.ifStillVoting(view, result)))
	}, func() { reply(r.answer(unavailable)) })
}

func (r *replica) appendChanges(request appendRequest) []storage.Change {
	changes := stateChanges(r.group.name, request.Snapshot, request.Entries)
	if r.durableTerm != request.Term {
		changes = append(changes, termChanges(r.group.name, request.Term, request.Leader)...)
	}
	return append(changes, positionChange(r.group.name, request.Position))
}

func (r *replica) answer(result appendOutcome) appendReply {
	return appendReply{Outcome: result, Term: r.currentTerm, Position: r.position}
}

// releaseLease gives up the lease of a leader that has resigned.
func (r *replica) releaseLease(term uint64) {
	if r.lease.term == term {
		r.lease.until = r.core.now
	}
}
