package feed

import (
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Digest names the snapshot's state.
func (s *Snapshot) Digest() Digest {
	epochs := make(map[string]uint64, len(s.Leaders))
	for group, leader := range s.Leaders {
		epochs[group] = leader.Epoch
	}
	return Digest{
		ConfigurationVersion: s.ConfigurationVersion,
		LeaderEpochs:         epochs,
		MembersSum:           membersSum(s.Core, s.Front),
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

// Lacks tells whether other names a newer configuration or a newer leader than d does. Members have no order and are
// not compared.
func (d Digest) Lacks(other Digest) bool {
	if other.ConfigurationVersion > d.ConfigurationVersion {
		return true
	}
	for group, epoch := range other.LeaderEpochs {
		if epoch > d.LeaderEpochs[group] {
			return true
		}
	}
	return false
}

// differsInMembers tells whether other names members, and others than d does.
func (d Digest) differsInMembers(other Digest) bool {
	return other.MembersSum != 0 && other.MembersSum != d.MembersSum
}

// merged is s with the newer configuration and the newer leaders of both. Versions and epochs never go back.
func (s Snapshot) merged(news *Snapshot) Snapshot {
	if news.ConfigurationVersion > s.ConfigurationVersion && len(news.Configuration) > 0 {
		s.ConfigurationVersion = news.ConfigurationVersion
		s.Configuration = news.Configuration
	}
	leaders := make(map[string]Leader, len(s.Leaders))
	maps.Copy(leaders, s.Leaders)
	for group, leader := range news.Leaders {
		if leader.Epoch > leaders[group].Epoch {
			leaders[group] = leader
		}
	}
	s.Leaders = leaders
	return s
}

// withMembers is s with the members of news, unless those are not known there.
func (s Snapshot) withMembers(news *Snapshot) Snapshot {
	if len(news.Core) > 0 {
		s.Core = slices.Clone(news.Core)
		s.Front = slices.Clone(news.Front)
	}
	return s
}
