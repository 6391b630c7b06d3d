package replication

// servedSnapshot is a copy of the state that candidates are fetching.
type servedSnapshot struct {
	position Position
	chunks   [][]Entry
}

// serveSnapshot answers a candidate that fetches the state of a position.
func (r *replica) serveSnapshot(request snapshotRequest, reply func(snapshotReply)) {
	r.whenIdle(func() {
		if !r.core.mayVote(request.View) || r.position != request.Position {
			r.served = servedSnapshot{}
			reply(snapshotReply{})
			return
		}
		if r.served.position != r.position || len(r.served.chunks) == 0 {
			r.served = servedSnapshot{r.position, splitChunks(entriesOf(r.state()), r.core.limits.ChunkBytes)}
		}
		chunks := r.served.chunks
		if request.Chunk >= uint32(len(chunks)) {
			reply(snapshotReply{})
			return
		}
		if int(request.Chunk) == len(chunks)-1 {
			r.served = servedSnapshot{} // a retry makes it anew
		}
		reply(snapshotReply{Chunks: uint32(len(chunks)), Entries: chunks[request.Chunk]})
	})
}
