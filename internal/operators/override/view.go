package override

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

const (
	// recoveryStep is how often a return goes on: short against the ramp, and few patches a second.
	recoveryStep = 0.25
	// leastLevel is the level from which a return begins, and the least that a weight tells the module: some part calls
	// must go there or nothing is learnt of it.
	leastLevel = 0.05
)

// Status is an override as it is shown.
type Status struct {
	Override
	State string // "acts", or why it does not everywhere
}

// Status shows what holds, oldest first.
func (t *Table) Status() []Status {
	live := t.LiveOverrides()
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
	list := t.location(o.Location).own
	if o.Backend != "" {
		m := t.member(o.Backend)
		defer t.dropUnused(m)
		list = m.own
		if !m.listed {
			return "waits: the list does not name its searcher"
		}
		if m.Phase == policy.Draining {
			return "suspended: its searcher drains"
		}
	} else if len(t.location(o.Location).members) == 0 {
		return "waits: no listed searcher stands there"
	}
	acts := 0
	var above *Override
	covered := 0
	for k := range t.limits.Indexes {
		k := policy.IndexID(k)
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
	return describeState(acts, covered, above, "")
}

func (t *Table) pinStates(o *Override) string {
	acts, covered := 0, 0
	var above *Override
	hindered := ""
	for s := o.From; s <= o.To; s++ {
		for k := range t.limits.Indexes {
			k := policy.IndexID(k)
			if !t.covers(o, k) {
				continue
			}
			covered++
			switch by, why := t.pinOf(pinKey{s, k}); {
			case by != o:
				above = by
			case why != "":
				hindered = why
			default:
				acts++
			}
		}
	}
	return describeState(acts, covered, above, hindered)
}

func describeState(acts, of int, above *Override, hindered string) string {
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

// Recovery is a backend that comes back, or a shard that a pin lets go.
type Recovery struct {
	Backend string
	Shard   policy.ShardID // of a pin
	Pin     bool
	Index   string
	Level   float64 // share of its usual part calls now
	Desired float64
}

// Recoveries lists what comes back at present.
func (t *Table) Recoveries() (list []Recovery) {
	for m := range t.recovering {
		for k, l := range m.levels {
			if l.current < l.desired {
				list = append(list, Recovery{Backend: m.Name, Index: t.limits.Indexes[k], Level: l.current, Desired: l.desired})
			}
		}
	}
	for at := range t.changingPins {
		if p := t.pinnedShards[at]; p != nil && p.current != p.desired {
			list = append(list, Recovery{Backend: p.to, Shard: at.shard, Pin: true, Index: t.limits.Indexes[at.index], Level: p.current, Desired: p.desired})
		}
	}
	slices.SortFunc(list, func(x, y Recovery) int {
		return cmp.Or(cmp.Compare(x.Backend, y.Backend), cmp.Compare(x.Index, y.Index), cmp.Compare(x.Shard, y.Shard))
	})
	return list
}

// Line is one row of the precedence as it stands for a shard, an index and a backend.
type Line struct {
	Rule string
	Acts bool // it decides; those below it are suspended
	By   Revision
	Text string
}

// Explanation says why parts of a shard go to a backend or not, as far as overrides and the list decide.
type Explanation struct {
	Goes  bool
	Share float64 // of its usual part calls
	Lines []Line
}

// Explain asks the precedence row by row. Its error is a *Refusal.
func (t *Table) Explain(s policy.ShardID, index, backend string) (e Explanation, err error) {
	k, known := t.indexes[index]
	m := t.members[backend]
	switch {
	case !known:
		return e, refuse(Invalid, "index %q is not one of %q", index, t.limits.Indexes)
	case s < 0 || int(s) >= t.limits.Shards:
		return e, refuse(Invalid, "shard %d, expected one from 0 to %d", s, t.limits.Shards-1)
	case m == nil:
		return e, refuse(Unknown, "neither the list nor an override names %q", backend)
	case m.listed && !t.isReplica(m, s):
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
			if e.Goes = c.by.Backend == backend; !e.Goes {
				e.Share = 0
			}
		case "weight":
			e.Share, _ = t.target(m, k, nil)
		}
	}
	if l := m.levels[k]; e.Goes && l.current < l.desired && !acted {
		e.Share = math.Min(e.Share, l.current)
		e.Lines = append(e.Lines, Line{"return", true, 0, fmt.Sprintf("it comes back by steps and is at %.0f%%", 100*l.current)})
	}
	if !acted && len(e.Lines) == 0 {
		e.Lines = append(e.Lines, Line{"none", true, 0, "nothing overrides it: the decision module weighs latency and load alone"})
	}
	return e, nil
}
