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
	repetitions           []*repetitionState // repetitions that have started, indexed by number; nil once complete
	incompleteRepetitions int                // number of incomplete repetitions, started or not
	nextDueMS             int64              // when the next repetition is due, milliseconds since 1970; 0 if all have started
	started               bool               // a task has been assigned at least once
	ended                 bool
}

// repetitionState is one execution of all of a job's stages, from its beginning until all stages are complete.
type repetitionState struct {
	number           int
	stages           []*stageState
	incompleteStages int
	remainingMS      float64    // length of the critical path of the incomplete stages, from the client's estimates
	targetMS         float64    // when the repetition should be complete, milliseconds since 1970
	worthlessAfterMS float64    // time after which a completion has no value to the client, milliseconds since 1970
	candidate        *candidate // entry of this repetition in the queue ordering; nil before the first ordering
}

// stageState is one stage of one repetition.
type stageState struct {
	*job.Stage
	job              *jobState
	repetition       *repetitionState
	number           int
	tasks            []*taskState // nil until all stages that this stage depends on are complete
	incompleteTasks  int
	waiting          []*taskState // tasks to be started
	waitingSince     time.Time    // when waiting last changed from empty to non-empty
	queued           bool         // the stage is listed in Scheduler.waitingStages
	gangCheckpoint   string       // for a gang: checkpoint from which the next attempt of all members resumes; empty to start from the beginning
	abandonedAttempt uint64       // for a gang: highest attempt number that was abandoned; 0 for none
	abandonedAt      time.Time    // when abandonedAttempt was abandoned
}

// taskState is one task of a stage.
type taskState struct {
	id             job.TaskID
	stage          *stageState
	attemptNumber  uint64   // highest attempt number assigned so far; 0 before the first
	failedAttempts []uint64 // attempt numbers that ended as failed, without duplicates; a gang keeps them at its first member
	ownCheckpoint  string   // checkpoint from which the next attempt resumes; empty to start from the beginning and for a gang's member
	done           bool
	hasRecord      bool                    // the task has a durable record
	attempts       []*attemptState         // attempts that may be under way; more than one only in at-least-once stages
	boundTo        *workerState            // worker in whose queue the task waits; nil if the task does not wait or no worker is eligible
	avoidedWorkers []workerclient.WorkerID // workers where the task recently failed or ran slowly, oldest first
	backoffUntil   time.Time               // the task is not started before this time
	migrations     int                     // number of times the task was moved away from a slow worker
}

// attemptState is one attempt of a task at a worker that may be under way.
type attemptState struct {
	task              *taskState
	worker            *workerState
	number            uint64
	inherited         bool      // assigned during an earlier leadership
	assignedAt        time.Time // time of the assignment; for an inherited attempt, when this leadership began
	confirmedAt       time.Time // when the worker confirmed the start; zero before
	startUnansweredAt time.Time // when the start command failed without an answer; zero otherwise
	stopping          bool      // the attempt is to be stopped
	stopDropped       bool      // the stop command was dropped before the worker answered it, so it must be issued again
	stopConfirmedAt   time.Time // when the worker answered the stop command; zero before
	taskReleased      bool      // the task waits for another start although this attempt may be under way (at-least-once stages)
	proven            bool      // the worker has run the attempt for a while, so it no longer counts towards the worker's window

	// From the worker's reports.
	reported             bool      // a report has listed the attempt
	reportedAt           time.Time // time of the newest report that lists the attempt
	percent              int       // highest reported progress
	progressedAt         time.Time // when percent last increased
	firstReportedAt      time.Time // time of the first report that lists the attempt
	firstReportedPercent int       // progress in that report
	checkpoint           string    // newest reported checkpoint; empty for none
}

// workerState is one incarnation of a worker.
type workerState struct {
	workerclient.Instance
	rack                 string
	attempts             map[job.TaskID]*attemptState // attempts of this scheduler that may be under way at the worker
	provenAttempts       int                          // number of attempts that are proven
	orphans              map[orphanAttempt]bool       // reported attempts that belong to no task; true unless their stop command was dropped
	used                 job.Resources                // resources requested by attempts
	boundTasks           int                          // number of waiting tasks that are bound to the worker
	reachable            bool
	fencedAt             time.Time // when the worker adopted our fencing token; from then on it starts no attempt of an earlier leadership
	inInventory          bool      // the platform has listed the worker during this leadership
	missedInventories    int       // number of consecutive complete inventories that do not list the worker
	lastCompletion       uint64    // highest completion number that has been processed
	window               float64   // limit on the unproven attempts of this scheduler at the worker, adapted to the outcomes of attempts
	latencyMS            float64   // smoothed duration of the worker's attempts; 0 before the first
	failureRate          float64   // smoothed share of the worker's attempts that fail, 0 to 1
	paceRatio            float64   // smoothed ratio of actual to expected duration, derived from the progress of attempts; 0 if unknown
	backoffUntil         time.Time // no starts before this time
	capacityBackoffUntil time.Time // set when a start is rejected for lack of capacity: no starts before this time or the worker's next report
	queueLength          float64   // temporary value of orderQueue: number of attempts plus tasks ranked so far
}

// orphanAttempt identifies an attempt that a worker lists but that belongs to no task.
type orphanAttempt struct {
	task   job.TaskID
	number uint64
}

func newJob(id job.ID, record jobRecord) *jobState {
	return &jobState{jobRecord: record, id: id, incompleteRepetitions: record.Specification.RepetitionCount(), nextDueMS: record.Specification.FirstRunMS}
}

// dueMS returns when a repetition is due, in milliseconds since 1970. It returns 0 for a job without repetitions.
func (j *jobState) dueMS(number int) int64 {
	if j.Specification.Repetitions == 0 {
		return 0
	}
	return j.Specification.FirstRunMS + int64(number)*j.Specification.IntervalMS
}
