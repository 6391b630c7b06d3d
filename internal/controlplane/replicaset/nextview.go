package replicaset

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	failureTimeout          = 1200 * time.Millisecond // without a message, after which a member may be replaced
	crossZoneFailureTimeout = 3 * time.Second         // the same where several have failed, and none in the joining member's zone
	proposerDelay           = 500 * time.Millisecond  // for each live member that is to propose before this one
)

// replaceableMember is a member that may be replaced, as it has failed or is about to stop.
type replaceableMember struct {
	address      string
	sinceContact time.Duration // since its last message
	departing    bool          // it sent a leave request
}

// nextView chooses which joining member replaces which member: the first of the joining members for which there is one. It is a
// pure function, so members that know the same propose the same.
func nextView(view View, joining []joiningMember, replaceable []replaceableMember) (next View, found bool) {
	for _, candidate := range joining {
		if member, found := memberToReplace(candidate, view, replaceable); found {
			return view.replaceMember(member, candidate), true
		}
	}
	return View{}, false
}

// memberToReplace chooses the member of the joining member's zone, or a departing one, or the only one that has failed, or else
// the one without contact for the longest time. A departing member comes before those that may restart, as it stops within
// its grace period.
func memberToReplace(joining joiningMember, view View, replaceable []replaceableMember) (address string, found bool) {
	if len(replaceable) == 0 {
		return "", false
	}
	replaceable = slices.Clone(replaceable)
	slices.SortStableFunc(replaceable, departingFirst)
	for _, member := range replaceable {
		if zone := view.Zones[member.address]; zone != "" && zone == joining.zone {
			return member.address, true
		}
	}
	if replaceable[0].departing {
		return replaceable[0].address, true
	}
	longest := slices.MaxFunc(replaceable, func(a, b replaceableMember) int {
		return cmp.Or(cmp.Compare(a.sinceContact, b.sinceContact), cmp.Compare(b.address, a.address))
	})
	return longest.address, len(replaceable) == 1 || longest.sinceContact >= crossZoneFailureTimeout
}

// departingFirst orders departing members before the others.
func departingFirst(a, b replaceableMember) int {
	switch {
	case a.departing == b.departing:
		return 0
	case a.departing:
		return -1
	}
	return 1
}

// proposerRank is the number of live members that are to propose a replacement before this process.
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

// rendezvousOrder sorts addresses by their hashes, highest first: highest random weight, Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates" (IEEE/ACM Transactions on Networking 6(1), 1998). So the members agree on it.
func rendezvousOrder(addresses []string) []string {
	return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(b), xxh3.HashString(a)), cmp.Compare(a, b))
	})
}
