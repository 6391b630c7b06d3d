package workerclient

import (
	"slices"
	"time"
)

// A worker may execute a call late, even if the caller got no response.
const (
	maxLateExecution    = 12 * time.Second       // maximum time between the sending of a call and its execution
	lateExecutionMargin = 500 * time.Millisecond // additional time for the transmission of the call
)

// leaseGrant is the lease that one call grants to the attempts on a worker. It is open until the call has ended.
type leaseGrant struct {
	maxDuration time.Duration // maximum duration after the execution of the call, in local time
	expiresBy   time.Time
}

// leaseGrants tracks the time by which all grants have expired.
type leaseGrants struct {
	endedExpireBy time.Time // latest expiry of the grants whose calls have ended
	open          []*leaseGrant
}

// begin records a grant whose call is sent between now and its timeout.
func (l *leaseGrants) begin(maxDuration time.Duration, now time.Time, timeout time.Duration) *leaseGrant {
	grant := &leaseGrant{maxDuration: maxDuration, expiresBy: latestExpiry(now.Add(timeout), maxDuration)}
	l.open = append(l.open, grant)
	return grant
}

// answered records that the call got a response. The worker has executed the call before the response arrived, or not at all, so the
// grant lasts at most maxDuration from receivedAt.
func (l *leaseGrants) answered(grant *leaseGrant, receivedAt time.Time, maxDuration time.Duration) {
	l.end(grant, receivedAt.Add(maxDuration))
}

// unanswered records that the call was abandoned at the given time. It was sent before that time and may be executed later. The worker
// may even count the full duration of the grant from the arrival of the call.
func (l *leaseGrants) unanswered(grant *leaseGrant, abandonedAt time.Time) {
	l.end(grant, latestExpiry(abandonedAt, grant.maxDuration))
}

// notExecuted records that the call was never sent, or was certainly not executed.
func (l *leaseGrants) notExecuted(grant *leaseGrant) { l.end(grant, time.Time{}) }

// end removes an open grant and keeps only its latest expiry, which is the zero time if the grant never took effect.
func (l *leaseGrants) end(grant *leaseGrant, expiresBy time.Time) {
	l.open = slices.DeleteFunc(l.open, func(other *leaseGrant) bool { return other == grant })
	l.endedExpireBy = later(l.endedExpireBy, expiresBy)
}

// expiredBy returns the local time by which all grants have expired. It returns the zero time if nothing was granted.
func (l *leaseGrants) expiredBy() time.Time {
	latest := l.endedExpireBy
	for _, g := range l.open {
		latest = later(latest, g.expiresBy)
	}
	return latest
}

// latestExpiry returns the latest expiry of a grant whose call was sent no later than sentBy and got no response.
func latestExpiry(sentBy time.Time, maxDuration time.Duration) time.Time {
	return sentBy.Add(maxLateExecution + lateExecutionMargin + maxDuration)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
