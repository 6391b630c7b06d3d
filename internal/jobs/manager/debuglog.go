package manager

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// The functions below log events of single jobs and tasks, at debug level only. At other levels each of them costs one
// comparison.

// debugEnabled reports whether debug messages are logged.
func (l *leadership) debugEnabled() bool { return l.config.Log.Core().Enabled(zapcore.DebugLevel) }

// traceSubmit logs the submission of a job. The job may already be known, as submissions are repeated.
func (l *leadership) traceSubmit(request *jobapi.SubmitRequest) {
	if l.debugEnabled() {
		l.config.Log.Debug("job submitted", zap.String("job", string(request.ID)), zap.String("route", request.Queue.Route))
	}
}

// commandFate is what becomes of a command, as the log names it.
type commandFate string

const (
	commandSent    commandFate = "sent"    // passed to the worker's link
	commandDropped commandFate = "dropped" // there is no link to the worker
)

// traceCommand logs what becomes of a command.
func (l *leadership) traceCommand(command *scheduler.Command, fate commandFate) {
	if !l.debugEnabled() {
		return
	}
	if command.Stop != nil {
		l.config.Log.Debug("stop "+string(fate), zap.Stringer("task", command.Stop.Task), zap.Uint64("attempt", command.Stop.AttemptNumber),
			zap.String("worker_id", string(command.Worker)))
		return
	}
	l.config.Log.Debug("start "+string(fate), zap.Stringer("task", command.Start.Task), zap.Uint64("attempt", command.Start.AttemptNumber),
		zap.String("worker_id", string(command.Worker)), zap.Uint64("term", l.term.Number()))
}

// traceCompletions logs the completions that a worker reports. A worker may report the same completion several times.
func (l *leadership) traceCompletions(report *workerclient.Listing) {
	if !l.debugEnabled() {
		return
	}
	for i := range report.Finished {
		completion := &report.Finished[i]
		l.config.Log.Debug("attempt completed", zap.Stringer("task", completion.Task), zap.Uint64("attempt", completion.AttemptNumber),
			zap.String("outcome", string(completion.Outcome)), zap.String("worker_id", string(report.Worker)))
	}
}

// traceEndedJobs logs the jobs whose final states have become durable.
func (l *leadership) traceEndedJobs(effects *scheduler.Effects) {
	if !l.debugEnabled() {
		return
	}
	for i := range effects.Entries {
		if id, state, ended := scheduler.DecodeEndedJob(&effects.Entries[i]); ended {
			l.config.Log.Debug("job ended", zap.String("job", string(id)), zap.String("state", string(state)))
		}
	}
}
