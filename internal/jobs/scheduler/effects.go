package scheduler

import (
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Command is a start or a stop for one worker; exactly one of Start and Stop is set.
type Command struct {
	Worker workerclient.WorkerID
	Start  *workerclient.StartCommand
	Stop   *workerclient.StopCommand
}

// Acknowledgement says that all of a worker's completions up to a number are covered by the entries gathered so far. The
// worker may forget them once those are durable.
type Acknowledgement struct {
	Worker           workerclient.WorkerID
	CompletionNumber uint64
}

// Effects are what the calls since the last TakeEffects want done: first the entries made durable, in their order, then
// the rest.
type Effects struct {
	Entries          []replication.Entry
	Commands         []Command
	Acknowledgements []Acknowledgement
}

// Empty tells whether there is nothing to do.
func (e *Effects) Empty() bool {
	return len(e.Entries) == 0 && len(e.Commands) == 0 && len(e.Acknowledgements) == 0
}

// TakeEffects returns the effects gathered since the last call.
func (s *Scheduler) TakeEffects() Effects {
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// StillNeeded tells whether a start that has become durable is still to be sent: meanwhile its attempt may have been
// stopped, or its worker removed.
func (s *Scheduler) StillNeeded(id workerclient.WorkerID, command *workerclient.StartCommand) bool {
	worker := s.workers[id]
	if worker == nil {
		return false
	}
	attempt := worker.attempts[command.Task]
	return attempt != nil && attempt.number == command.AttemptNumber && !attempt.stopping
}

// acknowledgeCompletions gathers the acknowledgement of all completions that were taken from a worker, one for each
// worker at most.
func (s *Scheduler) acknowledgeCompletions(worker *workerState) {
	for i := range s.effects.Acknowledgements {
		if s.effects.Acknowledgements[i].Worker == worker.ID {
			s.effects.Acknowledgements[i].CompletionNumber = worker.lastCompletion
			return
		}
	}
	s.effects.Acknowledgements = append(s.effects.Acknowledgements, Acknowledgement{Worker: worker.ID, CompletionNumber: worker.lastCompletion})
}

// stopAttempt gathers the stop of an attempt, once.
func (s *Scheduler) stopAttempt(attempt *attemptState) {
	if attempt.stopping {
		return
	}
	attempt.stopping = true
	s.commandStop(attempt.worker, attempt.task.id, attempt.number)
}

// commandStop gathers a stop of one attempt of a task at a worker.
func (s *Scheduler) commandStop(worker *workerState, task job.TaskID, number uint64) {
	command := &workerclient.StopCommand{Task: task, AttemptNumber: number}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: worker.ID, Stop: command})
}
