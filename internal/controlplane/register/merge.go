package register

import (
	"fmt"
	"maps"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Merge makes the tables of all registers for a member that lost its disk, from those of a majority of the others: the
// highest promise, and what was accepted under the highest proposal number. Parts of values are gathered from all of them; the next
// vote removes those that do not belong to it. The tables' names begin with TablePrefix.
func Merge(replicas []storage.Tables) (storage.Tables, error) {
	highest := make(map[string]*acceptorState)
	merged := make(storage.Tables)
	for _, tables := range replicas {
		for name, table := range tables {
			if isChunksTable(name) {
				mergeChunks(merged, name, table)
				continue
			}
			decoded, err := decodeAcceptorState(table)
			if err != nil {
				return nil, fmt.Errorf("merge %s: %w", name, err)
			}
			if highest[name] == nil {
				highest[name], merged[name] = &acceptorState{}, make(map[string][]byte)
			}
			highest[name].raise(decoded, table, merged[name])
		}
	}
	return merged, nil
}

func mergeChunks(merged storage.Tables, name string, table map[string][]byte) {
	if merged[name] == nil {
		merged[name] = make(map[string][]byte)
	}
	maps.Copy(merged[name], table)
}

// raise takes over what is higher in another replica, together with its encoding.
func (r *acceptorState) raise(other acceptorState, encoded, merged map[string][]byte) {
	if r.promised.Less(other.promised) {
		r.promised = other.promised
		merged[promisedKey] = encoded[promisedKey]
	}
	if r.accepted.ProposalNumber.Less(other.accepted.ProposalNumber) {
		r.accepted = other.accepted
		merged[acceptedKey] = encoded[acceptedKey]
	}
}
