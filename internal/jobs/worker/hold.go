package worker

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/verdict"
)

const (
	firstPause        = 150 * time.Millisecond // after a look that failed
	longestPause      = 600 * time.Millisecond
	earlyAnswerPause  = 100 * time.Millisecond // after a hold that was answered early without an end
	refusalsTolerated = 1                      // holds refused in a row before a searcher counts as unreachable
)

// holdCall is one call of the hold loop.
type holdCall struct {
	request    holdRequest
	sentAt     time.Time
	timeout    time.Duration
	validUntil time.Duration // of the grant that it carries, on the searcher's clock; 0 for none
	grant      *grant        // nil for none
}

// Run looks at the searcher and then holds what runs there, until the link is closed, the context ends, the searcher's life
// is over or a higher fencing token was seen. It returns once everything was reported.
func (l *Link) Run(ctx context.Context) {
	defer l.cancel()
	defer l.awaitWorkers()
	unlink := context.AfterFunc(ctx, l.Close)
	defer unlink()
	pause := firstPause
	for !l.ended() {
		valid := l.config.Valid()
		l.setSuspended(!valid)
		if !valid || !l.holdOnce() {
			l.sleep(pause)
			pause = min(2*pause, longestPause)
			continue
		}
		pause = firstPause
	}
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
	for l.workers > 0 {
		l.idle.Wait()
	}
}

// holdOnce makes one call and tells whether it was answered with both lists.
func (l *Link) holdOnce() bool {
	c := l.beginHold()
	a, err := l.caller.post(l.context, l.caller.hold, c.request.append(make([]byte, 0, holdBytes)), c.timeout)
	received := l.now()
	l.settleHold(c, a, err, received)
	if err != nil {
		l.log.Debug("hold without answer", zap.Error(err))
		l.setContact(unreachable)
		return false
	}
	if l.endedBy(a) {
		return false
	}
	if a.status != http.StatusOK {
		l.holdRefused(a.status)
		return false
	}
	l.deliver(c, a, received)
	return true
}

// beginHold decides what the next call asks for and notes its grant.
func (l *Link) beginHold() holdCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := holdCall{sentAt: now, timeout: lookTimeout}
	c.request = holdRequest{fencingToken: l.config.FencingToken, lastSeen: l.acknowledged}
	if !l.listed || l.contact == unreachable {
		return c // a look, which grants nothing
	}
	lead := l.granted.validUntil - l.clock.highest(now)
	if lead >= l.pace.minimumLead+l.pace.holdWait {
		c.request.waitMS = l.pace.holdWait.Milliseconds()
		c.timeout = l.pace.holdWait + callMargin
	}
	if now.Sub(l.granted.askedAt) > l.pace.renewalAge {
		l.addGrant(&c)
	}
	return c
}

// addGrant makes the call hold what runs there as long as is certainly not cut short. The caller holds the lock.
func (l *Link) addGrant(c *holdCall) {
	validUntil := (l.clock.lowest(c.sentAt) + l.config.HoldMax).Truncate(time.Millisecond)
	if validUntil <= l.granted.validUntil {
		return
	}
	c.validUntil = validUntil
	c.request.validUntilMS = validUntil.Milliseconds()
	c.grant = l.grants.begin(l.clock.untilPassed(validUntil, c.sentAt), c.sentAt, c.timeout)
}

// settleHold takes in what an answer, or its absence, says about the searcher's clock and about the grant.
func (l *Link) settleHold(c holdCall, a answer, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(a, c.sentAt, received)
	l.settle(c.grant, c.validUntil, err, received)
	if c.grant != nil && err == nil && a.status == http.StatusOK {
		l.granted = granted{c.validUntil, c.sentAt}
	}
}

// settle notes what became of a call with a grant. The caller holds the lock.
func (l *Link) settle(g *grant, validUntil time.Duration, err error, received time.Time) {
	switch {
	case g == nil:
	case err == nil:
		l.grants.answered(g, received, l.clock.untilPassed(validUntil, received))
	case verdict.Of(err) == verdict.NotRun:
		l.grants.withdrawn(g)
	default:
		l.grants.unanswered(g, received)
	}
}

// holdRefused notes a hold that was answered without the lists. A single one says little.
func (l *Link) holdRefused(status int) {
	l.log.Debug("hold refused", zap.Int("status", status))
	l.mu.Lock()
	l.refusals++
	many := l.refusals > refusalsTolerated
	l.mu.Unlock()
	if many {
		l.setContact(unreachable)
	}
}

// deliver reports both lists, and waits until the ends among them are acknowledged, as the searcher would list them again.
func (l *Link) deliver(c holdCall, a answer, received time.Time) {
	listing := l.listing(c, a)
	l.mu.Lock()
	l.refusals = 0
	listing.First = !l.listed
	l.listed = true
	l.mu.Unlock()
	l.setContact(reachable)
	l.out.post(func(e Events) { e.Listing(listing) })
	if ends := len(listing.Finished); ends > 0 {
		l.awaitAcknowledgement(listing.Finished[ends-1].Number)
		return
	}
	if waited := received.Sub(c.sentAt); c.request.waitMS > 0 && waited < l.pace.holdWait/2 {
		l.sleep(earlyAnswerPause)
	}
}

func (l *Link) listing(c holdCall, a answer) Listing {
	listing := Listing{
		Searcher: l.config.Instance.ID, SentAt: c.sentAt, Partial: len(a.reply.Finished) >= finishedPerAnswer,
		Running:  make([]RunningTask, 0, len(a.reply.Running)),
		Finished: make([]FinishedTask, 0, len(a.reply.Finished)),
	}
	for _, entry := range a.reply.Running {
		if entry.bad != nil {
			l.log.Warn("run skipped", zap.Error(entry.bad))
			continue
		}
		listing.Running = append(listing.Running, entry.task)
	}
	for _, entry := range a.reply.Finished {
		if entry.bad != nil {
			l.log.Warn("end skipped", zap.Error(entry.bad))
			continue
		}
		listing.Finished = append(listing.Finished, entry.task)
	}
	return listing
}

// awaitAcknowledgement waits until the ends up to a number are durable, though not for longer than a hold may take.
func (l *Link) awaitAcknowledgement(number uint64) {
	limit := time.NewTimer(l.pace.holdWait)
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

// sleep waits for a while, or until the link ends.
func (l *Link) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}
