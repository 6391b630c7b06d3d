package override

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

const (
	// recoveryInterval is the time between two steps of a recovery, in seconds. It is short compared to SlowStart, and
	// causes few patches per second.
	recoveryInterval = 0.25
	// initialRecoveryLevel is the level at which a recovery starts. The backend must receive some subqueries, or the decision
	// module learns nothing about its latency and load.
	initialRecoveryLevel = 0.05
)

// Status is a live override with its state, as operators see it.
type Status struct {
	Override
	State string // "acts", or why it is not in effect everywhere
}

// Status returns the live overrides with their states, oldest first.
func (t *Table) Status() []Status {
	live := t.LiveOverrides()
	list := make([]Status, len(live))
	for i := range live {
		list[i] = Status{live[i], t.describe(t.live[live[i].ID])}
	}
	return list
}

// describe returns "acts" if an override is in effect everywhere, or the reason why it is not.
func (t *Table) describe(o *Override) string {
	if o.Kind == Pin {
		return t.describePin(o)
	}
	candidates := t.location(o.Location).overrides
	if o.Backend != "" {
		m := t.member(o.Backend)
		defer t.dropUnused(m)
		candidates = m.overrides
		if !m.listed {
			return "waits: the list does not name its searcher"
		}
		if m.Phase == policy.Draining {
			return "suspended: its searcher drains"
		}
	} else if len(t.location(o.Location).members) == 0 {
		return "waits: no listed searcher stands there"
	}
	active := 0
	var winner *Override
	covered := 0
	for k := range t.limits.Indexes {
		k := policy.IndexID(k)
		if !t.coversIndex(o, k) {
			continue
		}
		covered++
		by := t.effective(candidates, o.Kind, k, nil)
		if outOfService := t.effective(candidates, OutOfService, k, nil); o.Kind == Weight && outOfService != nil {
			by = outOfService
		}
		if by == o {
			active++
		} else {
			winner = by
		}
	}
	return describeState(active, covered, winner, "")
}

func (t *Table) describePin(o *Override) string {
	active, covered := 0, 0
	var winner *Override
	obstacle := ""
	for s := o.From; s <= o.To; s++ {
		for k := range t.limits.Indexes {
			k := policy.IndexID(k)
			if !t.coversIndex(o, k) {
				continue
			}
			covered++
			switch by, suspendedBecause := t.effectivePin(pinKey{s, k}); {
			case by != o:
				winner = by
			case suspendedBecause != "":
				obstacle = suspendedBecause
			default:
				active++
			}
		}
	}
	return describeState(active, covered, winner, obstacle)
}

func describeState(active, total int, winner *Override, obstacle string) string {
	switch {
	case active == total:
		return "acts"
	case obstacle != "" && active == 0:
		return obstacle
	case obstacle != "":
		return fmt.Sprintf("acts in part, else %s", obstacle)
	case active > 0:
		return fmt.Sprintf("acts in part: override %d stands above it elsewhere", winner.ID)
	}
	return fmt.Sprintf("suspended: override %d stands above it", winner.ID)
}

// Recovery is a gradual change in progress: a backend whose level rises, or a pin that gains or releases a shard.
type Recovery struct {
	Backend string
	Shard   policy.ShardID // set if Pin is true
	Pin     bool
	Index   string
	Level   float64 // share of its usual subqueries that it receives now
	Desired float64
}

// Recoveries returns the recoveries in progress, sorted by backend, index and shard.
func (t *Table) Recoveries() (list []Recovery) {
	for m := range t.recovering {
		for k, l := range m.levels {
			if l.current < l.desired {
				list = append(list, Recovery{Backend: m.Name, Index: t.limits.Indexes[k], Level: l.current, Desired: l.desired})
			}
		}
	}
	for key := range t.changingPins {
		if pin := t.pinStates[key]; pin != nil && pin.current != pin.desired {
			list = append(list, Recovery{Backend: pin.backend, Shard: key.shard, Pin: true, Index: t.limits.Indexes[key.index], Level: pin.current, Desired: pin.desired})
		}
	}
	slices.SortFunc(list, func(x, y Recovery) int {
		return cmp.Or(cmp.Compare(x.Backend, y.Backend), cmp.Compare(x.Index, y.Index), cmp.Compare(x.Shard, y.Shard))
	})
	return list
}

// RuleResult is the result of one precedence rule for a shard, an index and a backend.
type RuleResult struct {
	Rule       string
	Decides    bool // true for the rule that decides; the rules below it are suspended
	OverrideID Revision
	Text       string
}

// Explanation states whether subqueries of a shard are routed to a backend, and why, as far as overrides and membership
// determine it.
type Explanation struct {
	Routed bool
	Share  float64 // of its usual subqueries
	Rules  []RuleResult
}

// Explain evaluates all precedence rules for a shard, an index and a backend. Its error is a *Refusal.
func (t *Table) Explain(shard policy.ShardID, index, backend string) (e Explanation, err error) {
	indexID, indexKnown := t.indexes[index]
	m := t.members[backend]
	switch {
	case !indexKnown:
		return e, refuse(Invalid, "index %q is not one of %q", index, t.limits.Indexes)
	case shard < 0 || int(shard) >= t.limits.Shards:
		return e, refuse(Invalid, "shard %d, expected one from 0 to %d", shard, t.limits.Shards-1)
	case m == nil:
		return e, refuse(Unknown, "neither the list nor an override names %q", backend)
	case m.listed && !t.isReplica(m, shard):
		return Explanation{Rules: []RuleResult{{"layout", true, 0, "it does not hold the shard"}}}, nil
	}
	e.Routed, e.Share = true, 1
	decided := false
	for _, row := range precedence {
		result := row.evaluate(t, m, shard, indexID)
		if result == nil {
			continue
		}
		ruleResult := RuleResult{Rule: row.rule, Decides: !decided, Text: result.explanation}
		if result.override != nil {
			ruleResult.OverrideID = result.override.ID
		}
		e.Rules = append(e.Rules, ruleResult)
		if decided {
			continue
		}
		decided = true
		switch row.rule {
		case "list", "out":
			e.Routed, e.Share = false, 0
		case "pin":
			if e.Routed = result.override.Backend == backend; !e.Routed {
				e.Share = 0
			}
		case "weight":
			e.Share, _ = t.targetWeight(m, indexID, nil)
		}
	}
	if level := m.levels[indexID]; e.Routed && level.current < level.desired && !decided {
		e.Share = math.Min(e.Share, level.current)
		e.Rules = append(e.Rules, RuleResult{"return", true, 0, fmt.Sprintf("it comes back by steps and is at %.0f%%", 100*level.current)})
	}
	if !decided && len(e.Rules) == 0 {
		e.Rules = append(e.Rules, RuleResult{"none", true, 0, "nothing overrides it: the decision module weighs latency and load alone"})
	}
	return e, nil
}
