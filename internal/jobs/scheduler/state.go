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
	repetitions           []*repetitionState // those that are due, by number; nil once complete
	incompleteRepetitions int                // repetitions that are not complete
	nextDueMS             int64              // when the next repetition begins, milliseconds since 1970; 0 when all have begun
	started               bool               // a task was assigned at least once
	ended                 bool
}

// repetitionState is one time that the stages run.
type repetitionState struct {
	number           int
	remainingMS      float64    // longest chain of stages that are not complete, by estimate, milliseconds
	targetMS         float64    // objective: when it should be complete, milliseconds since 1970
	candidate        *candidate // scratch of the ordering
	worthlessAfterMS float64    // when it is too late to matter, milliseconds since 1970
	stages           []*stageState
	incompleteStages int // stages that are not complete
}

// stageState is one stage of one repetition.
type stageState struct {
	*job.Stage
	job              *jobState
	repetition       *repetitionState
	number           int
	tasks            []*taskState // nil until the stage's turn has come
	incompleteTasks  int          // tasks that are not done
	waiting          []*taskState // to be started
	waitingSince     time.Time
	queued           bool      // in the scheduler's list of stages that wait
	abandonedAttempt uint64    // gang: the highest run that is being given up
	abandonedAt      time.Time // and since when
}

// taskState is one task of a stage.
type taskState struct {
	id             job.TaskID
	stage          *stageState
	attemptNumber  uint64   // highest run assigned so far
	failedAttempts []uint64 // runs that ended failed, each once
	checkpoint     string
	done           bool
	hasRecord      bool
	attempts       []*attemptState // runs that may be under way; more than one only for at-least-once stages
	boundTo        *workerState    // where the task waits
	avoidedWorkers []workerclient.WorkerID
	backoffUntil   time.Time // pause before the next start after it failed to start
	migrations     int       // times it was moved off a slow worker
}

// attemptState is one execution of a task at a worker that may be under way.
type attemptState struct {
	task            *taskState
	worker          *workerState
	number          uint64
	inherited       bool      // assigned under an earlier leadership
	assignedAt      time.Time // when it was assigned
	confirmedAt     time.Time // when the start was answered with success; zero before
	startUnclearAt  time.Time // when the start was given up without an answer; zero otherwise
	reported        bool      // a report has listed it
	stopping        bool
	stopConfirmedAt time.Time // when a stop was answered
	reportedAt      time.Time // newest report that lists it
	percent         int
	progressedAt    time.Time // when percent last rose
	paceSince       time.Time // when a report first listed it
	pacePercent     int       // and its percent then
	checkpoint      string    // newest that a report has listed
	released        bool      // the task waits again while this run may be under way (at-least-once stages)
}

// reportedState is one life of a worker.
type workerState struct {
	workerclient.Instance
	attempts          map[job.TaskID]*attemptState
	orphans           map[orphanAttempt]bool // listed runs that nobody wants, being stopped
	used              job.Resources
	reachable         bool
	fencedAt          time.Time // when our fencing token was raised there: nothing of an earlier leadership begins any more
	inInventory       bool      // in the platform's list at least once during this leadership
	missedInventories int       // consecutive lists without it
	lastCompletion    uint64
	boundTasks        int       // waiting tasks bound here
	window            float64   // runs of ours that it may have
	latencyMS         float64   // smoothed duration of its runs, milliseconds; 0 while unheard
	failureRate       float64   // smoothed share of its runs that fail, 0 to 1
	paceRatio         float64   // smoothed pace of its runs: times their expected duration; 0 while unknown
	backoffUntil      time.Time // no starts before
	fullUntil         time.Time // it rejected a start for want of room: no starts before the next report
	rack              string
	queueLength       float64 // scratch of the ordering: our runs, and tasks that were ranked before
}

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
