package replication

import (
	"encoding/binary"
	"strings"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Prefixes of the tables of the store; the rest of a table's name is the group's.
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

const uint64Bytes = 8

func stateTable(group string) string { return StateTablePrefix + group }
func metaTable(group string) string  { return MetaTablePrefix + group }

// meta is the durable part of a replica beside its state.
type meta struct {
	term     uint64
	votedFor string // as replica.votedFor
	position Position
}

// termChanges make a term durable, together with whom the vote was given to.
func termChanges(group string, term uint64, candidate string) []storage.Change {
	table := metaTable(group)
	return []storage.Change{
		{Table: table, Key: termKey, Value: encodeTerm(term)},
		{Table: table, Key: votedForKey, Value: []byte(candidate)},
	}
}

// stateChanges set entries in a group's state. A snapshot clears the state first.
func stateChanges(group string, snapshot bool, entries []Entry) []storage.Change {
	table := stateTable(group)
	changes := make([]storage.Change, 0, len(entries)+4) // room for the clearing, the term and the position
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

// decodeMeta reads a meta table. What is absent or has another length is zero.
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

// storedGroups lists the groups that a store has tables of.
func storedGroups(store tableReader) []string {
	var groups []string
	for _, table := range store.Tables() {
		if group, found := strings.CutPrefix(table, MetaTablePrefix); found {
			groups = append(groups, group)
		}
	}
	return groups
}
