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

func (l *leadership) tracing() bool { return l.config.Log.Core().Enabled(zapcore.DebugLevel) }

// traceSubmit notes that a job was handed in. It may have been known.
func (l *leadership) traceSubmit(request *jobapi.Submit) {
	if l.tracing() {
		l.config.Log.Debug("job handed in", zap.String("job", string(request.ID)), zap.String("route", request.Queue.Route))
	}
}

// traceCommand notes an order that is about to be sent.
func (l *leadership) traceCommand(command *scheduler.Command) {
	if !l.tracing() {
		return
	}
	if command.Stop != nil {
		l.config.Log.Debug("stop ordered", zap.Stringer("task", command.Stop.Task), zap.Uint64("run", command.Stop.AttemptNumber),
			zap.String("searcher", string(command.Worker)))
		return
	}
	l.config.Log.Debug("start ordered", zap.Stringer("task", command.Start.Task), zap.Uint64("run", command.Start.AttemptNumber),
		zap.String("searcher", string(command.Worker)), zap.Uint64("epoch", l.term.Number()))
}

// traceCompletions notes the ends that a worker reports.
func (l *leadership) traceCompletions(report *workerclient.Listing) {
	if !l.tracing() {
		return
	}
	for i := range report.Finished {
		completion := &report.Finished[i]
		l.config.Log.Debug("run ended", zap.Stringer("task", completion.Task), zap.Uint64("run", completion.AttemptNumber),
			zap.String("how", string(completion.Outcome)), zap.String("searcher", string(report.Worker)))
	}
}

// traceEndedJobs notes the jobs whose ends have become durable.
func (l *leadership) traceEndedJobs(effects *scheduler.Effects) {
	if !l.tracing() {
		return
	}
	for i := range effects.Entries {
		if id, state, ended := scheduler.EndedJob(&effects.Entries[i]); ended {
			l.config.Log.Debug("job ended", zap.String("job", string(id)), zap.String("state", string(state)))
		}
	}
}
