package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// leaveTimeout bounds one round of leave requests. A departing member begins the next one within leaveGracePeriod of the
// round before.
const leaveTimeout = 200 * time.Millisecond

// Departing tells whether this process is about to stop. Only then it accepts a view without itself: it then votes for
// its own replacement where another member is down, and stays until the joining member has been rebuilt.
func (m *Manager) Departing() bool { return m.departing.Load() }

// Leave tells the other members that this process is about to stop, so that a joining member replaces it at once if there
// is one. It returns when all have replied, or after the time-out. A process that does not stop yet is to repeat it within
// leaveGracePeriod, as its other messages withdraw the request.
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

// OthersDepart tells whether every other member has sent a leave request, and has not been heard of since then.
func (m *Manager) OthersDepart() bool {
	var sinceContactBy map[string]time.Duration
	if m.config.Liveness != nil {
		sinceContactBy = m.config.Liveness().SinceContact
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	stays := func(address string) bool {
		return !m.isDeparting(address, m.sinceContact(address, sinceContactBy, now), now)
	}
	return !slices.ContainsFunc(m.others(m.view.Members), stays)
}
