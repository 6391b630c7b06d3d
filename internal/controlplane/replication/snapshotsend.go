package replication

// snapshotOutdated reports whether a snapshot is too old to be worth sending. That is so if the follower has not received a chunk
// of it, for example because it was down, and the batches after it are no longer retained. The follower would then need
// another snapshot after this one.
func (l *leadership) snapshotOutdated(t *transfer) bool {
	if !t.request.Snapshot || t.nextChunk > 0 || t.request.Position == l.lastPosition {
		return false
	}
	_, found := l.history.after(t.request.Position)
	return !found
}

// startSnapshot takes a snapshot of the state for a follower and sends it.
//
// A member receives only one snapshot from this node at a time, across all groups. The next one starts as soon as it ends. A
// member that does not reply does not delay the snapshots of other members.
//
// On a busy processor, sorting and splitting a large state may take longer than a lease lasts. It is therefore offloaded and
// not done within a step of the core.
func (l *leadership) startSnapshot(address string, follower *follower) {
	replica := &l.group.replica
	if l.core.receivingSnapshot[address] || replica.position.Term != l.termNumber {
		return // replicate is called again after the other snapshot, or after the write that begins the term
	}
	l.core.receivingSnapshot[address] = true
	follower.sending = true
	replica.whenIdle(func() {
		if l.ended || l.followers[address] != follower {
			follower.sending = false
			l.core.finishSnapshot(address)
			return
		}
		follower.catchingUp = true
		position, state := replica.position, replica.state()
		var chunks [][]Entry
		l.core.offload(func() { chunks = splitChunks(sortedEntries(state), l.core.limits.ChunkBytes) }, func() {
			l.sendSnapshot(address, follower, position, chunks)
		})
	})
}

// sendSnapshot starts the transfer of a snapshot that was split into chunks. It drops the snapshot if the term has ended or the
// follower was removed.
func (l *leadership) sendSnapshot(address string, follower *follower, position Position, chunks [][]Entry) {
	follower.sending = false
	if l.ended || l.followers[address] != follower {
		l.core.finishSnapshot(address)
		return
	}
	follower.transfer = l.newTransfer(true, Position{}, position, chunks)
	l.replicate(address, follower)
}

// finishSnapshot records that the transfer of a snapshot to a member has ended. It continues the replication to that member in all
// groups that this node leads, which may start the next snapshot.
func (c *core) finishSnapshot(address string) {
	delete(c.receivingSnapshot, address)
	for _, g := range c.sortedGroups() {
		if g.leadership != nil && g.leadership.followers[address] != nil {
			g.leadership.replicate(address, g.leadership.followers[address])
		}
	}
}

// updateHistoryLimits makes the history retain more batches while a follower is catching up from a snapshot and has replied within
// the chunk timeout.
func (l *leadership) updateHistoryLimits() {
	l.history.catchingUp = false
	for _, follower := range l.followers {
		if follower.catchingUp && l.core.now-follower.acknowledgedAt <= l.core.timing.ChunkTimeout {
			l.history.catchingUp = true
		}
	}
}
