package replication

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// campaignRank returns the number of live members that precede this node in the order of preferred leaders of a group.
func (c *core) campaignRank(group string) int {
	return max(0, slices.Index(c.preferred(group, c.leaderCounts(group)), c.self))
}

// leaderCounts returns the number of groups that each member leads or is expected to lead. A group without a live leader counts
// for its most preferred member, if its name sorts before the given group.
func (c *core) leaderCounts(before string) map[string]int {
	counts := make(map[string]int)
	for name, leader := range c.leaders.byGroup {
		if name != before && c.members.canVote(leader.Address, c.now) {
			counts[leader.Address]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if name >= before {
			break
		}
		if leader, known := c.leaders.byGroup[name]; known && c.members.canVote(leader.Address, c.now) {
			continue
		}
		if preferred := c.preferred(name, counts); len(preferred) > 0 {
			counts[preferred[0]]++
		}
	}
	return counts
}

// preferred returns the live members in the order in which a group prefers them as leader. Members that lead fewer groups come
// first, and members with equal counts are in rendezvousOrder.
func (c *core) preferred(group string, counts map[string]int) []string {
	order := rendezvousOrder(c.view.Members, group)
	live := slices.DeleteFunc(order, func(address string) bool { return !c.members.canVote(address, c.now) })
	slices.SortStableFunc(live, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
	return live
}

// rendezvousOrder sorts addresses by their weight for a group, with rendezvous hashing (highest random weight; Thaler and
// Ravishankar, 1998).
func rendezvousOrder(addresses []string, group string) []string {
	weight := func(address string) uint64 { return xxh3.HashString(group + "\x00" + address) }
	return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}
