package replication

import "time"

// follower is what a leader knows of one other replica.
type follower struct {
	// position is where the replica is, as far as known says that it is known.
	position        Position
	known           bool
	sending         bool
	transfer        *transfer     // what is being sent; nil where nothing is
	catchingUp      bool          // since a snapshot was begun; the batches after it are retained for this replica
	lastAppendEnded time.Duration // when the newest append ended; an answer to an earlier request may be out of date

	// matchIndex is the newest index of this term that the replica has synced, by its answer to a request that was sent at
	// matchSentAt.
	matchIndex  uint64
	matchSentAt time.Duration
	// acknowledgedAt is when the newest request was sent that the replica acknowledged as this leader's follower.
	acknowledgedAt time.Duration
}

func newFollower() *follower {
	return &follower{matchSentAt: never, acknowledgedAt: never, lastAppendEnded: never}
}

// acknowledge records an answer. A lower index replaces a higher one only when that has become too old to count.
func (f *follower) acknowledge(index uint64, sent, now, replyTimeout time.Duration) {
	if index >= f.matchIndex || now-f.matchSentAt > replyTimeout {
		f.matchIndex, f.matchSentAt = index, sent
	}
	f.acknowledgedAt = max(f.acknowledgedAt, sent)
}

// updatePosition records where the replica is, by its answer to a request that was sent at a time.
func (f *follower) updatePosition(position Position, sent time.Duration) {
	if f.sending || sent < f.lastAppendEnded {
		return
	}
	f.position, f.known = position, true
}
