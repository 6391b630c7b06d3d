package replicaset

import (
	"cmp"
	"slices"
	"time"
)

const (
	joiningMemberDelay    = 300 * time.Millisecond // from a joining member's first announcement until it may become a member
	announcementTimeout   = time.Second            // time without an announcement after which a joining member is no longer proposed
	announcementRetention = 3 * time.Second        // how long an announcement counts for HasJoiningMember
)

// joiningMember is a coordinator that is not a member and has announced itself to become one.
type joiningMember struct {
	address        string
	zone           string
	incarnation    uint64 // identifies the process that sent the latest announcement
	firstAnnounced time.Time
	lastAnnounced  time.Time
}

// joiningMembers holds, by address, the joining members that announced themselves with the current view.
type joiningMembers map[string]joiningMember

// add records an announcement and keeps the time of the first one from the same address.
func (j joiningMembers) add(joining joiningMember, now time.Time) {
	joining.firstAnnounced, joining.lastAnnounced = now, now
	if known, found := j[joining.address]; found {
		joining.firstAnnounced = known.firstAnnounced
	}
	j[joining.address] = joining
}

// removeExpired removes joining members that have sent no announcement for announcementTimeout.
func (j joiningMembers) removeExpired(now time.Time) {
	for address, joining := range j {
		if now.Sub(joining.lastAnnounced) > announcementTimeout {
			delete(j, address)
		}
	}
}

// due returns the joining members whose first announcement is at least joiningMemberDelay old, oldest first.
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
