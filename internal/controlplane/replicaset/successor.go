package replicaset

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	deadAfter     = 1200 * time.Millisecond // silence of a member that may be replaced
	deadElsewhere = 3 * time.Second         // the same where several are silent, and none in the joining member's zone
	rankDelay     = 500 * time.Millisecond  // for each live member that is to act before this one
)

// silentMember is a member that may be replaced.
type silentMember struct {
	address string
	silence time.Duration
	leaving bool // it said goodbye
}

// successor chooses which joining member takes the place of which silent member: that of the joining member's zone, or one that said
// goodbye, or the only silent one, or else the one that has been silent for the longest time. One that said goodbye comes
// before those that may come back, as it goes within its grace period.
func successor(view View, entering []joiningMember, silent []silentMember) (next View, found bool) {
	for _, one := range entering {
		if member, found := placeFor(one, view, silent); found {
			return view.replace(member, one), true
		}
	}
	return View{}, false
}

func placeFor(entering joiningMember, view View, silent []silentMember) (address string, found bool) {
	if len(silent) == 0 {
		return "", false
	}
	silent = slices.Clone(silent)
	slices.SortStableFunc(silent, leavingFirst)
	for _, member := range silent {
		if zone := view.Zones[member.address]; zone != "" && zone == entering.zone {
			return member.address, true
		}
	}
	if silent[0].leaving {
		return silent[0].address, true
	}
	longest := slices.MaxFunc(silent, func(a, b silentMember) int {
		return cmp.Or(cmp.Compare(a.silence, b.silence), cmp.Compare(b.address, a.address))
	})
	return longest.address, len(silent) == 1 || longest.silence >= deadElsewhere
}

// leavingFirst orders those that said goodbye before the others.
func leavingFirst(a, b silentMember) int {
	switch {
	case a.leaving == b.leaving:
		return 0
	case a.leaving:
		return -1
	}
	return 1
}

// rank is the number of live members that come before this process in the order in which members replace others.
func rank(view View, self string, silent []silentMember) int {
	rank := 0
	for _, address := range rendezvousOrder(view.Members) {
		if address == self {
			break
		}
		isAddress := func(member silentMember) bool { return member.address == address }
		if !slices.ContainsFunc(silent, isAddress) {
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
