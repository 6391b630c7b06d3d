// Command 2 is the second case of the review: jobs that are cancelled while a new coordinator takes over.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/review/lab"
)

const (
	workers  = 4
	jobCount = 8
	jobBody  = `{"specification":"lasting","stages":[{"count":2,"processors":500,"memoryRequestMb":256,"estimatedDurationMs":1000,"longRunning":true}]}`
	// platformDelay is the time that the platform takes to answer a call.
	platformDelay = 50 * time.Millisecond
	// cancelTime is cancel_ms + stop_ms: after that time from the answer to a cancellation no task of the job may run.
	cancelTime = 3*time.Second + lab.StopTime
	// watchTime is how long the case goes on looking after that.
	watchTime = 20 * time.Second
)

var (
	errNotStarted  = errors.New("the jobs did not all start")
	errNotAccepted = errors.New("a job was not accepted")
	errNotAnswered = errors.New("a cancellation was not answered")
)

// profile tells a searcher what a task uses. It works until it is stopped.
func profile(job.TaskID, string) lab.Profile {
	return lab.Profile{Resources: job.Resources{Processors: 500, MemoryMB: 256}}
}

func main() {
	options := lab.Options{
		Service: "kosarica", Prefix: "/lohu930/", Host: "ficu95.example", Workers: workers,
		Capacity: job.Resources{Processors: 16000, MemoryMB: 65536}, Profile: profile, PlatformDelay: platformDelay,
	}
	os.Exit(lab.RunCase(os.Args[1], options, run))
}

func jobID(number int) job.ID { return job.ID(fmt.Sprintf("5c0e7a21d94b36%02x", number)) }

func run(ctx context.Context, l *lab.Lab, trouble bool) (held bool, err error) {
	for number := range jobCount {
		if _, accepted := l.Submit(ctx, jobID(number), jobBody); !accepted {
			return false, errNotAccepted
		}
	}
	if !lab.Await(ctx, 15*time.Second, 100*time.Millisecond, func() bool { return len(l.Running()) == 2*jobCount }) {
		return false, errNotStarted
	}
	lab.Sleep(ctx, 2*lab.Contact)
	leader, term, err := l.Leader(ctx)
	if err != nil {
		return false, err
	}
	l.Record.Add("core-%d leads the jobs, fencingToken %d", leader, term)
	if trouble {
		l.KillCore(leader)
	}
	answered := cancelAll(ctx, l)
	if answered.IsZero() {
		return false, errNotAnswered
	}
	return judge(ctx, l, answered), nil
}

// cancelAll cancels all jobs, each by a client of its own, and returns the time of the last answer.
func cancelAll(ctx context.Context, l *lab.Lab) (last time.Time) {
	var clients sync.WaitGroup
	times := make([]time.Time, jobCount)
	for number := range jobCount {
		clients.Go(func() { times[number], _ = l.Cancel(ctx, jobID(number)) })
	}
	clients.Wait()
	for _, at := range times {
		if at.IsZero() {
			return at
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// judge checks that no task runs after cancel_ms + stop_ms. A task counts only if it also runs at the end of watchTime, when there
// has been no trouble for long.
func judge(ctx context.Context, l *lab.Lab, answered time.Time) (held bool) {
	lab.Sleep(ctx, time.Until(answered.Add(cancelTime)))
	l.Record.Add("cancel_ms + stop_ms after the last answer %d tasks run", len(l.Running()))
	if len(l.Running()) == 0 {
		return true
	}
	lab.Sleep(ctx, watchTime)
	l.Record.Add("%v later %d tasks run", watchTime, len(l.Running()))
	for number := range jobCount {
		l.Record.Add("job %s is shown as %q, %d of its tasks run", jobID(number), l.State(ctx, jobID(number)), l.RunningOf(jobID(number)))
	}
	return len(l.Running()) == 0
}
