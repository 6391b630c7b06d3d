package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// pollMergeDelay is the delay of the poll after an answered stop. Further stops that are answered within it share the poll.
const pollMergeDelay = 5 * time.Millisecond

// pollState is the state of the out-of-band polls. At most one of them is in flight.
type pollState struct {
	running   bool // a goroutine sends polls or is scheduled to do so
	requested bool // a poll was requested after the last one was sent
}

// requestPoll requests a poll after the delay. If a poll is in flight, the requested one follows it. A poll grants no lease. While the
// worker is unreachable the request is ignored, because the renewal loop sends polls then. The caller holds the lock.
func (l *Link) requestPoll(delay time.Duration) {
	if l.endReason != notEnded || l.commands.suspended || l.health.reachability == unreachable {
		return
	}
	l.polls.requested = true
	if l.polls.running {
		return
	}
	l.polls.running = true
	time.AfterFunc(delay, l.runPolls)
}

// runPolls sends polls one after another while further ones are requested.
func (l *Link) runPolls() {
	for l.pollWithConnection() {
	}
}

// pollWithConnection waits for a connection, sends a poll if one is due, and reports whether it was due.
func (l *Link) pollWithConnection() bool {
	acquired := l.pool.acquire(l.done)
	if acquired {
		defer l.pool.release()
	}
	c, due := l.nextPoll(acquired && l.config.LeaderLeaseValid())
	if due {
		l.pollOnce(c)
	}
	return due
}

// nextPoll returns the next poll if one is due. Otherwise it records that no goroutine sends polls.
func (l *Link) nextPoll(mayCall bool) (c listCall, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !mayCall || !l.polls.requested || l.endReason != notEnded || l.health.reachability == unreachable {
		l.polls = pollState{}
		l.inFlightChanged.Broadcast()
		return listCall{}, false
	}
	l.polls.requested = false
	l.counts.Polls++
	return l.beginPoll(l.rtt.pollTimeout()), true
}

// pollOnce sends one poll and handles its result.
func (l *Link) pollOnce(c listCall) {
	response, sentAt, err := l.postIdempotent(idempotentCall{l.rpc.renewal, c.body(), c.timeout})
	if err == nil {
		c.sentAt = sentAt
	}
	l.handleListResponse(c, response, err, l.now())
	switch {
	case err != nil:
		l.log.Debug("poll without response", zap.Error(err))
		l.pollFailed()
	case l.endedBy(response):
	case response.status != http.StatusOK:
		l.listRefused(response.status)
		l.config.Connections.concurrency.releaseWhile(func() { l.wait(firstBackoff) })
		l.repeatPoll()
	default:
		l.deliver(c, response, true)
		l.supersedeRenewal()
	}
}

// pollFailed handles a poll without a response. It requests a further poll. If the renewal or poll before it got no response either, the
// worker becomes unreachable.
func (l *Link) pollFailed() {
	l.mu.Lock()
	nowUnreachable := l.health.pollUnanswered()
	l.polls.requested = true
	l.mu.Unlock()
	if nowUnreachable {
		l.setReachability(unreachable)
	}
}

// repeatPoll requests a further poll from the running goroutine.
func (l *Link) repeatPoll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls.requested = true
}

// pollAfterUnansweredCommand records a command without a response and requests a poll. No start is sent until the poll has shown
// whether the worker still responds.
func (l *Link) pollAfterUnansweredCommand() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.commandUnanswered()
	l.requestPoll(0)
}

// pollAfterUnansweredRenewal records a renewal without a response and requests a poll. If the poll gets no response either, the worker
// becomes unreachable. The caller holds the lock.
func (l *Link) pollAfterUnansweredRenewal() {
	l.health.renewalUnanswered()
	l.requestPoll(0)
}

// awaitPolls waits until no out-of-band poll is in flight.
func (l *Link) awaitPolls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.polls.running {
		l.inFlightChanged.Wait()
	}
}
