package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// listCall is a call that requests the lists of running and finished tasks: a lease renewal or a poll.
type listCall struct {
	request      listRequest
	sentAt       time.Time
	overdueAfter time.Duration // delay after which an out-of-band poll is sent if there is no response; 0 for never
	timeout      time.Duration
	validUntil   time.Duration // end of the granted lease on the worker's clock; 0 if the call grants no lease
	grant        *leaseGrant   // nil if the call grants no lease
}

func (c *listCall) body() []byte { return c.request.append(make([]byte, 0, estimatedListRequestBytes)) }

func (c *listCall) wait() time.Duration { return time.Duration(c.request.waitMS) * time.Millisecond }

// beginPoll returns a call that requests both lists without waiting and grants no lease. The caller holds the lock.
func (l *Link) beginPoll(timeout time.Duration) listCall {
	request := listRequest{fencingToken: l.config.FencingToken, lastSeen: l.acknowledged}
	return listCall{request: request, sentAt: l.sendTime(), timeout: timeout}
}

// handleListResponse updates the worker's clock bounds, the lease and the round-trip times from the response to a list call or from its
// failure.
func (l *Link) handleListResponse(c listCall, response workerResponse, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.observe(response, c.sentAt, received)
	l.lease.endGrant(c.grant, c.validUntil, err, received)
	if err != nil {
		return
	}
	if roundTrip := received.Sub(c.sentAt) - c.wait(); roundTrip >= 0 { // negative if the worker responded before the end of the requested wait
		l.rtt.observe(roundTrip)
	}
	if c.grant != nil && response.status == http.StatusOK {
		l.lease.confirmed = confirmedLease{c.validUntil, c.sentAt}
	}
}

// listRefused records a list call that was answered without the lists.
func (l *Link) listRefused(status int) {
	l.log.Debug("list call refused", zap.Int("status", status))
	l.mu.Lock()
	nowUnreachable := l.health.listRefused()
	l.dispatch()
	l.mu.Unlock()
	if nowUnreachable {
		l.setReachability(unreachable)
	}
}
