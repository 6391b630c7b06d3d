package scheduler

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// Submit adds a job. It is idempotent: an ID that is known, also of an ended job, changes nothing.
func (s *Scheduler) Submit(now Now, request *jobapi.SubmitRequest) {
	if s.isKnown(request.ID) {
		return
	}
	s.lastArrival++
	j := newJob(request.ID, jobRecord{Queue: request.Queue, Specification: request.Specification, Arrival: s.lastArrival, ArrivedMS: now.WallMS})
	s.addJob(j)
	s.writeRecord(jobKey(j.id), j.jobRecord)
	s.beginDueRepetitions(now, j)
	s.dispatchNeeded = true
}

// Status is a job's state, and whether the job is known.
func (s *Scheduler) Status(id job.ID) (job.State, bool) {
	if j, active := s.jobs[id]; active {
		if j.started {
			return job.Running, true
		}
		return job.Queued, true
	}
	record, known := s.ended[id]
	return record.State, known
}

// Cancel ends a job, and tells whether the job is known. One that had ended before keeps its state.
func (s *Scheduler) Cancel(now Now, id job.ID) bool {
	if j, active := s.jobs[id]; active {
		s.endJob(now, j, job.Cancelled)
		s.dispatchNeeded = true
		return true
	}
	_, known := s.ended[id]
	return known
}

// Pending counts a route's jobs that have not ended.
func (s *Scheduler) Pending(route string) int { return s.pendingByRoute[route] }

func (s *Scheduler) isKnown(id job.ID) bool {
	_, active := s.jobs[id]
	_, ended := s.ended[id]
	return active || ended
}

func (s *Scheduler) addJob(j *jobState) {
	s.jobs[j.id] = j
	s.pendingByRoute[j.Queue.Route]++
}

// endJob ends a job for good: it stops the job's attempts and replaces its records by that of its final state.
func (s *Scheduler) endJob(now Now, j *jobState, state job.State) {
	j.ended = true
	s.unscheduleRepetition(j)
	for number, repetition := range j.repetitions {
		if repetition == nil {
			s.eraseRecord(repetitionKey(j.id, number))
			continue
		}
		s.eraseTaskRecords(repetition)
		for _, stage := range repetition.stages {
			s.abandonStage(stage)
		}
	}
	s.eraseRecord(jobKey(j.id))
	record := endedRecord{State: state, EndedMS: now.WallMS}
	s.writeRecord(endedKey(j.id), record)
	record.endedAt = now.Monotonic
	s.ended[j.id] = record
	delete(s.jobs, j.id)
	if s.pendingByRoute[j.Queue.Route]--; s.pendingByRoute[j.Queue.Route] <= 0 {
		delete(s.pendingByRoute, j.Queue.Route)
	}
}

// abandonStage dequeues a stage's waiting tasks and stops the attempts of those that are not done.
func (s *Scheduler) abandonStage(stage *stageState) {
	for len(stage.waiting) > 0 {
		s.dequeue(stage.waiting[0])
	}
	for _, task := range stage.tasks {
		for _, attempt := range task.attempts {
			if !task.done || !stage.GangScheduled {
				s.stopAttempt(attempt)
			}
		}
	}
}

// pruneEndedJobs forgets jobs that ended longer than StatusRetention ago. The time of day, which may be set, counts only
// together with the monotonic clock: a job that is forgotten too early would run once more if it were submitted again.
func (s *Scheduler) pruneEndedJobs(now Now) {
	oldestMS := now.WallMS - s.settings.StatusRetention.Milliseconds()
	for id, record := range s.ended {
		if now.Monotonic.Sub(record.endedAt) < s.settings.StatusRetention {
			continue
		}
		if record.EndedMS < oldestMS || record.EndedMS > now.WallMS {
			delete(s.ended, id)
			s.eraseRecord(endedKey(id))
		}
	}
}
