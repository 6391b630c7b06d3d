package replicaset

import (
	"cmp"
	"slices"
	"time"
)

const (
	joiningMemberDelay  = 300 * time.Millisecond // from a joining member's first announcement until it may become a member
	announcementTimeout = time.Second            // after which a joining member that announces itself no more is not proposed
	announcementMemory  = 3 * time.Second        // for which a departing member remembers one that announced itself
)

// joiningMember is a core node that is no member and announces itself.
type joiningMember struct {
	address        string
	zone           string
	incarnation    uint64 // of the process that announced itself last
	firstAnnounced time.Time
	lastAnnounced  time.Time
}

// joiningMembers are those that announced themselves with the current view, by address.
type joiningMembers map[string]joiningMember

// add records an announcement.
func (j joiningMembers) add(joining joiningMember, now time.Time) {
	joining.firstAnnounced, joining.lastAnnounced = now, now
	if known, found := j[joining.address]; found {
		joining.firstAnnounced = known.firstAnnounced
	}
	j[joining.address] = joining
}

// removeExpired drops those that announce themselves no more.
func (j joiningMembers) removeExpired(now time.Time) {
	for address, joining := range j {
		if now.Sub(joining.lastAnnounced) > announcementTimeout {
			delete(j, address)
		}
	}
}

// due lists those that have announced themselves for long enough, the longest first.
func (j joiningMembers) due(now time.Time) []joiningMember {
	var due []joiningMember
	for _, joining := range j {
		if now.Sub(joining.firstAnnounced) >= joiningMemberDelay {
			due = append(due, joining)
		}
	}
	slices.SortFunc(due, func(a, b joiningMember) int {
		return cmp.Or(a.firstAnnounced.Compare(b.firstAnnounced), cmp.Compare(a.address, b.address))
	})
	return due
}
