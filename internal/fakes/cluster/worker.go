package cluster

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// WorkerConfig describes one worker.
type WorkerConfig struct {
	ID        string
	Service   string
	Zone      string
	Version   string
	Slots     int
	Capacity  job.Resources
	Labels    []string
	Guards    bool          // reject what does not fit
	ClockRate float64       // of its steady clock to the cluster's; 1 when 0
	ClockZero time.Duration // what its clock shows when it starts
}

// Worker runs tasks. Its state is guarded by the cluster's lock.
type Worker struct {
	cluster *Cluster
	server  *server

	config      WorkerConfig
	startedAt   time.Time
	faults      func(Call) Fault
	incarnation *incarnation
	calls       map[Call]int
	draining    bool
	leavesAt    time.Time
}

// incarnation is what a worker forgets when it crashes.
type incarnation struct {
	id             string
	fencingToken   uint64
	leaseExpiry    time.Duration // on the worker's clock
	running        []*run
	barred         map[job.TaskID]uint64 // the highest execution that was stopped or has ended
	completions    []*run                // not acknowledged yet
	lastCompletion uint64                // of the newest end
	waiters        map[chan struct{}]bool
	crashed        chan struct{} // closed when it crashes
}

func newIncarnation(id string) *incarnation {
	return &incarnation{
		id: id, barred: make(map[job.TaskID]uint64), waiters: make(map[chan struct{}]bool), crashed: make(chan struct{}),
	}
}

// AddWorker starts a worker.
func (c *Cluster) AddWorker(config WorkerConfig) *Worker {
	if config.ClockRate == 0 {
		config.ClockRate = 1
	}
	s := &Worker{
		cluster: c, config: config, startedAt: c.clock.Now(), incarnation: newIncarnation(config.ID), calls: make(map[Call]int),
	}
	s.server = &server{address: config.ID}
	if !c.settings.InMemory {
		s.server = listen(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append(c.workers, s)
	c.listChanged()
	return s
}

// Address is where the worker listens, or where MemoryClient finds it.
func (s *Worker) Address() string { return s.server.address }

// ID is the identifier of its present life.
func (s *Worker) ID() string {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.incarnation.id
}

// Connections is how many connections it has accepted so far.
func (s *Worker) Connections() int { return s.server.acceptedConnections() }

// Calls is how many calls of a kind have come so far.
func (s *Worker) Calls(kind Call) int {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.calls[kind]
}

// LeaseExpiry is the time up to which its runs are held, in the cluster's time and on the worker's own clock's pace.
func (s *Worker) LeaseExpiry() time.Time {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.cluster.clock.Now().Add(s.delayUntil(s.incarnation.leaseExpiry))
}

// NotRunningError says that a backend does not run a task.
type NotRunningError struct {
	Backend string
	Task    job.TaskID
}

// Error returns what is wrong, for a person.
func (e NotRunningError) Error() string {
	return fmt.Sprintf("searcher %s runs no task %v", e.Backend, e.Task)
}

// Finish ends the run of a task that is at work, as if by itself.
func (s *Worker) Finish(task job.TaskID, how job.Outcome) error {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, r := range s.incarnation.running {
		if r.record.Task == task {
			r.finish(how)
			return nil
		}
	}
	return NotRunningError{s.incarnation.id, task}
}

// Crash kills all that runs, cuts the connections and begins a new life.
func (s *Worker) Crash(newID string) {
	s.cluster.mu.Lock()
	old := s.incarnation
	for _, r := range append([]*run(nil), old.running...) {
		r.remove()
		r.record.EndedAt = s.cluster.clock.Now()
		r.breakGang()
	}
	s.incarnation = newIncarnation(newID)
	s.draining = false
	close(old.crashed)
	s.cluster.listChanged()
	s.cluster.mu.Unlock()
	s.server.closeConnections()
}

// Leave ends the worker for good, with all that runs there, and takes it off the list.
func (s *Worker) Leave() {
	s.server.close()
	s.Crash("")
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.removeWorker(s)
}

// Drain lists the worker as draining, with the given least time left.
func (s *Worker) Drain(remaining time.Duration) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.draining = true
	s.leavesAt = s.cluster.clock.Now().Add(remaining)
	s.cluster.listChanged()
}

// clockNow is what the worker's steady clock shows.
func (s *Worker) clockNow() time.Duration {
	passed := s.cluster.clock.Now().Sub(s.startedAt)
	return s.config.ClockZero + time.Duration(float64(passed)*s.config.ClockRate)
}

// delayUntil is how long it takes, in the cluster's time, until the worker's clock shows a time.
func (s *Worker) delayUntil(clock time.Duration) time.Duration {
	return time.Duration(float64(clock-s.clockNow()) / s.config.ClockRate)
}

// renewLease takes in a validUntil, which never shortens what was granted.
func (s *Worker) renewLease(validUntil time.Duration) {
	now := s.clockNow()
	if most := now + s.cluster.settings.LeaseMax; validUntil > most {
		validUntil = most
	}
	if validUntil <= s.incarnation.leaseExpiry || validUntil <= now {
		return
	}
	s.incarnation.leaseExpiry = validUntil
	s.expireLease(s.incarnation)
}

// expireLease kills all that runs once the hold is over.
func (s *Worker) expireLease(incarnation *incarnation) {
	expiry := incarnation.leaseExpiry
	s.cluster.clock.AfterFunc(max(0, s.delayUntil(expiry))+time.Millisecond, func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		if s.incarnation != incarnation || incarnation.leaseExpiry != expiry {
			return
		}
		for _, r := range append([]*run(nil), incarnation.running...) {
			r.end(job.OutcomeLeaseExpired)
		}
	})
}

// used is the capacity taken by what runs, that being stopped included.
func (s *Worker) used() job.Resources {
	var sum job.Resources
	for _, r := range s.incarnation.running {
		sum = sum.Add(r.profile.Resources)
	}
	return sum
}
