package configuration

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// maxTaken bounds the history of taken changes. An order that is older than all of them is neither confirmed nor refused.
const maxTaken = 2000

// sumBytes is the length of a checksum: a SHA-256 cut to 128 bits.
const sumBytes = 16

// Taken records a change that is or was in force, so that the same order sent again is recognised.
type Taken struct {
	Version uint64         `msgpack:"v"`
	IfMatch uint64         `msgpack:"i"`
	Sum     [sumBytes]byte `msgpack:"s"` // of the body
}

// State is the register's value.
type State struct {
	Version uint64  `msgpack:"v"` // 0 before the first configuration
	Body    []byte  `msgpack:"b"` // as the operator sent it
	Taken   []Taken `msgpack:"t"` // oldest first
}

// DecodeState reads the register's value; an empty value is the state before the first configuration.
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

// order is what an operator asks for: the body's version on top of the version ifMatch.
type order struct {
	version uint64
	ifMatch uint64
	body    []byte
	sum     [sumBytes]byte
}

func newOrder(ifMatch uint64, body []byte) order {
	sum := sha256.Sum256(body)
	return order{ifMatch: ifMatch, body: body, sum: [sumBytes]byte(sum[:sumBytes])}
}

// find returns the record of this very order, if it was taken at some time.
func (s State) find(asked order) (Taken, bool) {
	for _, taken := range slices.Backward(s.Taken) {
		if taken.IfMatch == asked.ifMatch && taken.Sum == asked.sum {
			return taken, true
		}
	}
	return Taken{}, false
}

// decide judges an order on top of s, which the caller knows to be the newest state. The order's version must be above
// its If-Match, and so it is above the current version wherever that is its If-Match.
func (s State) decide(asked order) Outcome {
	if taken, found := s.find(asked); found {
		return accepted(taken.Version)
	}
	switch {
	case asked.ifMatch == s.Version:
		return Outcome{}
	case s.forgot(asked):
		return Outcome{Kind: Unclear, Err: ErrForgotten}
	case asked.ifMatch > s.Version: // it may come into force, and an earlier attempt at a slow node may then be taken
		return Outcome{Kind: Unclear, Err: ErrNotInForce}
	}
	return conflict(s.Version)
}

// forgot tells whether an order is older than the history, so that nobody can tell whether it was taken.
func (s State) forgot(asked order) bool {
	return len(s.Taken) > 0 && asked.ifMatch < s.Taken[0].IfMatch
}

func notAbove(version, current uint64) error {
	return invalid("version", "is %d; set it above the current version %d", version, current)
}

// after is the state once an order was taken on top of s.
func (s State) after(asked order) State {
	history := append(slices.Clip(s.Taken), Taken{Version: asked.version, IfMatch: asked.ifMatch, Sum: asked.sum})
	if excess := len(history) - maxTaken; excess > 0 {
		history = history[excess:]
	}
	return State{Version: asked.version, Body: asked.body, Taken: history}
}
