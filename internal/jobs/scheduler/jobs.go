package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// Submit adds a job. It is idempotent: submitting an ID that is already known, even that of an ended job, has no effect. It returns
// false if the ID belongs to a job of another queue. The job is not added then, because tasks are named by the ID alone.
func (s *Scheduler) Submit(now Now, request *jobapi.SubmitRequest) (accepted bool) {
	if known, found := s.queueOf(request.ID); found {
		return known.Matches(request.Queue.Key)
	}
	if s.SubmitCancelled(now, request.Queue.Key, request.ID) {
		return true
	}
	s.lastArrival++
	j := newJob(request.ID, jobRecord{Queue: request.Queue, Specification: request.Specification, Arrival: s.lastArrival, ArrivedMS: now.WallMS})
	s.addJob(j)
	s.writeRecord(jobKey(j.id), j.jobRecord)
	s.startDueRepetitions(now, j)
	s.dispatchNeeded = true
	return true
}

// Status returns a job's state and reports whether the job is known.
func (s *Scheduler) Status(id job.ID) (job.State, bool) {
	if j, active := s.jobs[id]; active {
		if j.started {
			return job.Running, true
		}
		return job.Queued, true
	}
	record, known := s.endedJobs[id]
	return record.State, known
}

// Cancel ends a job and reports whether the job is known. A job that has already ended keeps its state.
func (s *Scheduler) Cancel(now Now, id job.ID) bool {
	if j, active := s.jobs[id]; active {
		s.endJob(now, j, job.Cancelled)
		s.dispatchNeeded = true
		return true
	}
	_, known := s.endedJobs[id]
	return known
}

// queueOf returns the queue of a known job.
func (s *Scheduler) queueOf(id job.ID) (queue queuekey.Key, found bool) {
	if j, active := s.jobs[id]; active {
		return j.Queue.Key, true
	}
	record, ended := s.endedJobs[id]
	return record.Queue, ended
}

func (s *Scheduler) addJob(j *jobState) {
	s.jobs[j.id] = j
	s.pendingByRoute[j.Queue.Route]++
	s.countJobs(j.Queue.Key, 1, 1)
}

// endJob ends a job permanently. It stops the job's attempts and replaces the job's records by a record of its final
// state.
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
	s.addEndedJob(now, j.id, endedRecord{State: state, EndedMS: now.WallMS, Queue: j.Queue.Key})
	delete(s.jobs, j.id)
	s.countJobs(j.Queue.Key, 0, -1)
	if s.pendingByRoute[j.Queue.Route]--; s.pendingByRoute[j.Queue.Route] <= 0 {
		delete(s.pendingByRoute, j.Queue.Route)
	}
}

// addEndedJob records the end of a job.
func (s *Scheduler) addEndedJob(now Now, id job.ID, record endedRecord) {
	s.writeRecord(endedKey(id), record)
	record.endedAt = now.Monotonic
	s.endedJobs[id] = record
}

// abandonStage dequeues a stage's waiting tasks and stops its attempts. Attempts of completed gang members are not
// stopped, because the members of a gang end together.
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

// pruneEndedJobs removes jobs that ended longer than StatusRetention ago. The wall clock alone is not sufficient, because
// it may be set. The monotonic clock must confirm that the retention time has passed: a job that is removed too early
// would run a second time if a client submitted it again.
func (s *Scheduler) pruneEndedJobs(now Now) {
	for id, record := range s.endedJobs {
		if s.retentionIsOver(now, record.endedAt, record.EndedMS) {
			delete(s.endedJobs, id)
			s.countJobs(record.Queue, -1, 0)
			s.eraseRecord(endedKey(id))
		}
	}
}

// retentionIsOver reports whether StatusRetention has passed since a moment, by both clocks.
func (s *Scheduler) retentionIsOver(now Now, since time.Time, sinceMS int64) bool {
	if now.Monotonic.Sub(since) < s.settings.StatusRetention {
		return false
	}
	return sinceMS < now.WallMS-s.settings.StatusRetention.Milliseconds() || sinceMS > now.WallMS
}
