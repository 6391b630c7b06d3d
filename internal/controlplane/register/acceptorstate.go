package register

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// Keys in the table of a register.
const (
	promisedKey = "promised"
	acceptedKey = "accepted"
)

// acceptorState is the durable state of an acceptor, which is stored in the table of the register. Its methods implement the
// rules of the acceptor and do no input or output. An Acceptor stores the state that they return before it replies.
type acceptorState struct {
	promised ProposalNumber // highest promised proposal number
	accepted acceptedState
}

// acceptedState is an accepted state and its proposal number.
type acceptedState struct {
	ProposalNumber ProposalNumber `msgpack:"b"`
	State          state          `msgpack:"s"`
	// Manifest is set if the value is large. The value is then stored in chunks and omitted from State.
	Manifest *chunks.Manifest `msgpack:"m,omitempty"`
}

// prepare returns the state after a promise of the proposal number n. It returns ok=false if n is not higher than the promised
// number. A proposal number is promised only once, so that a restarted proposer cannot use the same number again.
func (s acceptorState) prepare(n ProposalNumber) (promised acceptorState, ok bool) {
	if !s.promised.Less(n) {
		return s, false
	}
	s.promised = n
	return s, true
}

// accept returns the state after the proposal n was accepted. It returns ok=false if a higher number was promised. Accepting n
// also promises n, because the proposer may have received its promises from a majority without this acceptor.
func (s acceptorState) accept(n ProposalNumber, value state) (accepted acceptorState, ok bool) {
	if n.Less(s.promised) {
		return s, false
	}
	return acceptorState{promised: n, accepted: acceptedState{ProposalNumber: n, State: value}}, true
}

// decodeAcceptorState decodes the table of a register. For a large value, the result contains the manifest and not the value.
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
