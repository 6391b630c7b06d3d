package replication

import (
	"encoding/binary"
	"strings"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Prefixes of the names of stored tables. The rest of a name is the name of the group.
const (
	StateTablePrefix = "group/"
	MetaTablePrefix  = "group-meta/"
)

// Keys of a meta table.
const (
	termKey     = "promised"
	votedForKey = "candidate"
	positionKey = "position"
)

// uint64Bytes is the size of an encoded number in bytes.
const uint64Bytes = 8

func stateTable(group string) string { return StateTablePrefix + group }
func metaTable(group string) string  { return MetaTablePrefix + group }

// meta is the durable data of a replica other than its state.
type meta struct {
	term     uint64
	votedFor string // see replica.votedFor
	position Position
}

// termChanges returns the writes that store a term and the candidate that the replica voted for in it.
func termChanges(group string, term uint64, candidate string) []storage.Change {
	table := metaTable(group)
	return []storage.Change{
		{Table: table, Key: termKey, Value: encodeTerm(term)},
		{Table: table, Key: votedForKey, Value: []byte(candidate)},
	}
}

// stateChanges returns the writes that set entries in a group's state. For a snapshot, the first one clears the state.
func stateChanges(group string, snapshot bool, entries []Entry) []storage.Change {
	table := stateTable(group)
	changes := make([]storage.Change, 0, len(entries)+4) // capacity for clearing the state, and for the term and the position
	if snapshot {
		changes = append(changes, storage.Change{Table: table})
	}
	for _, entry := range entries {
		changes = append(changes, storage.Change{Table: table, Key: entry.Key, Value: entry.Value})
	}
	return changes
}

func positionChange(group string, position Position) storage.Change {
	return storage.Change{Table: metaTable(group), Key: positionKey, Value: encodePosition(position)}
}

func encodeTerm(term uint64) []byte { return binary.BigEndian.AppendUint64(nil, term) }

func encodePosition(position Position) []byte {
	return binary.BigEndian.AppendUint64(encodeTerm(position.Term), position.Index)
}

// decodeMeta decodes a meta table. A number that is absent or has the wrong length is zero. If the position has a higher term than
// the stored one, that term applies, and no vote is known in it.
func decodeMeta(table map[string][]byte) meta {
	var m meta
	if value := table[termKey]; len(value) == uint64Bytes {
		m.term = binary.BigEndian.Uint64(value)
	}
	if value := table[positionKey]; len(value) == 2*uint64Bytes {
		m.position.Term = binary.BigEndian.Uint64(value)
		m.position.Index = binary.BigEndian.Uint64(value[uint64Bytes:])
	}
	m.votedFor = string(table[votedForKey])
	if m.position.Term > m.term {
		m.term, m.votedFor = m.position.Term, ""
	}
	return m
}

// storedGroups returns the names of the groups that have a meta table in a store.
func storedGroups(store tableReader) []string {
	var groups []string
	for _, table := range store.Tables() {
		if group, found := strings.CutPrefix(table, MetaTablePrefix); found {
			groups = append(groups, group)
		}
	}
	return groups
}
