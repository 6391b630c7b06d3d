package agent

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// rank orders addresses by rendezvous hashing for one owner. Each owner gets an order of its own, and an address that
// comes or goes does not change the order of the others.
func rank(owner string, addresses []string) []string {
	ranked := slices.Clone(addresses)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(owner, b), weight(owner, a)), cmp.Compare(a, b))
	})
	return ranked
}

func weight(owner, address string) uint64 { return xxh3.HashString(owner + "\n" + address) }

// appendMissing appends those of more that list does not hold.
func appendMissing(list, more []string) []string {
	for _, address := range more {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
