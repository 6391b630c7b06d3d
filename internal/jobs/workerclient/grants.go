package workerclient

import (
	"slices"
	"time"
)

// A call without an answer may be carried out late: by lateLimit after it left at the latest. The margin covers its way.
const (
	lateLimit  = 12 * time.Second
	lateMargin = 500 * time.Millisecond
)

// grant is a time up to which the runs on a worker are held, on a call whose end is not known yet.
type grant struct {
	span     time.Duration // the longest it may last once it is carried out, in local time
	lapsesBy time.Time
}

// grantLedger knows by when everything that was ever granted has lapsed.
type grantLedger struct {
	settled time.Time // of all calls that have ended
	open    []*grant
}

// begin notes a call that carries a grant; it leaves between now and its time-out.
func (l *grantLedger) begin(span time.Duration, now time.Time, timeout time.Duration) *grant {
	g := &grant{span: span, lapsesBy: lateLapse(now.Add(timeout), span)}
	l.open = append(l.open, g)
	return g
}

// answered notes that the call was carried out before its answer came, if at all. The grant lasts no longer than the span
// from the answer on.
func (l *grantLedger) answered(g *grant, received time.Time, span time.Duration) {
	l.settle(g, received.Add(span))
}

// unanswered notes that the call was given up at a time; it left before that and may be carried out later. It may then even
// count its whole span from its arrival.
func (l *grantLedger) unanswered(g *grant, given time.Time) {
	l.settle(g, lateLapse(given, g.span))
}

// withdrawn notes that the call never left, or certainly did nothing.
func (l *grantLedger) withdrawn(g *grant) { l.settle(g, time.Time{}) }

func (l *grantLedger) settle(g *grant, lapsesBy time.Time) {
	l.open = slices.DeleteFunc(l.open, func(other *grant) bool { return other == g })
	l.settled = later(l.settled, lapsesBy)
}

// lapsedBy is the local time by which all of it has lapsed; the zero time when nothing was granted.
func (l *grantLedger) lapsedBy() time.Time {
	latest := l.settled
	for _, g := range l.open {
		latest = later(latest, g.lapsesBy)
	}
	return latest
}

func lateLapse(left time.Time, span time.Duration) time.Time {
	return left.Add(lateLimit + lateMargin + span)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
