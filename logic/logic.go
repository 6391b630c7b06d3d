// The decisions of one mixer. New starts an instance from its settings; Step takes the clock and all that
// happened since the last call, in order, and appends what to do. Between two calls nothing moves: no I/O, no
// clock, no goroutine, nothing shared. The interface stands in types.go, what is remembered in state.go. The
// ordinary path is SWAG; docs/design.md says when each exception to it acts.
package logic

import (
	"cmp"
	"math"
	"slices"
)

// Tuned values, all of them. What a setting states is taken from the settings instead.
const (
	windowStart  = 4.0   // design: calls that one searcher may have of ours
	windowNarrow = 0.8   // narrowing at a slow answer: gentle, as one slow part may just be a pause
	windowMost   = 0.5   // narrowing at one that is far too slow, and widening of a window below one
	windowLeast  = 0.3   // of a call: a part that has to wait for more is better turned away
	usualStep    = 0.015 // how fast the usual latency follows the median, which sick ones cannot move; hints too
	usualMost    = 0.17  // of the shortest soft deadline
	smoothing    = 0.2   // weight of a new latency: about the last ten answers count
	forgetAfter  = 4.0   // soft deadlines in which an estimate not renewed goes back to the average
	longMemory   = 16.0  // soft deadlines in which faults fade, and doubt in idle lines
	crossCost    = 8.0   // what a price of 1 for crossing locations adds to a replica's cost
	crossIdle    = 40.0  // and adds, in usual latencies: counts among idle replicas, fades with load
	crossFault   = 20.0  // of that, times fault cost and share squared: no crossing saved is worth a fault
	deepFrom     = 0.25  // of a usual latency: a probe that takes longer has waited
	lookFrom     = 0.15  // share of calls that fail or crawl from which a mixer looks before it sends
	lookMemory   = 2.0   // soft deadlines over which that share is counted
	lookLeast    = 10.0  // calls that weigh as much as what is taken for granted without them
	lookFresh    = 0.25  // for so long a sign of life serves
	scoutFrom    = 0.005 // share of calls that end with their searcher from which a lookup sends a part ahead
	lookCost     = 4.0   // what a searcher counts that has given none, or where the part's last call failed
	idleLeast    = 0.2   // pauses of a line that are looked at
	idleDoubt    = 1.0   // calls lost after such pauses, before lines are thought to die
	idleTrust    = 0.05  // of a lost call, made good by one that was answered after a pause
	idleShare    = 0.8   // of the pause after which a call was lost: from there lines are closed before use
	sweepTimer   = TimerID(1)

	faultMost, faultPrior    = 4.0, 1.0    // calls that weigh in a searcher's share of faults; its location's
	crossMost, crossSeen     = 0.45, 6.0   // idle crossing at most, and by mixer: many see little of home
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

var faultCost = [...]float64{Idempotent: 6, Fingerprinted: 6, OnceOnly: 30} // a once-only fault ends a lookup

// Filled at init, as effects lead back to the tables. An input that a state does not list changes nothing.
var partTable, lookupTable = []rule[*part]{}, []rule[*lookup]{}

func init() {
	partTable = []rule[*part]{
		{held | out, releases, out, (*Mixer).send}, // out already: a second copy
		{held | out, tooLate, lost, (*Mixer).lose},
		{held, closed, over, (*Mixer).unhold},
		{out, answered, in, (*Mixer).count},
		{out, again, held, (*Mixer).bind},
		{out, closed, over, (*Mixer).takeBack},
	}
	lookupTable = []rule[*lookup]{
		{first, whole | short, last, (*Mixer).answerFirst},
		{last, whole | short, done, (*Mixer).answer},
		{first | last, giveUp, done, (*Mixer).decline},
		{first | last, left, done, (*Mixer).forget},
	}
}

// eventTable says who takes an event; the timer's turn comes after all others.
var eventTable = [OverridesChanged + 1]func(*Mixer, *Event){
	ListChanged: (*Mixer).listed,
	LookupTaken: (*Mixer).take,
	PartTaken:   (*Mixer).takePart,
	CallEnded:   (*Mixer).callEnded,
	ClientGone:  (*Mixer).clientGone,
	ProbeEnded:  (*Mixer).probed,

	OverridesChanged: (*Mixer).overridden,
}

// outcomeTable sorts outcomes by what they prove of the part and say of the searcher.
var outcomeTable = [...]struct{ never, fault, away, slow, full bool }{
	Answered:     {},
	Errored:      {fault: true},
	TurnedAway:   {never: true, full: true},
	TimedOut:     {slow: true},
	NotConnected: {never: true, away: true},
	Broken:       {fault: true}, // no sign of a new process: lines break without that
	Withdrawn:    {slow: true},
	NotSent:      {never: true},
}

// New starts an instance.
func New(set Settings, now float64) *Mixer {
	m := blank(set, now)
	for _, x := range set.Indexes {
		m.enter(&x, faultCost[x.Effect])
	}
	return m
}

// Step handles all that happened at one time and releases what may go.
func (m *Mixer) Step(now float64, events []Event, actions []Action) []Action {
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

func (m *Mixer) listed(e *Event) {
	if e.List == ListFailed {
		// Wait by chance: mixers that lost the list together must not ask together.
		m.listWait = min(waitMost, max(waitFirst, 2*m.listWait))
		m.listAt = m.now + m.listWait*(0.5+m.chance.unit())
		return
	}
	m.listWait = 0
	m.unname(e.List != ListPatch)
	for i := range e.Entries {
		r := &e.Entries[i]
		s, fresh := m.entered(r)
		if fresh {
			s.window = windowStart
		}
		if r.StartedAt > 0 && r.StartedAt > s.started {
			if !fresh {
				m.fallen.add(1, m.now, longMemory*m.longSoft)
			}
			m.renew(s)
			m.starts(s, r.StartedAt)
		}
	}
	for _, p := range m.heldParts() {
		if p.state == held && (p.at == nil || !p.at.ready) {
			m.bind(p)
		}
	}
}

// overridden takes what operators override. What is held where it may no longer go is bound anew; calls out
// end well. One that comes back after it was out starts as a new one would: what was known of it is old.
func (m *Mixer) overridden(e *Event) {
	for _, s := range m.noted(e.Override) {
		s.window = min(s.window, windowStart)
		if len(s.out) == 0 {
			s.quietFrom = 0
		}
	}
	for _, p := range m.heldParts() {
		if p.state == held && (p.at == nil || !m.may(p, p.at)) {
			m.bind(p)
		}
	}
}

// may tells whether a part may go to a replica. A lookup's zones stand over drains, those over out, out over
// a pin, a pin over a weight. What a pin's searcher can't serve is left to siblings, or to nobody.
func (m *Mixer) may(p *part, s *searcher) bool {
	pin := m.pin(p)
	if out := s.scope(p.lk.k).out || !p.lk.within(s); out || pin == nil {
		return !out
	}
	at := p.pinTo
	switch dead := at == nil || at.gone || m.now < at.downUntil; {
	case s == at:
		return !pin.Strict || !dead
	case at != nil && !at.gone && (!at.ready || at.scope(p.lk.k).out || !p.lk.within(at)):
		return true
	default:
		return !pin.Strict && (dead || !usable(at) || !m.coldAllows(p, at))
	}
}

// kept is what divides the cost of s for a part that does not bind as usual: a weight counts there by itself.
func (m *Mixer) kept(p *part, s *searcher) float64 {
	if p.made == 0 {
		return 1
	}
	return s.scope(p.lk.k).weight
}

// thin binds a part that a weight may keep from a holder: it is bound as if nothing were weighed, and a share
// of what binds to the weighed one, by lot, then goes elsewhere. As long as a call takes, that counts as out
// there and not where it went: else the weighed one looks idle, its siblings busy, and more binds to it.
func (m *Mixer) thin(p *part) *searcher {
	m.asUsual = p.made == 0 && slices.ContainsFunc(m.holdersOf(p), (*searcher).weighed)
	s := m.choose(p, nil, false)
	usual := m.asUsual
	m.asUsual = false
	if s == nil || !usual {
		return s
	}
	if _, lot := math.Modf(p.lot + s.lot); lot < s.scope(p.lk.k).weight {
		return s
	}
	alt := m.choose(p, s, false)
	if alt == nil || !usable(alt) || !m.coldAllows(p, alt) {
		return s
	}
	until := m.now + m.latency(s, p.lk.k)
	if step := m.set.Step; step > 0 { // its end would be heard at a step
		until = m.now + step*math.Ceil(m.latency(s, p.lk.k)/step)
	}
	s.spared, alt.lent = append(s.spared, until), append(alt.lent, until)
	return alt
}

// renew forgets what was learned of a process that is no more.
func (m *Mixer) renew(s *searcher) {
	s.latency, s.window, s.downUntil, s.downWait, s.dead = 0, windowStart, 0, 0, false
	clear(s.fault)
}

// margin is how long before a deadline an answer must be on its way: a sweep may come a step late.
func (m *Mixer) margin() float64 { return max(sweepEvery, m.set.Step) + 2*m.set.Step }

func (m *Mixer) sweep() {
	m.do(Action{Kind: SetTimer, Timer: sweepTimer, Wait: max(sweepEvery, m.set.Step)})
	if m.now >= m.listAt {
		m.listAt = math.Inf(1)
		m.do(Action{Kind: Subscribe, On: true})
	}
	for _, s := range m.fleet {
		m.listen(s)
	}
	for _, lk := range slices.Clone(m.open) {
		m.watch(lk)
	}
}

// listen guards against a searcher that answers nothing, dead, cut off, stuck: out of reach until it answers
// a probe, asked at once, and apart: a line may have died. Under overload the average says how long to wait.
func (m *Mixer) listen(s *searcher) {
	if !s.ready || s.shut || m.now < s.downUntil {
		return
	}
	patience := max(silentFrom*max(m.usual, m.average), silentLeast*m.longSoft)
	silent := s.quietFrom > 0 && m.now-s.quietFrom > patience
	if silent && s.downWait == 0 && (len(s.out) > 1 || s.unheard) {
		m.away(s)
	}
	if silent || s.downWait > 0 {
		m.ask(s, true)
	}
}

// ask: probes at a searcher are few, one by each mixer in a while, or they crowd each other out.
func (m *Mixer) ask(s *searcher, apart bool) {
	if m.set.Limits.Probe && !s.probing && m.now-s.askedAt >= lookFresh {
		s.probing, s.askedAt = true, m.now
		s.asked(m.now)
		m.do(Action{Kind: Probe, Searcher: s.id, Apart: apart})
	}
}

// looks tells whether a mixer must see a sign of life before it sends: where it calls a searcher every few
// seconds, its own evidence comes too late against searchers that fail by turns or hide a long queue.
func (m *Mixer) looks() bool {
	return m.set.Limits.Probe && m.ill.mean(0, lookLeast, m.now, lookMemory*m.longSoft) > lookFrom
}

// falling tells whether searchers fall so often that a lookup may be what brings them down.
func (m *Mixer) falling() bool {
	return m.fallen.mean(0, lookLeast, m.now, longMemory*m.longSoft) > scoutFrom
}

// scouts tells whether a lookup sends one part ahead. Of one that brings searchers down every part does.
func (m *Mixer) scouts(lk *lookup) bool { return !lk.proven && (lk.broken > 0 || m.falling()) }

func (m *Mixer) fresh(s *searcher) bool { return m.now-s.alive < lookFresh }

// look asks the two likeliest holders of a held part, and tells whether to wait for the first that answers.
func (m *Mixer) look(p *part) (wait bool) {
	heard := func(s *searcher) bool { return usable(s) && m.fresh(s) && m.may(p, s) }
	if slices.ContainsFunc(m.holdersOf(p), heard) {
		return false
	}
	one := m.choose(p, nil, false)
	for _, s := range []*searcher{one, m.choose(p, one, false)} {
		if s != nil && usable(s) {
			m.ask(s, false)
			wait = wait || s.probing
		}
	}
	return wait
}

func (m *Mixer) take(e *Event) {
	lk, x := m.opened(e), &m.index[e.Index]
	lk.over = m.overspends(e.Customer, burstS)
	// Against counting the soft deadline from a retry: a client's last try gives all that is left, be it more or
	// less than its first ones gave, which are most.
	if x.tried(e.Left, tryApart*x.hard, tryMost); math.Abs(e.Left-x.first) > tryApart*x.hard {
		lk.soft -= max(0, x.hard-e.Left)
	}
}

func (m *Mixer) takePart(e *Event) {
	lk := m.lookups[e.No]
	if lk == nil {
		return
	}
	p := m.added(lk, e)
	if e.Hint > 0 {
		smooth(&m.meanHint, e.Hint, usualStep)
		smooth(&m.index[lk.k].work, e.Hint, usualStep)
		p.size = (1 + e.Hint/m.meanHint) / 2 // half of a latency is the wait for others' parts
	}
	m.bind(p)
	if len(lk.parts) == lk.expect {
		slices.SortStableFunc(lk.parts, func(a, b *part) int { return cmp.Compare(b.size, a.size) })
		m.thinOut(lk)
		if m.turnAway(lk) {
			m.lookup(lk, giveUp)
		}
	}
}

// turnAway tells whether a lookup just taken could not be answered in time, by the slowest part that its
// least answer needs. What is worth less, by its index or past its customer's share, must come out earlier.
func (m *Mixer) turnAway(lk *lookup) bool {
	x, est, crowded := &m.index[lk.k], 0.0, m.recently() > usualUpTo*m.usual
	ends := make([]float64, 0, len(lk.parts))
	for _, p := range lk.parts {
		if s := p.at; s != nil {
			ahead := float64(s.heldUnits - m.units(lk, s))
			crowded = crowded || ahead > 0 || s.window < 1
			ends = append(ends, m.latency(s, lk.k)*(1+ahead/s.window)+max(0, s.downUntil-m.now))
		}
	}
	if len(ends) > 0 {
		slices.Sort(ends)
		est = ends[min(len(ends)-1, int(x.floor*float64(len(ends))))]
	}
	est += lowGain * (1 - x.gain/m.topGain) * x.soft
	if lk.over {
		est += overShare * x.soft
	}
	return m.average > 0 && (m.now+est > lk.deadline || crowded && m.now+est > m.due(lk))
}

// thinOut drops, where it is crowded, parts that a lookup may do without and that give least for their work.
func (m *Mixer) thinOut(lk *lookup) {
	most := (lk.need - m.index[lk.k].floor) * crowdDrop
	if m.recently() <= crowdFrom*m.usual {
		return
	}
	parts := slices.Clone(lk.parts)
	slices.SortStableFunc(parts, func(a, b *part) int { return cmp.Compare(a.weight/a.size, b.weight/b.size) })
	for _, p := range parts {
		if most -= p.weight; most < 0 {
			return
		}
		m.part(p, tooLate)
	}
}

// recently is the latency heard of late from any searcher.
func (m *Mixer) recently() float64 { return m.recent.mean(m.usual, lookLeast, m.now, m.shortSoft) }

// due is the soft deadline of the step in hand: a second one that is to come needs time too.
func (m *Mixer) due(lk *lookup) float64 {
	if lk.state != first {
		return lk.soft
	}
	return lk.soft - secondFor*max(m.average, m.recently())
}

// watch looks after what time alone does to a lookup.
func (m *Mixer) watch(lk *lookup) {
	x, due := &m.index[lk.k], m.due(lk)
	enough := lk.in >= x.floor-sumSlack
	switch {
	case m.now >= lk.deadline-m.margin() && !enough:
		m.lookup(lk, giveUp)
	case m.now >= lk.deadline-m.margin(), enough && m.now >= due-m.margin() && x.short*lk.in > x.late:
		m.lookup(lk, short)
	}
	inTime := func(s *searcher) bool { return usable(s) && m.now+m.latency(s, lk.k) <= due }
	waiting := lk.weigh(func(p *part) bool { return p.state == held })
	for _, p := range lk.parts {
		switch p.state {
		case out:
			m.overdue(p)
		case held:
			// One that misses the soft deadline takes more from others than the little gain that is left.
			if waiting > x.late && m.average > 0 && p.at != nil && !slices.ContainsFunc(m.holdersOf(p), inTime) {
				m.part(p, tooLate)
			}
		}
	}
}

// overdue takes back a call that a sibling would long have answered, against searchers that crawl or lose it.
func (m *Mixer) overdue(p *part) {
	if len(p.live) != 1 || p.live[0].back || !m.mayAgain(p) {
		return
	}
	c, s := p.live[0], m.choose(p, p.live[0].at, true)
	age, patience := m.now-c.sent, overdueFrom*max(m.average, m.latency(s, p.lk.k))*p.size
	if !m.deep && (p.lk.in < nearIn*p.lk.need || m.recently() > crowdFrom*m.usual) { // the last few cost little
		patience *= shallowMore
	}
	switch {
	case s == nil || age < patience && usable(c.at):
		return
	case m.set.Limits.Probe && !m.fresh(s): // where the sibling's queue is as long, one more only adds to both
		m.ask(s, false)
		return
	case m.deep && c.at.alive > c.sent && c.at.answeredAt < c.sent: // it waits no longer than a probe
		m.lineLost(c)
	}
	if m.set.Limits.SecondCopy {
		p.at = s
		m.part(p, releases)
	} else if m.set.Limits.Cancel {
		m.owe(p, true)
		m.withdraw(c)
	}
}

// lineLost guards against lines that die idle: calls on them never end or break at once. They tell which
// pause is too long; a line idle for that long is closed before use. Calls lost on other lines clear it.
func (m *Mixer) lineLost(c *call) {
	if c.idle < idleLeast {
		m.doubt.shift(-1, m.now, longMemory*m.longSoft)
		return
	}
	if m.doubt.shift(1, m.now, longMemory*m.longSoft) <= idleDoubt {
		m.idle = math.Inf(1)
	}
	m.idle = min(m.idle, idleShare*c.idle)
}

func (m *Mixer) count(p *part) {
	p.lk.in += p.weight
	m.takeBack(p)
	m.settle(p.lk)
}

func (m *Mixer) lose(p *part) {
	m.owe(p, false)
	m.unhold(p)
	p.lk.lost += p.weight
	m.settle(p.lk)
}

// settle ends a lookup as soon as what is in, or lost, decides it.
func (m *Mixer) settle(lk *lookup) {
	lk.pending--
	switch {
	case len(lk.parts) < lk.expect:
	case lk.in >= lk.need-sumSlack:
		m.lookup(lk, whole)
	case 1-lk.lost < m.index[lk.k].floor-sumSlack:
		m.lookup(lk, giveUp)
	case lk.pending == 0:
		m.lookup(lk, short)
	}
}

func (m *Mixer) answerFirst(lk *lookup) {
	m.do(Action{Kind: Answer, Lookup: lk.id, Whole: !lk.short})
	m.nextStep(lk, m.index[lk.k].second)
}

func (m *Mixer) answer(lk *lookup) {
	m.do(Action{Kind: Answer, Lookup: lk.id, Whole: !lk.short})
	m.forget(lk)
}

// decline ends a lookup without an answer: by a nack wherever trying again is surely harmless.
func (m *Mixer) decline(lk *lookup) {
	a := Action{Kind: Nack, Lookup: lk.id}
	if m.index[lk.k].effect != Idempotent && (lk.stepped || slices.ContainsFunc(lk.parts, (*part).maybe)) {
		a.Kind = Abort
	} else if m.set.Limits.RetryAfter {
		a.Wait = min(m.set.Limits.MaxRetryAfter, 2*m.latency(nil, lk.k)) // also while nobody was heard
	}
	m.do(a)
	m.forget(lk)
}

// latency is a replica's smoothed latency for a part of mean size. An estimate not renewed goes back to the
// average, so that a bad moment does not silence a replica for good.
func (m *Mixer) latency(s *searcher, k IndexID) float64 {
	l := cmp.Or(m.average, m.index[k].soft)
	if s != nil { // what others found there counts so many averages, but takes no searcher out of use
		l = max(l, min(l*m.hearsay(s), m.index[k].hard/2))
	}
	if s != nil && s.latency > 0 {
		l += fading{s.latency - l, s.heardAt}.now(m.now, forgetAfter*m.longSoft)
	}
	return l
}

// cost is what binding goes by: latency x (1 + own calls out and held), raised where the searcher fails the
// index (a fast failure must not look like a short queue), is cold, or stands in another location.
func (m *Mixer) cost(p *part, s *searcher) float64 {
	lk, units := p.lk, s.units+s.heldUnits
	if m.asUsual {
		units = max(0, units+s.spared.due(m.now)-s.lent.due(m.now))
	}
	if (p.at != s || p.state != held) && lk.heldAt(s)%m.set.Layout.CallParts == 0 {
		units++
	}
	c := m.latency(s, lk.k) * float64(max(1, units)) / m.warmth(s)
	f := m.faulty(s, lk.k)
	c += m.index[lk.k].fault * f * (c + f*crossFault*m.set.Prices.CrossLocation*m.usual)
	if s.location != m.set.Location {
		price := m.set.Prices.CrossLocation
		c = c*(1+crossCost*price) + min(crossIdle*price, crossMost+crossSeen/float64(m.set.Mixers))*m.usual
	}
	return c
}

// rank is that cost, raised for those that may not or should not be used. A silent one is better than none:
// the last holder is never shunned altogether.
func (m *Mixer) rank(p *part, s *searcher) float64 {
	switch c := m.cost(p, s); {
	case !usable(s) || !m.coldAllows(p, s):
		return 1e6 * (1 + s.downWait)
	case m.looks() && !m.fresh(s), s == p.avoid:
		return c * lookCost / m.kept(p, s)
	default:
		return c / m.kept(p, s)
	}
}

// faulty is the share of s's calls of an index that were faults: while s is little known, that of all at its
// location, as those of one location may fail by turns; its own calls outweigh that as they come in.
func (m *Mixer) faulty(s *searcher, k IndexID) float64 {
	pool := s.pool[k].mean(0, lookLeast, m.now, forgetAfter*m.longSoft)
	return s.fault[k].mean(pool, faultPrior, m.now, longMemory*m.longSoft)
}

func (m *Mixer) blame(s *searcher, k IndexID, fault float64) {
	s.pool[k].add(fault, m.now, forgetAfter*m.longSoft)
	s.fault[k].keep(faultMost)
	s.fault[k].add(fault, m.now, longMemory*m.longSoft)
}

// choose finds the replica that ranks least but one; with room, among those under their window. Mixers that
// start alike must not all pick alike: near ties fall by chance.
func (m *Mixer) choose(p *part, not *searcher, withRoom bool) (best *searcher) {
	least := math.Inf(1)
	for _, s := range m.holdersOf(p) {
		if s == not || !s.ready || !m.may(p, s) || withRoom && !m.room(p, s) {
			continue
		}
		if c := m.rank(p, s) * (1 + 0.01*m.chance.unit()); c < least {
			best, least = s, c
		}
	}
	return best
}

// room: a searcher out of reach gets one call at a time, after each pause.
func (m *Mixer) room(p *part, s *searcher) bool {
	if !usable(s) && (s.probing || m.now < s.downUntil || s.units > 0) {
		return false
	}
	paced := s.units == 0 && m.now-s.usedAt >= s.latency*(1/s.window-1) // below one call
	return (m.riding(s) || float64(s.units) < math.Floor(s.window) || paced) && m.coldAllows(p, s)
}

func (m *Mixer) bind(p *part) {
	m.dirty = true
	m.hold(p, m.thin(p))
	barred := func(s *searcher) bool { return !m.may(p, s) } // nobody may have it: it is given up at once
	if p.at == nil && (p.made > 0 || slices.ContainsFunc(m.holdersOf(p), barred)) {
		m.part(p, tooLate)
	}
}

// reorder is SWAG's order: the held lookup of least makespan first, its calls then added to the queues.
func (m *Mixer) reorder() {
	m.dirty, m.order = false, m.order[:0]
	for _, s := range m.fleet {
		s.queue = float64(s.units)
	}
	rest := m.sized()
	for len(rest) > 0 {
		best, least := 0, math.Inf(1)
		for i, lk := range rest {
			span := 0.0
			for _, t := range lk.held {
				if t.n > 0 {
					span = max(span, (t.at.queue+float64(m.units(lk, t.at)))*m.latency(t.at, lk.k))
				}
			}
			if span < least || span == least && lk.size < rest[best].size {
				best, least = i, span
			}
		}
		lk := rest[best]
		for _, t := range lk.held {
			t.at.queue += float64(m.units(lk, t.at))
		}
		m.order = append(m.order, lk)
		rest = slices.Delete(rest, best, best+1)
	}
}

func (m *Mixer) releaseAll() {
	m.average = m.meanLatency(func(s *searcher) bool { return usable(s) && !s.shut })
	if m.dirty {
		m.reorder()
	}
	for _, lk := range m.order {
		scouts, parts := m.scouts(lk), lk.parts
		if len(parts) < lk.expect || scouts && lk.calling() {
			continue
		}
		// While parts that it needs have no holder in reach, work on the others is likely for nothing.
		blocked := lk.lost+lk.weigh(m.blocked) > 1-m.index[lk.k].floor+sumSlack
		for i, p := range parts {
			if scouts {
				p = parts[len(parts)-1-i] // the least first
			}
			if p.state == held && (!blocked || m.blocked(p)) {
				m.tryRelease(p)
			}
			if scouts && p.state == out {
				break
			}
		}
	}
}

func (m *Mixer) blocked(p *part) bool {
	reach := func(s *searcher) bool { return usable(s) && m.may(p, s) }
	return p.state == held && !slices.ContainsFunc(m.holdersOf(p), reach)
}

func (m *Mixer) late(p *part, s *searcher) bool { return p.lk.deadline-m.now < m.latency(s, p.lk.k) }

func (m *Mixer) tryRelease(p *part) {
	if p.at != nil && !m.may(p, p.at) { // the pinned one serves again, or no longer
		m.bind(p)
	}
	if p.state != held {
		return
	}
	s, looks := p.at, m.looks()
	if looks && m.look(p) {
		return
	}
	sound := s != nil && usable(s) && !m.late(p, s)
	if !sound || !m.room(p, s) || looks && !m.fresh(s) {
		alt := m.choose(p, s, sound)
		if alt != nil && !m.late(p, alt) && (!sound && usable(alt) || sound && (!m.coldAllows(p, s) ||
			m.cost(p, alt) < m.cost(p, s)*alt.scope(p.lk.k).weight || looks && m.fresh(alt) && !m.fresh(s))) {
			m.hold(p, alt)
			s = alt
		}
	}
	switch {
	case s == nil || !m.late(p, s) && !m.room(p, s):
	case m.late(p, s) || p.made > 0 && !m.mayAgain(p):
		m.part(p, tooLate)
	default:
		m.part(p, releases)
	}
}

func (m *Mixer) send(p *part) {
	s := p.at
	if len(p.live) == 0 {
		m.tally(p.lk, s, -1)
	}
	p.at = nil
	idle := m.now - s.usedAt
	if len(s.out) == 0 && idle > m.idle && m.doubt.now(m.now, longMemory*m.longSoft) > idleDoubt {
		m.do(Action{Kind: CloseIdle, Searcher: s.id})
		idle = 0
	}
	a := Action{Kind: Send, Part: p.id, Searcher: s.id, StopAt: m.stop(p.lk)}
	if m.index[p.lk.k].effect == Fingerprinted && p.maybe() {
		a.BeginBy = p.first + m.index[p.lk.k].repeat // also where it waits for a line until then
	}
	m.begin(p, s).idle = idle
	if m.warmth(s) < 1 {
		s.sent = append(s.sent, sending{m.now, m.workOf(p.lk.k)})
	}
	m.do(a)
}

// stop is when a call of a lookup is no longer worth its work: what waits beyond that need not be begun.
func (m *Mixer) stop(lk *lookup) float64 {
	if x := &m.index[lk.k]; x.floor < x.need && x.short > x.late || x.late == 0 {
		return min(lk.deadline, lk.soft)
	}
	return lk.deadline
}

// mayAgain tells whether a further call of p is allowed by its index, its tries and the budget.
func (m *Mixer) mayAgain(p *part) bool {
	x, r := &m.index[p.lk.k], &m.set.Rules
	switch {
	case m.set.Limits.MaxTries > 0 && p.made >= m.set.Limits.MaxTries,
		x.effect == OnceOnly && p.maybe(),
		x.effect == Fingerprinted && p.maybe() && m.now > p.first+x.repeat-m.set.Step:
		return false
	}
	further, taken := m.spent(p, m.now-r.BudgetS)
	return !r.Budget || float64(further) <= r.BudgetFree+r.BudgetPer*float64(taken)
}

func (m *Mixer) callEnded(e *Event) {
	c := m.finish(e.Part, e.Call)
	if c == nil {
		return
	}
	p := c.part
	m.leave(c.at, c.trip)
	p.ran = p.ran || !outcomeTable[e.Outcome].never
	m.learn(c, e)
	lk := p.lk
	lk.proven = lk.proven || e.Outcome == Answered
	if e.Outcome == Broken && (m.falling() || !m.idled(c, e)) {
		lk.broken++
	}
	switch {
	case e.Outcome == Answered:
		m.part(p, answered)
	case (lk.broken > 1 || lk.broken > 0 && m.falling()) && !lk.proven && !lk.calling():
		m.lookup(lk, giveUp)
	case p.state != out || len(p.live) > 0:
	case m.mayAgain(p):
		p.avoid = c.at
		m.part(p, again)
	default:
		m.part(p, tooLate)
	}
}

// learn takes an outcome into the searcher's figures. Failures say nothing of latency: fast ones would make
// a searcher that fails look quick and draw parts.
func (m *Mixer) learn(c *call, e *Event) {
	s, k, what := c.at, c.part.lk.k, outcomeTable[e.Outcome]
	sample := e.Elapsed / c.part.size
	if m.idled(c, e) {
		m.lineLost(c) // it tells nothing of the searcher
		return
	}
	stuck := what.slow && s.answeredAt < c.sent // whatever a probe was told: it may not have waited
	failed := what.fault || what.away || stuck && c.part.state == out
	if failed {
		m.blame(s, k, 1)
	}
	m.fallen.add(share(e.Outcome == Broken || what.away), m.now, longMemory*m.longSoft)
	m.ill.add(share(failed || m.usual > 0 && sample > slowFrom*m.usual), m.now, lookMemory*m.longSoft)
	switch {
	case e.Outcome == Answered:
		s.answeredAt, s.usedAt = m.now, m.now
		s.lives(m.now)
		m.blame(s, k, 0)
		if c.idle >= idleLeast {
			m.doubt.shift(-idleTrust, m.now, longMemory*m.longSoft)
		}
		m.heard(s, sample)
		m.recent.add(sample, m.now, m.shortSoft)
	case stuck && sample > m.latency(s, k):
		m.heard(s, sample)
	case what.full: // and not to be asked again at once
		s.latency, s.heardAt = max(m.latency(s, k), fullFrom*m.usual), m.now
		m.narrow(s, min(windowMost, windowMost/s.window))
	case what.away:
		s.dead = true
		m.away(s)
	}
}

// idled tells whether a call broke with a line that had died idle, and not with its searcher.
func (m *Mixer) idled(c *call, e *Event) bool {
	return e.Outcome == Broken && c.idle >= idleLeast && e.Elapsed < deepFrom*m.usual
}

// heard smooths the latency and moves the window against the median seen anywhere, which one searcher cannot
// move. It stays well under the soft deadlines: else overload becomes usual, and searchers' queues take all.
func (m *Mixer) heard(s *searcher, sample float64) {
	m.usual = cmp.Or(m.usual, min(sample, usualMost*m.shortSoft))
	smooth(&s.latency, sample, smoothing)
	s.heardAt = m.now
	switch {
	case sample <= usualUpTo*m.usual && float64(s.units)+1 >= math.Floor(s.window):
		s.window += min(1/s.window, windowMost*s.window)
	case sample > slowFrom*m.usual && m.now-s.narrowedAt > sample:
		m.narrow(s, min(windowNarrow, max(windowMost, slowFrom*m.usual/sample)))
		s.narrowedAt = m.now
	}
	if sample > m.usual {
		m.usual = min(m.usual*(1+usualStep), usualMost*m.shortSoft)
	} else {
		m.usual *= 1 - usualStep
	}
}

// narrow goes below one call, as many mixers with a window of one each still make a long queue.
func (m *Mixer) narrow(s *searcher, by float64) { s.window = max(windowLeast, s.window*by) }

func (m *Mixer) away(s *searcher) {
	if m.now >= s.downUntil {
		s.downWait = min(waitMost, max(waitFirst, 2*s.downWait))
		s.downUntil = m.now + s.downWait
	}
}

// probed: heard again after a failed connect or probe, it may be a new process that no list told of yet. One
// that turns probes away lives, but how long a call would wait is not told.
func (m *Mixer) probed(e *Event) {
	s := m.searchers[e.Searcher]
	if s == nil {
		return
	}
	s.probing = false
	switch {
	case e.Outcome == Answered:
		m.deep = m.deep || e.Elapsed > deepFrom*m.usual
		if s.downWait > waitGone && s.dead {
			m.renew(s)
			m.starts(s, m.now)
		}
		s.lives(m.now)
	case e.Outcome != TurnedAway:
		s.unheard, s.dead = true, s.dead || e.Outcome == NotConnected
		if s.dead || s.downWait > 0 {
			m.away(s)
		}
	}
}

func (m *Mixer) warmth(s *searcher) float64 {
	r := &m.set.Rules
	if age := m.now - s.started; age < r.ColdS {
		return max(0.05, r.ColdShare+(1-r.ColdShare)*max(0, age)/r.ColdS)
	}
	return 1
}

// coldAllows keeps what this mixer sends a cold searcher under its share of what the fall rule surely allows,
// its capacity, which is not told, taken as one unit of work a second. Where the share is less than a part, a
// part from each at once would push it over: all thin what they would send by one chance, rising as it warms.
func (m *Mixer) coldAllows(p *part, s *searcher) bool {
	r, work := &m.set.Rules, m.workOf(p.lk.k)
	if m.now-s.started >= r.ColdS || r.FallMultiple <= 0 {
		return true
	}
	sum, most := s.sentSince(m.now-r.FallS), coldMargin*r.FallMultiple*m.warmth(s)
	if share := most * r.FallS / float64(m.set.Mixers); work <= share {
		return sum+work <= share
	}
	_, lot := math.Modf(p.lot + s.lot)
	return sum == 0 && lot < most/coldLoad
}
