package fleet

import (
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failuredetector"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

const (
	// reportInterval is the time, in seconds, between a node's own reports, and between its evaluations of all reports.
	reportInterval = 1.0
	// gossipInterval is the time, in seconds, between messages that spread reports.
	gossipInterval = 0.25
	// maxReportsPerMessage keeps a message within the size of a datagram.
	maxReportsPerMessage = 2
)

// endByOutcome maps the outcome of a subquery to the way in which the observations count it.
var endByOutcome = [...]outlier.Outcome{policy.Answered: outlier.Answered, policy.Errored: outlier.Failed, policy.Rejected: outlier.Canceled,
	policy.TimedOut: outlier.Failed, policy.NotConnected: outlier.Failed, policy.Broken: outlier.Failed, policy.Canceled: outlier.Canceled,
	policy.NotSent: outlier.Canceled}

// callObserver collects observations about the subqueries of this node.
type callObserver struct {
	observer   *outlier.Observer
	reportedAt float64 // time of the last report
}

// record counts a subquery that ended now. After each reportInterval it returns the observations to report, and due is true.
func (o *callObserver) record(now float64, backend string, outcome policy.Outcome, elapsed float64) (observations []outlier.Observation, due bool) {
	switch outcome {
	case policy.Rejected, policy.NotSent: // not counted: a full queue reports itself, and is no failure
		return nil, false
	}
	o.observer.RecordCall(now, outlier.Backend(backend), endByOutcome[outcome], elapsed)
	if now-o.reportedAt < reportInterval {
		return nil, false
	}
	o.reportedAt = now
	return o.observer.Observations(now), true
}

// outlierDetection holds the nodes' reports about backends, and the verdicts derived from them.
type outlierDetection struct {
	self    membership.Name
	store   *outlier.Store  // nil before the address and the directory are open
	version outlier.Version // version of this node's last report
	// verdictAt is the time of the last verdict about each backend that counts as an outlier.
	verdictAt     map[outlier.Backend]float64
	shardReplicas outlier.ShardReplicas
}

// report stores a report of this node, for gossip.
func (d *outlierDetection) report(now float64, observations []outlier.Observation) {
	d.version++
	report := outlier.NewReport(d.self, d.version, observations)
	d.store.Receive(now, &report)
}

// record stores the verdicts and returns those about backends that were no outliers before. It removes expired verdicts.
func (d *outlierDetection) record(now float64, verdicts []outlier.Verdict) (added []outlier.Verdict) {
	for _, verdict := range verdicts {
		if _, known := d.verdictAt[verdict.Backend]; !known {
			added = append(added, verdict)
		}
		d.verdictAt[verdict.Backend] = now
	}
	for backend, at := range d.verdictAt {
		if now-at > outlier.VerdictSeconds {
			delete(d.verdictAt, backend)
		}
	}
	return added
}

// setBackends computes which backends hold which shard. There is one shard for each cell of the layout. The backends in a cell
// hold the shard of that cell and those of the preceding width-1 cells.
func (d *outlierDetection) setBackends(layout policy.Layout, placements []aggregator.Placement) {
	cells, width := max(1, layout.Cells), max(1, layout.Width)
	d.shardReplicas = make(outlier.ShardReplicas, cells)
	for _, place := range placements {
		for j := range width {
			cell := ((int(place.Cell)-j)%cells + cells) % cells
			d.shardReplicas[cell] = append(d.shardReplicas[cell], outlier.Backend(place.Name))
		}
	}
}

func (f *Fleet) receiveReports(_ membership.Name, batch *reportBatch) {
	for i := range batch.Reports {
		f.outliers.store.Receive(f.now, &batch.Reports[i])
	}
}

func (f *Fleet) gossipReports() {
	alive := func(name membership.Name) bool { return f.detector.Status(name) != failuredetector.Dead }
	targets, reports := f.outliers.store.NextGossip(f.now, alive, maxReportsPerMessage)
	if len(reports) == 0 {
		return
	}
	fault := failpoint.Pass(failpoint.SendReports)
	for _, name := range targets {
		for range fault.Copies() {
			f.send(name, messageReports, reportBatch{reports})
		}
	}
}

// publishVerdicts passes the outliers found in the nodes' reports to the aggregator. An isolated node publishes none, so that its
// aggregator relies on its own observations.
func (f *Fleet) publishVerdicts() {
	var verdicts []outlier.Verdict
	if !f.detector.Isolated() && !failpoint.Pass(failpoint.DetectOutliers).Drop {
		verdicts = f.outliers.store.Verdicts(f.now, f.outliers.shardReplicas)
	}
	for _, verdict := range f.outliers.record(f.now, verdicts) {
		f.counters.Add("fleet", "judged", 1)
		f.logger.Info("fleet outlier detected",
			zap.String("backend", string(verdict.Backend)),
			zap.Float64("latency_factor", verdict.LatencyFactor),
			zap.Any("witnesses", verdict.Witnesses))
	}
	if len(verdicts) == 0 {
		return
	}
	observations := make([]aggregator.PeerObservation, 0, len(verdicts))
	for _, verdict := range verdicts {
		observations = append(observations, aggregator.PeerObservation{Backend: string(verdict.Backend), LatencyMultiple: verdict.LatencyFactor, ValidS: outlier.VerdictSeconds})
	}
	f.aggregatorEvents.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, PeerObservations: observations})
}
