package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// replica holds one group's state on this machine and votes in its elections. Its writes are serial: while one is on
// its way to the disk, what needs the state waits in a queue.
type replica struct {
	core      *core
	group     *group
	promised  uint64   // no epoch below is followed
	candidate string   // to whom the promise was given
	synced    uint64   // the promise that is on disk
	position  Position // of the state on disk
	lease     lease
	mute      time.Duration // no vote before that time, as a lease may have been forgotten
	writing   bool
	writeTime time.Duration // when the newest write began
	queue     []func()
	assembly  *assembly // of what a leader sends in parts; nil where there is none
	given     givenState
}

// lease is a replica's word to a leader that it elects no other until then.
type lease struct {
	epoch  uint64
	holder string
	until  time.Duration
}

// load takes over what the store holds; the replica must have no write under way.
func (r *replica) load(mute time.Duration) {
	m := decodeMeta(r.core.store.Table(metaTable(r.group.name)))
	r.promised, r.candidate, r.synced, r.position = m.promised, m.candidate, m.promised, m.position
	if m.promised > 0 {
		r.mute = mute
	}
}

// whenIdle runs an operation as soon as no write is under way, after those that wait already: a leader that always has a
// next batch must not hold up a snapshot or a vote for good.
func (r *replica) whenIdle(operation func()) {
	if r.writing || len(r.queue) > 0 {
		r.queue = append(r.queue, operation)
		return
	}
	operation()
}

// persist writes changes, runs done once they are synced, or failed if they could not be, and then what has queued up.
// What this replica has on disk is then as before; a promise that it has not answered may stay raised in memory.
func (r *replica) persist(changes []storage.Change, done, failed func()) {
	r.writing, r.writeTime = true, r.core.now
	r.core.write(changes, func(err error) {
		r.writing = false
		if err == nil {
			done()
		} else {
			failed()
		}
		for !r.writing && len(r.queue) > 0 {
			operation := r.queue[0]
			r.queue = r.queue[1:]
			operation()
		}
	})
}

// free tells whether the replica may vote for a candidate as far as leases go. A lease that was forgotten in a restart
// can only be that of the node to which the newest promise was given. If that node is the candidate, it leads no more:
// a node campaigns only after its own term has ended, or in a new process.
func (r *replica) free(candidate string) bool {
	now := r.core.now
	remembers := now >= r.mute || r.candidate == candidate && candidate != ""
	return remembers && (now >= r.lease.until || r.lease.holder == candidate) && !r.group.ledByOther(candidate)
}

// prepare votes, or refuses to.
func (r *replica) prepare(request prepareRequest, reply func(prepareReply)) {
	if request.Probe {
		granted := r.core.serves(request.View) && r.free(request.Candidate)
		large := granted && request.Position.Before(r.position) && r.large(r.state())
		reply(prepareReply{Granted: granted, Promised: r.promised, Position: r.position, Large: large})
		return
	}
	if !r.core.serves(request.View) {
		reply(r.noVote())
		return
	}
	r.whenIdle(func() { r.vote(request, reply) })
}

func (r *replica) noVote() prepareReply {
	return prepareReply{Promised: r.promised, Position: r.position}
}

func (r *replica) vote(request prepareRequest, reply func(prepareReply)) {
	if !r.core.serves(request.View) || request.Epoch <= r.promised || !r.free(request.Candidate) {
		reply(r.noVote())
		return
	}
	r.raise(request.Epoch, request.Candidate)
	answer := prepareReply{Granted: true, Promised: r.promised, Position: r.position}
	if request.Position.Before(r.position) {
		if state := r.state(); r.large(state) {
			answer.Large = true
		} else {
			answer.State = state
		}
	}
	r.persist(promiseChanges(r.group.name, request.Epoch, request.Candidate), func() {
		r.synced = request.Epoch
		if !r.core.serves(request.View) { // a newer view was learned meanwhile, and may have taken its copy of this state
			reply(r.noVote())
			return
		}
		reply(answer)
	}, func() { reply(r.noVote()) })
}

// state reads the state from the store, which is as of position while no write is under way.
func (r *replica) state() map[string][]byte { return r.core.store.Table(stateTable(r.group.name)) }

// large tells whether a state does not fit into one message.
func (r *replica) large(state map[string][]byte) bool {
	return stateBytes(state) > r.core.limits.ChunkBytes
}

// raise promises to follow no lower epoch; a leader on this machine with a lower one ends.
func (r *replica) raise(epoch uint64, candidate string) {
	if epoch > r.promised {
		r.promised, r.candidate = epoch, candidate
		r.assembly = nil
	}
	if leading := r.group.leading; leading != nil && leading.epoch < epoch {
		leading.end("a higher epoch was promised")
	}
}

// follow takes a message of a leader whose epoch is not below the promise as a sign of life.
func (r *replica) follow(epoch uint64, leader string) {
	r.raise(epoch, leader)
	if r.lease.epoch <= epoch {
		r.lease = lease{epoch, leader, r.core.now + r.core.timing.ReplicaLease}
	}
	r.group.heard(epoch, leader)
}

// beat answers a heartbeat. It waits for the disk only when the epoch is new to this replica.
func (r *replica) beat(epoch uint64, leader string, view uint64, reply func(appendReply)) {
	if r.refusal(epoch, view) == accepted && epoch == r.synced && epoch == r.promised {
		r.follow(epoch, leader)
		reply(r.answer(accepted))
		return
	}
	r.whenFollowing(epoch, view, reply, func() {
		r.follow(epoch, leader)
		r.answerSynced(view, accepted, reply)
	})
}

// append takes a batch or a snapshot.
func (r *replica) append(request appendRequest, reply func(appendReply)) {
	r.whenFollowing(request.Epoch, request.View, reply, func() { r.apply(request, reply) })
}

// whenFollowing runs an operation for a leader once no write is under way, unless the leader is refused by then. One that
// is refused already does not wait for the disk, which may be stalled.
func (r *replica) whenFollowing(epoch, view uint64, reply func(appendReply), operation func()) {
	if r.refuses(epoch, view, reply) {
		return
	}
	r.whenIdle(func() {
		if !r.refuses(epoch, view, reply) {
			operation()
		}
	})
}

// refuses answers a leader that is not to be followed, and tells whether it has.
func (r *replica) refuses(epoch, view uint64, reply func(appendReply)) bool {
	refusal := r.refusal(epoch, view)
	if refusal == accepted {
		return false
	}
	reply(r.answer(refusal))
	return true
}

func (r *replica) apply(request appendRequest, reply func(appendReply)) {
	r.follow(request.Epoch, request.Leader)
	if !r.position.Before(request.Position) {
		r.answerSynced(request.View, accepted, reply)
		return
	}
	if !request.Snapshot && request.Previous != r.position {
		r.answerSynced(request.View, behind, reply)
		return
	}
	if request.Chunks > 1 {
		entries, whole := r.gather(request)
		if !whole {
			r.answerGathering(request, reply)
			return
		}
		request.Entries = entries
	}
	r.persist(r.changes(request), func() {
		r.synced = request.Epoch
		r.position = request.Position
		reply(r.answer(r.stillServing(request.View, accepted)))
	}, func() { reply(r.answer(unavailable)) })
}

// refusal tells why a leader's message is not followed; accepted means that it is.
func (r *replica) refusal(epoch, view uint64) outcome {
	if !r.core.serves(view) {
		return unavailable
	}
	if epoch < r.promised || epoch <= r.group.finished {
		return superseded
	}
	return accepted
}

// stillServing is a result, or unavailable where a newer view was learned since the leader was heard: another member may
// have taken its copy of this state by then.
func (r *replica) stillServing(view uint64, result outcome) outcome {
	if !r.core.serves(view) {
		return unavailable
	}
	return result
}

// answerGathering tells a leader which part is missing.
func (r *replica) answerGathering(request appendRequest, reply func(appendReply)) {
	r.answerSynced(request.View, gathering, func(answer appendReply) {
		answer.Wanted = r.wanted(request)
		reply(answer)
	})
}

// answerSynced answers a leader once the promise is on disk.
func (r *replica) answerSynced(view uint64, result outcome, reply func(appendReply)) {
	if r.synced == r.promised {
		reply(r.answer(result))
		return
	}
	promised := r.promised
	r.persist(promiseChanges(r.group.name, promised, r.candidate), func() {
		r.synced = promised
		reply(r.answer(r.stillServing(view, result)))
	}, func() { reply(r.answer(unavailable)) })
}

func (r *replica) changes(request appendRequest) []storage.Change {
	table := stateTable(r.group.name)
	changes := make([]storage.Change, 0, len(request.Entries)+3)
	if request.Snapshot {
		changes = append(changes, storage.Change{Table: table})
	}
	for _, entry := range request.Entries {
		changes = append(changes, storage.Change{Table: table, Key: entry.Key, Value: entry.Value})
	}
	if r.synced != request.Epoch {
		changes = append(changes, promiseChanges(r.group.name, request.Epoch, request.Leader)...)
	}
	return append(changes, positionChange(r.group.name, request.Position))
}

func (r *replica) answer(result outcome) appendReply {
	return appendReply{Outcome: result, Promised: r.promised, Position: r.position}
}

// release gives up the lease of a leader that has resigned.
func (r *replica) release(epoch uint64) {
	if r.lease.epoch == epoch {
		r.lease.until = r.core.now
	}
}
