package agent

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// rank returns addresses sorted by rendezvous hashing for owner. Each owner gets a different order. Adding or removing an address
// does not change the order of the others.
func rank(owner string, addresses []string) []string {
	ranked := slices.Clone(addresses)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(owner, b), weight(owner, a)), cmp.Compare(a, b))
	})
	return ranked
}

// weight returns the rendezvous hash of an owner and an address.
func weight(owner, address string) uint64 { return xxh3.HashString(owner + "\n" + address) }

// appendMissing appends the addresses of more that are not in list.
func appendMissing(list, more []string) []string {
	for _, address := range more {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
