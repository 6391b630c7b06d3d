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

// operation is a client's request to the register: an append of the token, or a read if the token is empty.
type operation struct{ token string }

// operationResult is the result of an operation as the client observed it.
type operationResult struct {
	maybeExecuted bool // whether the operation failed and may have been executed
	value         string
}

// appendRegisterModel is the porcupine model of the register. The state is the value.
var appendRegisterModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		next := state.(string) + in.(operation).token
		output := out.(operationResult)
		return output.maybeExecuted || output.value == next, next
	},
}

// history records the operations of clients, to check them for linearizability.
type history struct {
	clock      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
	succeeded  int
}

// perform performs one operation and records it, unless it is a failed read or was certainly not executed.
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

// check returns whether the history is linearizable, or unknown if the check takes longer than its time limit.
func (h *history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(appendRegisterModel, h.operations, 20*time.Second)
}
