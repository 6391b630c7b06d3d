package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// maxStartWait is the maximum time that a start stays queued until the lease is long enough. After that its outcome is NotSent.
const maxStartWait = 2 * time.Second

// Start queues a start command. Its outcome is reported to Events. The command is sent at most once, and never while the worker is
// unreachable, suspected to be unresponsive, or about to lose its lease.
func (l *Link) Start(command StartCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.starts = append(l.commands.starts, queuedStart{command, l.now()})
	l.markMayHaveWork()
	l.dispatch()
}

// markMayHaveWork records that the worker may soon have an attempt, and ends the wait of the renewal loop between two polls. The
// caller holds the lock.
func (l *Link) markMayHaveWork() {
	l.activity.mayHaveWork = true
	l.commandQueued.Notify()
}

// Stop queues a stop command. It is retried until the worker answers it or the link ends, which is then reported to Events. It stays
// queued while the worker is unreachable.
func (l *Link) Stop(command StopCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.stops = append(l.commands.stops, queuedStop{command, l.now(), firstStopBackoff})
	l.markMayHaveWork()
	l.dispatch()
}

// dispatch starts goroutines that send the commands which may be sent now. The caller holds the lock.
func (l *Link) dispatch() {
	for freeSenders := maxCommandsInFlight - l.commands.activeSenders; freeSenders > 0; freeSenders-- {
		action := l.nextAction()
		if action == nil {
			return
		}
		l.commands.activeSenders++
		go l.sendCommands(action)
	}
}

// sendCommands runs the given action and those of further commands until no command is left that may be sent now.
func (l *Link) sendCommands(action func()) {
	for action != nil {
		action()
		l.mu.Lock()
		if action = l.nextAction(); action == nil {
			l.commands.activeSenders--
			l.inFlightChanged.Broadcast()
		}
		l.mu.Unlock()
	}
}

// nextAction removes a command from the queue, stops before starts, and returns the function that sends it or reports its result. It
// returns nil if no command may be sent now. The caller holds the lock.
func (l *Link) nextAction() func() {
	now := l.now()
	if stop, ok := l.nextStop(now); ok {
		if l.endReason != notEnded {
			return func() { l.reportStop(stop.command, false) }
		}
		return func() { l.sendStop(stop) }
	}
	if len(l.commands.starts) == 0 {
		return nil
	}
	start := l.commands.starts[0]
	var action func()
	switch {
	case l.endReason != notEnded:
		outcome := l.outcomeAfterEnd(NotSent)
		action = func() { l.reportStart(start.command, outcome) }
	case l.commands.suspended || l.health.reachability == unreachable || now.Sub(start.queuedAt) > maxStartWait:
		action = func() { l.reportStart(start.command, NotSent) }
	case l.canSendStart(now):
		action = func() { l.sendStart(start.command) }
	default:
		return nil
	}
	l.commands.removeFirstStart()
	return action
}

// canSendStart reports whether the remaining lease is long enough for a start and the worker is not suspected to be unresponsive. The
// caller holds the lock.
func (l *Link) canSendStart(now time.Time) bool {
	return l.health.suspicion == notSuspected && l.lease.remaining(now) >= l.timings.minRemainingLease
}

// canStillSendStart checks canSendStart again after the command has waited for a connection.
func (l *Link) canStillSendStart() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.canSendStart(l.now())
}

// nextStop removes the first stop that is due from the queue. If none is due yet, it sets the timer for the earliest one. The caller
// holds the lock.
func (l *Link) nextStop(now time.Time) (queuedStop, bool) {
	if len(l.commands.stops) == 0 || l.endReason == notEnded && (l.commands.suspended || l.health.reachability == unreachable) {
		return queuedStop{}, false
	}
	earliest := l.commands.earliestStop()
	if wait := l.commands.stops[earliest].due.Sub(now); wait > 0 && l.endReason == notEnded {
		l.setStopTimer(wait)
		return queuedStop{}, false
	}
	return l.commands.removeStop(earliest), true
}

// setStopTimer schedules the next dispatch after the given wait. The caller holds the lock.
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

// outcomeAfterEnd returns the outcome of a start if the reason for the end of the link determines it, and otherwise the fallback. The
// caller holds the lock.
func (l *Link) outcomeAfterEnd(fallback StartOutcome) StartOutcome {
	switch {
	case l.endReason == workerReplaced:
		return IncarnationEnded
	case l.endReason == tokenRejected && fallback == NotSent:
		return RejectedFencingToken
	}
	return fallback
}

// sendStart sends a start call. The call extends no lease: the new attempt shares the lease of the attempts on the worker.
func (l *Link) sendStart(command StartCommand) {
	if !l.pool.acquire(l.done) {
		l.reportStart(command, NotSent)
		return
	}
	defer l.pool.release()
	if !l.config.LeaderLeaseValid() || !l.canStillSendStart() {
		l.reportStart(command, NotSent)
		return
	}
	c := l.beginStart()
	body := appendStart(make([]byte, 0, estimatedStartBytes(&command)), &command, c.validUntil.Milliseconds(), l.config.FencingToken)
	response, err := l.rpc.post(l.context, l.rpc.start, body, c.timeout)
	l.handleStartResponse(c, response, err, l.now())
	l.reportStart(command, l.startOutcome(response, err))
	if err != nil {
		l.pollAfterUnansweredCommand() // a poll shows whether the worker has the attempt
	}
}

// startCall is a start call in flight.
type startCall struct {
	sentAt     time.Time
	timeout    time.Duration
	validUntil time.Duration // on the worker's clock
	grant      *leaseGrant
}

// beginStart records a start call and the lease that it contains.
func (l *Link) beginStart() startCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := startCall{sentAt: l.now(), timeout: l.rtt.startTimeout(), validUntil: l.lease.confirmed.validUntil}
	c.grant = l.lease.grant(c.validUntil, c.sentAt, c.timeout)
	return c
}

// handleStartResponse updates the worker's clock bounds, the lease, the health and the round-trip times from the response to a start
// or from its failure.
func (l *Link) handleStartResponse(c startCall, response workerResponse, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.observe(response, c.sentAt, received)
	l.lease.endGrant(c.grant, c.validUntil, err, received)
	if err == nil || rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		l.rtt.recordStart(err == nil)
	}
	if err != nil {
		l.health.commandUnanswered() // before the outcome is reported, as the report may trigger further starts
		return
	}
	l.rtt.observe(received.Sub(c.sentAt))
}

// estimatedStartBytes returns the approximate size of the body of a start call.
func estimatedStartBytes(command *StartCommand) int {
	const fixedFieldBytes = 192
	return len(command.Specification) + len(command.Checkpoint) + fixedFieldBytes
}

// startOutcome returns the outcome of a start call. It also updates the state of the link from the response.
func (l *Link) startOutcome(response workerResponse, err error) StartOutcome {
	if err != nil {
		l.log.Debug("start without response", zap.Error(err))
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.outcomeAfterEnd(failureOutcome(err))
	}
	if l.endedBy(response) {
		if response.status == http.StatusMisdirectedRequest {
			return IncarnationEnded
		}
		return RejectedFencingToken
	}
	l.setReachability(reachable)
	return responseOutcome(response)
}

func (l *Link) reportStart(command StartCommand, outcome StartOutcome) {
	result := StartResult{l.config.Instance.ID, command, outcome, l.resultTime()}
	l.events.post(func(e Events) { e.StartResult(result) })
}

// sendStop sends a stop call, and queues the stop again if it was not answered.
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
		l.pollAfterUnansweredCommand()
	case l.endedBy(response):
	default:
		l.setReachability(reachable)
	}
	if err != nil || response.status != http.StatusOK {
		l.requeueStop(stop)
		return
	}
	l.reportStop(stop.command, true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestPoll(pollMergeDelay) // shows whether the worker still has the attempt
}

func (l *Link) postStop(command StopCommand) (workerResponse, error) {
	l.mu.Lock()
	timeout := l.rtt.commandTimeout()
	l.mu.Unlock()
	response, sentAt, err := l.postIdempotent(idempotentCall{l.rpc.stop, appendStop(nil, command, l.config.FencingToken), timeout})
	if err == nil {
		received := l.now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rtt.observe(received.Sub(sentAt))
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
