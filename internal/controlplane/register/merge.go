package register

import (
	"fmt"
	"maps"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Merge returns the tables of all registers for a member that lost its disk. The replicas are the tables of a majority of the
// other members. The names of all tables start with TablePrefix. For each register, the result contains the highest promise and
// the accepted state with the highest proposal number. It contains the chunks of large values from all replicas. The next vote
// removes the chunks that its value does not need. Merge returns an error if a table cannot be decoded.
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
			highest[name].mergeHighest(decoded, table, merged[name])
		}
	}
	return merged, nil
}

// mergeChunks adds the chunks of a table to the merged table with the same name.
func mergeChunks(merged storage.Tables, name string, table map[string][]byte) {
	if merged[name] == nil {
		merged[name] = make(map[string][]byte)
	}
	maps.Copy(merged[name], table)
}

// mergeHighest replaces the promise and the accepted state if those of another replica are higher. It copies their encoded form
// to merged without decoding and encoding them again, so that fields of newer builds are kept.
func (s *acceptorState) mergeHighest(other acceptorState, encoded, merged map[string][]byte) {
	if s.promised.Less(other.promised) {
		s.promised = other.promised
		merged[promisedKey] = encoded[promisedKey]
	}
	if s.accepted.ProposalNumber.Less(other.accepted.ProposalNumber) {
		s.accepted = other.accepted
		merged[acceptedKey] = encoded[acceptedKey]
	}
}
