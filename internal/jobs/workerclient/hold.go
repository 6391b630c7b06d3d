package workerclient

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	firstPause        = 150 * time.Millisecond // after a look that failed
	longestPause      = 600 * time.Millisecond
	earlyAnswerPause  = 100 * time.Millisecond // after a hold that was answered early without an end
	refusalsTolerated = 1                      // holds refused in a row before a worker counts as unreachable

	acknowledgePatience = 60 * time.Millisecond  // how long the hold after new ends waits for their acknowledgement
	repeatedHoldPause   = 150 * time.Millisecond // and how long the one after ends that are listed again
	repeatAge           = time.Second            // ends not acknowledged for so long are delivered again
)

// holdCall is one call that asks for both lists.
type holdCall struct {
	request    holdRequest
	sentAt     time.Time
	hedgeAfter time.Duration // 0 for a call that is not hedged
	timeout    time.Duration
	validUntil time.Duration // of the grant that it carries, on the worker's clock; 0 for none
	grant      *grant        // nil for none
}

func (c *holdCall) body() []byte { return c.request.append(make([]byte, 0, holdBytes)) }

func (c *holdCall) wait() time.Duration { return time.Duration(c.request.waitMS) * time.Millisecond }

// pendingHold is the newest call of the hold loop.
type pendingHold struct {
	abandon    context.CancelFunc
	overdue    bool // it should have been answered by now
	superseded bool // a look was answered instead
}

// Run looks at the worker and then holds what runs there, until the link is closed, the context ends, the worker's life
// is over or a higher fencing token was seen. It returns once everything was reported.
func (l *Link) Run(ctx context.Context) {
	defer l.lane.leave()
	defer l.cancel()
	defer l.awaitWorkers()
	unlink := context.AfterFunc(ctx, l.Close)
	defer unlink()
	pause := firstPause
	for !l.ended() {
		l.awaitOrders()
		again, last := l.holdInTurn()
		if !again {
			l.sleep(pause)
			pause = min(2*pause, longestPause)
			continue
		}
		pause = firstPause
		l.pauseAfter(last)
		l.restWhileIdle()
	}
}

// answered is a call of the hold loop with its answer.
type answered struct {
	call     holdCall
	answer   answer
	received time.Time
}

// holdInTurn makes one call once there is a connection for it, and tells whether the next one may follow.
func (l *Link) holdInTurn() (again bool, last answered) {
	if !l.lane.begin(l.done) {
		return false, answered{}
	}
	defer l.lane.end()
	valid := l.config.LeaderLeaseValid()
	l.setSuspended(!valid)
	if !valid {
		return false, answered{}
	}
	return l.holdOnce()
}

// setSuspended notes whether orders may be sent at all, and goes through those that wait.
func (l *Link) setSuspended(suspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended = suspended
	l.dispatch()
}

func (l *Link) awaitWorkers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.workers > 0 || l.look.busy || l.copies > 0 {
		l.idle.Wait()
	}
}

// holdOnce makes one call and tells whether the next one may follow at once.
func (l *Link) holdOnce() (again bool, last answered) {
	c := l.beginHold()
	a, err := l.postHold(c)
	if c.request.waitMS > 0 {
		l.lane.endWait()
	}
	received := l.now()
	l.settleHold(c, a, err, received)
	if err != nil {
		l.log.Debug("hold without answer", zap.Error(err))
		return l.holdFailed(c), answered{}
	}
	if l.endedBy(a) {
		return false, answered{}
	}
	if a.status != http.StatusOK {
		l.holdRefused(a.status)
		return false, answered{}
	}
	l.deliver(c, a, false)
	return true, answered{c, a, received}
}

// beginHold decides what the next call of the hold loop asks for and notes its grant.
func (l *Link) beginHold() holdCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Renewals++
	if l.contact == unreachable {
		return l.beginLook(lookTimeout)
	}
	c := l.beginLook(0)
	l.waited = l.mayWait(c.sentAt)
	if l.waited {
		c.request.waitMS = l.pace.holdWait.Milliseconds()
	}
	c.hedgeAfter = c.wait() + l.roundTrips.hedgeDelay()
	c.timeout = c.hedgeAfter + l.roundTrips.lookLimit() + abandonMargin
	if l.listed && c.sentAt.Sub(l.granted.askedAt) > l.pace.renewalAge {
		l.addGrant(&c)
	}
	return c
}

// addGrant makes the call hold what runs there as long as is certainly not cut short. The caller holds the lock.
func (l *Link) addGrant(c *holdCall) {
	validUntil := (l.clock.lowest(c.sentAt) + l.config.MaxLease).Truncate(time.Millisecond)
	if validUntil <= l.granted.validUntil {
		return
	}
	c.validUntil = validUntil
	c.request.validUntilMS = validUntil.Milliseconds()
	c.grant = l.grants.begin(l.clock.untilPassed(validUntil, c.sentAt), c.sentAt, c.timeout)
}

// postHold makes a call of the hold loop, which is hedged by a look when its answer is overdue.
func (l *Link) postHold(c holdCall) (answer, error) {
	ctx, abandon := context.WithCancel(l.context)
	defer abandon()
	pending := &pendingHold{abandon: abandon}
	l.mu.Lock()
	l.pending = pending
	l.mu.Unlock()
	if c.hedgeAfter > 0 {
		timer := time.AfterFunc(c.hedgeAfter, func() { l.hedge(pending) })
		defer timer.Stop()
	}
	return l.caller.post(ctx, l.caller.hold, c.body(), c.timeout)
}

// hedge looks at a worker that has left a hold without an answer.
func (l *Link) hedge(pending *pendingHold) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != pending {
		return
	}
	pending.overdue = true
	l.counts.OverdueRenewals++
	l.suspect()
}

// supersedeHold gives up an overdue hold after a look was answered.
func (l *Link) supersedeHold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending != nil && l.pending.overdue {
		l.pending.superseded = true
		l.pending.abandon()
	}
}

// holdFailed lets a look decide what a hold without an answer means, and tells whether the next hold may follow at once.
func (l *Link) holdFailed(c holdCall) bool {
	if c.hedgeAfter == 0 {
		l.setContact(unreachable)
		return false
	}
	l.mu.Lock()
	pending := l.pending
	if !pending.overdue { // its connection broke, or this process stood still
		pending.overdue = l.now().Sub(c.sentAt) >= c.hedgeAfter
		l.suspect()
	}
	l.mu.Unlock()
	l.config.Connections.work.leave()
	l.awaitLook()
	l.config.Connections.work.enter()
	l.mu.Lock()
	defer l.mu.Unlock()
	return pending.superseded
}

// settleHold takes in what an answer, or its absence, says about the worker's clock and about the grant.
func (l *Link) settleHold(c holdCall, a answer, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(a, c.sentAt, received)
	l.settle(c.grant, c.validUntil, err, received)
	if err != nil {
		return
	}
	if trip := received.Sub(c.sentAt) - c.wait(); trip >= 0 { // otherwise the worker did not wait to the end
		l.roundTrips.observe(trip)
	}
	if c.grant != nil && a.status == http.StatusOK {
		l.granted = granted{c.validUntil, c.sentAt}
	}
}

// settle notes what became of a call with a grant. The caller holds the lock.
func (l *Link) settle(g *grant, validUntil time.Duration, err error, received time.Time) {
	switch {
	case g == nil:
	case err == nil:
		l.grants.answered(g, received, l.clock.untilPassed(validUntil, received))
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		l.grants.withdrawn(g)
	default:
		l.grants.unanswered(g, received)
	}
}

// holdRefused notes a call that was answered without the lists. A single one says little.
func (l *Link) holdRefused(status int) {
	l.log.Debug("hold refused", zap.Int("status", status))
	l.mu.Lock()
	l.refusals++
	many := l.refusals > refusalsTolerated
	l.doubtful, l.suspected = false, false
	l.dispatch()
	l.mu.Unlock()
	if many {
		l.setContact(unreachable)
	}
}

// pauseAfter waits before the next hold where the worker would answer it at once: after ends, as it lists them until they
// are acknowledged, and after an answer that came early for no reason known.
func (l *Link) pauseAfter(last answered) {
	if newest := last.answer.newestEnd(); newest > 0 {
		l.awaitAcknowledgement(newest)
		l.noteAcknowledged(last, newest)
		return
	}
	if waited := last.received.Sub(last.call.sentAt); last.call.request.waitMS > 0 && waited < l.pace.holdWait/2 {
		l.sleep(earlyAnswerPause)
	}
}

// awaitAcknowledgement waits until the ends up to a number are durable: shortly after new ones, so that further ends are
// heard soon in any case, and longer when the same ones are listed again.
func (l *Link) awaitAcknowledgement(number uint64) {
	patience := acknowledgePatience
	if number <= l.awaited {
		patience = repeatedHoldPause
		l.countRepeat()
	}
	l.awaited = max(l.awaited, number)
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
		case <-l.wake:
		case <-l.done:
		case <-limit.C:
			return
		}
	}
}

// noteAcknowledged notes that a worker is idle if its last answer lists nothing but ends that are durable by now. The next
// call acknowledges them, however late it is.
func (l *Link) noteAcknowledged(last answered, newest uint64) {
	reply := &last.answer.reply
	if len(reply.Running) > 0 || len(reply.Finished) >= finishedPerAnswer {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged >= newest && l.settled(last.call.sentAt) {
		l.occupied = false
	}
}

func (l *Link) countRepeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.RepeatedCompletions++
}

// sleep waits for a while, or until the link ends.
func (l *Link) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}
