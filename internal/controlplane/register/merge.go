package register

import (
	"fmt"
	"maps"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Merge makes the tables of all registers for a member that lost its disk, from those of a majority of the others: of each
// register the highest promise, and the state that was accepted under the highest proposal number. Chunks of large values are
// taken from all replicas; the next vote removes those that do not belong to it. The tables' names begin with TablePrefix. The
// error is about a table that cannot be decoded.
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

// mergeChunks adds a table of chunks to the one of that name.
func mergeChunks(merged storage.Tables, name string, table map[string][]byte) {
	if merged[name] == nil {
		merged[name] = make(map[string][]byte)
	}
	maps.Copy(merged[name], table)
}

// raise takes the higher promise and the higher accepted state of two replicas. Their encodings go to merged as they are, so
// that fields of a newer build are kept.
func (s *acceptorState) raise(other acceptorState, encoded, merged map[string][]byte) {
	if s.promised.Less(other.promised) {
		s.promised = other.promised
		merged[promisedKey] = encoded[promisedKey]
	}
	if s.accepted.ProposalNumber.Less(other.accepted.ProposalNumber) {
		s.accepted = other.accepted
		merged[acceptedKey] = encoded[acceptedKey]
	}
}
