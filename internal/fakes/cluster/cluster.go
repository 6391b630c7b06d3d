// Package cluster provides in-process fakes of the systems around the scheduler: workers that execute tasks, the platform's
// list of workers, and an operator. Only tests and the demo import it.
package cluster

import (
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// Profile describes the resources and the behavior of a task.
type Profile struct {
	Resources         job.Resources
	Duration          time.Duration // how long it works; 0 means until Finish is called
	Outcome           job.Outcome   // of an attempt that is not interrupted; empty means job.OutcomeDone
	GangSize          int           // number of members; 0 for a task that is not gang-scheduled
	WritesCheckpoints bool
}

// Settings apply to all workers of a cluster. A duration of 0 means no delay, but for CheckpointInterval it means no periodic
// checkpoints.
type Settings struct {
	MaxLease           time.Duration // longest lease, on the worker's clock
	GangTimeout        time.Duration
	StopDuration       time.Duration
	CheckpointInterval time.Duration
	RestoreDuration    time.Duration
	// InMemory starts workers without sockets. Only MemoryClient reaches them.
	InMemory bool
	// TaskProfile returns the profile of a task. If nil, tasks need no resources and work until Finish is called.
	TaskProfile func(task job.TaskID, specification string) Profile
}

// Cluster is a set of fake workers and the platforms that list them.
type Cluster struct {
	clock    Clock
	settings Settings

	mu        sync.Mutex // guards the state of all workers, because a gang spans several of them
	workers   []*Worker
	attempts  []*attempt // all attempts since New
	platforms []*Platform
	closed    chan struct{}
}

// New returns a cluster without workers.
func New(clock Clock, settings Settings) *Cluster {
	return &Cluster{clock: clock, settings: settings, closed: make(chan struct{})}
}

// Close stops the servers of all workers and platforms.
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

// AttemptRecord is the history of one attempt.
type AttemptRecord struct {
	Worker        string // identifier of the worker's incarnation
	Task          job.TaskID
	Number        uint64
	FencingToken  uint64
	Specification string
	Checkpoint    string // the checkpoint in the start call
	Late          bool   // started by a call that was executed late and never answered
	StartedAt     time.Time
	EndedAt       time.Time   // zero while it runs
	Outcome       job.Outcome // empty while it runs, and if its worker crashed
	Acknowledged  bool        // lastSeen of a poll covered its completion
	OverCapacity  bool        // the worker lacked capacity when it started
}

// Attempts returns the records of all attempts so far, in the order of their starts.
func (c *Cluster) Attempts() []AttemptRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]AttemptRecord, len(c.attempts))
	for i, r := range c.attempts {
		records[i] = r.record
	}
	return records
}

// Overlap returns two attempts of one task that ran at the same time, if there are any.
func Overlap(records []AttemptRecord) (earlier, later AttemptRecord, found bool) {
	byTask := make(map[job.TaskID][]AttemptRecord)
	for _, record := range records {
		for _, other := range byTask[record.Task] {
			if other.EndedAt.IsZero() || other.EndedAt.After(record.StartedAt) {
				return other, record, true
			}
		}
		byTask[record.Task] = append(byTask[record.Task], record)
	}
	return AttemptRecord{}, AttemptRecord{}, false
}
