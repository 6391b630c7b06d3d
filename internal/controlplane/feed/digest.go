package feed

import (
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Digest returns the digest of the snapshot.
func (s *Snapshot) Digest() Digest {
	terms := make(map[string]uint64, len(s.Leaders))
	for group, leader := range s.Leaders {
		terms[group] = leader.Term
	}
	return Digest{
		ConfigurationVersion: s.ConfigurationVersion,
		LeaderTerms:          terms,
		MembersSum:           membersSum(s.Core, s.Agents),
	}
}

// membersSum is 0 for no members at all, so that an empty Digest names an empty Snapshot.
func membersSum(core, front []string) uint64 {
	if len(core) == 0 && len(front) == 0 {
		return 0
	}
	hash := xxh3.New()
	for _, list := range [][]string{core, front} {
		for _, address := range list {
			hash.WriteString(address)
			hash.WriteString("\n")
		}
		hash.WriteString("\n")
	}
	return hash.Sum64()
}

// Lacks tells whether other names a newer configuration or a newer leader than d. Members have no version and are not
// compared.
func (d Digest) Lacks(other Digest) bool {
	if other.ConfigurationVersion > d.ConfigurationVersion {
		return true
	}
	for group, term := range other.LeaderTerms {
		if term > d.LeaderTerms[group] {
			return true
		}
	}
	return false
}

// differsInMembers tells whether other names members, and not those that d names.
func (d Digest) differsInMembers(other Digest) bool {
	return other.MembersSum != 0 && other.MembersSum != d.MembersSum
}

// mergedWith is s with the newer configuration and the newer leaders of both. Versions and terms never decrease.
func (s Snapshot) mergedWith(update *Snapshot) Snapshot {
	if update.ConfigurationVersion > s.ConfigurationVersion && len(update.Configuration) > 0 {
		s.ConfigurationVersion = update.ConfigurationVersion
		s.Configuration = update.Configuration
	}
	leaders := make(map[string]Leader, len(s.Leaders))
	maps.Copy(leaders, s.Leaders)
	for group, leader := range update.Leaders {
		if leader.Term > leaders[group].Term {
			leaders[group] = leader
		}
	}
	s.Leaders = leaders
	return s
}

// withMembersOf is s with the members of update, unless it has none.
func (s Snapshot) withMembersOf(update *Snapshot) Snapshot {
	if len(update.Core) > 0 {
		s.Core = slices.Clone(update.Core)
		s.Agents = slices.Clone(update.Agents)
	}
	return s
}
