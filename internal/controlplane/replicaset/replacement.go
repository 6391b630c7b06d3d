package replicaset

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// leaveGracePeriod is how long after its leave request a member may still send messages. A later message shows that the member
// has restarted, and invalidates the request.
const leaveGracePeriod = 500 * time.Millisecond

// HasProposableMembers reports whether this process is a member and knows joining members that it may propose.
func (m *Manager) HasProposableMembers() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.joiningMembers.removeExpired(time.Now())
	return m.config.ViewChange != nil && m.view.Has(m.config.Self) && len(m.joiningMembers) > 0
}

// HasJoiningMember reports whether a coordinator that is not a member has announced itself within announcementRetention.
// This is longer than for HasProposableMembers, so that a departing member does not miss its successor when single announcements
// are late or lost.
func (m *Manager) HasJoiningMember() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	oldest := time.Now().Add(-announcementRetention)
	for address, received := range m.announcementReceived {
		if received.After(oldest) && !m.view.Has(address) {
			return true
		}
	}
	return false
}

// completePendingView commits the next view that this member has accepted, if there is one.
func (m *Manager) completePendingView(ctx context.Context) {
	current := m.View()
	if m.config.ViewChange == nil || !current.Has(m.config.Self) {
		return
	}
	next, found, err := m.config.ViewChange.Pending(current)
	if err != nil {
		m.config.Logger.Error("pending view not readable", zap.Error(err))
		return
	}
	if found {
		m.commitNextView(ctx, current, next)
	}
}

// replaceDueMember commits the next view if a member must be replaced, and if the members that rank before this one have had
// time to propose it.
func (m *Manager) replaceDueMember(ctx context.Context) {
	observation := &m.observation
	liveness := m.config.Liveness()
	now := time.Now()
	observation.observe(now, liveness.QuorumReachable)
	if observation.connectedSince.IsZero() {
		return
	}
	current, replaceable, joining := m.replacementCandidates(now, now.Sub(observation.connectedSince), liveness.SinceContact)
	next, found := nextView(current, joining, replaceable)
	delay := time.Duration(proposerRank(current, m.config.Self, replaceable)) * proposerDelay
	if dueFor := observation.recordDue(now, found); !found || dueFor < delay {
		return
	}
	m.commitNextView(ctx, current, next)
}

// replacementCandidates returns the current view, the members that may be replaced, and the joining members that may replace
// them.
func (m *Manager) replacementCandidates(
	now time.Time, connectedFor time.Duration, sinceContactByAddress map[string]time.Duration,
) (current View, replaceable []replaceableMember, joining []joiningMember) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, address := range m.others(m.view.Members) {
		sinceContact := m.sinceContact(address, sinceContactByAddress, now)
		departing := m.isDeparting(address, sinceContact, now)
		if departing || connectedFor >= failureTimeout && sinceContact >= failureTimeout {
			replaceable = append(replaceable, replaceableMember{address, sinceContact, departing})
		}
	}
	return m.view, replaceable, m.joiningMembers.due(now)
}

// sinceContact returns the time since the last message of the member at an address. For a member that has sent none, it returns
// the time since this process first saw it in the view. The caller must hold the mutex.
func (m *Manager) sinceContact(address string, sinceContactByAddress map[string]time.Duration, now time.Time) time.Duration {
	if sinceContact, found := sinceContactByAddress[address]; found {
		return sinceContact
	}
	return now.Sub(m.memberSince[address])
}

// isDeparting reports whether a member sent a leave request, and no message later than leaveGracePeriod after it. It deletes an
// invalidated request. The caller must hold the mutex.
func (m *Manager) isDeparting(address string, sinceContact time.Duration, now time.Time) bool {
	received, found := m.leaveReceived[address]
	if !found {
		return false
	}
	if now.Sub(received)-sinceContact > leaveGracePeriod {
		delete(m.leaveReceived, address)
		return false
	}
	return true
}

// commitNextView commits the view after the current one and exchanges it with the members of both views. If the commit fails,
// it exchanges the current view with its members, because one of them may know a newer view.
func (m *Manager) commitNextView(ctx context.Context, current, next View) {
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := m.config.ViewChange.Commit(commitCtx, current, next)
	if err != nil {
		m.config.Logger.Warn("next view not committed", zap.Uint64("version", next.Version), zap.Error(err))
		m.broadcastView(ctx, current.Members)
		return
	}
	m.learnReceived(committed)
	m.broadcastView(ctx, slices.Concat(current.Members, committed.Members))
}
