package override

import (
	"fmt"
	"hash/fnv"
	"math"
)

// maxTextBytes limits the author and the reason to what fits on one line of a log.
const maxTextBytes = 200

// specDigestFormat renders a Spec as the text that commandDigest hashes. Digests are stored on disk, so this text must
// never change, even if the Go type or its fields are renamed.
const specDigestFormat = "override.Spec{Kind:%#v, Searcher:%#v, Location:%#v, From:%#v, To:%#v, Index:%#v, Factor:%#v, " +
	"Strict:%#v, Author:%#v, Reason:%#v, End:%#v, UntilRestart:%#v}"

// commandDigest returns a hash that distinguishes different commands with the same key. The hash includes Force, because
// Force changes what the command requests.
func commandDigest(command *Command) uint64 {
	spec := &command.Spec
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %d %d %q %q %t %g ", command.Op, command.ExpectedRevision, command.ID, command.Author, command.Reason, command.Force, command.Duration)
	fmt.Fprintf(hash, specDigestFormat, spec.Kind, spec.Backend, spec.Location, spec.From, spec.To, spec.Index, spec.Factor,
		spec.Strict, spec.Author, spec.Reason, spec.ExpiresAt, spec.UntilRestart)
	return hash.Sum64()
}

// Decide returns the change that a command would make, without making it. If a command with the same key was applied
// before, Decide returns the change of that command and repeated is true. The error is a *Refusal.
func (t *Table) Decide(now float64, command *Command) (change Change, repeated bool, err error) {
	digest := commandDigest(command)
	if previous, known := t.changesByKey[command.Key]; known && command.Key != "" {
		if previous.digest != digest {
			return change, false, refuse(KeyReused, "key %q was that of another command, of revision %d", command.Key, previous.change.Revision)
		}
		return previous.change, true, nil
	}
	if command.ExpectedRevision != t.revision {
		return change, false, refuse(Conflict, "made for revision %d, the book is at %d: look again at what holds", command.ExpectedRevision, t.revision)
	}
	change = Change{Revision: t.revision + 1, ChangedAt: now, Key: command.Key, Digest: digest}
	if command.Op == Clear {
		live := t.live[command.ID]
		if live == nil {
			return change, false, refuse(Unknown, "no override %d holds", command.ID)
		}
		if err := checkAttribution(command.Author, command.Reason); err != nil {
			return change, false, err
		}
		change.Kind, change.Override, change.Author, change.Reason = ClearedByOperator, *live, command.Author, command.Reason
		return change, false, nil
	}
	proposed := Override{Spec: command.Spec, ID: change.Revision, SetAt: now}
	if command.Duration != 0 {
		proposed.ExpiresAt = now + command.Duration
	}
	if err := t.validate(now, &proposed); err != nil {
		return change, false, err
	}
	for _, guard := range t.checkGuardRails(&proposed) {
		if !command.Force {
			return change, false, guard
		}
		change.Forced = append(change.Forced, guard.Error())
	}
	change.Kind, change.Override, change.Author, change.Reason = SetByOperator, proposed, proposed.Author, proposed.Reason
	return change, false, nil
}

func checkAttribution(author, reason string) error {
	for _, field := range []struct{ name, text string }{{"author", author}, {"reason", reason}} {
		if field.text == "" || len(field.text) > maxTextBytes {
			return refuse(Invalid, "%s has %d bytes, expected 1 to %d", field.name, len(field.text), maxTextBytes)
		}
	}
	return nil
}

// validate refuses overrides that are invalid or exceed a limit. If UntilRestart is set, it records the backend's current
// start time in the override.
func (t *Table) validate(now float64, o *Override) error {
	if err := checkAttribution(o.Author, o.Reason); err != nil {
		return err
	}
	_, indexKnown := t.indexes[o.Index]
	shardCount := 0
	if o.Kind == Pin && o.From <= o.To {
		shardCount = int(o.To-o.From) + 1
	}
	switch {
	case int(o.Kind) >= len(kindNames):
		return refuse(Invalid, "kind %d, expected weight, out or pin", o.Kind)
	case (o.Backend == "") == (o.Location == ""):
		return refuse(Invalid, "expected either a searcher or a location")
	case o.Index != "" && !indexKnown:
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
	case math.IsNaN(o.ExpiresAt) || o.ExpiresAt <= now:
		return refuse(Invalid, "ends %.0f s ago, expected an end to come", now-o.ExpiresAt)
	case o.ExpiresAt > now+t.limits.MaxDuration:
		return refuse(Invalid, "ends in %.0f s, at most %.0f s are allowed", o.ExpiresAt-now, t.limits.MaxDuration)
	case len(t.live) >= t.limits.MaxOverrides:
		return refuse(TooMany, "%d overrides hold, as many as may", len(t.live))
	case t.pinnedShardCount+shardCount > t.limits.MaxPins:
		return refuse(TooMany, "%d shards are pinned, %d more would be over %d", t.pinnedShardCount, shardCount, t.limits.MaxPins)
	}
	if o.UntilRestart {
		target := t.members[o.Backend]
		if target == nil || !target.listed {
			return refuse(Invalid, "until restart needs one searcher that is listed, as its start must be known")
		}
		o.BackendStartedAt = target.StartedAt
	}
	return nil
}

// checkGuardRails returns the refusals of all guard rails that an override violates, the most serious first.
func (t *Table) checkGuardRails(o *Override) (refusals []*Refusal) {
	add := func(code Code, format string, args ...any) {
		refusals = append(refusals, &Refusal{code, fmt.Sprintf(format, args...)})
	}
	switch m := t.members[o.Backend]; {
	case o.Location != "" && (t.locations[o.Location] == nil || len(t.locations[o.Location].members) == 0):
		add(Absent, "no listed searcher stands at %q", o.Location)
	case o.Backend != "" && (m == nil || !m.listed):
		add(Absent, "the list does not name %q: the override would wait for it", o.Backend)
	case o.Kind == Pin:
		for shard := o.From; shard <= o.To; shard++ {
			if !t.isReplica(m, shard) {
				add(NotAReplica, "%q holds no shard %d: the pin would have no effect there", o.Backend, shard)
				break
			}
		}
	default:
		refusals = append(refusals, t.checkCapacity(o)...)
	}
	return refusals
}
