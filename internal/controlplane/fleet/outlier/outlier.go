// Package outlier detects backends that are slow or failing as seen by several nodes. It extends the outlier detection that a
// proxy does on its own to a fleet. Each node reports its own observations. Reports spread by gossip (Demers and others,
// "Epidemic algorithms for replicated database maintenance", 1987). A report is identified by its origin and version, so that
// it may arrive late, more than once and in any order.
//
// A verdict requires several witnesses. Reports of a node that finds more than a third of its backends bad are ignored. Verdicts
// leave each shard at least half of its replicas. A verdict expires unless it is renewed. It only replaces observations that a
// node lacks; package policy defines where it applies.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in seconds.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// Backend is the name of a backend in the endpoint list.
type Backend string

// Version orders the reports of one origin, also across its incarnations.
type Version uint64

// Observation is what one node observed of one backend in about the last decaySeconds.
type Observation struct {
	Backend Backend `cbor:"1,keyasint" json:"Searcher"`
	Calls   int     `cbor:"2,keyasint" json:"Calls"`
	Failed  int     `cbor:"3,keyasint,omitempty" json:"Failed"`  // of Calls, by the recent share of failures
	Latency float64 `cbor:"4,keyasint,omitempty" json:"Latency"` // moving average over all calls, successful or not
}

// Report is what one node observed of all backends. Age is its age in seconds when it was sent, so that the clocks of two nodes
// are never compared.
type Report struct {
	Origin        membership.Name `cbor:"1,keyasint"`
	Version       Version         `cbor:"2,keyasint"`
	Age           float64         `cbor:"3,keyasint"`
	MedianLatency float64         `cbor:"4,keyasint"` // median latency of the backends with enough calls
	Evaluated     int             `cbor:"5,keyasint"` // backends with enough calls
	BadCount      int             `cbor:"6,keyasint"` // backends that are bad, see Observation.IsBad
	Observations  []Observation   `cbor:"7,keyasint"` // the worst first, then those with the most calls
}

// Verdict states that a backend is an outlier according to the reports of its witnesses.
type Verdict struct {
	Backend       Backend           `json:"searcher"`
	LatencyFactor float64           `json:"times"` // latency as a multiple of the median latency; median over the witnesses
	Witnesses     []membership.Name `json:"witnesses"`
}

const (
	minCalls             = 3   // a backend with fewer calls is not evaluated
	maxFailureShare      = 0.5 // a backend with a larger share of failed calls is bad
	slowFactor           = 4.0 // a backend with a larger multiple of the median latency is bad
	failureLatencyFactor = 8.0 // latency factor of a backend whose calls all fail
	minWitnesses         = 2   // for a verdict
	minAgreement         = 0.5 // share of the nodes with enough calls that must find a backend bad
	// unhealthyShare is the share of bad backends above which the reporting node itself counts as unhealthy.
	unhealthyShare    = 1.0 / 3
	maxObservations   = 16   // in a report, which still fits into a datagram with names of 64 bytes
	maxReportAge      = 10.0 // seconds; older reports are ignored
	maxReplicaShare   = 0.5  // share of the replicas of a shard that may be outliers
	gossipFanout      = 2    // nodes that a report is sent to each time
	maxSendsPerReport = 2    // by each node, which is enough to reach nearly all nodes (Demers and others)
	// decaySeconds is the time constant of the exponential decay of the number of calls.
	decaySeconds = 10.0
	// newCallWeight is the weight of a new call in the moving averages. It is high because a node rarely calls a backend that it
	// has found slow.
	newCallWeight = 0.3
)

// VerdictSeconds is how long a verdict applies after it was last renewed.
const VerdictSeconds = 3.0

// IsBad reports whether a backend is slow compared to the median latency at the node, or failing.
func (o *Observation) IsBad(medianLatency float64) bool {
	return o.Calls >= minCalls && (float64(o.Failed) > maxFailureShare*float64(o.Calls) || medianLatency > 0 && o.Latency > slowFactor*medianLatency)
}

// latencyFactor returns the latency of a backend as a multiple of the median latency. Failures count as high latency.
func (o *Observation) latencyFactor(medianLatency float64) float64 {
	return max(o.Latency/max(medianLatency, 1e-6), failureLatencyFactor*float64(o.Failed)/float64(max(1, o.Calls)))
}

// callStats are the statistics of the calls of a node to one backend. callCount decays with time. failureShare and latency are
// moving averages.
type callStats struct{ callCount, failureShare, latency, updatedAt float64 }

func (c *callStats) decay(now float64) {
	c.callCount, c.updatedAt = c.callCount*math.Exp((c.updatedAt-now)/decaySeconds), now
}

// Observer collects statistics on the calls of one node. It must be used by one goroutine only.
type Observer struct{ stats map[Backend]*callStats }

// NewObserver returns an observer without any calls.
func NewObserver() *Observer { return &Observer{map[Backend]*callStats{}} }

// Outcome is how a call ended, as far as it says something about the backend.
type Outcome uint8

// The outcomes of a call.
const (
	Answered Outcome = iota
	Failed
	Canceled // by this node; it counts only if it took longer than the average call
)

// RecordCall records a call that ended elapsed seconds after it was sent.
func (o *Observer) RecordCall(now float64, backend Backend, outcome Outcome, elapsed float64) {
	stats := o.stats[backend]
	switch {
	case outcome == Canceled && (stats == nil || elapsed <= stats.latency):
		return
	case stats == nil:
		stats = &callStats{updatedAt: now, latency: elapsed}
		o.stats[backend] = stats
	}
	stats.decay(now)
	stats.callCount++
	failed := 0.0
	if outcome == Failed {
		failed = 1
	}
	stats.latency += newCallWeight * (elapsed - stats.latency)
	stats.failureShare += newCallWeight * (failed - stats.failureShare)
}

// Observations returns the observations to report at the time now. It removes backends without recent calls.
func (o *Observer) Observations(now float64) (observations []Observation) {
	for _, name := range slices.Sorted(maps.Keys(o.stats)) {
		stats := o.stats[name]
		if stats.decay(now); stats.callCount < 0.5 {
			delete(o.stats, name)
			continue
		}
		observations = append(observations, Observation{name, int(math.Round(stats.callCount)), int(math.Round(stats.callCount * stats.failureShare)), stats.latency})
	}
	return observations
}

// NewReport returns a report with the worst of the observations, followed by those with the most calls, up to maxObservations.
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
		r.MedianLatency = latencies[(len(latencies)-1)/2]
	}
	r.Observations = slices.Clone(observations)
	badness := func(s *Observation) float64 {
		if !s.IsBad(r.MedianLatency) {
			return 0
		}
		return s.latencyFactor(r.MedianLatency)
	}
	slices.SortStableFunc(r.Observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(badness(&b), badness(&a)), cmp.Compare(b.Calls, a.Calls))
	})
	for i := range r.Observations {
		if r.Observations[i].IsBad(r.MedianLatency) {
			r.BadCount++
		}
	}
	r.Observations = r.Observations[:min(len(r.Observations), maxObservations)]
	return r
}

// unhealthy reports whether the origin finds so many backends bad that the cause is probably the origin itself.
func (r *Report) unhealthy() bool {
	return r.BadCount >= 2 && float64(r.BadCount) > unhealthyShare*float64(r.Evaluated)
}

// storedReport is a report with the time by the clock of this node at which it was made, and how often this node has sent it.
type storedReport struct {
	Report
	madeAt float64
	sends  int
}

// Store keeps the newest report of each node. It must be used by one goroutine only.
type Store struct {
	self    membership.Name
	reports map[membership.Name]*storedReport
	peers   []membership.Name
	random  random.PCG
}

// NewStore returns a store for the node self. seed determines which peers it gossips to.
func NewStore(self membership.Name, peers []membership.Name, seed uint64) *Store {
	return &Store{self: self, peers: peers, reports: map[membership.Name]*storedReport{}, random: random.PCG(seed)}
}

// Receive stores a report of this or another node, and reports whether it is new. A report that is old, implausible or from a
// node outside of the membership changes nothing. After a restart of the origin its versions are higher than before, because
// they start at its incarnation.
func (s *Store) Receive(now float64, r *Report) bool {
	previous := s.reports[r.Origin]
	switch {
	case r.Origin != s.self && !slices.Contains(s.peers, r.Origin):
		return false
	case previous != nil && previous.Version >= r.Version:
		return false
	case !(r.Age >= 0 && r.Age < maxReportAge) || len(r.Observations) > maxObservations || !plausible(r):
		return false
	}
	s.reports[r.Origin] = &storedReport{Report: *r, madeAt: now - r.Age}
	return true
}

// plausible reports whether the values of a report are possible.
func plausible(r *Report) bool {
	finite := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	return finite(r.MedianLatency) && r.BadCount >= 0 && r.Evaluated >= 0 && !slices.ContainsFunc(r.Observations, func(s Observation) bool {
		return !finite(s.Latency) || s.Calls < 0 || s.Failed < 0 || s.Failed > s.Calls || len(s.Backend) > 64
	})
}

// NextGossip returns the reports to send now, and the nodes to send them to. It prefers reports that find a backend bad, then newer
// ones. It returns at most maxReports, so that the load of a node does not grow with the fleet.
func (s *Store) NextGossip(now float64, alive func(membership.Name) bool, maxReports int) (recipients []membership.Name, reports []Report) {
	var due []*storedReport
	for name, stored := range s.reports {
		if now-stored.madeAt >= maxReportAge {
			delete(s.reports, name)
		} else if stored.sends < maxSendsPerReport {
			due = append(due, stored)
		}
	}
	slices.SortFunc(due, func(a, b *storedReport) int {
		return cmp.Or(cmp.Compare(min(b.BadCount, 1), min(a.BadCount, 1)), cmp.Compare(b.madeAt, a.madeAt), cmp.Compare(a.Origin, b.Origin))
	})
	for _, stored := range due[:min(maxReports, len(due))] {
		stored.sends++
		r := stored.Report
		r.Age = now - stored.madeAt
		reports = append(reports, r)
	}
	if len(reports) == 0 {
		return nil, nil
	}
	for _, name := range s.peers {
		if alive(name) {
			recipients = append(recipients, name)
		}
	}
	for i := range recipients {
		j := i + int(s.random.Unit()*float64(len(recipients)-i))
		recipients[i], recipients[j] = recipients[j], recipients[i]
	}
	return recipients[:min(gossipFanout, len(recipients))], reports
}

// ShardReplicas lists the backends that hold each shard. Shards with the same backends share one entry.
type ShardReplicas [][]Backend

// Verdicts returns the outliers according to the reports of other nodes, sorted by LatencyFactor, the worst first. The own
// observations of this node are left out, because package policy uses them directly.
func (s *Store) Verdicts(now float64, replicas ShardReplicas) (verdicts []Verdict) {
	type evidence struct {
		bad, good      []membership.Name
		latencyFactors []float64
	}
	byBackend := map[Backend]*evidence{}
	for _, origin := range slices.Sorted(maps.Keys(s.reports)) {
		stored := s.reports[origin]
		if origin == s.self || now-stored.madeAt >= maxReportAge || stored.unhealthy() {
			continue
		}
		for i := range stored.Observations {
			observation := &stored.Observations[i]
			reported := byBackend[observation.Backend]
			if reported == nil {
				reported = &evidence{}
				byBackend[observation.Backend] = reported
			}
			switch {
			case observation.IsBad(stored.MedianLatency):
				reported.bad = append(reported.bad, origin)
				reported.latencyFactors = append(reported.latencyFactors, observation.latencyFactor(stored.MedianLatency))
			case observation.Calls >= minCalls:
				reported.good = append(reported.good, origin)
			}
		}
	}
	for name, reported := range byBackend {
		if badCount := len(reported.bad); badCount >= minWitnesses && float64(badCount) >= minAgreement*float64(badCount+len(reported.good)) {
			slices.Sort(reported.latencyFactors)
			verdicts = append(verdicts, Verdict{name, reported.latencyFactors[(badCount-1)/2], reported.bad})
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.LatencyFactor, a.LatencyFactor), cmp.Compare(a.Backend, b.Backend))
	})
	return limitPerShard(verdicts, replicas)
}

// limitPerShard drops the verdicts that would leave a shard too few replicas, the mildest first. It also drops those on backends
// without a shard.
func limitPerShard(verdicts []Verdict, replicas ShardReplicas) (limited []Verdict) {
	excluded := map[Backend]bool{}
	for _, verdict := range verdicts {
		excluded[verdict.Backend] = true
		inShard, overLimit := false, false
		for _, shard := range replicas {
			if !slices.Contains(shard, verdict.Backend) {
				continue
			}
			inShard = true
			excludedReplicas := 0
			for _, name := range shard {
				if excluded[name] {
					excludedReplicas++
				}
			}
			overLimit = overLimit || float64(excludedReplicas) > maxReplicaShare*float64(len(shard))
		}
		if overLimit || !inShard {
			delete(excluded, verdict.Backend)
			continue
		}
		limited = append(limited, verdict)
	}
	return limited
}

// Summary is a summary of the last report of a node, for operators.
type Summary struct {
	Origin        membership.Name `json:"mixer"`
	Age           float64         `json:"s_ago"`
	Evaluated     int             `json:"of"`
	MedianLatency float64         `json:"usual_s"`
	Worst         Observation     `json:"worst"`
	Unhealthy     bool            `json:"sick,omitempty"` // its report is ignored
	Bad           []Backend       `json:"bad,omitempty"`
}

// Summaries returns a summary of the newest report of each node.
func (s *Store) Summaries(now float64) (summaries []Summary) {
	for _, origin := range slices.Sorted(maps.Keys(s.reports)) {
		stored := s.reports[origin]
		summary := Summary{Origin: origin, Age: now - stored.madeAt, Evaluated: stored.Evaluated, MedianLatency: stored.MedianLatency, Unhealthy: stored.unhealthy()}
		if len(stored.Observations) > 0 {
			summary.Worst = stored.Observations[0]
		}
		for i := range stored.Observations {
			if stored.Observations[i].IsBad(stored.MedianLatency) {
				summary.Bad = append(summary.Bad, stored.Observations[i].Backend)
			}
		}
		summaries = append(summaries, summary)
	}
	return summaries
}
