package replication

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// campaignRank is the number of live members that a group prefers to this one as its leader.
func (c *core) campaignRank(group string) int {
	return max(0, slices.Index(c.preferred(group, c.leaderCounts(group)), c.self))
}

// leaderCounts counts the groups that each member leads, or should lead: of the groups without a live leader, those that come
// before the given one by name are taken to go to the members they prefer.
func (c *core) leaderCounts(before string) map[string]int {
	loads := make(map[string]int)
	for name, leader := range c.leaders.byGroup {
		if name != before && c.members.canVote(leader.Address, c.now) {
			loads[leader.Address]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if name >= before {
			break
		}
		if leader, known := c.leaders.byGroup[name]; known && c.members.canVote(leader.Address, c.now) {
			continue
		}
		if first := c.preferred(name, loads); len(first) > 0 {
			loads[first[0]]++
		}
	}
	return loads
}

// preferred sorts the live members by how much a group prefers them as leader: the one that leads the fewest groups
// first, among equals by rendezvousOrder.
func (c *core) preferred(group string, loads map[string]int) []string {
	order := rendezvousOrder(c.view.Members, group)
	live := slices.DeleteFunc(order, func(address string) bool { return !c.members.canVote(address, c.now) })
	slices.SortStableFunc(live, func(a, b string) int { return cmp.Compare(loads[a], loads[b]) })
	return live
}

// rendezvousOrder sorts addresses by their highest random weight for a group (Thaler and Ravishankar, 1998).
func rendezvousOrder(addresses []string, group string) []string {
	weight := func(address string) uint64 { return xxh3.HashString(group + "\x00" + address) }
	return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}
