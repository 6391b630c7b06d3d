package workerclient

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	firstBackoff       = 150 * time.Millisecond // after a call of the renewal loop that failed
	maxBackoff         = 600 * time.Millisecond
	earlyResponseDelay = 100 * time.Millisecond // after a long poll that was answered early without a completion
)

// pendingRenewal is the newest call of the renewal loop.
type pendingRenewal struct {
	cancel   context.CancelFunc
	progress renewalProgress
}

// renewalProgress is how far a renewal without a response has come. It only grows.
type renewalProgress uint8

const (
	inTime     renewalProgress = iota // its response may still come in time
	overdue                           // the response should have come by now: a poll decides
	superseded                        // a poll was answered instead, and the renewal cancelled
)

// markOverdue records that the response should have come by now.
func (r *pendingRenewal) markOverdue() { r.progress = max(r.progress, overdue) }

// supersede cancels the renewal if it is overdue.
func (r *pendingRenewal) supersede() {
	if r.progress >= overdue {
		r.progress = superseded
		r.cancel()
	}
}

// Run polls the worker and then keeps its lease renewed, until the link is closed, the context ends, the worker's incarnation is over
// or a higher fencing token was seen. It returns once everything was reported.
func (l *Link) Run(ctx context.Context) {
	defer l.pool.leave()
	defer l.cancel()
	defer l.awaitSenders()
	unlink := context.AfterFunc(ctx, l.Close)
	defer unlink()
	backoff := firstBackoff
	for !l.ended() {
		l.yieldToCommands()
		proceed, last := l.renewInTurn() //nolint:contextcheck // all calls end with the link's own context, those of Start and Stop, too
		if !proceed {
			l.wait(backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		l.delayAfter(last)
		l.idleBetweenPolls()
	}
}

// renewalResult is a call of the renewal loop with its response.
type renewalResult struct {
	call     listCall
	response workerResponse
	received time.Time
}

// renewInTurn makes one call once there is a connection for it, and reports whether the next one may follow without a backoff.
func (l *Link) renewInTurn() (proceed bool, last renewalResult) {
	if !l.pool.acquire(l.done) {
		return false, renewalResult{}
	}
	defer l.pool.release()
	valid := l.config.LeaderLeaseValid()
	l.setSuspended(!valid)
	if !valid {
		return false, renewalResult{}
	}
	return l.renewOnce()
}

// setSuspended records whether commands may be sent at all, and dispatches those that are queued.
func (l *Link) setSuspended(suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.suspended = suspended
	l.dispatch()
}

// awaitSenders waits until no command, poll or hedged request is under way.
func (l *Link) awaitSenders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.commands.senders > 0 || l.polls.busy || l.hedges > 0 {
		l.quiescent.Wait()
	}
}

// renewOnce makes one call and reports whether the next one may follow without a backoff.
func (l *Link) renewOnce() (proceed bool, last renewalResult) {
	c := l.beginRenewal()
	response, err := l.postRenewal(c)
	if c.request.waitMS > 0 {
		l.pool.endLongPoll()
	}
	received := l.now()
	l.handleListResponse(c, response, err, received)
	if err != nil {
		l.log.Debug("lease renewal without response", zap.Error(err))
		return l.renewalFailed(c), renewalResult{}
	}
	if l.endedBy(response) {
		return false, renewalResult{}
	}
	if response.status != http.StatusOK {
		l.listRefused(response.status)
		return false, renewalResult{}
	}
	l.deliver(c, response, false)
	return true, renewalResult{c, response, received}
}

// beginRenewal decides what the next call of the renewal loop requests and records its grant: a poll while the worker is unreachable,
// otherwise a renewal once the lists are known, as a long poll where that is allowed.
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
	c.overdueAfter = c.wait() + l.roundTrips.overdueDelay()
	c.timeout = c.overdueAfter + l.roundTrips.pollTimeout() + overduePollMargin
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

// postRenewal makes a call of the renewal loop. When its response is overdue a poll is made beside it.
func (l *Link) postRenewal(c listCall) (workerResponse, error) {
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	pending := &pendingRenewal{cancel: cancel}
	l.mu.Lock()
	l.pendingRenewal = pending
	l.mu.Unlock()
	if c.overdueAfter > 0 {
		timer := time.AfterFunc(c.overdueAfter, func() { l.renewalOverdue(pending) })
		defer timer.Stop()
	}
	return l.caller.post(ctx, l.caller.renewal, c.body(), c.timeout)
}

// renewalOverdue requests a poll of a worker that has left a renewal without a response.
func (l *Link) renewalOverdue(pending *pendingRenewal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingRenewal != pending {
		return
	}
	pending.markOverdue()
	l.counts.OverdueRenewals++
	l.pollAfterRenewal()
}

// supersedeRenewal cancels an overdue renewal after a poll was answered.
func (l *Link) supersedeRenewal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingRenewal != nil {
		l.pendingRenewal.supersede()
	}
}

// renewalFailed lets a poll decide what a renewal without a response means, and reports whether the next renewal may follow without a
// backoff.
func (l *Link) renewalFailed(c listCall) bool {
	if c.overdueAfter == 0 {
		l.setContact(unreachable)
		return false
	}
	l.mu.Lock()
	pending := l.pendingRenewal
	if pending.progress == inTime { // its connection broke, or this process was paused
		if l.now().Sub(c.sentAt) >= c.overdueAfter {
			pending.markOverdue()
		}
		l.pollAfterRenewal()
	}
	l.mu.Unlock()
	l.config.Connections.concurrency.outside(l.awaitPolls)
	l.mu.Lock()
	defer l.mu.Unlock()
	return pending.progress == superseded
}

// delayAfter waits before the next renewal where the worker would respond to it at once: after completions, as it lists them until
// they are acknowledged, and after a response that came early for no known reason.
func (l *Link) delayAfter(last renewalResult) {
	if newest := last.response.newestCompletion(); newest > 0 {
		l.awaitAcknowledgement(newest)
		l.markIdleIfAcknowledged(last, newest)
		return
	}
	if waited := last.received.Sub(last.call.sentAt); last.call.request.waitMS > 0 && waited < l.pace.longPollWait/2 {
		l.wait(earlyResponseDelay)
	}
}

// wait waits for a while, or until the link ends.
func (l *Link) wait(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}
