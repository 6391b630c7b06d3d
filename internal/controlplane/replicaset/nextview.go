package replicaset

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	failureTimeout          = 1200 * time.Millisecond // silence of a member that may be replaced
	crossZoneFailureTimeout = 3 * time.Second         // the same where several are silent, and none in the joining member's zone
	proposerDelay           = 500 * time.Millisecond  // for each live member that is to act before this one
)

// replaceableMember is a member that may be replaced.
type replaceableMember struct {
	address    string
	sinceHeard time.Duration
	leaving    bool // it said goodbye
}

// nextView chooses which joining member takes the place of which silent member: that of the joining member's zone, or one that said
// goodbye, or the only silent one, or else the one that has been silent for the longest time. One that said goodbye comes
// before those that may come back, as it goes within its grace period.
func nextView(view View, joining []joiningMember, replaceable []replaceableMember) (next View, found bool) {
	for _, one := range joining {
		if member, found := memberToReplace(one, view, replaceable); found {
			return view.replaceMember(member, one), true
		}
	}
	return View{}, false
}

func memberToReplace(joining joiningMember, view View, replaceable []replaceableMember) (address string, found bool) {
	if len(replaceable) == 0 {
		return "", false
	}
	replaceable = slices.Clone(replaceable)
	slices.SortStableFunc(replaceable, leavingFirst)
	for _, member := range replaceable {
		if zone := view.Zones[member.address]; zone != "" && zone == joining.zone {
			return member.address, true
		}
	}
	if replaceable[0].leaving {
		return replaceable[0].address, true
	}
	longest := slices.MaxFunc(replaceable, func(a, b replaceableMember) int {
		return cmp.Or(cmp.Compare(a.sinceHeard, b.sinceHeard), cmp.Compare(b.address, a.address))
	})
	return longest.address, len(replaceable) == 1 || longest.sinceHeard >= crossZoneFailureTimeout
}

// leavingFirst orders those that said goodbye before the others.
func leavingFirst(a, b replaceableMember) int {
	switch {
	case a.leaving == b.leaving:
		return 0
	case a.leaving:
		return -1
	}
	return 1
}

// proposerRank is the number of live members that come before this process in the order in which members replace others.
func proposerRank(view View, self string, replaceable []replaceableMember) int {
	rank := 0
	for _, address := range rendezvousOrder(view.Members) {
		if address == self {
			break
		}
		isAddress := func(member replaceableMember) bool { return member.address == address }
		if !slices.ContainsFunc(replaceable, isAddress) {
			rank++
		}
	}
	return rank
}

// rendezvousOrder sorts addresses by highest random weight.
func rendezvousOrder(addresses []string) []string {
	return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(b), xxh3.HashString(a)), cmp.Compare(a, b))
	})
}
