package rebuild

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Merger merges a group of tables from the snapshots of a majority of the other members. Each snapshot shows the state of a
// member at one instant, and contains only the tables of the group.
type Merger func(snapshots []storage.Tables) (storage.Tables, error)

// Infallible converts a merge function that returns no error to a Merger.
func Infallible(merge func(snapshots []storage.Tables) storage.Tables) Merger {
	return func(snapshots []storage.Tables) (storage.Tables, error) { return merge(snapshots), nil }
}

// mergers is the list of registered mergers, each with its group of tables.
type mergers struct{ groups []tableGroup }

// tableGroup is the group of tables that one Merger handles. A table belongs to it if its name has one of the prefixes.
type tableGroup struct {
	prefixes []string
	merge    Merger
}

func (g tableGroup) has(table string) bool {
	return slices.ContainsFunc(g.prefixes, func(prefix string) bool { return strings.HasPrefix(table, prefix) })
}

// selectFrom returns the tables of one snapshot that belong to the group.
func (g tableGroup) selectFrom(tables storage.Tables) storage.Tables {
	selected := make(storage.Tables)
	for name, table := range tables {
		if g.has(name) {
			selected[name] = table
		}
	}
	return selected
}

func (m *mergers) add(merge Merger, prefixes []string) {
	m.groups = append(m.groups, tableGroup{prefixes, merge})
}

// merge merges the snapshots of several members, group by group.
func (m *mergers) merge(snapshots []storage.Tables) (storage.Tables, error) {
	if err := m.checkTablesHaveMerger(snapshots); err != nil {
		return nil, err
	}
	merged := make(storage.Tables)
	for _, group := range m.groups {
		var selected []storage.Tables
		for _, tables := range snapshots {
			selected = append(selected, group.selectFrom(tables))
		}
		tables, err := group.merge(selected)
		if err != nil {
			return nil, err
		}
		maps.Copy(merged, tables)
	}
	return merged, nil
}

// checkTablesHaveMerger returns ErrNoMerger if a snapshot contains a table that belongs to no group.
func (m *mergers) checkTablesHaveMerger(snapshots []storage.Tables) error {
	for _, tables := range snapshots {
		for name := range tables {
			known := func(group tableGroup) bool { return group.has(name) }
			if !slices.ContainsFunc(m.groups, known) {
				return fmt.Errorf("%w: %s", ErrNoMerger, name)
			}
		}
	}
	return nil
}
