package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// LateCommandWindow is the time after sending within which a worker may still execute a command that got no response.
const LateCommandWindow = 12500 * time.Millisecond

const (
	backoffAfterUnhealthy   = time.Second            // time without starts on a worker that rejected one as unhealthy
	backoffAfterFull        = 300 * time.Millisecond // time without starts on a worker that had less capacity than the scheduler computed
	backoffAfterFailedStart = 100 * time.Millisecond // time without a start of a task whose last one was rejected or never sent
)

// HandleStartResult processes the result of a start command. A rejected start ends its attempt. A start without a response
// does not, as the worker may still execute it (see handleMissingAttempts).
func (s *Scheduler) HandleStartResult(now Now, result *workerclient.StartResult) {
	worker := s.workers[result.Worker]
	if worker == nil {
		return
	}
	attempt := worker.attempts[result.Command.Task]
	if attempt == nil || attempt.number != result.Command.AttemptNumber {
		return
	}
	switch result.Outcome {
	case workerclient.Started:
		attempt.confirmedAt = result.At
		worker.window = min(maxWindow, worker.window+1)
		return
	case workerclient.Unclear:
		attempt.startUnansweredAt = result.At
		return
	case workerclient.RejectedFencingToken:
		return // a newer leader has replaced this one
	case workerclient.RejectedCapacity:
		worker.capacityBackoffUntil = now.Monotonic.Add(backoffAfterFull)
	case workerclient.RejectedUnhealthy:
		worker.backoffUntil = now.Monotonic.Add(backoffAfterUnhealthy)
		worker.failureRate += failureWeight * (1 - worker.failureRate)
	case workerclient.RejectedInvalid:
		attempt.task.avoidWorker(worker)
	}
	attempt.task.backoffUntil = now.Monotonic.Add(backoffAfterFailedStart)
	s.endAttempt(now, attempt)
	s.dispatchNeeded = true
}

// HandleStopResult processes the result of a stop command. A response confirms that the attempt has ended, is ending or will
// never start. Without a response, the command was dropped and must be issued again.
func (s *Scheduler) HandleStopResult(result *workerclient.StopResult) {
	worker := s.workers[result.Worker]
	if worker == nil {
		return
	}
	attempt := worker.attempts[result.Command.Task]
	if attempt == nil || attempt.number != result.Command.AttemptNumber {
		worker.handleOrphanStopResult(result)
		return
	}
	if result.Answered {
		attempt.stopConfirmedAt = result.At
		return
	}
	attempt.stopDropped = true
}

// handleOrphanStopResult processes the result of a stop command for an orphan.
func (worker *workerState) handleOrphanStopResult(result *workerclient.StopResult) {
	orphan := orphanAttempt{result.Command.Task, result.Command.AttemptNumber}
	if _, listed := worker.orphans[orphan]; listed {
		worker.orphans[orphan] = result.Answered
	}
}
