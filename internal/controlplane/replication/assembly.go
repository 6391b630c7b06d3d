package replication

// assembly gathers the chunks of a batch or snapshot that one leader sends in several messages. It is in memory only: what
// a replica holds changes when the last chunk has come, in one write.
type assembly struct {
	term      uint64
	snapshot  bool
	previous  Position
	position  Position
	chunks    uint32
	entries   []Entry
	nextChunk uint32 // the missing one
}

// begins tells whether a chunk opens an assembly in the place of the present one, which may be nil. Positions only rise
// within a term, so that an older one comes from a message that was late.
func (a *assembly) begins(request appendRequest) bool {
	if request.Chunk != 0 {
		return false
	}
	return a == nil || a.term < request.Term || a.term == request.Term && a.position.Before(request.Position)
}

// continues tells whether a chunk is the missing one.
func (a *assembly) continues(request appendRequest) bool {
	return a != nil && a.term == request.Term && a.snapshot == request.Snapshot && a.previous == request.Previous &&
		a.position == request.Position && a.chunks == request.Chunks && a.nextChunk == request.Chunk
}

// assemble adds a chunk of a batch or snapshot. It returns all entries once none is missing. A chunk that comes twice, too
// early, or from an earlier transfer changes nothing.
func (r *replica) assemble(request appendRequest) (entries []Entry, complete bool) {
	if r.assembly.begins(request) {
		r.assembly = &assembly{
			term: request.Term, snapshot: request.Snapshot, previous: request.Previous,
			position: request.Position, chunks: request.Chunks,
		}
	}
	if !r.assembly.continues(request) {
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

// nextChunk is the number of the missing chunk of what a request belongs to.
func (r *replica) nextChunk(request appendRequest) uint32 {
	if a := r.assembly; a != nil && a.term == request.Term && a.position == request.Position {
		return a.nextChunk
	}
	return 0
}
