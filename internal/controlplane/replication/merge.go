package replication

import (
	"maps"
	"slices"
	"strings"
)

// GroupCopy is what one replica holds of a group.
type GroupCopy struct {
	Promised  uint64
	Candidate string // to whom the promise was given
	Position  Position
	State     map[string][]byte
}

// MergeGroup makes the copy from which a replica that has lost its disk goes on: the state of the newest position and
// the highest promise. The copies must come from a majority of the other replicas.
func MergeGroup(copies []GroupCopy) GroupCopy {
	var merged GroupCopy
	for i, one := range copies {
		if i == 0 {
			merged.Candidate = one.Candidate
		} else if one.Candidate != merged.Candidate {
			merged.Candidate = "" // another may hold a lease of what was lost
		}
		merged.Promised = max(merged.Promised, one.Promised)
		if i == 0 || merged.Position.Before(one.Position) {
			merged.Position, merged.State = one.Position, one.State
		}
	}
	return merged
}

// MergeTables applies MergeGroup to all groups in copies of the tables whose names begin with StateTablePrefix or
// MetaTablePrefix. Each copy maps the tables of one replica, by name, to their content.
func MergeTables(copies []map[string]map[string][]byte) map[string]map[string][]byte {
	merged := make(map[string]map[string][]byte)
	for _, group := range groupsOf(copies) {
		groupCopies := make([]GroupCopy, 0, len(copies))
		for _, tables := range copies {
			m := decodeMeta(tables[metaTable(group)])
			groupCopies = append(groupCopies, GroupCopy{m.promised, m.candidate, m.position, tables[stateTable(group)]})
		}
		one := MergeGroup(groupCopies)
		merged[metaTable(group)] = map[string][]byte{
			promisedKey:  encodeEpoch(one.Promised),
			candidateKey: []byte(one.Candidate),
			positionKey:  encodePosition(one.Position),
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
