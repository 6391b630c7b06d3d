package workerclient

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// WorkerID is the identifier by which the platform knows one incarnation of a worker.
type WorkerID string

// Instance is what the platform's list says about one incarnation of a worker.
type Instance struct {
	ID                WorkerID
	Service           string
	Address           string
	Zone              string
	Version           string
	Slots             int
	Draining          bool
	RemainingMS       int64 // the least time that a draining worker has left, in milliseconds; 0 when unknown
	WarmupRemainingMS int64 // how long a new worker stays slow, in milliseconds
	Capacity          job.Resources
	Labels            []string
}

// RunningTask is an attempt that a worker lists as running.
type RunningTask struct {
	Task          job.TaskID
	AttemptNumber uint64
	Checkpoint    string // the last one saved; empty when there is none
	Percent       int
}

// FinishedTask is the completion of an attempt, as a worker lists it.
type FinishedTask struct {
	CompletionNumber uint64 // counts the completions of one incarnation of a worker, from 1
	Task             job.TaskID
	AttemptNumber    uint64
	Outcome          job.Outcome
	Checkpoint       string
}

// StartCommand asks a worker to begin an attempt of a task.
type StartCommand struct {
	Task          job.TaskID
	AttemptNumber uint64
	Specification string
	Checkpoint    string // where the attempt resumes; empty for the beginning
}

// StopCommand asks a worker to end an attempt. One that is not there yet is rejected when it comes.
type StopCommand struct {
	Task          job.TaskID
	AttemptNumber uint64
}

// StartOutcome is what became of a start.
type StartOutcome uint8

const (
	// Unclear means that no response came: the start may be executed, even seconds later.
	Unclear StartOutcome = iota
	// Started means that the attempt is there.
	Started
	// RejectedFencingToken means that the worker has seen a higher fencing token.
	RejectedFencingToken
	// RejectedStaleAttempt means that the attempt number is not above one that was stopped or has ended there.
	RejectedStaleAttempt
	// RejectedLeaseExpired means that the lease that the start carries was over.
	RejectedLeaseExpired
	// RejectedCapacity means that the worker has no capacity left for the task.
	RejectedCapacity
	// RejectedInvalid means that the worker could not read the command.
	RejectedInvalid
	// RejectedUnhealthy means that the worker refused to do anything at present.
	RejectedUnhealthy
	// NotSent means that the command never left this process.
	NotSent
	// IncarnationOver means that the worker's incarnation is over.
	IncarnationOver
)

var outcomeNames = [...]string{
	Unclear: "unclear", Started: "started", RejectedFencingToken: "rejected: fence", RejectedStaleAttempt: "rejected: old",
	RejectedLeaseExpired: "rejected: late", RejectedCapacity: "rejected: room", RejectedInvalid: "rejected: invalid",
	RejectedUnhealthy: "unhealthy", NotSent: "not sent", IncarnationOver: "life over",
}

// String returns the outcome's name for logs.
func (o StartOutcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Listing is what a worker reports: its attempts and the completions that were not acknowledged yet. The listings of one link come
// one at a time, and in the order in which they were requested except for those of out-of-band polls, which may overtake renewals.
type Listing struct {
	Worker WorkerID
	// SentAt is the local time just before the listing was requested. An attempt may only be taken to be absent if its start
	// was answered before that time.
	SentAt time.Time
	// First marks the first listing under the link's fencing token: from now on the worker ignores lower tokens.
	First bool
	// Partial means that further completions are waiting, so an attempt missing here may be among those.
	Partial bool
	// OutOfBand marks the response to a poll that was made beside a renewal: after a start without a response, after an answered
	// stop, or as a renewal was overdue.
	OutOfBand bool
	// Stale marks a listing whose running list may be older than that of one delivered before. Only its completions are of use.
	Stale   bool
	Running []RunningTask
	// Finished is empty where all completions were delivered before, unless they were left without an acknowledgement for a second.
	Finished []FinishedTask
}

// StartResult reports what became of a start.
type StartResult struct {
	Worker  WorkerID
	Command StartCommand
	Outcome StartOutcome
	At      time.Time // local time of the response, or when the start was given up
}

// StopResult reports that a worker has answered a stop, or that the link ended before it did.
type StopResult struct {
	Worker   WorkerID
	Command  StopCommand
	Answered bool
	At       time.Time
}

// Gone reports that the incarnation of the worker is over: another one responds at its address. The link has ended.
type Gone struct{ Worker WorkerID }

// Fenced reports that the worker has seen a higher fencing token; the link has ended.
type Fenced struct{ Worker WorkerID }

// ReachabilityChange reports that a worker became unreachable or reachable (again). It is unreachable once two calls for the lists in
// a row, with all their hedged requests, were left without a response, or were refused; a response makes it reachable again.
type ReachabilityChange struct {
	Worker    WorkerID
	Reachable bool
}

// Events receives what a link has to report: one call at a time per link, on any goroutine, never from within a method of the link.
// Its methods may call those of the link.
type Events interface {
	Listing(Listing)
	StartResult(StartResult)
	StopResult(StopResult)
	Gone(Gone)
	Fenced(Fenced)
	Reachability(ReachabilityChange)
}
