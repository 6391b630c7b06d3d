package replicaset

import (
	"maps"
	"slices"
)

// View is one version of the set of replicas.
type View struct {
	Version uint64            `msgpack:"v"`           // 0 while no set is known
	Members []string          `msgpack:"m"`           // internal addresses, sorted
	Zones   map[string]string `msgpack:"z,omitempty"` // zones of the members, as far as known

	Replaced string `msgpack:"r,omitempty"` // member of the view before that gave its place to a joining member; empty in the first view
	Entered  uint64 `msgpack:"e,omitempty"` // incarnation of the joining member's process
}

// Quorum is the number of members of every majority.
func (v View) Quorum() int { return len(v.Members)/2 + 1 }

// Has tells whether an address is a member.
func (v View) Has(address string) bool { return slices.Contains(v.Members, address) }

// replace returns the next view, in which one member has given its place to a joining member.
func (v View) replace(member string, entering joiningMember) View {
	members := slices.DeleteFunc(slices.Clone(v.Members), func(address string) bool { return address == member })
	members = append(members, entering.address)
	slices.Sort(members)
	zones := maps.Clone(v.Zones)
	delete(zones, member)
	if entering.zone != "" {
		if zones == nil {
			zones = make(map[string]string)
		}
		zones[entering.address] = entering.zone
	}
	return View{
		Version: v.Version + 1, Members: members, Zones: zones, Replaced: member, Entered: entering.incarnation,
	}
}
