package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// restore rebuilds the state from its durable records.
func (s *Scheduler) restore(now Now, state map[string][]byte) error {
	if err := s.restoreJobs(now, state); err != nil {
		return err
	}
	complete, err := readCompleteRepetitions(state)
	if err != nil {
		return err
	}
	for _, j := range s.jobsByArrival() {
		s.restoreRepetitions(now, j, complete[j.id])
	}
	return s.restoreTasks(now, state)
}

func (s *Scheduler) restoreJobs(now Now, state map[string][]byte) error {
	for key, value := range state {
		switch {
		case strings.HasPrefix(key, jobPrefix):
			var record jobRecord
			if err := decodeRecord(key, value, &record); err != nil {
				return err
			}
			s.addJob(newJob(job.ID(key[len(jobPrefix):]), record))
			s.lastArrival = max(s.lastArrival, record.Arrival)
		case strings.HasPrefix(key, endedPrefix):
			var record endedRecord
			if err := decodeRecord(key, value, &record); err != nil {
				return err
			}
			record.endedAt = now.Monotonic
			s.ended[job.ID(key[len(endedPrefix):])] = record
		}
	}
	return nil
}

func readCompleteRepetitions(state map[string][]byte) (map[job.ID][]int, error) {
	complete := map[job.ID][]int{}
	for key := range state {
		if !strings.HasPrefix(key, repetitionPrefix) {
			continue
		}
		id, number, _ := strings.Cut(key[len(repetitionPrefix):], "/")
		repetition, err := strconv.Atoi(number)
		if err != nil {
			return nil, fmt.Errorf("record %q: %w", key, err)
		}
		complete[job.ID(id)] = append(complete[job.ID(id)], repetition)
	}
	return complete, nil
}

func (s *Scheduler) jobsByArrival() []*jobState {
	var jobs []*jobState
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *jobState) int { return int(int64(a.Arrival) - int64(b.Arrival)) })
	return jobs
}

// restoreRepetitions makes the repetitions of a job: all that were complete, and those that are due.
func (s *Scheduler) restoreRepetitions(now Now, j *jobState, complete []int) {
	begun := 0
	for _, number := range complete {
		begun = max(begun, number+1)
	}
	for number := range begun {
		if slices.Contains(complete, number) {
			j.repetitions = append(j.repetitions, nil)
			j.incompleteRepetitions--
			continue
		}
		j.repetitions = append(j.repetitions, newRepetitionState(j, number))
	}
	for len(j.repetitions) < j.Specification.RepetitionCount() && j.dueMS(len(j.repetitions)) <= now.WallMS {
		j.repetitions = append(j.repetitions, newRepetitionState(j, len(j.repetitions)))
	}
	s.beginDueRepetitions(now, j) // sets when the next one begins
}

// restoreTasks takes the tasks' records and lets the rest wait.
func (s *Scheduler) restoreTasks(now Now, state map[string][]byte) error {
	for key, value := range state {
		if !strings.HasPrefix(key, taskPrefix) {
			continue
		}
		id, err := job.ParseTaskID(strings.Replace(key[len(taskPrefix):], "/", ".", 1))
		if err != nil {
			return fmt.Errorf("record %q: %w", key, err)
		}
		var record taskRecord
		if err := decodeRecord(key, value, &record); err != nil {
			return err
		}
		if err := s.restoreTask(id, record); err != nil {
			return err
		}
	}
	for _, j := range s.jobsByArrival() {
		for _, repetition := range j.repetitions {
			if repetition != nil {
				s.requeueTasks(now, repetition)
			}
		}
	}
	return nil
}

func (s *Scheduler) restoreTask(id job.TaskID, record taskRecord) error {
	j := s.jobs[id.Job]
	if j == nil {
		return fmt.Errorf("task %v: its job has no record", id)
	}
	for id.Repetition >= len(j.repetitions) && len(j.repetitions) < j.Specification.RepetitionCount() {
		j.repetitions = append(j.repetitions, newRepetitionState(j, len(j.repetitions))) // begun by a clock ahead of ours
	}
	if id.Repetition >= len(j.repetitions) || j.repetitions[id.Repetition] == nil || id.Stage >= len(j.Specification.Stages) {
		return fmt.Errorf("task %v: its job has no such stage", id)
	}
	stage := j.repetitions[id.Repetition].stages[id.Stage]
	if stage.tasks == nil {
		stage.createTasks()
	}
	if id.Index >= len(stage.tasks) {
		return fmt.Errorf("task %v: its stage has no such task", id)
	}
	task := stage.tasks[id.Index]
	task.attemptNumber, task.failedAttempts, task.checkpoint, task.hasRecord = record.AttemptNumber, record.FailedAttempts, record.Checkpoint, true
	j.started = true
	if record.Done {
		task.done = true
		stage.incompleteTasks--
		if stage.incompleteTasks == 0 {
			stage.repetition.incompleteStages--
		}
		return nil
	}
	if record.Worker != "" {
		worker := s.workers[record.Worker]
		if worker == nil {
			worker = s.addWorker(record.Worker)
		}
		attempt := &attemptState{task: task, worker: worker, number: record.AttemptNumber, inherited: true, assignedAt: s.startedAt}
		task.attempts = append(task.attempts, attempt)
		worker.attempts[task.id] = attempt
		worker.used = worker.used.Add(stage.Resources)
	}
	return nil
}

// requeueTasks lets the tasks wait of stages whose turn has come and that have no run under way.
func (s *Scheduler) requeueTasks(now Now, repetition *repetitionState) {
	for _, stage := range repetition.stages {
		if !repetition.areComplete(stage.DependsOn) {
			continue
		}
		if stage.tasks == nil {
			stage.createTasks()
		}
		for _, task := range stage.tasks {
			if len(task.attempts) == 0 {
				s.enqueueAndBind(now, task)
			}
		}
	}
}

func decodeRecord(key string, value []byte, record any) error {
	if err := msgpack.Unmarshal(value, record); err != nil {
		return fmt.Errorf("record %q: %w", key, err)
	}
	return nil
}
