package replication

// leasesPermitVote reports whether no lease prevents a vote for a candidate. A lease granted before a restart can only belong
// to the node that got the newest vote. If this node is the candidate, it no longer leads: a node campaigns only after its
// own term has ended, or in a new process.
func (r *replica) leasesPermitVote(candidate string) bool {
	now := r.core.now
	priorLeasePermits := now >= r.noVoteBefore || r.votedFor == candidate && candidate != ""
	return priorLeasePermits && (now >= r.lease.until || r.lease.leader == candidate) && !r.group.hasLocalLeaderOtherThan(candidate)
}

// requestVote answers a pre-vote or vote request.
func (r *replica) requestVote(request voteRequest, reply func(voteReply)) {
	if request.PreVote {
		granted := r.core.mayVote(request.View) && r.leasesPermitVote(request.Candidate)
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
	if !r.core.mayVote(request.View) || request.Term <= r.currentTerm || !r.leasesPermitVote(request.Candidate) {
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
		if !r.core.mayVote(request.View) { // a member of a newer view may have copied this state during the write
			reply(r.denyVote())
			return
		}
		reply(answer)
	}, func() { reply(r.denyVote()) })
}

// exceedsMessage reports whether a state is too large for one message.
func (r *replica) exceedsMessage(state map[string][]byte) bool {
	return stateBytes(state) > r.core.limits.ChunkBytes
}
