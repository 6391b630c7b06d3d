package replicaset

import (
	"maps"
	"slices"
)

// View is one version of the set of members that replicate the control state. Vertical Paxos calls it a configuration.
type View struct {
	Version uint64            `msgpack:"v"`           // 0 if no view is known
	Members []string          `msgpack:"m"`           // internal addresses, sorted
	Zones   map[string]string `msgpack:"z,omitempty"` // zone of each member whose zone is known

	Replaced          string `msgpack:"r,omitempty"` // member of the previous view that the joining member replaced; empty in the first view
	JoinedIncarnation uint64 `msgpack:"e,omitempty"` // incarnation of the joining member's process
}

// Quorum returns the size of the smallest majority of the members.
func (v View) Quorum() int { return len(v.Members)/2 + 1 }

// Has reports whether the process at an address is a member.
func (v View) Has(address string) bool { return slices.Contains(v.Members, address) }

// replaceMember returns the next view, in which a joining member replaces the given member.
func (v View) replaceMember(member string, joining joiningMember) View {
	members := slices.DeleteFunc(slices.Clone(v.Members), func(address string) bool { return address == member })
	members = append(members, joining.address)
	slices.Sort(members)
	zones := maps.Clone(v.Zones)
	delete(zones, member)
	if joining.zone != "" {
		if zones == nil {
			zones = make(map[string]string)
		}
		zones[joining.address] = joining.zone
	}
	return View{
		Version: v.Version + 1, Members: members, Zones: zones, Replaced: member, JoinedIncarnation: joining.incarnation,
	}
}
