package manager

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// The lines below follow single jobs and tasks. They are written at the level debug alone, and cost next to nothing
// otherwise.

func (l *lead) traces() bool { return l.config.Log.Core().Enabled(zapcore.DebugLevel) }

// traceSubmit notes that a job was handed in. It may have been known.
func (l *lead) traceSubmit(request *jobapi.Submit) {
	if l.traces() {
		l.config.Log.Debug("job handed in", zap.String("job", string(request.ID)), zap.String("route", request.Queue.Route))
	}
}

// traceOrder notes an order that is about to be sent.
func (l *lead) traceOrder(order *scheduler.Order) {
	if !l.traces() {
		return
	}
	if order.Stop != nil {
		l.config.Log.Debug("stop ordered", zap.Stringer("task", order.Stop.Task), zap.Uint64("run", order.Stop.Execution),
			zap.String("searcher", string(order.Worker)))
		return
	}
	l.config.Log.Debug("start ordered", zap.Stringer("task", order.Start.Task), zap.Uint64("run", order.Start.Execution),
		zap.String("searcher", string(order.Worker)), zap.Uint64("epoch", l.term.Epoch()))
}

// traceEnds notes the ends that a worker reports.
func (l *lead) traceEnds(report *workerclient.Listing) {
	if !l.traces() {
		return
	}
	for i := range report.Finished {
		end := &report.Finished[i]
		l.config.Log.Debug("run ended", zap.Stringer("task", end.Task), zap.Uint64("run", end.Execution),
			zap.String("how", string(end.How)), zap.String("searcher", string(report.Worker)))
	}
}

// traceJobs notes the jobs whose ends have become durable.
func (l *lead) traceJobs(effects *scheduler.Effects) {
	if !l.traces() {
		return
	}
	for i := range effects.Entries {
		if id, state, ended := scheduler.EndedJob(&effects.Entries[i]); ended {
			l.config.Log.Debug("job ended", zap.String("job", string(id)), zap.String("state", string(state)))
		}
	}
}
