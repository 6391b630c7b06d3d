package cluster

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// SearcherConfig describes one searcher.
type SearcherConfig struct {
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

// Searcher runs tasks. Its state is guarded by the cluster's lock.
type Searcher struct {
	cluster *Cluster
	server  *server

	config    SearcherConfig
	startedAt time.Time
	faults    func(Call) Fault
	life      *life
	calls     map[Call]int
	draining  bool
	leavesAt  time.Time
}

// life is what a searcher forgets when it crashes.
type life struct {
	id        string
	fence     uint64
	heldUntil time.Duration // on the searcher's clock
	running   []*run
	barred    map[job.TaskID]uint64 // the highest execution that was stopped or has ended
	ends      []*run                // not acknowledged yet
	number    uint64                // of the newest end
	waiters   map[chan struct{}]bool
	over      chan struct{} // closed when it crashes
}

func newLife(id string) *life {
	return &life{
		id: id, barred: make(map[job.TaskID]uint64), waiters: make(map[chan struct{}]bool), over: make(chan struct{}),
	}
}

// AddSearcher starts a searcher.
func (c *Cluster) AddSearcher(config SearcherConfig) *Searcher {
	if config.ClockRate == 0 {
		config.ClockRate = 1
	}
	s := &Searcher{
		cluster: c, config: config, startedAt: c.clock.Now(), life: newLife(config.ID), calls: make(map[Call]int),
	}
	s.server = &server{address: config.ID}
	if !c.settings.InMemory {
		s.server = listen(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.searchers = append(c.searchers, s)
	c.listChanged()
	return s
}

// Address is where the searcher listens, or where MemoryClient finds it.
func (s *Searcher) Address() string { return s.server.address }

// ID is the identifier of its present life.
func (s *Searcher) ID() string {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.life.id
}

// Connections is how many connections it has accepted so far.
func (s *Searcher) Connections() int { return s.server.acceptedConnections() }

// Calls is how many calls of a kind have come so far.
func (s *Searcher) Calls(kind Call) int {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.calls[kind]
}

// HeldUntil is the time up to which its runs are held, in the cluster's time and on the searcher's own clock's pace.
func (s *Searcher) HeldUntil() time.Time {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.cluster.clock.Now().Add(s.delayUntil(s.life.heldUntil))
}

// NotRunningError says that a searcher does not run a task.
type NotRunningError struct {
	Searcher string
	Task     job.TaskID
}

func (e NotRunningError) Error() string {
	return fmt.Sprintf("searcher %s runs no task %v", e.Searcher, e.Task)
}

// Finish ends the run of a task that is at work, as if by itself.
func (s *Searcher) Finish(task job.TaskID, how job.How) error {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, r := range s.life.running {
		if r.record.Task == task {
			r.finish(how)
			return nil
		}
	}
	return NotRunningError{s.life.id, task}
}

// Crash kills all that runs, cuts the connections and begins a new life.
func (s *Searcher) Crash(newID string) {
	s.cluster.mu.Lock()
	old := s.life
	for _, r := range append([]*run(nil), old.running...) {
		r.remove()
		r.record.EndedAt = s.cluster.clock.Now()
		r.breakGang()
	}
	s.life = newLife(newID)
	s.draining = false
	close(old.over)
	s.cluster.listChanged()
	s.cluster.mu.Unlock()
	s.server.cut()
}

// Leave ends the searcher for good, with all that runs there, and takes it off the list.
func (s *Searcher) Leave() {
	s.server.close()
	s.Crash("")
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.removeSearcher(s)
}

// Drain lists the searcher as draining, with the given least time left.
func (s *Searcher) Drain(remaining time.Duration) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.draining = true
	s.leavesAt = s.cluster.clock.Now().Add(remaining)
	s.cluster.listChanged()
}

// clockNow is what the searcher's steady clock shows.
func (s *Searcher) clockNow() time.Duration {
	passed := s.cluster.clock.Now().Sub(s.startedAt)
	return s.config.ClockZero + time.Duration(float64(passed)*s.config.ClockRate)
}

// delayUntil is how long it takes, in the cluster's time, until the searcher's clock shows a time.
func (s *Searcher) delayUntil(clock time.Duration) time.Duration {
	return time.Duration(float64(clock-s.clockNow()) / s.config.ClockRate)
}

// hold takes in a validUntil, which never shortens what was granted.
func (s *Searcher) hold(validUntil time.Duration) {
	now := s.clockNow()
	if most := now + s.cluster.settings.HoldMax; validUntil > most {
		validUntil = most
	}
	if validUntil <= s.life.heldUntil || validUntil <= now {
		return
	}
	s.life.heldUntil = validUntil
	s.awaitLapse(s.life)
}

// awaitLapse kills all that runs once the hold is over.
func (s *Searcher) awaitLapse(of *life) {
	heldUntil := of.heldUntil
	s.cluster.clock.AfterFunc(max(0, s.delayUntil(heldUntil))+time.Millisecond, func() {
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		if s.life != of || of.heldUntil != heldUntil {
			return
		}
		for _, r := range append([]*run(nil), of.running...) {
			r.end(job.Lapsed)
		}
	})
}

// used is the capacity taken by what runs, that being stopped included.
func (s *Searcher) used() job.Resources {
	var sum job.Resources
	for _, r := range s.life.running {
		sum = sum.Add(r.profile.Resources)
	}
	return sum
}
