// Package outlier is what nodes tell each other of backends, and what may be made of it. Each tells of what it saw
// itself, by origin and version, so that it may come late, twice and in any order; what it was told it only passes on.
// It does no I/O, reads no clock and starts no goroutine.
//
// A verdict needs several witnesses, none of whom finds fault with nearly everybody, ends by itself, and leaves each
// shard most of its holders. It only ever stands in for evidence that a node lacks: logic says where it counts.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// Backend is one by its name in the list.
type Backend string

// Version counts the reports of one origin, across its incarnations.
type Version uint64

// Seen is what one node saw of one backend of late.
type Observation struct {
	Backend Backend `cbor:"1,keyasint" json:"Searcher"`
	Calls   int     `cbor:"2,keyasint" json:"Calls"`
	Failed  int     `cbor:"3,keyasint,omitempty" json:"Failed"`  // as many of them as fail of late
	Latency float64 `cbor:"4,keyasint,omitempty" json:"Latency"` // smoothed, of how long its calls took, however they ended
}

// Report is what one node saw of all. Age is how old it was when it was sent on, so that no two clocks are compared.
type Report struct {
	Origin       membership.Name `cbor:"1,keyasint"`
	Version      Version         `cbor:"2,keyasint"`
	Age          float64         `cbor:"3,keyasint"`
	Usual        float64         `cbor:"4,keyasint"` // median over backends of Latency
	Evaluated    int             `cbor:"5,keyasint"` // backends of which it saw enough
	Bad          int             `cbor:"6,keyasint"` // of them, that it finds fault with
	Observations []Observation   `cbor:"7,keyasint"` // the worst first, then those called most
}

// Verdict is what is made of a backend.
type Verdict struct {
	Backend       Backend           `json:"searcher"`
	LatencyFactor float64           `json:"times"` // of the usual latency
	Witnesses     []membership.Name `json:"witnesses"`
}

const (
	minCalls             = 3   // calls of which a share says something
	maxFailureShare      = 0.5 // share of calls that fail, from which a backend is found bad
	slowFactor           = 4.0 // times the usual latency, from which it is
	failureLatencyFactor = 8.0 // usual latencies that one that fails counts for
	minWitnesses         = 2   // at the least
	minAgreement         = 0.5 // share of those who saw it that have to find it bad
	unhealthyShare       = 1.0 / 3
	maxObservations      = 16 // backends that a report names: with names of 64 bytes still a datagram
	maxReportAge         = 10.0
	maxReplicaShare      = 0.5 // share of a shard's holders that may be judged
	gossipFanout         = 2   // others that a report is passed on to at a time
	maxTransmissions     = 2   // times that it is: with that nearly all of a fleet hear of it (Demers and others, 1987)
	// decaySeconds is the time over which calls seen are forgotten; latest is the weight of a new one in the rest: a node calls
	// a backend that it finds slow no more, so that a few calls have to say it.
	decaySeconds  = 10.0
	newCallWeight = 0.3
)

// VerdictSeconds is how long a verdict stands after it was last made.
const VerdictSeconds = 3.0

// Bad tells whether somebody whose usual latency that is finds fault with a backend.
func (s *Observation) Bad(usual float64) bool {
	return s.Calls >= minCalls && (float64(s.Failed) > maxFailureShare*float64(s.Calls) || usual > 0 && s.Latency > slowFactor*usual)
}

// latencyFactor is how many usual latencies a backend counts for.
func (s *Observation) latencyFactor(usual float64) float64 {
	return max(s.Latency/max(usual, 1e-6), failureLatencyFactor*float64(s.Failed)/float64(max(1, s.Calls)))
}

// tally is what a node saw of one backend, fading.
type tally struct{ calls, failing, latency, at float64 }

func (t *tally) decay(now float64) {
	t.calls, t.at = t.calls*math.Exp((t.at-now)/decaySeconds), now
}

// Observer counts what a node sees itself. The module's actor uses it.
type Observer struct{ tallies map[Backend]*tally }

// NewObserver has counted nothing yet.
func NewObserver() *Observer { return &Observer{map[Backend]*tally{}} }

// End is how a call ended, as far as it says something of its backend.
type End uint8

// The ends of a call.
const (
	Answered End = iota
	Failed
	Canceled // by us, before it ended: it says something only where it had taken longer than others
)

// RecordCall counts a call that ended so many seconds after it was sent.
func (o *Observer) RecordCall(now float64, s Backend, how End, elapsed float64) {
	t := o.tallies[s]
	switch {
	case how == Canceled && (t == nil || elapsed <= t.latency):
		return
	case t == nil:
		t = &tally{at: now, latency: elapsed}
		o.tallies[s] = t
	}
	t.decay(now)
	t.calls++
	failed := 0.0
	if how == Failed {
		failed = 1
	}
	t.latency += newCallWeight * (elapsed - t.latency)
	t.failing += newCallWeight * (failed - t.failing)
}

// Observations is what is to be told of now. What has faded to nothing is forgotten.
func (o *Observer) Observations(now float64) (seen []Observation) {
	for _, name := range slices.Sorted(maps.Keys(o.tallies)) {
		t := o.tallies[name]
		if t.decay(now); t.calls < 0.5 {
			delete(o.tallies, name)
			continue
		}
		seen = append(seen, Observation{name, int(math.Round(t.calls)), int(math.Round(t.calls * t.failing)), t.latency})
	}
	return seen
}

// NewReport makes a report of what was seen.
func NewReport(origin membership.Name, version Version, seen []Observation) Report {
	r := Report{Origin: origin, Version: version}
	var latencies []float64
	for i := range seen {
		if seen[i].Calls >= minCalls {
			latencies = append(latencies, seen[i].Latency)
		}
	}
	if r.Evaluated = len(latencies); r.Evaluated > 0 {
		slices.Sort(latencies)
		r.Usual = latencies[(len(latencies)-1)/2]
	}
	r.Observations = slices.Clone(seen)
	badness := func(s *Observation) float64 {
		if !s.Bad(r.Usual) {
			return 0
		}
		return s.latencyFactor(r.Usual)
	}
	slices.SortStableFunc(r.Observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(badness(&b), badness(&a)), cmp.Compare(b.Calls, a.Calls))
	})
	for i := range r.Observations {
		if r.Observations[i].Bad(r.Usual) {
			r.Bad++
		}
	}
	r.Observations = r.Observations[:min(len(r.Observations), maxObservations)]
	return r
}

// unhealthy tells whether an origin finds fault with so many that it is rather itself.
func (r *Report) unhealthy() bool {
	return r.Bad >= 2 && float64(r.Bad) > unhealthyShare*float64(r.Evaluated)
}

// storedReport is a report with the time at which it was made, by our clock, and how often it was passed on.
type storedReport struct {
	Report
	madeAt        float64
	transmissions int
}

// Store keeps the newest report of each node.
type Store struct {
	self    membership.Name
	reports map[membership.Name]*storedReport
	others  []membership.Name
	random  random.PCG
}

// NewStore makes one for a node among others.
func NewStore(self membership.Name, others []membership.Name, seed uint64) *Store {
	return &Store{self: self, others: others, reports: map[membership.Name]*storedReport{}, random: random.PCG(seed)}
}

// Receive takes a report, ours or another's; what is old, of nobody or malformed changes nothing. The version of an origin
// that began anew is above those before, as it begins at its incarnation.
func (s *Store) Receive(now float64, r *Report) bool {
	had := s.reports[r.Origin]
	switch {
	case r.Origin != s.self && !slices.Contains(s.others, r.Origin):
		return false
	case had != nil && had.Version >= r.Version:
		return false
	case !(r.Age >= 0 && r.Age < maxReportAge) || len(r.Observations) > maxObservations || !plausible(r):
		return false
	}
	s.reports[r.Origin] = &storedReport{Report: *r, madeAt: now - r.Age}
	return true
}

// plausible tells whether the figures of a report can be.
func plausible(r *Report) bool {
	finite := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	return finite(r.Usual) && r.Bad >= 0 && r.Evaluated >= 0 && !slices.ContainsFunc(r.Observations, func(s Observation) bool {
		return !finite(s.Latency) || s.Calls < 0 || s.Failed < 0 || s.Failed > s.Calls || len(s.Backend) > 64
	})
}

// NextGossip is what to tell whom now: a report that is new goes to a few others at a time, those first that find fault with
// somebody, and no more than so many at a time: what a node sends is level, whatever the fleet's size.
func (s *Store) NextGossip(now float64, alive func(membership.Name) bool, most int) (to []membership.Name, list []Report) {
	var due []*storedReport
	for name, k := range s.reports {
		if now-k.madeAt >= maxReportAge {
			delete(s.reports, name)
		} else if k.transmissions < maxTransmissions {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b *storedReport) int {
		return cmp.Or(cmp.Compare(min(b.Bad, 1), min(a.Bad, 1)), cmp.Compare(b.madeAt, a.madeAt), cmp.Compare(a.Origin, b.Origin))
	})
	for _, k := range due[:min(most, len(due))] {
		k.transmissions++
		r := k.Report
		r.Age = now - k.madeAt
		list = append(list, r)
	}
	if len(list) == 0 {
		return nil, nil
	}
	for _, name := range s.others {
		if alive(name) {
			to = append(to, name)
		}
	}
	for i := range to {
		j := i + int(s.random.Unit()*float64(len(to)-i))
		to[i], to[j] = to[j], to[i]
	}
	return to[:min(gossipFanout, len(to))], list
}

// ShardReplicas lists, for each shard that differs in it, who holds it.
type ShardReplicas [][]Backend

// Verdicts makes verdicts of what others saw. Ours is no witness: what we saw ourselves the module knows already. With
// most of a shard's holders judged, the worst of them are.
func (s *Store) Verdicts(now float64, holders ShardReplicas) (list []Verdict) {
	type found struct {
		bad, fine []membership.Name
		times     []float64
	}
	all := map[Backend]*found{}
	for _, origin := range slices.Sorted(maps.Keys(s.reports)) {
		k := s.reports[origin]
		if origin == s.self || now-k.madeAt >= maxReportAge || k.unhealthy() {
			continue
		}
		for i := range k.Observations {
			seen := &k.Observations[i]
			f := all[seen.Backend]
			if f == nil {
				f = &found{}
				all[seen.Backend] = f
			}
			switch {
			case seen.Bad(k.Usual):
				f.bad = append(f.bad, origin)
				f.times = append(f.times, seen.latencyFactor(k.Usual))
			case seen.Calls >= minCalls:
				f.fine = append(f.fine, origin)
			}
		}
	}
	for name, f := range all {
		if n := len(f.bad); n >= minWitnesses && float64(n) >= minAgreement*float64(n+len(f.fine)) {
			slices.Sort(f.times)
			list = append(list, Verdict{name, f.times[(n-1)/2], f.bad})
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.LatencyFactor, a.LatencyFactor), cmp.Compare(a.Backend, b.Backend))
	})
	return limitPerShard(list, holders)
}

// limitPerShard leaves out those that would leave too few of a shard's holders.
func limitPerShard(list []Verdict, holders ShardReplicas) (kept []Verdict) {
	judged := map[Backend]bool{}
	for _, j := range list {
		judged[j.Backend] = true
		known, over := false, false
		for _, held := range holders {
			if !slices.Contains(held, j.Backend) {
				continue
			}
			known = true
			n := 0
			for _, name := range held {
				if judged[name] {
					n++
				}
			}
			over = over || float64(n) > maxReplicaShare*float64(len(held))
		}
		if over || !known {
			delete(judged, j.Backend)
			continue
		}
		kept = append(kept, j)
	}
	return kept
}

// Heard is what a node told last, in short.
type Summary struct {
	Origin    membership.Name `json:"mixer"`
	Age       float64         `json:"s_ago"`
	Evaluated int             `json:"of"`
	Usual     float64         `json:"usual_s"`
	Worst     Observation     `json:"worst"`
	Unhealthy bool            `json:"sick,omitempty"` // it finds fault with so many that it counts for nothing
	Bad       []Backend       `json:"bad,omitempty"`
}

// Heard lists what is known of each node's reports.
func (s *Store) Summaries(now float64) (list []Summary) {
	for _, origin := range slices.Sorted(maps.Keys(s.reports)) {
		k := s.reports[origin]
		h := Summary{Origin: origin, Age: now - k.madeAt, Evaluated: k.Evaluated, Usual: k.Usual, Unhealthy: k.unhealthy()}
		if len(k.Observations) > 0 {
			h.Worst = k.Observations[0]
		}
		for i := range k.Observations {
			if k.Observations[i].Bad(k.Usual) {
				h.Bad = append(h.Bad, k.Observations[i].Backend)
			}
		}
		list = append(list, h)
	}
	return list
}
