package replication

import "time"

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

// beginTransfer chooses what is sent next: the batches after the follower's position, or a snapshot where they are
// not retained any more.
func (l *leadership) beginTransfer(address string, follower *follower) {
	next, found := l.history.after(follower.position)
	if found {
		follower.transfer = l.newTransfer(false, next.previous, next.position, splitChunks(next.entries, l.core.limits.ChunkBytes))
		return
	}
	l.beginSnapshot(address, follower)
}

// endTransfer drops what is being sent to a follower, and lets the next group's snapshot go there.
func (l *leadership) endTransfer(address string, follower *follower) {
	ended := follower.transfer
	follower.transfer = nil
	if ended == nil || !ended.request.Snapshot {
		return
	}
	l.core.snapshotEnded(address)
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

// chunkAnswered records where the follower is, and which chunk it lacks.
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

// appendAnswered handles a replica's answer to an append or a heartbeat that was sent at a time. After a failed call nothing more is
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

// heartbeatAnswered handles the answer to a heartbeat that was sent at a time.
func (l *leadership) heartbeatAnswered(address string, reply appendReply, sent time.Duration) {
	follower := l.followers[address]
	if follower == nil || reply.Outcome == unavailable {
		return
	}
	follower.updatePosition(reply.Position, sent)
	l.appendAnswered(follower, reply, sent)
	l.advance()
}
