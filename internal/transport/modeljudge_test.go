package transport_test

import (
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// judge checks all calls once nothing is under way any more.
func (w *world) judge() {
	for _, call := range w.calls {
		w.judgeRuns(call)
		w.judgeEnd(call)
	}
}

// judgeRuns checks where and how often a call ran.
func (w *world) judgeRuns(call *modelCall) {
	if call.once && len(call.ranAt) > 1 {
		w.fault("call %v may not be repeated and ran %d times: %v", call.token, len(call.ranAt), call.ranAt)
	}
	for _, at := range call.ranAt {
		if call.meant != (transport.Identity{}) && at.Node != call.meant.Node {
			w.fault("call %v meant %v and ran at %v", call.token, call.meant, at)
		}
	}
}

// judgeEnd checks what the caller was told.
func (w *world) judgeEnd(call *modelCall) {
	switch {
	case call.err == nil && call.reply.Token != call.token:
		w.fault("call %v got the answer to %v", call.token, call.reply.Token)
	case call.err == nil && !slices.Contains(call.ranAt, call.reply.By):
		w.fault("call %v got the answer of %v, but ran at %v", call.token, call.reply.By, call.ranAt)
	case call.err != nil && rpcerror.ExecutionOf(call.err) == rpcerror.NotExecuted && !w.doubles && len(call.ranAt) > 0:
		w.fault("call %v ran at %v and is said to have not run: %v", call.token, call.ranAt, call.err)
	}
}

// judgeContact checks, without faults, that a caller soon reaches whoever serves an address.
func (w *world) judgeContact(c *modelCaller, address string) {
	limit := 10 * time.Second
	attempts := func(once bool) (tries int) {
		for tries = 1; tries < 10; tries++ {
			if c.number%5 == 3 { // the handler fails each fifth call
				c.number++
			}
			if c.call(address, once, limit, 0).err == nil {
				return tries
			}
		}
		return tries
	}
	met, known := c.met[address]
	tries := attempts(false)
	if restarted := known && met.Node == w.servedBy(address).Node; restarted && tries > 1 || tries > 2 {
		w.fault("%d calls until %s answers caller %d; it had met %v", tries, address, c.index, met)
	}
	if tries := attempts(true); tries > 1 {
		w.fault("%d calls that may not be repeated until %s answers caller %d", tries, address, c.index)
	}
}
