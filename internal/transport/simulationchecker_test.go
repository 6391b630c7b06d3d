package transport_test

import (
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// check checks all calls. None may be in flight any more.
func (s *simulation) check() {
	for _, call := range s.calls {
		s.checkExecutions(call)
		s.checkOutcome(call)
	}
}

// checkExecutions checks which processes executed a call, and how often.
func (s *simulation) checkExecutions(call *modelCall) {
	if call.atMostOnce && len(call.executedAt) > 1 {
		s.violation("at-most-once call %v was executed %d times: %v", call.token, len(call.executedAt), call.executedAt)
	}
	for _, process := range call.executedAt {
		if call.intended != (transport.Identity{}) && process.Node != call.intended.Node {
			s.violation("call %v to %v was executed by %v", call.token, call.intended, process)
		}
	}
}

// checkOutcome checks the reply or error of a call.
func (s *simulation) checkOutcome(call *modelCall) {
	switch {
	case call.err == nil && call.reply.Token != call.token:
		s.violation("call %v got the reply to %v", call.token, call.reply.Token)
	case call.err == nil && !slices.Contains(call.executedAt, call.reply.Responder):
		s.violation("call %v got a reply from %v, but was executed by %v", call.token, call.reply.Responder, call.executedAt)
	case call.err != nil && rpcerror.ExecutionOf(call.err) == rpcerror.NotExecuted && !s.duplicates && len(call.executedAt) > 0:
		s.violation("call %v was executed by %v, but is reported as not executed: %v", call.token, call.executedAt, call.err)
	}
}

// checkReachability checks that calls to an address succeed within a few attempts when the network has no faults.
func (s *simulation) checkReachability(c *modelCaller, address string) {
	timeout := 10 * time.Second
	attemptsUntilReply := func(atMostOnce bool) (attempts int) {
		for attempts = 1; attempts < 10; attempts++ {
			if c.number%5 == 3 { // skip a number for which the handler fails
				c.number++
			}
			if c.call(address, atMostOnce, timeout, 0).err == nil {
				return attempts
			}
		}
		return attempts
	}
	previous, known := c.known[address]
	attempts := attemptsUntilReply(false)
	if restarted := known && previous.Node == s.servedBy(address).Node; restarted && attempts > 1 || attempts > 2 {
		s.violation("%d calls until %s replied to caller %d, which knew %v", attempts, address, c.index, previous)
	}
	if attempts := attemptsUntilReply(true); attempts > 1 {
		s.violation("%d at-most-once calls until %s replied to caller %d", attempts, address, c.index)
	}
}
