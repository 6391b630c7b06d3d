package scheduler

import (
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Command is a start or a stop for one worker.
type Command struct {
	Worker workerclient.WorkerID
	Start  *workerclient.StartCommand // nil for a stop
	Stop   *workerclient.StopCommand
}

// Noted says that all of a worker's ends up to Number are covered by the entries gathered so far.
type Acknowledgement struct {
	Worker           workerclient.WorkerID
	CompletionNumber uint64
}

// Effects are what the calls since the last Take want done: first the entries made durable, then the rest.
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

// StillWanted tells whether a start that has become durable is still to be sent.
func (s *Scheduler) StillWanted(id workerclient.WorkerID, command *workerclient.StartCommand) bool {
	worker := s.workers[id]
	if worker == nil {
		return false
	}
	attempt := worker.attempts[command.Task]
	return attempt != nil && attempt.number == command.AttemptNumber && !attempt.stopping
}

func (s *Scheduler) acknowledgeCompletions(worker *workerState) {
	for i := range s.effects.Acknowledgements {
		if s.effects.Acknowledgements[i].Worker == worker.ID {
			s.effects.Acknowledgements[i].CompletionNumber = worker.lastCompletion
			return
		}
	}
	s.effects.Acknowledgements = append(s.effects.Acknowledgements, Acknowledgement{Worker: worker.ID, CompletionNumber: worker.lastCompletion})
}

// stopAttempt orders a run stopped, once.
func (s *Scheduler) stopAttempt(attempt *attemptState) {
	if attempt.stopping {
		return
	}
	attempt.stopping = true
	command := &workerclient.StopCommand{Task: attempt.task.id, AttemptNumber: attempt.number}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: attempt.worker.ID, Stop: command})
}
