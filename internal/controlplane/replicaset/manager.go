package replicaset

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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
	absencesKey = "absences"
)

// ErrInvalidView is the refusal of a view without a version or without members.
var ErrInvalidView = errors.New("view without a version or without members")

// Founding settles the first view once and for all, on the founders.
type Founding interface {
	// Commit proposes the first view and returns the settled one, which may be another.
	Commit(ctx context.Context, view View) (View, error)
}

// Succession settles the view after the current one once and for all, on the members of the current one.
type Succession interface {
	// Commit proposes the view that follows current and returns the settled one, which may be another.
	Commit(ctx context.Context, current, next View) (View, error)
	// Pending returns the view after current that this member has accepted, as far as there is one. It must be brought to
	// its end: as long as it is neither settled nor known to the others, the members cannot settle any other.
	Pending(current View) (next View, found bool, err error)
}

// Contacts is what this process knows of the other members by its own contact with them.
type Contacts struct {
	Majority bool                     // a majority of the view, this process included, has answered of late
	Silence  map[string]time.Duration // by address, since a member was heard; absent where it never was
}

// Config names what a Manager works with.
type Config struct {
	Self            string   // this process's internal address
	Zone            string   // of this process; may be empty
	Seeds           []string // internal addresses of the seeds
	FirstStart      bool     // whether the system starts for the very first time
	CountsForQuorum bool     // whether this process is a core node, which announces itself as a replica
	Store           storage.Store
	Caller          transport.Caller
	Founding        Founding        // nil at processes that are no core nodes
	Succession      Succession      // nil where no member is ever replaced
	Contacts        func() Contacts // needed with Succession
	Logger          *zap.Logger
}

// Manager knows the current view: it takes part in founding the first one and in replacing members, keeps the view in
// the store, and exchanges it with other processes.
type Manager struct {
	config      Config
	start       time.Time
	incarnation uint64        // of this process, drawn at its start
	departing   atomic.Bool   // this process is about to stop
	founders    []string      // sorted; empty where this process may not found
	wake        chan struct{} // a joining member was heard
	failures    chan error    // of the store
	observed    observation   // belongs to Run, as do the next two
	touched     time.Time     // newest look at the contact with a majority
	wasSilent   bool          // there was none then, or this process may have been frozen before
	exchanges   int           // made by Run

	mutex          sync.Mutex // guards what follows
	view           View
	entered        map[string]time.Time // when each member was first seen in the view
	absences       uint64               // views learned that this process left, or was not part of at first
	changed        chan struct{}        // closed and replaced at each change of the view
	announcements  announcements
	joiningMembers joiningMembers
	leaving        map[string]time.Time // when members said goodbye

	storing sync.Mutex // held while a view is stored
}

// NewManager loads the view from the store. At the first start of a core node it also stores who the founders are, so
// that the founding goes on if the process is killed in its midst.
func NewManager(config Config) (*Manager, error) {
	m := &Manager{
		config: config, start: time.Now(), incarnation: max(1, rand.Uint64()), wake: make(chan struct{}, 1), failures: make(chan error, 1),
		entered: make(map[string]time.Time), changed: make(chan struct{}),
		joiningMembers: make(joiningMembers), leaving: make(map[string]time.Time),
	}
	if err := m.load(); err != nil {
		return nil, err
	}
	if m.view.Version == 0 && len(m.founders) == 0 && config.FirstStart && config.CountsForQuorum {
		if err := m.storeFounders(); err != nil {
			return nil, err
		}
	}
	m.announcements = newAnnouncements(m.start)
	m.noteEntered(m.start)
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
	if encoded, found := table[absencesKey]; found {
		if len(encoded) != absencesBytes {
			return fmt.Errorf("decode absences: %d bytes", len(encoded))
		}
		m.absences = binary.BigEndian.Uint64(encoded)
	}
	return nil
}

// absencesBytes is the length of the stored number of absences.
const absencesBytes = 8

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

// Absences returns how often this process's store has learned a view that this process had left, or, as the first one,
// a view that it was no part of. While the number stays the same, a member has been one without interruption.
func (m *Manager) Absences() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.absences
}

// Founders returns the sorted internal addresses on which the first view is settled; none where this process did not see
// the first start. They must not be modified.
func (m *Manager) Founders() []string { return m.founders }

// Incarnation is this process's own number. It is never 0, and with it a view tells the process that entered from a later
// one at the same address.
func (m *Manager) Incarnation() uint64 { return m.incarnation }

// Learn takes a view from another process. Where it is newer it is stored first and then becomes the current one.
func (m *Manager) Learn(view View) error {
	if view.Version == 0 || len(view.Members) == 0 {
		return ErrInvalidView
	}
	m.storing.Lock()
	defer m.storing.Unlock()
	known := m.View()
	if view.Version <= known.Version {
		return nil
	}
	absences := m.Absences()
	if !view.Has(m.config.Self) && (known.Version == 0 || known.Has(m.config.Self)) {
		absences++
	}
	if err := m.storeView(view, absences); err != nil {
		return err
	}
	m.adopt(view, absences)
	m.config.Logger.Info("view of the replicas", zap.Uint64("version", view.Version), zap.Strings("members", view.Members))
	return nil
}

// storeView stores the view together with the number of absences, in one write.
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

func (m *Manager) adopt(view View, absences uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.view, m.absences = view, absences
	m.noteEntered(time.Now())
	clear(m.joiningMembers)
	close(m.changed)
	m.changed = make(chan struct{})
}

// noteEntered remembers since when each member has been in the view. The caller holds the mutex.
func (m *Manager) noteEntered(now time.Time) {
	entered := make(map[string]time.Time, len(m.view.Members))
	for _, address := range m.view.Members {
		entered[address] = now
		if before, found := m.entered[address]; found {
			entered[address] = before
		}
	}
	m.entered = entered
}
