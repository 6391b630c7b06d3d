package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Settings are a deployment's bounds, from the settings file of the process.
type Settings struct {
	RemoteFactor    float64       // how many times longer a task takes away from its data; values below 1 count as 1
	StopTime        time.Duration // the longest time that a worker takes to stop an attempt
	RestoreTime     time.Duration // how much longer a start from a checkpoint takes
	MaxLease        time.Duration // the longest time for which a worker keeps attempts without a renewal
	DrainTime       time.Duration // the shortest time for which a draining worker stays
	StatusRetention time.Duration // how long the state of an ended job is kept
}

// Now is the time of a call on both clocks.
type Now struct {
	Monotonic time.Time // for intervals
	WallMS    int64     // milliseconds since 1970, for due times; may jump
}

// Scheduler is the state of one service's jobs under one leadership. It is not safe for concurrent use.
type Scheduler struct {
	settings  Settings
	startedAt time.Time // when this leadership began
	effects   Effects   // gathered since the last TakeEffects

	// Jobs.
	jobs           map[job.ID]*jobState   // that have not ended
	ended          map[job.ID]endedRecord // that ended less than StatusRetention ago
	pendingByRoute map[string]int         // jobs that have not ended; a route without any is absent
	lastArrival    uint64                 // position of the newest job in the order of arrival
	scheduled      map[*jobState]bool     // jobs with repetitions that have not begun
	nextDueMS      int64                  // the earliest begin of those, milliseconds since 1970; 0 for none
	nextDueStale   bool                   // nextDueMS must be computed anew

	// Workers.
	workers        map[workerclient.WorkerID]*workerState
	sortedWorkers  []*workerState                 // the same, by ID
	removed        map[workerclient.WorkerID]bool // incarnations that are over
	operatorDrains operatorDrains
	latencyCount   int     // workers with a smoothed latency
	latencySumMS   float64 // sum of those latencies
	medianPace     float64 // median of the workers' pace ratios; 0 while none is known

	// The queue of tasks that wait.
	waitingStages  []*stageState // stages with tasks that wait for a start, in the order of the last orderQueue
	orderStale     bool          // that order must be computed anew
	dispatchNeeded bool          // something has happened that may let waiting tasks start
	orderingNumber uint64        // counts the calls of waitingCandidates

	// Buffers, kept so that a dispatch does not allocate for each job that waits.
	openCache        []*workerState // the workers that take starts, in the current dispatch
	openCached       bool           // openCache was filled in the current dispatch
	candidateScratch []*candidate
	unitCostScratch  unitCosts
	paceScratch      []float64
}

// New makes the scheduler of a leadership from the replicated state. The error is ErrCorruptState if a record cannot be
// read.
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

// Tick does what is due by time alone: it forgets old ended jobs, begins repetitions, and inspects the attempts under
// way for stalls and slow workers.
func (s *Scheduler) Tick(now Now) {
	s.pruneEndedJobs(now)
	for _, j := range s.dueJobs(now) {
		s.beginDueRepetitions(now, j)
	}
	s.inspectAttempts(now)
	s.dispatchNeeded = true
}
