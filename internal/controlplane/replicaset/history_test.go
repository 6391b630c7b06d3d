package replicaset_test

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// operation is what a client requests of the register: to append a token, or to read where that is empty.
type operation struct{ token string }

// operationResult is what the client received.
type operationResult struct {
	maybeExecuted bool // whether the operation ran
	value         string
}

// appendRegisterModel is the register as porcupine checks it: the state is the value.
var appendRegisterModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		next := state.(string) + in.(operation).token
		output := out.(operationResult)
		return output.maybeExecuted || output.value == next, next
	},
}

// history records the operations of clients, for the check of their linearizability.
type history struct {
	clock      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
	succeeded  int
}

// run carries out one operation, and records it unless it was certainly not executed.
func (h *history) perform(ctx context.Context, client int, target *register.Register, op operation) {
	invoked := h.clock.Add(1)
	value, err := op.perform(ctx, target)
	returned := h.clock.Add(1)
	if err != nil && (rpcerror.ExecutionOf(err) == rpcerror.NotExecuted || op.token == "") {
		return
	}
	if err != nil {
		returned = math.MaxInt64
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil {
		h.succeeded++
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: op, Output: operationResult{maybeExecuted: err != nil, value: string(value)}, Call: invoked, Return: returned,
	})
}

func (o operation) perform(ctx context.Context, target *register.Register) ([]byte, error) {
	if o.token == "" {
		return target.Read(ctx)
	}
	return target.Change(ctx, func(current []byte) ([]byte, error) { return append([]byte(string(current)), o.token...), nil })
}

// check tells whether the history is linearizable.
func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(appendRegisterModel, h.operations, 20*time.Second)
}
