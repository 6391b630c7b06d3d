package workerclient

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	firstBackoff     = 150 * time.Millisecond // after a poll that failed
	maxBackoff       = 600 * time.Millisecond
	earlyAnswerDelay = 100 * time.Millisecond // after a renewal that was answered early without a completion

	acknowledgementTimeout     = 60 * time.Millisecond  // how long the renewal after new completions waits for their acknowledgement
	repeatedCompletionsTimeout = 150 * time.Millisecond // and how long the one after completions that are listed again
	redeliveryAge              = time.Second            // completions not acknowledged for so long are delivered again
)

// listCall is one call that asks for both lists.
type listCall struct {
	request    listRequest
	sentAt     time.Time
	hedgeAfter time.Duration // 0 for a call that is not hedged
	timeout    time.Duration
	validUntil time.Duration // of the grant that it carries, on the worker's clock; 0 for none
	grant      *leaseGrant   // nil for none
}

func (c *listCall) body() []byte { return c.request.append(make([]byte, 0, listRequestBytes)) }

func (c *listCall) wait() time.Duration { return time.Duration(c.request.waitMS) * time.Millisecond }

// pendingRenewal is the newest call of the renewal loop.
type pendingRenewal struct {
	abandon  context.CancelFunc
	progress renewalProgress
}

// renewalProgress only ever grows.
type renewalProgress uint8

const (
	inTime     renewalProgress = iota // its response may still come in time
	overdue                           // it should have been answered by now: a poll decides
	superseded                        // a poll was answered instead, and the renewal given up
)

// markOverdue notes that the response should have come by now.
func (r *pendingRenewal) markOverdue() { r.progress = max(r.progress, overdue) }

// supersede gives up the renewal if it is overdue.
func (r *pendingRenewal) supersede() {
	if r.progress >= overdue {
		r.progress = superseded
		r.abandon()
	}
}

// Run looks at the worker and then holds what attempts there, until the link is closed, the context ends, the worker's incarnation
// is over or a higher fencing token was seen. It returns once everything was reported.
func (l *Link) Run(ctx context.Context) {
	defer l.pool.leave()
	defer l.cancel()
	defer l.awaitSenders()
	unlink := context.AfterFunc(ctx, l.Close)
	defer unlink()
	pause := firstBackoff
	for !l.ended() {
		l.yieldToCommands()
		again, last := l.renewInTurn()
		if !again {
			l.wait(pause)
			pause = min(2*pause, maxBackoff)
			continue
		}
		pause = firstBackoff
		l.delayAfter(last)
		l.idleBetweenPolls()
	}
}

// renewalAnswer is a call of the renewal loop with its answer.
type renewalAnswer struct {
	call     listCall
	answer   workerResponse
	received time.Time
}

// renewInTurn makes one call once there is a connection for it, and reports whether the next one may follow.
func (l *Link) renewInTurn() (again bool, last renewalAnswer) {
	if !l.pool.acquire(l.done) {
		return false, renewalAnswer{}
	}
	defer l.pool.release()
	valid := l.config.LeaderLeaseValid()
	l.setSuspended(!valid)
	if !valid {
		return false, renewalAnswer{}
	}
	return l.renewOnce()
}

// setSuspended notes whether commands may be sent at all, and goes through those that wait.
func (l *Link) setSuspended(suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.suspended = suspended
	l.dispatch()
}

func (l *Link) awaitSenders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.commands.senders > 0 || l.polls.busy || l.hedges > 0 {
		l.quiescent.Wait()
	}
}

// renewOnce makes one call and reports whether the next one may follow at once.
func (l *Link) renewOnce() (again bool, last renewalAnswer) {
	c := l.beginRenewal()
	response, err := l.postRenewal(c)
	if c.request.waitMS > 0 {
		l.pool.endLongPoll()
	}
	received := l.now()
	l.settleListCall(c, response, err, received)
	if err != nil {
		l.log.Debug("hold without answer", zap.Error(err))
		return l.renewalFailed(c), renewalAnswer{}
	}
	if l.endedBy(response) {
		return false, renewalAnswer{}
	}
	if response.status != http.StatusOK {
		l.listRefused(response.status)
		return false, renewalAnswer{}
	}
	l.deliver(c, response, false)
	return true, renewalAnswer{c, response, received}
}

// beginRenewal decides what the next call of the renewal loop asks for and notes its grant.
func (l *Link) beginRenewal() listCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Renewals++
	if l.health.contact == unreachable {
		return l.beginPoll(unreachablePollTimeout)
	}
	c := l.beginPoll(0)
	l.activity.longPolled = l.mayLongPoll(c.sentAt)
	if l.activity.longPolled {
		c.request.waitMS = l.pace.longPollWait.Milliseconds()
	}
	c.hedgeAfter = c.wait() + l.roundTrips.overdueDelay()
	c.timeout = c.hedgeAfter + l.roundTrips.pollTimeout() + abandonMargin
	if l.activity.listed && c.sentAt.Sub(l.lease.confirmed.requestedAt) > l.pace.renewalAge {
		l.addGrant(&c)
	}
	return c
}

// addGrant makes the call renew the lease, if that makes it longer. The caller holds the lock.
func (l *Link) addGrant(c *listCall) {
	validUntil, longer := l.lease.extension(l.config.MaxLease, c.sentAt)
	if !longer {
		return
	}
	c.validUntil = validUntil
	c.request.validUntilMS = validUntil.Milliseconds()
	c.grant = l.lease.grant(validUntil, c.sentAt, c.timeout)
}

// postRenewal makes a call of the renewal loop, which is hedged by a poll when its answer is overdue.
func (l *Link) postRenewal(c listCall) (workerResponse, error) {
	ctx, abandon := context.WithCancel(l.context)
	defer abandon()
	pending := &pendingRenewal{abandon: abandon}
	l.mu.Lock()
	l.pendingRenewal = pending
	l.mu.Unlock()
	if c.hedgeAfter > 0 {
		timer := time.AfterFunc(c.hedgeAfter, func() { l.renewalOverdue(pending) })
		defer timer.Stop()
	}
	return l.caller.post(ctx, l.caller.renewal, c.body(), c.timeout)
}

// renewalOverdue polls of a worker that has left a renewal without an answer.
func (l *Link) renewalOverdue(pending *pendingRenewal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingRenewal != pending {
		return
	}
	pending.markOverdue()
	l.counts.OverdueRenewals++
	l.suspect()
}

// supersedeRenewal gives up an overdue renewal after a poll was answered.
func (l *Link) supersedeRenewal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingRenewal != nil {
		l.pendingRenewal.supersede()
	}
}

// renewalFailed lets a poll decide what a renewal without an answer means, and reports whether the next renewal may follow at once.
func (l *Link) renewalFailed(c listCall) bool {
	if c.hedgeAfter == 0 {
		l.setContact(unreachable)
		return false
	}
	l.mu.Lock()
	pending := l.pendingRenewal
	if pending.progress == inTime { // its connection broke, or this process stood still
		if l.now().Sub(c.sentAt) >= c.hedgeAfter {
			pending.markOverdue()
		}
		l.suspect()
	}
	l.mu.Unlock()
	l.config.Connections.concurrency.release()
	l.awaitPolls()
	l.config.Connections.concurrency.acquire()
	l.mu.Lock()
	defer l.mu.Unlock()
	return pending.progress == superseded
}

// settleListCall takes in what an answer, or its absence, says about the worker's clock and about the grant.
func (l *Link) settleListCall(c listCall, response workerResponse, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.observe(response, c.sentAt, received)
	l.lease.settle(c.grant, c.validUntil, err, received)
	if err != nil {
		return
	}
	if trip := received.Sub(c.sentAt) - c.wait(); trip >= 0 { // otherwise the worker did not wait to the end
		l.roundTrips.observe(trip)
	}
	if c.grant != nil && response.status == http.StatusOK {
		l.lease.confirmed = confirmedLease{c.validUntil, c.sentAt}
	}
}

// listRefused notes a call that was answered without the lists. A single one says little.
func (l *Link) listRefused(status int) {
	l.log.Debug("hold refused", zap.Int("status", status))
	l.mu.Lock()
	nowUnreachable := l.health.listRefused()
	l.dispatch()
	l.mu.Unlock()
	if nowUnreachable {
		l.setContact(unreachable)
	}
}

// delayAfter waits before the next renewal where the worker would answer it at once: after ends, as it lists them until they
// are acknowledged, and after an answer that came early for no reason known.
func (l *Link) delayAfter(last renewalAnswer) {
	if newest := last.answer.newestCompletion(); newest > 0 {
		l.awaitAcknowledgement(newest)
		l.markIdleIfAcknowledged(last, newest)
		return
	}
	if waited := last.received.Sub(last.call.sentAt); last.call.request.waitMS > 0 && waited < l.pace.longPollWait/2 {
		l.wait(earlyAnswerDelay)
	}
}

// awaitAcknowledgement waits until the completions up to a number are durable: shortly after new ones, so that further completions are
// received soon in any case, and longer when the same ones are listed again.
func (l *Link) awaitAcknowledgement(number uint64) {
	patience := acknowledgementTimeout
	if number <= l.awaitedCompletion {
		patience = repeatedCompletionsTimeout
		l.countRepeatedCompletions()
	}
	l.awaitedCompletion = max(l.awaitedCompletion, number)
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for {
		l.mu.Lock()
		over := l.acknowledged >= number || l.ending != open
		l.mu.Unlock()
		if over {
			return
		}
		select {
		case <-l.acknowledgementArrived:
		case <-l.done:
		case <-limit.C:
			return
		}
	}
}

// markIdleIfAcknowledged notes that a worker is idle if its last answer lists nothing but completions that are durable by now. The next
// call acknowledges them, however late it is.
func (l *Link) markIdleIfAcknowledged(last renewalAnswer, newest uint64) {
	reply := &last.answer.body
	if len(reply.Running) > 0 || len(reply.Finished) >= maxFinishedPerResponse {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged >= newest && l.commands.answeredBefore(last.call.sentAt) {
		l.activity.mayHaveWork = false
	}
}

func (l *Link) countRepeatedCompletions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.RepeatedCompletions++
}

// wait waits for a while, or until the link ends.
func (l *Link) wait(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}
