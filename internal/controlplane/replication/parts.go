package replication

import (
	"cmp"
	"maps"
	"slices"
)

// Limits bound what one message carries and what is kept for replicas that lag. The zero value of a field stands for its
// default.
type Limits struct {
	// ChunkBytes is about the most that one message carries of a state or of batches; only a single entry may be larger.
	ChunkBytes int
	// RetainedBatches and RetainedBytes bound the newest batches that a leader keeps for replicas that lag a little.
	RetainedBatches, RetainedBytes int
	// CatchUpBytes takes the place of RetainedBytes while a replica catches up from a snapshot, and RetainedBatches does not hold
	// then: with the batches since the snapshot gone, it would need another one, and so on under a busy leader.
	CatchUpBytes int
}

// DefaultLimits are the limits used in service. A part of 256 KB takes 0.7 s on a link of 3 Mbit/s, which is less than a
// leader's lease, so that the heartbeats that wait behind it still come in time.
var DefaultLimits = Limits{ChunkBytes: 256 << 10, RetainedBatches: 4096, RetainedBytes: 4 << 20, CatchUpBytes: 32 << 20}

func (l Limits) withDefaults() Limits {
	l.ChunkBytes = cmp.Or(l.ChunkBytes, DefaultLimits.ChunkBytes)
	l.RetainedBatches = cmp.Or(l.RetainedBatches, DefaultLimits.RetainedBatches)
	l.RetainedBytes = cmp.Or(l.RetainedBytes, DefaultLimits.RetainedBytes)
	l.CatchUpBytes = cmp.Or(l.CatchUpBytes, DefaultLimits.CatchUpBytes)
	return l
}

// bytes is what an entry costs in a message, roughly.
func (e Entry) bytes() int { return entryBytes + len(e.Key) + len(e.Value) }

// entriesOf lists a state's entries by key. So the parts of one position are the same however often they are made.
func entriesOf(state map[string][]byte) []Entry {
	entries := make([]Entry, 0, len(state))
	for _, key := range slices.Sorted(maps.Keys(state)) {
		entries = append(entries, Entry{key, state[key]})
	}
	return entries
}

// stateBytes is what a state costs in messages, roughly.
func stateBytes(state map[string][]byte) int {
	sum := 0
	for key, value := range state {
		sum += Entry{key, value}.bytes()
	}
	return sum
}

// splitChunks cuts entries into parts of about a number of bytes. There is always one part, which may be empty.
func splitChunks(entries []Entry, maxBytes int) [][]Entry {
	var chunks [][]Entry
	start, sum := 0, 0
	for i, entry := range entries {
		if i > start && sum+entry.bytes() > maxBytes {
			chunks = append(chunks, entries[start:i])
			start, sum = i, 0
		}
		sum += entry.bytes()
	}
	return append(chunks, entries[start:])
}

// assembly gathers the parts of a batch or snapshot that one leader sends in several messages. It is in memory only: what
// a replica holds changes when the last part has come, in one write.
type assembly struct {
	term      uint64
	snapshot  bool
	previous  Position
	position  Position
	chunks    uint32
	entries   []Entry
	nextChunk uint32 // the part that is missing
}

// begins tells whether a part opens an assembly in the place of the present one, which may be nil. Positions only rise
// within a term, so that an older one comes from a message that was late.
func (a *assembly) begins(request appendRequest) bool {
	if request.Chunk != 0 {
		return false
	}
	return a == nil || a.term < request.Term || a.term == request.Term && a.position.Before(request.Position)
}

// continues tells whether a part is the one that is missing.
func (a *assembly) continues(request appendRequest) bool {
	return a != nil && a.term == request.Term && a.snapshot == request.Snapshot && a.previous == request.Previous &&
		a.position == request.Position && a.chunks == request.Chunks && a.nextChunk == request.Chunk
}

// assemble takes a part of a batch or snapshot. It returns all entries once none is missing. A part that comes twice, too
// early, or from an earlier transfer changes nothing.
func (r *replica) assemble(request appendRequest) (entries []Entry, complete bool) {
	if r.assembly.begins(request) {
		r.assembly = &assembly{
			term: request.Term, snapshot: request.Snapshot, previous: request.Previous,
			position: request.Position, chunks: request.Chunks,
		}
	}
	if !r.assembly.continues(request) {
		return nil, false
	}
	r.assembly.entries = append(r.assembly.entries, request.Entries...)
	r.assembly.nextChunk++
	if r.assembly.nextChunk < r.assembly.chunks {
		return nil, false
	}
	entries = r.assembly.entries
	r.assembly = nil
	return entries, true
}

// nextChunk is the part that is missing of what a request belongs to.
func (r *replica) nextChunk(request appendRequest) uint32 {
	if a := r.assembly; a != nil && a.term == request.Term && a.position == request.Position {
		return a.nextChunk
	}
	return 0
}
