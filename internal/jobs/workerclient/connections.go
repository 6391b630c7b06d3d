package workerclient

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Limits bound what one process opens towards workers.
type Limits struct {
	Connections  int     // open at once, those being opened included
	DialsPerS    float64 // new connections a second in the long run
	DialBurst    int     // and so many more at once
	PollsPerS    float64 // looks a second at idle workers, of all links together
	MaxLongPolls int     // up to so many links each worker is held by a call that waits, whatever it does
}

// Connections is the budget of connections to workers that all links of a process share. A call needs a connection of
// its worker that is idle, or a place for a new one. Where none is free an idle connection of another worker is
// closed; where none is idle the call waits for its turn, in order of arrival, before its time-out begins.
type Connections struct {
	limits Limits
	now    func() time.Time
	work   turnstile

	mu       sync.Mutex
	lanes    map[string]*lane // by address
	open     int              // places taken
	links    int
	holding  int // holds that wait
	waiting  []*turn
	opened   uint64         // connections opened so far
	spare    map[*lane]bool // lanes with an idle connection that is their only one
	surplus  map[*lane]bool // lanes with an idle connection besides another one
	nextDial time.Time      // by the pace, if none were allowed at once
	timed    bool           // a timer will serve those that wait for the pace
}

// NewConnections makes a budget.
func NewConnections(limits Limits) *Connections {
	return &Connections{limits: limits, now: time.Now, work: newTurnstile(), lanes: map[string]*lane{}, spare: map[*lane]bool{}, surplus: map[*lane]bool{}}
}

// unlimited is a budget that never makes a call wait.
func unlimited() *Connections {
	c := NewConnections(Limits{
		Connections: math.MaxInt, DialsPerS: math.Inf(1), PollsPerS: math.Inf(1), MaxLongPolls: math.MaxInt,
	})
	c.work = nil
	return c
}

// Usage is the state of a budget.
type Usage struct {
	Open      int // connections, those being opened included
	Links     int
	LongPolls int    // holds that wait
	Waiting   int    // calls that wait for a connection
	Opened    uint64 // connections opened so far
}

// Usage returns the state of the budget.
func (c *Connections) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Open: c.open, Links: c.links, LongPolls: c.holding, Waiting: len(c.waiting), Opened: c.opened}
}

// lane is the part of a budget that one address uses.
type lane struct {
	owner    *Connections
	address  string
	links    int
	calls    int           // under way, or about to be sent
	places   int           // connections, open or promised
	promised int           // places whose connection is not open yet
	waiting  int           // calls that wait for their turn
	idle     []*connection // the newest last
}

// turn is a call that waits for a connection.
type turn struct {
	lane    *lane
	granted chan struct{}
}

// join adds a link to an address.
func (c *Connections) join(address string) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links++
	l := c.lane(address)
	l.links++
	return l
}

// lane returns the lane of an address. The caller holds the lock.
func (c *Connections) lane(address string) *lane {
	l := c.lanes[address]
	if l == nil {
		l = &lane{owner: c, address: address}
		c.lanes[address] = l
	}
	return l
}

// leave removes a link.
func (l *lane) leave() {
	c := l.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links--
	l.links--
	l.changed()
}

// begin waits until a call may be sent, and tells whether it may; it may not once done is closed. The caller passes the
// turnstile then, until end.
func (l *lane) begin(done <-chan struct{}) bool {
	if !l.await(done) {
		return false
	}
	l.owner.work.enter()
	return true
}

// take is begin for a call that can be done without: it does not wait for a connection or a place for one.
func (l *lane) take() bool {
	c := l.owner
	c.mu.Lock()
	free := l.reuse() || len(c.waiting) == 0 && l.takePlace()
	c.mu.Unlock()
	if free {
		c.work.enter()
	}
	return free
}

// await waits for a connection or a place for one.
func (l *lane) await(done <-chan struct{}) bool {
	c := l.owner
	c.mu.Lock()
	if l.reuse() || len(c.waiting) == 0 && l.takePlace() {
		c.mu.Unlock()
		return true
	}
	t := &turn{lane: l, granted: make(chan struct{})}
	c.waiting = append(c.waiting, t)
	l.waiting++
	c.serve()
	c.mu.Unlock()
	select {
	case <-t.granted:
		return true
	case <-done:
		c.giveUp(t)
		return false
	}
}

// end notes that a call is over.
func (l *lane) end() {
	l.owner.work.leave()
	l.release()
}

func (l *lane) release() {
	c := l.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	l.calls--
	l.changed()
	l.serveOwn()
	c.serve()
}

// reuse takes a connection of the worker that no other call needs. The caller holds the lock.
func (l *lane) reuse() bool {
	if l.calls >= l.places {
		return false
	}
	l.calls++
	l.changed()
	return true
}

// takePlace takes a place for a new connection if there is one and the pace allows it. The caller holds the lock.
func (l *lane) takePlace() bool {
	c := l.owner
	if c.dialDelay() > 0 || c.open >= c.limits.Connections && !c.closeIdle() {
		return false
	}
	c.noteDial()
	c.open++
	l.places++
	l.promised++
	l.calls++
	l.changed()
	return true
}

// dialDelay is how long the next dial must wait for the pace. The caller holds the lock.
func (c *Connections) dialDelay() time.Duration {
	if math.IsInf(c.limits.DialsPerS, 1) {
		return 0
	}
	allowance := time.Duration(float64(c.limits.DialBurst) * float64(c.dialInterval()))
	return c.nextDial.Add(-allowance).Sub(c.now())
}

func (c *Connections) dialInterval() time.Duration {
	return time.Duration(float64(time.Second) / c.limits.DialsPerS)
}

func (c *Connections) noteDial() { c.nextDial = later(c.nextDial, c.now()).Add(c.dialInterval()) }

// closeIdle closes a connection that no call needs, if there is one: that of a worker that has another one, before the
// only one of a worker, which its next look would open again. The caller holds the lock.
func (c *Connections) closeIdle() bool {
	for _, lanes := range []map[*lane]bool{c.surplus, c.spare} {
		for l := range lanes {
			l.dropIdle()
			return true
		}
	}
	return false
}

// dropIdle closes the connection that has been idle for longest. The caller holds the lock.
func (l *lane) dropIdle() {
	oldest := l.idle[0]
	l.idle = slices.Delete(l.idle, 0, 1)
	oldest.drop()
}

// closeAllIdle closes the connections that no call uses.
func (c *Connections) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range slices.Collect(maps.Values(c.lanes)) {
		for len(l.idle) > 0 {
			l.dropIdle()
		}
	}
}

// serve lets those calls go on that wait and can, in their order. The caller holds the lock.
func (c *Connections) serve() {
	for len(c.waiting) > 0 {
		first := c.waiting[0]
		if !first.lane.reuse() && !first.lane.takePlace() {
			break
		}
		c.grant(0)
	}
	if delay := c.dialDelay(); len(c.waiting) > 0 && delay > 0 && !c.timed {
		c.timed = true
		time.AfterFunc(delay, c.serveLater)
	}
}

func (c *Connections) serveLater() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timed = false
	c.serve()
}

// serveOwn lets a call of a lane go on with a connection that the lane has to itself. The caller holds the lock.
func (l *lane) serveOwn() {
	if l.waiting == 0 || !l.reuse() {
		return
	}
	own := slices.IndexFunc(l.owner.waiting, func(t *turn) bool { return t.lane == l })
	l.owner.grant(own)
}

// grant lets a call go on. The caller holds the lock.
func (c *Connections) grant(at int) {
	t := c.waiting[at]
	c.remove(at)
	close(t.granted)
}

// remove takes a call out of those that wait. The caller holds the lock.
func (c *Connections) remove(at int) {
	c.waiting[at].lane.waiting--
	c.waiting = slices.Delete(c.waiting, at, at+1)
}

// giveUp takes a call out of those that wait.
func (c *Connections) giveUp(t *turn) {
	c.mu.Lock()
	if at := slices.Index(c.waiting, t); at >= 0 {
		c.remove(at)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	t.lane.release() // it was granted just now
}

// changed brings what is derived from a lane up to date. The caller holds the lock.
func (l *lane) changed() {
	c := l.owner
	if unused := min(l.promised, l.promised-l.calls); unused > 0 { // its call found another connection, or was given up
		l.promised -= unused
		l.places -= unused
		c.open -= unused
	}
	l.noteSpare()
	if l.links == 0 && l.calls == 0 && l.places == 0 {
		delete(c.lanes, l.address)
	}
}

// noteSpare notes whether the lane can do without one of its idle connections. The caller holds the lock.
func (l *lane) noteSpare() {
	can := l.places > l.calls && len(l.idle) > 0
	note(l.owner.spare, l, can && l.places == 1)
	note(l.owner.surplus, l, can && l.places > 1)
}

// note adds a lane to a set, or takes it out.
func note(lanes map[*lane]bool, l *lane, in bool) {
	if in {
		lanes[l] = true
	} else {
		delete(lanes, l)
	}
}

// mayWait tells whether a hold may wait at the worker, and notes that it does: it keeps its connection, and orders need
// another one for the moment that they take, from a few that are left besides one for each worker.
func (l *lane) mayWait() bool {
	c := l.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links > c.limits.MaxLongPolls && c.links > c.limits.Connections-c.limits.Connections/sparePart {
		return false
	}
	c.holding++
	return true
}

// sparePart is the part of the connections that is left for orders beside holds that wait.
const sparePart = 10

func (l *lane) endWait() {
	c := l.owner
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding--
}

// crowded tells whether there are so many workers that idle ones are not held by calls that wait.
func (c *Connections) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links > c.limits.MaxLongPolls
}

// idlePause is how long an idle worker is left alone between two looks; 0 where it is held by a call that waits.
func (c *Connections) idlePause(longest time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links <= c.limits.MaxLongPolls {
		return 0
	}
	return min(longest, time.Duration(float64(c.links)/c.limits.PollsPerS*float64(time.Second)))
}
