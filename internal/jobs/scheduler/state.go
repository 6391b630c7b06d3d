package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// jobState is a job that has not ended.
type jobState struct {
	jobRecord
	id      job.ID
	times   []*repetition // those that are due, by number; nil once complete
	left    int           // repetitions that are not complete
	nextDue int64         // when the next repetition begins, milliseconds since 1970; 0 when all have begun
	started bool          // a task was assigned at least once
	over    bool
}

// repetition is one time that the stages run.
type repetition struct {
	number    int
	remaining float64    // longest chain of stages that are not complete, by estimate, milliseconds
	due       float64    // objective: when it should be complete, milliseconds since 1970
	ranked    *candidate // scratch of the ordering
	worthless float64    // when it is too late to matter, milliseconds since 1970
	stages    []*stageRun
	left      int // stages that are not complete
}

// stageRun is one stage of one repetition.
type stageRun struct {
	*job.Stage
	job        *jobState
	repetition *repetition
	number     int
	tasks      []*task // nil until the stage's turn has come
	left       int     // tasks that are not done
	waiting    []*task // to be started
	readyAt    time.Time
	listed     bool      // in the scheduler's list of stages that wait
	broken     uint64    // gang: the highest run that is being given up
	brokenAt   time.Time // and since when
}

// task is one task of a stage.
type task struct {
	id         job.TaskID
	stage      *stageRun
	execution  uint64   // highest run assigned so far
	failed     []uint64 // runs that ended failed, each once
	checkpoint string
	done       bool
	recorded   bool
	runs       []*run  // runs that may be under way; more than one only for at-least-once stages
	bound      *worker // where the task waits
	avoid      []workerclient.WorkerID
	notBefore  time.Time // pause before the next start after it failed to start
	moves      int       // times it was moved off a slow worker
}

// run is one execution of a task at a worker that may be under way.
type run struct {
	task        *task
	at          *worker
	execution   uint64
	inherited   bool      // assigned under an earlier leadership
	orderedAt   time.Time // when it was assigned
	answeredAt  time.Time // when the start was answered with success; zero before
	unclearAt   time.Time // when the start was given up without an answer; zero otherwise
	seen        bool      // a report has listed it
	stopping    bool
	stoppedAt   time.Time // when a stop was answered
	listedAt    time.Time // newest report that lists it
	percent     int
	percentAt   time.Time // when percent last rose
	paceFrom    time.Time // when a report first listed it
	pacePercent int       // and its percent then
	checkpoint  string    // newest that a report has listed
	released    bool      // the task waits again while this run may be under way (at-least-once stages)
}

// worker is one life of a worker.
type worker struct {
	workerclient.Instance
	runs         map[job.TaskID]*run
	orphans      map[orphan]bool // listed runs that nobody wants, being stopped
	used         job.Resources
	reachable    bool
	fencedAt     time.Time // when our fencing token was raised there: nothing of an earlier leadership begins any more
	listed       bool      // in the platform's list at least once during this leadership
	missingLists int       // consecutive lists without it
	noted        uint64
	held         int       // waiting tasks bound here
	window       float64   // runs of ours that it may have
	latency      float64   // smoothed duration of its runs, milliseconds; 0 while unheard
	faults       float64   // smoothed share of its runs that fail, 0 to 1
	drag         float64   // smoothed pace of its runs: times their expected duration; 0 while unknown
	restUntil    time.Time // no starts before
	fullUntil    time.Time // it rejected a start for want of room: no starts before the next report
	rack         string
	queue        float64 // scratch of the ordering: our runs, and tasks that were ranked before
}

type orphan struct {
	task      job.TaskID
	execution uint64
}

func newJob(id job.ID, record jobRecord) *jobState {
	return &jobState{jobRecord: record, id: id, left: record.Specification.Times(), nextDue: record.Specification.FirstRunMS}
}

// dueMS is when a repetition begins, milliseconds since 1970; 0 for jobs without a schedule.
func (j *jobState) dueMS(number int) int64 {
	if j.Specification.Repetitions == 0 {
		return 0
	}
	return j.Specification.FirstRunMS + int64(number)*j.Specification.IntervalMS
}

func (sr *worker) free() job.Resources { return sr.Capacity.Subtract(sr.used) }

func (sr *worker) hasLabel(label string) bool {
	for _, own := range sr.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// rackOf is a worker's rack: labels name its kind first and its rack last.
func rackOf(instance *workerclient.Instance) string {
	if len(instance.Labels) < 2 {
		return ""
	}
	return instance.Labels[len(instance.Labels)-1]
}
