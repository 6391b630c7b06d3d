package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// listCall is one call for both lists, the running and the finished tasks: a lease renewal or a poll.
type listCall struct {
	request      listRequest
	sentAt       time.Time
	overdueAfter time.Duration // a poll is made when it has no response by then; 0 for never
	timeout      time.Duration
	validUntil   time.Duration // the end of the lease that it grants, on the worker's clock; 0 for none
	grant        *leaseGrant   // nil for none
}

func (c *listCall) body() []byte { return c.request.append(make([]byte, 0, listRequestBytes)) }

func (c *listCall) wait() time.Duration { return time.Duration(c.request.waitMS) * time.Millisecond }

// beginPoll makes a call that requests both lists at once and grants nothing. The caller holds the lock.
func (l *Link) beginPoll(timeout time.Duration) listCall {
	request := listRequest{fencingToken: l.config.FencingToken, lastSeen: l.acknowledged}
	return listCall{request: request, sentAt: l.sendTime(), timeout: timeout}
}

// handleListResponse takes in what a response, or its absence, says about the worker's clock, the lease and the round trips.
func (l *Link) handleListResponse(c listCall, response workerResponse, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.observe(response, c.sentAt, received)
	l.lease.endGrant(c.grant, c.validUntil, err, received)
	if err != nil {
		return
	}
	if trip := received.Sub(c.sentAt) - c.wait(); trip >= 0 { // otherwise the worker did not wait to the end
		l.roundTrips.observe(trip)
	}
	if c.grant != nil && response.status == http.StatusOK {
		l.lease.confirmed = confirmedLease{c.validUntil, c.sentAt}
	}
}

// listRefused records a call that was answered without the lists.
func (l *Link) listRefused(status int) {
	l.log.Debug("list call refused", zap.Int("status", status))
	l.mu.Lock()
	nowUnreachable := l.health.listRefused()
	l.dispatch()
	l.mu.Unlock()
	if nowUnreachable {
		l.setContact(unreachable)
	}
}
