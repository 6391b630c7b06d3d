package workerclient

import (
	"slices"
	"time"
)

// A call without an answer may be carried out late: by maxLateExecution after it left at the latest. The margin covers its way.
const (
	maxLateExecution    = 12 * time.Second
	lateExecutionMargin = 500 * time.Millisecond
)

// grant is a time up to which the attempts on a worker are held, on a call whose end is not known yet.
type leaseGrant struct {
	span      time.Duration // the longest it may last once it is carried out, in local time
	expiresBy time.Time
}

// leaseGrants knows by when everything that was ever granted has expired.
type leaseGrants struct {
	settledExpiry time.Time // of all calls that have ended
	open          []*leaseGrant
}

// acquire notes a call that carries a grant; it leaves between now and its time-out.
func (l *leaseGrants) begin(span time.Duration, now time.Time, timeout time.Duration) *leaseGrant {
	grant := &leaseGrant{span: span, expiresBy: lateExpiry(now.Add(timeout), span)}
	l.open = append(l.open, grant)
	return grant
}

// renewalAnswer notes that the call was carried out before its answer came, if at all. The grant lasts no longer than the span
// from the answer on.
func (l *leaseGrants) answered(grant *leaseGrant, received time.Time, span time.Duration) {
	l.settle(grant, received.Add(span))
}

// unanswered notes that the call was given up at a time; it left before that and may be carried out later. It may then even
// count its whole span from its arrival.
func (l *leaseGrants) unanswered(grant *leaseGrant, abandoned time.Time) {
	l.settle(grant, lateExpiry(abandoned, grant.span))
}

// withdrawn notes that the call never left, or certainly did nothing.
func (l *leaseGrants) withdrawn(grant *leaseGrant) { l.settle(grant, time.Time{}) }

func (l *leaseGrants) settle(grant *leaseGrant, expiresBy time.Time) {
	l.open = slices.DeleteFunc(l.open, func(other *leaseGrant) bool { return other == grant })
	l.settledExpiry = later(l.settledExpiry, expiresBy)
}

// expiredBy is the local time by which all of it has expired; the zero time when nothing was granted.
func (l *leaseGrants) expiredBy() time.Time {
	latest := l.settledExpiry
	for _, g := range l.open {
		latest = later(latest, g.expiresBy)
	}
	return latest
}

func lateExpiry(sentBy time.Time, span time.Duration) time.Time {
	return sentBy.Add(maxLateExecution + lateExecutionMargin + span)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
