package replication

import "time"

// transfer is a batch or a snapshot on its way to one follower, in one part or several.
type transfer struct {
	request   appendRequest // without entries
	chunks    [][]Entry
	nextChunk uint32 // the part to send
}

func (l *leadership) newTransfer(snapshot bool, previous, position Position, chunks [][]Entry) *transfer {
	request := l.appendRequestHeader()
	request.Snapshot, request.Previous, request.Position = snapshot, previous, position
	return &transfer{request: request, chunks: chunks}
}

// chunkRequest is the message that carries the next part.
func (t *transfer) chunkRequest(view uint64) appendRequest {
	request := t.request
	request.View = view
	request.Chunk, request.Chunks = t.nextChunk, uint32(len(t.chunks))
	request.Entries = t.chunks[t.nextChunk]
	return request
}

// timeout is how long the call of a part may take. A batch that cannot be answered within a round counts for nothing.
func (t *transfer) timeout(timing Timing) time.Duration {
	if t.request.Snapshot || len(t.chunks) > 1 {
		return timing.ChunkTimeout
	}
	return timing.ReplyTimeout
}

// advances tells whether a transfer still brings a follower forward that is at a position.
func (t *transfer) advances(position Position) bool {
	return position.Before(t.request.Position) && (t.request.Snapshot || t.request.Previous == position)
}

// replicate brings a follower nearer to the newest batch, with one call at a time.
func (l *leadership) replicate(address string, follower *follower) {
	if l.ended || follower.sending || !follower.known {
		return
	}
	if follower.transfer != nil && (!follower.transfer.advances(follower.position) || l.snapshotOutdated(follower.transfer)) {
		l.endTransfer(address, follower)
	}
	if follower.transfer == nil && follower.position != l.lastPosition {
		l.beginTransfer(address, follower)
	}
	if follower.transfer != nil && !follower.sending {
		l.sendChunk(address, follower)
	}
}

// snapshotOutdated tells whether a snapshot of which no part has arrived is older than the batches that are kept, as where its follower
// was down: another would have to follow it.
func (l *leadership) snapshotOutdated(t *transfer) bool {
	if !t.request.Snapshot || t.nextChunk > 0 || t.request.Position == l.lastPosition {
		return false
	}
	_, found := l.history.after(t.request.Position)
	return !found
}

// beginTransfer chooses what is sent next: the batches after the follower's position, or the whole state where they are
// not known any more.
func (l *leadership) beginTransfer(address string, follower *follower) {
	next, found := l.history.after(follower.position)
	if found {
		follower.transfer = l.newTransfer(false, next.previous, next.position, splitChunks(next.entries, l.core.limits.ChunkBytes))
		return
	}
	l.beginSnapshot(address, follower)
}

// beginSnapshot takes a copy of the state for a follower. Each member gets one snapshot of this node at a time, whatever
// the group, and the next one follows at once; a member that does not answer holds up no other. A large state takes longer
// to sort and cut than a lease lasts where the processor is busy, so that is not done within a step.
func (l *leadership) beginSnapshot(address string, follower *follower) {
	replica := &l.group.replica
	if l.core.receivingSnapshot[address] || replica.position.Term != l.termNumber {
		return // the end of the other snapshot, or of the write that begins the term, comes back here
	}
	l.core.receivingSnapshot[address] = true
	follower.sending = true
	replica.whenIdle(func() {
		if l.ended || l.followers[address] != follower {
			follower.sending = false
			l.core.snapshotEnded(address)
			return
		}
		follower.catchingUp = true
		position, state := replica.position, replica.state()
		var chunks [][]Entry
		l.core.offload(func() { chunks = splitChunks(entriesOf(state), l.core.limits.ChunkBytes) }, func() {
			l.sendSnapshot(address, follower, position, chunks)
		})
	})
}

// sendSnapshot begins to send a snapshot that has been cut into parts, unless nobody wants it any more.
func (l *leadership) sendSnapshot(address string, follower *follower, position Position, chunks [][]Entry) {
	follower.sending = false
	if l.ended || l.followers[address] != follower {
		l.core.snapshotEnded(address)
		return
	}
	follower.transfer = l.newTransfer(true, Position{}, position, chunks)
	l.replicate(address, follower)
}

// endTransfer forgets what is being sent to a follower, and lets the next group's snapshot go there.
func (l *leadership) endTransfer(address string, follower *follower) {
	ended := follower.transfer
	follower.transfer = nil
	if ended == nil || !ended.request.Snapshot {
		return
	}
	l.core.snapshotEnded(address)
}

// snapshotEnded lets the next snapshot go to a member.
func (c *core) snapshotEnded(address string) {
	delete(c.receivingSnapshot, address)
	for _, g := range c.sortedGroups() {
		if g.leading != nil && g.leading.followers[address] != nil {
			g.leading.replicate(address, g.leading.followers[address])
		}
	}
}

// updateHistoryLimits keeps more batches while a follower that answers is catching up from a snapshot.
func (l *leadership) updateHistoryLimits() {
	l.history.catchingUp = false
	for _, follower := range l.followers {
		if follower.catchingUp && l.core.now-follower.acknowledgedAt <= l.core.timing.ChunkTimeout {
			l.history.catchingUp = true
		}
	}
}

func (l *leadership) sendChunk(address string, follower *follower) {
	follower.sending = true
	sent, sending := l.core.now, follower.transfer
	request, reply := sending.chunkRequest(l.core.view.Version), new(appendReply)
	l.core.call(address, appendCall.Route(), sending.timeout(l.core.timing), request, reply, func(err error) {
		follower.sending = false
		follower.lastAppendEnded = l.core.now
		follower.known = false
		if err == nil {
			l.chunkAnswered(follower, sending, *reply)
			l.appendAnswered(follower, *reply, sent)
		}
		l.advance()
	})
}

// chunkAnswered notes where the follower is, and which part it wants.
func (l *leadership) chunkAnswered(follower *follower, sending *transfer, reply appendReply) {
	follower.position = reply.Position
	if l.history.withinRetention(reply.Position) {
		follower.catchingUp = false
	}
	follower.known = reply.Outcome == accepted || reply.Outcome == positionMismatch || reply.Outcome == incomplete
	if reply.Outcome == incomplete && reply.NextChunk < uint32(len(sending.chunks)) {
		sending.nextChunk = reply.NextChunk
	}
}

// answered takes a replica's answer to an append or a heartbeat sent at a time. After a failed call nothing more is
// sent until a heartbeat is answered.
func (l *leadership) appendAnswered(follower *follower, reply appendReply, sent time.Duration) {
	if l.ended {
		return
	}
	switch reply.Outcome {
	case staleTerm:
		l.end("another replica is in a higher term")
	case accepted, positionMismatch, incomplete:
		l.recordAcknowledgement(follower, reply, sent)
	}
}

// recordAcknowledgement counts the answer of a replica that follows this leader.
func (l *leadership) recordAcknowledgement(follower *follower, reply appendReply, sent time.Duration) {
	sequence := uint64(0)
	if reply.Position.Term == l.termNumber {
		sequence = reply.Position.Index
	}
	follower.acknowledge(sequence, sent, l.core.now, l.core.timing.ReplyTimeout)
}

// heartbeatAnswered takes the answer to a heartbeat sent at a time.
func (l *leadership) heartbeatAnswered(address string, reply appendReply, sent time.Duration) {
	follower := l.followers[address]
	if follower == nil || reply.Outcome == unavailable {
		return
	}
	follower.updatePosition(reply.Position, sent)
	l.appendAnswered(follower, reply, sent)
	l.advance()
}
