package workerclient

import "time"

// commandYieldTimeout is the maximum time for which a renewal waits for the commands in flight.
const commandYieldTimeout = 100 * time.Millisecond

// busyPollInterval is the time between two polls of a worker with attempts if no connection is free for a long poll.
const busyPollInterval = 250 * time.Millisecond

// waitBetweenPolls waits before the next poll if there are too many workers for a long poll at each of them. A command ends the wait.
func (l *Link) waitBetweenPolls() {
	delay := l.config.Connections.idlePollInterval(l.timings.maxIdleInterval)
	if delay == 0 {
		return
	}
	select {
	case <-l.commandQueued: // discard the notification of an earlier command
	default:
	}
	if delay = l.delayBetweenPolls(delay); delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.commandQueued:
	case <-l.done:
	}
}

// yieldToCommands delays the next renewal until the commands in flight have ended, if there are so many workers that an idle one has a
// single connection. The command and the renewal then share that connection one after the other. Otherwise a second connection would
// have to be opened.
func (l *Link) yieldToCommands() {
	if !l.config.Connections.exceedsLongPollLimit() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.commands.activeSenders == 0 {
		return
	}
	timedOut := false
	timer := time.AfterFunc(commandYieldTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		timedOut = true
		l.inFlightChanged.Broadcast()
	})
	defer timer.Stop()
	for l.commands.activeSenders > 0 && !timedOut {
		l.inFlightChanged.Wait()
	}
}

// delayBetweenPolls returns the delay before the next call of the renewal loop, given the poll interval of an idle worker. It returns 0
// if a long poll follows.
func (l *Link) delayBetweenPolls(idleInterval time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != notEnded || l.lease.confirmed.validUntil == 0 || l.activity.mayHaveWork && l.activity.longPolled {
		return 0
	}
	delay := idleInterval
	if l.activity.mayHaveWork {
		delay = busyPollInterval
	}
	startWindow := l.lease.remaining(l.now()) - l.timings.minRemainingLease // time for which starts may still be sent
	return max(earlyResponseDelay, min(delay, startWindow))
}

// mayLongPoll reports whether the next renewal may be a long poll: the lease is long enough, and a further connection is available for
// commands. The caller holds the lock. If the result is true, the caller must end the long poll with hostPool.endLongPoll.
func (l *Link) mayLongPoll(sentAt time.Time) bool {
	if !l.activity.listed || l.lease.remaining(sentAt) < l.timings.minRemainingLease+l.timings.longPollWait {
		return false
	}
	idle := !l.activity.mayHaveWork && l.config.Connections.idlePollInterval(l.timings.maxIdleInterval) > 0
	return !idle && l.pool.beginLongPoll()
}
