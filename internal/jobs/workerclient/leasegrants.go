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
	g := &leaseGrant{span: span, expiresBy: lateExpiry(now.Add(timeout), span)}
	l.open = append(l.open, g)
	return g
}

// renewalAnswer notes that the call was carried out before its answer came, if at all. The grant lasts no longer than the span
// from the answer on.
func (l *leaseGrants) answered(g *leaseGrant, received time.Time, span time.Duration) {
	l.settle(g, received.Add(span))
}

// unanswered notes that the call was given up at a time; it left before that and may be carried out later. It may then even
// count its whole span from its arrival.
func (l *leaseGrants) unanswered(g *leaseGrant, given time.Time) {
	l.settle(g, lateExpiry(given, g.span))
}

// withdrawn notes that the call never left, or certainly did nothing.
func (l *leaseGrants) withdrawn(g *leaseGrant) { l.settle(g, time.Time{}) }

func (l *leaseGrants) settle(g *leaseGrant, lapsesBy time.Time) {
	l.open = slices.DeleteFunc(l.open, func(other *leaseGrant) bool { return other == g })
	l.settledExpiry = later(l.settledExpiry, lapsesBy)
}

// expiredBy is the local time by which all of it has expired; the zero time when nothing was granted.
func (l *leaseGrants) expiredBy() time.Time {
	latest := l.settledExpiry
	for _, g := range l.open {
		latest = later(latest, g.expiresBy)
	}
	return latest
}

func lateExpiry(left time.Time, span time.Duration) time.Time {
	return left.Add(maxLateExecution + lateExecutionMargin + span)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
