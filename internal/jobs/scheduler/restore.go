package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// ErrCorruptState is returned if a durable record cannot be decoded or contradicts other records.
var ErrCorruptState = errors.New("corrupt job state")

// restore rebuilds the state from the durable records: first the jobs, then their complete repetitions, then the tasks
// that were assigned at least once. Tasks without a record wait for a start. An attempt that a record names counts as
// under way and inherited from an earlier leadership, until a report or the expiry of all leases shows that it has ended.
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
			s.endedJobs[job.ID(key[len(endedPrefix):])] = record
			s.countJobs(record.Queue, 1, 0)
		case key == handoverKey:
			var record handoverRecord
			if err := decodeRecord(key, value, &record); err != nil {
				return err
			}
			s.minConfigurationVersion = record.MinConfigurationVersion
		case strings.HasPrefix(key, earlyCancellationPrefix):
			if err := s.restoreEarlyCancellation(now, key, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Scheduler) restoreEarlyCancellation(now Now, key string, value []byte) error {
	cancellation, err := parseEarlyCancellationKey(key)
	if err != nil {
		return err
	}
	var record earlyCancellationRecord
	if err := decodeRecord(key, value, &record); err != nil {
		return err
	}
	record.cancelledAt = now.Monotonic
	s.addEarlyCancellation(cancellation, record)
	return nil
}

// readCompleteRepetitions returns the numbers of each job's complete repetitions.
func readCompleteRepetitions(state map[string][]byte) (map[job.ID][]int, error) {
	complete := map[job.ID][]int{}
	for key := range state {
		if !strings.HasPrefix(key, repetitionPrefix) {
			continue
		}
		id, number, _ := strings.Cut(key[len(repetitionPrefix):], "/")
		repetition, err := strconv.Atoi(number)
		if err != nil {
			return nil, fmt.Errorf("%w: record %q: %w", ErrCorruptState, key, err)
		}
		complete[job.ID(id)] = append(complete[job.ID(id)], repetition)
	}
	return complete, nil
}

// jobsByArrival returns the jobs that have not ended, in order of arrival.
func (s *Scheduler) jobsByArrival() []*jobState {
	var jobs []*jobState
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return jobs
}

// restoreRepetitions creates a job's repetitions up to the last complete one, and those that are due. A job with a complete
// repetition has started, even if the records of its tasks are erased and its next repetition is not due yet.
func (s *Scheduler) restoreRepetitions(now Now, j *jobState, complete []int) {
	j.started = len(complete) > 0
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
	s.startDueRepetitions(now, j) // schedules the next repetition
}

// restoreTasks restores the tasks that have a record, and then queues all tasks that wait for a start.
func (s *Scheduler) restoreTasks(now Now, state map[string][]byte) error {
	for key, value := range state {
		if !strings.HasPrefix(key, taskPrefix) {
			continue
		}
		id, err := job.ParseTaskID(strings.Replace(key[len(taskPrefix):], "/", ".", 1))
		if err != nil {
			return fmt.Errorf("%w: record %q: %w", ErrCorruptState, key, err)
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
				repetition.remainingMS = repetition.criticalPathMS()
				s.requeueTasks(now, repetition)
			}
		}
	}
	return nil
}

// restoreTask restores one task. It also restores the task's newest attempt, unless the record shows that it has ended.
func (s *Scheduler) restoreTask(id job.TaskID, record taskRecord) error {
	j := s.jobs[id.Job]
	if j == nil {
		return fmt.Errorf("%w: task %v: its job has no record", ErrCorruptState, id)
	}
	for id.Repetition >= len(j.repetitions) && len(j.repetitions) < j.Specification.RepetitionCount() {
		j.repetitions = append(j.repetitions, newRepetitionState(j, len(j.repetitions))) // started by an earlier leader whose clock was ahead of ours
	}
	if id.Repetition >= len(j.repetitions) || j.repetitions[id.Repetition] == nil || id.Stage >= len(j.Specification.Stages) {
		return fmt.Errorf("%w: task %v: its job has no such repetition or stage", ErrCorruptState, id)
	}
	stage := j.repetitions[id.Repetition].stages[id.Stage]
	if stage.tasks == nil {
		stage.createTasks()
	}
	if id.Index >= len(stage.tasks) {
		return fmt.Errorf("%w: task %v: its stage has no such task", ErrCorruptState, id)
	}
	task := stage.tasks[id.Index]
	task.attemptNumber, task.failedAttempts, task.ownCheckpoint, task.hasRecord = record.AttemptNumber, record.FailedAttempts, record.Checkpoint, true
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
		s.addAttempt(attempt)
	}
	return nil
}

// requeueTasks queues the tasks that have no attempt under way, in each stage whose dependencies are complete.
func (s *Scheduler) requeueTasks(now Now, repetition *repetitionState) {
	for _, stage := range repetition.stages {
		stage.restoreGangCheckpoint()
		if !repetition.stagesComplete(stage.DependsOn) {
			continue
		}
		if stage.tasks == nil {
			stage.createTasks()
		}
		if stage.GangScheduled {
			s.abandonInheritedGangAttempt(now, stage)
		}
		for _, task := range stage.tasks {
			if len(task.attempts) == 0 {
				s.enqueueAndBind(now, task)
			}
		}
	}
}

// decodeRecord decodes the record that is stored under a key. Its error wraps ErrCorruptState.
func decodeRecord(key string, value []byte, record any) error {
	if err := msgpack.Unmarshal(value, record); err != nil {
		return fmt.Errorf("%w: record %q: %w", ErrCorruptState, key, err)
	}
	return nil
}
