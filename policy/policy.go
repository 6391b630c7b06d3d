package policy

// Tuned values, all of them. What a setting states is taken from the settings instead.
const (
	windowStart      = 4.0   // design: calls that one backend may have of ours
	windowShrink     = 0.8   // narrowing at a slow answer: gentle, as one slow part may just be a pause
	windowShrinkMax  = 0.5   // narrowing at one that is far too slow, and widening of a window below one
	windowMin        = 0.3   // of a call: a part that has to wait for more is better turned away
	usualStep        = 0.015 // how fast the usual latency follows the median, which sick ones cannot move; hints too
	usualMax         = 0.17  // of the shortest soft deadline
	smoothing        = 0.2   // weight of a new latency: about the last ten answers count
	estimateMemory   = 4.0   // soft deadlines in which an estimate not renewed goes back to the average
	faultMemory      = 16.0  // soft deadlines in which faults fade, and doubt in idle connections
	crossCost        = 8.0   // what a price of 1 for crossing locations adds to a replica's cost
	crossIdle        = 40.0  // and adds, in usual latencies: counts among idle replicas, fades with load
	crossFault       = 20.0  // of that, times fault cost and share squared: no crossing saved is worth a fault
	probeQueuedFrom  = 0.25  // of a usual latency: a probe that takes longer has waited
	probeFirstFrom   = 0.15  // share of calls that fail or crawl from which an aggregator looks before it sends
	unhealthyMemory  = 2.0   // soft deadlines over which that share is counted
	priorSamples     = 10.0  // calls that weigh as much as what is taken for granted without them
	aliveFor         = 0.25  // for so long a sign of life serves
	canaryFrom       = 0.005 // share of calls that end with their backend from which a query sends a part ahead
	unprobedCost     = 4.0   // what a backend counts that has given none, or where the part's last call failed
	idleMin          = 0.2   // pauses of a connection that are looked at
	idleLossesFrom   = 1.0   // calls lost after such pauses, before connections are thought to die
	idleAnswerCredit = 0.05  // of a lost call, made good by one that was answered after a pause
	idleShare        = 0.8   // of the pause after which a call was lost: from there they are closed before use
	sweepTimer       = TimerID(1)

	faultMost, faultPrior             = 4.0, 1.0    // calls that weigh in a backend's share of faults; its location's
	crossMost, crossSeen              = 0.45, 6.0   // idle crossing at most, and by aggregator: many see little of home
	slowStartMargin, slowStartLoad    = 0.8, 1.5    // of the fall rule; meant for a cold one, its sibling being lost
	overloadFrom, overloadDrop        = 1.6, 0.5    // of the usual, lately; of the weight not needed, dropped then
	usualUpTo, slowFrom               = 2.0, 2.5    // times usual: an answer within widens, one beyond narrows and is ill
	hedgeFrom, hedgeSlack             = 4.0, 2.0    // of a sibling: out longer is taken back; more where probes tell less
	nearlyComplete, rejectedLatencies = 0.75, 8.0   // of what is needed: copies come early; of usual, a full queue
	silenceLatencies, silenceMin      = 4.0, 0.25   // usual latencies, and of a soft deadline, without answer: silent
	sweepEvery, burstS                = 0.02, 2.0   // pause; seconds of its share that a customer may run ahead
	backoffFirst, backoffMax          = 0.25, 2.0   // pause after a failed connect or ask for the list, doubled up to
	restartFrom                       = 0.5         // of those: beyond, what is heard again may be a new process
	secondStepLatencies, sumSlack     = 2.5, 5e-5   // latencies that a second step takes; weights are rounded
	lowValue, overShare               = 0.35, 0.5   // of a soft deadline: how much earlier least gain goes; over share
	timeoutTolerance, timeoutVotesMax = 0.02, 100.0 // of a hard deadline: tries alike; votes for the time that most give
)

var faultCost = [...]float64{Idempotent: 6, Fingerprinted: 6, OnceOnly: 30} // a once-only fault ends a query

// Filled at init, as effects lead back to the tables. An input that a state does not list changes nothing.
var subqueryTable, queryTable = []rule[*subquery]{}, []rule[*query]{}

func init() {
	subqueryTable = []rule[*subquery]{
		{statePending | stateInFlight, onSend, stateInFlight, (*Aggregator).send}, // out already: a second copy
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

// eventTable says who takes an event; the timer's turn comes after all others.
var eventTable = [OverridesChanged + 1]func(*Aggregator, *Event){
	ListChanged:        (*Aggregator).listChanged,
	QueryReceived:      (*Aggregator).receiveQuery,
	SubqueryReceived:   (*Aggregator).receiveSubquery,
	CallEnded:          (*Aggregator).callEnded,
	ClientDisconnected: (*Aggregator).clientDisconnected,
	ProbeEnded:         (*Aggregator).probeEnded,

	OverridesChanged: (*Aggregator).overridesChanged,
}

// outcomeTable sorts outcomes by what they prove of the part and say of the backend.
var outcomeTable = [...]struct{ never, fault, away, slow, full bool }{
	Answered:     {},
	Errored:      {fault: true},
	Rejected:     {never: true, full: true},
	TimedOut:     {slow: true},
	NotConnected: {never: true, away: true},
	Broken:       {fault: true}, // no sign of a new process: connections break without that
	Canceled:     {slow: true},
	NotSent:      {never: true},
}

// Step handles all that happened at one time and releases what may go.
func (m *Aggregator) Step(now float64, events []Event, actions []Action) []Action {
	m.now, m.actions, m.step = now, actions, m.step+1
	due := m.step == 1
	for i := range events {
		e := &events[i]
		due = due || e.Kind == TimerDue
		if handle := eventTable[e.Kind]; handle != nil {
			handle(m, e)
		}
	}
	m.sendPending()
	if due { // after the release: what is still held then could not go
		m.sweep()
		m.sendPending()
	}
	return m.actions
}

func (m *Aggregator) listChanged(e *Event) {
	if e.List == ListFailed {
		// Wait by chance: aggregators that lost the list together must not ask together.
		m.listBackoff = min(backoffMax, max(backoffFirst, 2*m.listBackoff))
		m.listPollAt = m.now + m.listBackoff*(0.5+m.random.unit())
		return
	}
	m.listBackoff = 0
	m.removeBackends(e.List != ListPatch)
	for i := range e.Entries {
		r := &e.Entries[i]
		s, fresh := m.applyEntry(r)
		if r.StartedAt > 0 && r.StartedAt > s.started {
			if !fresh {
				m.crashShare.add(1, m.now, faultMemory*m.longestSoft)
			}
			m.resetEstimates(s)
			m.recordStart(s, r.StartedAt)
		}
	}
	for _, p := range m.pendingSubqueries() {
		if p.state == statePending && (p.assigned == nil || !p.assigned.ready) {
			m.bind(p)
		}
	}
}

// overridesChanged takes what operators override. What is held where it may no longer go is bound anew; calls out
// end well. One that comes back after it was out starts as a new one would: what was known of it is old.
func (m *Aggregator) overridesChanged(e *Event) {
	for _, s := range m.applyOverrides(e.Override) {
		s.window = min(s.window, windowStart)
		if len(s.calls) == 0 {
			s.unansweredSince = 0
		}
	}
	for _, p := range m.pendingSubqueries() {
		if p.state == statePending && (p.assigned == nil || !m.mayServe(p, p.assigned)) {
			m.bind(p)
		}
	}
}
