package workerclient

import (
	"slices"
	"time"
)

// A call without a response may be executed late: by maxLateExecution after it was sent at the latest. The margin covers its way.
const (
	maxLateExecution    = 12 * time.Second
	lateExecutionMargin = 500 * time.Millisecond
)

// leaseGrant is what one call grants: a time up to which the attempts on a worker go on. It is open until the call has ended.
type leaseGrant struct {
	span      time.Duration // the longest that it may last once the call is executed, in local time
	expiresBy time.Time
}

// leaseGrants knows by when everything that was ever granted has expired.
type leaseGrants struct {
	endedExpiry time.Time // of all calls that have ended
	open        []*leaseGrant
}

// begin records a call that carries a grant; it is sent between now and its time-out.
func (l *leaseGrants) begin(span time.Duration, now time.Time, timeout time.Duration) *leaseGrant {
	grant := &leaseGrant{span: span, expiresBy: lateExpiry(now.Add(timeout), span)}
	l.open = append(l.open, grant)
	return grant
}

// answered records that the call was executed before its response came, if at all. The grant lasts no longer than the span from the
// response on.
func (l *leaseGrants) answered(grant *leaseGrant, received time.Time, span time.Duration) {
	l.end(grant, received.Add(span))
}

// unanswered records that the call was abandoned at a time; it was sent before that and may be executed later. It may then even count
// its whole span from its arrival.
func (l *leaseGrants) unanswered(grant *leaseGrant, abandoned time.Time) {
	l.end(grant, lateExpiry(abandoned, grant.span))
}

// withdrawn records that the call was never sent, or was certainly not executed.
func (l *leaseGrants) withdrawn(grant *leaseGrant) { l.end(grant, time.Time{}) }

// settle ends a grant: from now on only the time by which it has expired counts, the zero time where it never began.
func (l *leaseGrants) end(grant *leaseGrant, expiresBy time.Time) {
	l.open = slices.DeleteFunc(l.open, func(other *leaseGrant) bool { return other == grant })
	l.endedExpiry = later(l.endedExpiry, expiresBy)
}

// expiredBy is the local time by which all grants have expired; the zero time when nothing was granted.
func (l *leaseGrants) expiredBy() time.Time {
	latest := l.endedExpiry
	for _, g := range l.open {
		latest = later(latest, g.expiresBy)
	}
	return latest
}

// lateExpiry is when a grant has expired at the latest whose call was sent by a time and not answered.
func lateExpiry(sentBy time.Time, span time.Duration) time.Time {
	return sentBy.Add(maxLateExecution + lateExecutionMargin + span)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
