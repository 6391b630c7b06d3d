package override

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"puffinlink.example/puffinlink/logic"
)

const (
	// returnStep is how often a return goes on: short against the ramp, and few patches a second.
	returnStep = 0.25
	// least is the level from which a return begins, and the least that a weight tells the module: some part calls
	// must go there or nothing is learnt of it.
	least = 0.05
)

// claim is one that a row of the precedence has found.
type claim struct {
	by   *Override
	text string
}

// precedence is the order in which rules are asked about a part of a shard and index and one searcher that holds it. The
// first that claims decides; those below it are suspended there. A drain wins over all: who announced it takes nothing.
// Out wins over a pin: who took a searcher out knows of a fault, who pinned to it may not. A pin wins over weights, as
// these share out among several.
var precedence = []struct {
	rule string
	asks func(t *Table, m *member, s logic.ShardID, k logic.IndexID) *claim
}{
	{"list", (*Table).notServing},
	{"out", (*Table).takenOut},
	{"pin", (*Table).pinnedThere},
	{"weight", (*Table).weighed},
}

func (t *Table) notServing(m *member, _ logic.ShardID, _ logic.IndexID) *claim {
	switch {
	case !m.listed:
		return &claim{text: "the list does not name it"}
	case m.Phase == logic.Draining:
		return &claim{text: "it drains"}
	}
	return nil
}

func (t *Table) takenOut(m *member, _ logic.ShardID, k logic.IndexID) *claim {
	if _, by := t.target(m, k, nil); by != nil && by.Kind == Out {
		return &claim{by: by, text: "it is out of service"}
	}
	return nil
}

func (t *Table) pinnedThere(m *member, s logic.ShardID, k logic.IndexID) *claim {
	o, why := t.pinOf(spot{s, k})
	switch {
	case o == nil || why != "":
		return nil
	case o.Searcher == m.Name:
		return &claim{by: o, text: "the shard is pinned to it"}
	default:
		return &claim{by: o, text: fmt.Sprintf("the shard is pinned to %s", o.Searcher)}
	}
}

func (t *Table) weighed(m *member, _ logic.ShardID, k logic.IndexID) *claim {
	if factor, by := t.target(m, k, nil); by != nil {
		return &claim{by: by, text: fmt.Sprintf("its share is weighed by %.3g", factor)}
	}
	return nil
}

// stronger tells which of two overrides of one kind and target holds for an index: the one for that index alone over
// one for all, and then the newer.
func stronger(x, y *Override) bool {
	if (x.Index != "") != (y.Index != "") {
		return x.Index != ""
	}
	return x.ID > y.ID
}

// strongest finds the override of a kind that holds in a list for an index, with one more that is thought of.
func (t *Table) strongest(list []*Override, kind Kind, k logic.IndexID, more *Override) (found *Override) {
	for _, o := range list {
		if o.Kind == kind && t.covers(o, k) && (found == nil || stronger(o, found)) {
			found = o
		}
	}
	if more != nil && more.Kind == kind && t.covers(more, k) && (found == nil || stronger(more, found)) {
		found = more
	}
	return found
}

// target is what a searcher's share of an index comes to, 0 for out, and the override that says so, nil for none. Out
// at either the searcher or its location is out; weights at both multiply.
func (t *Table) target(m *member, k logic.IndexID, more *Override) (factor float64, by *Override) {
	here, there := (*Override)(nil), (*Override)(nil)
	if more != nil && more.Searcher == m.Name {
		here = more
	} else if more != nil && more.Location == m.Location {
		there = more
	}
	all := t.place(m.Location).own
	for _, o := range []*Override{t.strongest(m.own, Out, k, here), t.strongest(all, Out, k, there)} {
		if o != nil {
			return 0, o
		}
	}
	factor = 1
	for _, o := range []*Override{t.strongest(all, Weight, k, there), t.strongest(m.own, Weight, k, here)} {
		if o != nil {
			factor, by = factor*o.Factor, o
		}
	}
	return factor, by
}

// pinOf finds the pin that holds for a shard of an index, and why it is suspended or waits; "" if it acts.
func (t *Table) pinOf(at spot) (o *Override, why string) {
	if o = t.strongest(t.byShard[at.shard], Pin, at.index, nil); o == nil {
		return nil, ""
	}
	m := t.member(o.Searcher)
	factor, _ := t.target(m, at.index, nil)
	switch {
	case m.listed && m.Phase == logic.Draining:
		return o, "suspended: its searcher drains"
	case !m.listed && m.drained:
		return o, "suspended: its searcher has drained and left"
	case !m.listed && !o.Strict:
		return o, "waits: the list does not name its searcher"
	case m.listed && !t.holds(m, at.shard):
		return o, "waits: its searcher does not hold the shard"
	case m.listed && factor == 0:
		return o, "suspended: its searcher is out of service"
	}
	return o, ""
}

// Patch tells the decision module what has changed by now, nil for nothing. What comes back moves on by the time since
// the last call.
func (t *Table) Patch(now float64) *logic.Overrides {
	var patch logic.Overrides
	dt := max(0, now-t.movedAt)
	t.movedAt = now
	t.move(min(dt, 1)) // a late caller is no reason for a blow
	t.wantAll()
	for _, name := range slices.Sorted(maps.Keys(t.dirtyMembers)) {
		t.tellMember(t.dirtyMembers[name], &patch)
	}
	for _, at := range slices.SortedFunc(maps.Keys(t.dirtySpots), func(x, y spot) int {
		return cmp.Or(cmp.Compare(x.shard, y.shard), cmp.Compare(x.index, y.index))
	}) {
		t.tellSpot(at, &patch)
	}
	clear(t.dirtyMembers)
	clear(t.dirtySpots)
	if len(patch.Searchers)+len(patch.Pins) == 0 {
		return nil
	}
	return &patch
}

// wantAll works out anew what is wanted where something was touched.
func (t *Table) wantAll() {
	for _, m := range t.dirtyMembers {
		for k := range m.levels {
			l := &m.levels[k]
			l.want, _ = t.target(m, logic.IndexID(k), nil)
			if l.now >= l.want {
				l.now = l.want
			} else {
				l.now = max(l.now, min(least, l.want))
				t.rising[m] = true
			}
		}
	}
	for at := range t.dirtySpots {
		t.wantSpot(at)
	}
}

// wantSpot: a pin takes its shard at once; one that ended lets go of it bit by bit, as its siblings come back. One that
// is suspended lets go at once, and comes back bit by bit.
func (t *Table) wantSpot(at spot) {
	o, why := t.pinOf(at)
	p := t.spots[at]
	switch {
	case o == nil && p == nil:
		return
	case p == nil:
		p = &pinState{}
		t.spots[at] = p
		p.now = 1
	}
	switch {
	case o == nil:
		p.want = 0
		m := t.members[p.to]
		if m == nil || !m.listed || m.Phase != logic.Ready || m.ID != p.id {
			p.now = 0
		}
		p.strict, p.by = false, 0
	case why != "":
		p.want, p.now = 0, 0
		p.to, p.strict, p.by = o.Searcher, o.Strict, o.ID
	default:
		m := t.member(o.Searcher)
		switch {
		case o.ID > p.by: // as told by its operator, at once
			p.now = 1
		case p.by != o.ID && p.to != o.Searcher: // the one above it has ended
			p.now = 0
		}
		p.to, p.id, p.strict, p.by, p.want = o.Searcher, m.ID, o.Strict, o.ID, 1
		if !m.listed {
			p.id, p.now = nobody, 1
		}
	}
	if p.now != p.want {
		t.waning[at] = true
	}
}

// move lets what comes back come back by so many seconds: each by its ramp, and all together by no more than their share
// of the fleet, or of the shards, in a second.
func (t *Table) move(dt float64) {
	if dt == 0 {
		return
	}
	step := t.step(dt, t.listed, len(t.rising))
	for m := range t.rising {
		done := true
		for k := range m.levels {
			l := &m.levels[k]
			if l.now < l.want {
				l.now = min(l.want, l.now+step)
				done = done && l.now == l.want
			}
		}
		t.dirtyMembers[m.Name] = m
		if done {
			delete(t.rising, m)
		}
	}
	step = t.step(dt, t.lim.Shards*len(t.lim.Indexes), len(t.waning))
	for at := range t.waning {
		p := t.spots[at]
		if p == nil {
			delete(t.waning, at)
			continue
		}
		if p.now < p.want {
			p.now = min(p.want, p.now+step)
		} else {
			p.now = max(p.want, p.now-step)
		}
		t.dirtySpots[at] = true
		if p.now == p.want {
			delete(t.waning, at)
		}
	}
}

// step is by how much each of some that come back together moves in dt seconds, of all that there are.
func (t *Table) step(dt float64, all, moving int) float64 {
	if moving == 0 {
		return 0
	}
	each := 1 / max(t.lim.Ramp, returnStep)
	return dt * min(each, max(t.lim.Together*float64(all), each)/float64(moving))
}

func (t *Table) tellMember(m *member, patch *logic.Overrides) {
	if !m.listed {
		t.forgotten(m)
		return
	}
	for k := range m.levels {
		l := &m.levels[k]
		if l.now == l.told {
			continue
		}
		l.told = l.now
		w := logic.SearcherOverride{Searcher: m.ID, Index: logic.IndexID(k), Weight: l.now}
		if l.now == 0 {
			w.Out, w.Weight = true, 1
		}
		patch.Searchers = append(patch.Searchers, w)
	}
}

func (t *Table) tellSpot(at spot, patch *logic.Overrides) {
	p := t.spots[at]
	if p == nil {
		return
	}
	tell := logic.PinOverride{Shard: at.shard, Index: at.index}
	if p.now > 0 {
		tell.Searcher, tell.Strict, tell.Share = p.id, p.strict, p.now
	}
	if tell != p.told && (tell.Searcher != 0 || p.told.Searcher != 0) {
		patch.Pins = append(patch.Pins, tell)
	}
	p.told = tell
	if o, _ := t.pinOf(at); o == nil && p.now == 0 {
		delete(t.spots, at)
		delete(t.waning, at)
	}
}

// Status is an override as it is shown.
type Status struct {
	Override
	State string // "acts", or why it does not everywhere
}

// Status shows what holds, oldest first.
func (t *Table) Status() []Status {
	live := t.Live()
	list := make([]Status, len(live))
	for i := range live {
		list[i] = Status{live[i], t.state(t.live[live[i].ID])}
	}
	return list
}

// state tells whether an override acts, or what stands above it.
func (t *Table) state(o *Override) string {
	if o.Kind == Pin {
		return t.pinStates(o)
	}
	list := t.place(o.Location).own
	if o.Searcher != "" {
		m := t.member(o.Searcher)
		defer t.forgotten(m)
		list = m.own
		if !m.listed {
			return "waits: the list does not name its searcher"
		}
		if m.Phase == logic.Draining {
			return "suspended: its searcher drains"
		}
	} else if len(t.place(o.Location).members) == 0 {
		return "waits: no listed searcher stands there"
	}
	acts := 0
	var above *Override
	covered := 0
	for k := range t.lim.Indexes {
		k := logic.IndexID(k)
		if !t.covers(o, k) {
			continue
		}
		covered++
		by := t.strongest(list, o.Kind, k, nil)
		if out := t.strongest(list, Out, k, nil); o.Kind == Weight && out != nil {
			by = out
		}
		if by == o {
			acts++
		} else {
			above = by
		}
	}
	return shown(acts, covered, above, "")
}

func (t *Table) pinStates(o *Override) string {
	acts, covered := 0, 0
	var above *Override
	hindered := ""
	for s := o.From; s <= o.To; s++ {
		for k := range t.lim.Indexes {
			k := logic.IndexID(k)
			if !t.covers(o, k) {
				continue
			}
			covered++
			switch by, why := t.pinOf(spot{s, k}); {
			case by != o:
				above = by
			case why != "":
				hindered = why
			default:
				acts++
			}
		}
	}
	return shown(acts, covered, above, hindered)
}

func shown(acts, of int, above *Override, hindered string) string {
	switch {
	case acts == of:
		return "acts"
	case hindered != "" && acts == 0:
		return hindered
	case hindered != "":
		return fmt.Sprintf("acts in part, else %s", hindered)
	case acts > 0:
		return fmt.Sprintf("acts in part: override %d stands above it elsewhere", above.ID)
	}
	return fmt.Sprintf("suspended: override %d stands above it", above.ID)
}

// Return is a searcher that comes back, or a shard that a pin lets go.
type Return struct {
	Searcher string
	Shard    logic.ShardID // of a pin
	Pin      bool
	Index    string
	Level    float64 // share of its usual part calls now
	Want     float64
}

// Returns lists what comes back at present.
func (t *Table) Returns() (list []Return) {
	for m := range t.rising {
		for k, l := range m.levels {
			if l.now < l.want {
				list = append(list, Return{Searcher: m.Name, Index: t.lim.Indexes[k], Level: l.now, Want: l.want})
			}
		}
	}
	for at := range t.waning {
		if p := t.spots[at]; p != nil && p.now != p.want {
			list = append(list, Return{Searcher: p.to, Shard: at.shard, Pin: true, Index: t.lim.Indexes[at.index], Level: p.now, Want: p.want})
		}
	}
	slices.SortFunc(list, func(x, y Return) int {
		return cmp.Or(cmp.Compare(x.Searcher, y.Searcher), cmp.Compare(x.Index, y.Index), cmp.Compare(x.Shard, y.Shard))
	})
	return list
}

// Line is one row of the precedence as it stands for a shard, an index and a searcher.
type Line struct {
	Rule string
	Acts bool // it decides; those below it are suspended
	By   Revision
	Text string
}

// Explanation says why parts of a shard go to a searcher or not, as far as overrides and the list decide.
type Explanation struct {
	Goes  bool
	Share float64 // of its usual part calls
	Lines []Line
}

// Explain asks the precedence row by row. Its error is a *Refusal.
func (t *Table) Explain(s logic.ShardID, index, searcher string) (e Explanation, err error) {
	k, known := t.indexes[index]
	m := t.members[searcher]
	switch {
	case !known:
		return e, refuse(Invalid, "index %q is not one of %q", index, t.lim.Indexes)
	case s < 0 || int(s) >= t.lim.Shards:
		return e, refuse(Invalid, "shard %d, expected one from 0 to %d", s, t.lim.Shards-1)
	case m == nil:
		return e, refuse(Unknown, "neither the list nor an override names %q", searcher)
	case m.listed && !t.holds(m, s):
		return Explanation{Lines: []Line{{"layout", true, 0, "it does not hold the shard"}}}, nil
	}
	e.Goes, e.Share = true, 1
	acted := false
	for _, row := range precedence {
		c := row.asks(t, m, s, k)
		if c == nil {
			continue
		}
		line := Line{Rule: row.rule, Acts: !acted, Text: c.text}
		if c.by != nil {
			line.By = c.by.ID
		}
		e.Lines = append(e.Lines, line)
		if acted {
			continue
		}
		acted = true
		switch row.rule {
		case "list", "out":
			e.Goes, e.Share = false, 0
		case "pin":
			if e.Goes = c.by.Searcher == searcher; !e.Goes {
				e.Share = 0
			}
		case "weight":
			e.Share, _ = t.target(m, k, nil)
		}
	}
	if l := m.levels[k]; e.Goes && l.now < l.want && !acted {
		e.Share = math.Min(e.Share, l.now)
		e.Lines = append(e.Lines, Line{"return", true, 0, fmt.Sprintf("it comes back by steps and is at %.0f%%", 100*l.now)})
	}
	if !acted && len(e.Lines) == 0 {
		e.Lines = append(e.Lines, Line{"none", true, 0, "nothing overrides it: the decision module weighs latency and load alone"})
	}
	return e, nil
}
