package configuration

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// maxAppliedHistory is the maximum number of applied updates in the history. An update that is older than the history is neither
// confirmed nor rejected.
const maxAppliedHistory = 2000

// AppliedUpdate records an update that is or was in force, so that a repeated request can be recognised.
type AppliedUpdate struct {
	Version uint64         `msgpack:"v"`
	IfMatch uint64         `msgpack:"i"`
	Sum     [sumBytes]byte `msgpack:"s"` // checksum of the body
}

// State is the register's value: the configuration in force, the history of applied updates, and which services its queues belonged to
// before. Its methods evaluate updates and do no input or output.
type State struct {
	Version uint64          `msgpack:"v"` // 0 before the first configuration
	Body    []byte          `msgpack:"b"` // as the operator sent it
	Applied []AppliedUpdate `msgpack:"t"` // oldest first
	Queues  []QueueHistory  `msgpack:"q,omitempty"`
}

// DecodeState decodes the register's value. An empty value is the state before the first configuration.
func DecodeState(value []byte) (State, error) {
	var state State
	if len(value) == 0 {
		return state, nil
	}
	if err := msgpack.Unmarshal(value, &state); err != nil {
		return State{}, fmt.Errorf("decode the configuration register: %w", err)
	}
	return state, nil
}

// Encode is the inverse of DecodeState.
func (s State) Encode() ([]byte, error) {
	value, err := msgpack.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the configuration register: %w", err)
	}
	return value, nil
}

// findApplied returns the record of the same update, identified by its If-Match and body, if the history contains it.
func (s State) findApplied(request updateRequest) (AppliedUpdate, bool) {
	for _, applied := range slices.Backward(s.Applied) {
		if applied.IfMatch == request.ifMatch && applied.Sum == request.bodySum {
			return applied, true
		}
	}
	return AppliedUpdate{}, false
}

// evaluate returns the outcome of an update, given that s is the newest state. The outcome is Undecided if the update may be
// applied. The request's version must be above its If-Match. It is then also above the current version if If-Match is current.
func (s State) evaluate(request updateRequest) Outcome {
	if applied, found := s.findApplied(request); found {
		return acceptedOutcome(applied.Version)
	}
	switch {
	case request.ifMatch == s.Version:
		return Outcome{}
	case s.olderThanHistory(request):
		return Outcome{Kind: Unclear, Err: ErrOlderThanHistory}
	case request.ifMatch > s.Version: // it may still come into force, and an earlier attempt at a slow node could then be applied
		return Outcome{Kind: Unclear, Err: ErrBaseNotInForce}
	}
	return conflictOutcome(s.Version)
}

// olderThanHistory reports whether an update is older than the history. It is then unknown whether the update was applied.
func (s State) olderThanHistory(request updateRequest) bool {
	return len(s.Applied) > 0 && request.ifMatch < s.Applied[0].IfMatch
}

// apply returns the state after an update, with the given histories of queues.
func (s State) apply(request updateRequest, queues []QueueHistory) State {
	history := append(slices.Clip(s.Applied), AppliedUpdate{Version: request.version, IfMatch: request.ifMatch, Sum: request.bodySum})
	if excess := len(history) - maxAppliedHistory; excess > 0 {
		history = history[excess:]
	}
	return State{Version: request.version, Body: request.body, Applied: history, Queues: queues}
}
