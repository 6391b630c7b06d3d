package replication

// snapshotFetch copies a newer state from another member in chunks, before this node requests votes.
//
// A leader created the fetched state, and the member stores it under that leader's position. Storing it here as well is safe
// whether it is committed or not, because it replaces only an older state. The fetch does not reply to that leader, so it does
// not count towards a majority by itself.
type snapshotFetch struct {
	group     *group
	source    string
	position  Position
	entries   []Entry
	nextChunk uint32
	attempts  int // failed requests for the next chunk
}

// maxChunkAttempts is how often a chunk is requested before the fetch ends.
const maxChunkAttempts = 3

func (g *group) startFetch(source string, position Position) {
	f := &snapshotFetch{group: g, source: source, position: position}
	g.fetch = f
	f.requestChunk()
}

func (f *snapshotFetch) requestChunk() {
	core := f.group.core
	request := snapshotRequest{Group: f.group.name, View: core.view.Version, Position: f.position, Chunk: f.nextChunk}
	reply := new(snapshotReply)
	core.call(f.source, snapshotCall.Route(), core.timing.ChunkTimeout, request, reply, func(err error) { f.receiveChunk(*reply, err) })
}

// receiveChunk adds the requested chunk, and requests the next one. After the last one, it installs the state.
func (f *snapshotFetch) receiveChunk(reply snapshotReply, err error) {
	switch {
	case !f.isNeeded():
		f.finish()
	case err != nil:
		if f.attempts++; f.attempts >= maxChunkAttempts {
			f.finish()
			return
		}
		f.requestChunk()
	case f.nextChunk >= reply.Chunks: // the member no longer has the state of this position
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

// isNeeded reports whether the fetched state is still useful. That is so if this node may campaign and knows no leader, and if
// the state is newer than its own.
func (f *snapshotFetch) isNeeded() bool {
	g := f.group
	leased := g.core.now < g.replica.lease.until
	return g.leadership == nil && !leased && !g.core.stopping && g.core.mayCampaign(g) && g.replica.position.Before(f.position)
}

// install replaces the replica's state with the fetched one in a single write.
func (f *snapshotFetch) install() {
	if !f.isNeeded() {
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

// finish ends the fetch. This node may campaign again after a back-off.
func (f *snapshotFetch) finish() {
	f.group.fetch = nil
	f.group.backOff()
}
