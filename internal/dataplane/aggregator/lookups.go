package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

type partRef struct {
	lookup *Lookup
	no     int
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
	var zones *policy.Zones
	if m.gated.gate != nil {
		var admitted bool
		if zones, admitted = m.admit(lk, now); !admitted {
			return
		}
	}
	m.count.Add("lookups", "taken", 1)
	m.count.Add("lookups", "held", 1)
	m.lastID++
	lk.id = policy.LookupID(m.lastID)
	m.lookups[lk.id], m.names[lk.ID] = lk, lk
	left := lk.Wait - now.Sub(lk.Arrived).Seconds()
	e := policy.Event{Kind: policy.LookupTaken, Lookup: lk.id, No: policy.LookupNo(lk.id), Index: lk.Index,
		Customer: lk.Customer, Key: lk.Key, HasKey: lk.HasKey, Left: left, Parts: len(lk.Parts), Resent: lk.Resent, Zones: zones}
	for i := range lk.Parts {
		e.Hint += lk.Parts[i].Hint
	}
	m.events = append(m.events, e)
	if m.recorder != nil {
		m.recorder.Taken(m.seconds(now), lk.Index, lk.Customer, lk.Resent, e.Hint, lk.shards)
	}
	e.Kind, e.Parts = policy.PartTaken, 0
	for i := range lk.Parts {
		p := &lk.Parts[i]
		m.lastID++
		e.Part, e.Shard, e.Weight, e.Hint, e.Key, e.HasKey = policy.PartID(m.lastID), p.Shard, p.Weight, p.Hint, p.Key, p.HasKey
		m.parts[e.Part] = partRef{lk, i}
		m.events = append(m.events, e)
	}
}

// shards yields the shard of each part.
func (lk *Lookup) shards(yield func(policy.ShardID) bool) {
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
		delete(m.parts, policy.PartID(uint64(lk.id)+1+uint64(i)))
	}
}

func (m *Mixer) finish(id policy.LookupID, reason string, reply Reply, now time.Time) {
	lk := m.lookups[id]
	if lk == nil {
		m.log.Warn("answer for a lookup that is not held", zap.Uint64("lookup", uint64(id)), zap.String("end", reason))
		return
	}
	m.close(lk)
	m.count.Add("lookups", reason, 1)
	m.ended(lk, captureEnds[reply.End], now)
	lk.Done <- reply
}
