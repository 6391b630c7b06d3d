package override

import (
	"fmt"
	"hash/fnv"
	"math"
)

// longestText bounds author and reason: a line of a log.
const longestText = 200

// specDigestFormat is the text of a Spec that digests are taken over. Digests are kept on disk, so the names in it stay as
// they were first written, whatever the Go type and its fields are called.
const specDigestFormat = "override.Spec{Kind:%#v, Searcher:%#v, Location:%#v, From:%#v, To:%#v, Index:%#v, Factor:%#v, " +
	"Strict:%#v, Author:%#v, Reason:%#v, End:%#v, UntilRestart:%#v}"

// digest tells commands apart that come under one key; force counts, as it changes what is requested.
func digest(c *Command) uint64 {
	spec := &c.Spec
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %d %d %q %q %t %g ", c.Op, c.For, c.ID, c.Author, c.Reason, c.Force, c.Lasts)
	fmt.Fprintf(hash, specDigestFormat, spec.Kind, spec.Backend, spec.Location, spec.From, spec.To, spec.Index, spec.Factor,
		spec.Strict, spec.Author, spec.Reason, spec.End, spec.UntilRestart)
	return hash.Sum64()
}

// Decide returns what a command would change, without changing anything. Its error is a *Refusal. A command that has
// acted already gives the change that it made, and repeated is true.
func (t *Table) Decide(now float64, c *Command) (change Change, repeated bool, err error) {
	sum := digest(c)
	if previous, known := t.keys[c.Key]; known && c.Key != "" {
		if previous.digest != sum {
			return change, false, refuse(KeyReused, "key %q was that of another command, of revision %d", c.Key, previous.change.Revision)
		}
		return previous.change, true, nil
	}
	if c.For != t.revision {
		return change, false, refuse(Conflict, "made for revision %d, the book is at %d: look again at what holds", c.For, t.revision)
	}
	change = Change{Revision: t.revision + 1, At: now, Key: c.Key, Digest: sum}
	if c.Op == Clear {
		entry := t.live[c.ID]
		if entry == nil {
			return change, false, refuse(Unknown, "no override %d holds", c.ID)
		}
		if err := checkAttribution(c.Author, c.Reason); err != nil {
			return change, false, err
		}
		change.What, change.Override, change.Author, change.Reason = WasCleared, *entry, c.Author, c.Reason
		return change, false, nil
	}
	entry := Override{Spec: c.Spec, ID: change.Revision, Since: now}
	if c.Lasts != 0 {
		entry.End = now + c.Lasts
	}
	if err := t.valid(now, &entry); err != nil {
		return change, false, err
	}
	for _, guard := range t.guarded(&entry) {
		if !c.Force {
			return change, false, guard
		}
		change.Forced = append(change.Forced, guard.Error())
	}
	change.What, change.Override, change.Author, change.Reason = WasSet, entry, entry.Author, entry.Reason
	return change, false, nil
}

func checkAttribution(author, reason string) error {
	for _, f := range []struct{ name, text string }{{"author", author}, {"reason", reason}} {
		if f.text == "" || len(f.text) > longestText {
			return refuse(Invalid, "%s has %d bytes, expected 1 to %d", f.name, len(f.text), longestText)
		}
	}
	return nil
}

// valid checks what can't be meant. It notes the start that an until-restart counts from.
func (t *Table) valid(now float64, o *Override) error {
	if err := checkAttribution(o.Author, o.Reason); err != nil {
		return err
	}
	_, known := t.indexes[o.Index]
	cover := 0
	if o.Kind == Pin && o.From <= o.To {
		cover = int(o.To-o.From) + 1
	}
	switch {
	case int(o.Kind) >= len(kindNames):
		return refuse(Invalid, "kind %d, expected weight, out or pin", o.Kind)
	case (o.Backend == "") == (o.Location == ""):
		return refuse(Invalid, "expected either a searcher or a location")
	case o.Index != "" && !known:
		return refuse(Invalid, "index %q is not one of %q", o.Index, t.limits.Indexes)
	case o.Kind == Weight && !(o.Factor > 0 && o.Factor <= 1):
		return refuse(Invalid, "weight is %g, expected over 0 and up to 1; for none at all take it out", o.Factor)
	case o.Kind != Weight && o.Factor != 0:
		return refuse(Invalid, "a weight is stated for %s", o.Kind)
	case o.Kind == Pin && o.Backend == "":
		return refuse(Invalid, "a pin goes to a searcher, not to a location")
	case o.Kind == Pin && (o.From < 0 || o.To < o.From || int(o.To) >= t.limits.Shards):
		return refuse(Invalid, "shards %d to %d, expected some from 0 to %d", o.From, o.To, t.limits.Shards-1)
	case o.Kind != Pin && (o.Strict || o.From != 0 || o.To != 0):
		return refuse(Invalid, "shards and strict belong to a pin, not to %s", o.Kind)
	case math.IsNaN(o.End) || o.End <= now:
		return refuse(Invalid, "ends %.0f s ago, expected an end to come", now-o.End)
	case o.End > now+t.limits.MaxDuration:
		return refuse(Invalid, "ends in %.0f s, at most %.0f s are allowed", o.End-now, t.limits.MaxDuration)
	case len(t.live) >= t.limits.MaxOverrides:
		return refuse(TooMany, "%d overrides hold, as many as may", len(t.live))
	case t.pinned+cover > t.limits.MaxPins:
		return refuse(TooMany, "%d shards are pinned, %d more would be over %d", t.pinned, cover, t.limits.MaxPins)
	}
	if o.UntilRestart {
		target := t.members[o.Backend]
		if target == nil || !target.listed {
			return refuse(Invalid, "until restart needs one searcher that is listed, as its start must be known")
		}
		o.Started = target.Started
	}
	return nil
}

// guarded lists the guard rails that stand against an override, the gravest first.
func (t *Table) guarded(o *Override) (list []*Refusal) {
	add := func(code Code, format string, args ...any) {
		list = append(list, &Refusal{code, fmt.Sprintf(format, args...)})
	}
	switch m := t.members[o.Backend]; {
	case o.Location != "" && (t.locations[o.Location] == nil || len(t.locations[o.Location].members) == 0):
		add(Absent, "no listed searcher stands at %q", o.Location)
	case o.Backend != "" && (m == nil || !m.listed):
		add(Absent, "the list does not name %q: the override would wait for it", o.Backend)
	case o.Kind == Pin:
		for s := o.From; s <= o.To; s++ {
			if !t.isReplica(m, s) {
				add(NotAReplica, "%q holds no shard %d: the pin would have no effect there", o.Backend, s)
				break
			}
		}
	default:
		list = append(list, t.capacity(o)...)
	}
	return list
}
