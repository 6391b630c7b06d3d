package policy

// Transition tables of the state machines of subqueries and queries. An input without a matching transition has no effect.
// The tables are filled by init because the functions in them refer to the tables.
var subqueryTable, queryTable = []transition[*subquery]{}, []transition[*query]{}

func init() {
	subqueryTable = []transition[*subquery]{
		{statePending | stateInFlight, onSend, stateInFlight, (*Aggregator).send}, // stateInFlight: a hedged request
		{statePending | stateInFlight, onAbandon, stateAbandoned, (*Aggregator).abandon},
		{statePending, onClose, stateClosed, (*Aggregator).unassign},
		{stateInFlight, onAnswer, stateAnswered, (*Aggregator).countAnswer},
		{stateInFlight, onRetry, statePending, (*Aggregator).bind},
		{stateInFlight, onClose, stateClosed, (*Aggregator).cancelAll},
	}
	queryTable = []transition[*query]{
		{stateFirstStep, onComplete | onPartial, stateLastStep, (*Aggregator).answer},
		{stateLastStep, onComplete | onPartial, stateEnded, (*Aggregator).answer},
		{stateFirstStep | stateLastStep, onReject, stateEnded, (*Aggregator).reject},
		{stateFirstStep | stateLastStep, onDisconnect, stateEnded, (*Aggregator).removeQuery},
	}
}

// eventTable contains the handler of each kind of event. Step handles timers itself, after all other events.
var eventTable = [OverridesChanged + 1]func(*Aggregator, *Event){
	ListChanged:        (*Aggregator).listChanged,
	QueryReceived:      (*Aggregator).receiveQuery,
	SubqueryReceived:   (*Aggregator).receiveSubquery,
	CallEnded:          (*Aggregator).callEnded,
	ClientDisconnected: (*Aggregator).clientDisconnected,
	ProbeEnded:         (*Aggregator).probeEnded,

	OverridesChanged: (*Aggregator).overridesChanged,
}

// outcomeTable classifies outcomes: whether the call was certainly not executed, and what its outcome shows about the backend.
var outcomeTable = [...]struct{ notExecuted, fault, unreachable, slow, full bool }{
	Answered:     {},
	Errored:      {fault: true},
	Rejected:     {notExecuted: true, full: true},
	TimedOut:     {slow: true},
	NotConnected: {notExecuted: true, unreachable: true},
	Broken:       {fault: true}, // no evidence of a restart, as connections also break without one
	Canceled:     {slow: true},
	NotSent:      {notExecuted: true},
}

// Step handles all events since the last call, in order, and appends the resulting actions to actions. The time now is in
// seconds of the caller's clock and must not decrease between calls.
func (a *Aggregator) Step(now float64, events []Event, actions []Action) []Action {
	a.now, a.actions, a.step = now, actions, a.step+1
	timerDue := a.step == 1
	for i := range events {
		e := &events[i]
		timerDue = timerDue || e.Kind == TimerDue
		if handle := eventTable[e.Kind]; handle != nil {
			handle(a, e)
		}
	}
	a.sendPending()
	if timerDue { // after sending, so that only subqueries that cannot be sent yet are still pending
		a.sweep()
		a.sendPending()
	}
	return a.actions
}

// listChanged applies a change of the list. Subqueries pending for a backend that is no longer ready are bound again.
func (a *Aggregator) listChanged(e *Event) {
	if e.List == ListFailed {
		// The jitter keeps aggregators that lost the list at the same time from requesting it at the same time.
		a.listBackoff = min(maxBackoff, max(initialBackoff, 2*a.listBackoff))
		a.listPollAt = a.now + a.listBackoff*(0.5+a.random.uniform())
		return
	}
	a.listBackoff = 0
	a.removeBackends(e.List != ListPatch)
	for i := range e.Entries {
		entry := &e.Entries[i]
		b, isNew := a.applyEntry(entry)
		if entry.StartedAt > 0 && entry.StartedAt > b.startedAt {
			if !isNew {
				a.crashShare.add(1, a.now, faultDecay*a.longestSoftDeadline)
			}
			a.resetEstimates(b)
			a.recordStart(b, entry.StartedAt)
		}
	}
	for _, sub := range a.pendingSubqueries() {
		if sub.state == statePending && (sub.backend == nil || !sub.backend.ready) {
			a.bind(sub)
		}
	}
}

// overridesChanged applies a change of the operators' overrides. Subqueries pending for a backend that may no longer serve
// them are bound again. Calls in flight continue. The window of a backend that is no longer excluded is limited to the
// initial window, as it may be out of date.
func (a *Aggregator) overridesChanged(e *Event) {
	for _, b := range a.applyOverrides(e.Override) {
		b.window = min(b.window, initialWindow)
		if len(b.calls) == 0 {
			b.unansweredSince = 0
		}
	}
	for _, sub := range a.pendingSubqueries() {
		if sub.state == statePending && (sub.backend == nil || !a.mayServe(sub, sub.backend)) {
			a.bind(sub)
		}
	}
}
