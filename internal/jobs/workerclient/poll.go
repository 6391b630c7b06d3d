package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// pollMergeDelay is how long the poll after an answered stop waits for further stops to share it.
const pollMergeDelay = 5 * time.Millisecond

// pollState is the state of the out-of-band polls, of which one at a time is under way.
type pollState struct {
	busy      bool // a goroutine makes polls, or is about to begin
	requested bool // a poll was requested since the last one was sent
}

// requestPoll requests a poll that begins after the delay, or another one after that under way. It grants nothing. While the worker
// is unreachable the renewal loop polls anyway. The caller holds the lock.
func (l *Link) requestPoll(delay time.Duration) {
	if l.ending != open || l.commands.suspended || l.health.contact == unreachable {
		return
	}
	l.polls.requested = true
	if l.polls.busy {
		return
	}
	l.polls.busy = true
	time.AfterFunc(delay, l.runPolls)
}

// runPolls makes one poll after another while they are requested.
func (l *Link) runPolls() {
	for l.pollInTurn() {
	}
}

// pollInTurn makes one poll once there is a connection for it, and reports whether another one may be due.
func (l *Link) pollInTurn() bool {
	begun := l.pool.acquire(l.done)
	if begun {
		defer l.pool.release()
	}
	c, due := l.nextPoll(begun && l.config.LeaderLeaseValid())
	if due {
		l.pollOnce(c)
	}
	return due
}

// nextPoll begins the next poll if one is requested, and otherwise records that none is under way.
func (l *Link) nextPoll(valid bool) (c listCall, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !valid || !l.polls.requested || l.ending != open || l.health.contact == unreachable {
		l.polls = pollState{}
		l.quiescent.Broadcast()
		return listCall{}, false
	}
	l.polls.requested = false
	l.counts.Polls++
	return l.beginPoll(l.roundTrips.pollTimeout()), true
}

// pollOnce makes one poll and takes in its result.
func (l *Link) pollOnce(c listCall) {
	response, sentAt, err := l.postIdempotent(idempotentCall{l.caller.renewal, c.body(), c.timeout})
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
		l.config.Connections.concurrency.outside(func() { l.wait(firstBackoff) })
		l.repeatPoll()
	default:
		l.deliver(c, response, true)
		l.supersedeRenewal()
	}
}

// pollFailed requests a further poll after one without a response, unless a renewal or a poll before it got none either: then the
// worker is unreachable.
func (l *Link) pollFailed() {
	l.mu.Lock()
	nowUnreachable := l.health.pollUnanswered()
	l.polls.requested = true
	l.mu.Unlock()
	if nowUnreachable {
		l.setContact(unreachable)
	}
}

// repeatPoll requests a further poll of the goroutine that makes them.
func (l *Link) repeatPoll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls.requested = true
}

// pollAfterCommand records a command without a response: no start is sent until a poll has shown whether the worker still responds.
func (l *Link) pollAfterCommand() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.commandUnanswered()
	l.requestPoll(0)
}

// pollAfterRenewal records a renewal without a response: the worker is unreachable unless it answers a poll. The caller holds the
// lock.
func (l *Link) pollAfterRenewal() {
	l.health.renewalUnanswered()
	l.requestPoll(0)
}

// awaitPolls waits until no poll is under way.
func (l *Link) awaitPolls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.polls.busy {
		l.quiescent.Wait()
	}
}
