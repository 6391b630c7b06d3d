package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// replica holds one group's state on this machine and votes in its elections. Its writes are serial: while one is under way,
// what needs the state waits in a queue.
type replica struct {
	core         *core
	group        *group
	currentTerm  uint64   // no lower one is followed
	votedFor     string   // whom the vote of the current term was given to, or who led it
	durableTerm  uint64   // the current term as it is on disk
	position     Position // of the state on disk
	lease        followerLease
	noVoteBefore time.Duration // a lease of before the restart may last until then
	writing      bool
	writeStarted time.Duration // when the newest write began
	afterWrite   []func()
	assembly     *assembly // of what a leader sends in chunks; nil where there is none
	served       servedSnapshot
}

// load reads what the store holds; the replica must have no write under way.
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
// What this replica has on disk is then as before; a term that it has not answered for may stay raised in memory.
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

// state reads the state from the store, which is as of position while no write is under way.
func (r *replica) state() map[string][]byte { return r.core.store.Table(stateTable(r.group.name)) }

// advanceTerm raises the current term. A leader on this machine with a lower one ends.
func (r *replica) advanceTerm(term uint64, candidate string) {
	if term > r.currentTerm {
		r.currentTerm, r.votedFor = term, candidate
		r.assembly = nil
	}
	if leading := r.group.leading; leading != nil && leading.termNumber < term {
		leading.end("this replica has entered a higher term")
	}
}
