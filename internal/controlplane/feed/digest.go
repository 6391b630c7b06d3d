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
		MembersSum:           membersSum(s.Coordinators, s.Agents),
	}
}

// membersSum returns a checksum of the member addresses. It is 0 if there are no members, so that the zero Digest is the digest
// of an empty Snapshot.
func membersSum(coordinators, agents []string) uint64 {
	if len(coordinators) == 0 && len(agents) == 0 {
		return 0
	}
	hash := xxh3.New()
	for _, list := range [][]string{coordinators, agents} {
		for _, address := range list {
			hash.WriteString(address)
			hash.WriteString("\n")
		}
		hash.WriteString("\n")
	}
	return hash.Sum64()
}

// Lacks reports whether other has a newer configuration or a newer leader than d. It doesn't compare members, because they have
// no version.
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

// differsInMembers reports whether other has members and they differ from those of d.
func (d Digest) differsInMembers(other Digest) bool {
	return other.MembersSum != 0 && other.MembersSum != d.MembersSum
}

// mergedWith returns s with the newer configuration and the newer leaders of s and update. Versions and terms never decrease. A
// newer version without its configuration is ignored.
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

// withMembersOf returns s with the members of update. It returns s unchanged if update has no coordinators.
func (s Snapshot) withMembersOf(update *Snapshot) Snapshot {
	if len(update.Coordinators) > 0 {
		s.Coordinators = slices.Clone(update.Coordinators)
		s.Agents = slices.Clone(update.Agents)
	}
	return s
}
