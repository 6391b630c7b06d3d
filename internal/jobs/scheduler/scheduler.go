package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Settings are the limits and estimates of a deployment, from the settings file of the process.
type Settings struct {
	RemoteSlowdown   float64       // factor by which a task takes longer on a rack other than that of its data; values below 1 count as 1
	MaxStopDuration  time.Duration // longest time that a worker takes to stop an attempt
	RestoreDuration  time.Duration // additional time that a start from a checkpoint takes
	MaxLease         time.Duration // longest time that a worker keeps running attempts without a lease renewal
	MinDrainDuration time.Duration // shortest time that a worker remains available once the platform drains it
	StatusRetention  time.Duration // how long the final state of an ended job is kept
}

// Now is the time of a call, read from both clocks.
type Now struct {
	Monotonic time.Time // monotonic clock, for intervals
	WallMS    int64     // wall clock, for due times; milliseconds since 1970; may jump in either direction
}

// Scheduler holds the state of one service's jobs during one leadership. It is not safe for concurrent use.
type Scheduler struct {
	settings  Settings
	startedAt time.Time // when this leadership began
	effects   Effects   // collected since the last TakeEffects

	// Jobs.
	jobs                    map[job.ID]*jobState                          // jobs that have not ended
	endedJobs               map[job.ID]endedRecord                        // jobs that ended less than StatusRetention ago
	pendingByRoute          map[string]int                                // number of jobs that have not ended; routes without such jobs are absent
	earlyCancellations      map[earlyCancellation]earlyCancellationRecord // of jobs that have not been submitted yet
	jobCounts               map[queuekey.Key]jobCounts                    // of the queues with known jobs
	minConfigurationVersion uint64                                        // the group acts by no older version of the configuration; see queuehandover.go
	lastArrival             uint64                                        // arrival number of the newest job
	jobsAwaitingRepetition  map[*jobState]bool                            // jobs with a repetition that has not started
	nextDueMS               int64                                         // earliest due time among jobsAwaitingRepetition, milliseconds since 1970; 0 for none
	nextDueStale            bool                                          // nextDueMS must be recomputed

	// Workers.
	workers         map[workerclient.WorkerID]*workerState
	sortedWorkers   []*workerState                 // the same workers, sorted by ID
	removedWorkers  map[workerclient.WorkerID]bool // incarnations that have ended
	operatorDrains  operatorDrains
	latencyCount    int     // number of workers with a smoothed latency
	latencySumMS    float64 // sum of their smoothed latencies
	medianPaceRatio float64 // median of the workers' pace ratios; 0 if none is known

	// Queue of waiting tasks.
	waitingStages  []*stageState // stages with tasks to be started, in the order computed by the last orderQueue
	orderStale     bool          // the order of waitingStages must be recomputed
	dispatchNeeded bool          // an event since the last Dispatch may allow waiting tasks to start
	orderingNumber uint64        // number of calls of waitingCandidates so far

	// Buffers that are reused, so that a dispatch does not allocate memory for each waiting job.
	acceptingWorkers       []*workerState // workers that accept starts, during the current dispatch
	acceptingWorkersListed bool           // acceptingWorkers has been filled during the current dispatch
	candidateScratch       []*candidate
	unitCostScratch        unitCosts
	paceRatioScratch       []float64
}

// New creates the scheduler of a new leadership from the replicated state. It returns an error that wraps ErrCorruptState
// if a record cannot be decoded or contradicts other records.
func New(settings Settings, now Now, state map[string][]byte) (*Scheduler, error) {
	s := &Scheduler{
		settings:               settings,
		startedAt:              now.Monotonic,
		jobs:                   map[job.ID]*jobState{},
		endedJobs:              map[job.ID]endedRecord{},
		workers:                map[workerclient.WorkerID]*workerState{},
		pendingByRoute:         map[string]int{},
		jobCounts:              map[queuekey.Key]jobCounts{},
		earlyCancellations:     map[earlyCancellation]earlyCancellationRecord{},
		removedWorkers:         map[workerclient.WorkerID]bool{},
		jobsAwaitingRepetition: map[*jobState]bool{},
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

// NeedsDispatch reports whether an event since the last Dispatch may allow waiting tasks to start.
func (s *Scheduler) NeedsDispatch() bool { return s.dispatchNeeded }

// Tick performs the time-based work: it prunes jobs that ended long ago, starts due repetitions, and checks the attempts
// under way for stalls and slow workers.
func (s *Scheduler) Tick(now Now) {
	s.pruneEndedJobs(now)
	s.pruneEarlyCancellations(now)
	for _, j := range s.dueJobs(now) {
		s.startDueRepetitions(now, j)
	}
	s.inspectAttempts(now)
	s.dispatchNeeded = true
}
