package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	observationGap = time.Second            // between looks; after a longer one, this process may have been frozen
	leaveGrace     = 500 * time.Millisecond // in which a member that said goodbye is still heard
	tellLimit      = 400 * time.Millisecond // for telling others of a new view; who misses it hears of it otherwise
)

// observation tells since when this process has been in contact with a majority, and since when a replacement is due.
type observation struct {
	looked time.Time // newest look
	since  time.Time // in contact without interruption; zero while it is not
	due    time.Time // zero while nothing is due
}

// look takes note of the contact at a time.
func (o *observation) look(now time.Time, inContact bool) {
	if !inContact || o.since.IsZero() || now.Sub(o.looked) > observationGap {
		o.since, o.due = time.Time{}, time.Time{}
	}
	if inContact && o.since.IsZero() {
		o.since = now
	}
	o.looked = now
}

// waited returns how long a replacement has been due, given whether it is now.
func (o *observation) waited(now time.Time, due bool) time.Duration {
	if !due {
		o.due = time.Time{}
		return 0
	}
	if o.due.IsZero() {
		o.due = now
	}
	return now.Sub(o.due)
}

// JoiningMembersWait tells whether this process is a member, and somebody waits to become one.
func (m *Manager) JoiningMembersWait() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.joiningMembers.forget(time.Now())
	return m.config.Succession != nil && m.view.Has(m.config.Self) && len(m.joiningMembers) > 0
}

// finishPending settles the next view if one was begun that this member knows of.
func (m *Manager) finishPending(ctx context.Context) {
	current := m.View()
	if m.config.Succession == nil || !current.Has(m.config.Self) {
		return
	}
	next, found, err := m.config.Succession.Pending(current)
	if err != nil {
		m.config.Logger.Error("next view of the replicas", zap.Error(err))
		return
	}
	if found {
		m.replace(ctx, current, next)
	}
}

// considerReplacing settles the next view if a member is to be replaced, and it is this process's turn.
func (m *Manager) considerReplacing(ctx context.Context) {
	observed := &m.observed
	contacts := m.config.Contacts()
	now := time.Now()
	observed.look(now, contacts.Majority)
	if observed.since.IsZero() {
		return
	}
	current, silent, entering := m.situation(now, now.Sub(observed.since), contacts.Silence)
	next, due := successor(current, entering, silent)
	turn := time.Duration(rank(current, m.config.Self, silent)) * rankDelay
	if waited := observed.waited(now, due); !due || waited < turn {
		return
	}
	m.replace(ctx, current, next)
}

// situation returns the view, its members that may be replaced, and the joining members that may enter.
func (m *Manager) situation(now time.Time, observed time.Duration, heard map[string]time.Duration) (View, []silentMember, []joiningMember) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var silent []silentMember
	for _, address := range m.without(m.view.Members) {
		silence, found := heard[address]
		if !found {
			silence = now.Sub(m.entered[address])
		}
		leaving := m.left(address, silence, now)
		if leaving || observed >= deadAfter && silence >= deadAfter {
			silent = append(silent, silentMember{address, silence, leaving})
		}
	}
	return m.view, silent, m.joiningMembers.due(now)
}

// left tells whether a member said goodbye and was not heard since. The caller holds the mutex.
func (m *Manager) left(address string, silence time.Duration, now time.Time) bool {
	goodbye, found := m.leaving[address]
	if !found {
		return false
	}
	if now.Sub(goodbye)-silence > leaveGrace {
		delete(m.leaving, address)
		return false
	}
	return true
}

// replace settles the next view, and tells it to all whom it concerns.
func (m *Manager) replace(ctx context.Context, current, next View) {
	limited, cancel := context.WithTimeout(ctx, commitLimit)
	defer cancel()
	committed, err := m.config.Succession.Commit(limited, current, next)
	if err != nil {
		m.config.Logger.Warn("settle the next view of the replicas", zap.Error(err))
		m.tell(ctx, current.Members)
		return
	}
	m.learned(committed)
	m.tell(ctx, slices.Concat(current.Members, committed.Members))
}

// tell exchanges views with several processes at once. It returns when all have answered, or after the limit.
func (m *Manager) tell(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range m.without(addresses) {
		calls.Go(func() { m.exchangeWith(ctx, address) })
	}
	calls.Wait()
}
