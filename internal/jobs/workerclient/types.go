// Package worker speaks to one worker: it keeps the tasks there alive, hears which attempts it has and which have ended, and
// passes on commands to start and to stop attempts.
//
// A renewal waits at the worker for a completion, and usually one is under way at any time. Polls, which do not wait, are made
// beside it where its answer is overdue and where the state of an attempt is to be known at once. Time-outs follow the round trips
// measured. A poll or a stop that is left without an answer is sent again before its time-out, a start never is.
//
// A Link is made for one incarnation of one worker under one fencing token. It reports through Events; what the reports mean for
// jobs is decided elsewhere.
package workerclient

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// WorkerID is the platform's identifier of one incarnation of a worker.
type WorkerID string

// Instance is what the platform's list says about one worker.
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

// RunningTask is one entry of a worker's list of attempts.
type RunningTask struct {
	Task          job.TaskID
	AttemptNumber uint64
	Checkpoint    string // the last one saved; empty when there is none
	Percent       int
}

// FinishedTask is one entry of a worker's list of completions.
type FinishedTask struct {
	CompletionNumber uint64 // counts the completions of one incarnation of a worker from 1
	Task             job.TaskID
	AttemptNumber    uint64
	Outcome          job.Outcome
	Checkpoint       string
}

// StartCommand asks for one attempt of a task.
type StartCommand struct {
	Task          job.TaskID
	AttemptNumber uint64
	Specification string
	Checkpoint    string // where the attempt goes on from; empty for the beginning
}

// StopCommand asks for the end of one attempt; an attempt that is not there yet will be rejected once stopped.
type StopCommand struct {
	Task          job.TaskID
	AttemptNumber uint64
}

// StartOutcome says what became of a start command.
type StartOutcome uint8

const (
	// Unclear means that no answer came: the command may be carried out, even seconds later.
	Unclear StartOutcome = iota
	// Started means that the attempt is there.
	Started
	// RejectedFencingToken means that the worker has seen a higher fencing token.
	RejectedFencingToken
	// RejectedStaleAttempt means that the execution is not above one that was stopped or has ended there.
	RejectedStaleAttempt
	// RejectedLeaseExpired means that the time up to which the attempt was to be held was over.
	RejectedLeaseExpired
	// RejectedCapacity means that the worker has no capacity left for the task.
	RejectedCapacity
	// RejectedInvalid means that the worker could not make sense of the command.
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

// Listing is a worker's account of its attempts and of the completions that were not acknowledged yet. The listings of one link come
// one at a time, and in the order in which they were asked for but for those of out-of-band polls, which may overtake holds.
type Listing struct {
	Worker WorkerID
	// SentAt is the local time just before the listing was asked for. An attempt may only be taken to be absent if its start
	// was answered before that time.
	SentAt time.Time
	// First marks the first listing under the link's fencing token: from now on the worker ignores lower tokens.
	First bool
	// Partial means that further completions are waiting, so an attempt missing here may be among those.
	Partial bool
	// OutOfBand marks the answer to a poll that was made beside a renewal: after a start without an answer, after an answered
	// stop, or as a renewal was overdue.
	OutOfBand bool
	// Stale marks a listing whose running list may be older than that of one delivered before. Only its completions are of use.
	Stale   bool
	Running []RunningTask
	// Finished is empty where all completions were delivered before, unless they were left without an acknowledgement for a second.
	Finished []FinishedTask
}

// StartResult reports what became of a start command.
type StartResult struct {
	Worker  WorkerID
	Command StartCommand
	Outcome StartOutcome
	At      time.Time // local time of the answer, or of giving up
}

// StopResult reports that a worker has taken a stop command, or that the link ended before it did.
type StopResult struct {
	Worker   WorkerID
	Command  StopCommand
	Answered bool
	At       time.Time
}

// Gone reports that the worker's incarnation is over: another one answers at its address.
type Gone struct{ Worker WorkerID }

// Fenced reports that the worker has seen a higher fencing token; the link has ended.
type Fenced struct{ Worker WorkerID }

// ReachabilityChange reports a change. A worker is unreachable once two calls for the lists in a row, with all hedged requests of
// them, were left without an answer, or were refused; an answer makes it reachable again.
type ReachabilityChange struct {
	Worker    WorkerID
	Reachable bool
}

// Events receives what a link has to report: one call at a time per link, on any goroutine, never from within a method of
// the link. Its methods may call those of the link.
type Events interface {
	Listing(Listing)
	StartResult(StartResult)
	StopResult(StopResult)
	Gone(Gone)
	Fenced(Fenced)
	Reachability(ReachabilityChange)
}
