// Package api is the operators' listener and its client: overrides are listed, set, cleared, watched and explained
// over HTTP on a unix socket or a loopback address. Names on that socket stay here. It decides nothing, and whatever an
// operator does there holds up neither queries nor the list.
package api

import (
	"math"

	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/policy"
)

// Override is one that holds, or held.
type Override struct {
	ID           uint64  `json:"id"`
	Kind         string  `json:"kind"`
	Backend      string  `json:"searcher,omitempty"`
	Location     string  `json:"location,omitempty"`
	From         *int    `json:"from_shard,omitempty"`
	To           *int    `json:"to_shard,omitempty"`
	Index        string  `json:"index,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	Strict       bool    `json:"strict,omitempty"`
	Author       string  `json:"author"`
	Reason       string  `json:"reason"`
	Since        float64 `json:"since"`
	Ends         float64 `json:"ends"`
	EndsIn       float64 `json:"ends_in_s"`
	UntilRestart bool    `json:"until_restart,omitempty"`
	State        string  `json:"state,omitempty"`
}

// View is what holds.
type View struct {
	Aggregator string     `json:"mixer"`
	Revision   uint64     `json:"revision"`
	Now        float64    `json:"now"`
	Storage    string     `json:"kept"`
	Overrides  []Override `json:"overrides"`
	Recoveries []Recovery `json:"returning"`
}

// Recovery is what comes back from an override that has ended.
type Recovery struct {
	Backend string  `json:"searcher"`
	Shard   *int    `json:"shard,omitempty"`
	Index   string  `json:"index"`
	Level   float64 `json:"level"`
	Desired float64 `json:"want"`
}

// Change is one revision.
type Change struct {
	Revision uint64   `json:"revision"`
	At       float64  `json:"at"`
	What     string   `json:"what"`
	Author   string   `json:"author"`
	Reason   string   `json:"reason"`
	Forced   []string `json:"forced,omitempty"`
	Override Override `json:"override"`
	Again    bool     `json:"again,omitempty"` // the command had acted before
}

// Command sets an override, or clears the one of an id.
type Command struct {
	Key          string  `json:"key"`
	Revision     *uint64 `json:"revision"`
	Clear        uint64  `json:"clear,omitempty"`
	Kind         string  `json:"kind,omitempty"`
	Backend      string  `json:"searcher,omitempty"`
	Location     string  `json:"location,omitempty"`
	From         int     `json:"from_shard,omitempty"`
	To           int     `json:"to_shard,omitempty"`
	Index        string  `json:"index,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	Strict       bool    `json:"strict,omitempty"`
	Author       string  `json:"author,omitempty"`
	Reason       string  `json:"reason"`
	For          float64 `json:"for_s,omitempty"`
	UntilRestart bool    `json:"until_restart,omitempty"`
	Force        bool    `json:"force,omitempty"`
}

// Why says why parts of a shard go to a backend or not.
type Why struct {
	Goes  bool    `json:"goes"`
	Share float64 `json:"share"`
	Rules []Rule  `json:"rules"`
}

// Rule is one that has something to say there.
type Rule struct {
	Rule     string `json:"rule"`
	Acts     bool   `json:"acts"`
	Override uint64 `json:"override,omitempty"`
	Text     string `json:"text"`
}

// Failure is the body of an answer that is none.
type Failure struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

func shown(o *override.Override, now float64) Override {
	w := Override{ID: uint64(o.ID), Kind: o.Kind.String(), Backend: o.Backend, Location: o.Location, Index: o.Index,
		Weight: o.Factor, Strict: o.Strict, Author: o.Author, Reason: o.Reason, Since: o.SetAt, Ends: o.ExpiresAt,
		EndsIn: math.Round(10*max(0, o.ExpiresAt-now)) / 10, UntilRestart: o.UntilRestart}
	if o.Kind == override.Pin {
		from, to := int(o.From), int(o.To)
		w.From, w.To = &from, &to
	}
	return w
}

func changed(c *override.Change, now float64) Change {
	return Change{Revision: uint64(c.Revision), At: c.ChangedAt, What: c.Kind.String(), Author: c.Author, Reason: c.Reason,
		Forced: c.Forced, Override: shown(&c.Override, now)}
}

// command reads what an operator sent. Only its form is checked here.
func (c *Command) command() (override.Command, error) {
	if c.Revision == nil {
		return override.Command{}, invalid("expected revision, of what the command was made for")
	}
	out := override.Command{Key: override.Key(c.Key), ExpectedRevision: override.Revision(*c.Revision), Force: c.Force}
	if len(c.Key) > 64 {
		return out, invalid("key has %d bytes, expected 64 at most", len(c.Key))
	}
	if c.Clear != 0 {
		out.Op, out.ID, out.Author, out.Reason = override.Clear, override.Revision(c.Clear), c.Author, c.Reason
		return out, nil
	}
	kind, err := override.ParseKind(c.Kind)
	if err != nil {
		return out, err
	}
	out.Spec = override.Spec{Kind: kind, Backend: c.Backend, Location: c.Location, From: policy.ShardID(c.From),
		To: policy.ShardID(c.To), Index: c.Index, Factor: c.Weight, Strict: c.Strict, Author: c.Author, Reason: c.Reason,
		UntilRestart: c.UntilRestart}
	out.Duration = c.For
	return out, nil
}
