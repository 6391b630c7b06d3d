package workerclient

import (
	"context"
	"net/url"
	"sync"
	"time"
)

// copiesAtOnce bounds the further copies of repeatable calls that one link has under way.
const copiesAtOnce = startSlots

// repeatableCall is a call that does no harm when it is carried out more than once, or late: a look, which grants nothing,
// or a stop of one run. A start is not one.
type repeatableCall struct {
	target  *url.URL
	body    []byte
	timeout time.Duration // of all copies together
}

// copies are the sendings of one repeatable call. The first answer to any of them ends the call.
type copies struct {
	link    *Link
	call    repeatableCall
	context context.Context // of each sending; it ends with the call
	cancel  context.CancelFunc
	pause   time.Duration // from one copy to the next
	over    chan struct{} // closed with the first answer, or when no copy is under way any more

	mu       sync.Mutex
	ended    bool
	underWay int
	timer    *time.Timer // sends the next copy
	answer   answer
	sentAt   time.Time // of the copy that was answered
	err      error     // of the copy that failed last
}

// postRepeatable makes a repeatable call. While no answer has come within what is usual at this worker, a further copy is
// sent on another connection if one is free. It returns the first answer, and when the copy was sent that was answered. The
// caller holds a turn of the lane, which the first copy uses.
func (l *Link) postRepeatable(call repeatableCall) (a answer, sentAt time.Time, err error) {
	ctx, cancel := context.WithTimeout(l.context, call.timeout)
	defer cancel()
	c := &copies{link: l, call: call, context: ctx, cancel: cancel, over: make(chan struct{}), underWay: 1}
	l.mu.Lock()
	c.pause = l.roundTrips.repeatDelay()
	l.mu.Unlock()
	c.schedule()
	c.send()
	c.awaitOthers()
	return c.result()
}

// schedule lets the next copy be sent after the pause.
func (c *copies) schedule() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.timer = time.AfterFunc(c.pause, c.sendAgain)
	}
}

// sendAgain sends a further copy unless the call has ended meanwhile or nothing is free for it.
func (c *copies) sendAgain() {
	if !c.begin() {
		return
	}
	c.schedule()
	if !c.link.beginCopy() {
		c.finish(nil)
		return
	}
	defer c.link.endCopy()
	c.send()
}

// begin counts a copy that is about to be sent, if the call is still under way.
func (c *copies) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.context.Err() != nil {
		return false
	}
	c.underWay++
	return true
}

// send sends one copy and waits for its answer.
func (c *copies) send() {
	sentAt := c.link.lockedSendTime()
	a, err := c.link.caller.post(c.context, c.call.target, c.call.body, c.call.timeout)
	if err != nil {
		c.finish(err)
		return
	}
	c.answered(a, sentAt)
}

// answered ends the call with the first answer.
func (c *copies) answered(a answer, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underWay--
	if c.ended {
		return
	}
	c.answer, c.sentAt, c.err = a, sentAt, nil
	c.end()
}

// finish notes a copy without an answer; nil is the error of one that was not sent. The last one ends the call.
func (c *copies) finish(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underWay--
	if c.ended {
		return
	}
	if err != nil {
		c.err = err
	}
	if c.underWay == 0 {
		c.end()
	}
}

// end ends the call and gives up its other copies. The caller holds the lock.
func (c *copies) end() {
	c.ended = true
	c.timer.Stop()
	c.cancel()
	close(c.over)
}

// awaitOthers waits, outside of the turnstile, for copies that may still be answered.
func (c *copies) awaitOthers() {
	select {
	case <-c.over:
		return
	default:
	}
	work := c.link.config.Connections.work
	work.leave()
	<-c.over
	work.enter()
}

func (c *copies) result() (a answer, sentAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer, c.sentAt, c.err
}

// beginCopy takes what a further copy of a call needs, without waiting for it, and tells whether the copy may be sent.
func (l *Link) beginCopy() bool {
	if !l.config.LeaderLeaseValid() || !l.countCopy() {
		return false
	}
	if !l.lane.take() {
		l.uncountCopy()
		return false
	}
	return true
}

// endCopy gives back what a copy has used.
func (l *Link) endCopy() {
	l.lane.end()
	l.uncountCopy()
}

// countCopy notes a copy that is about to be sent, unless there are too many.
func (l *Link) countCopy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != open || l.copies >= copiesAtOnce {
		return false
	}
	l.copies++
	l.counts.HedgedRequests++
	return true
}

func (l *Link) uncountCopy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies--
	l.idle.Broadcast()
}

// lockedSendTime is sendTime for callers that do not hold the lock.
func (l *Link) lockedSendTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sendTime()
}
