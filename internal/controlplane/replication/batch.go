package replication

// batch is a set of changes that moves the state from one position to the next.
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

// mergeBatches merges consecutive batches into one.
func mergeBatches(batches []batch) batch {
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
