package replication

// snapshotFetch copies a newer state from a member in chunks, before this node asks for votes. What is fetched is a state
// that a leader made and that the member holds, under the leader's own position; so holding it as well takes nothing
// back, whether it is committed or not. It is no answer to that leader, so it counts in no majority by itself.
type snapshotFetch struct {
	group     *group
	from      string
	position  Position
	entries   []Entry
	nextChunk uint32
	attempts  int // at the next chunk
}

// maxFetchAttempts is how often a chunk is asked for.
const maxFetchAttempts = 3

func (g *group) startFetch(from string, position Position) {
	f := &snapshotFetch{group: g, from: from, position: position}
	g.fetch = f
	f.requestChunk()
}

func (f *snapshotFetch) requestChunk() {
	core := f.group.core
	request := snapshotRequest{Group: f.group.name, View: core.view.Version, Position: f.position, Chunk: f.nextChunk}
	reply := new(snapshotReply)
	core.call(f.from, snapshotCall.Route(), core.timing.ChunkTimeout, request, reply, func(err error) { f.receiveChunk(*reply, err) })
}

// receiveChunk adds the chunk that was asked for.
func (f *snapshotFetch) receiveChunk(reply snapshotReply, err error) {
	switch {
	case !f.needed():
		f.finish()
	case err != nil:
		if f.attempts++; f.attempts >= maxFetchAttempts {
			f.finish()
			return
		}
		f.requestChunk()
	case f.nextChunk >= reply.Chunks: // the member is at another position by now
		f.finish()
	default:
		f.entries = append(f.entries, reply.Entries...)
		f.nextChunk, f.attempts = f.nextChunk+1, 0
		if f.nextChunk < reply.Chunks {
			f.requestChunk()
			return
		}
		f.group.replica.whenIdle(f.install)
	}
}

// needed tells whether the state is still of use: there is no leader, and nothing newer here.
func (f *snapshotFetch) needed() bool {
	g := f.group
	leased := g.core.now < g.replica.lease.until
	return g.leadership == nil && !leased && !g.core.stopping && g.core.mayCampaign(g) && g.replica.position.Before(f.position)
}

// install replaces the state here in one write.
func (f *snapshotFetch) install() {
	if !f.needed() {
		f.finish()
		return
	}
	r := &f.group.replica
	changes := stateChanges(f.group.name, true, f.entries)
	if r.currentTerm < f.position.Term {
		r.advanceTerm(f.position.Term, "")
	}
	term := r.currentTerm
	changes = append(changes, termChanges(f.group.name, term, r.votedFor)...)
	r.persist(append(changes, positionChange(f.group.name, f.position)), func() {
		r.durableTerm, r.position = term, f.position
		f.finish()
	}, f.finish)
}

// finish lets this node campaign again.
func (f *snapshotFetch) finish() {
	f.group.fetch = nil
	f.group.backOff()
}
