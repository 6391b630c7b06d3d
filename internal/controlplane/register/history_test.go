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

// operationKind is the kind of an operation of a simulated client.
type operationKind uint8

const (
	appendToken         operationKind = iota // appends a token to the value
	appendUnlessRefused                      // appends a token, but the change function refuses if mustRefuse
	readValue
	operationKindCount
)

// clientInput is the input of an operation.
type clientInput struct {
	kind  operationKind
	token string
}

// clientOutput is the result of an operation as seen by the client.
type clientOutput struct {
	outcomeUnknown bool // the operation may or may not have taken effect
	refused        bool
	value          string
}

var errMultipleOfThree = errors.New("the number of tokens is a multiple of three")

// mustRefuse reports whether appendUnlessRefused refuses to change the value.
func mustRefuse(value string) bool { return strings.Count(value, ".")%3 == 0 }

// linearizableRegister is the sequential specification of the register for porcupine. The state is the value.
var linearizableRegister = porcupine.Model{
	Init: func() any { return "" },
	Step: func(current, in, out any) (bool, any) {
		value, input, output := current.(string), in.(clientInput), out.(clientOutput)
		next := value
		switch {
		case input.kind == readValue:
			return output.outcomeUnknown || output.value == value, value
		case input.kind == appendUnlessRefused && mustRefuse(value):
			return output.outcomeUnknown || output.refused, value
		}
		next += input.token + "."
		return output.outcomeUnknown || !output.refused && output.value == next, next
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// history records the operations of all clients.
type history struct {
	clock      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
	succeeded  int
	padding    string // prefix of each value; makes the values large
}

// run executes one operation and records it.
func (h *history) run(ctx context.Context, client int, register *Register, operation clientInput) {
	call := h.clock.Add(1)
	value, err := h.perform(ctx, register, operation)
	returned := h.clock.Add(1)
	result := clientOutput{value: strings.TrimPrefix(string(value), h.padding)}
	switch {
	case err == nil:
	case rpcerror.ExecutionOf(err) != rpcerror.NotExecuted:
		result.outcomeUnknown = true
		returned = math.MaxInt64
	case errors.Is(err, errMultipleOfThree):
		result.refused = true
	default:
		return // the operation did not take effect, so it is not recorded
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil {
		h.succeeded++
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: operation, Output: result, Call: call, Return: returned})
}

// perform executes one operation on a register.
func (h *history) perform(ctx context.Context, register *Register, operation clientInput) ([]byte, error) {
	if operation.kind == readValue {
		return register.Read(ctx)
	}
	return register.Change(ctx, func(current []byte) ([]byte, error) {
		if operation.kind == appendUnlessRefused && mustRefuse(string(current)) {
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
