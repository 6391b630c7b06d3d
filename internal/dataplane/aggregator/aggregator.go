// Package aggregator is the actor around the decisions of package policy: it alone calls Step. It owns the clock, the timers
// and the map of ids, turns events of clients, backends and the list into events of the policy, executes its actions, and
// decides nothing.
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

// Aggregator is the actor. Its fields but Inbox belong to the goroutine of Run.
type Aggregator struct {
	Inbox *eventqueue.Queue[Event]

	settings  settings.Settings
	log       *zap.Logger
	counters  *counters.Set
	backends  Backends
	discovery Discovery
	policy    *policy.Aggregator

	start      time.Time // with its monotonic reading
	startUnix  float64   // the same in Unix seconds
	lastStep   time.Time // last step
	timers     timers
	dueTimes        map[policy.TimerID]time.Time // when timers of this step were due
	lastID     uint64
	queries    map[policy.QueryID]*Query
	byClientID map[string]*Query // pending, by the client's id
	subqueries map[policy.SubqueryID]subqueryRef
	inFlight   map[callKey]inFlightCall
	admissionState  admissionState
	recorder   *capture.Recorder // nil where nothing is captured
	onInterval func(capture.Interval)
	pending    []Event
	events     []policy.Event
	actions    []policy.Action
	batches    map[policy.BackendID][]Call // calls of this step that share one
	batchOrder []policy.BackendID
	stopping   chan struct{}
	stopped    chan struct{}
}

// New makes the actor; Run starts it.
func New(conf settings.Settings, log *zap.Logger, counterSet *counters.Set) *Aggregator {
	now := time.Now()
	a := &Aggregator{Inbox: eventqueue.New[Event](), settings: conf, log: log, counters: counterSet, start: now,
		startUnix: float64(now.UnixNano()) / 1e9, dueTimes: map[policy.TimerID]time.Time{},
		queries: map[policy.QueryID]*Query{}, byClientID: map[string]*Query{}, subqueries: map[policy.SubqueryID]subqueryRef{},
		inFlight: map[callKey]inFlightCall{}, batches: map[policy.BackendID][]Call{},
		stopping: make(chan struct{}), stopped: make(chan struct{})}
	a.policy = policy.New(conf.Settings, a.startUnix)
	return a
}

// policyTime is a time on the policy's clock, in seconds: Unix time at the start and monotonic time since, so that it can be
// compared with the starts of backends and never jumps.
func (a *Aggregator) policyTime(t time.Time) float64 { return a.startUnix + t.Sub(a.start).Seconds() }

// wallTime is the time of a reading of the policy's clock.
func (a *Aggregator) wallTime(seconds float64) time.Time {
	return a.start.Add(time.Duration((seconds - a.startUnix) * float64(time.Second)))
}

// Capture lets a recorder count the load; each of its intervals goes to done, which may not block. It comes before Run.
func (a *Aggregator) Capture(recorder *capture.Recorder, done func(capture.Interval)) {
	a.recorder, a.onInterval = recorder, done
}

// Run is the actor's goroutine, until Stop.
func (a *Aggregator) Run(backends Backends, discovery Discovery) {
	defer close(a.stopped)
	a.backends, a.discovery = backends, discovery
	wake := time.NewTimer(time.Hour)
	for {
		a.step(time.Now())
		// Steps come no closer than the settings say, as on the bench.
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

// Stop ends the actor; queries that are pending then get no answer.
func (a *Aggregator) Stop() {
	close(a.stopping)
	<-a.stopped
}

// step gives the policy all waiting events, and executes the actions that it returns.
func (a *Aggregator) step(now time.Time) {
	a.pending = a.Inbox.Take(a.pending)
	a.events = a.events[:0]
	for i := range a.pending {
		a.handleEvent(&a.pending[i], now)
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

// handleEvent turns an actor's event into those of the policy, in the order of arrival.
func (a *Aggregator) handleEvent(e *Event, now time.Time) {
	switch e.Kind {
	case policy.QueryReceived:
		a.addQuery(e.ClientQuery, now)
		return
	case policy.ClientDisconnected:
		if !a.isOpen(e.ClientQuery) {
			return // answered while it left
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
