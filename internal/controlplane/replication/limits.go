package replication

import "cmp"

// Limits bound the size of messages and the number of batches retained for lagging replicas. The zero value of a field means
// its default.
type Limits struct {
	// ChunkBytes is the approximate maximum size of the entries in one message. Only a single entry may be larger.
	ChunkBytes int
	// RetainedBatches and RetainedBytes bound the newest batches that a leader retains for replicas that lag slightly.
	RetainedBatches, RetainedBytes int
	// CatchUpBytes replaces RetainedBytes while a replica catches up from a snapshot, and RetainedBatches does not apply then.
	// If the leader dropped batches after the snapshot, the replica would need another snapshot, and under a busy leader it
	// would never catch up.
	CatchUpBytes int
}

// DefaultLimits are the limits used in production. A chunk of 256 KB takes 0.7 s on a link of 3 Mbit/s. This is less than the
// lease of a leader, so heartbeats queued behind a chunk still arrive in time.
var DefaultLimits = Limits{ChunkBytes: 256 << 10, RetainedBatches: 4096, RetainedBytes: 4 << 20, CatchUpBytes: 32 << 20}

func (l Limits) withDefaults() Limits {
	l.ChunkBytes = cmp.Or(l.ChunkBytes, DefaultLimits.ChunkBytes)
	l.RetainedBatches = cmp.Or(l.RetainedBatches, DefaultLimits.RetainedBatches)
	l.RetainedBytes = cmp.Or(l.RetainedBytes, DefaultLimits.RetainedBytes)
	l.CatchUpBytes = cmp.Or(l.CatchUpBytes, DefaultLimits.CatchUpBytes)
	return l
}
