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
	reportInterval       = 1.0 // of a node's own report, and of verdicts
	gossipInterval       = 0.25
	maxReportsPerMessage = 2 // a datagram's worth
)

// callEnds says what the outcome of a subquery counts as in the observations.
var callEnds = [...]outlier.Outcome{policy.Answered: outlier.Answered, policy.Errored: outlier.Failed, policy.Rejected: outlier.Canceled,
	policy.TimedOut: outlier.Failed, policy.NotConnected: outlier.Failed, policy.Broken: outlier.Failed, policy.Canceled: outlier.Canceled,
	policy.NotSent: outlier.Canceled}

// callObserver counts this node's own subqueries.
type callObserver struct {
	observer *outlier.Observer
	sentAt   float64 // when observations were last handed on
}

// record counts one subquery that ended now. Once each reportInterval due is set, with the observations to report.
func (o *callObserver) record(now float64, backend string, outcome policy.Outcome, elapsed float64) (observations []outlier.Observation, due bool) {
	switch outcome {
	case policy.Rejected, policy.NotSent: // a full queue reports itself, and is no fault
		return nil, false
	}
	o.observer.RecordCall(now, outlier.Backend(backend), callEnds[outcome], elapsed)
	if now-o.sentAt < reportInterval {
		return nil, false
	}
	o.sentAt = now
	return o.observer.Observations(now), true
}

// outlierDetection keeps the nodes' reports about backends, and the verdicts that follow from them.
type outlierDetection struct {
	self    membership.Name
	store   *outlier.Store  // nil before the fleet is open
	version outlier.Version // of our last report
	// verdictAt is when each backend that counts as an outlier was last found to be one.
	verdictAt     map[outlier.Backend]float64
	shardReplicas outlier.ShardReplicas
}

// report stores our own report, for gossip.
func (d *outlierDetection) report(now float64, observations []outlier.Observation) {
	d.version++
	report := outlier.NewReport(d.self, d.version, observations)
	d.store.Receive(now, &report)
}

// record notes verdicts, and returns those that are new. Older ones lapse.
func (d *outlierDetection) record(now float64, verdicts []outlier.Verdict) (fresh []outlier.Verdict) {
	for _, verdict := range verdicts {
		if _, known := d.verdictAt[verdict.Backend]; !known {
			fresh = append(fresh, verdict)
		}
		d.verdictAt[verdict.Backend] = now
	}
	for backend, at := range d.verdictAt {
		if now-at > outlier.VerdictSeconds {
			delete(d.verdictAt, backend)
		}
	}
	return fresh
}

// setBackends works out which backends hold which shards: the cells of a layout, each held in so many neighbouring ones.
func (d *outlierDetection) setBackends(layout policy.Layout, places []aggregator.Placement) {
	cells, width := max(1, layout.Cells), max(1, layout.Width)
	d.shardReplicas = make(outlier.ShardReplicas, cells)
	for _, place := range places {
		for j := range width {
			cell := ((int(place.Cell)-j)%cells + cells) % cells
			d.shardReplicas[cell] = append(d.shardReplicas[cell], outlier.Backend(place.Name))
		}
	}
}

func (f *Fleet) receiveReports(_ membership.Name, batch *reportBatch) {
	for i := range batch.List {
		f.outliers.store.Receive(f.now, &batch.List[i])
	}
}

func (f *Fleet) gossipReports() {
	alive := func(name membership.Name) bool { return f.detector.Status(name) != failuredetector.Dead }
	to, list := f.outliers.store.NextGossip(f.now, alive, maxReportsPerMessage)
	if len(list) == 0 {
		return
	}
	fault := failpoint.Pass(failpoint.SendReports)
	for _, name := range to {
		for range fault.Copies() {
			f.send(name, messageReports, reportBatch{list})
		}
	}
}

// publishVerdicts hands the aggregator the outliers that other nodes' reports make. An isolated node decides by itself.
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
	judged := make([]aggregator.PeerObservation, 0, len(verdicts))
	for _, verdict := range verdicts {
		judged = append(judged, aggregator.PeerObservation{Backend: string(verdict.Backend), LatencyMultiple: verdict.LatencyFactor, ValidS: outlier.VerdictSeconds})
	}
	f.aggregatorEvents.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, PeerObservations: judged})
}
