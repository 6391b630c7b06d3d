package register

import (
	"fmt"
	"maps"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Merge makes the tables of all registers for a member that lost its disk, from those of a majority of the others: the
// highest promise, and what was accepted under the highest proposal number. Parts of values are gathered from all of them; the next
// vote removes those that do not belong to it. The tables' names begin with TablePrefix.
func Merge(copies []storage.Tables) (storage.Tables, error) {
	highest := make(map[string]*replica)
	merged := make(storage.Tables)
	for _, tables := range copies {
		for name, table := range tables {
			if isChunksTable(name) {
				gatherChunks(merged, name, table)
				continue
			}
			held, err := decodeReplica(table)
			if err != nil {
				return nil, fmt.Errorf("merge %s: %w", name, err)
			}
			if highest[name] == nil {
				highest[name], merged[name] = &replica{}, make(map[string][]byte)
			}
			highest[name].raise(held, table, merged[name])
		}
	}
	return merged, nil
}

func gatherChunks(merged storage.Tables, name string, table map[string][]byte) {
	if merged[name] == nil {
		merged[name] = make(map[string][]byte)
	}
	maps.Copy(merged[name], table)
}

// raise takes over what is higher in another replica, together with its encoding.
func (r *replica) raise(other replica, encoded, merged map[string][]byte) {
	if r.promised.Less(other.promised) {
		r.promised = other.promised
		merged[promisedKey] = encoded[promisedKey]
	}
	if r.accepted.ProposalNumber.Less(other.accepted.ProposalNumber) {
		r.accepted = other.accepted
		merged[acceptedKey] = encoded[acceptedKey]
	}
}
