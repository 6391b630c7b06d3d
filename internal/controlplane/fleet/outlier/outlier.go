// Package outlier finds backends that are slow or fail at several nodes, as outlier detection in a proxy does at one. Each
// node reports what it observed itself. Reports spread by gossip (Demers and others, "Epidemic algorithms for replicated
// database maintenance", 1987); each is identified by origin and version, so that it may arrive late, twice and in any order.
//
// A verdict needs several witnesses, none of which finds fault with a third of all backends; it lapses unless it is made
// again, and leaves each shard at least half of its replicas. It only stands in for observations that a node lacks: package
// policy says where it counts.
//
// The package does no I/O, reads no clock and starts no goroutine; times are seconds.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// Backend is a backend's name in the endpoint list.
type Backend string

// Version orders the reports of one origin, across its incarnations.
type Version uint64

// Observation is what one node observed of one backend in the last decaySeconds or so.
type Observation struct {
	Backend Backend `cbor:"1,keyasint" json:"Searcher"`
	Calls   int     `cbor:"2,keyasint" json:"Calls"`
	Failed  int     `cbor:"3,keyasint,omitempty" json:"Failed"`  // recently
	Latency float64 `cbor:"4,keyasint,omitempty" json:"Latency"` // smoothed, of all calls, however they ended
}

// Report is what one node observed of all backends. Age is in seconds as of its sending, so that no two clocks are compared.
type Report struct {
	Origin       membership.Name `cbor:"1,keyasint"`
	Version      Version         `cbor:"2,keyasint"`
	Age          float64         `cbor:"3,keyasint"`
	Usual        float64         `cbor:"4,keyasint"` // median of the backends' Latency
	Evaluated    int             `cbor:"5,keyasint"` // backends with enough calls
	Bad          int             `cbor:"6,keyasint"` // of those, the ones that Bad holds for
	Observations []Observation   `cbor:"7,keyasint"` // the worst first, then those called most
}

// Verdict says that a backend is an outlier, by the reports of its witnesses.
type Verdict struct {
	Backend       Backend           `json:"searcher"`
	LatencyFactor float64           `json:"times"` // median over witnesses, in usual latencies
	Witnesses     []membership.Name `json:"witnesses"`
}

const (
	minCalls             = 3   // with fewer nothing is said of a backend
	maxFailureShare      = 0.5 // of calls; above it a backend is bad
	slowFactor           = 4.0 // times the usual latency; above it a backend is bad
	failureLatencyFactor = 8.0 // usual latencies that a backend counts for whose calls all fail
	minWitnesses         = 2   // of a verdict
	minAgreement         = 0.5 // share of the nodes with enough calls that have to find a backend bad
	// unhealthyShare is the share of bad backends above which a reporter counts as unhealthy itself.
	unhealthyShare   = 1.0 / 3
	maxObservations  = 16 // in a report: with names of 64 bytes still a datagram
	maxReportAge     = 10.0
	maxReplicaShare  = 0.5 // of a shard's replicas that may be outliers
	gossipFanout     = 2   // nodes that a report is sent to at a time
	maxTransmissions = 2   // of a report by each node: with that it reaches nearly all (Demers and others)
	// decaySeconds is the time constant with which calls are forgotten. newCallWeight is that of a call in the moving averages:
	// high, as a node hardly calls a backend any more that it finds slow.
	decaySeconds  = 10.0
	newCallWeight = 0.3
)

// VerdictSeconds is how long a verdict counts after it was last made.
const VerdictSeconds = 3.0

// Bad tells whether a backend is slow or failing, by a node's usual latency.
func (s *Observation) Bad(usual float64) bool {
	return s.Calls >= minCalls && (float64(s.Failed) > maxFailureShare*float64(s.Calls) || usual > 0 && s.Latency > slowFactor*usual)
}

// latencyFactor is how many usual latencies a backend counts for.
func (s *Observation) latencyFactor(usual float64) float64 {
	return max(s.Latency/max(usual, 1e-6), failureLatencyFactor*float64(s.Failed)/float64(max(1, s.Calls)))
}

// tally is what a node observed of one backend; calls decay, failing and latency are moving averages.
type tally struct{ calls, failing, latency, at float64 }

func (t *tally) decay(now float64) {
	t.calls, t.at = t.calls*math.Exp((t.at-now)/decaySeconds), now
}

// Observer counts how a node's own calls end. One goroutine uses it.
type Observer struct{ tallies map[Backend]*tally }

// NewObserver makes one that has counted nothing.
func NewObserver() *Observer { return &Observer{map[Backend]*tally{}} }

// End is how a call ended, as far as that says something of its backend.
type End uint8

// The ends of a call.
const (
	Answered End = iota
	Failed
	Canceled // by us: it counts only where it had taken longer than others
)

// RecordCall counts a call that ended so many seconds after it was sent.
func (o *Observer) RecordCall(now float64, backend Backend, end End, elapsed float64) {
	t := o.tallies[backend]
	switch {
	case end == Canceled && (t == nil || elapsed <= t.latency):
		return
	case t == nil:
		t = &tally{at: now, latency: elapsed}
		o.tallies[backend] = t
	}
	t.decay(now)
	t.calls++
	failed := 0.0
	if end == Failed {
		failed = 1
	}
	t.latency += newCallWeight * (elapsed - t.latency)
	t.failing += newCallWeight * (failed - t.failing)
}

// Observations is what to report now. Backends whose calls have decayed are forgotten.
func (o *Observer) Observations(now float64) (observations []Observation) {
	for _, name := range slices.Sorted(maps.Keys(o.tallies)) {
		t := o.tallies[name]
		if t.decay(now); t.calls < 0.5 {
			delete(o.tallies, name)
			continue
		}
		observations = append(observations, Observation{name, int(math.Round(t.calls)), int(math.Round(t.calls * t.failing)), t.latency})
	}
	return observations
}

// NewReport makes a report of observations: of the worst, then of those with the most calls.
func NewReport(origin membership.Name, version Version, observations []Observation) Report {
	r := Report{Origin: origin, Version: version}
	var latencies []float64
	for i := range observations {
		if observations[i].Calls >= minCalls {
			latencies = append(latencies, observations[i].Latency)
		}
	}
	if r.Evaluated = len(latencies); r.Evaluated > 0 {
		slices.Sort(latencies)
		r.Usual = latencies[(len(latencies)-1)/2]
	}
	r.Observations = slices.Clone(observations)
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

// unhealthy tells whether an origin finds fault with so many that the fault is rather its own.
func (r *Report) unhealthy() bool {
	return r.Bad >= 2 && float64(r.Bad) > unhealthyShare*float64(r.Evaluated)
}

// storedReport is a report with the time by our clock at which it was made, and how often it was sent on.
type storedReport struct {
	Report
	madeAt        float64
	transmissions int
}

// Store keeps the newest report of each node. One goroutine uses it.
type Store struct {
	self    membership.Name
	reports map[membership.Name]*storedReport
	peers   []membership.Name
	random  random.PCG
}

// NewStore makes one for a node among its peers; seed decides whom it gossips to.
func NewStore(self membership.Name, peers []membership.Name, seed uint64) *Store {
	return &Store{self: self, peers: peers, reports: map[membership.Name]*storedReport{}, random: random.PCG(seed)}
}

// Receive takes a report, ours or another's, and tells whether it is new. What is old, of no member or implausible changes
// nothing. A restarted origin's versions are above those before, as they begin at its incarnation.
func (s *Store) Receive(now float64, r *Report) bool {
	had := s.reports[r.Origin]
	switch {
	case r.Origin != s.self && !slices.Contains(s.peers, r.Origin):
		return false
	case had != nil && had.Version >= r.Version:
		return false
	case !(r.Age >= 0 && r.Age < maxReportAge) || len(r.Observations) > maxObservations || !plausible(r):
		return false
	}
	s.reports[r.Origin] = &storedReport{Report: *r, madeAt: now - r.Age}
	return true
}

// plausible tells whether a report's figures are possible.
func plausible(r *Report) bool {
	finite := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	return finite(r.Usual) && r.Bad >= 0 && r.Evaluated >= 0 && !slices.ContainsFunc(r.Observations, func(s Observation) bool {
		return !finite(s.Latency) || s.Calls < 0 || s.Failed < 0 || s.Failed > s.Calls || len(s.Backend) > 64
	})
}

// NextGossip is which reports to send to whom now: new ones, those first that find a backend bad, and at most maxReports, so
// that the load of a node does not grow with the fleet.
func (s *Store) NextGossip(now float64, alive func(membership.Name) bool, maxReports int) (to []membership.Name, reports []Report) {
	var due []*storedReport
	for name, stored := range s.reports {
		if now-stored.madeAt >= maxReportAge {
			delete(s.reports, name)
		} else if stored.transmissions < maxTransmissions {
			due = append(due, stored)
		}
	}
	slices.SortFunc(due, func(a, b *storedReport) int {
		return cmp.Or(cmp.Compare(min(b.Bad, 1), min(a.Bad, 1)), cmp.Compare(b.madeAt, a.madeAt), cmp.Compare(a.Origin, b.Origin))
	})
	for _, stored := range due[:min(maxReports, len(due))] {
		stored.transmissions++
		r := stored.Report
		r.Age = now - stored.madeAt
		reports = append(reports, r)
	}
	if len(reports) == 0 {
		return nil, nil
	}
	for _, name := range s.peers {
		if alive(name) {
			to = append(to, name)
		}
	}
	for i := range to {
		j := i + int(s.random.Unit()*float64(len(to)-i))
		to[i], to[j] = to[j], to[i]
	}
	return to[:min(gossipFanout, len(to))], reports
}

// ShardReplicas lists the backends that hold each shard. Shards with the same backends stand in it once.
type ShardReplicas [][]Backend

// Verdicts are the outliers by the reports of other nodes; this node's own observations reach the policy without them. They
// are sorted by LatencyFactor, the worst first.
func (s *Store) Verdicts(now float64, replicas ShardReplicas) (verdicts []Verdict) {
	type evidence struct {
		bad, fine []membership.Name
		times     []float64
	}
	byBackend := map[Backend]*evidence{}
	for _, origin := range slices.Sorted(maps.Keys(s.reports)) {
		stored := s.reports[origin]
		if origin == s.self || now-stored.madeAt >= maxReportAge || stored.unhealthy() {
			continue
		}
		for i := range stored.Observations {
			observation := &stored.Observations[i]
			found := byBackend[observation.Backend]
			if found == nil {
				found = &evidence{}
				byBackend[observation.Backend] = found
			}
			switch {
			case observation.Bad(stored.Usual):
				found.bad = append(found.bad, origin)
				found.times = append(found.times, observation.latencyFactor(stored.Usual))
			case observation.Calls >= minCalls:
				found.fine = append(found.fine, origin)
			}
		}
	}
	for name, found := range byBackend {
		if n := len(found.bad); n >= minWitnesses && float64(n) >= minAgreement*float64(n+len(found.fine)) {
			slices.Sort(found.times)
			verdicts = append(verdicts, Verdict{name, found.times[(n-1)/2], found.bad})
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.LatencyFactor, a.LatencyFactor), cmp.Compare(a.Backend, b.Backend))
	})
	return limitPerShard(verdicts, replicas)
}

// limitPerShard drops the verdicts, the mildest first, that would leave a shard too few replicas, and those on backends of no
// shard.
func limitPerShard(verdicts []Verdict, replicas ShardReplicas) (limited []Verdict) {
	excluded := map[Backend]bool{}
	for _, verdict := range verdicts {
		excluded[verdict.Backend] = true
		known, over := false, false
		for _, shard := range replicas {
			if !slices.Contains(shard, verdict.Backend) {
				continue
			}
			known = true
			n := 0
			for _, name := range shard {
				if excluded[name] {
					n++
				}
			}
			over = over || float64(n) > maxReplicaShare*float64(len(shard))
		}
		if over || !known {
			delete(excluded, verdict.Backend)
			continue
		}
		limited = append(limited, verdict)
	}
	return limited
}

// Summary is a node's last report in short, for operators.
type Summary struct {
	Origin    membership.Name `json:"mixer"`
	Age       float64         `json:"s_ago"`
	Evaluated int             `json:"of"`
	Usual     float64         `json:"usual_s"`
	Worst     Observation     `json:"worst"`
	Unhealthy bool            `json:"sick,omitempty"` // its report counts for nothing
	Bad       []Backend       `json:"bad,omitempty"`
}

// Summaries are of the newest report of each node.
func (s *Store) Summaries(now float64) (summaries []Summary) {
	for _, origin := range slices.Sorted(maps.Keys(s.reports)) {
		stored := s.reports[origin]
		summary := Summary{Origin: origin, Age: now - stored.madeAt, Evaluated: stored.Evaluated, Usual: stored.Usual, Unhealthy: stored.unhealthy()}
		if len(stored.Observations) > 0 {
			summary.Worst = stored.Observations[0]
		}
		for i := range stored.Observations {
			if stored.Observations[i].Bad(stored.Usual) {
				summary.Bad = append(summary.Bad, stored.Observations[i].Backend)
			}
		}
		summaries = append(summaries, summary)
	}
	return summaries
}
