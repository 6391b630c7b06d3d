package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	maxObservationGap = time.Second            // between looks; after a longer one, this process may have been frozen
	leaveGracePeriod  = 500 * time.Millisecond // in which a member that said goodbye is still heard
	broadcastTimeout  = 400 * time.Millisecond // for telling others of a new view; who misses it hears of it otherwise
)

// observation tells since when this process has been in contact with a majority, and since when a replacement is due.
type observation struct {
	lastObserved   time.Time // newest look
	connectedSince time.Time // in contact without interruption; zero while it is not
	dueSince       time.Time // zero while nothing is due
}

// look takes note of the contact at a time.
func (o *observation) observe(now time.Time, connected bool) {
	if !connected || o.connectedSince.IsZero() || now.Sub(o.lastObserved) > maxObservationGap {
		o.connectedSince, o.dueSince = time.Time{}, time.Time{}
	}
	if connected && o.connectedSince.IsZero() {
		o.connectedSince = now
	}
	o.lastObserved = now
}

// dueFor returns how long a replacement has been due, given whether it is now.
func (o *observation) dueFor(now time.Time, due bool) time.Duration {
	if !due {
		o.dueSince = time.Time{}
		return 0
	}
	if o.dueSince.IsZero() {
		o.dueSince = now
	}
	return now.Sub(o.dueSince)
}

// HasJoiningMembers tells whether this process is a member, and somebody waits to become one.
func (m *Manager) HasJoiningMembers() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.joiningMembers.removeExpired(time.Now())
	return m.config.Succession != nil && m.view.Has(m.config.Self) && len(m.joiningMembers) > 0
}

// completePendingView settles the next view if one was begun that this member knows of.
func (m *Manager) completePendingView(ctx context.Context) {
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
		m.commitNextView(ctx, current, next)
	}
}

// replaceDueMember settles the next view if a member is to be replaced, and it is this process's turn.
func (m *Manager) replaceDueMember(ctx context.Context) {
	observation := &m.observation
	liveness := m.config.Liveness()
	now := time.Now()
	observation.observe(now, liveness.QuorumReachable)
	if observation.connectedSince.IsZero() {
		return
	}
	current, replaceable, joining := m.replacementCandidates(now, now.Sub(observation.connectedSince), liveness.SinceHeard)
	next, due := nextView(current, joining, replaceable)
	delay := time.Duration(proposerRank(current, m.config.Self, replaceable)) * proposerDelay
	if dueFor := observation.dueFor(now, due); !due || dueFor < delay {
		return
	}
	m.commitNextView(ctx, current, next)
}

// replacementCandidates returns the view, its members that may be replaced, and the joining members that may enter.
func (m *Manager) replacementCandidates(now time.Time, connectedFor time.Duration, sinceHeardBy map[string]time.Duration) (View, []replaceableMember, []joiningMember) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var replaceable []replaceableMember
	for _, address := range m.others(m.view.Members) {
		sinceHeard, found := sinceHeardBy[address]
		if !found {
			sinceHeard = now.Sub(m.memberSince[address])
		}
		leaving := m.hasLeft(address, sinceHeard, now)
		if leaving || connectedFor >= failureTimeout && sinceHeard >= failureTimeout {
			replaceable = append(replaceable, replaceableMember{address, sinceHeard, leaving})
		}
	}
	return m.view, replaceable, m.joiningMembers.due(now)
}

// hasLeft tells whether a member said goodbye and was not heard since. The caller holds the mutex.
func (m *Manager) hasLeft(address string, sinceHeard time.Duration, now time.Time) bool {
	received, found := m.leaveReceived[address]
	if !found {
		return false
	}
	if now.Sub(received)-sinceHeard > leaveGracePeriod {
		delete(m.leaveReceived, address)
		return false
	}
	return true
}

// replace settles the next view, and tells it to all whom it concerns.
func (m *Manager) commitNextView(ctx context.Context, current, next View) {
	limited, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := m.config.Succession.Commit(limited, current, next)
	if err != nil {
		m.config.Logger.Warn("settle the next view of the replicas", zap.Error(err))
		m.broadcastView(ctx, current.Members)
		return
	}
	m.learnReceived(committed)
	m.broadcastView(ctx, slices.Concat(current.Members, committed.Members))
}

// tell exchanges views with several processes at once. It returns when all have answered, or after the limit.
func (m *Manager) broadcastView(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range m.others(addresses) {
		calls.Go(func() { m.exchangeWith(ctx, address) })
	}
	calls.Wait()
}
