package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// maxStartWait is how long a start waits for a lease that lasts.
const maxStartWait = 2 * time.Second

// Start queues a start; its outcome is reported to Events. It is sent once at most, and not at all while the worker is unreachable or
// in doubt, or its lease is about to expire.
func (l *Link) Start(command StartCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.starts = append(l.commands.starts, queuedStart{command, l.now()})
	l.expectAttempt()
	l.dispatch()
}

// expectAttempt ends the idle time of the renewal loop: there will be an attempt. The caller holds the lock.
func (l *Link) expectAttempt() {
	l.activity.mayHaveWork = true
	l.commandQueued.Notify()
}

// Stop queues a stop, which is retried until it is answered or the link ends; that is reported to Events. While the worker is
// unreachable the stop stays queued.
func (l *Link) Stop(command StopCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.stops = append(l.commands.stops, queuedStop{command, l.now(), firstStopBackoff})
	l.expectAttempt()
	l.dispatch()
}

// dispatch starts senders for the commands that may be sent now. The caller holds the lock.
func (l *Link) dispatch() {
	for idle := maxCommandsInFlight - l.commands.senders; idle > 0; idle-- {
		work := l.nextCommand()
		if work == nil {
			return
		}
		l.commands.senders++
		go l.sendCommands(work)
	}
}

// sendCommands carries out one command after another until none is left that may be sent now.
func (l *Link) sendCommands(next func()) {
	for next != nil {
		next()
		l.mu.Lock()
		if next = l.nextCommand(); next == nil {
			l.commands.senders--
			l.quiescent.Broadcast()
		}
		l.mu.Unlock()
	}
}

// nextCommand takes a command from the queue, stops first, and returns what is to be done about it; nil when there is none. The
// caller holds the lock.
func (l *Link) nextCommand() func() {
	now := l.now()
	if stop, ok := l.nextStop(now); ok {
		if l.ending != open {
			return func() { l.reportStop(stop.command, false) }
		}
		return func() { l.sendStop(stop) }
	}
	if len(l.commands.starts) == 0 {
		return nil
	}
	start := l.commands.starts[0]
	var work func()
	switch {
	case l.ending != open:
		outcome := l.outcomeAtEnd(NotSent)
		work = func() { l.reportStart(start.command, outcome) }
	case l.commands.suspended || l.health.contact == unreachable || now.Sub(start.queuedAt) > maxStartWait:
		work = func() { l.reportStart(start.command, NotSent) }
	case l.startable(now):
		work = func() { l.sendStart(start.command) }
	default:
		return nil
	}
	l.commands.dropFirstStart()
	return work
}

// startable reports whether the lease lasts long enough for a start, and whether the worker is likely to respond to it. The caller
// holds the lock.
func (l *Link) startable(now time.Time) bool {
	return l.health.doubt == confident && l.lease.remaining(now) >= l.pace.minLeaseLead
}

// stillStartable is startable once the command has its turn for a connection.
func (l *Link) stillStartable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startable(l.now())
}

// nextStop takes the first stop that is due, and sets the timer when all of them back off. The caller holds the lock.
func (l *Link) nextStop(now time.Time) (queuedStop, bool) {
	if len(l.commands.stops) == 0 || l.ending == open && (l.commands.suspended || l.health.contact == unreachable) {
		return queuedStop{}, false
	}
	earliest := l.commands.earliestStop()
	if wait := l.commands.stops[earliest].due.Sub(now); wait > 0 && l.ending == open {
		l.setStopTimer(wait)
		return queuedStop{}, false
	}
	return l.commands.takeStop(earliest), true
}

// setStopTimer dispatches the queue again after a while. The caller holds the lock.
func (l *Link) setStopTimer(wait time.Duration) {
	if l.commands.stopTimer != nil {
		l.commands.stopTimer.Reset(wait)
		return
	}
	l.commands.stopTimer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// outcomeAtEnd is the outcome of a start when the link has ended for a reason that tells it, and otherwise the given one. The caller
// holds the lock.
func (l *Link) outcomeAtEnd(otherwise StartOutcome) StartOutcome {
	switch {
	case l.ending == gone:
		return IncarnationOver
	case l.ending == fenced && otherwise == NotSent:
		return RejectedFencingToken
	}
	return otherwise
}

// sendStart makes one start call. It extends no lease: the new attempt goes on as long as those already there.
func (l *Link) sendStart(command StartCommand) {
	if !l.pool.acquire(l.done) {
		l.reportStart(command, NotSent)
		return
	}
	defer l.pool.release()
	if !l.config.LeaderLeaseValid() || !l.stillStartable() {
		l.reportStart(command, NotSent)
		return
	}
	c := l.beginStart()
	body := appendStart(make([]byte, 0, startBytes(&command)), &command, c.validUntil.Milliseconds(), l.config.FencingToken)
	response, err := l.caller.post(l.context, l.caller.start, body, c.timeout)
	l.handleStartResponse(c, response, err, l.now())
	l.reportStart(command, l.startOutcome(response, err))
	if err != nil {
		l.pollAfterCommand() // a poll shows whether the attempt is there
	}
}

// startCall is a start call under way.
type startCall struct {
	sentAt     time.Time
	timeout    time.Duration
	validUntil time.Duration // on the worker's clock
	grant      *leaseGrant
}

// beginStart records a start call and the lease that it carries.
func (l *Link) beginStart() startCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := startCall{sentAt: l.now(), timeout: l.roundTrips.startTimeout(), validUntil: l.lease.confirmed.validUntil}
	c.grant = l.lease.grant(c.validUntil, c.sentAt, c.timeout)
	return c
}

// handleStartResponse takes in what a response, or its absence, says about the worker's clock, its lease and health, and the round trips.
func (l *Link) handleStartResponse(c startCall, response workerResponse, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.observe(response, c.sentAt, received)
	l.lease.endGrant(c.grant, c.validUntil, err, received)
	if err == nil || rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		l.roundTrips.startEnded(err == nil)
	}
	if err != nil {
		l.health.commandUnanswered() // before the outcome is reported, as that may bring further starts
		return
	}
	l.roundTrips.observe(received.Sub(c.sentAt))
}

// startBytes is about how long the body of a start call is.
func startBytes(command *StartCommand) int {
	const others = 192
	return len(command.Specification) + len(command.Checkpoint) + others
}

// startOutcome is the outcome of a start call; it takes in what else the response says about the worker.
func (l *Link) startOutcome(response workerResponse, err error) StartOutcome {
	if err != nil {
		l.log.Debug("start without response", zap.Error(err))
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.outcomeAtEnd(failureOutcome(err))
	}
	if l.endedBy(response) {
		if response.status == http.StatusMisdirectedRequest {
			return IncarnationOver
		}
		return RejectedFencingToken
	}
	l.setContact(reachable)
	return responseOutcome(response)
}

func (l *Link) reportStart(command StartCommand, outcome StartOutcome) {
	result := StartResult{l.config.Instance.ID, command, outcome, l.resultTime()}
	l.events.post(func(e Events) { e.StartResult(result) })
}

// sendStop makes one stop call, and queues the stop again if it was not answered.
func (l *Link) sendStop(stop queuedStop) {
	if !l.pool.acquire(l.done) {
		l.requeueStop(stop)
		return
	}
	defer l.pool.release()
	if !l.config.LeaderLeaseValid() {
		l.requeueStop(stop)
		return
	}
	response, err := l.postStop(stop.command)
	switch {
	case err != nil:
		l.log.Debug("stop without response", zap.Error(err))
		l.pollAfterCommand()
	case l.endedBy(response):
	default:
		l.setContact(reachable)
	}
	if err != nil || response.status != http.StatusOK {
		l.requeueStop(stop)
		return
	}
	l.reportStop(stop.command, true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestPoll(pollMergeDelay) // shows whether the attempt is there
}

func (l *Link) postStop(command StopCommand) (workerResponse, error) {
	l.mu.Lock()
	timeout := l.roundTrips.commandTimeout()
	l.mu.Unlock()
	response, sentAt, err := l.postIdempotent(idempotentCall{l.caller.stop, appendStop(nil, command, l.config.FencingToken), timeout})
	if err == nil {
		received := l.now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.roundTrips.observe(received.Sub(sentAt))
	}
	return response, err
}

func (l *Link) requeueStop(stop queuedStop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.retryStop(stop, l.now())
}

func (l *Link) reportStop(command StopCommand, answered bool) {
	result := StopResult{l.config.Instance.ID, command, answered, l.resultTime()}
	l.events.post(func(e Events) { e.StopResult(result) })
}
