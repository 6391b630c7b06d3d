package workerclient

import "time"

// commandPrecedence is how long a renewal lets commands that are under way go first.
const commandPrecedence = 100 * time.Millisecond

// busyPollInterval is the time between two polls of a worker with attempts, where no connection is left for a long poll.
const busyPollInterval = 250 * time.Millisecond

// idleBetweenPolls leaves an idle worker alone for a while, where there are too many for a long poll at each. A command ends the
// wait.
func (l *Link) idleBetweenPolls() {
	delay := l.config.Connections.idlePollInterval(l.pace.maxIdleInterval)
	if delay == 0 {
		return
	}
	select {
	case <-l.commandQueued: // of a command that is known by now
	default:
	}
	if delay = l.idleDelay(delay); delay == 0 {
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

// yieldToCommands lets commands that are under way go before the next renewal, where there are so many workers that an idle one has
// one connection: the command takes it and the renewal after it, instead of both at once, for which one must be opened.
func (l *Link) yieldToCommands() {
	if !l.config.Connections.overLongPollLimit() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.commands.senders == 0 {
		return
	}
	over := false
	timer := time.AfterFunc(commandPrecedence, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		over = true
		l.quiescent.Broadcast()
	})
	defer timer.Stop()
	for l.commands.senders > 0 && !over {
		l.quiescent.Wait()
	}
}

// idleDelay is how long the renewal loop waits before its next call; idle is how long an idle worker may be left alone. It is 0 where
// a long poll is about to follow.
func (l *Link) idleDelay(idle time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != open || l.lease.confirmed.validUntil == 0 || l.activity.mayHaveWork && l.activity.longPolled {
		return 0
	}
	delay := idle
	if l.activity.mayHaveWork {
		delay = busyPollInterval
	}
	lead := l.lease.remaining(l.now()) - l.pace.minLeaseLead // starts may be sent for so long
	return max(earlyResponseDelay, min(delay, lead))
}

// mayLongPoll reports whether the worker may wait for a completion before it responds: the lease lasts, and there is a connection for
// its commands besides. The caller holds the lock, and ends the long poll if there is one.
func (l *Link) mayLongPoll(sentAt time.Time) bool {
	if !l.activity.listed || l.lease.remaining(sentAt) < l.pace.minLeaseLead+l.pace.longPollWait {
		return false
	}
	idle := !l.activity.mayHaveWork && l.config.Connections.idlePollInterval(l.pace.maxIdleInterval) > 0
	return !idle && l.pool.beginLongPoll()
}
