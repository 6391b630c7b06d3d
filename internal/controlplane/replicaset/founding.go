package replicaset

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// When the first view is settled.
const (
	foundingDelay       = 1500 * time.Millisecond // after this process's start
	foundingQuietPeriod = 700 * time.Millisecond  // without a new announcement
	founderTimeout      = 3 * time.Second         // after which the next founder acts
	foundingTimeout     = 8 * time.Second         // after which any founder acts
	commitTimeout       = 2 * time.Second
)

// announcements are what a founder heard of core nodes.
type announcements struct {
	start    time.Time
	lastNew  time.Time            // when an address was heard for the first time
	received map[string]time.Time // by address, the latest
	zones    map[string]string    // by address, where told
}

func newAnnouncements(start time.Time) announcements {
	return announcements{start: start, lastNew: start, received: make(map[string]time.Time), zones: make(map[string]string)}
}

func (a *announcements) add(address, zone string, now time.Time) {
	if zone != "" {
		a.zones[address] = zone
	}
	if _, found := a.received[address]; !found {
		a.lastNew = now
	}
	a.received[address] = now
}

// dueSince tells whether the founder is to settle the view now: it has waited for everybody, and the founders before it in the
// order are silent.
func (a *announcements) due(self string, founders []string, now time.Time) bool {
	rank := slices.Index(founders, self)
	if rank < 0 || now.Sub(a.start) < foundingDelay || now.Sub(a.lastNew) < foundingQuietPeriod {
		return false
	}
	if now.Sub(a.start) >= foundingTimeout {
		return true
	}
	for _, earlier := range founders[:rank] {
		if now.Sub(a.lastReceived(earlier)) < founderTimeout {
			return false
		}
	}
	return true
}

func (a *announcements) lastReceived(address string) time.Time {
	if received, found := a.received[address]; found {
		return received
	}
	return a.start
}

// members are the founders and all who announced themselves.
func (a *announcements) members(founders []string) []string {
	all := slices.AppendSeq(slices.Clone(founders), maps.Keys(a.received))
	slices.Sort(all)
	return slices.Compact(all)
}

// commitFirstView settles the first view if that is this founder's turn.
func (m *Manager) commitFirstView(ctx context.Context) {
	proposed, due := m.proposedFirstView()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := m.config.Founding.Commit(ctx, proposed)
	if err != nil {
		m.config.Logger.Warn("settle the first view", zap.Error(err))
		return
	}
	m.learnReceived(committed)
}

// proposedFirstView returns the view to propose and whether it is time to.
func (m *Manager) proposedFirstView() (View, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.config.Founding == nil || !m.announcements.due(m.config.Self, m.founders, time.Now()) {
		return View{}, false
	}
	if m.config.Zone != "" {
		m.announcements.zones[m.config.Self] = m.config.Zone
	}
	view := View{Version: 1, Members: m.announcements.members(m.founders)}
	if len(m.announcements.zones) > 0 {
		view.Zones = maps.Clone(m.announcements.zones)
	}
	return view, true
}
