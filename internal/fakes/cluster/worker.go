package cluster

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// WorkerConfig is the configuration of one worker.
type WorkerConfig struct {
	ID               string
	Service          string
	Zone             string
	Version          string
	Slots            int
	Capacity         job.Resources
	Labels           []string
	EnforcesCapacity bool          // reject tasks that exceed the free capacity
	ClockRate        float64       // rate of its monotonic clock relative to the cluster's; 0 means 1
	ClockStart       time.Duration // reading of its clock when it starts
}

// Worker is a fake worker. The cluster's lock guards its state.
type Worker struct {
	cluster *Cluster
	server  *server

	config      WorkerConfig
	startedAt   time.Time
	faultOf     func(CallKind) Fault
	incarnation *incarnation
	calls       map[CallKind]int
	draining    bool
	leavesAt    time.Time
}

// incarnation is the state that a worker loses when it crashes.
type incarnation struct {
	id              string
	fencingToken    uint64
	leaseExpiry     time.Duration // on the worker's clock
	running         []*attempt
	highestFinished map[job.TaskID]uint64 // the highest attempt number that was stopped or has ended
	completions     []*attempt            // ended attempts that are not acknowledged yet
	lastCompletion  uint64                // number of the newest completion
	waiters         map[chan struct{}]bool
	crashed         chan struct{} // closed when it crashes
}

func newIncarnation(id string) *incarnation {
	return &incarnation{
		id: id, highestFinished: make(map[job.TaskID]uint64), waiters: make(map[chan struct{}]bool), crashed: make(chan struct{}),
	}
}

// AddWorker starts a worker and adds it to the platforms' lists.
func (c *Cluster) AddWorker(config WorkerConfig) *Worker {
	if config.ClockRate == 0 {
		config.ClockRate = 1
	}
	worker := &Worker{
		cluster: c, config: config, startedAt: c.clock.Now(), incarnation: newIncarnation(config.ID), calls: make(map[CallKind]int),
	}
	worker.server = &server{address: config.ID}
	if !c.settings.InMemory {
		worker.server = listen(worker)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append(c.workers, worker)
	c.listChanged()
	return worker
}

// Address returns the address at which the worker listens. For a worker without sockets it is the address for MemoryClient.
func (s *Worker) Address() string { return s.server.address }

// ID returns the identifier of the worker's current incarnation.
func (s *Worker) ID() string {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.incarnation.id
}

// Connections returns the number of connections accepted so far.
func (s *Worker) Connections() int { return s.server.acceptedConnections() }

// Calls returns the number of calls of a kind received so far.
func (s *Worker) Calls(kind CallKind) int {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.calls[kind]
}

// LeaseExpiry returns the time on the cluster's clock at which the worker's lease expires, given the rate of the worker's clock.
func (s *Worker) LeaseExpiry() time.Time {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.cluster.clock.Now().Add(s.delayUntil(s.incarnation.leaseExpiry))
}

// NotRunningError reports that a worker does not run a task.
type NotRunningError struct {
	Worker string
	Task   job.TaskID
}

// Error implements error.
func (e NotRunningError) Error() string {
	return fmt.Sprintf("worker %s does not run task %v", e.Worker, e.Task)
}

// Finish ends the running attempt of a task with an outcome, as if the task had ended by itself.
func (s *Worker) Finish(task job.TaskID, outcome job.Outcome) error {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, r := range s.incarnation.running {
		if r.record.Task == task {
			r.finish(outcome)
			return nil
		}
	}
	return NotRunningError{s.incarnation.id, task}
}

// Crash ends all attempts without an outcome, closes the connections and starts a new incarnation of the worker.
func (s *Worker) Crash(newID string) {
	s.cluster.mu.Lock()
	old := s.incarnation
	for _, r := range append([]*attempt(nil), old.running...) {
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

// Leave stops the worker permanently, with all its attempts, and removes it from the list.
func (s *Worker) Leave() {
	s.server.close()
	s.Crash("")
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.removeWorker(s)
}

// Drain lists the worker as draining, with the given time remaining before it may leave.
func (s *Worker) Drain(remaining time.Duration) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.draining = true
	s.leavesAt = s.cluster.clock.Now().Add(remaining)
	s.cluster.listChanged()
}

// clockNow returns the reading of the worker's monotonic clock.
func (s *Worker) clockNow() time.Duration {
	passed := s.cluster.clock.Now().Sub(s.startedAt)
	return s.config.ClockStart + time.Duration(float64(passed)*s.config.ClockRate)
}

// delayUntil returns the time on the cluster's clock that passes until the worker's clock shows the given reading.
func (s *Worker) delayUntil(clock time.Duration) time.Duration {
	return time.Duration(float64(clock-s.clockNow()) / s.config.ClockRate)
}

// renewLease extends the lease to validUntil, but to no more than MaxLease from now. It never shortens the lease.
func (s *Worker) renewLease(validUntil time.Duration) {
	now := s.clockNow()
	if longest := now + s.cluster.settings.MaxLease; validUntil > longest {
		validUntil = longest
	}
	if validUntil <= s.incarnation.leaseExpiry || validUntil <= now {
		return
	}
	s.incarnation.leaseExpiry = validUntil
	s.expireLease(s.incarnation)
}

// expireLease ends all attempts when the lease expires, unless the lease is extended before.
func (s *Worker) expireLease(incarnation *incarnation) {
	expiry := incarnation.leaseExpiry
	s.cluster.clock.AfterFunc(max(0, s.delayUntil(expiry))+time.Millisecond, func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		if s.incarnation != incarnation || incarnation.leaseExpiry != expiry {
			return
		}
		for _, r := range append([]*attempt(nil), incarnation.running...) {
			r.end(job.OutcomeLeaseExpired)
		}
	})
}

// used returns the capacity that running attempts take, including those that are being stopped.
func (s *Worker) used() job.Resources {
	var sum job.Resources
	for _, r := range s.incarnation.running {
		sum = sum.Add(r.profile.Resources)
	}
	return sum
}
