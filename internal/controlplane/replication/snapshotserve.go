package replication

// servedSnapshot is a snapshot of the replica's state that candidates are fetching, split into chunks.
type servedSnapshot struct {
	position Position
	chunks   [][]Entry
}

// serveSnapshot replies to a candidate that fetches the state of a position in chunks. The reply has no chunks if the replica is at
// another position, or if it may not vote in the candidate's view.
func (r *replica) serveSnapshot(request snapshotRequest, reply func(snapshotReply)) {
	r.whenIdle(func() {
		if !r.core.mayVote(request.View) || r.position != request.Position {
			r.served = servedSnapshot{}
			reply(snapshotReply{})
			return
		}
		if r.served.position != r.position || len(r.served.chunks) == 0 {
			r.served = servedSnapshot{r.position, splitChunks(sortedEntries(r.state()), r.core.limits.ChunkBytes)}
		}
		chunks := r.served.chunks
		if request.Chunk >= uint32(len(chunks)) {
			reply(snapshotReply{})
			return
		}
		if int(request.Chunk) == len(chunks)-1 {
			r.served = servedSnapshot{} // split again if this chunk is requested once more
		}
		reply(snapshotReply{Chunks: uint32(len(chunks)), Entries: chunks[request.Chunk]})
	})
}
