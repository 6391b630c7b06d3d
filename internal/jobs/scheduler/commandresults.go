package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// LateCommandWindow is how long after it was sent an unanswered command may still be executed by its worker.
const LateCommandWindow = 12500 * time.Millisecond

const (
	backoffAfterUnhealthy   = time.Second            // no starts at a worker that rejected one as unhealthy
	backoffAfterFull        = 300 * time.Millisecond // nor at one that had less capacity than we counted
	backoffAfterFailedStart = 100 * time.Millisecond // of a task whose start was rejected or never sent
)

// HandleStartResult takes what became of a start. A rejected one ends its attempt; one without an answer does not, as it
// may still be executed (see handleMissing).
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

// HandleStopResult takes the answer to a stop: the attempt has ended or is ending, or will never begin.
func (s *Scheduler) HandleStopResult(result *workerclient.StopResult) {
	worker := s.workers[result.Worker]
	if worker == nil || !result.Answered {
		return
	}
	if attempt := worker.attempts[result.Command.Task]; attempt != nil && attempt.number == result.Command.AttemptNumber {
		attempt.stopConfirmedAt = result.At
	}
}
