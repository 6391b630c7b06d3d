package workerclient

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	firstStopPause   = 200 * time.Millisecond
	longestStopPause = time.Second
	startPatience    = 2 * time.Second // how long a start order waits for a grant
)

// orderQueue holds the orders that are not under way.
type orderQueue struct {
	starts []waitingStart
	stops  []waitingStop
	timer  *time.Timer // set for the first stop order whose pause is not over
}

type waitingStart struct {
	order  StartCommand
	queued time.Time
}

type waitingStop struct {
	order StopCommand
	due   time.Time
	pause time.Duration // until the next try, should this one fail
}

// Start sends a start order as soon as its turn has come; its outcome is reported. While the worker is unreachable it is
// not sent.
func (l *Link) Start(order StartCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders.starts = append(l.orders.starts, waitingStart{order, l.now()})
	l.occupy()
	l.dispatch()
}

// occupy ends the rest of the hold loop: there will be a run. The caller holds the lock.
func (l *Link) occupy() {
	l.occupied = true
	select {
	case l.stir <- struct{}{}:
	default:
	}
}

// Stop sends a stop order, again and again until it is answered or the link ends. While the worker is unreachable the
// order waits.
func (l *Link) Stop(order StopCommand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders.stops = append(l.orders.stops, waitingStop{order, l.now(), firstStopPause})
	l.occupy()
	l.dispatch()
}

// dispatch sets workers to the orders that may go out. The caller holds the lock.
func (l *Link) dispatch() {
	for idle := startSlots - l.workers; idle > 0; idle-- {
		work := l.next()
		if work == nil {
			return
		}
		l.workers++
		go l.work(work)
	}
}

// work carries out one piece of work after another until none is left that may go out.
func (l *Link) work(next func()) {
	for next != nil {
		next()
		l.mu.Lock()
		if next = l.next(); next == nil {
			l.workers--
			l.idle.Broadcast()
		}
		l.mu.Unlock()
	}
}

// next takes an order from the queue, stops first, and returns what is to be done about it; nil when there is none. The
// caller holds the lock.
func (l *Link) next() func() {
	now := l.now()
	if stop, ok := l.nextStop(now); ok {
		if l.ending != open {
			return func() { l.reportStop(stop.order, false) }
		}
		return func() { l.sendStop(stop) }
	}
	if len(l.orders.starts) == 0 {
		return nil
	}
	start := l.orders.starts[0]
	var work func()
	switch {
	case l.ending != open:
		outcome := l.endOutcome(NotSent)
		work = func() { l.reportStart(start.order, outcome) }
	case l.suspended || l.contact == unreachable || now.Sub(start.queued) > startPatience:
		work = func() { l.reportStart(start.order, NotSent) }
	case l.startable(now):
		work = func() { l.sendStart(start.order) }
	default:
		return nil
	}
	l.orders.starts[0] = waitingStart{}
	l.orders.starts = l.orders.starts[1:]
	return work
}

// startable tells whether a start order would be held long enough and is likely to be answered. The caller holds the lock.
func (l *Link) startable(now time.Time) bool {
	return !l.doubtful && l.granted.validUntil-l.clock.highest(now) >= l.pace.minimumLead
}

// stillStartable tells the same once the order's turn for a connection has come.
func (l *Link) stillStartable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startable(l.now())
}

// nextStop takes the first stop order whose time has come, and sets the timer when all of them pause. The caller holds the
// lock.
func (l *Link) nextStop(now time.Time) (waitingStop, bool) {
	if len(l.orders.stops) == 0 || l.ending == open && (l.suspended || l.contact == unreachable) {
		return waitingStop{}, false
	}
	first := 0
	for i, stop := range l.orders.stops {
		if stop.due.Before(l.orders.stops[first].due) {
			first = i
		}
	}
	stop := l.orders.stops[first]
	if wait := stop.due.Sub(now); wait > 0 && l.ending == open {
		l.setTimer(wait)
		return waitingStop{}, false
	}
	l.orders.stops = append(l.orders.stops[:first], l.orders.stops[first+1:]...)
	return stop, true
}

func (l *Link) setTimer(wait time.Duration) {
	if l.orders.timer != nil {
		l.orders.timer.Reset(wait)
		return
	}
	l.orders.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// endOutcome is the outcome of a start order when the link has ended: otherwise, if the reason does not tell. The caller
// holds the lock.
func (l *Link) endOutcome(otherwise StartOutcome) StartOutcome {
	switch {
	case l.ending == gone:
		return IncarnationOver
	case l.ending == fenced && otherwise == NotSent:
		return RejectedFencingToken
	}
	return otherwise
}

// sendStart makes one start call. It extends no grant: its runs are held as long as those already there.
func (l *Link) sendStart(order StartCommand) {
	if !l.lane.begin(l.done) {
		l.reportStart(order, NotSent)
		return
	}
	defer l.lane.end()
	if !l.config.LeaderLeaseValid() || !l.stillStartable() {
		l.reportStart(order, NotSent)
		return
	}
	c := l.beginStart()
	body := appendStart(make([]byte, 0, startBytes(&order)), &order, c.validUntil.Milliseconds(), l.config.FencingToken)
	a, err := l.caller.post(l.context, l.caller.start, body, c.timeout)
	l.settleStart(c, a, err, l.now())
	l.reportStart(order, l.startOutcome(a, err))
	if err != nil {
		l.doubt() // a look shows whether the run is there
	}
}

// startCall is a start call under way.
type startCall struct {
	sentAt     time.Time
	timeout    time.Duration
	validUntil time.Duration // on the worker's clock
	grant      *grant
}

func (l *Link) beginStart() startCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := startCall{sentAt: l.now(), timeout: l.roundTrips.startLimit(), validUntil: l.granted.validUntil}
	c.grant = l.grants.begin(l.clock.untilPassed(c.validUntil, c.sentAt), c.sentAt, c.timeout)
	return c
}

func (l *Link) settleStart(c startCall, a answer, err error, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(a, c.sentAt, received)
	l.settle(c.grant, c.validUntil, err, received)
	if err == nil || rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		l.roundTrips.startEnded(err == nil)
	}
	if err != nil {
		l.doubtful = true // before the outcome is reported, as that may bring further starts
		return
	}
	l.roundTrips.observe(received.Sub(c.sentAt))
}

// startBytes is about how long a start call's body is.
func startBytes(order *StartCommand) int {
	const others = 192
	return len(order.Specification) + len(order.Checkpoint) + others
}

// startOutcome reads an answer to a start order and notes what else it says.
func (l *Link) startOutcome(a answer, err error) StartOutcome {
	if err != nil {
		l.log.Debug("start without answer", zap.Error(err))
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.endOutcome(failureOutcome(err))
	}
	if l.endedBy(a) {
		if a.status == http.StatusMisdirectedRequest {
			return IncarnationOver
		}
		return RejectedFencingToken
	}
	l.setContact(reachable)
	return answerOutcome(a)
}

func (l *Link) reportStart(order StartCommand, outcome StartOutcome) {
	result := StartResult{l.config.Instance.ID, order, outcome, l.resultTime()}
	l.out.post(func(e Events) { e.StartResult(result) })
}

// sendStop makes one stop call, and queues the order again if it was not taken.
func (l *Link) sendStop(stop waitingStop) {
	if !l.lane.begin(l.done) {
		l.requeueStop(stop)
		return
	}
	defer l.lane.end()
	if !l.config.LeaderLeaseValid() {
		l.requeueStop(stop)
		return
	}
	a, err := l.postStop(stop.order)
	switch {
	case err != nil:
		l.log.Debug("stop without answer", zap.Error(err))
		l.doubt()
	case l.endedBy(a):
	default:
		l.setContact(reachable)
	}
	if err != nil || a.status != http.StatusOK {
		l.requeueStop(stop)
		return
	}
	l.reportStop(stop.order, true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestLook(mergeDelay) // shows whether the run is there
}

func (l *Link) postStop(order StopCommand) (answer, error) {
	l.mu.Lock()
	timeout := l.roundTrips.orderLimit()
	l.mu.Unlock()
	a, sentAt, err := l.postRepeatable(repeatableCall{l.caller.stop, appendStop(nil, order, l.config.FencingToken), timeout})
	if err == nil {
		received := l.now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.roundTrips.observe(received.Sub(sentAt))
	}
	return a, err
}

func (l *Link) requeueStop(stop waitingStop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stop.due = l.now().Add(stop.pause)
	stop.pause = min(2*stop.pause, longestStopPause)
	l.orders.stops = append(l.orders.stops, stop)
}

func (l *Link) reportStop(order StopCommand, answered bool) {
	result := StopResult{l.config.Instance.ID, order, answered, l.resultTime()}
	l.out.post(func(e Events) { e.StopResult(result) })
}
