package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// replica stores the state of one group on this node and votes in the elections of the group. It writes one change at a
// time. Operations that need the state wait in a queue while a write is in progress.
type replica struct {
	core         *core
	group        *group
	currentTerm  uint64   // leaders of lower terms are rejected
	votedFor     string   // candidate that got the vote of the current term, or the leader of that term
	durableTerm  uint64   // the newest term that is synced to disk
	position     Position // position of the state on disk
	lease        followerLease
	noVoteBefore time.Duration // a lease granted before the restart may last until then
	writing      bool
	writeStarted time.Duration // when the newest write started
	afterWrite   []func()      // operations that wait for the end of the write
	assembly     *assembly     // of a batch or snapshot received in chunks; nil if there is none
	served       servedSnapshot
}

// load reads the state of the replica from the store. No write may be in progress.
func (r *replica) load(noVoteBefore time.Duration) {
	m := decodeMeta(r.core.store.Table(metaTable(r.group.name)))
	r.currentTerm, r.votedFor, r.durableTerm, r.position = m.term, m.votedFor, m.term, m.position
	if m.term > 0 {
		r.noVoteBefore = noVoteBefore
	}
}

// whenIdle runs an operation once no write is in progress and all earlier operations in the queue have run. The order
// matters: otherwise a leader that always has a next batch would block a snapshot or a vote forever.
func (r *replica) whenIdle(operation func()) {
	if r.writing || len(r.afterWrite) > 0 {
		r.afterWrite = append(r.afterWrite, operation)
		return
	}
	operation()
}

// persist writes changes and calls done once they are synced, or failed if the write fails. It then runs the queued
// operations. A failed write leaves the disk unchanged. The current term in memory may then stay higher than the term on disk.
// This is safe, as the replica has not replied in that term.
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

// state returns the state in the store. While no write is in progress, it is the state at r.position.
func (r *replica) state() map[string][]byte { return r.core.store.Table(stateTable(r.group.name)) }

// advanceTerm sets the current term if the given one is higher. It ends a leadership of this node with a lower term.
func (r *replica) advanceTerm(term uint64, candidate string) {
	if term > r.currentTerm {
		r.currentTerm, r.votedFor = term, candidate
		r.assembly = nil
	}
	if l := r.group.leadership; l != nil && l.termNumber < term {
		l.end("this replica has entered a higher term")
	}
}
