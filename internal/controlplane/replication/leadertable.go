package replication

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// leaderTable holds the newest known leader of each group.
type leaderTable struct {
	byGroup  map[string]feed.Leader // copied on write; never modified in place
	checksum uint64                 // checksum of byGroup
	changed  chan struct{}          // closed on the next change
}

func newLeaderTable() *leaderTable {
	return &leaderTable{byGroup: make(map[string]feed.Leader), changed: make(chan struct{})}
}

// update adds the leaders whose terms are higher than the known ones.
func (t *leaderTable) update(leaders map[string]feed.Leader) {
	var next map[string]feed.Leader
	for group, leader := range leaders {
		if leader.Term <= t.byGroup[group].Term {
			continue
		}
		if next == nil {
			next = maps.Clone(t.byGroup)
		}
		next[group] = leader
	}
	if next == nil {
		return
	}
	t.byGroup, t.checksum = next, leadersChecksum(next)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *leaderTable) updateGroup(group string, leader feed.Leader) {
	if leader.Term > t.byGroup[group].Term {
		t.update(map[string]feed.Leader{group: leader})
	}
}

func leadersChecksum(leaders map[string]feed.Leader) uint64 {
	var content []byte
	for _, group := range slices.Sorted(maps.Keys(leaders)) {
		content = append(content, group...)
		content = append(content, 0)
		content = append(content, leaders[group].Address...)
		content = append(content, 0)
		content = binary.BigEndian.AppendUint64(content, leaders[group].Term)
	}
	return xxh3.Hash(content)
}
