package replicaset

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	leaveInterval = 200 * time.Millisecond // between leave requests while this member waits to be replaced
	leaveTimeout  = 200 * time.Millisecond // of one leave request; with the interval it stays below leaveGracePeriod
)

// Departing tells whether this process is about to stop. Only then it accepts a view without itself: it then votes for
// its own replacement where another member is down, and stays until the joining member has been rebuilt.
func (m *Manager) Departing() bool { return m.departing.Load() }

// Leave tells the other members that this process is about to stop, so that a joining member replaces it at once if there
// is one. While there is, Leave repeats the request until a view without this process is known or the context ends. It tells
// whether this process has been replaced. Without a joining member it sends the request once.
func (m *Manager) Leave(ctx context.Context) (replaced bool) {
	m.departing.Store(true)
	for {
		changed := m.Changed()
		view := m.View()
		if !view.Has(m.config.Self) {
			return view.Version > 0
		}
		m.broadcastLeave(ctx, view)
		if !m.HasJoiningMembers() {
			return !m.View().Has(m.config.Self)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-time.After(leaveInterval):
		}
	}
}

// broadcastLeave sends a leave request to all other members. It returns when all have replied, or after the time-out.
func (m *Manager) broadcastLeave(ctx context.Context, view View) {
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
