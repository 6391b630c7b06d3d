// Package api implements the operators' listener of an aggregator and its client. Operators list, set, clear, watch and
// explain overrides over HTTP, on a unix socket or a loopback address. In a fleet they also change contracts and quotas.
// The names in requests and responses are defined here and used nowhere else. The package decides nothing itself: the
// controller and the fleet do. A request never delays queries or updates of the list of backends.
package api

import (
	"math"

	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/policy"
)

// Override is an override that is in force or has ended.
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

// View lists the overrides in force and the recoveries in progress.
type View struct {
	Aggregator string     `json:"mixer"`
	Revision   uint64     `json:"revision"`
	Now        float64    `json:"now"`
	Storage    string     `json:"kept"`
	Overrides  []Override `json:"overrides"`
	Recoveries []Recovery `json:"returning"`
}

// Recovery is a backend whose share of the load is being restored after an override has ended.
type Recovery struct {
	Backend string  `json:"searcher"`
	Shard   *int    `json:"shard,omitempty"`
	Index   string  `json:"index"`
	Level   float64 `json:"level"`
	Desired float64 `json:"want"`
}

// Change is one revision of the overrides.
type Change struct {
	Revision uint64   `json:"revision"`
	At       float64  `json:"at"`
	Action   string   `json:"what"`
	Author   string   `json:"author"`
	Reason   string   `json:"reason"`
	Forced   []string `json:"forced,omitempty"`
	Override Override `json:"override"`
	Repeated bool     `json:"again,omitempty"` // the command had been applied before
}

// Command sets an override, or clears the override with the ID in Clear.
type Command struct {
	Key             string  `json:"key"`
	Revision        *uint64 `json:"revision"`
	Clear           uint64  `json:"clear,omitempty"`
	Kind            string  `json:"kind,omitempty"`
	Backend         string  `json:"searcher,omitempty"`
	Location        string  `json:"location,omitempty"`
	From            int     `json:"from_shard,omitempty"`
	To              int     `json:"to_shard,omitempty"`
	Index           string  `json:"index,omitempty"`
	Weight          float64 `json:"weight,omitempty"`
	Strict          bool    `json:"strict,omitempty"`
	Author          string  `json:"author,omitempty"`
	Reason          string  `json:"reason"`
	DurationSeconds float64 `json:"for_s,omitempty"`
	UntilRestart    bool    `json:"until_restart,omitempty"`
	Force           bool    `json:"force,omitempty"`
}

// Explanation says whether subqueries of a shard are sent to a backend, and which rules decide it.
type Explanation struct {
	Routed bool    `json:"goes"`
	Share  float64 `json:"share"`
	Rules  []Rule  `json:"rules"`
}

// Rule is one of the rules that apply to the shard and the backend.
type Rule struct {
	Rule       string `json:"rule"`
	Decides    bool   `json:"acts"`
	OverrideID uint64 `json:"override,omitempty"`
	Text       string `json:"text"`
}

// Failure is the body of a response to a failed request.
type Failure struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// toOverride converts an override to its form on the wire.
func toOverride(o *override.Override, now float64) Override {
	w := Override{ID: uint64(o.ID), Kind: o.Kind.String(), Backend: o.Backend, Location: o.Location, Index: o.Index,
		Weight: o.Factor, Strict: o.Strict, Author: o.Author, Reason: o.Reason, Since: o.SetAt, Ends: o.ExpiresAt,
		EndsIn: math.Round(10*max(0, o.ExpiresAt-now)) / 10, UntilRestart: o.UntilRestart}
	if o.Kind == override.Pin {
		from, to := int(o.From), int(o.To)
		w.From, w.To = &from, &to
	}
	return w
}

// toChange converts a change to its form on the wire.
func toChange(c *override.Change, now float64) Change {
	return Change{Revision: uint64(c.Revision), At: c.ChangedAt, Action: c.Kind.String(), Author: c.Author, Reason: c.Reason,
		Forced: c.Forced, Override: toOverride(&c.Override, now)}
}

// toOverrideCommand converts a command from its form on the wire. It checks only the form; the controller checks the rest.
func (c *Command) toOverrideCommand() (override.Command, error) {
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
	out.Duration = c.DurationSeconds
	return out, nil
}
