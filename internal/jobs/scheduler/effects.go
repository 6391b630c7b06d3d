package scheduler

import (
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Command is a start or stop command for one worker. Exactly one of Start and Stop is set.
type Command struct {
	Worker workerclient.WorkerID
	Start  *workerclient.StartCommand
	Stop   *workerclient.StopCommand
}

// Acknowledgement confirms all completions of a worker up to a completion number. The entries collected so far record
// these completions. Once the entries are durable, the worker may discard the completions.
type Acknowledgement struct {
	Worker           workerclient.WorkerID
	CompletionNumber uint64
}

// Effects are the actions that the calls since the last TakeEffects request. The caller must first make the entries
// durable, in their order. Only then may it send the commands and acknowledgements.
type Effects struct {
	Entries          []replication.Entry
	Commands         []Command
	Acknowledgements []Acknowledgement
}

// Empty reports whether there are no effects.
func (e *Effects) Empty() bool {
	return len(e.Entries) == 0 && len(e.Commands) == 0 && len(e.Acknowledgements) == 0
}

// TakeEffects returns the effects collected since the last call, and clears them.
func (s *Scheduler) TakeEffects() Effects {
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// ShouldSendStart reports whether a start command must still be sent after its entry has become durable. In the meantime,
// its attempt may have been stopped or its worker removed.
func (s *Scheduler) ShouldSendStart(id workerclient.WorkerID, command *workerclient.StartCommand) bool {
	worker := s.workers[id]
	if worker == nil {
		return false
	}
	attempt := worker.attempts[command.Task]
	return attempt != nil && attempt.number == command.AttemptNumber && !attempt.stopping
}

// acknowledgeCompletions adds the acknowledgement of all completions of a worker that have been processed. The effects
// contain at most one acknowledgement for each worker.
func (s *Scheduler) acknowledgeCompletions(worker *workerState) {
	for i := range s.effects.Acknowledgements {
		if s.effects.Acknowledgements[i].Worker == worker.ID {
			s.effects.Acknowledgements[i].CompletionNumber = worker.lastCompletion
			return
		}
	}
	s.effects.Acknowledgements = append(s.effects.Acknowledgements, Acknowledgement{Worker: worker.ID, CompletionNumber: worker.lastCompletion})
}

// stopAttempt adds a stop command for an attempt, unless the attempt is already being stopped. A command that was dropped is
// issued again as soon as a report shows that the worker can be reached (see matchRunningAttempts).
func (s *Scheduler) stopAttempt(attempt *attemptState) {
	if attempt.stopping && !attempt.stopDropped {
		return
	}
	attempt.stopping, attempt.stopDropped = true, false
	s.addStopCommand(attempt.worker, attempt.task.id, attempt.number)
}

// addStopCommand adds a stop command for one attempt of a task at a worker.
func (s *Scheduler) addStopCommand(worker *workerState, task job.TaskID, number uint64) {
	command := &workerclient.StopCommand{Task: task, AttemptNumber: number}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: worker.ID, Stop: command})
}
