package replicaset

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/wakeup"
)

// ErrInvalidView is the refusal of a view without a version or without members.
var ErrInvalidView = errors.New("view without a version or without members")

// Manager knows the current view: it takes part in founding the first one and in replacing members, keeps the view in
// the store, and exchanges it with other processes. Its methods may be called concurrently; Run only once.
type Manager struct {
	config            Config
	start             time.Time
	incarnation       uint64        // of this process, drawn at its start
	departing         atomic.Bool   // this process is about to stop
	founders          []string      // sorted; empty where this process takes no part in the founding
	wake              wakeup.Signal // a joining member announced itself, or a member sent a leave request
	storeFailures     chan error    // that end Run
	observation       observation   // belongs to Run, as do the next three
	lastLivenessCheck time.Time
	wasDisconnected   bool // no quorum was reachable then, or this process may have been frozen before
	exchangeCount     int  // picks the member to exchange views with

	mutex          sync.Mutex // guards what follows
	view           View
	memberSince    map[string]time.Time // when each member was first seen in the view
	absences       uint64               // as Absences returns them
	changed        chan struct{}        // closed and replaced at each change of the view
	announcements  announcements
	joiningMembers joiningMembers
	leaveReceived  map[string]time.Time // by address, when the newest leave request came

	announcementReceived map[string]time.Time // by address of a process that was no member then, when its newest announcement came

	storing sync.Mutex // held while a view is stored
}

// NewManager loads the view from the store. At the first start of a core node it also stores who the founders are, so
// that the founding resumes if the process is killed meanwhile.
func NewManager(config Config) (*Manager, error) {
	m := &Manager{
		config: config, start: time.Now(), incarnation: max(1, rand.Uint64()),
		wake: wakeup.New(), storeFailures: make(chan error, 1),
		memberSince: make(map[string]time.Time), changed: make(chan struct{}),
		joiningMembers: make(joiningMembers), leaveReceived: make(map[string]time.Time),
		announcementReceived: make(map[string]time.Time),
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
	m.updateMemberSince(m.start)
	return m, nil
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

// Founders returns the sorted internal addresses on which the first view is committed; none where this process did not see
// the first start. They must not be modified.
func (m *Manager) Founders() []string { return m.founders }

// Incarnation is this process's own number. It is never 0, and with it a view tells the process that entered from a later
// one at the same address.
func (m *Manager) Incarnation() uint64 { return m.incarnation }

// Learn makes a view that was received from another process the current one if it is newer, after it has stored it. It returns
// ErrInvalidView, or the store's error.
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
	m.setView(view, absences)
	m.config.Logger.Info("view changed", zap.Uint64("version", view.Version), zap.Strings("members", view.Members))
	return nil
}

// setView makes a stored view the current one. Announcements were made with the view before, so they count no longer.
func (m *Manager) setView(view View, absences uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.view, m.absences = view, absences
	m.updateMemberSince(time.Now())
	clear(m.joiningMembers)
	maps.DeleteFunc(m.announcementReceived, func(address string, _ time.Time) bool { return view.Has(address) })
	close(m.changed)
	m.changed = make(chan struct{})
}

// updateMemberSince records since when each member has been in the view, as far as this process knows. The caller holds the mutex.
func (m *Manager) updateMemberSince(now time.Time) {
	memberSince := make(map[string]time.Time, len(m.view.Members))
	for _, address := range m.view.Members {
		memberSince[address] = now
		if before, found := m.memberSince[address]; found {
			memberSince[address] = before
		}
	}
	m.memberSince = memberSince
}
