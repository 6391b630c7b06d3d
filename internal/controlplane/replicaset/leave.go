package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// leaveTimeout limits one round of leave requests. A departing member starts the next round within leaveGracePeriod of the
// previous one.
const leaveTimeout = 200 * time.Millisecond

// Departing reports whether this process is about to stop. Only a departing member accepts a view without itself. So it can
// vote for its own replacement while another member is down. It keeps running until the joining member has been rebuilt.
func (m *Manager) Departing() bool { return m.departing.Load() }

// Leave sends leave requests to the other members, so that a joining member, if there is one, replaces this process at once. It
// returns when all members have replied, or after leaveTimeout. A process that keeps running must call Leave again within
// leaveGracePeriod, because its other messages withdraw the request after that period.
func (m *Manager) Leave(ctx context.Context) {
	m.departing.Store(true)
	view := m.View()
	if !view.Has(m.config.Self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range m.others(view.Members) {
		calls.Go(func() {
			if _, err := leaveCall.Call(ctx, m.config.Caller, address, leaveRequest{Address: m.config.Self}); err != nil {
				m.config.Logger.Debug("leave request failed", zap.String("member", address), zap.Error(err))
			}
		})
	}
	calls.Wait()
}

// AllOthersDeparting reports whether every other member has sent a leave request, and no message later than leaveGracePeriod after
// it.
func (m *Manager) AllOthersDeparting() bool {
	var sinceContactByAddress map[string]time.Duration
	if m.config.Liveness != nil {
		sinceContactByAddress = m.config.Liveness().SinceContact
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	isStaying := func(address string) bool {
		return !m.isDeparting(address, m.sinceContact(address, sinceContactByAddress, now), now)
	}
	return !slices.ContainsFunc(m.others(m.view.Members), isStaying)
}
