package replicaset

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	failureTimeout          = 1200 * time.Millisecond // time without a message after which a member may be replaced
	crossZoneFailureTimeout = 3 * time.Second         // the same if several members failed, none of them in the joining member's zone
	proposerDelay           = 500 * time.Millisecond  // delay per live member that ranks before this one as a proposer
)

// replaceableMember is a member that may be replaced because it has failed or is about to stop.
type replaceableMember struct {
	address      string
	sinceContact time.Duration // time since its last message
	departing    bool          // whether it sent a leave request
}

// nextView returns the view to propose. It selects the first joining member that can replace a member, and the member to
// replace. It is a pure function, so members with the same information propose the same view.
func nextView(view View, joining []joiningMember, replaceable []replaceableMember) (next View, found bool) {
	for _, candidate := range joining {
		if member, found := memberToReplace(candidate, view, replaceable); found {
			return view.replaceMember(member, candidate), true
		}
	}
	return View{}, false
}

// memberToReplace selects the member that a joining member replaces. It prefers a member of the joining member's zone, then a
// departing member, then the only failed member. If several members have failed, it selects the one without contact for the
// longest time, once crossZoneFailureTimeout has passed. A departing member has precedence over members that may restart,
// because it stops within its grace period.
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

// proposerRank returns how many live members rank before this process as the proposer of a replacement.
func proposerRank(view View, self string, replaceable []replaceableMember) int {
	rank := 0
	for _, address := range rendezvousOrder(view.Members) {
		if address == self {
			break
		}
		hasAddress := func(member replaceableMember) bool { return member.address == address }
		if !slices.ContainsFunc(replaceable, hasAddress) {
			rank++
		}
	}
	return rank
}

// rendezvousOrder returns the addresses sorted by their hashes, highest first, so that all members agree on the order. This
// is rendezvous hashing (highest random weight): Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
// (IEEE/ACM Transactions on Networking 6(1), 1998).
func rendezvousOrder(addresses []string) []string {
	return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(b), xxh3.HashString(a)), cmp.Compare(a, b))
	})
}
