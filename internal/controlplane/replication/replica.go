package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// replica holds one group's state on this machine and votes in its elections. Its writes are serial: while one is on
// its way to the disk, what needs the state waits in a queue.
type replica struct {
	core         *core
	group        *group
	currentTerm  uint64   // no term below is followed
	votedFor     string   // to whom the promise was given
	durableTerm  uint64   // the promise that is on disk
	position     Position // of the state on disk
	lease        followerLease
	noVoteBefore time.Duration // no vote before that time, as a lease may have been forgotten
	writing      bool
	writeStarted time.Duration // when the newest write began
	afterWrite   []func()
	assembly     *assembly // of what a leader sends in parts; nil where there is none
	served       servedSnapshot
}

// followerLease is a replica's word to a leader that it elects no other until then.
type followerLease struct {
	term   uint64
	leader string
	until  time.Duration
}

// load takes over what the store holds; the replica must have no write under way.
func (r *replica) load(noVoteBefore time.Duration) {
	m := decodeMeta(r.core.store.Table(metaTable(r.group.name)))
	r.currentTerm, r.votedFor, r.durableTerm, r.position = m.term, m.votedFor, m.term, m.position
	if m.term > 0 {
		r.noVoteBefore = noVoteBefore
	}
}

// whenIdle runs an operation as soon as no write is under way, after those that wait already: a leader that always has a
// next batch must not hold up a snapshot or a vote for good.
func (r *replica) whenIdle(operation func()) {
	if r.writing || len(r.afterWrite) > 0 {
		r.afterWrite = append(r.afterWrite, operation)
		return
	}
	operation()
}

// persist writes changes, runs done once they are synced, or failed if they could not be, and then what has queued up.
// What this replica has on disk is then as before; a promise that it has not answered may stay raised in memory.
func (r *replica) persist(changes []storage.Change, done, failed func()) {
	r.writing, r.writeStarted = true, r.core.now
	r.core.write(changes, func(err error) {
		r.writing = false
		if err == nil {
			done()
		} else {
			failed()
		}
		for !r.writing && len(r.afterWrite) > 0 {
			operation := r.afterWrite[0]
			r.afterWrite = r.afterWrite[1:]
			operation()
		}
	})
}

// leasesAllow tells whether the replica may vote for a candidate as far as leases go. A lease that was forgotten in a restart
// can only be that of the node to which the newest promise was given. If that node is the candidate, it leads no more:
// a node campaigns only after its own term has ended, or in a new process.
func (r *replica) leasesAllow(candidate string) bool {
	now := r.core.now
	remembers := now >= r.noVoteBefore || r.votedFor == candidate && candidate != ""
	return remembers && (now >= r.lease.until || r.lease.leader == candidate) && !r.group.ledByOther(candidate)
}

// requestVote votes, or refuses to.
func (r *replica) requestVote(request voteRequest, reply func(voteReply)) {
	if request.PreVote {
		granted := r.core.mayVote(request.View) && r.leasesAllow(request.Candidate)
		omitted := granted && request.Position.Before(r.position) && r.exceedsMessage(r.state())
		reply(voteReply{Granted: granted, Term: r.currentTerm, Position: r.position, StateOmitted: omitted})
		return
	}
	if !r.core.mayVote(request.View) {
		reply(r.denyVote())
		return
	}
	r.whenIdle(func() { r.grantVote(request, reply) })
}

func (r *replica) denyVote() voteReply {
	return voteReply{Term: r.currentTerm, Position: r.position}
}

func (r *replica) grantVote(request voteRequest, reply func(voteReply)) {
	if !r.core.mayVote(request.View) || request.Term <= r.currentTerm || !r.leasesAllow(request.Candidate) {
		reply(r.denyVote())
		return
	}
	r.advanceTerm(request.Term, request.Candidate)
	answer := voteReply{Granted: true, Term: r.currentTerm, Position: r.position}
	if request.Position.Before(r.position) {
		if state := r.state(); r.exceedsMessage(state) {
			answer.StateOmitted = true
		} else {
			answer.State = state
		}
	}
	r.persist(termChanges(r.group.name, request.Term, request.Candidate), func() {
		r.durableTerm = request.Term
		if !r.core.mayVote(request.View) { // a newer view was learned meanwhile, and may have taken its copy of this state
			reply(r.denyVote())
			return
		}
		reply(answer)
	}, func() { reply(r.denyVote()) })
}

// serveSnapshot reads the state from the store, which is as of position while no write is under way.
func (r *replica) state() map[string][]byte { return r.core.store.Table(stateTable(r.group.name)) }

// large tells whether a state does not fit into one message.
func (r *replica) exceedsMessage(state map[string][]byte) bool {
	return stateBytes(state) > r.core.limits.ChunkBytes
}

// advanceTerm promises to follow no lower term; a leader on this machine with a lower one ends.
func (r *replica) advanceTerm(term uint64, candidate string) {
	if term > r.currentTerm {
		r.currentTerm, r.votedFor = term, candidate
		r.assembly = nil
	}
	if leading := r.group.leading; leading != nil && leading.termNumber < term {
		leading.end("this replica has entered a higher term")
	}
}

// acceptLeader takes a message of a leader whose term is not below the promise as a sign of life.
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

// append takes a batch or a snapshot.
func (r *replica) append(request appendRequest, reply func(appendReply)) {
	r.whenAccepted(request.Term, request.View, reply, func() { r.apply(request, reply) })
}

// whenAccepted runs an operation for a leader once no write is under way, unless the leader is refused by then. One that
// is refused already does not wait for the disk, which may be stalled.
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

// rejects answers a leader that is not to be followed, and tells whether it has.
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

// rejection tells why a leader's message is not followed; accepted means that it is.
func (r *replica) rejection(term, view uint64) appendOutcome {
	if !r.core.mayVote(view) {
		return unavailable
	}
	if term < r.currentTerm || term <= r.group.resignedTerm {
		return staleTerm
	}
	return accepted
}

// ifStillVoting is a result, or unavailable where a newer view was learned since the leader was heard: another member may
// have taken its copy of this state by then.
func (r *replica) ifStillVoting(view uint64, result appendOutcome) appendOutcome {
	if !r.core.mayVote(view) {
		return unavailable
	}
	return result
}

// answerIncomplete tells a leader which part is missing.
func (r *replica) answerIncomplete(request appendRequest, reply func(appendReply)) {
	r.answerOnceDurable(request.View, incomplete, func(answer appendReply) {
		answer.NextChunk = r.nextChunk(request)
		reply(answer)
	})
}

// answerOnceDurable answers a leader once the promise is on disk.
func (r *replica) answerOnceDurable(view uint64, result appendOutcome, reply func(appendReply)) {
	if r.durableTerm == r.currentTerm {
		reply(r.answer(result))
		return
	}
	promised := r.currentTerm
	r.persist(termChanges(r.group.name, promised, r.votedFor), func() {
		r.durableTerm = promised
		reply(r.answer(r.ifStillVoting(view, result)))
	}, func() { reply(r.answer(unavailable)) })
}

func (r *replica) appendChanges(request appendRequest) []storage.Change {
	table := stateTable(r.group.name)
	changes := make([]storage.Change, 0, len(request.Entries)+3)
	if request.Snapshot {
		changes = append(changes, storage.Change{Table: table})
	}
	for _, entry := range request.Entries {
		changes = append(changes, storage.Change{Table: table, Key: entry.Key, Value: entry.Value})
	}
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
