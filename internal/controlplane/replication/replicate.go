package replication

import "time"

// replicate sends the next message that a follower needs to reach the newest batch. At most one call per follower is in flight.
func (l *leadership) replicate(address string, follower *follower) {
	if l.ended || follower.sending || !follower.positionKnown {
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

// beginTransfer starts a transfer of the batches after the follower's position, or of a snapshot if these batches are no longer
// retained.
func (l *leadership) beginTransfer(address string, follower *follower) {
	next, found := l.history.after(follower.position)
	if found {
		follower.transfer = l.newTransfer(false, next.previous, next.position, splitChunks(next.entries, l.core.limits.ChunkBytes))
		return
	}
	l.startSnapshot(address, follower)
}

// endTransfer drops the current transfer to a follower. If it was a snapshot, the snapshot of another group may follow.
func (l *leadership) endTransfer(address string, follower *follower) {
	current := follower.transfer
	follower.transfer = nil
	if current == nil || !current.request.Snapshot {
		return
	}
	l.core.finishSnapshot(address)
}

func (l *leadership) sendChunk(address string, follower *follower) {
	follower.sending = true
	sentAt, current := l.core.now, follower.transfer
	request, reply := current.chunkRequest(l.core.view.Version), new(appendReply)
	l.core.call(address, appendCall.Route(), current.timeout(l.core.timing), request, reply, func(err error) {
		follower.sending = false
		follower.lastAppendEnded = l.core.now
		follower.positionKnown = false
		if err == nil {
			l.handleChunkReply(follower, current, *reply)
			l.handleAppendReply(follower, *reply, sentAt)
		}
		l.advance()
	})
}

// handleChunkReply records the position of a follower and the chunk that it expects next.
func (l *leadership) handleChunkReply(follower *follower, current *transfer, reply appendReply) {
	follower.position = reply.Position
	if l.history.withinRetention(reply.Position) {
		follower.catchingUp = false
	}
	follower.positionKnown = reply.Outcome == accepted || reply.Outcome == positionMismatch || reply.Outcome == incomplete
	if reply.Outcome == incomplete && reply.NextChunk < uint32(len(current.chunks)) {
		current.nextChunk = reply.NextChunk
	}
}

// handleAppendReply handles the reply to an append or heartbeat that was sent at sentAt. After a failed append the leader sends
// nothing more to the follower until it answers a heartbeat.
func (l *leadership) handleAppendReply(follower *follower, reply appendReply, sentAt time.Duration) {
	if l.ended {
		return
	}
	switch reply.Outcome {
	case staleTerm:
		l.end("another replica is in a higher term")
	case accepted, positionMismatch, incomplete:
		l.recordAcknowledgement(follower, reply, sentAt)
	}
}

// recordAcknowledgement records the reply of a replica that follows this leader.
func (l *leadership) recordAcknowledgement(follower *follower, reply appendReply, sentAt time.Duration) {
	matchIndex := uint64(0)
	if reply.Position.Term == l.termNumber {
		matchIndex = reply.Position.Index
	}
	follower.acknowledge(matchIndex, sentAt, l.core.now, l.core.timing.ReplyTimeout)
}

// handleHeartbeatReply handles the reply to a heartbeat that was sent at sentAt.
func (l *leadership) handleHeartbeatReply(address string, reply appendReply, sentAt time.Duration) {
	follower := l.followers[address]
	if follower == nil || reply.Outcome == unavailable {
		return
	}
	follower.updatePosition(reply.Position, sentAt)
	l.handleAppendReply(follower, reply, sentAt)
	l.advance()
}
