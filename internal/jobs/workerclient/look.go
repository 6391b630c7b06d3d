package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// mergeDelay is how long the look after an answered stop waits for further stops to share it.
const mergeDelay = 5 * time.Millisecond

// lookState is the state of the out-of-band looks, of which one at a time is under way.
type lookState struct {
	busy   bool // a goroutine makes looks, or is about to begin
	wanted bool // a look was asked for since the last one was sent
}

// requestLook asks for a look that begins after the delay, or for another one after that under way. It grants nothing. While
// the worker is unreachable the hold loop looks anyway. The caller holds the lock.
func (l *Link) requestLook(delay time.Duration) {
	if l.ending != open || l.suspended || l.contact == unreachable {
		return
	}
	l.look.wanted = true
	if l.look.busy {
		return
	}
	l.look.busy = true
	time.AfterFunc(delay, l.runLooks)
}

// runLooks makes one look after another while they are wanted.
func (l *Link) runLooks() {
	for l.lookInTurn() {
	}
}

// lookInTurn makes one look once there is a connection for it, and tells whether another one may be due.
func (l *Link) lookInTurn() bool {
	begun := l.lane.begin(l.done)
	if begun {
		defer l.lane.end()
	}
	c, due := l.nextLook(begun && l.config.LeaderLeaseValid())
	if due {
		l.lookOnce(c)
	}
	return due
}

// nextLook begins the next look if one is wanted, and otherwise notes that none is under way.
func (l *Link) nextLook(valid bool) (c holdCall, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !valid || !l.look.wanted || l.ending != open || l.contact == unreachable {
		l.look = lookState{}
		l.idle.Broadcast()
		return holdCall{}, false
	}
	l.look.wanted = false
	l.counts.Polls++
	return l.beginLook(l.roundTrips.lookLimit()), true
}

// beginLook makes a call that asks for both lists at once and grants nothing. The caller holds the lock.
func (l *Link) beginLook(timeout time.Duration) holdCall {
	request := holdRequest{fencingToken: l.config.FencingToken, lastSeen: l.acknowledged}
	return holdCall{request: request, sentAt: l.sendTime(), timeout: timeout}
}

func (l *Link) lookOnce(c holdCall) {
	a, sentAt, err := l.postRepeatable(repeatableCall{l.caller.hold, c.body(), c.timeout})
	if err == nil {
		c.sentAt = sentAt
	}
	l.settleHold(c, a, err, l.now())
	switch {
	case err != nil:
		l.log.Debug("look without answer", zap.Error(err))
		l.lookFailed()
	case l.endedBy(a):
	case a.status != http.StatusOK:
		l.holdRefused(a.status)
		l.config.Connections.work.leave()
		l.sleep(firstPause)
		l.config.Connections.work.enter()
		l.wantLook()
	default:
		l.deliver(c, a, true)
		l.supersedeHold()
	}
}

// lookFailed repeats a look that got no answer, unless a hold or a look before it did not get one either: then the worker
// is unreachable.
func (l *Link) lookFailed() {
	l.mu.Lock()
	confirmed := l.suspected
	l.doubtful, l.suspected = true, true
	l.look.wanted = true
	l.mu.Unlock()
	if confirmed {
		l.setContact(unreachable)
	}
}

func (l *Link) wantLook() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look.wanted = true
}

// doubt notes an order without an answer: no start is sent until a look has shown whether the worker still answers.
func (l *Link) doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubtful = true
	l.requestLook(0)
}

// suspect notes a hold without an answer: the worker is unreachable unless it answers a look. The caller holds the lock.
func (l *Link) suspect() {
	l.doubtful, l.suspected = true, true
	l.requestLook(0)
}

// awaitLook waits until no look is under way.
func (l *Link) awaitLook() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.look.busy {
		l.idle.Wait()
	}
}
