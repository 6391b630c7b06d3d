package storage

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

// entryOverheadBytes is the estimated length on disk of an entry without its table name, key and value, in bytes.
const entryOverheadBytes = 16

// Tables maps table names to tables, which map keys to values. The values must not be modified.
type Tables = map[string]map[string][]byte

// SnapshotStore is a Store that also returns consistent snapshots of all its tables.
type SnapshotStore interface {
	Store
	// Snapshot returns a copy of all tables. It has all changes of a write or none.
	Snapshot() Tables
}

// guardedContents holds the tables of a store and implements the read methods. They are safe for concurrent use.
type guardedContents struct {
	mutex    sync.RWMutex // guards contents
	contents *contents
}

func newGuardedContents() guardedContents { return guardedContents{contents: newContents()} }

// Tables implements Store.
func (g *guardedContents) Tables() []string {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.contents.names()
}

// Table implements Store.
func (g *guardedContents) Table(name string) map[string][]byte {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.contents.table(name)
}

// Snapshot implements SnapshotStore.
func (g *guardedContents) Snapshot() Tables {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.contents.snapshot()
}

// contents holds tables and an estimate of their size on disk. It is not safe for concurrent use.
type contents struct {
	tables         Tables
	estimatedBytes int64
}

func newContents() *contents { return &contents{tables: Tables{}} }

func entrySize(table, key string, value []byte) int64 {
	return int64(len(table) + len(key) + len(value) + entryOverheadBytes)
}

func (c *contents) apply(changes []Change) {
	for _, change := range changes {
		c.applyChange(change)
	}
}

func (c *contents) applyChange(change Change) {
	switch {
	case change.Value != nil:
		c.set(change)
	case change.Key == "":
		c.clear(change.Table)
	default:
		c.remove(change.Table, change.Key)
	}
}

func (c *contents) set(change Change) {
	c.remove(change.Table, change.Key)
	table := c.tables[change.Table]
	if table == nil {
		table = make(map[string][]byte)
		c.tables[change.Table] = table
	}
	table[change.Key] = change.Value
	c.estimatedBytes += entrySize(change.Table, change.Key, change.Value)
}

func (c *contents) remove(name, key string) {
	table := c.tables[name]
	value, found := table[key]
	if !found {
		return
	}
	c.estimatedBytes -= entrySize(name, key, value)
	delete(table, key)
	if len(table) == 0 {
		delete(c.tables, name)
	}
}

func (c *contents) clear(name string) {
	for key, value := range c.tables[name] {
		c.estimatedBytes -= entrySize(name, key, value)
	}
	delete(c.tables, name)
}

func (c *contents) names() []string { return slices.Sorted(maps.Keys(c.tables)) }

func (c *contents) table(name string) map[string][]byte {
	copied := make(map[string][]byte, len(c.tables[name]))
	maps.Copy(copied, c.tables[name])
	return copied
}

func (c *contents) snapshot() Tables {
	copied := make(Tables, len(c.tables))
	for name := range c.tables {
		copied[name] = c.table(name)
	}
	return copied
}

// cloneChanges returns a deep copy of changes, so that the caller may reuse its buffers.
func cloneChanges(changes []Change) []Change {
	cloned := slices.Clone(changes)
	for i := range cloned {
		cloned[i].Value = bytes.Clone(cloned[i].Value)
	}
	return cloned
}
