package policy

// The state machines of a subquery and of a query. They are filled at init, as their effects refer to them. An input
// that a state does not list changes nothing.
var subqueryTable, queryTable = []rule[*subquery]{}, []rule[*query]{}

func init() {
	subqueryTable = []rule[*subquery]{
		{statePending | stateInFlight, onSend, stateInFlight, (*Aggregator).send}, // from in flight: a hedge
		{statePending | stateInFlight, onTooLate, stateAbandoned, (*Aggregator).abandon},
		{statePending, onClose, stateClosed, (*Aggregator).unassign},
		{stateInFlight, onAnswer, stateAnswered, (*Aggregator).countAnswer},
		{stateInFlight, onRetry, statePending, (*Aggregator).bind},
		{stateInFlight, onClose, stateClosed, (*Aggregator).cancelAll},
	}
	queryTable = []rule[*query]{
		{stateFirstStep, onComplete | onPartial, stateLastStep, (*Aggregator).answer},
		{stateLastStep, onComplete | onPartial, stateEnded, (*Aggregator).answer},
		{stateFirstStep | stateLastStep, onGiveUp, stateEnded, (*Aggregator).reject},
		{stateFirstStep | stateLastStep, onDisconnect, stateEnded, (*Aggregator).removeQuery},
	}
}

// eventTable has the handler of each kind of event; timers are handled after all other events of a step.
var eventTable = [OverridesChanged + 1]func(*Aggregator, *Event){
	ListChanged:        (*Aggregator).listChanged,
	QueryReceived:      (*Aggregator).receiveQuery,
	SubqueryReceived:   (*Aggregator).receiveSubquery,
	CallEnded:          (*Aggregator).callEnded,
	ClientDisconnected: (*Aggregator).clientDisconnected,
	ProbeEnded:         (*Aggregator).probeEnded,

	OverridesChanged: (*Aggregator).overridesChanged,
}

// outcomeTable classifies outcomes: whether the call was surely not executed, and what its end says of the backend.
var outcomeTable = [...]struct{ notExecuted, fault, unreachable, slow, full bool }{
	Answered:     {},
	Errored:      {fault: true},
	Rejected:     {notExecuted: true, full: true},
	TimedOut:     {slow: true},
	NotConnected: {notExecuted: true, unreachable: true},
	Broken:       {fault: true}, // no evidence of a restart: connections break without one
	Canceled:     {slow: true},
	NotSent:      {notExecuted: true},
}

// Step handles all events of one time, in their order, and appends the resulting actions to actions. now is in seconds of
// the caller's clock and never falls between two calls.
func (a *Aggregator) Step(now float64, events []Event, actions []Action) []Action {
	a.now, a.actions, a.step = now, actions, a.step+1
	due := a.step == 1
	for i := range events {
		e := &events[i]
		due = due || e.Kind == TimerDue
		if handle := eventTable[e.Kind]; handle != nil {
			handle(a, e)
		}
	}
	a.sendPending()
	if due { // after sending: what is still pending could not be sent
		a.sweep()
		a.sendPending()
	}
	return a.actions
}

func (a *Aggregator) listChanged(e *Event) {
	if e.List == ListFailed {
		// With jitter: aggregators that lost the list together must not request it together.
		a.listBackoff = min(backoffMax, max(backoffFirst, 2*a.listBackoff))
		a.listPollAt = a.now + a.listBackoff*(0.5+a.random.unit())
		return
	}
	a.listBackoff = 0
	a.removeBackends(e.List != ListPatch)
	for i := range e.Entries {
		entry := &e.Entries[i]
		b, isNew := a.applyEntry(entry)
		if entry.StartedAt > 0 && entry.StartedAt > b.started {
			if !isNew {
				a.crashShare.add(1, a.now, faultMemory*a.longestSoft)
			}
			a.resetEstimates(b)
			a.recordStart(b, entry.StartedAt)
		}
	}
	for _, sub := range a.pendingSubqueries() {
		if sub.state == statePending && (sub.assigned == nil || !sub.assigned.ready) {
			a.bind(sub)
		}
	}
}

// overridesChanged applies a change of operators' overrides. Subqueries pending for a backend that they may no longer use
// are bound anew; calls in flight go on. A backend that is no longer excluded starts with the initial window, as what was
// known of it is out of date.
func (a *Aggregator) overridesChanged(e *Event) {
	for _, b := range a.applyOverrides(e.Override) {
		b.window = min(b.window, windowStart)
		if len(b.calls) == 0 {
			b.unansweredSince = 0
		}
	}
	for _, sub := range a.pendingSubqueries() {
		if sub.state == statePending && (sub.assigned == nil || !a.mayServe(sub, sub.assigned)) {
			a.bind(sub)
		}
	}
}
