package replicaset

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// TableName is the store's table of the view. It is each member's own and no part of what the members replicate.
const TableName = "replicaset"

// Keys of the table.
const (
	viewKey     = "view"
	foundersKey = "founders"
)

// ErrInvalidView is the refusal of a view without a version or without members.
var ErrInvalidView = errors.New("view without a version or without members")

// Founding settles the first view once and for all, on the founders.
type Founding interface {
	// Settle proposes the first view and returns the settled one, which may be another.
	Settle(ctx context.Context, view View) (View, error)
}

// Config names what a Manager works with.
type Config struct {
	Self            string   // this process's internal address
	Seeds           []string // internal addresses of the seeds
	FirstStart      bool     // whether the system starts for the very first time
	CountsForQuorum bool     // whether this process is a core mixer, which announces itself as a replica
	Store           storage.Store
	Caller          transport.Caller
	Founding        Founding // nil at processes that are no core mixers
	Logger          *zap.Logger
}

// Manager knows the current view: it takes part in founding the first one, keeps the view in the store, and exchanges it
// with other processes.
type Manager struct {
	config   Config
	start    time.Time
	founders []string // sorted; empty where this process may not found

	mutex         sync.Mutex // guards what follows
	view          View
	changed       chan struct{} // closed and replaced at each change of the view
	announcements announcements

	storing sync.Mutex // held while a view is stored
}

// NewManager loads the view from the store. At the first start of a core mixer it also stores who the founders are, so
// that the founding goes on if the process is killed in its midst.
func NewManager(config Config) (*Manager, error) {
	m := &Manager{config: config, start: time.Now(), changed: make(chan struct{})}
	if err := m.load(); err != nil {
		return nil, err
	}
	if m.view.Version == 0 && len(m.founders) == 0 && config.FirstStart && config.CountsForQuorum {
		if err := m.storeFounders(); err != nil {
			return nil, err
		}
	}
	m.announcements = newAnnouncements(m.start)
	return m, nil
}

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
	return nil
}

func (m *Manager) storeFounders() error {
	founders := slices.Sorted(slices.Values(m.config.Seeds))
	founders = slices.Compact(founders)
	if err := m.store(foundersKey, founders); err != nil {
		return err
	}
	m.founders = founders
	return nil
}

func (m *Manager) store(key string, value any) error {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if err := m.config.Store.Write(storage.Change{Table: TableName, Key: key, Value: encoded}); err != nil {
		return fmt.Errorf("store %s: %w", key, err)
	}
	return nil
}

// View returns the current view; its version is 0 while none is known. The members must not be modified.
func (m *Manager) View() View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view
}

// Changed returns a channel that is closed at the next change of the view. Take it before View, so as to miss none.
func (m *Manager) Changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changed
}

// Founders returns the sorted internal addresses on which the first view is settled; none where this process did not see
// the first start. They must not be modified.
func (m *Manager) Founders() []string { return m.founders }

// Learn takes a view from another process. Where it is newer it is stored first and then becomes the current one.
func (m *Manager) Learn(view View) error {
	if view.Version == 0 || len(view.Members) == 0 {
		return ErrInvalidView
	}
	m.storing.Lock()
	defer m.storing.Unlock()
	if view.Version <= m.View().Version {
		return nil
	}
	if err := m.store(viewKey, view); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.view = view
	close(m.changed)
	m.changed = make(chan struct{})
	m.config.Logger.Info("view of the replicas", zap.Uint64("version", view.Version), zap.Strings("members", view.Members))
	return nil
}
