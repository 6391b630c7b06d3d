package replication

import "time"

// transfer is a batch or a snapshot on its way to one follower, in one part or several.
type transfer struct {
	request appendRequest // without entries
	chunks  [][]Entry
	next    uint32 // the part to send
}

func (l *leadership) newTransfer(snapshot bool, previous, position Position, chunks [][]Entry) *transfer {
	request := l.request()
	request.Snapshot, request.Previous, request.Position = snapshot, previous, position
	return &transfer{request: request, chunks: chunks}
}

// chunk is the message that carries the next part.
func (t *transfer) chunk(view uint64) appendRequest {
	request := t.request
	request.View = view
	request.Chunk, request.Chunks = t.next, uint32(len(t.chunks))
	request.Entries = t.chunks[t.next]
	return request
}

// limit is how long the call of a part may take. A batch that cannot be answered within a round counts for nothing.
func (t *transfer) limit(timing Timing) time.Duration {
	if t.request.Snapshot || len(t.chunks) > 1 {
		return timing.Transfer
	}
	return timing.Round
}

// suits tells whether a transfer still brings a follower forward that is at a position.
func (t *transfer) suits(position Position) bool {
	return position.Before(t.request.Position) && (t.request.Snapshot || t.request.Previous == position)
}

// send brings a follower nearer to the newest batch, with one call at a time.
func (l *leadership) send(address string, follower *follower) {
	if l.ended || follower.sending || !follower.known {
		return
	}
	if follower.transfer != nil && (!follower.transfer.suits(follower.position) || l.outdated(follower.transfer)) {
		l.endTransfer(address, follower)
	}
	if follower.transfer == nil && follower.position != l.latest {
		l.beginTransfer(address, follower)
	}
	if follower.transfer != nil && !follower.sending {
		l.dispatch(address, follower)
	}
}

// outdated tells whether a snapshot of which no part has arrived is older than the batches that are kept, as where its follower
// was down: another would have to follow it.
func (l *leadership) outdated(t *transfer) bool {
	if !t.request.Snapshot || t.next > 0 || t.request.Position == l.latest {
		return false
	}
	_, found := l.history.since(t.request.Position)
	return !found
}

// beginTransfer chooses what is sent next: the batches after the follower's position, or the whole state where they are
// not known any more.
func (l *leadership) beginTransfer(address string, follower *follower) {
	next, found := l.history.since(follower.position)
	if found {
		follower.transfer = l.newTransfer(false, next.previous, next.position, split(next.entries, l.core.limits.ChunkBytes))
		return
	}
	l.beginSnapshot(address, follower)
}

// beginSnapshot takes a copy of the state for a follower. Each member gets one snapshot of this node at a time, whatever
// the group, and the next one follows at once; a member that does not answer holds up no other. A large state takes longer
// to sort and cut than a lease lasts where the processor is busy, so that is not done within a step.
func (l *leadership) beginSnapshot(address string, follower *follower) {
	replica := &l.group.replica
	if l.core.receiving[address] || replica.position.Epoch != l.epoch {
		return // the end of the other snapshot, or of the write that begins the term, comes back here
	}
	l.core.receiving[address] = true
	follower.sending = true
	replica.whenIdle(func() {
		if l.ended || l.followers[address] != follower {
			follower.sending = false
			l.core.released(address)
			return
		}
		follower.lagging = true
		position, state := replica.position, replica.state()
		var chunks [][]Entry
		l.core.aside(func() { chunks = split(entriesOf(state), l.core.limits.ChunkBytes) }, func() {
			l.sendSnapshot(address, follower, position, chunks)
		})
	})
}

// sendSnapshot begins to send a snapshot that has been cut into parts, unless nobody wants it any more.
func (l *leadership) sendSnapshot(address string, follower *follower, position Position, chunks [][]Entry) {
	follower.sending = false
	if l.ended || l.followers[address] != follower {
		l.core.released(address)
		return
	}
	follower.transfer = l.newTransfer(true, Position{}, position, chunks)
	l.send(address, follower)
}

// endTransfer forgets what is being sent to a follower, and lets the next group's snapshot go there.
func (l *leadership) endTransfer(address string, follower *follower) {
	ended := follower.transfer
	follower.transfer = nil
	if ended == nil || !ended.request.Snapshot {
		return
	}
	l.core.released(address)
}

// released lets the next snapshot go to a member.
func (c *core) released(address string) {
	delete(c.receiving, address)
	for _, g := range c.sortedGroups() {
		if g.leading != nil && g.leading.followers[address] != nil {
			g.leading.send(address, g.leading.followers[address])
		}
	}
}

// holdHistory keeps more batches while a follower that answers is catching up from a snapshot.
func (l *leadership) holdHistory() {
	l.history.held = false
	for _, follower := range l.followers {
		if follower.lagging && l.core.now-follower.followed <= l.core.timing.Transfer {
			l.history.held = true
		}
	}
}

func (l *leadership) dispatch(address string, follower *follower) {
	follower.sending = true
	sent, sending := l.core.now, follower.transfer
	request, reply := sending.chunk(l.core.view.Version), new(appendReply)
	l.core.call(address, appendCall.Route(), sending.limit(l.core.timing), request, reply, func(err error) {
		follower.sending = false
		follower.settled = l.core.now
		follower.known = false
		if err == nil {
			l.chunkAnswered(follower, sending, *reply)
			l.answered(follower, *reply, sent)
		}
		l.pump()
	})
}

// chunkAnswered notes where the follower is, and which part it wants.
func (l *leadership) chunkAnswered(follower *follower, sending *transfer, reply appendReply) {
	follower.position = reply.Position
	if l.history.near(reply.Position) {
		follower.lagging = false
	}
	follower.known = reply.Outcome == accepted || reply.Outcome == behind || reply.Outcome == gathering
	if reply.Outcome == gathering && reply.Wanted < uint32(len(sending.chunks)) {
		sending.next = reply.Wanted
	}
}

// answered takes a replica's answer to an append or a heartbeat sent at a time. After a failed call nothing more is
// sent until a heartbeat is answered.
func (l *leadership) answered(follower *follower, reply appendReply, sent time.Duration) {
	if l.ended {
		return
	}
	switch reply.Outcome {
	case superseded:
		l.end("another replica has promised a higher epoch")
	case accepted, behind, gathering:
		l.follows(follower, reply, sent)
	}
}

// follows counts the answer of a replica that follows this leader.
func (l *leadership) follows(follower *follower, reply appendReply, sent time.Duration) {
	sequence := uint64(0)
	if reply.Position.Epoch == l.epoch {
		sequence = reply.Position.Sequence
	}
	follower.vote(sequence, sent, l.core.now, l.core.timing.Round)
}

// heartbeatAnswered takes the answer to a heartbeat sent at a time.
func (l *leadership) heartbeatAnswered(address string, reply appendReply, sent time.Duration) {
	follower := l.followers[address]
	if follower == nil || reply.Outcome == unavailable {
		return
	}
	follower.locate(reply.Position, sent)
	l.answered(follower, reply, sent)
	l.pump()
}
