package replication

import "time"

// follower is the replication progress of one other replica, as known to the leader.
type follower struct {
	// position is the position of the replica. It is only meaningful if positionKnown is set.
	position        Position
	positionKnown   bool
	sending         bool
	transfer        *transfer     // the batch or snapshot that is being sent; nil if there is none
	catchingUp      bool          // set when a snapshot is started; the batches after it are retained for this replica
	lastAppendEnded time.Duration // when the newest append call ended; replies to earlier requests may be out of date

	// matchIndex is the newest index of this term that the replica has synced, according to its reply to a request that was
	// sent at matchSentAt.
	matchIndex  uint64
	matchSentAt time.Duration
	// acknowledgedAt is the send time of the newest request that the replica acknowledged as a follower of this leader.
	acknowledgedAt time.Duration
}

func newFollower() *follower {
	return &follower{matchSentAt: never, acknowledgedAt: never, lastAppendEnded: never}
}

// acknowledge records a reply. A lower index replaces a higher one only if the higher one is too old to count.
func (f *follower) acknowledge(index uint64, sentAt, now, replyTimeout time.Duration) {
	if index >= f.matchIndex || now-f.matchSentAt > replyTimeout {
		f.matchIndex, f.matchSentAt = index, sentAt
	}
	f.acknowledgedAt = max(f.acknowledgedAt, sentAt)
}

// updatePosition records the position in a reply to a request that was sent at sentAt, unless it may be out of date.
func (f *follower) updatePosition(position Position, sentAt time.Duration) {
	if f.sending || sentAt < f.lastAppendEnded {
		return
	}
	f.position, f.positionKnown = position, true
}
