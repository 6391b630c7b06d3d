package replication

import (
	"maps"
	"slices"
	"strings"
)

// ReplicaState is what one replica holds of a group.
type ReplicaState struct {
	Term     uint64
	VotedFor string // to whom the promise was given
	Position Position
	State    map[string][]byte
}

// MergeReplicas makes the copy from which a replica that has lost its disk goes on: the state of the newest position and
// the highest promise. The copies must come from a majority of the other replicas.
func MergeReplicas(copies []ReplicaState) ReplicaState {
	var merged ReplicaState
	for i, one := range copies {
		if i == 0 {
			merged.VotedFor = one.VotedFor
		} else if one.VotedFor != merged.VotedFor {
			merged.VotedFor = "" // another may hold a lease of what was lost
		}
		merged.Term = max(merged.Term, one.Term)
		if i == 0 || merged.Position.Before(one.Position) {
			merged.Position, merged.State = one.Position, one.State
		}
	}
	return merged
}

// MergeTables applies MergeReplicas to all groups in copies of the tables whose names begin with StateTablePrefix or
// MetaTablePrefix. Each copy maps the tables of one replica, by name, to their content.
func MergeTables(copies []map[string]map[string][]byte) map[string]map[string][]byte {
	merged := make(map[string]map[string][]byte)
	for _, group := range groupsOf(copies) {
		groupCopies := make([]ReplicaState, 0, len(copies))
		for _, tables := range copies {
			m := decodeMeta(tables[metaTable(group)])
			groupCopies = append(groupCopies, ReplicaState{m.term, m.votedFor, m.position, tables[stateTable(group)]})
		}
		one := MergeReplicas(groupCopies)
		merged[metaTable(group)] = map[string][]byte{
			termKey:     encodeTerm(one.Term),
			votedForKey: []byte(one.VotedFor),
			positionKey: encodePosition(one.Position),
		}
		if len(one.State) > 0 {
			merged[stateTable(group)] = one.State
		}
	}
	return merged
}

func groupsOf(copies []map[string]map[string][]byte) []string {
	groups := make(map[string]struct{})
	for _, tables := range copies {
		for table := range tables {
			if group, found := strings.CutPrefix(table, MetaTablePrefix); found {
				groups[group] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(groups))
}
