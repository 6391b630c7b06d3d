package replicaset

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// leaveGracePeriod is how long after its leave request a member may still send messages. One that sends later has restarted,
// and the request counts no more.
const leaveGracePeriod = 500 * time.Millisecond

// HasJoiningMembers tells whether this process is a member and knows core nodes that wait to become members.
func (m *Manager) HasJoiningMembers() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.joiningMembers.removeExpired(time.Now())
	return m.config.Succession != nil && m.view.Has(m.config.Self) && len(m.joiningMembers) > 0
}

// KnowsJoiningMember tells whether a core node that is no member has announced itself lately. It remembers longer than
// HasJoiningMembers: an announcement that is late or lost must not let a departing member believe that it has no successor.
func (m *Manager) KnowsJoiningMember() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	oldest := time.Now().Add(-announcementMemory)
	for address, received := range m.announcementReceived {
		if received.After(oldest) && !m.view.Has(address) {
			return true
		}
	}
	return false
}

// completePendingView commits the next view if this member has accepted one.
func (m *Manager) completePendingView(ctx context.Context) {
	current := m.View()
	if m.config.Succession == nil || !current.Has(m.config.Self) {
		return
	}
	next, found, err := m.config.Succession.Pending(current)
	if err != nil {
		m.config.Logger.Error("pending view not readable", zap.Error(err))
		return
	}
	if found {
		m.commitNextView(ctx, current, next)
	}
}

// replaceDueMember commits the next view if a member is to be replaced, and the members that are to propose it before this
// one have had the time to.
func (m *Manager) replaceDueMember(ctx context.Context) {
	observation := &m.observation
	liveness := m.config.Liveness()
	now := time.Now()
	observation.observe(now, liveness.QuorumReachable)
	if observation.connectedSince.IsZero() {
		return
	}
	current, replaceable, joining := m.replacementCandidates(now, now.Sub(observation.connectedSince), liveness.SinceContact)
	next, due := nextView(current, joining, replaceable)
	delay := time.Duration(proposerRank(current, m.config.Self, replaceable)) * proposerDelay
	if dueFor := observation.dueFor(now, due); !due || dueFor < delay {
		return
	}
	m.commitNextView(ctx, current, next)
}

// replacementCandidates returns the view, its members that may be replaced, and the joining members that may enter.
func (m *Manager) replacementCandidates(
	now time.Time, connectedFor time.Duration, sinceContactBy map[string]time.Duration,
) (current View, replaceable []replaceableMember, joining []joiningMember) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, address := range m.others(m.view.Members) {
		sinceContact := m.sinceContact(address, sinceContactBy, now)
		departing := m.isDeparting(address, sinceContact, now)
		if departing || connectedFor >= failureTimeout && sinceContact >= failureTimeout {
			replaceable = append(replaceable, replaceableMember{address, sinceContact, departing})
		}
	}
	return m.view, replaceable, m.joiningMembers.due(now)
}

// sinceContact is the time since a member's last message, by address; one that has sent none counts from when it entered the view.
// The caller holds the mutex.
func (m *Manager) sinceContact(address string, sinceContactBy map[string]time.Duration, now time.Time) time.Duration {
	if sinceContact, found := sinceContactBy[address]; found {
		return sinceContact
	}
	return now.Sub(m.memberSince[address])
}

// isDeparting tells whether a member sent a leave request, and no message after its grace period. The caller holds the mutex.
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

// commitNextView commits the view after the current one, and sends it to the members of both. Where it fails it sends the
// current one to its members, of which one may know a newer view.
func (m *Manager) commitNextView(ctx context.Context, current, next View) {
	limited, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := m.config.Succession.Commit(limited, current, next)
	if err != nil {
		m.config.Logger.Warn("next view not committed", zap.Uint64("version", next.Version), zap.Error(err))
		m.broadcastView(ctx, current.Members)
		return
	}
	m.learnReceived(committed)
	m.broadcastView(ctx, slices.Concat(current.Members, committed.Members))
}
