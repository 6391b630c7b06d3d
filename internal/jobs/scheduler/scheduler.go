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
	FarFactor   float64       // how much longer a task takes away from its data or across racks
	StopTime    time.Duration // a stop takes at most this long
	RestoreTime time.Duration // a start from a checkpoint takes this much longer
	HoldMax     time.Duration // longest time that a worker keeps tasks without renewal
	DrainTime   time.Duration // a draining worker stays at least this long
	StatusKept  time.Duration // how long an ended job's state is kept
}

// Now is the time of a call on both clocks.
type Now struct {
	Steady time.Time // for intervals
	WallMS int64     // milliseconds since 1970, for due times; may jump
}

// Order is a start or a stop for one worker.
type Order struct {
	Worker workerclient.WorkerID
	Start  *workerclient.StartOrder // nil for a stop
	Stop   *workerclient.StopOrder
}

// Noted says that all of a worker's ends up to Number are covered by the entries gathered so far.
type Noted struct {
	Worker workerclient.WorkerID
	Number uint64
}

// Effects are what the calls since the last Take want done: first the entries made durable, then the rest.
type Effects struct {
	Entries []replication.Entry
	Orders  []Order
	Noted   []Noted
}

// Empty tells whether there is nothing to do.
func (e *Effects) Empty() bool {
	return len(e.Entries) == 0 && len(e.Orders) == 0 && len(e.Noted) == 0
}

// Scheduler is the state of one service's jobs under one leadership.
type Scheduler struct {
	settings   Settings
	startedAt  time.Time // when this leadership began
	jobs       map[job.ID]*jobState
	ended      map[job.ID]endedRecord
	workers    map[workerclient.WorkerID]*worker
	list       []*worker                      // the same, in a stable order
	gone       map[workerclient.WorkerID]bool // lives that are over
	scheduled  map[*jobState]bool             // jobs with repetitions that have not begun
	nextDue    int64                          // the earliest of them, milliseconds since 1970; 0 for none
	dueChanged bool                           // nextDue must be worked out anew
	stages     []*stageRun                    // with tasks that wait for a start
	pending    map[string]int
	arrivals   uint64
	unsorted   bool // the order of stages must be computed anew
	unplaced   bool // waiting tasks may find room
	heard      int  // workers with a smoothed latency
	heardSum   float64
	usualDrag  float64   // median of the workers
	drags      []float64 // scratch of settleDrag
	effects    Effects
	open       []*worker    // scratch of Dispatch: those that take starts, once they were looked for
	opened     bool         // they were, in the current dispatch
	ordering   uint64       // number of the current ordering
	waiting    []*candidate // scratch of the ordering
	unitCosts  unitCosts    // scratch of costsOf

	operatorDrains operatorDrains
}

// New makes the scheduler of a leadership from the replicated state.
func New(settings Settings, now Now, state map[string][]byte) (*Scheduler, error) {
	s := &Scheduler{
		settings:  settings,
		startedAt: now.Steady,
		jobs:      map[job.ID]*jobState{},
		ended:     map[job.ID]endedRecord{},
		workers:   map[workerclient.WorkerID]*worker{},
		pending:   map[string]int{},
		gone:      map[workerclient.WorkerID]bool{},
		scheduled: map[*jobState]bool{},
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

// Take returns the effects gathered since the last call.
func (s *Scheduler) Take() Effects {
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// Unplaced tells whether something has happened since the last Dispatch that may let waiting tasks start.
func (s *Scheduler) Unplaced() bool { return s.unplaced }

// Submit takes a job in; the same ID again is the same job.
func (s *Scheduler) Submit(now Now, request *jobapi.Submit) {
	if s.known(request.ID) {
		return
	}
	s.arrivals++
	j := newJob(request.ID, jobRecord{Queue: request.Queue, Specification: request.Specification, Arrival: s.arrivals, ArrivedMS: now.WallMS})
	s.addJob(j)
	s.write(jobKey(j.id), j.jobRecord)
	s.advance(now, j)
	s.unplaced = true
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
		s.unplaced = true
		return true
	}
	_, known := s.ended[id]
	return known
}

// Pending counts a route's jobs that have not ended.
func (s *Scheduler) Pending(route string) int { return s.pending[route] }

// Wanted tells whether a start that has become durable is still to be sent.
func (s *Scheduler) Wanted(id workerclient.WorkerID, order *workerclient.StartOrder) bool {
	sr := s.workers[id]
	if sr == nil {
		return false
	}
	r := sr.runs[order.Task]
	return r != nil && r.execution == order.Execution && !r.stopping
}

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now Now) {
	s.forgetEnded(now)
	for _, j := range s.dueJobs(now) {
		s.advance(now, j)
	}
	s.inspectRuns(now)
	s.unplaced = true
}

// dueJobs lists the jobs with a repetition that is due, in order of arrival, so that the same events give the same effects.
func (s *Scheduler) dueJobs(now Now) []*jobState {
	var due []*jobState
	for j := range s.scheduled {
		if j.nextDue <= now.WallMS {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *jobState) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return due
}

// NextDue is the earliest time (milliseconds since 1970) at which a scheduled repetition begins; 0 when none waits.
func (s *Scheduler) NextDue() int64 {
	if !s.dueChanged {
		return s.nextDue
	}
	s.nextDue, s.dueChanged = 0, false
	for j := range s.scheduled {
		if s.nextDue == 0 || j.nextDue < s.nextDue {
			s.nextDue = j.nextDue
		}
	}
	return s.nextDue
}

// schedule notes when a job's next repetition begins.
func (s *Scheduler) schedule(j *jobState, due int64) {
	j.nextDue = due
	s.scheduled[j] = true
	s.dueChanged = true
}

// unschedule notes that a job has no repetition left to begin.
func (s *Scheduler) unschedule(j *jobState) {
	if s.scheduled[j] {
		delete(s.scheduled, j)
		s.dueChanged = true
	}
}

func (s *Scheduler) known(id job.ID) bool {
	_, live := s.jobs[id]
	_, ended := s.ended[id]
	return live || ended
}

func (s *Scheduler) addJob(j *jobState) {
	s.jobs[j.id] = j
	s.pending[j.Queue.Route]++
}
