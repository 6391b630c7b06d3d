package replicaset

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"
)

// commitTimeout limits one attempt to commit a view.
const commitTimeout = 2 * time.Second

// commitFirstView commits the first view if this founder must propose it now.
func (m *Manager) commitFirstView(ctx context.Context) {
	proposed, due := m.proposedFirstView()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := m.config.Bootstrap.Commit(ctx, proposed)
	if err != nil {
		m.config.Logger.Warn("first view not committed", zap.Error(err))
		return
	}
	m.learnReceived(committed)
}

// proposedFirstView returns the first view to propose, and whether this founder must propose it now.
func (m *Manager) proposedFirstView() (view View, due bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.config.Bootstrap == nil || !m.announcements.due(m.config.Self, m.founders, time.Now()) {
		return View{}, false
	}
	if m.config.Zone != "" {
		m.announcements.zones[m.config.Self] = m.config.Zone
	}
	view = View{Version: 1, Members: m.announcements.members(m.founders)}
	if len(m.announcements.zones) > 0 {
		view.Zones = maps.Clone(m.announcements.zones)
	}
	return view, true
}
