package policy

// Tuned values, all of them. What a setting states is taken from the settings instead.
const (
	windowStart  = 4.0   // design: calls that one backend may have of ours
	windowNarrow = 0.8   // narrowing at a slow answer: gentle, as one slow part may just be a pause
	windowMost   = 0.5   // narrowing at one that is far too slow, and widening of a window below one
	windowLeast  = 0.3   // of a call: a part that has to wait for more is better turned away
	usualStep    = 0.015 // how fast the usual latency follows the median, which sick ones cannot move; hints too
	usualMost    = 0.17  // of the shortest soft deadline
	smoothing    = 0.2   // weight of a new latency: about the last ten answers count
	forgetAfter  = 4.0   // soft deadlines in which an estimate not renewed goes back to the average
	longMemory   = 16.0  // soft deadlines in which faults fade, and doubt in idle connections
	crossCost    = 8.0   // what a price of 1 for crossing locations adds to a replica's cost
	crossIdle    = 40.0  // and adds, in usual latencies: counts among idle replicas, fades with load
	crossFault   = 20.0  // of that, times fault cost and share squared: no crossing saved is worth a fault
	deepFrom     = 0.25  // of a usual latency: a probe that takes longer has waited
	lookFrom     = 0.15  // share of calls that fail or crawl from which an aggregator looks before it sends
	lookMemory   = 2.0   // soft deadlines over which that share is counted
	lookLeast    = 10.0  // calls that weigh as much as what is taken for granted without them
	lookFresh    = 0.25  // for so long a sign of life serves
	scoutFrom    = 0.005 // share of calls that end with their backend from which a query sends a part ahead
	lookCost     = 4.0   // what a backend counts that has given none, or where the part's last call failed
	idleLeast    = 0.2   // pauses of a connection that are looked at
	idleDoubt    = 1.0   // calls lost after such pauses, before connections are thought to die
	idleTrust    = 0.05  // of a lost call, made good by one that was answered after a pause
	idleShare    = 0.8   // of the pause after which a call was lost: from there they are closed before use
	sweepTimer   = TimerID(1)

	faultMost, faultPrior    = 4.0, 1.0    // calls that weigh in a backend's share of faults; its location's
	crossMost, crossSeen     = 0.45, 6.0   // idle crossing at most, and by aggregator: many see little of home
	coldMargin, coldLoad     = 0.8, 1.5    // of the fall rule; meant for a cold one, its sibling being lost
	crowdFrom, crowdDrop     = 1.6, 0.5    // of the usual, lately; of the weight not needed, dropped then
	usualUpTo, slowFrom      = 2.0, 2.5    // times usual: an answer within widens, one beyond narrows and is ill
	overdueFrom, shallowMore = 4.0, 2.0    // of a sibling: out longer is taken back; more where probes tell less
	nearIn, fullFrom         = 0.75, 8.0   // of what is needed: copies come early; of usual, a full queue
	silentFrom, silentLeast  = 4.0, 0.25   // usual latencies, and of a soft deadline, without answer: silent
	sweepEvery, burstS       = 0.02, 2.0   // pause; seconds of its share that a customer may run ahead
	waitFirst, waitMost      = 0.25, 2.0   // pause after a failed connect or ask for the list, doubled up to
	waitGone                 = 0.5         // of those: beyond, what is heard again may be a new process
	secondFor, sumSlack      = 2.5, 5e-5   // latencies that a second step takes; weights are rounded
	lowGain, overShare       = 0.35, 0.5   // of a soft deadline: how much earlier least gain goes; over share
	tryApart, tryMost        = 0.02, 100.0 // of a hard deadline: tries alike; votes for the time that most give
)

var faultCost = [...]float64{Idempotent: 6, Fingerprinted: 6, OnceOnly: 30} // a once-only fault ends a query

// Filled at init, as effects lead back to the tables. An input that a state does not list changes nothing.
var subqueryTable, queryTable = []rule[*subquery]{}, []rule[*query]{}

func init() {
	subqueryTable = []rule[*subquery]{
		{held | out, releases, out, (*Aggregator).send}, // out already: a second copy
		{held | out, tooLate, lost, (*Aggregator).lose},
		{held, closed, over, (*Aggregator).unhold},
		{out, answered, in, (*Aggregator).count},
		{out, again, held, (*Aggregator).bind},
		{out, closed, over, (*Aggregator).takeBack},
	}
	queryTable = []rule[*query]{
		{first, whole | short, last, (*Aggregator).answer},
		{last, whole | short, done, (*Aggregator).answer},
		{first | last, giveUp, done, (*Aggregator).decline},
		{first | last, left, done, (*Aggregator).forget},
	}
}

// eventTable says who takes an event; the timer's turn comes after all others.
var eventTable = [OverridesChanged + 1]func(*Aggregator, *Event){
	ListChanged:   (*Aggregator).listed,
	QueryTaken:    (*Aggregator).take,
	SubqueryTaken: (*Aggregator).takeSubquery,
	CallEnded:     (*Aggregator).callEnded,
	ClientGone:    (*Aggregator).clientGone,
	ProbeEnded:    (*Aggregator).probed,

	OverridesChanged: (*Aggregator).overridden,
}

// outcomeTable sorts outcomes by what they prove of the part and say of the backend.
var outcomeTable = [...]struct{ never, fault, away, slow, full bool }{
	Answered:     {},
	Errored:      {fault: true},
	TurnedAway:   {never: true, full: true},
	TimedOut:     {slow: true},
	NotConnected: {never: true, away: true},
	Broken:       {fault: true}, // no sign of a new process: connections break without that
	Withdrawn:    {slow: true},
	NotSent:      {never: true},
}

// Step handles all that happened at one time and releases what may go.
func (m *Aggregator) Step(now float64, events []Event, actions []Action) []Action {
	m.now, m.todo, m.step = now, actions, m.step+1
	due := m.step == 1
	for i := range events {
		e := &events[i]
		due = due || e.Kind == TimerDue
		if handle := eventTable[e.Kind]; handle != nil {
			handle(m, e)
		}
	}
	m.releaseAll()
	if due { // after the release: what is still held then could not go
		m.sweep()
		m.releaseAll()
	}
	return m.todo
}

func (m *Aggregator) listed(e *Event) {
	if e.List == ListFailed {
		// Wait by chance: aggregators that lost the list together must not ask together.
		m.listWait = min(waitMost, max(waitFirst, 2*m.listWait))
		m.listAt = m.now + m.listWait*(0.5+m.chance.unit())
		return
	}
	m.listWait = 0
	m.unname(e.List != ListPatch)
	for i := range e.Entries {
		r := &e.Entries[i]
		s, fresh := m.entered(r)
		if r.StartedAt > 0 && r.StartedAt > s.started {
			if !fresh {
				m.fallen.add(1, m.now, longMemory*m.longSoft)
			}
			m.renew(s)
			m.starts(s, r.StartedAt)
		}
	}
	for _, p := range m.heldSubqueries() {
		if p.state == held && (p.at == nil || !p.at.ready) {
			m.bind(p)
		}
	}
}

// overridden takes what operators override. What is held where it may no longer go is bound anew; calls out
// end well. One that comes back after it was out starts as a new one would: what was known of it is old.
func (m *Aggregator) overridden(e *Event) {
	for _, s := range m.noted(e.Override) {
		s.window = min(s.window, windowStart)
		if len(s.out) == 0 {
			s.quietFrom = 0
		}
	}
	for _, p := range m.heldSubqueries() {
		if p.state == held && (p.at == nil || !m.may(p, p.at)) {
			m.bind(p)
		}
	}
}
