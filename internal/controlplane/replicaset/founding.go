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
	foundingDelay    = 1500 * time.Millisecond // after this process's start
	foundingQuiet    = 700 * time.Millisecond  // without a new announcement
	founderSilence   = 3 * time.Second         // after which the next founder acts
	foundingPatience = 8 * time.Second         // after which any founder acts
	commitLimit      = 2 * time.Second
)

// announcements are what a founder heard of core nodes.
type announcements struct {
	start   time.Time
	lastNew time.Time            // when an address was heard for the first time
	heard   map[string]time.Time // by address, the latest
	zones   map[string]string    // by address, where told
}

func newAnnouncements(start time.Time) announcements {
	return announcements{start: start, lastNew: start, heard: make(map[string]time.Time), zones: make(map[string]string)}
}

func (a *announcements) add(address, zone string, now time.Time) {
	if zone != "" {
		a.zones[address] = zone
	}
	if _, found := a.heard[address]; !found {
		a.lastNew = now
	}
	a.heard[address] = now
}

// due tells whether the founder is to settle the view now: it has waited for everybody, and the founders before it in the
// order are silent.
func (a *announcements) due(self string, founders []string, now time.Time) bool {
	rank := slices.Index(founders, self)
	if rank < 0 || now.Sub(a.start) < foundingDelay || now.Sub(a.lastNew) < foundingQuiet {
		return false
	}
	if now.Sub(a.start) >= foundingPatience {
		return true
	}
	for _, earlier := range founders[:rank] {
		if now.Sub(a.lastHeard(earlier)) < founderSilence {
			return false
		}
	}
	return true
}

func (a *announcements) lastHeard(address string) time.Time {
	if heard, found := a.heard[address]; found {
		return heard
	}
	return a.start
}

// members are the founders and all who announced themselves.
func (a *announcements) members(founders []string) []string {
	all := slices.AppendSeq(slices.Clone(founders), maps.Keys(a.heard))
	slices.Sort(all)
	return slices.Compact(all)
}

// found settles the first view if that is this founder's turn.
func (m *Manager) found(ctx context.Context) {
	proposed, due := m.firstView()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitLimit)
	defer cancel()
	committed, err := m.config.Founding.Commit(ctx, proposed)
	if err != nil {
		m.config.Logger.Warn("settle the first view", zap.Error(err))
		return
	}
	m.learned(committed)
}

// firstView returns the view to propose and whether it is time to.
func (m *Manager) firstView() (View, bool) {
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
