package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// jobState is a job that has not ended.
type jobState struct {
	jobRecord
	id                    job.ID
	repetitions           []*repetitionState // those that have begun, by number; nil once complete
	incompleteRepetitions int                // of all repetitions, begun or not
	nextDueMS             int64              // when the next repetition begins, milliseconds since 1970; 0 when all have begun
	started               bool               // a task was assigned at least once
	ended                 bool
}

// repetitionState is one of the times that a job's stages run, from its begin until all stages are complete.
type repetitionState struct {
	number           int
	stages           []*stageState
	incompleteStages int
	remainingMS      float64    // critical path of the stages that are not complete, by the client's estimates
	targetMS         float64    // when it should be complete, milliseconds since 1970
	worthlessAfterMS float64    // from when its completion matters to nobody, milliseconds since 1970
	candidate        *candidate // its place in the ordering of the queue; nil before the first
}

// stageState is one stage of one repetition.
type stageState struct {
	*job.Stage
	job              *jobState
	repetition       *repetitionState
	number           int
	tasks            []*taskState // nil until all stages that it depends on are complete
	incompleteTasks  int
	waiting          []*taskState // tasks to be started
	waitingSince     time.Time    // when waiting last became non-empty
	queued           bool         // it is in the scheduler's waitingStages
	abandonedAttempt uint64       // of a gang: the highest attempt number that was given up; 0 for none
	abandonedAt      time.Time    // and when
}

// taskState is one task of a stage.
type taskState struct {
	id             job.TaskID
	stage          *stageState
	attemptNumber  uint64   // the highest that was assigned; 0 before the first
	failedAttempts []uint64 // numbers of the attempts that ended failed, each once; of a gang, kept at its first member
	checkpoint     string   // where the next attempt goes on from; empty for the beginning
	done           bool
	hasRecord      bool                    // there is a durable record of it
	attempts       []*attemptState         // that may be under way; more than one only for at-least-once stages
	boundTo        *workerState            // the worker in whose queue it waits; nil when it does not wait, or none is eligible
	avoidedWorkers []workerclient.WorkerID // where it failed or crawled of late, oldest first
	backoffUntil   time.Time               // no start before
	migrations     int                     // how often it was moved off a slow worker
}

// attemptState is one attempt of a task at a worker that may be under way.
type attemptState struct {
	task            *taskState
	worker          *workerState
	number          uint64
	inherited       bool      // assigned under an earlier leadership
	assignedAt      time.Time // or, if it is inherited, when this leadership began
	confirmedAt     time.Time // when the start was answered with success; zero before
	startUnclearAt  time.Time // when the start was given up without an answer; zero otherwise
	stopping        bool      // a stop was commanded
	stopConfirmedAt time.Time // when the stop was answered; zero before
	released        bool      // the task waits again although this attempt may be under way (at-least-once stages)

	// From the worker's reports.
	reported     bool      // a report has listed it
	reportedAt   time.Time // newest report that lists it
	percent      int       // highest progress that was reported
	progressedAt time.Time // when percent last rose
	paceSince    time.Time // when a report first listed it
	pacePercent  int       // and its progress then
	checkpoint   string    // the newest; empty for none
}

// workerState is one incarnation of a worker.
type workerState struct {
	workerclient.Instance
	rack              string
	attempts          map[job.TaskID]*attemptState // of ours that may be under way
	orphans           map[orphanAttempt]bool       // reported attempts that no task wants, being stopped
	used              job.Resources                // by attempts
	boundTasks        int                          // waiting tasks that are bound to it
	reachable         bool
	fencedAt          time.Time // when our fencing token was raised there; from then on no attempt of an earlier leadership begins
	inInventory       bool      // the platform has listed it during this leadership
	missedInventories int       // complete lists in a row without it
	lastCompletion    uint64    // number of the newest completion that was taken
	window            float64   // how many attempts of ours it may have
	latencyMS         float64   // smoothed duration of its attempts; 0 before the first
	failureRate       float64   // smoothed share of its attempts that fail, 0 to 1
	paceRatio         float64   // smoothed duration of its attempts over the expected one, from their progress; 0 while unknown
	backoffUntil      time.Time // no starts before
	fullUntil         time.Time // it rejected a start for want of capacity: no starts before then or its next report
	queueLength       float64   // scratch of the ordering: our attempts and the tasks ranked so far
}

// orphanAttempt names an attempt that a worker lists and that no task wants.
type orphanAttempt struct {
	task   job.TaskID
	number uint64
}

func newJob(id job.ID, record jobRecord) *jobState {
	return &jobState{jobRecord: record, id: id, incompleteRepetitions: record.Specification.RepetitionCount(), nextDueMS: record.Specification.FirstRunMS}
}

// dueMS is when a repetition begins, milliseconds since 1970; 0 for jobs without a schedule.
func (j *jobState) dueMS(number int) int64 {
	if j.Specification.Repetitions == 0 {
		return 0
	}
	return j.Specification.FirstRunMS + int64(number)*j.Specification.IntervalMS
}
