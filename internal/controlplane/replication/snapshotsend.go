package replication

// snapshotOutdated tells whether a snapshot of which no chunk has arrived is older than the retained batches, as where its
// follower was down: another would have to follow it.
func (l *leadership) snapshotOutdated(t *transfer) bool {
	if !t.request.Snapshot || t.nextChunk > 0 || t.request.Position == l.lastPosition {
		return false
	}
	_, found := l.history.after(t.request.Position)
	return !found
}

// beginSnapshot takes a copy of the state for a follower. Each member gets one snapshot of this node at a time, whatever
// the group, and the next one follows at once; a member that does not answer holds up no other. A large state takes longer
// to sort and split than a lease lasts where the processor is busy, so that is not done within a step.
func (l *leadership) beginSnapshot(address string, follower *follower) {
	replica := &l.group.replica
	if l.core.receivingSnapshot[address] || replica.position.Term != l.termNumber {
		return // replicate is called again at the end of the other snapshot, or of the write that begins the term
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

// sendSnapshot begins to send a snapshot that has been cut into chunks, unless its follower or the term is gone.
func (l *leadership) sendSnapshot(address string, follower *follower, position Position, chunks [][]Entry) {
	follower.sending = false
	if l.ended || l.followers[address] != follower {
		l.core.snapshotEnded(address)
		return
	}
	follower.transfer = l.newTransfer(true, Position{}, position, chunks)
	l.replicate(address, follower)
}

// snapshotEnded begins the next snapshot to a member.
func (c *core) snapshotEnded(address string) {
	delete(c.receivingSnapshot, address)
	for _, g := range c.sortedGroups() {
		if g.leadership != nil && g.leadership.followers[address] != nil {
			g.leadership.replicate(address, g.leadership.followers[address])
		}
	}
}

// updateHistoryLimits retains more batches while a follower that answers is catching up from a snapshot.
func (l *leadership) updateHistoryLimits() {
	l.history.catchingUp = false
	for _, follower := range l.followers {
		if follower.catchingUp && l.core.now-follower.acknowledgedAt <= l.core.timing.ChunkTimeout {
			l.history.catchingUp = true
		}
	}
}
