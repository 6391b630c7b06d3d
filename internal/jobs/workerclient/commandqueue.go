package workerclient

import (
	"slices"
	"time"
)

const (
	firstStopBackoff = 200 * time.Millisecond // before the first retry of a stop; doubles with each retry
	maxStopBackoff   = time.Second
)

// commandQueue holds the queued commands and counts those in flight. It does no I/O. The link's lock guards it.
type commandQueue struct {
	starts        []queuedStart // in the order of arrival
	stops         []queuedStop
	stopTimer     *time.Timer // fires when the earliest backoff of a stop ends
	suspended     bool        // no command may be sent because the leader lease is not valid
	activeSenders int         // goroutines that send commands
	lastResultAt  time.Time   // time of the newest result
}

type queuedStart struct {
	command  StartCommand
	queuedAt time.Time
}

type queuedStop struct {
	command StopCommand
	due     time.Time
	backoff time.Duration // delay before the next retry if the next call fails
}

// allAnsweredBefore reports whether no command is queued or in flight and all results are older than the given time.
func (q *commandQueue) allAnsweredBefore(before time.Time) bool {
	return q.activeSenders == 0 && len(q.starts)+len(q.stops) == 0 && q.lastResultAt.Before(before)
}

// removeFirstStart removes the oldest start from the queue.
func (q *commandQueue) removeFirstStart() {
	q.starts[0] = queuedStart{}
	q.starts = q.starts[1:]
}

// earliestStop returns the index of the stop that is due first. The queue must have a stop.
func (q *commandQueue) earliestStop() int {
	earliest := 0
	for i, stop := range q.stops {
		if stop.due.Before(q.stops[earliest].due) {
			earliest = i
		}
	}
	return earliest
}

// removeStop removes a stop from the queue and returns it.
func (q *commandQueue) removeStop(index int) queuedStop {
	stop := q.stops[index]
	q.stops = slices.Delete(q.stops, index, index+1)
	return stop
}

// retryStop queues an unanswered stop again.
func (q *commandQueue) retryStop(stop queuedStop, now time.Time) {
	stop.due = now.Add(stop.backoff)
	stop.backoff = min(2*stop.backoff, maxStopBackoff)
	q.stops = append(q.stops, stop)
}

// sendTime returns the local time to record for a call that is sent now. It is later than the time of every result reported before,
// even if the clock has not advanced since.
func (q *commandQueue) sendTime(now time.Time) time.Time { return later(now, q.lastResultAt.Add(1)) }

// resultTime returns the local time to record for a result that is reported now.
func (q *commandQueue) resultTime(now time.Time) time.Time {
	q.lastResultAt = later(q.lastResultAt, now)
	return q.lastResultAt
}
