// Package mixer is the actor of the decision module: it alone calls Step. It owns the clock, the timers and the
// map of ids, and decides nothing.
package mixer

import (
	"container/heap"
	"math"
	"time"

	"github.com/rs/zerolog"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/logic"
)

// Lookup is one that a client asked for. Until its Done has an answer it is the mixer's.
type Lookup struct {
	ID       string // the client's; it is part of the names of part calls
	Index    logic.IndexID
	Customer logic.CustomerID
	Key      uint64
	HasKey   bool
	Resent   bool
	Arrived  time.Time
	Wait     float64 // how long from then the client waits
	Query    []byte  // what each part carries
	Parts    []Part
	Done     chan Reply // holds one

	id logic.LookupID
}

// Part is one of a lookup's; its Value is there once it is In.
type Part struct {
	Shard        logic.ShardID
	Weight, Hint float64
	Key          uint64
	HasKey       bool
	In           bool
	Value        []byte

	made logic.CallNo // part calls so far
}

// End is how a lookup ended for its client.
type End uint8

const (
	Satisfied End = iota
	Nacked
	Aborted
	Full // the most that may be held is held; the module never saw it
	Twice
)

// Reply is the final answer of a lookup.
type Reply struct {
	End   End
	Whole bool
	Wait  float64 // advice when to come back, 0 for none
	Text  string  // why a gate refused it
}

// Event is what an actor tells the module's: one of the module's own events with what it has no place for. A
// lookup comes as one event, which brings its parts.
type Event struct {
	logic.Event
	Taken     *Lookup  // LookupTaken, and ClientGone
	Value     []byte   // CallEnded
	Addresses []string // ListChanged: one for each entry
	Names     []Name   // the same
	Rules     *Rules   // OverridesChanged: what a gate goes by from here on
	Judged    []Judged // the same: what it makes of searchers
}

// Name is what the list calls a searcher and its location, where the module has numbers.
type Name struct{ Searcher, Location string }

// Call is one part call on its way to a searcher.
type Call struct {
	Part   logic.PartID
	No     logic.CallNo
	Lookup *Lookup // of which only what never changes may be read
	Shard  logic.ShardID
	Sent   time.Time
	Stop   time.Time // when to stop waiting
	Begin  time.Time // by when it has to be on its way, whatever held it up; after it, it is not begun
}

// Searchers takes what goes to searchers. None of its methods may block.
type Searchers interface {
	Named(entry logic.Entry, address string)
	Unnamed(keep map[logic.SearcherID]bool)
	Send(to logic.SearcherID, calls []Call)
	Withdraw(at logic.SearcherID, part logic.PartID, no logic.CallNo)
	Probe(at logic.SearcherID, apart bool)
	CloseIdle(at logic.SearcherID)
}

// Discovery takes what is asked of the list. None of its methods may block.
type Discovery interface {
	Subscribe(on bool)
	AskWhole()
}

type partRef struct {
	lookup *Lookup
	no     int
}

// outCall is a part call that is out.
type outCall struct {
	to    logic.SearcherID
	index logic.IndexID
	owner logic.CustomerID
	seat  *capture.Seat // nil where nothing is captured
	alone bool          // nothing else of ours was there when it went
}

type callKey struct {
	part logic.PartID
	no   logic.CallNo
}

// timer is one that the module set.
type timer struct {
	due time.Time
	id  logic.TimerID
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Mixer is the actor.
type Mixer struct {
	In *eventqueue.Queue[Event]

	set       settings.Settings
	log       zerolog.Logger
	count     *counters.Set
	searchers Searchers
	register  Discovery
	module    *logic.Mixer

	start    time.Time // with its monotonic reading
	unix     float64   // the same in Unix seconds
	stepped  time.Time // last step
	timers   timers
	due      map[logic.TimerID]time.Time // when timers of this step were due
	lastID   uint64
	lookups  map[logic.LookupID]*Lookup
	names    map[string]*Lookup // held, by the client's id
	parts    map[logic.PartID]partRef
	out      map[callKey]outCall
	gated    gated
	recorder *capture.Recorder // nil where nothing is captured
	captured func(capture.Interval)
	waiting  []Event
	events   []logic.Event
	actions  []logic.Action
	trips    map[logic.SearcherID][]Call // calls of this step that share one
	tripTo   []logic.SearcherID
	stopping chan struct{}
	stopped  chan struct{}
}

// New makes the actor; Run starts it.
func New(set settings.Settings, log zerolog.Logger, count *counters.Set) *Mixer {
	now := time.Now()
	m := &Mixer{In: eventqueue.New[Event](), set: set, log: log, count: count, start: now,
		unix: float64(now.UnixNano()) / 1e9, due: map[logic.TimerID]time.Time{},
		lookups: map[logic.LookupID]*Lookup{}, names: map[string]*Lookup{}, parts: map[logic.PartID]partRef{},
		out: map[callKey]outCall{}, trips: map[logic.SearcherID][]Call{},
		stopping: make(chan struct{}), stopped: make(chan struct{})}
	m.module = logic.New(set.Settings, m.unix)
	return m
}

// seconds is the module's clock: Unix time at the start and monotonic time since, so that it fits the starts of
// searchers and never jumps.
func (m *Mixer) seconds(t time.Time) float64 { return m.unix + t.Sub(m.start).Seconds() }

func (m *Mixer) clock(seconds float64) time.Time {
	return m.start.Add(time.Duration((seconds - m.unix) * float64(time.Second)))
}

// Capture lets a recorder count the load; each of its intervals goes to done, which may not block. It comes before Run.
func (m *Mixer) Capture(recorder *capture.Recorder, done func(capture.Interval)) {
	m.recorder, m.captured = recorder, done
}

// Run is the actor's goroutine, until Stop.
func (m *Mixer) Run(searchers Searchers, register Discovery) {
	defer close(m.stopped)
	m.searchers, m.register = searchers, register
	wake := time.NewTimer(time.Hour)
	for {
		m.step(time.Now())
		// Steps come no closer than the settings say, as on the bench.
		next := m.stepped.Add(time.Duration(m.set.Step * float64(time.Second)))
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
		case <-m.In.Ready():
		case <-wake.C:
		case <-m.stopping:
			return
		}
	}
}

// Stop ends the actor; what is held then gets no answer.
func (m *Mixer) Stop() {
	close(m.stopping)
	<-m.stopped
}

// step hands the module all that waits, and hands out what it says.
func (m *Mixer) step(now time.Time) {
	m.waiting = m.In.Take(m.waiting)
	m.events = m.events[:0]
	for i := range m.waiting {
		m.take(&m.waiting[i], now)
	}
	clear(m.due)
	for len(m.timers) > 0 && !m.timers[0].due.After(now) {
		t := heap.Pop(&m.timers).(timer)
		m.due[t.id] = t.due
		m.events = append(m.events, logic.Event{Kind: logic.TimerDue, Timer: t.id})
	}
	if len(m.events) == 0 {
		return
	}
	m.stepped = now
	m.actions = m.module.Step(m.seconds(now), m.events, m.actions[:0])
	for i := range m.actions {
		m.act(&m.actions[i], now)
	}
	for _, to := range m.tripTo {
		m.flush(to)
	}
	m.tripTo = m.tripTo[:0]
	if m.gated.rules != nil {
		m.holdRules()
	}
	if m.recorder != nil && m.recorder.Due(m.seconds(now)) {
		m.captured(m.recorder.Cut(m.seconds(now)))
	}
	clear(m.events)
	clear(m.actions)
}

// take turns what an actor told into the module's events, in the order of telling.
func (m *Mixer) take(e *Event, now time.Time) {
	switch e.Kind {
	case logic.LookupTaken:
		m.open(e.Taken, now)
		return
	case logic.ClientGone:
		if !m.holds(e.Taken) {
			return // answered while it left
		}
		e.Lookup = e.Taken.id
		m.close(e.Taken)
		m.ended(e.Taken, capture.Gone, now)
		m.count.Add("lookups", "gone", 1)
	case logic.CallEnded:
		key := callKey{e.Part, e.Call}
		c, out := m.out[key]
		delete(m.out, key)
		if out && m.recorder != nil {
			m.recorder.Called(m.seconds(now), c.seat, c.index, e.Outcome, e.Elapsed, c.alone, e.Load)
		}
		if out && m.gated.gate != nil {
			m.gated.gate.Called(now, m.gated.places[c.to].name, e.Outcome, e.Elapsed)
		}
		if ref, held := m.parts[e.Part]; held && e.Outcome == logic.Answered {
			if p := &ref.lookup.Parts[ref.no]; !p.In {
				p.In, p.Value = true, e.Value
			}
		}
	case logic.ListChanged:
		if e.List == logic.ListFailed {
			break
		}
		for i := range e.Entries {
			m.searchers.Named(e.Entries[i], e.Addresses[i])
			switch {
			case m.recorder == nil:
			case e.Entries[i].Phase == logic.Gone:
				m.recorder.Unnamed(e.Entries[i].Searcher)
			default:
				m.recorder.Named(e.Entries[i].Searcher, e.Names[i].Searcher, e.Names[i].Location)
			}
		}
		if e.List != logic.ListPatch {
			keep := make(map[logic.SearcherID]bool, len(e.Entries))
			for i := range e.Entries {
				keep[e.Entries[i].Searcher] = true
			}
			m.searchers.Unnamed(keep)
		}
		if m.gated.gate != nil {
			m.placed(e)
		}
	case logic.OverridesChanged:
		if e.Rules != nil || len(e.Judged) > 0 {
			m.agreed(e, now)
		}
	}
	m.events = append(m.events, e.Event)
}

// open takes a lookup in, its parts right behind it, unless the most that may be held is held.
func (m *Mixer) open(lk *Lookup, now time.Time) {
	switch {
	case m.set.Limits.MaxHeld > 0 && len(m.lookups)+len(m.parts) >= m.set.Limits.MaxHeld:
		m.count.Add("lookups", "full", 1)
		m.ended(lk, capture.Full, now)
		lk.Done <- Reply{End: Full}
		return
	case m.names[lk.ID] != nil: // its part calls could not be told from those of the other
		m.count.Add("lookups", "twice", 1)
		lk.Done <- Reply{End: Twice}
		return
	}
	var zones *logic.Zones
	if m.gated.gate != nil {
		var admitted bool
		if zones, admitted = m.admit(lk, now); !admitted {
			return
		}
	}
	m.count.Add("lookups", "taken", 1)
	m.count.Add("lookups", "held", 1)
	m.lastID++
	lk.id = logic.LookupID(m.lastID)
	m.lookups[lk.id], m.names[lk.ID] = lk, lk
	left := lk.Wait - now.Sub(lk.Arrived).Seconds()
	e := logic.Event{Kind: logic.LookupTaken, Lookup: lk.id, No: logic.LookupNo(lk.id), Index: lk.Index,
		Customer: lk.Customer, Key: lk.Key, HasKey: lk.HasKey, Left: left, Parts: len(lk.Parts), Resent: lk.Resent, Zones: zones}
	for i := range lk.Parts {
		e.Hint += lk.Parts[i].Hint
	}
	m.events = append(m.events, e)
	if m.recorder != nil {
		m.recorder.Taken(m.seconds(now), lk.Index, lk.Customer, lk.Resent, e.Hint, lk.shards)
	}
	e.Kind, e.Parts = logic.PartTaken, 0
	for i := range lk.Parts {
		p := &lk.Parts[i]
		m.lastID++
		e.Part, e.Shard, e.Weight, e.Hint, e.Key, e.HasKey = logic.PartID(m.lastID), p.Shard, p.Weight, p.Hint, p.Key, p.HasKey
		m.parts[e.Part] = partRef{lk, i}
		m.events = append(m.events, e)
	}
}

// shards yields the shard of each part.
func (lk *Lookup) shards(yield func(logic.ShardID) bool) {
	for i := range lk.Parts {
		if !yield(lk.Parts[i].Shard) {
			return
		}
	}
}

// ended tells the recorder of a lookup's end, where there is one.
func (m *Mixer) ended(lk *Lookup, how capture.End, now time.Time) {
	if m.recorder != nil {
		m.recorder.Ended(m.seconds(now), lk.Index, lk.Customer, how, now.Sub(lk.Arrived).Seconds())
	}
}

var captureEnds = [...]capture.End{Satisfied: capture.Answered, Nacked: capture.Nacked, Aborted: capture.Aborted}

// holds tells whether a lookup was taken and has no final answer yet.
func (m *Mixer) holds(lk *Lookup) bool { return m.lookups[lk.id] == lk }

// close lets go of a lookup that has its final answer, or no client.
func (m *Mixer) close(lk *Lookup) {
	m.count.Add("lookups", "held", -1)
	delete(m.lookups, lk.id)
	delete(m.names, lk.ID)
	for i := range lk.Parts {
		delete(m.parts, logic.PartID(uint64(lk.id)+1+uint64(i)))
	}
}

func (m *Mixer) finish(id logic.LookupID, reason string, reply Reply, now time.Time) {
	lk := m.lookups[id]
	if lk == nil {
		m.log.Warn().Uint64("lookup", uint64(id)).Str("end", reason).Msg("answer for a lookup that is not held")
		return
	}
	m.close(lk)
	m.count.Add("lookups", reason, 1)
	m.ended(lk, captureEnds[reply.End], now)
	lk.Done <- reply
}

func (m *Mixer) act(a *logic.Action, now time.Time) {
	switch a.Kind {
	case logic.Send:
		m.send(a, now)
	case logic.Withdraw:
		if c, out := m.out[callKey{a.Part, a.Call}]; out {
			m.flush(c.to)
			m.searchers.Withdraw(c.to, a.Part, a.Call)
		}
	case logic.Answer:
		m.finish(a.Lookup, "satisfied", Reply{End: Satisfied, Whole: a.Whole}, now)
	case logic.Nack:
		m.finish(a.Lookup, "nacked", Reply{End: Nacked, Wait: a.Wait}, now)
	case logic.Abort:
		m.finish(a.Lookup, "aborted", Reply{End: Aborted}, now)
	case logic.SetTimer:
		m.setTimer(a, now)
	case logic.Probe:
		m.flush(a.Searcher)
		m.count.Add("probes", "sent", 1)
		m.searchers.Probe(a.Searcher, a.Apart)
	case logic.CloseIdle:
		m.flush(a.Searcher)
		m.searchers.CloseIdle(a.Searcher)
	case logic.Subscribe:
		m.register.Subscribe(a.On)
	case logic.AskWhole:
		m.register.AskWhole()
	case logic.Tell:
		m.count.Add("messages", "no_way_to_mixers", 1)
	case logic.Note:
		m.log.Info().Str("note", a.Text).Msg("module")
	}
}

// setTimer sets a timer. One that comes again and again counts from when it was due, not from when its step came,
// or each step's lateness would add up.
func (m *Mixer) setTimer(a *logic.Action, now time.Time) {
	from := now
	wait := time.Duration(math.Ceil(a.Wait * float64(time.Second)))
	if due, again := m.due[a.Timer]; again && due.Add(wait).After(now) {
		from = due
	}
	heap.Push(&m.timers, timer{from.Add(wait), a.Timer})
}

// send puts a call on the trip to its searcher; what one step sends there shares calls, up to the number set.
func (m *Mixer) send(a *logic.Action, now time.Time) {
	ref, held := m.parts[a.Part]
	if !held {
		m.log.Warn().Uint64("part", uint64(a.Part)).Msg("send of a part that is not held")
		return
	}
	lk, p := ref.lookup, &ref.lookup.Parts[ref.no]
	stop := lk.Arrived.Add(time.Duration(lk.Wait * float64(time.Second)))
	if at := m.clock(a.StopAt); a.StopAt > 0 && at.Before(stop) {
		stop = at
	}
	begin := stop
	if at := m.clock(a.BeginBy); a.BeginBy > 0 && at.Before(begin) {
		begin = at
	}
	key := callKey{a.Part, p.made}
	p.made++
	c := outCall{to: a.Searcher, index: lk.Index, owner: lk.Customer}
	if m.recorder != nil {
		c.seat, c.alone = m.recorder.Sent(m.seconds(now), a.Searcher)
	}
	m.out[key] = c
	m.count.Add("calls", "sent", 1)
	trip := append(m.trips[a.Searcher], Call{key.part, key.no, lk, p.Shard, now, stop, begin})
	if len(trip) == 1 {
		m.tripTo = append(m.tripTo, a.Searcher)
	}
	m.trips[a.Searcher] = trip
	if len(trip) >= max(1, m.set.Layout.CallParts) {
		m.flush(a.Searcher)
	}
}

func (m *Mixer) flush(to logic.SearcherID) {
	if trip := m.trips[to]; len(trip) > 0 {
		delete(m.trips, to)
		m.searchers.Send(to, trip)
	}
}
