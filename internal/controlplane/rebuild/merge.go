package rebuild

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// installInterval is the time between attempts to write the copies to a full disk.
const installInterval = 250 * time.Millisecond

// mergers are the registered mergers by the prefix of the tables' names.
type mergers struct{ chunks []chunk }

// chunk is a set of tables that are merged together.
type chunk struct {
	prefixes []string
	merge    Merger
}

func (p chunk) has(table string) bool {
	return slices.ContainsFunc(p.prefixes, func(prefix string) bool { return strings.HasPrefix(table, prefix) })
}

// selectFrom returns the part's tables of one copy.
func (p chunk) selectFrom(tables storage.Tables) storage.Tables {
	selected := make(storage.Tables)
	for name, table := range tables {
		if p.has(name) {
			selected[name] = table
		}
	}
	return selected
}

func (m *mergers) add(merge Merger, prefixes []string) {
	m.chunks = append(m.chunks, chunk{prefixes, merge})
}

// merge makes one set of tables from the copies of several members.
func (m *mergers) merge(copies []storage.Tables) (storage.Tables, error) {
	if err := m.checkAll(copies); err != nil {
		return nil, err
	}
	merged := make(storage.Tables)
	for _, chunk := range m.chunks {
		var selected []storage.Tables
		for _, tables := range copies {
			selected = append(selected, chunk.selectFrom(tables))
		}
		tables, err := chunk.merge(selected)
		if err != nil {
			return nil, err
		}
		maps.Copy(merged, tables)
	}
	return merged, nil
}

// checkAll fails where a table would be left out.
func (m *mergers) checkAll(copies []storage.Tables) error {
	for _, tables := range copies {
		for name := range tables {
			known := func(p chunk) bool { return p.has(name) }
			if !slices.ContainsFunc(m.chunks, known) {
				return fmt.Errorf("%w: %s", ErrNoMerger, name)
			}
		}
	}
	return nil
}

// install replaces all replicated tables by the merged copies and marks this member complete, in one write. So a crash
// leaves it incomplete, and it starts over. absences is this process's number of them when the copies were taken. A full
// disk is asked again until it takes the write: this member votes for nothing before, so the copies lack no vote of its
// own.
func (r *Rebuilder) install(ctx context.Context, copies []storage.Tables, absences uint64) error {
	merged, err := r.mergers.merge(copies)
	if err != nil {
		return err
	}
	var changes []storage.Change
	for _, name := range r.config.Store.Tables() {
		if name != TableName && name != replicaset.TableName {
			changes = append(changes, storage.Change{Table: name})
		}
	}
	for name, table := range merged {
		for key, value := range table {
			changes = append(changes, storage.Change{Table: name, Key: key, Value: value})
		}
	}
	changes = append(changes, completeChange(absences))
	for {
		err := r.config.Store.Write(changes...)
		if !storage.IsFull(err) {
			return err
		}
		r.config.Logger.Warn("the disk is too full for the copies", zap.Error(err))
		if err := sleep(ctx, installInterval); err != nil {
			return err
		}
	}
}
