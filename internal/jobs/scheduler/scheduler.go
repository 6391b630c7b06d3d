// Package scheduler holds every decision on the jobs of one service: which task starts where and when, what a
// worker's report means, and when a job has ended. It is a pure state machine without I/O, clock or goroutine.
//
// Each call takes the time and one event, changes the state and gathers Effects. The caller makes the gathered entries
// durable on a majority of replicas first and carries out the orders only then; so whatever a successor reads covers
// every order that was ever sent.
package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
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

// NeedsDispatch tells whether something has happened since the last Dispatch that may let waiting tasks start.
func (s *Scheduler) NeedsDispatch() bool { return s.dispatchNeeded }

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now Now) {
	s.pruneEndedJobs(now)
	for _, j := range s.dueJobs(now) {
		s.beginDueRepetitions(now, j)
	}
	s.inspectAttempts(now)
	s.dispatchNeeded = true
}
