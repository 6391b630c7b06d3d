// Package aggregator runs the decision module, package policy, in a goroutine of its own. It converts events from clients,
// backends and discovery into the policy's events, passes them to the policy's Step, and executes the actions that Step
// returns.
//
// Other goroutines put events into the Inbox. The aggregator owns the clock, the timers and the mapping between IDs of the
// policy and queries. Only the goroutine of Run calls Step.
//
// The aggregator itself rejects duplicate queries, queries beyond the limit of pending ones and queries that the admission
// refuses. It makes no other decision: those are the policy's.
package aggregator

import (
	"container/heap"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// Aggregator runs the policy. All fields except Inbox belong to the goroutine of Run.
type Aggregator struct {
	Inbox *eventqueue.Queue[Event]

	settings  settings.Settings
	logger    *zap.Logger
	counters  *counters.Set
	backends  Backends
	discovery Discovery
	policy    *policy.Aggregator

	start          time.Time // with monotonic clock reading
	startUnix      float64   // start in Unix seconds
	lastStep       time.Time // time of the latest step
	timers         timers
	dueTimes       map[policy.TimerID]time.Time // due times of the timers that fired in this step
	lastID         uint64
	queries        map[policy.QueryID]*Query
	byClientID     map[string]*Query // pending queries by the client's ID
	subqueries     map[policy.SubqueryID]subqueryRef
	inFlight       map[callKey]inFlightCall
	admissionState admissionState
	recorder       *capture.Recorder // nil if the load is not captured
	onInterval     func(capture.Interval)
	pendingEvents  []Event
	events         []policy.Event
	actions        []policy.Action
	batches        map[policy.BackendID][]Call // calls of this step that are not sent yet
	batchOrder     []policy.BackendID          // backends in the order of their first call in this step
	stopping       chan struct{}
	stopped        chan struct{}
}

// New returns an aggregator. Run starts it.
func New(aggregatorSettings settings.Settings, logger *zap.Logger, counterSet *counters.Set) *Aggregator {
	now := time.Now()
	a := &Aggregator{Inbox: eventqueue.New[Event](), settings: aggregatorSettings, logger: logger, counters: counterSet, start: now,
		startUnix: float64(now.UnixNano()) / 1e9, dueTimes: map[policy.TimerID]time.Time{},
		queries: map[policy.QueryID]*Query{}, byClientID: map[string]*Query{}, subqueries: map[policy.SubqueryID]subqueryRef{},
		inFlight: map[callKey]inFlightCall{}, batches: map[policy.BackendID][]Call{},
		stopping: make(chan struct{}), stopped: make(chan struct{})}
	a.policy = policy.New(aggregatorSettings.Settings, a.startUnix)
	return a
}

// policyTime converts a time to the policy's clock, in seconds. That clock starts with the Unix time at the start of the
// aggregator and follows the monotonic clock from there. So it never jumps, and its readings can be compared with the
// start times of backends.
func (a *Aggregator) policyTime(t time.Time) float64 { return a.startUnix + t.Sub(a.start).Seconds() }

// wallTime converts a reading of the policy's clock to a time.
func (a *Aggregator) wallTime(seconds float64) time.Time {
	return a.start.Add(time.Duration((seconds - a.startUnix) * float64(time.Second)))
}

// Capture makes a recorder count the load. Each completed interval is passed to done, which must not block. Capture must be
// called before Run.
func (a *Aggregator) Capture(recorder *capture.Recorder, done func(capture.Interval)) {
	a.recorder, a.onInterval = recorder, done
}

// Run processes events until Stop is called.
func (a *Aggregator) Run(backends Backends, discovery Discovery) {
	defer close(a.stopped)
	a.backends, a.discovery = backends, discovery
	wake := time.NewTimer(time.Hour)
	for {
		a.step(time.Now())
		// Keep the minimum interval between steps, as in the benchmarks of the policy.
		next := a.lastStep.Add(time.Duration(a.settings.StepInterval * float64(time.Second)))
		wake.Reset(time.Until(next))
		select {
		case <-wake.C:
		case <-a.stopping:
			return
		}
		if len(a.timers) > 0 {
			wake.Reset(time.Until(a.timers[0].due))
		} else {
			wake.Reset(time.Hour)
		}
		select {
		case <-a.Inbox.Ready():
		case <-wake.C:
		case <-a.stopping:
			return
		}
	}
}

// Stop ends Run and waits until it has returned. Pending queries get no answer.
func (a *Aggregator) Stop() {
	close(a.stopping)
	<-a.stopped
}

// step passes all waiting events and due timers to the policy and executes the actions that it returns.
func (a *Aggregator) step(now time.Time) {
	a.pendingEvents = a.Inbox.Take(a.pendingEvents)
	a.events = a.events[:0]
	for i := range a.pendingEvents {
		a.handleEvent(&a.pendingEvents[i], now)
	}
	clear(a.dueTimes)
	for len(a.timers) > 0 && !a.timers[0].due.After(now) {
		t := a.timers[0]
		heap.Pop(&a.timers)
		a.dueTimes[t.id] = t.due
		a.events = append(a.events, policy.Event{Kind: policy.TimerDue, Timer: t.id})
	}
	if len(a.events) == 0 {
		return
	}
	a.lastStep = now
	a.actions = a.policy.Step(a.policyTime(now), a.events, a.actions[:0])
	for i := range a.actions {
		a.execute(&a.actions[i], now)
	}
	for _, backend := range a.batchOrder {
		a.sendBatch(backend)
	}
	a.batchOrder = a.batchOrder[:0]
	if a.admissionState.rules != nil {
		a.reportRulesInForce()
	}
	if a.recorder != nil && a.recorder.Due(a.policyTime(now)) {
		a.onInterval(a.recorder.EndInterval(a.policyTime(now)))
	}
	clear(a.events)
	clear(a.actions)
}

// handleEvent converts an event to events of the policy and appends them in the order of arrival.
func (a *Aggregator) handleEvent(e *Event, now time.Time) {
	switch e.Kind {
	case policy.QueryReceived:
		a.addQuery(e.ClientQuery, now)
		return
	case policy.ClientDisconnected:
		if !a.isOpen(e.ClientQuery) {
			return // the query was answered or rejected before the disconnect was processed
		}
		e.Query = e.ClientQuery.id
		a.removeQuery(e.ClientQuery)
		a.recordQueryEnd(e.ClientQuery, capture.Disconnected, now)
		a.counters.Add("lookups", "gone", 1)
	case policy.CallEnded:
		key := callKey{e.Subquery, e.Call}
		call, inFlight := a.inFlight[key]
		delete(a.inFlight, key)
		if inFlight && a.recorder != nil {
			a.recorder.CallEnded(a.policyTime(now), call.backendCalls,
				capture.CallEnd{Index: call.index, Outcome: e.Outcome, Elapsed: e.Elapsed, Alone: call.alone, Load: e.Load})
		}
		if inFlight && a.admissionState.admission != nil {
			a.admissionState.admission.CallEnded(now, a.admissionState.placements[call.backend].name, e.Outcome, e.Elapsed)
		}
		if ref, open := a.subqueries[e.Subquery]; open && e.Outcome == policy.Answered {
			if sub := &ref.query.Subqueries[ref.position]; !sub.Answered {
				sub.Answered, sub.Value = true, e.Value
			}
		}
	case policy.ListChanged:
		if e.List == policy.ListFailed {
			break
		}
		for i := range e.Entries {
			a.backends.Update(e.Entries[i], e.Addresses[i])
			switch {
			case a.recorder == nil:
			case e.Entries[i].Phase == policy.Removed:
				a.recorder.BackendRemoved(e.Entries[i].Backend)
			default:
				a.recorder.BackendAdded(e.Entries[i].Backend, e.Names[i].Backend, e.Names[i].Location)
			}
		}
		if e.List != policy.ListPatch {
			listed := make(map[policy.BackendID]bool, len(e.Entries))
			for i := range e.Entries {
				listed[e.Entries[i].Backend] = true
			}
			a.backends.Retain(listed)
		}
		if a.admissionState.admission != nil {
			a.updatePlacements(e)
		}
	case policy.OverridesChanged:
		if e.Rules != nil || len(e.PeerObservations) > 0 {
			a.applyOverrides(e, now)
		}
	}
	a.events = append(a.events, e.Event)
}
