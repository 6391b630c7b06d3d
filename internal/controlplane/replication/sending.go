package replication

import "time"

// send brings a follower nearer to the newest batch, with one call at a time.
func (l *leadership) send(address string, follower *follower) {
	if l.ended || follower.sending || !follower.known || follower.position == l.latest {
		return
	}
	next, found := l.history.since(follower.position)
	if !found {
		l.sendSnapshot(address, follower)
		return
	}
	request := l.request()
	request.Previous, request.Position, request.Entries = next.previous, next.position, next.entries
	l.dispatch(address, follower, request, l.core.timing.Round, func() {})
}

// sendSnapshot sends the whole state. This mixer sends one snapshot at a time; the others wait for a later heartbeat.
func (l *leadership) sendSnapshot(address string, follower *follower) {
	if l.core.snapshots > 0 || l.group.replica.position.Epoch != l.epoch {
		follower.known = false
		return
	}
	l.core.snapshots++
	follower.sending = true
	l.group.replica.whenIdle(func() {
		if l.ended {
			l.core.snapshots--
			return
		}
		request := l.request()
		request.Snapshot = true
		request.Position = l.group.replica.position
		for key, value := range l.core.store.Table(stateTable(l.group.name)) {
			request.Entries = append(request.Entries, Entry{key, value})
		}
		l.dispatch(address, follower, request, l.core.timing.Transfer, func() { l.core.snapshots-- })
	})
}

func (l *leadership) dispatch(address string, follower *follower, request appendRequest, limit time.Duration, done func()) {
	follower.sending = true
	sent := l.core.now
	reply := new(appendReply)
	l.core.call(address, appendCall.Route(), limit, request, reply, func(err error) {
		done()
		follower.sending = false
		follower.settled = l.core.now
		follower.known = false
		if err == nil {
			follower.position, follower.known = reply.Position, reply.Outcome == accepted || reply.Outcome == behind
			l.answered(follower, *reply, sent)
		}
		l.pump()
	})
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
	case accepted, behind:
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
