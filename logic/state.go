package logic

import (
	"cmp"
	"math"
	"slices"
)

// What an instance remembers, grouped by how long it lives, and the counting that keeps it whole. Nothing here
// decides anything: every rule and every tuned value stands in logic.go.

// state and input are those of the two tables of logic.go; a part and a lookup have states of their own.
type state uint16

const (
	held state = 1 << iota
	out
	in
	lost
	over
	first // a lookup with a second step to come
	last
	done
)

type input uint16

const (
	releases input = 1 << iota
	tooLate
	answered
	again
	closed
	whole
	short
	giveUp
	left
)

// indexRow is what differs by index.
type indexRow struct {
	soft, hard, gain, late float64 // deadlines, gain, and its share after the soft one
	need, floor, short     float64
	effect                 Effect
	fault                  float64 // what a fault of a searcher adds to its cost
	repeat                 float64
	second                 int
	first, votes           float64 // the time that most tries give, and how many more than others
	work                   float64 // mean hint of a part
}

// rule is a row of a table: in one of these states, on one of these inputs, go to the next state and do this.
type rule[T any] struct {
	state state
	on    input
	next  state
	do    func(*Mixer, T)
}

func act[T any](m *Mixer, table []rule[T], it T, at *state, on input) {
	for i := range table {
		if r := &table[i]; r.state&*at != 0 && r.on&on != 0 {
			*at = r.next
			r.do(m, it)
			return
		}
	}
}

func (m *Mixer) part(p *part, on input) { act(m, partTable, p, &p.state, on) }

func (m *Mixer) lookup(lk *lookup, on input) {
	lk.short = lk.short || on == short
	act(m, lookupTable, lk, &lk.state, on)
}

// pcg is a permuted congruential generator (XSH RR 64/32).
type pcg uint64

func (g *pcg) unit() float64 {
	old := uint64(*g)
	*g = pcg(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(x>>r|x<<(-r&31)) / (1 << 32)
}

// call lives as long as one part call.
type call struct {
	part *part
	no   CallNo
	at   *searcher
	sent float64
	trip *trip
	back bool    // taken back already
	idle float64 // how long nothing had gone to or come from its searcher
}

// trip is what travels to one searcher in one step; where parts share calls it is what is counted.
type trip struct{ step, parts, live int }

// part lives until its lookup is answered, or longer while a call of it is out.
type part struct {
	id     PartID
	lk     *lookup
	shard  ShardID
	weight float64
	size   float64
	state  state
	at     *searcher // where it is bound
	avoid  *searcher // where its last call came to nothing
	live   []*call
	made   int
	first  float64 // time of the first call
	ran    bool    // some call of it may have run
	owed   bool    // a further call is promised to it
	lot    float64
	pin    *PinOverride // where operators pin it, as of so many changes of pins and lists
	pinTo  *searcher    // that one; nil where nobody has its number
	pinsAt int
}

// maybe tells whether some call of p may have run or may yet.
func (p *part) maybe() bool { return p.ran || len(p.live) > 0 }

type lookup struct {
	id       LookupID
	no       LookupNo
	k        IndexID
	state    state
	over     bool // past its customer's share
	short    bool // an answer of it was not whole
	stepped  bool // its first step is answered
	soft     float64
	deadline float64
	expect   int
	need     float64 // weight that makes this step whole
	parts    []*part
	in, lost float64 // weights
	broken   int     // calls of it that ended with their searcher
	proven   bool    // some part was answered
	pending  int     // parts neither in nor lost
	held     []tally
	size     float64
	zones    *Zones // where its parts may go
}

type tally struct {
	at *searcher
	n  int
}

// searcher lives as long as the list names it, and on, as its calls do; the next change to the list ends it.
type searcher struct {
	id         SearcherID
	location   LocationID
	ready      bool
	gone       bool    // the list no longer names it
	started    float64 // last start, as told or suspected; far past if never
	latency    float64 // smoothed; 0 while unheard
	heardAt    float64 // its last change
	answeredAt float64
	alive      float64 // last answer to a call or a probe
	quietFrom  float64 // when it was first asked or called since; 0 if it was not
	askedAt    float64 // last probe
	unheard    bool    // a probe has failed since
	usedAt     float64
	window     float64
	narrowedAt float64
	units      int // own calls out
	heldUnits  int
	queue      float64 // scratch of the order
	out        []*call
	trip       *trip
	fault      []gauge // by index
	pool       []gauge // the same of all at its location
	downUntil  float64
	downWait   float64
	probing    bool
	dead       bool      // a connect has failed since it was last heard
	sent       []sending // while cold
	lot        float64   // with that of a part, decides whether it may go there while cold, or weighed
	scopes     []scope   // by index, what operators override; nil where they do not
	shut       bool      // out of every index
	moved      bool      // the list has named another location under its number
	told       fading    // times the usual latency that others found here, until at
	spared     times     // until when each call that a weight kept away would have been out here
	lent       times     // and where it is out instead
}

// scope is what operators override of a searcher for one index.
type scope struct {
	out    bool
	weight float64
}

// pinned is where a shard of an index is pinned to.
type pinned struct {
	shard ShardID
	k     IndexID
}

// fading is a figure that fades with time.
type fading struct{ value, at float64 }

func (f fading) now(now, over float64) float64 { return f.value * faded(f.at, now, over) }

// shift moves it, not below 0, and tells what it was.
func (f *fading) shift(by, now, over float64) (was float64) {
	was = f.now(now, over)
	*f = fading{max(0, was+by), now}
	return was
}

// faded is what is left of a figure by now.
func faded(at, now, over float64) float64 { return math.Exp((at - now) / over) }

func share(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// gauge is a mean of samples that fade with time.
type gauge struct{ sum, n, at float64 }

func (g *gauge) add(sample, now, over float64) {
	f := faded(g.at, now, over)
	*g = gauge{g.sum*f + sample, g.n*f + 1, now}
}

// keep lets no more than so many samples weigh, so that new ones count.
func (g *gauge) keep(most float64) {
	if g.n > most {
		*g = gauge{g.sum * most / g.n, most, g.at}
	}
}

// mean takes a prior for as much as weight samples.
func (g gauge) mean(prior, weight, now, over float64) float64 {
	f := faded(g.at, now, over)
	return (g.sum*f + weight*prior) / (g.n*f + weight)
}

type sending struct{ at, work float64 }

// customer and what follows live as long as the instance.
type customer struct{ tokens, at float64 }

// Mixer is one instance.
type Mixer struct {
	set       Settings
	index     []indexRow
	customers []customer
	now       float64
	step      int
	chance    pcg
	todo      []Action
	searchers map[SearcherID]*searcher
	fleet     []*searcher   // in the order of first naming, so that nothing hangs on a map's
	holders   [][]*searcher // by cell at which a shard begins
	lookups   map[LookupNo]*lookup
	numbers   map[LookupID]LookupNo
	parts     map[PartID]*part
	open      []*lookup // in order of arrival
	order     []*lookup
	dirty     bool
	average   float64 // latency of heard searchers; 0 while none is
	usual     float64
	meanHint  float64
	longSoft  float64
	shortSoft float64
	topGain   float64
	pool      map[LocationID][]gauge // share of faults by index
	fallen    gauge                  // share of calls that ended with their searcher
	ill       gauge                  // share of calls that fail or crawl
	recent    gauge                  // latency of late, over all searchers
	deep      bool                   // probes wait in the searchers' queues
	doubt     fading                 // calls lost after a pause, less those answered
	idle      float64                // a line idle for longer may be dead
	taken     []float64              // times of what the budget counts as taken
	further   []float64              // and as further calls
	owed      int
	pins      map[pinned]*PinOverride
	pinsAt    int  // counts their changes
	asUsual   bool // costs are those without weights
	listWait  float64
	listAt    float64 // when to ask next
}

func blank(set Settings, now float64) *Mixer {
	set.Mixers, set.Layout.CallParts = max(1, set.Mixers), max(1, set.Layout.CallParts)
	set.Layout.Cells, set.Layout.Width = max(1, set.Layout.Cells), max(1, set.Layout.Width)
	listAt := math.Inf(1)
	if set.AskList {
		listAt = now
	}
	return &Mixer{
		listAt: listAt, set: set, now: now, chance: pcg(set.Seed), shortSoft: math.Inf(1), idle: math.Inf(1),
		pool: map[LocationID][]gauge{}, searchers: map[SearcherID]*searcher{}, holders: make([][]*searcher, set.Layout.Cells),
		lookups: map[LookupNo]*lookup{}, numbers: map[LookupID]LookupNo{}, parts: map[PartID]*part{},
		customers: make([]customer, len(set.Customers)), pins: map[pinned]*PinOverride{},
	}
}

// noted takes a patch of overrides, and lists the searchers that come back into use by it.
func (m *Mixer) noted(o *Overrides) (back []*searcher) {
	if len(o.Pins) > 0 {
		m.pinsAt++
	}
	for _, p := range o.Pins {
		if p.Searcher == 0 {
			delete(m.pins, pinned{p.Shard, p.Index})
		} else {
			m.pins[pinned{p.Shard, p.Index}] = &p
		}
	}
	for _, z := range o.Zones {
		if lk := m.lookups[m.numbers[z.Lookup]]; lk != nil && lk.id == z.Lookup {
			lk.zones = z.Zones
		}
	}
	for _, j := range o.Judged {
		if s := m.searchers[j.Searcher]; s != nil {
			s.told = fading{j.Times, j.Until}
		}
	}
	for _, w := range o.Searchers {
		s := m.searchers[w.Searcher]
		if s == nil || int(w.Index) >= len(m.index) {
			continue
		}
		if s.scopes == nil {
			s.scopes = slices.Repeat([]scope{{weight: 1}}, len(m.index))
		}
		s.scopes[w.Index] = scope{w.Out, w.Weight}
		was := s.shut
		s.shut = !slices.ContainsFunc(s.scopes, func(x scope) bool { return !x.out })
		if !slices.ContainsFunc(s.scopes, func(x scope) bool { return x != scope{weight: 1} }) {
			s.scopes = nil
		}
		if was && !s.shut {
			back = append(back, s)
		}
	}
	return back
}

// times are ends, about in their order.
type times []float64

// due counts those to come.
func (t *times) due(now float64) int {
	for len(*t) > 0 && (*t)[0] <= now {
		*t = (*t)[1:]
	}
	return len(*t)
}

// weighed tells whether some weight is on s.
func (s *searcher) weighed() bool { return s.scopes != nil }

// scope tells what operators override of s for an index.
func (s *searcher) scope(k IndexID) scope {
	if s.scopes == nil {
		return scope{weight: 1}
	}
	return s.scopes[k]
}

// within tells whether a searcher stands where a lookup may go. One that changed its location under its number may
// stand anywhere.
func (lk *lookup) within(s *searcher) bool {
	return lk.zones == nil || !s.moved && lk.zones.Allows(s.location)
}

// hearsay is how many times the usual latency others found at s, 0 if none did of late.
func (m *Mixer) hearsay(s *searcher) float64 {
	if m.now >= s.told.at {
		return 0
	}
	return s.told.value
}

// pin tells where operators pin p, nil if they do not or it is among those that a waning pin leaves. It is looked up
// once between two changes of pins or of the list.
func (m *Mixer) pin(p *part) *PinOverride {
	if p.pinsAt != m.pinsAt {
		p.pinsAt, p.pin = m.pinsAt, nil
		if pin := m.pins[pinned{p.shard, p.lk.k}]; pin != nil && p.lot < pin.Share {
			p.pin, p.pinTo = pin, m.searchers[pin.Searcher]
		}
	}
	return p.pin
}

// enter adds a row to the table of indexes.
func (m *Mixer) enter(x *IndexSettings, fault float64) {
	need := cmp.Or(x.Need, 1)
	m.index = append(m.index, indexRow{soft: x.Soft, hard: x.Hard, gain: x.Gain, late: x.LateGain, need: need,
		short: x.ShortGain, floor: min(need, cmp.Or(x.Floor, need)), effect: x.Effect, fault: fault, repeat: x.RepeatS,
		second: x.SecondStep})
	m.topGain = max(m.topGain, x.Gain)
	m.longSoft, m.shortSoft = max(m.longSoft, x.Soft), min(m.shortSoft, x.Soft)
}

func (m *Mixer) do(a Action) { m.todo = append(m.todo, a) }

// opened enters a lookup that was taken; added enters a part of it.
func (m *Mixer) opened(e *Event) *lookup {
	x := &m.index[e.Index]
	m.books(&m.taken)
	lk := &lookup{id: e.Lookup, no: e.No, k: e.Index, expect: e.Parts, deadline: m.now + e.Left,
		soft: m.now + x.soft, need: x.need, state: last, zones: e.Zones}
	if x.second > 0 {
		lk.state = first
	}
	m.lookups[e.No], m.numbers[e.Lookup] = lk, e.No
	m.open = append(m.open, lk)
	return lk
}

// tried is a vote of the tries on the time that most of them give, as far apart and with as many votes at most.
func (x *indexRow) tried(left, apart, most float64) {
	switch {
	case math.Abs(left-x.first) <= apart:
		x.votes = min(x.votes+1, most)
	case x.votes > 0:
		x.votes--
	default:
		x.first, x.votes = left, 1
	}
}

func (m *Mixer) added(lk *lookup, e *Event) *part {
	m.books(&m.taken)
	p := &part{id: e.Part, lk: lk, shard: e.Shard, weight: e.Weight, size: 1, lot: m.chance.unit(), state: held}
	lk.parts = append(lk.parts, p)
	lk.pending++
	m.parts[p.id] = p
	return p
}

func (m *Mixer) heldParts() (list []*part) {
	for _, lk := range m.open {
		for _, p := range lk.parts {
			if p.state == held {
				list = append(list, p)
			}
		}
	}
	return list
}

// weigh sums the weights of lk's parts that are so.
func (lk *lookup) weigh(so func(*part) bool) (weight float64) {
	for _, p := range lk.parts {
		if so(p) {
			weight += p.weight
		}
	}
	return weight
}

// sized lists the open lookups with the sizes of what they hold.
func (m *Mixer) sized() []*lookup {
	for _, lk := range m.open {
		lk.size = 0
		for _, t := range lk.held {
			lk.size += float64(m.units(lk, t.at))
		}
	}
	return slices.Clone(m.open)
}

// starts notes a start of s, which empties the books of what it was sent while cold.
func (m *Mixer) starts(s *searcher, at float64) {
	s.started, s.sent, s.lot = max(s.started, at), s.sent[:0], m.chance.unit()
}

// sentSince sums the work sent since a time.
func (s *searcher) sentSince(from float64) (work float64) {
	for _, w := range s.sent {
		if w.at > from {
			work += w.work
		}
	}
	return work
}

// overspends takes one token of a customer's bucket, which fills at this mixer's part of its quota, up to so
// many seconds of it; it tells whether there was none.
func (m *Mixer) overspends(id CustomerID, seconds float64) bool {
	if int(id) >= len(m.customers) {
		return false
	}
	c, rate := &m.customers[id], m.set.Customers[id].QuotaPerS/float64(m.set.Mixers)
	c.tokens, c.at = min(max(1, rate*seconds), c.tokens+(m.now-c.at)*rate), m.now
	if c.tokens < 1 {
		return true
	}
	c.tokens--
	return false
}

// unname takes all searchers as gone, before a whole list names those that are not. Those that were gone before
// and that nothing refers to any more are forgotten.
func (m *Mixer) unname(all bool) {
	m.pinsAt++
	forgotten := func(s *searcher) bool { return s.gone && len(s.out) == 0 && s.heldUnits == 0 }
	for _, s := range m.fleet {
		if forgotten(s) {
			delete(m.searchers, s.id)
		}
	}
	m.fleet = slices.DeleteFunc(m.fleet, forgotten)
	for c := range m.holders {
		m.holders[c] = slices.DeleteFunc(m.holders[c], forgotten)
	}
	for _, s := range m.fleet {
		s.ready, s.gone = s.ready && !all, s.gone || all
	}
}

// entered notes what the list says of a searcher, and whether it says so for the first time.
func (m *Mixer) entered(r *Entry) (s *searcher, fresh bool) {
	if s = m.searchers[r.Searcher]; s == nil {
		s, fresh = m.place(r), true
	}
	s.ready, s.gone, s.moved = r.Phase == Ready, r.Phase == Gone, s.moved || s.location != r.Location
	return s, fresh
}

// usable: ready, and in reach as far as is known.
func usable(s *searcher) bool { return s.ready && s.downWait == 0 }

func (s *searcher) asked(now float64) {
	if s.quietFrom == 0 {
		s.quietFrom = now
	}
}

// lives notes a sign of life.
func (s *searcher) lives(now float64) {
	s.alive, s.quietFrom, s.unheard, s.dead, s.downWait, s.downUntil = now, 0, false, false, 0, 0
}

func (m *Mixer) place(r *Entry) *searcher {
	if m.pool[r.Location] == nil {
		m.pool[r.Location] = make([]gauge, len(m.index))
	}
	s := &searcher{id: r.Searcher, location: r.Location, started: math.Inf(-1), fault: make([]gauge, len(m.index)),
		pool: m.pool[r.Location]}
	m.searchers[s.id] = s
	m.fleet = append(m.fleet, s)
	cells := m.set.Layout.Cells
	for j := range m.set.Layout.Width {
		c := ((int(r.Cell)-j)%cells + cells) % cells
		m.holders[c] = append(m.holders[c], s)
	}
	return s
}

// meanLatency is that of the searchers heard that count, or else what it last was.
func (m *Mixer) meanLatency(counts func(*searcher) bool) float64 {
	sum, n := 0.0, 0.0
	for _, s := range m.fleet {
		if s.latency > 0 && counts(s) {
			sum, n = sum+s.latency, n+1
		}
	}
	if n == 0 {
		return m.average
	}
	return sum / n
}

func (m *Mixer) holdersOf(p *part) []*searcher { return m.holders[int(p.shard)%len(m.holders)] }

// calling tells whether a call of a part is out.
func (lk *lookup) calling() bool {
	return slices.ContainsFunc(lk.parts, func(p *part) bool { return len(p.live) > 0 })
}

func (lk *lookup) heldAt(s *searcher) int {
	for _, t := range lk.held {
		if t.at == s {
			return t.n
		}
	}
	return 0
}

// units counts lk's held parts at s as the calls they will share.
func (m *Mixer) units(lk *lookup, s *searcher) int {
	per := m.set.Layout.CallParts
	return (lk.heldAt(s) + per - 1) / per
}

func (m *Mixer) tally(lk *lookup, s *searcher, n int) {
	s.heldUnits -= m.units(lk, s)
	i := slices.IndexFunc(lk.held, func(t tally) bool { return t.at == s })
	if i < 0 {
		i = len(lk.held)
		lk.held = append(lk.held, tally{at: s})
	}
	lk.held[i].n += n
	s.heldUnits += m.units(lk, s)
}

func (m *Mixer) hold(p *part, s *searcher) {
	m.unhold(p)
	if p.at = s; s != nil {
		m.tally(p.lk, s, 1)
	}
}

func (m *Mixer) unhold(p *part) {
	if p.at != nil {
		m.tally(p.lk, p.at, -1)
	}
	p.at = nil
}

// books notes the time of what the budget counts, where there is one.
func (m *Mixer) books(times *[]float64) {
	if !m.set.Rules.Budget {
		return
	}
	if len(*times) == cap(*times) { // spent drops them too, but only where something goes wrong
		*times = since(*times, m.now-m.set.Rules.BudgetS-m.set.Step)
	}
	*times = append(*times, m.now)
}

// begin books a call of p to s, on the trip of this step if that has a place.
func (m *Mixer) begin(p *part, s *searcher) *call {
	if !m.riding(s) {
		s.trip = &trip{step: m.step}
		s.units++
	}
	s.trip.parts++
	s.trip.live++
	if p.made == 0 {
		p.first = m.now
	} else {
		m.books(&m.further)
		m.owe(p, false)
	}
	s.usedAt = m.now
	s.asked(m.now)
	c := &call{part: p, no: CallNo(p.made), at: s, sent: m.now, trip: s.trip}
	p.made++
	p.live = append(p.live, c)
	s.out = append(s.out, c)
	return c
}

func (m *Mixer) riding(s *searcher) bool {
	return s.trip != nil && s.trip.step == m.step && s.trip.parts < m.set.Layout.CallParts
}

// finish takes a call off the books; nil if it is not on them.
func (m *Mixer) finish(id PartID, no CallNo) *call {
	p := m.parts[id]
	if p == nil {
		return nil
	}
	i := slices.IndexFunc(p.live, func(c *call) bool { return c.no == no })
	if i < 0 {
		return nil
	}
	c := p.live[i]
	p.live = slices.Delete(p.live, i, i+1)
	c.at.out = slices.DeleteFunc(c.at.out, func(o *call) bool { return o == c })
	m.release(p)
	return c
}

// workOf is the work that a part of an index brings a searcher, its call included.
func (m *Mixer) workOf(k IndexID) float64 { return m.index[k].work + m.set.Layout.CallCost }

// leave takes one call off a trip.
func (m *Mixer) leave(s *searcher, t *trip) {
	if t.live--; t.live == 0 {
		s.units--
	}
}

// release lets go of a part that nothing can refer to any more.
func (m *Mixer) release(p *part) {
	if p.state == over && len(p.live) == 0 {
		delete(m.parts, p.id)
	}
}

func (m *Mixer) owe(p *part, owed bool) {
	if owed != p.owed {
		p.owed = owed
		if owed {
			m.owed++
		} else {
			m.owed--
		}
	}
}

// dropParts closes all parts of a step.
func (m *Mixer) dropParts(lk *lookup) {
	for _, p := range lk.parts {
		m.part(p, closed)
		m.owe(p, false)
		p.state = over
		m.release(p)
	}
	lk.parts, lk.held, m.dirty = nil, nil, true
}

// nextStep begins the second step, of which all makes it whole; parts of the first have run.
func (m *Mixer) nextStep(lk *lookup, most int) {
	n := 0
	for _, p := range lk.parts {
		if p.state == in {
			n++
		}
	}
	m.dropParts(lk)
	lk.stepped = true
	lk.need, lk.expect, lk.in, lk.lost, lk.pending = 1, min(n, most), 0, 0, 0
}

func (m *Mixer) forget(lk *lookup) {
	m.dropParts(lk)
	delete(m.lookups, lk.no)
	delete(m.numbers, lk.id)
	m.open = slices.DeleteFunc(m.open, func(o *lookup) bool { return o == lk })
}

// withdraw takes a call back once, where that is allowed.
func (m *Mixer) withdraw(c *call) {
	if m.set.Limits.Cancel && !c.back {
		c.back = true
		m.do(Action{Kind: Withdraw, Part: c.part.id, Call: c.no})
	}
}

// smooth moves a mean towards a sample; the first sample is the mean.
func smooth(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// spent counts the further calls made or promised since a time, one of p included, and what was taken; of what
// fell on the edge, the worse is supposed.
func (m *Mixer) spent(p *part, from float64) (further, taken int) {
	m.taken, m.further = since(m.taken, from+m.set.Step), since(m.further, from-m.set.Step)
	further = len(m.further) + m.owed
	if !p.owed {
		further++
	}
	return further, len(m.taken)
}

// since drops the times before from.
func since(times []float64, from float64) []float64 {
	i, _ := slices.BinarySearch(times, from)
	return slices.Delete(times, 0, i)
}

func (m *Mixer) takeBack(p *part) {
	for _, c := range p.live {
		m.withdraw(c)
	}
}

func (m *Mixer) clientGone(e *Event) {
	if lk := m.lookups[m.numbers[e.Lookup]]; lk != nil && lk.id == e.Lookup {
		m.lookup(lk, left)
	}
}
