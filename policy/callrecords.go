package policy

import (
	"slices"
)

// Records of calls in flight.

// startCall records a call of sub to b. The subquery joins the shared call of this step if that has room.
func (a *Aggregator) startCall(sub *subquery, b *backend) *call {
	if !a.canShareCall(b) {
		b.shared = &sharedCall{step: a.step}
		b.callsInFlight++
	}
	b.shared.subqueries++
	b.shared.unfinished++
	if sub.attempts == 0 {
		sub.firstSentAt = a.now
	} else {
		a.recordTime(&a.retryTimes)
		a.reserveRetry(sub, false)
	}
	b.lastUsedAt = a.now
	b.expectAnswer(a.now)
	c := &call{subquery: sub, number: CallNumber(sub.attempts), backend: b, sentAt: a.now, shared: b.shared}
	sub.attempts++
	sub.calls = append(sub.calls, c)
	b.calls = append(b.calls, c)
	return c
}

// canShareCall reports whether another subquery may share the call that is sent to b in this step.
func (a *Aggregator) canShareCall(b *backend) bool {
	return b.shared != nil && b.shared.step == a.step && b.shared.subqueries < a.settings.Layout.SubqueriesPerCall
}

// removeCall removes a call that has ended from the records and returns it. It returns nil for an unknown call.
func (a *Aggregator) removeCall(id SubqueryID, number CallNumber) *call {
	sub := a.subqueries[id]
	if sub == nil {
		return nil
	}
	i := slices.IndexFunc(sub.calls, func(c *call) bool { return c.number == number })
	if i < 0 {
		return nil
	}
	c := sub.calls[i]
	sub.calls = slices.Delete(sub.calls, i, i+1)
	c.backend.calls = slices.DeleteFunc(c.backend.calls, func(o *call) bool { return o == c })
	a.removeIfClosed(sub)
	return c
}

// leaveSharedCall records the end of one subquery of a shared call. With the last one, the call is no longer in flight.
func (a *Aggregator) leaveSharedCall(b *backend, shared *sharedCall) {
	if shared.unfinished--; shared.unfinished == 0 {
		b.callsInFlight--
	}
}

// cancel emits the cancellation of a call, at most once and only if the deployment permits cancellations.
func (a *Aggregator) cancel(c *call) {
	if a.settings.Limits.Cancel && !c.canceled {
		c.canceled = true
		a.emit(Action{Kind: Cancel, Subquery: c.subquery.id, Call: c.number})
	}
}

// cancelAll cancels all calls of a subquery.
func (a *Aggregator) cancelAll(sub *subquery) {
	for _, c := range sub.calls {
		a.cancel(c)
	}
}
