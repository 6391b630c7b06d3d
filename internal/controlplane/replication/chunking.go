package replication

import (
	"maps"
	"slices"
)

// bytes returns the approximate size of an entry in a message.
func (e Entry) bytes() int { return entryOverheadBytes + len(e.Key) + len(e.Value) }

// sortedEntries returns the entries of a state, sorted by key. The order makes chunking deterministic: the state of one position
// is always split into the same chunks.
func sortedEntries(state map[string][]byte) []Entry {
	entries := make([]Entry, 0, len(state))
	for _, key := range slices.Sorted(maps.Keys(state)) {
		entries = append(entries, Entry{key, state[key]})
	}
	return entries
}

// stateBytes returns the approximate size of a state in messages.
func stateBytes(state map[string][]byte) int {
	sum := 0
	for key, value := range state {
		sum += Entry{key, value}.bytes()
	}
	return sum
}

// splitChunks splits entries into chunks of about maxBytes. It returns at least one chunk, which may be empty.
func splitChunks(entries []Entry, maxBytes int) [][]Entry {
	var chunks [][]Entry
	start, chunkSize := 0, 0
	for i, entry := range entries {
		if i > start && chunkSize+entry.bytes() > maxBytes {
			chunks = append(chunks, entries[start:i])
			start, chunkSize = i, 0
		}
		chunkSize += entry.bytes()
	}
	return append(chunks, entries[start:])
}

// entryOverheadBytes is the approximate size of an entry in a message without its key and value.
const entryOverheadBytes = 64
