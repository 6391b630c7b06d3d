package workerclient

import (
	"context"
	"net/url"
	"sync"
	"time"
)

// maxHedgedRequests is the maximum number of concurrent hedged requests of one link.
const maxHedgedRequests = maxCommandsInFlight

// idempotentCall is a call that the worker may execute repeatedly or late without harm: a poll, which grants no lease, or a stop. A
// start is not idempotent.
type idempotentCall struct {
	target  *url.URL
	body    []byte
	timeout time.Duration // of the whole call, including hedged requests
}

// hedgedCall is an idempotent call with all its requests: the first one, and hedged requests that are sent while there is no response
// (J. Dean, L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013). The first response to any of them ends the call.
type hedgedCall struct {
	link       *Link
	call       idempotentCall
	context    context.Context // of all requests; cancelled when the call ends
	cancel     context.CancelFunc
	hedgeAfter time.Duration // delay between two requests
	done       chan struct{} // closed on the first response, or when no request is in flight any more

	mu       sync.Mutex
	ended    bool
	inFlight int
	timer    *time.Timer // sends the next hedged request
	response workerResponse
	sentAt   time.Time // of the request that was answered
	err      error     // of the last failed request
}

// postIdempotent makes an idempotent call. If there is no response within the usual response time of the worker, it sends a hedged
// request on another connection, if one is free. It returns the first response and the send time of the request that got it. The
// caller has acquired a connection slot, which the first request uses.
func (l *Link) postIdempotent(call idempotentCall) (response workerResponse, sentAt time.Time, err error) {
	ctx, cancel := context.WithTimeout(l.context, call.timeout)
	defer cancel()
	c := &hedgedCall{link: l, call: call, context: ctx, cancel: cancel, done: make(chan struct{}), inFlight: 1}
	l.mu.Lock()
	c.hedgeAfter = l.rtt.hedgeDelay()
	l.mu.Unlock()
	c.schedule()
	c.send()
	c.awaitEnd()
	return c.result()
}

// schedule sets the timer for the next hedged request.
func (c *hedgedCall) schedule() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.timer = time.AfterFunc(c.hedgeAfter, c.sendHedge)
	}
}

// sendHedge sends a hedged request, unless the call has ended or no connection is free.
func (c *hedgedCall) sendHedge() {
	if !c.begin() {
		return
	}
	c.schedule()
	if !c.link.beginHedge() {
		c.finishUnanswered(nil)
		return
	}
	defer c.link.endHedge()
	c.send()
}

// begin counts a hedged request that is about to be sent. It reports false if the call has ended.
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
	sentAt := c.link.currentSendTime()
	response, err := c.link.rpc.post(c.context, c.call.target, c.call.body, c.call.timeout)
	if err != nil {
		c.finishUnanswered(err)
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

// finishUnanswered records the end of a request without a response. The error is nil if the request was not sent. The call ends if no
// other request is in flight.
func (c *hedgedCall) finishUnanswered(err error) {
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

// awaitEnd waits for the end of the call. It releases the semaphore meanwhile.
func (c *hedgedCall) awaitEnd() {
	select {
	case <-c.done:
		return
	default:
	}
	c.link.config.Connections.concurrency.releaseWhile(func() { <-c.done })
}

func (c *hedgedCall) result() (response workerResponse, sentAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response, c.sentAt, c.err
}

// beginHedge acquires the resources of a hedged request without waiting, and reports whether the request may be sent.
func (l *Link) beginHedge() bool {
	if !l.config.LeaderLeaseValid() || !l.reserveHedge() {
		return false
	}
	if !l.pool.tryAcquire() {
		l.releaseHedge()
		return false
	}
	return true
}

// endHedge releases the resources of a hedged request.
func (l *Link) endHedge() {
	l.pool.release()
	l.releaseHedge()
}

// reserveHedge counts a hedged request that is about to be sent. It reports false if the limit is reached or the link has ended.
func (l *Link) reserveHedge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != notEnded || l.hedges >= maxHedgedRequests {
		return false
	}
	l.hedges++
	l.counts.HedgedRequests++
	return true
}

func (l *Link) releaseHedge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hedges--
	l.inFlightChanged.Broadcast()
}

// currentSendTime returns sendTime. The caller does not hold the lock.
func (l *Link) currentSendTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sendTime()
}
