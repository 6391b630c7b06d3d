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

// ErrInvalidView is returned for a view without a version or without members.
var ErrInvalidView = errors.New("view without a version or without members")

// Manager maintains this process's current view. It participates in committing the first view and in replacing members,
// stores the view, and exchanges it with other processes. Its methods are safe for concurrent use, but Run may be called
// only once.
type Manager struct {
	config            Config
	startTime         time.Time
	incarnation       uint64            // random number that identifies this process; a restarted one has another
	departing         atomic.Bool       // this process is about to stop
	founders          []string          // sorted; empty if this process does not participate in the bootstrap
	wake              wakeup.Signal     // notified when a joining member announces itself or a member sends a leave request
	storeFailures     chan error        // errors that end Run
	observation       quorumObservation // used only by Run, like the next three fields
	lastLivenessCheck time.Time
	wasDisconnected   bool // at lastLivenessCheck no quorum was reachable, or this process may have been suspended before it
	exchangeCount     int  // selects the next member to exchange views with

	mutex          sync.Mutex // guards the fields below up to announcementReceived
	view           View
	memberSince    map[string]time.Time // when each member was first seen in the view
	absences       uint64               // see Absences
	changed        chan struct{}        // closed and replaced at each change of the view
	announcements  announcements
	joiningMembers joiningMembers
	leaveReceived  map[string]time.Time // by address, when the latest leave request arrived

	announcementReceived map[string]time.Time // by address, when the latest announcement of a process that was not a member arrived

	storeMutex sync.Mutex // serializes the storing of views
}

// NewManager creates a Manager and loads the view from the store. At the first start of a coordinator it also stores the list
// of founders, so that a process that is killed during the bootstrap resumes it after a restart.
func NewManager(config Config) (*Manager, error) {
	m := &Manager{
		config: config, startTime: time.Now(), incarnation: max(1, rand.Uint64()),
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
	m.announcements = newAnnouncements(m.startTime)
	m.updateMemberSince(m.startTime)
	return m, nil
}

// View returns the current view, which has version 0 if none is known. The caller must not modify the members.
func (m *Manager) View() View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view
}

// Changed returns a channel that is closed when the view changes. Call it before View in order not to miss a change.
func (m *Manager) Changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changed
}

// Absences returns how many times this process has learned that it is not a member: either its first view did not contain
// it, or a newer view removed it. The number is kept in the store. While it does not change, a member has been a member
// without interruption.
func (m *Manager) Absences() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.absences
}

// Founders returns the sorted internal addresses of the processes that commit the first view. It is empty if this process did
// not take part in the first start. The caller must not modify it.
func (m *Manager) Founders() []string { return m.founders }

// Incarnation returns the random number that identifies this process. It is never 0. A view contains the number of the
// joining member's process, which distinguishes that process from a later one at the same address.
func (m *Manager) Incarnation() uint64 { return m.incarnation }

// Learn stores a view that was received from another process, and then makes it the current one. It does nothing if the view
// is not newer than the current one. It returns ErrInvalidView, or the store's error.
func (m *Manager) Learn(view View) error {
	if view.Version == 0 || len(view.Members) == 0 {
		return ErrInvalidView
	}
	m.storeMutex.Lock()
	defer m.storeMutex.Unlock()
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

// setView makes a stored view the current one. It discards the joining members, because their announcements referred to the
// previous view.
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

// updateMemberSince records when this process first saw each current member in the view. The caller must hold the mutex.
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
