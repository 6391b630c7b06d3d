package replication

import "cmp"

// Limits bound what one message carries and what is retained for replicas that lag. The zero value of a field stands for its
// default.
type Limits struct {
	// ChunkBytes is about the most that one message carries of a state or of batches; only a single entry may be larger.
	ChunkBytes int
	// RetainedBatches and RetainedBytes bound the newest batches that a leader retains for replicas that lag a little.
	RetainedBatches, RetainedBytes int
	// CatchUpBytes takes the place of RetainedBytes while a replica catches up from a snapshot, and RetainedBatches does not apply
	// then: with the batches since the snapshot gone, it would need another one, and so on under a busy leader.
	CatchUpBytes int
}

// DefaultLimits are the limits used in service. A chunk of 256 KB takes 0.7 s on a link of 3 Mbit/s, which is less than a
// leader's lease, so that the heartbeats that wait behind it still come in time.
var DefaultLimits = Limits{ChunkBytes: 256 << 10, RetainedBatches: 4096, RetainedBytes: 4 << 20, CatchUpBytes: 32 << 20}

func (l Limits) withDefaults() Limits {
	l.ChunkBytes = cmp.Or(l.ChunkBytes, DefaultLimits.ChunkBytes)
	l.RetainedBatches = cmp.Or(l.RetainedBatches, DefaultLimits.RetainedBatches)
	l.RetainedBytes = cmp.Or(l.RetainedBytes, DefaultLimits.RetainedBytes)
	l.CatchUpBytes = cmp.Or(l.CatchUpBytes, DefaultLimits.CatchUpBytes)
	return l
}
