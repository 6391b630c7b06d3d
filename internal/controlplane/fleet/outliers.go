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

// recordObservations takes what this node saw itself.
func (f *Fleet) recordObservations(seen []outlier.Observation) {
	if f.detector == nil {
		return
	}
	f.reportVersion++
	r := outlier.NewReport(f.settings.Self, f.reportVersion, seen)
	f.reports.Receive(f.now, &r)
}

func (f *Fleet) receiveReports(_ membership.Name, r *reportBatch) {
	for i := range r.List {
		f.reports.Receive(f.now, &r.List[i])
	}
}

func (f *Fleet) gossipReports() {
	alive := func(name membership.Name) bool { return f.detector.Status(name) != failuredetector.Dead }
	to, list := f.reports.NextGossip(f.now, alive, maxReportsPerMessage)
	if len(list) == 0 {
		return
	}
	fault := failpoint.Pass(failpoint.SendReports)
	for _, name := range to {
		for range fault.Times() {
			f.send(name, messageReports, reportBatch{list})
		}
	}
}

// publishVerdicts hands the module what others found. A node that hears nothing decides as if it were alone.
func (f *Fleet) publishVerdicts() {
	var list []outlier.Verdict
	if !f.detector.Isolated() && !failpoint.Pass(failpoint.DetectOutliers).Drop {
		list = f.reports.Verdicts(f.now, f.shardReplicas)
	}
	var tell []aggregator.Judged
	for _, j := range list {
		if _, before := f.verdictAt[j.Backend]; !before {
			f.counters.Add("fleet", "judged", 1)
			f.logger.Info("fleet: judged by others",
				zap.String("searcher", string(j.Backend)),
				zap.Float64("times", j.LatencyFactor),
				zap.Any("witnesses", j.Witnesses))
		}
		f.verdictAt[j.Backend] = f.now
		tell = append(tell, aggregator.Judged{Backend: string(j.Backend), Times: j.LatencyFactor, For: outlier.VerdictSeconds})
	}
	for name, at := range f.verdictAt {
		if f.now-at > outlier.VerdictSeconds {
			delete(f.verdictAt, name)
		}
	}
	if len(tell) > 0 {
		f.aggregatorEvents.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, Judged: tell})
	}
}

// setBackends works out who holds which shards, by the cells.
func (f *Fleet) setBackends(places []aggregator.Place) {
	cells, width := max(1, f.settings.Layout.Cells), max(1, f.settings.Layout.Width)
	f.shardReplicas = make(outlier.ShardReplicas, cells)
	for _, p := range places {
		for j := range width {
			c := ((int(p.Cell)-j)%cells + cells) % cells
			f.shardReplicas[c] = append(f.shardReplicas[c], outlier.Backend(p.Name))
		}
	}
}
