package replicaset

import (
	"maps"
	"slices"
	"time"
)

// Timing of the proposal of the first view.
const (
	bootstrapDelay       = 1500 * time.Millisecond // minimum time from this process's start until it proposes
	bootstrapQuietPeriod = 700 * time.Millisecond  // time without an announcement of a new address before this process proposes
	founderTimeout       = 3 * time.Second         // time without an announcement of a founder after which the next founder proposes
	bootstrapTimeout     = 8 * time.Second         // time from this process's start after which it no longer waits for other founders
)

// announcements holds the announcements that a founder has received from coordinators while no view is known. It determines
// when the founder proposes the first view. It reads no clock and sends nothing.
type announcements struct {
	startTime      time.Time
	lastNewAddress time.Time            // when the latest previously unknown address announced itself
	received       map[string]time.Time // by address, when the latest announcement arrived
	zones          map[string]string    // by address, if announced
}

func newAnnouncements(start time.Time) announcements {
	return announcements{startTime: start, lastNewAddress: start, received: make(map[string]time.Time), zones: make(map[string]string)}
}

// add records an announcement.
func (a *announcements) add(address, zone string, now time.Time) {
	if zone != "" {
		a.zones[address] = zone
	}
	if _, found := a.received[address]; !found {
		a.lastNewAddress = now
	}
	a.received[address] = now
}

// due reports whether the founder must propose the first view now. This requires that no new address has announced itself for
// bootstrapQuietPeriod. The founders before it in the sorted list must have sent no announcement for founderTimeout, unless
// bootstrapTimeout has passed.
func (a *announcements) due(self string, founders []string, now time.Time) bool {
	rank := slices.Index(founders, self)
	if rank < 0 || now.Sub(a.startTime) < bootstrapDelay || now.Sub(a.lastNewAddress) < bootstrapQuietPeriod {
		return false
	}
	if now.Sub(a.startTime) >= bootstrapTimeout {
		return true
	}
	for _, earlier := range founders[:rank] {
		if now.Sub(a.lastReceived(earlier)) < founderTimeout {
			return false
		}
	}
	return true
}

// lastReceived returns when a founder's latest announcement arrived, or this process's start time if none has arrived.
func (a *announcements) lastReceived(address string) time.Time {
	if received, found := a.received[address]; found {
		return received
	}
	return a.startTime
}

// members returns the sorted addresses of the founders and of all processes that announced themselves.
func (a *announcements) members(founders []string) []string {
	all := slices.AppendSeq(slices.Clone(founders), maps.Keys(a.received))
	slices.Sort(all)
	return slices.Compact(all)
}
