package transport_test

import (
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// check checks all calls once nothing is under way any more.
func (s *simulation) check() {
	for _, call := range s.calls {
		s.checkExecutions(call)
		s.checkOutcome(call)
	}
}

// checkExecutions checks where and how often a call ran.
func (s *simulation) checkExecutions(call *modelCall) {
	if call.atMostOnce && len(call.executedAt) > 1 {
		s.violation("call %v may not be repeated and ran %d times: %v", call.token, len(call.executedAt), call.executedAt)
	}
	for _, at := range call.executedAt {
		if call.intended != (transport.Identity{}) && at.Node != call.intended.Node {
			s.violation("call %v meant %v and ran at %v", call.token, call.intended, at)
		}
	}
}

// checkOutcome checks what the caller was told.
func (s *simulation) checkOutcome(call *modelCall) {
	switch {
	case call.err == nil && call.reply.Token != call.token:
		s.violation("call %v got the answer to %v", call.token, call.reply.Token)
	case call.err == nil && !slices.Contains(call.executedAt, call.reply.Responder):
		s.violation("call %v got the answer of %v, but ran at %v", call.token, call.reply.Responder, call.executedAt)
	case call.err != nil && rpcerror.ExecutionOf(call.err) == rpcerror.NotExecuted && !s.duplicates && len(call.executedAt) > 0:
		s.violation("call %v ran at %v and is said to have not run: %v", call.token, call.executedAt, call.err)
	}
}

// checkReachability checks, without faults, that a caller soon reaches whoever serves an address.
func (s *simulation) checkReachability(c *modelCaller, address string) {
	limit := 10 * time.Second
	attemptsUntilReply := func(atMostOnce bool) (attempts int) {
		for attempts = 1; attempts < 10; attempts++ {
			if c.number%5 == 3 { // the handler fails each fifth call
				c.number++
			}
			if c.call(address, atMostOnce, limit, 0).err == nil {
				return attempts
			}
		}
		return attempts
	}
	previous, known := c.known[address]
	attempts := attemptsUntilReply(false)
	if restarted := known && previous.Node == s.servedBy(address).Node; restarted && attempts > 1 || attempts > 2 {
		s.violation("%d calls until %s answers caller %d; it had met %v", attempts, address, c.index, previous)
	}
	if attempts := attemptsUntilReply(true); attempts > 1 {
		s.violation("%d calls that may not be repeated until %s answers caller %d", attempts, address, c.index)
	}
}
