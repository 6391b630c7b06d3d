package replicaset

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// TableName is the name of the store's table for the view. The table is local to each process and is not replicated.
const TableName = "replicaset"

// Keys of the table.
const (
	viewKey     = "view"
	foundersKey = "founders"
	absencesKey = "absences"
)

// absencesBytes is the length in bytes of the stored number of absences.
const absencesBytes = 8

// errInvalidAbsences reports that the stored number of absences does not have absencesBytes bytes.
var errInvalidAbsences = errors.New("number of absences of a wrong length")

// load reads the view, the founders and the number of absences from the store. Values that are not stored keep their zero value.
func (m *Manager) load() error {
	table := m.config.Store.Table(TableName)
	if encoded, found := table[viewKey]; found {
		if err := msgpack.Unmarshal(encoded, &m.view); err != nil {
			return fmt.Errorf("decode view: %w", err)
		}
	}
	if encoded, found := table[foundersKey]; found {
		if err := msgpack.Unmarshal(encoded, &m.founders); err != nil {
			return fmt.Errorf("decode founders: %w", err)
		}
	}
	if encoded, found := table[absencesKey]; found {
		if len(encoded) != absencesBytes {
			return fmt.Errorf("decode absences: %w: %d bytes", errInvalidAbsences, len(encoded))
		}
		m.absences = binary.BigEndian.Uint64(encoded)
	}
	return nil
}

// storeFounders stores the seeds as the founders.
func (m *Manager) storeFounders() error {
	founders := slices.Sorted(slices.Values(m.config.Seeds))
	founders = slices.Compact(founders)
	encoded, err := msgpack.Marshal(founders)
	if err != nil {
		return fmt.Errorf("encode founders: %w", err)
	}
	if err := m.config.Store.Write(storage.Change{Table: TableName, Key: foundersKey, Value: encoded}); err != nil {
		return fmt.Errorf("store founders: %w", err)
	}
	m.founders = founders
	return nil
}

// storeView stores the view and the number of absences in one write.
func (m *Manager) storeView(view View, absences uint64) error {
	encoded, err := msgpack.Marshal(view)
	if err != nil {
		return fmt.Errorf("encode view: %w", err)
	}
	err = m.config.Store.Write(
		storage.Change{Table: TableName, Key: viewKey, Value: encoded},
		storage.Change{Table: TableName, Key: absencesKey, Value: binary.BigEndian.AppendUint64(nil, absences)},
	)
	if err != nil {
		return fmt.Errorf("store view: %w", err)
	}
	return nil
}
