// Package replicaset knows which core mixers replicate the control state.
package replicaset

import "slices"

// View is one version of the set of replicas.
type View struct {
	Version uint64   `msgpack:"v"` // 0 while no set is known
	Members []string `msgpack:"m"` // internal addresses, sorted
}

// Quorum is the number of members of every majority.
func (v View) Quorum() int { return len(v.Members)/2 + 1 }

// Has tells whether an address is a member.
func (v View) Has(address string) bool { return slices.Contains(v.Members, address) }
