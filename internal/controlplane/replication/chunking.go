package replication

import (
	"maps"
	"slices"
)

// bytes is what an entry costs in a message, roughly.
func (e Entry) bytes() int { return entryBytes + len(e.Key) + len(e.Value) }

// entriesOf lists a state's entries by key. So the chunks of one position are the same however often they are made.
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

// splitChunks cuts entries into chunks of about maxBytes. There is always one chunk, which may be empty.
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

// entryBytes is what an entry costs beside its key and value, roughly.
const entryBytes = 64
