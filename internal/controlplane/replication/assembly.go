package replication

// assembly collects the chunks of a batch or snapshot that a leader sends in several messages. It exists only in memory. The
// stored state of the replica changes in one write, after the last chunk has arrived.
type assembly struct {
	term      uint64
	snapshot  bool
	previous  Position
	position  Position
	chunks    uint32
	entries   []Entry
	nextChunk uint32 // number of the next missing chunk
}

// isSupersededBy reports whether a request starts a new assembly in the place of this one, which may be nil. Positions only
// increase within a term, so a request with an older position was delayed and does not start one.
func (a *assembly) isSupersededBy(request appendRequest) bool {
	if request.Chunk != 0 {
		return false
	}
	return a == nil || a.term < request.Term || a.term == request.Term && a.position.Before(request.Position)
}

// isContinuedBy reports whether a request contains the next missing chunk of this assembly.
func (a *assembly) isContinuedBy(request appendRequest) bool {
	return a != nil && a.term == request.Term && a.snapshot == request.Snapshot && a.previous == request.Previous &&
		a.position == request.Position && a.chunks == request.Chunks && a.nextChunk == request.Chunk
}

// assemble adds a chunk of a batch or snapshot, and returns all entries when the last chunk has arrived. It ignores a chunk
// that is a duplicate, arrives too early, or belongs to an earlier transfer.
func (r *replica) assemble(request appendRequest) (entries []Entry, complete bool) {
	if r.assembly.isSupersededBy(request) {
		r.assembly = &assembly{
			term: request.Term, snapshot: request.Snapshot, previous: request.Previous,
			position: request.Position, chunks: request.Chunks,
		}
	}
	if !r.assembly.isContinuedBy(request) {
		return nil, false
	}
	r.assembly.entries = append(r.assembly.entries, request.Entries...)
	r.assembly.nextChunk++
	if r.assembly.nextChunk < r.assembly.chunks {
		return nil, false
	}
	entries = r.assembly.entries
	r.assembly = nil
	return entries, true
}

// nextChunk returns the number of the next missing chunk of the batch or snapshot that a request belongs to. It is 0 if no chunk
// of it has arrived.
func (r *replica) nextChunk(request appendRequest) uint32 {
	if a := r.assembly; a != nil && a.term == request.Term && a.position == request.Position {
		return a.nextChunk
	}
	return 0
}
