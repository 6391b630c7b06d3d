package register

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// Keys of a register's table.
const (
	promisedKey = "promised"
	acceptedKey = "accepted"
)

// acceptorState is what an acceptor must remember: the content of a register's table. Its methods are the acceptor's part
// of the protocol without input and output; an Acceptor stores the state that they return before it answers.
type acceptorState struct {
	promised ProposalNumber // the highest that was promised
	accepted acceptedState
}

// acceptedState is a state with the proposal number under which it was accepted.
type acceptedState struct {
	ProposalNumber ProposalNumber `msgpack:"b"`
	State          state          `msgpack:"s"`
	// Manifest is set where the state's value is large: it is stored in chunks then, and left out here.
	Manifest *chunks.Manifest `msgpack:"m,omitempty"`
}

// prepare returns the state after the promise of a proposal number, and false where it was not above the promised one. A
// proposal number is promised once only, so that two proposers never share one.
func (s acceptorState) prepare(n ProposalNumber) (promised acceptorState, ok bool) {
	if !s.promised.Less(n) {
		return s, false
	}
	s.promised = n
	return s, true
}

// accept returns the state after a proposal was accepted, and false where a higher proposal number was promised. Acceptance
// implies a promise: the proposer may have had its promises from a majority without this acceptor.
func (s acceptorState) accept(n ProposalNumber, value state) (accepted acceptorState, ok bool) {
	if n.Less(s.promised) {
		return s, false
	}
	return acceptorState{promised: n, accepted: acceptedState{ProposalNumber: n, State: value}}, true
}

// decodeAcceptorState reads a register's table. A large value is still missing in the result, which has its manifest.
func decodeAcceptorState(table map[string][]byte) (acceptorState, error) {
	var decoded acceptorState
	if encoded, found := table[promisedKey]; found {
		if err := msgpack.Unmarshal(encoded, &decoded.promised); err != nil {
			return acceptorState{}, fmt.Errorf("decode %s: %w", promisedKey, err)
		}
	}
	if encoded, found := table[acceptedKey]; found {
		if err := msgpack.Unmarshal(encoded, &decoded.accepted); err != nil {
			return acceptorState{}, fmt.Errorf("decode %s: %w", acceptedKey, err)
		}
	}
	return decoded, nil
}
