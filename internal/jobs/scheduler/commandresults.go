package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// LateCommandWindow is how long after it was sent an unanswered order may still be carried out.
const LateCommandWindow = 12500 * time.Millisecond

const (
	backoffAfterUnhealthy   = time.Second            // no starts at a worker that turned one away as unhealthy
	backoffAfterFull        = 300 * time.Millisecond // nor at one that had less room than we thought
	backoffAfterFailedStart = 100 * time.Millisecond // of a task whose start went wrong
)

// HandleStartResult takes what became of a start.
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
		attempt.startUnclearAt = result.At
		return
	case workerclient.RejectedFencingToken:
		return // this leadership is over
	case workerclient.RejectedCapacity:
		worker.fullUntil = now.Monotonic.Add(backoffAfterFull)
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

// HandleStopResult takes that a stop was answered: the run has ended or is ending, or will never begin.
func (s *Scheduler) HandleStopResult(now Now, result *workerclient.StopResult) {
	worker := s.workers[result.Worker]
	if worker == nil || !result.Answered {
		return
	}
	if attempt := worker.attempts[result.Command.Task]; attempt != nil && attempt.number == result.Command.AttemptNumber {
		attempt.stopConfirmedAt = result.At
	}
}
