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
	complete, err := restoreRepetitions(state)
	if err != nil {
		return err
	}
	for _, j := range s.jobsByArrival() {
		s.resume(now, j, complete[j.id])
	}
	return s.restoreTasks(now, state)
}

func (s *Scheduler) restoreJobs(now Now, state map[string][]byte) error {
	for key, value := range state {
		switch {
		case strings.HasPrefix(key, jobPrefix):
			var record jobRecord
			if err := decode(key, value, &record); err != nil {
				return err
			}
			s.addJob(newJob(job.ID(key[len(jobPrefix):]), record))
			s.arrivals = max(s.arrivals, record.Arrival)
		case strings.HasPrefix(key, endedPrefix):
			var record endedRecord
			if err := decode(key, value, &record); err != nil {
				return err
			}
			record.since = now.Steady
			s.ended[job.ID(key[len(endedPrefix):])] = record
		}
	}
	return nil
}

func restoreRepetitions(state map[string][]byte) (map[job.ID][]int, error) {
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

// resume makes the repetitions of a job: all that were complete, and those that are due.
func (s *Scheduler) resume(now Now, j *jobState, complete []int) {
	begun := 0
	for _, number := range complete {
		begun = max(begun, number+1)
	}
	for number := range begun {
		if slices.Contains(complete, number) {
			j.times = append(j.times, nil)
			j.left--
			continue
		}
		j.times = append(j.times, newRepetition(j, number))
	}
	for len(j.times) < j.Specification.Times() && j.dueMS(len(j.times)) <= now.WallMS {
		j.times = append(j.times, newRepetition(j, len(j.times)))
	}
	s.advance(now, j) // sets when the next one begins
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
		if err := decode(key, value, &record); err != nil {
			return err
		}
		if err := s.restoreTask(id, record); err != nil {
			return err
		}
	}
	for _, j := range s.jobsByArrival() {
		for _, r := range j.times {
			if r != nil {
				s.reopen(now, r)
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
	for id.Repetition >= len(j.times) && len(j.times) < j.Specification.Times() {
		j.times = append(j.times, newRepetition(j, len(j.times))) // begun by a clock ahead of ours
	}
	if id.Repetition >= len(j.times) || j.times[id.Repetition] == nil || id.Stage >= len(j.Specification.Stages) {
		return fmt.Errorf("task %v: its job has no such stage", id)
	}
	stage := j.times[id.Repetition].stages[id.Stage]
	if stage.tasks == nil {
		stage.makeTasks()
	}
	if id.Index >= len(stage.tasks) {
		return fmt.Errorf("task %v: its stage has no such task", id)
	}
	t := stage.tasks[id.Index]
	t.execution, t.failed, t.checkpoint, t.recorded = record.Execution, record.Failed, record.Checkpoint, true
	j.started = true
	if record.Done {
		t.done = true
		stage.left--
		if stage.left == 0 {
			stage.repetition.left--
		}
		return nil
	}
	if record.Worker != "" {
		sr := s.workers[record.Worker]
		if sr == nil {
			sr = s.addWorker(record.Worker)
		}
		r := &run{task: t, at: sr, execution: record.Execution, inherited: true, orderedAt: s.startedAt}
		t.runs = append(t.runs, r)
		sr.runs[t.id] = r
		sr.used = sr.used.Add(stage.Resources)
	}
	return nil
}

// reopen lets the tasks wait of stages whose turn has come and that have no run under way.
func (s *Scheduler) reopen(now Now, r *repetition) {
	for _, stage := range r.stages {
		if !r.complete(stage.DependsOn) {
			continue
		}
		if stage.tasks == nil {
			stage.makeTasks()
		}
		for _, t := range stage.tasks {
			if len(t.runs) == 0 {
				s.wait(now, t)
			}
		}
	}
}

func decode(key string, value []byte, record any) error {
	if err := msgpack.Unmarshal(value, record); err != nil {
		return fmt.Errorf("record %q: %w", key, err)
	}
	return nil
}
