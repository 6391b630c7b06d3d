package replication

import (
	"maps"
	"slices"
	"strings"
)

// ReplicaState is the durable state of one replica of a group.
type ReplicaState struct {
	Term     uint64
	VotedFor string // candidate that the replica voted for in Term; empty if none is known
	Position Position
	State    map[string][]byte
}

// MergeReplicas returns the state with which a replica continues after it lost its disk. It consists of the state with the newest
// position and of the highest term. The arguments must come from a majority of the other replicas.
func MergeReplicas(replicas []ReplicaState) ReplicaState {
	var merged ReplicaState
	for i, state := range replicas {
		if i == 0 {
			merged.VotedFor = state.VotedFor
		} else if state.VotedFor != merged.VotedFor {
			merged.VotedFor = "" // the lost replica may have granted a lease to any of these candidates
		}
		merged.Term = max(merged.Term, state.Term)
		if i == 0 || merged.Position.Before(state.Position) {
			merged.Position, merged.State = state.Position, state.State
		}
	}
	return merged
}

// MergeTables applies MergeReplicas to all groups in the snapshots. Each snapshot belongs to one coordinator, and maps the names of
// its tables with the prefix StateTablePrefix or MetaTablePrefix to their content.
func MergeTables(snapshots []map[string]map[string][]byte) map[string]map[string][]byte {
	merged := make(map[string]map[string][]byte)
	for _, group := range groupNames(snapshots) {
		replicas := make([]ReplicaState, 0, len(snapshots))
		for _, tables := range snapshots {
			m := decodeMeta(tables[metaTable(group)])
			replicas = append(replicas, ReplicaState{m.term, m.votedFor, m.position, tables[stateTable(group)]})
		}
		mergedReplica := MergeReplicas(replicas)
		merged[metaTable(group)] = map[string][]byte{
			termKey:     encodeTerm(mergedReplica.Term),
			votedForKey: []byte(mergedReplica.VotedFor),
			positionKey: encodePosition(mergedReplica.Position),
		}
		if len(mergedReplica.State) > 0 {
			merged[stateTable(group)] = mergedReplica.State
		}
	}
	return merged
}

// groupNames returns the names of all groups that have a meta table in any of the snapshots.
func groupNames(snapshots []map[string]map[string][]byte) []string {
	groups := make(map[string]struct{})
	for _, tables := range snapshots {
		for table := range tables {
			if group, found := strings.CutPrefix(table, MetaTablePrefix); found {
				groups[group] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(groups))
}
