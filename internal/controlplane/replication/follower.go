package replication

import "time"

// follower is what a leader knows of one other replica.
type follower struct {
	// position is where the replica is, as far as known says that it is known.
	position Position
	known    bool
	sending  bool
	transfer *transfer     // what is being sent; nil where nothing is
	lagging  bool          // since a snapshot began to travel; what came after it is kept for this replica
	settled  time.Duration // the newest append ended then; what was asked before may be out of date

	// voted is the newest sequence of this term that the replica has synced, as told by its answer to a request that
	// was sent at votedAt.
	voted   uint64
	votedAt time.Duration
	// followed is when the newest request was sent that the replica answered as this leader's follower.
	followed time.Duration
}

func newFollower() *follower { return &follower{votedAt: never, followed: never, settled: never} }

// vote notes an answer. A lower sequence replaces a higher one only when that has become too old to count.
func (f *follower) vote(sequence uint64, sent, now, round time.Duration) {
	if sequence >= f.voted || now-f.votedAt > round {
		f.voted, f.votedAt = sequence, sent
	}
	f.followed = max(f.followed, sent)
}

// locate notes where the replica is, by an answer to a request sent at a time.
func (f *follower) locate(position Position, sent time.Duration) {
	if f.sending || sent < f.settled {
		return
	}
	f.position, f.known = position, true
}
