package workerclient

import (
	"slices"
	"time"
)

const (
	firstStopBackoff = 200 * time.Millisecond
	maxStopBackoff   = time.Second
)

// commandQueue holds the commands that are not under way, and knows those that are. It does no I/O; the link's lock guards it.
type commandQueue struct {
	starts    []queuedStart // in the order in which they came
	stops     []queuedStop
	stopTimer *time.Timer // set for the first stop whose backoff is not over
	suspended bool        // no command may be sent at present: the leader lease is not valid
	senders   int         // goroutines that send commands
	resultAt  time.Time   // of the newest result
}

type queuedStart struct {
	command  StartCommand
	queuedAt time.Time
}

type queuedStop struct {
	command StopCommand
	due     time.Time
	backoff time.Duration // until the next attempt to send it, should this one fail
}

// answeredBefore reports whether no command is queued or under way and all results are older than a time.
func (q *commandQueue) answeredBefore(at time.Time) bool {
	return q.senders == 0 && len(q.starts)+len(q.stops) == 0 && q.resultAt.Before(at)
}

// dropFirstStart takes the oldest start out of the queue.
func (q *commandQueue) dropFirstStart() {
	q.starts[0] = queuedStart{}
	q.starts = q.starts[1:]
}

// earliestStop is the index of the stop that is due first. There must be one.
func (q *commandQueue) earliestStop() int {
	first := 0
	for i, stop := range q.stops {
		if stop.due.Before(q.stops[first].due) {
			first = i
		}
	}
	return first
}

// takeStop takes a stop out of the queue.
func (q *commandQueue) takeStop(index int) queuedStop {
	stop := q.stops[index]
	q.stops = slices.Delete(q.stops, index, index+1)
	return stop
}

// retryStop queues a stop again that was not answered.
func (q *commandQueue) retryStop(stop queuedStop, now time.Time) {
	stop.due = now.Add(stop.backoff)
	stop.backoff = min(2*stop.backoff, maxStopBackoff)
	q.stops = append(q.stops, stop)
}

// sendTime is the local time for a call that is sent now: certainly after the results reported before, even if the clock has not moved
// since.
func (q *commandQueue) sendTime(now time.Time) time.Time { return later(now, q.resultAt.Add(1)) }

// resultTime is the local time for a result that is reported now.
func (q *commandQueue) resultTime(now time.Time) time.Time {
	q.resultAt = later(q.resultAt, now)
	return q.resultAt
}
