package workerclient

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// WorkerID identifies one incarnation of a worker on the platform.
type WorkerID string

// Instance is the platform's entry for one incarnation of a worker.
type Instance struct {
	ID                WorkerID
	Service           string
	Address           string
	Zone              string
	Version           string
	Slots             int
	Draining          bool
	RemainingMS       int64 // minimum time until a draining worker shuts down, in milliseconds; 0 if unknown
	WarmupRemainingMS int64 // time until a new worker reaches full speed, in milliseconds
	Capacity          job.Resources
	Labels            []string
}

// RunningTask is an attempt that a worker lists as running.
type RunningTask struct {
	Task          job.TaskID
	AttemptNumber uint64
	Checkpoint    string // last saved checkpoint; empty if there is none
	Percent       int
}

// FinishedTask is the completion of an attempt, as a worker lists it.
type FinishedTask struct {
	CompletionNumber uint64 // sequence number within one incarnation of a worker, starting at 1
	Task             job.TaskID
	AttemptNumber    uint64
	Outcome          job.Outcome
	Checkpoint       string
}

// StartCommand requests that a worker start an attempt of a task.
type StartCommand struct {
	Task          job.TaskID
	AttemptNumber uint64
	Specification string
	Checkpoint    string // checkpoint to resume from; empty to start from the beginning
}

// StopCommand requests that a worker stop an attempt. If the attempt has not been started yet, the worker rejects a later start of it.
type StopCommand struct {
	Task          job.TaskID
	AttemptNumber uint64
}

// StartOutcome is the outcome of a start command.
type StartOutcome uint8

const (
	// Unclear means that there was no usable response. The worker may execute the start, even seconds later.
	Unclear StartOutcome = iota
	// Started means that the worker has the attempt.
	Started
	// RejectedFencingToken means that the worker has seen a higher fencing token.
	RejectedFencingToken
	// RejectedStaleAttempt means that an attempt with the same or a higher number was stopped or has ended on the worker.
	RejectedStaleAttempt
	// RejectedLeaseExpired means that the lease in the start command had expired.
	RejectedLeaseExpired
	// RejectedCapacity means that the worker has no capacity left for the task.
	RejectedCapacity
	// RejectedInvalid means that the worker could not parse the command.
	RejectedInvalid
	// RejectedUnhealthy means that the worker was overloaded or unavailable and did not execute the command.
	RejectedUnhealthy
	// NotSent means that the command never left this process.
	NotSent
	// IncarnationEnded means that the worker's incarnation has ended.
	IncarnationEnded
)

var outcomeNames = [...]string{
	Unclear: "unclear", Started: "started", RejectedFencingToken: "rejected: fence", RejectedStaleAttempt: "rejected: old",
	RejectedLeaseExpired: "rejected: late", RejectedCapacity: "rejected: room", RejectedInvalid: "rejected: invalid",
	RejectedUnhealthy: "unhealthy", NotSent: "not sent", IncarnationEnded: "life over",
}

// String returns the outcome's name for logs.
func (o StartOutcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Listing is a worker's list of running attempts and unacknowledged completions. A link delivers its listings one at a time, in the
// order in which they were requested. Only listings from out-of-band polls may overtake those from renewals.
type Listing struct {
	Worker WorkerID
	// SentAt is the local time just before the listing was requested. An attempt that is not listed counts as absent only if its start
	// was answered before that time.
	SentAt time.Time
	// First marks the first listing under the link's fencing token. From then on the worker rejects lower tokens.
	First bool
	// Partial means that the worker has more completions than it listed. An attempt that is not listed may be among those.
	Partial bool
	// OutOfBand marks the response to a poll that was sent in parallel to a renewal: after a start without a response, after an
	// answered stop, or because the renewal was overdue.
	OutOfBand bool
	// Stale marks a listing whose running list may be older than that of a listing delivered before. Only its completions are
	// usable.
	Stale   bool
	Running []RunningTask
	// Finished is empty if all completions were delivered before. Completions that stay unacknowledged for a second are delivered
	// again.
	Finished []FinishedTask
}

// StartResult reports the outcome of a start.
type StartResult struct {
	Worker  WorkerID
	Command StartCommand
	Outcome StartOutcome
	At      time.Time // local time at which the response arrived or the start was abandoned
}

// StopResult reports that a worker has answered a stop, or that the link ended before the worker answered.
type StopResult struct {
	Worker   WorkerID
	Command  StopCommand
	Answered bool
	At       time.Time
}

// WorkerReplaced reports that the incarnation of the worker has ended, because another incarnation responds at its address. The link
// has ended.
type WorkerReplaced struct{ Worker WorkerID }

// FencingTokenRejected reports that the worker has rejected the link's fencing token, because it has seen a higher one. The link has
// ended.
type FencingTokenRejected struct{ Worker WorkerID }

// ReachabilityChange reports that a worker became reachable or unreachable. A worker is unreachable after two consecutive list calls,
// including their hedged requests, got no response or were refused. Any response makes it reachable again.
type ReachabilityChange struct {
	Worker    WorkerID
	Reachable bool
}

// Events receives the reports of a link. A link makes one call at a time, on any goroutine, and never from within one of its own methods
// other than Run. The methods of Events may call the methods of the link.
type Events interface {
	Listing(Listing)
	StartResult(StartResult)
	StopResult(StopResult)
	WorkerReplaced(WorkerReplaced)
	FencingTokenRejected(FencingTokenRejected)
	Reachability(ReachabilityChange)
}
