package register

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// operationKind is what a client of the simulation does.
type operationKind uint8

const (
	appendToken    operationKind = iota // appends a token to the value
	appendUnlessAt                      // the same, but refused where the number of tokens is a multiple of three
	readValue
	operationKinds
)

// clientInput is an operation.
type clientInput struct {
	kind  operationKind
	token string
}

// clientOutput is the result that the client received.
type clientOutput struct {
	unknown bool // whether the operation ran
	refused bool
	value   string
}

var errMultipleOfThree = errors.New("the number of tokens is a multiple of three")

func refusesAt(value string) bool { return strings.Count(value, ".")%3 == 0 }

// linearizableRegister is the register as porcupine checks it: the state is the value.
var linearizableRegister = porcupine.Model{
	Init: func() any { return "" },
	Step: func(stateNow, in, out any) (bool, any) {
		value, do, heard := stateNow.(string), in.(clientInput), out.(clientOutput)
		next := value
		switch {
		case do.kind == readValue:
			return heard.unknown || heard.value == value, value
		case do.kind == appendUnlessAt && refusesAt(value):
			return heard.unknown || heard.refused, value
		}
		next += do.token + "."
		return heard.unknown || !heard.refused && heard.value == next, next
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// history records operations.
type history struct {
	clock      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
	succeeded  int
	padding    string // begins each value, so that it is large
}

// run carries out one operation by a register and records it.
func (h *history) run(ctx context.Context, client int, register *Register, operation clientInput) {
	call := h.clock.Add(1)
	value, err := h.perform(ctx, register, operation)
	returned := h.clock.Add(1)
	result := clientOutput{value: strings.TrimPrefix(string(value), h.padding)}
	switch {
	case err == nil:
	case rpcerror.ExecutionOf(err) != rpcerror.NotExecuted:
		result.unknown = true
		returned = math.MaxInt64
	case errors.Is(err, errMultipleOfThree):
		result.refused = true
	default:
		return // did not run
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil {
		h.succeeded++
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: operation, Output: result, Call: call, Return: returned})
}

func (h *history) perform(ctx context.Context, register *Register, operation clientInput) ([]byte, error) {
	if operation.kind == readValue {
		return register.Read(ctx)
	}
	return register.Change(ctx, func(current []byte) ([]byte, error) {
		if operation.kind == appendUnlessAt && refusesAt(string(current)) {
			return nil, errMultipleOfThree
		}
		if len(current) == 0 {
			current = []byte(h.padding)
		}
		return []byte(string(current) + operation.token + "."), nil
	})
}

// check reports whether the history is linearizable.
func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(linearizableRegister, h.operations, 20*time.Second)
}
