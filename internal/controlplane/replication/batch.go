package replication

// entryBytes is what an entry costs beside its key and value, roughly.
const entryBytes = 64

// batch moves the state from one position to the next.
type batch struct {
	previous, position Position
	entries            []Entry
	bytes              int
}

func newBatch(previous, position Position, values map[string][]byte) batch {
	b := batch{previous: previous, position: position, entries: make([]Entry, 0, len(values))}
	for key, value := range values {
		b.entries = append(b.entries, Entry{key, value})
		b.bytes += Entry{key, value}.bytes()
	}
	return b
}

// history holds the newest batches of a term, in order.
type history struct {
	limits  Limits
	held    bool // a replica is catching up from a snapshot and needs what came after it
	batches []batch
	bytes   int
}

// add appends a batch and drops the oldest ones beyond the limits; the newest always stays.
func (h *history) add(b batch) {
	h.batches = append(h.batches, b)
	h.bytes += b.bytes
	for len(h.batches) > 1 && h.full() {
		h.drop()
	}
}

func (h *history) full() bool {
	if h.held {
		return h.bytes > h.limits.HeldBytes
	}
	return len(h.batches) > h.limits.KeptBatches || h.bytes > h.limits.KeptBytes
}

// near tells whether so few batches lead from a position to the newest that the usual limits keep them for a while.
func (h *history) near(position Position) bool {
	count, sum := 0, 0
	for i := len(h.batches) - 1; i >= 0; i-- {
		count, sum = count+1, sum+h.batches[i].bytes
		if 2*count > h.limits.KeptBatches || 2*sum > h.limits.KeptBytes {
			return h.batches[i].position == position
		}
		if h.batches[i].position == position || h.batches[i].previous == position {
			return true
		}
	}
	return false
}

func (h *history) drop() {
	h.bytes -= h.batches[0].bytes
	h.batches[0] = batch{}
	h.batches = h.batches[1:]
}

// forget drops the batches that lead to a sequence or an earlier one; the newest always stays.
func (h *history) forget(sequence uint64) {
	for len(h.batches) > 1 && h.batches[0].position.Sequence <= sequence {
		h.drop()
	}
}

// since merges the batches after a position into one, as many as fit into a message, but at least one. It fails if the
// position is not one that the history begins at.
func (h *history) since(position Position) (batch, bool) {
	for i, b := range h.batches {
		if b.previous == position {
			return merge(h.batches[i : i+h.fitting(i)]), true
		}
	}
	return batch{}, false
}

// fitting is how many batches in a row fit into a message, at least one.
func (h *history) fitting(first int) int {
	count, sum := 1, h.batches[first].bytes
	for _, b := range h.batches[first+1:] {
		sum += b.bytes
		if sum > h.limits.ChunkBytes {
			break
		}
		count++
	}
	return count
}

// merge makes one batch of several in a row.
func merge(batches []batch) batch {
	if len(batches) == 1 {
		return batches[0]
	}
	values := make(map[string][]byte)
	for _, b := range batches {
		for _, entry := range b.entries {
			values[entry.Key] = entry.Value
		}
	}
	return newBatch(batches[0].previous, batches[len(batches)-1].position, values)
}
