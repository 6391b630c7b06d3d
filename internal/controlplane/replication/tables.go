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
	promisedKey = "promised"
	positionKey = "position"
)

const wordBytes = 8

func stateTable(group string) string { return StateTablePrefix + group }
func metaTable(group string) string  { return MetaTablePrefix + group }

// meta is the durable part of a replica beside its state.
type meta struct {
	promised uint64
	position Position
}

func promisedChange(group string, epoch uint64) storage.Change {
	return storage.Change{Table: metaTable(group), Key: promisedKey, Value: encodeEpoch(epoch)}
}

func positionChange(group string, position Position) storage.Change {
	return storage.Change{Table: metaTable(group), Key: positionKey, Value: encodePosition(position)}
}

func encodeEpoch(epoch uint64) []byte { return binary.BigEndian.AppendUint64(nil, epoch) }

func encodePosition(position Position) []byte {
	return binary.BigEndian.AppendUint64(encodeEpoch(position.Epoch), position.Sequence)
}

// decodeMeta reads a meta table. What is absent or has another length is zero.
func decodeMeta(table map[string][]byte) meta {
	var m meta
	if value := table[promisedKey]; len(value) == wordBytes {
		m.promised = binary.BigEndian.Uint64(value)
	}
	if value := table[positionKey]; len(value) == 2*wordBytes {
		m.position.Epoch = binary.BigEndian.Uint64(value)
		m.position.Sequence = binary.BigEndian.Uint64(value[wordBytes:])
	}
	m.promised = max(m.promised, m.position.Epoch)
	return m
}

// storedGroups lists the groups that a store has tables of.
func storedGroups(store tables) []string {
	var groups []string
	for _, table := range store.Tables() {
		if group, found := strings.CutPrefix(table, MetaTablePrefix); found {
			groups = append(groups, group)
		}
	}
	return groups
}
