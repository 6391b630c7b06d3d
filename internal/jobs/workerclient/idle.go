package workerclient

import "time"

// ordersFirst is how long a hold lets orders go first that are under way.
const ordersFirst = 100 * time.Millisecond

// pollPause is the time between two looks at a worker with runs, where no connection is left for a hold that waits.
const pollPause = 250 * time.Millisecond

// restWhileIdle leaves a worker alone that has nothing to tell, where there are so many that not each can be held by a
// call that waits. An order ends the rest.
func (l *Link) restWhileIdle() {
	pause := l.config.Connections.idlePause(l.pace.longestIdle)
	if pause == 0 {
		return
	}
	select {
	case <-l.stir: // of an order that is known by now
	default:
	}
	if pause = l.restFor(pause); pause == 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.stir:
	case <-l.done:
	}
}

// awaitOrders lets orders that are under way go before the next hold, where there are so many workers that an idle one has
// one connection: the order takes it and the hold after it, instead of both at once, for which one must be opened.
func (l *Link) awaitOrders() {
	if !l.config.Connections.crowded() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workers == 0 {
		return
	}
	over := false
	timer := time.AfterFunc(ordersFirst, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		over = true
		l.idle.Broadcast()
	})
	defer timer.Stop()
	for l.workers > 0 && !over {
		l.idle.Wait()
	}
}

// restFor is how long the hold loop rests before its next call, if an idle worker may be left alone for a while.
func (l *Link) restFor(idle time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != open || l.granted.validUntil == 0 || l.occupied && l.waited {
		return 0
	}
	pause := idle
	if l.occupied {
		pause = pollPause
	}
	lead := l.granted.validUntil - l.clock.highest(l.now()) - l.pace.minimumLead // starts may be sent for so long
	return max(earlyAnswerPause, min(pause, lead))
}

// mayWait tells whether the worker may wait for an end before it answers: the grant lasts, and there is a connection for
// its orders besides. The caller holds the lock.
func (l *Link) mayWait(sentAt time.Time) bool {
	if !l.listed || l.granted.validUntil-l.clock.highest(sentAt) < l.pace.minimumLead+l.pace.holdWait {
		return false
	}
	idle := !l.occupied && l.config.Connections.idlePause(l.pace.longestIdle) > 0
	return !idle && l.lane.mayWait()
}
