package workerclient

import (
	"context"
	"net/url"
	"sync"
	"time"
)

// maxHedgedRequests bounds the hedged requests that one link has under way.
const maxHedgedRequests = maxCommandsInFlight

// idempotentCall is a call that does no harm when it is carried out more than once, or late: a poll, which grants nothing, or a stop
// of one attempt. A start is not one.
type idempotentCall struct {
	target  *url.URL
	body    []byte
	timeout time.Duration // of all requests together
}

// hedgedCall is an idempotent call with all requests that are sent for it: the first one, and hedged requests while there is no
// response (J. Dean, L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013). The first response to any of them ends the call.
type hedgedCall struct {
	link       *Link
	call       idempotentCall
	context    context.Context // of each request; it ends with the call
	cancel     context.CancelFunc
	hedgeAfter time.Duration // from one request to the next
	done       chan struct{} // closed with the first response, or when no request is under way any more

	mu       sync.Mutex
	ended    bool
	inFlight int
	timer    *time.Timer // sends the next hedged request
	response workerResponse
	sentAt   time.Time // of the request that was answered
	err      error     // of the request that failed last
}

// postIdempotent makes an idempotent call. While no response has come within what is usual at this worker, a hedged request is sent
// on another connection if one is free. It returns the first response, and when the request was sent that was answered. The caller
// has acquired a slot of the pool, which the first request uses.
func (l *Link) postIdempotent(call idempotentCall) (response workerResponse, sentAt time.Time, err error) {
	ctx, cancel := context.WithTimeout(l.context, call.timeout)
	defer cancel()
	c := &hedgedCall{link: l, call: call, context: ctx, cancel: cancel, done: make(chan struct{}), inFlight: 1}
	l.mu.Lock()
	c.hedgeAfter = l.roundTrips.hedgeDelay()
	l.mu.Unlock()
	c.schedule()
	c.send()
	c.awaitEnd()
	return c.result()
}

// schedule lets the next hedged request be sent after its delay.
func (c *hedgedCall) schedule() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.timer = time.AfterFunc(c.hedgeAfter, c.sendHedge)
	}
}

// sendHedge sends a hedged request unless the call has ended meanwhile or no connection is free for it.
func (c *hedgedCall) sendHedge() {
	if !c.begin() {
		return
	}
	c.schedule()
	if !c.link.beginHedge() {
		c.finish(nil)
		return
	}
	defer c.link.endHedge()
	c.send()
}

// begin counts a hedged request that is about to be sent, if the call is still under way.
func (c *hedgedCall) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.context.Err() != nil {
		return false
	}
	c.inFlight++
	return true
}

// send sends one request and waits for its response.
func (c *hedgedCall) send() {
	sentAt := c.link.lockedSendTime()
	response, err := c.link.caller.post(c.context, c.call.target, c.call.body, c.call.timeout)
	if err != nil {
		c.finish(err)
		return
	}
	c.answered(response, sentAt)
}

// answered ends the call with the first response.
func (c *hedgedCall) answered(response workerResponse, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.ended {
		return
	}
	c.response, c.sentAt, c.err = response, sentAt, nil
	c.end()
}

// finish records a request without a response; nil is the error of one that was not sent. The last one ends the call.
func (c *hedgedCall) finish(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.ended {
		return
	}
	if err != nil {
		c.err = err
	}
	if c.inFlight == 0 {
		c.end()
	}
}

// end ends the call and cancels its other requests. The caller holds the lock.
func (c *hedgedCall) end() {
	c.ended = true
	c.timer.Stop()
	c.cancel()
	close(c.done)
}

// awaitEnd waits, outside of the semaphore, for requests that may still be answered.
func (c *hedgedCall) awaitEnd() {
	select {
	case <-c.done:
		return
	default:
	}
	c.link.config.Connections.concurrency.outside(func() { <-c.done })
}

func (c *hedgedCall) result() (response workerResponse, sentAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response, c.sentAt, c.err
}

// beginHedge takes what a hedged request needs, without waiting for it, and reports whether the request may be sent.
func (l *Link) beginHedge() bool {
	if !l.config.LeaderLeaseValid() || !l.countHedge() {
		return false
	}
	if !l.pool.tryAcquire() {
		l.uncountHedge()
		return false
	}
	return true
}

// endHedge gives back what a hedged request has used.
func (l *Link) endHedge() {
	l.pool.release()
	l.uncountHedge()
}

// countHedge counts a hedged request that is about to be sent, unless there are too many.
func (l *Link) countHedge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending != open || l.hedges >= maxHedgedRequests {
		return false
	}
	l.hedges++
	l.counts.HedgedRequests++
	return true
}

func (l *Link) uncountHedge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hedges--
	l.quiescent.Broadcast()
}

// lockedSendTime is sendTime for callers that do not hold the lock.
func (l *Link) lockedSendTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sendTime()
}
