package policy

import (
	"cmp"
	"math"
)

// Backends: what calls and probes tell of them, and which are out of reach.

// renew forgets what was learned of a process that is no more.
func (m *Aggregator) renew(s *backend) {
	s.latency, s.window, s.downUntil, s.downWait, s.dead = 0, windowStart, 0, 0, false
	clear(s.fault)
}

// listen guards against a backend that answers nothing, dead, cut off, stuck: out of reach until it answers
// a probe, asked at once, and apart: a connection may have died. The average says how long in overload.
func (m *Aggregator) listen(s *backend) {
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

// ask: probes at a backend are few, one by each aggregator in a while, or they crowd each other out.
func (m *Aggregator) ask(s *backend, apart bool) {
	if m.set.Limits.Probe && !s.probing && m.now-s.askedAt >= lookFresh {
		s.probing, s.askedAt = true, m.now
		s.asked(m.now)
		m.do(Action{Kind: Probe, Backend: s.id, Apart: apart})
	}
}

// looks tells whether an aggregator must see a sign of life before it sends: where it calls a backend every few
// seconds, its own evidence comes too late against backends that fail by turns or hide a long queue.
func (m *Aggregator) looks() bool {
	return m.set.Limits.Probe && m.ill.mean(0, lookLeast, m.now, lookMemory*m.longSoft) > lookFrom
}

// falling tells whether backends fall so often that a query may be what brings them down.
func (m *Aggregator) falling() bool {
	return m.fallen.mean(0, lookLeast, m.now, longMemory*m.longSoft) > scoutFrom
}

func (m *Aggregator) fresh(s *backend) bool { return m.now-s.alive < lookFresh }

// connectionLost guards against connections that die idle: calls on them never end or break at once. They
// tell which pause is too long; from there one is closed before use. Calls lost on others clear it.
func (m *Aggregator) connectionLost(c *call) {
	if c.idle < idleLeast {
		m.doubt.shift(-1, m.now, longMemory*m.longSoft)
		return
	}
	if m.doubt.shift(1, m.now, longMemory*m.longSoft) <= idleDoubt {
		m.idle = math.Inf(1)
	}
	m.idle = min(m.idle, idleShare*c.idle)
}

func (m *Aggregator) blame(s *backend, k IndexID, fault float64) {
	s.pool[k].add(fault, m.now, forgetAfter*m.longSoft)
	s.fault[k].keep(faultMost)
	s.fault[k].add(fault, m.now, longMemory*m.longSoft)
}

func (m *Aggregator) callEnded(e *Event) {
	c := m.finish(e.Subquery, e.Call)
	if c == nil {
		return
	}
	p := c.subquery
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
		m.subquery(p, answered)
	case (lk.broken > 1 || lk.broken > 0 && m.falling()) && !lk.proven && !lk.calling():
		m.query(lk, giveUp)
	case p.state != out || len(p.live) > 0:
	case m.mayAgain(p):
		p.avoid = c.at
		m.subquery(p, again)
	default:
		m.subquery(p, tooLate)
	}
}

// learn takes an outcome into the backend's figures. Failures say nothing of latency: fast ones would make
// a backend that fails look quick and draw parts.
func (m *Aggregator) learn(c *call, e *Event) {
	s, k, what := c.at, c.subquery.lk.k, outcomeTable[e.Outcome]
	sample := e.Elapsed / c.subquery.size
	if m.idled(c, e) {
		m.connectionLost(c) // it tells nothing of the backend
		return
	}
	stuck := what.slow && s.answeredAt < c.sent // whatever a probe was told: it may not have waited
	failed := what.fault || what.away || stuck && c.subquery.state == out
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

// idled tells whether a call broke with a connection that had died idle, and not with its backend.
func (m *Aggregator) idled(c *call, e *Event) bool {
	return e.Outcome == Broken && c.idle >= idleLeast && e.Elapsed < deepFrom*m.usual
}

// heard smooths the latency and moves the window against the median seen anywhere, which one backend cannot
// move. It stays well under the soft deadlines: else overload becomes usual, and backends' queues take all.
func (m *Aggregator) heard(s *backend, sample float64) {
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

// narrow goes below one call, as many aggregators with a window of one each still make a long queue.
func (m *Aggregator) narrow(s *backend, by float64) { s.window = max(windowLeast, s.window*by) }

func (m *Aggregator) away(s *backend) {
	if m.now >= s.downUntil {
		s.downWait = min(waitMost, max(waitFirst, 2*s.downWait))
		s.downUntil = m.now + s.downWait
	}
}

// probed: heard again after a failed connect or probe, it may be a new process that no list told of yet. One
// that turns probes away lives, but how long a call would wait is not told.
func (m *Aggregator) probed(e *Event) {
	s := m.backends[e.Backend]
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
