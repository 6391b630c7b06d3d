// Package scheduler holds every decision on the jobs of one service: which task starts where and when, what a
// worker's report means, and when a job has ended. It is a pure state machine without I/O, clock or goroutine.
//
// Each call takes the time and one event, changes the state and gathers Effects. The caller makes the gathered entries
// durable on a majority of replicas first and carries out the orders only then; so whatever a successor reads covers
// every order that was ever sent.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Settings are a deployment's bounds, from the settings file of the process.
type Settings struct {
	RemoteFactor    float64       // how much longer a task takes away from its data or across racks
	StopTime        time.Duration // a stop takes at most this long
	RestoreTime     time.Duration // a start from a checkpoint takes this much longer
	MaxLease        time.Duration // longest time that a worker keeps tasks without renewal
	DrainTime       time.Duration // a draining worker stays at least this long
	StatusRetention time.Duration // how long an ended job's state is kept
}

// Now is the time of a call on both clocks.
type Now struct {
	Monotonic time.Time // for intervals
	WallMS    int64     // milliseconds since 1970, for due times; may jump
}

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

// Scheduler is the state of one service's jobs under one leadership.
type Scheduler struct {
	settings         Settings
	startedAt        time.Time // when this leadership began
	jobs             map[job.ID]*jobState
	ended            map[job.ID]endedRecord
	workers          map[workerclient.WorkerID]*workerState
	sortedWorkers    []*workerState                 // the same, in a stable order
	removed          map[workerclient.WorkerID]bool // lives that are over
	scheduled        map[*jobState]bool             // jobs with repetitions that have not begun
	nextDueMS        int64                          // the earliest of them, milliseconds since 1970; 0 for none
	nextDueStale     bool                           // nextDueMS must be worked out anew
	waitingStages    []*stageState                  // with tasks that wait for a start
	pendingByRoute   map[string]int
	lastArrival      uint64
	orderStale       bool // the order of stages must be computed anew
	dispatchNeeded   bool // waiting tasks may find room
	latencyCount     int  // workers with a smoothed latency
	latencySumMS     float64
	medianPaceRatio  float64   // median of the workers
	paceRatios       []float64 // scratch of updatePaceRatios
	effects          Effects
	openCache        []*workerState // scratch of Dispatch: those that take starts, once they were looked for
	openCached       bool           // they were, in the current dispatch
	orderingNumber   uint64         // number of the current ordering
	candidateScratch []*candidate   // scratch of the ordering
	unitCostScratch  unitCosts      // scratch of unitCostsFor

	operatorDrains operatorDrains
}

// New makes the scheduler of a leadership from the replicated state.
func New(settings Settings, now Now, state map[string][]byte) (*Scheduler, error) {
	s := &Scheduler{
		settings:       settings,
		startedAt:      now.Monotonic,
		jobs:           map[job.ID]*jobState{},
		ended:          map[job.ID]endedRecord{},
		workers:        map[workerclient.WorkerID]*workerState{},
		pendingByRoute: map[string]int{},
		removed:        map[workerclient.WorkerID]bool{},
		scheduled:      map[*jobState]bool{},
	}
	var err error
	if s.operatorDrains, err = restoreOperatorDrains(state); err != nil {
		return nil, err
	}
	if err := s.restore(now, state); err != nil {
		return nil, err
	}
	return s, nil
}

// TakeEffects returns the effects gathered since the last call.
func (s *Scheduler) TakeEffects() Effects {
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// NeedsDispatch tells whether something has happened since the last Dispatch that may let waiting tasks start.
func (s *Scheduler) NeedsDispatch() bool { return s.dispatchNeeded }

// Submit takes a job in; the same ID again is the same job.
func (s *Scheduler) Submit(now Now, request *jobapi.Submit) {
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

// Status tells a job's state.
func (s *Scheduler) Status(id job.ID) (job.State, bool) {
	if j, live := s.jobs[id]; live {
		if j.started {
			return job.Running, true
		}
		return job.Queued, true
	}
	record, known := s.ended[id]
	return record.State, known
}

// Cancel ends a job; it tells whether the job is known.
func (s *Scheduler) Cancel(now Now, id job.ID) bool {
	if j, live := s.jobs[id]; live {
		s.endJob(now, j, job.Cancelled)
		s.dispatchNeeded = true
		return true
	}
	_, known := s.ended[id]
	return known
}

// Pending counts a route's jobs that have not ended.
func (s *Scheduler) Pending(route string) int { return s.pendingByRoute[route] }

// StillWanted tells whether a start that has become durable is still to be sent.
func (s *Scheduler) StillWanted(id workerclient.WorkerID, command *workerclient.StartCommand) bool {
	worker := s.workers[id]
	if worker == nil {
		return false
	}
	attempt := worker.attempts[command.Task]
	return attempt != nil && attempt.number == command.AttemptNumber && !attempt.stopping
}

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now Now) {
	s.pruneEndedJobs(now)
	for _, j := range s.dueJobs(now) {
		s.beginDueRepetitions(now, j)
	}
	s.inspectAttempts(now)
	s.dispatchNeeded = true
}

// dueJobs lists the jobs with a repetition that is due, in order of arrival, so that the same events give the same effects.
func (s *Scheduler) dueJobs(now Now) []*jobState {
	var due []*jobState
	for j := range s.scheduled {
		if j.nextDueMS <= now.WallMS {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *jobState) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return due
}

// NextDueMS is the earliest time (milliseconds since 1970) at which a scheduled repetition begins; 0 when none waits.
func (s *Scheduler) NextDueMS() int64 {
	if !s.nextDueStale {
		return s.nextDueMS
	}
	s.nextDueMS, s.nextDueStale = 0, false
	for j := range s.scheduled {
		if s.nextDueMS == 0 || j.nextDueMS < s.nextDueMS {
			s.nextDueMS = j.nextDueMS
		}
	}
	return s.nextDueMS
}

// scheduleRepetition notes when a job's next repetition begins.
func (s *Scheduler) scheduleRepetition(j *jobState, dueMS int64) {
	j.nextDueMS = dueMS
	s.scheduled[j] = true
	s.nextDueStale = true
}

// unscheduleRepetition notes that a job has no repetition left to begin.
func (s *Scheduler) unscheduleRepetition(j *jobState) {
	if s.scheduled[j] {
		delete(s.scheduled, j)
		s.nextDueStale = true
	}
}

func (s *Scheduler) isKnown(id job.ID) bool {
	_, live := s.jobs[id]
	_, ended := s.ended[id]
	return live || ended
}

func (s *Scheduler) addJob(j *jobState) {
	s.jobs[j.id] = j
	s.pendingByRoute[j.Queue.Route]++
}
