// Package cluster has in-process stand-ins for what surrounds the system: workers that run tasks, the platform's list of
// them, and an operator. Only tests and the demo import it.
package cluster

import (
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// Profile is what a task needs and does.
type Profile struct {
	Resources   job.Resources
	Duration    time.Duration // how long it works; 0 to work until Finish is called
	Ends        job.Outcome   // how it ends by itself; job.Done when empty
	Gang        int           // how many members work together; 0 when it works alone
	Checkpoints bool
}

// Settings are common to all workers of a cluster. A time of 0 means at once, and never for SaveEvery.
type Settings struct {
	LeaseMax  time.Duration // on a worker's clock
	GangWait  time.Duration
	StopTime  time.Duration
	SaveEvery time.Duration
	Restore   time.Duration
	// InMemory workers have no sockets; MemoryClient reaches them.
	InMemory bool
	// Describe tells what a task needs; nil for tasks that need nothing and work until Finish is called.
	Describe func(task job.TaskID, specification string) Profile
}

// Cluster is a set of workers and the platform that lists them.
type Cluster struct {
	clock    Clock
	settings Settings

	mu        sync.Mutex // guards the state of all workers, as gangs reach over several of them
	workers   []*Worker
	runs      []*run // all that ever were
	platforms []*Platform
	closed    chan struct{}
}

// New makes an empty cluster.
func New(clock Clock, settings Settings) *Cluster {
	return &Cluster{clock: clock, settings: settings, closed: make(chan struct{})}
}

// Close ends all that listens.
func (c *Cluster) Close() {
	close(c.closed)
	c.mu.Lock()
	workers, platforms := c.workers, c.platforms
	c.mu.Unlock()
	for _, worker := range workers {
		worker.server.close()
	}
	for _, platform := range platforms {
		platform.server.close()
	}
}

// RunRecord is the history of one run.
type RunRecord struct {
	Worker        string // the identifier of its life
	Task          job.TaskID
	Execution     uint64
	FencingToken  uint64
	Specification string
	Checkpoint    string // that it was started with
	Late          bool   // carried out after its call had been left unanswered
	StartedAt     time.Time
	EndedAt       time.Time   // the zero time while it runs
	Outcome       job.Outcome // empty while it runs, and when its worker crashed
	Acknowledged  bool        // a later hold's lastSeen has reached its end
	OverCapacity  bool        // it was started without room for it
}

// Runs returns the records of all runs so far, in the order of their starts.
func (c *Cluster) Runs() []RunRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]RunRecord, len(c.runs))
	for i, r := range c.runs {
		records[i] = r.record
	}
	return records
}

// Overlap finds two runs of one task that were there at the same time.
func Overlap(records []RunRecord) (earlier, later RunRecord, found bool) {
	byTask := make(map[job.TaskID][]RunRecord)
	for _, record := range records {
		for _, other := range byTask[record.Task] {
			if other.EndedAt.IsZero() || other.EndedAt.After(record.StartedAt) {
				return other, record, true
			}
		}
		byTask[record.Task] = append(byTask[record.Task], record)
	}
	return RunRecord{}, RunRecord{}, false
}
