package replication

// Limits of the batches kept for followers that lag a little.
const (
	keptBatches = 4096
	keptBytes   = 4 << 20
)

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
		b.bytes += entryBytes + len(key) + len(value)
	}
	return b
}

// history holds the newest batches of a term, in order.
type history struct {
	batches []batch
	bytes   int
}

// add appends a batch and drops the oldest ones beyond the limits; the newest always stays.
func (h *history) add(b batch) {
	h.batches = append(h.batches, b)
	h.bytes += b.bytes
	for len(h.batches) > 1 && (len(h.batches) > keptBatches || h.bytes > keptBytes) {
		h.drop()
	}
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

// since merges all batches after a position into one. It fails if the position is not one that the history begins at.
func (h *history) since(position Position) (batch, bool) {
	for i, b := range h.batches {
		if b.previous == position {
			return merge(h.batches[i:]), true
		}
	}
	return batch{}, false
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
