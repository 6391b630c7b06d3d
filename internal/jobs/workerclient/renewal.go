package workerclient

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	firstBackoff       = 150 * time.Millisecond // delay after a failed call of the renewal loop; doubles with each failure
	maxBackoff         = 600 * time.Millisecond
	earlyResponseDelay = 100 * time.Millisecond // delay after a long poll that returned early without a completion
)

// pendingRenewal is the newest call of the renewal loop.
type pendingRenewal struct {
	cancel   context.CancelFunc
	progress renewalProgress
}

// renewalProgress is the state of a renewal without a response. It only increases.
type renewalProgress uint8

const (
	onTime     renewalProgress = iota // the response is not overdue yet
	overdue                           // the response is overdue; a poll determines whether the worker is reachable
	superseded                        // a poll was answered instead, and the renewal was cancelled
)

// markOverdue records that the response is overdue.
func (r *pendingRenewal) markOverdue() { r.progress = max(r.progress, overdue) }

// supersede cancels the renewal if it is overdue.
func (r *pendingRenewal) supersede() {
	if r.progress >= overdue {
		r.progress = superseded
		r.cancel()
	}
}

// Run polls the worker and then renews its lease until the link is closed, the context ends, the worker's incarnation ends, or the
// worker has seen a higher fencing token. It returns after all results were reported.
func (l *Link) Run(ctx context.Context) {
	defer l.pool.removeLink()
	defer l.cancel()
	defer l.awaitSenders()
	stopWatchingContext := context.AfterFunc(ctx, l.Close)
	defer stopWatchingContext()
	backoff := firstBackoff
	for !l.ended() {
		l.yieldToCommands()
		proceed, lastResult := l.renewWithConnection() //nolint:contextcheck // all calls, including those of Start and Stop, use the link's own context
		if !proceed {
			l.wait(backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		l.delayAfter(lastResult)
		l.waitBetweenPolls()
	}
}

// renewalResult is a call of the renewal loop and its response.
type renewalResult struct {
	call     listCall
	response workerResponse
	received time.Time
}

// renewWithConnection waits for a connection, makes one call, and reports whether the next call may follow without a backoff.
func (l *Link) renewWithConnection() (proceed bool, result renewalResult) {
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

// setSuspended records whether sending commands is suspended, and dispatches the queue.
func (l *Link) setSuspended(suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.suspended = suspended
	l.dispatch()
}

// awaitSenders waits until no command, poll or hedged request is in flight.
func (l *Link) awaitSenders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.commands.activeSenders > 0 || l.polls.running || l.hedges > 0 {
		l.inFlightChanged.Wait()
	}
}

// renewOnce makes one call and reports whether the next call may follow without a backoff.
func (l *Link) renewOnce() (proceed bool, result renewalResult) {
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

// beginRenewal creates the next call of the renewal loop and records its grant. The call is a poll while the worker is unreachable or
// has not listed its attempts yet. Otherwise it renews the lease if that is due, and is a long poll if that is allowed.
func (l *Link) beginRenewal() listCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Renewals++
	if l.health.reachability == unreachable {
		return l.beginPoll(unreachablePollTimeout)
	}
	c := l.beginPoll(0)
	l.activity.longPolled = l.mayLongPoll(c.sentAt)
	if l.activity.longPolled {
		c.request.waitMS = l.timings.longPollWait.Milliseconds()
	}
	c.overdueAfter = c.wait() + l.rtt.overdueDelay()
	c.timeout = c.overdueAfter + l.rtt.pollTimeout() + overduePollMargin
	if l.activity.listed && c.sentAt.Sub(l.lease.confirmed.requestedAt) > l.timings.renewalAge {
		l.addGrant(&c)
	}
	return c
}

// addGrant makes the call renew the lease, if that extends it. The caller holds the lock.
func (l *Link) addGrant(c *listCall) {
	validUntil, extends := l.lease.extension(l.config.MaxLease, c.sentAt)
	if !extends {
		return
	}
	c.validUntil = validUntil
	c.request.validUntilMS = validUntil.Milliseconds()
	c.grant = l.lease.grant(validUntil, c.sentAt, c.timeout)
}

// postRenewal makes a call of the renewal loop. If its response is overdue, an out-of-band poll is sent.
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
	return l.rpc.post(ctx, l.rpc.renewal, c.body(), c.timeout)
}

// renewalOverdue requests a poll because the response to a renewal is overdue.
func (l *Link) renewalOverdue(pending *pendingRenewal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingRenewal != pending {
		return
	}
	pending.markOverdue()
	l.counts.OverdueRenewals++
	l.pollAfterUnansweredRenewal()
}

// supersedeRenewal cancels an overdue renewal after a poll was answered.
func (l *Link) supersedeRenewal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingRenewal != nil {
		l.pendingRenewal.supersede()
	}
}

// renewalFailed handles a renewal without a response. It waits for a poll that shows whether the worker is reachable, and reports
// whether the next renewal may follow without a backoff.
func (l *Link) renewalFailed(c listCall) bool {
	if c.overdueAfter == 0 {
		l.setReachability(unreachable)
		return false
	}
	l.mu.Lock()
	pending := l.pendingRenewal
	if pending.progress == onTime { // the connection broke, or this process was paused
		if l.now().Sub(c.sentAt) >= c.overdueAfter {
			pending.markOverdue()
		}
		l.pollAfterUnansweredRenewal()
	}
	l.mu.Unlock()
	l.config.Connections.concurrency.releaseWhile(l.awaitPolls)
	l.mu.Lock()
	defer l.mu.Unlock()
	return pending.progress == superseded
}

// delayAfter waits before the next renewal if the worker would respond to it at once. That is the case after completions, because the
// worker lists them until they are acknowledged. It may also be the case after a response that arrived early for no known reason.
func (l *Link) delayAfter(lastResult renewalResult) {
	if newest := lastResult.response.newestCompletion(); newest > 0 {
		l.awaitAcknowledgement(newest)
		l.markIdleIfAcknowledged(lastResult, newest)
		return
	}
	if waited := lastResult.received.Sub(lastResult.call.sentAt); lastResult.call.request.waitMS > 0 && waited < l.timings.longPollWait/2 {
		l.wait(earlyResponseDelay)
	}
}

// wait blocks for the given duration or until the link ends.
func (l *Link) wait(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}
