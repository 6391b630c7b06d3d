package replicaset

import (
	"maps"
	"slices"
	"time"
)

// When the first view is committed.
const (
	foundingDelay       = 1500 * time.Millisecond // after this process's start, at the earliest
	foundingQuietPeriod = 700 * time.Millisecond  // without a new announcement
	founderTimeout      = 3 * time.Second         // without an announcement of a founder, after which the next one proposes
	foundingTimeout     = 8 * time.Second         // after this process's start, from when on any founder proposes
)

// announcements are those of core nodes that a founder has received before there is a view. They decide when it proposes the
// first one. They read no clock and send nothing.
type announcements struct {
	start    time.Time
	lastNew  time.Time            // when an address announced itself for the first time
	received map[string]time.Time // by address, the latest
	zones    map[string]string    // by address, where announced
}

func newAnnouncements(start time.Time) announcements {
	return announcements{start: start, lastNew: start, received: make(map[string]time.Time), zones: make(map[string]string)}
}

// add records an announcement.
func (a *announcements) add(address, zone string, now time.Time) {
	if zone != "" {
		a.zones[address] = zone
	}
	if _, found := a.received[address]; !found {
		a.lastNew = now
	}
	a.received[address] = now
}

// due tells whether the founder is to propose the first view now: no announcement is new, and the founders before it in the
// order announce themselves no more.
func (a *announcements) due(self string, founders []string, now time.Time) bool {
	order := slices.Index(founders, self)
	if order < 0 || now.Sub(a.start) < foundingDelay || now.Sub(a.lastNew) < foundingQuietPeriod {
		return false
	}
	if now.Sub(a.start) >= foundingTimeout {
		return true
	}
	for _, earlier := range founders[:order] {
		if now.Sub(a.lastReceived(earlier)) < founderTimeout {
			return false
		}
	}
	return true
}

// lastReceived is when a founder announced itself last; before its first announcement, the start counts.
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
