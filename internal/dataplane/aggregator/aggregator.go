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
	due        map[policy.TimerID]time.Time // when timers of this step were due
	lastID     uint64
	queries    map[policy.QueryID]*Query
	byClientID map[string]*Query // held, by the client's id
	subqueries map[policy.SubqueryID]subqueryRef
	inFlight   map[callKey]inFlightCall
	admission  admissionState
	recorder   *capture.Recorder // nil where nothing is captured
	onInterval func(capture.Interval)
	waiting    []Event
	events     []policy.Event
	actions    []policy.Action
	batches    map[policy.BackendID][]Call // calls of this step that share one
	batchOrder []policy.BackendID
	stopping   chan struct{}
	stopped    chan struct{}
}

// New makes the actor; Run starts it.
func New(set settings.Settings, log *zap.Logger, count *counters.Set) *Aggregator {
	now := time.Now()
	m := &Aggregator{Inbox: eventqueue.New[Event](), settings: set, log: log, counters: count, start: now,
		startUnix: float64(now.UnixNano()) / 1e9, due: map[policy.TimerID]time.Time{},
		queries: map[policy.QueryID]*Query{}, byClientID: map[string]*Query{}, subqueries: map[policy.SubqueryID]subqueryRef{},
		inFlight: map[callKey]inFlightCall{}, batches: map[policy.BackendID][]Call{},
		stopping: make(chan struct{}), stopped: make(chan struct{})}
	m.policy = policy.New(set.Settings, m.startUnix)
	return m
}

// policyTime is a time on the policy's clock, in seconds: Unix time at the start and monotonic time since, so that it can be
// compared with the starts of backends and never jumps.
func (m *Aggregator) policyTime(t time.Time) float64 { return m.startUnix + t.Sub(m.start).Seconds() }

// wallTime is the time of a reading of the policy's clock.
func (m *Aggregator) wallTime(seconds float64) time.Time {
	return m.start.Add(time.Duration((seconds - m.startUnix) * float64(time.Second)))
}

// Capture lets a recorder count the load; each of its intervals goes to done, which may not block. It comes before Run.
func (m *Aggregator) Capture(recorder *capture.Recorder, done func(capture.Interval)) {
	m.recorder, m.onInterval = recorder, done
}

// Run is the actor's goroutine, until Stop.
func (m *Aggregator) Run(backends Backends, register Discovery) {
	defer close(m.stopped)
	m.backends, m.discovery = backends, register
	wake := time.NewTimer(time.Hour)
	for {
		m.step(time.Now())
		// Steps come no closer than the settings say, as on the bench.
		next := m.lastStep.Add(time.Duration(m.settings.Step * float64(time.Second)))
		wake.Reset(time.Until(next))
		select {
		case <-wake.C:
		case <-m.stopping:
			return
		}
		if len(m.timers) > 0 {
			wake.Reset(time.Until(m.timers[0].due))
		} else {
			wake.Reset(time.Hour)
		}
		select {
		case <-m.Inbox.Ready():
		case <-wake.C:
		case <-m.stopping:
			return
		}
	}
}

// Stop ends the actor; queries that are pending then get no answer.
func (m *Aggregator) Stop() {
	close(m.stopping)
	<-m.stopped
}

// step gives the policy all waiting events, and executes the actions that it returns.
func (m *Aggregator) step(now time.Time) {
	m.waiting = m.Inbox.Take(m.waiting)
	m.events = m.events[:0]
	for i := range m.waiting {
		m.handleEvent(&m.waiting[i], now)
	}
	clear(m.due)
	for len(m.timers) > 0 && !m.timers[0].due.After(now) {
		t := m.timers[0]
		heap.Pop(&m.timers)
		m.due[t.id] = t.due
		m.events = append(m.events, policy.Event{Kind: policy.TimerDue, Timer: t.id})
	}
	if len(m.events) == 0 {
		return
	}
	m.lastStep = now
	m.actions = m.policy.Step(m.policyTime(now), m.events, m.actions[:0])
	for i := range m.actions {
		m.execute(&m.actions[i], now)
	}
	for _, to := range m.batchOrder {
		m.sendBatch(to)
	}
	m.batchOrder = m.batchOrder[:0]
	if m.admission.rules != nil {
		m.confirmRules()
	}
	if m.recorder != nil && m.recorder.Due(m.policyTime(now)) {
		m.onInterval(m.recorder.Cut(m.policyTime(now)))
	}
	clear(m.events)
	clear(m.actions)
}

// handleEvent turns an actor's event into those of the policy, in the order of arrival.
func (m *Aggregator) handleEvent(e *Event, now time.Time) {
	switch e.Kind {
	case policy.QueryReceived:
		m.addQuery(e.ClientQuery, now)
		return
	case policy.ClientDisconnected:
		if !m.isOpen(e.ClientQuery) {
			return // answered while it left
		}
		e.Query = e.ClientQuery.id
		m.removeQuery(e.ClientQuery)
		m.recordEnd(e.ClientQuery, capture.Gone, now)
		m.counters.Add("lookups", "gone", 1)
	case policy.CallEnded:
		key := callKey{e.Subquery, e.Call}
		call, inFlight := m.inFlight[key]
		delete(m.inFlight, key)
		if inFlight && m.recorder != nil {
			m.recorder.Called(m.policyTime(now), call.seat, call.index, e.Outcome, e.Elapsed, call.alone, e.Load)
		}
		if inFlight && m.admission.admission != nil {
			m.admission.admission.CallEnded(now, m.admission.placements[call.backend].name, e.Outcome, e.Elapsed)
		}
		if ref, open := m.subqueries[e.Subquery]; open && e.Outcome == policy.Answered {
			if sub := &ref.query.Subqueries[ref.no]; !sub.Answered {
				sub.Answered, sub.Value = true, e.Value
			}
		}
	case policy.ListChanged:
		if e.List == policy.ListFailed {
			break
		}
		for i := range e.Entries {
			m.backends.Update(e.Entries[i], e.Addresses[i])
			switch {
			case m.recorder == nil:
			case e.Entries[i].Phase == policy.Removed:
				m.recorder.Unnamed(e.Entries[i].Backend)
			default:
				m.recorder.Named(e.Entries[i].Backend, e.Names[i].Backend, e.Names[i].Location)
			}
		}
		if e.List != policy.ListPatch {
			listed := make(map[policy.BackendID]bool, len(e.Entries))
			for i := range e.Entries {
				listed[e.Entries[i].Backend] = true
			}
			m.backends.Retain(listed)
		}
		if m.admission.admission != nil {
			m.updatePlacements(e)
		}
	case policy.OverridesChanged:
		if e.Rules != nil || len(e.PeerObservations) > 0 {
			m.applyAgreed(e, now)
		}
	}
	m.events = append(m.events, e.Event)
}
