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

// saw takes what this node saw itself.
func (f *Fleet) saw(seen []outlier.Seen) {
	if f.members == nil {
		return
	}
	f.version++
	r := outlier.Make(f.set.Self, f.version, seen)
	f.outliers.Hear(f.now, &r)
}

func (f *Fleet) reported(_ membership.Name, r *reports) {
	for i := range r.List {
		f.outliers.Hear(f.now, &r.List[i])
	}
}

func (f *Fleet) pass() {
	alive := func(name membership.Name) bool { return f.members.Status(name) != failuredetector.Dead }
	to, list := f.outliers.Pass(f.now, alive, mostReports)
	if len(list) == 0 {
		return
	}
	fault := failpoint.Pass(failpoint.TellReport)
	for _, name := range to {
		for range fault.Times() {
			f.send(name, messageReports, reports{list})
		}
	}
}

// judge hands the module what others found. A node that hears nothing decides as if it were alone.
func (f *Fleet) judge() {
	var list []outlier.Judgement
	if !f.members.Deaf() && !failpoint.Pass(failpoint.JudgeBackends).Drop {
		list = f.outliers.Judge(f.now, f.holders)
	}
	var tell []aggregator.Judged
	for _, j := range list {
		if _, before := f.judged[j.Backend]; !before {
			f.count.Add("fleet", "judged", 1)
			f.log.Info("fleet: judged by others",
				zap.String("searcher", string(j.Backend)),
				zap.Float64("times", j.Times),
				zap.Any("witnesses", j.Witnesses))
		}
		f.judged[j.Backend] = f.now
		tell = append(tell, aggregator.Judged{Backend: string(j.Backend), Times: j.Times, For: outlier.HeldFor})
	}
	for name, at := range f.judged {
		if f.now-at > outlier.HeldFor {
			delete(f.judged, name)
		}
	}
	if len(tell) > 0 {
		f.tell.Put(aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged}, Judged: tell})
	}
}

// list works out who holds which shards, by the cells.
func (f *Fleet) list(places []aggregator.Place) {
	cells, width := max(1, f.set.Layout.Cells), max(1, f.set.Layout.Width)
	f.holders = make(outlier.Holders, cells)
	for _, p := range places {
		for j := range width {
			c := ((int(p.Cell)-j)%cells + cells) % cells
			f.holders[c] = append(f.holders[c], outlier.Backend(p.Name))
		}
	}
}
