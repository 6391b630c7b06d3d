package replicaset

import (
	"cmp"
	"slices"
	"time"
)

const (
	joiningMemberDelay  = 300 * time.Millisecond // from a joining member's first announcement until it may become a member
	announcementTimeout = time.Second            // an announcement counts no longer
)

// startJoiningMember is a core node that is no member and announces itself.
type joiningMember struct {
	address        string
	zone           string
	incarnation    uint64    // of the process that announced itself last
	firstAnnounced time.Time // announcement
	lastAnnounced  time.Time
}

// joiningMembers are those that announced themselves with the current view, by address.
type joiningMembers map[string]joiningMember

func (n joiningMembers) add(one joiningMember, now time.Time) {
	one.firstAnnounced, one.lastAnnounced = now, now
	if known, found := n[one.address]; found {
		one.firstAnnounced = known.firstAnnounced
	}
	n[one.address] = one
}

// removeExpired drops those that have fallen silent.
func (n joiningMembers) removeExpired(now time.Time) {
	for address, one := range n {
		if now.Sub(one.lastAnnounced) > announcementTimeout {
			delete(n, address)
		}
	}
}

// dueSince lists those that have announced themselves for long enough, the longest first.
func (n joiningMembers) due(now time.Time) []joiningMember {
	var due []joiningMember
	for _, one := range n {
		if now.Sub(one.firstAnnounced) >= joiningMemberDelay {
			due = append(due, one)
		}
	}
	slices.SortFunc(due, func(a, b joiningMember) int {
		return cmp.Or(a.firstAnnounced.Compare(b.firstAnnounced), cmp.Compare(a.address, b.address))
	})
	return due
}
