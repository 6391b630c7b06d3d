package lab

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	Unknown = 2 // the case could not run
)

// caseLimit is the time after which a case gives up.
const caseLimit = 110 * time.Second

// RunCase runs a case in a deployment and writes its record. It returns the exit code. The case returns whether the rule held.
func RunCase(recordPath string, options Options, run func(ctx context.Context, l *Lab, trouble bool) (held bool, err error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, caseLimit)
	defer cancel()
	record := NewRecord()
	record.Add("disruption: %t", trouble)
	l, err := Start(ctx, record, options)
	held := false
	if err == nil {
		held, err = run(ctx, l, trouble)
	}
	if l != nil {
		record.AddRuns(l.Runs())
		l.Close()
	}
	code := Broken
	switch {
	case err == nil && ctx.Err() != nil:
		record.Add("the case ran out of time or was interrupted")
		code = Unknown
	case err != nil:
		record.Add("the case could not run: %v", err)
		code = Unknown
	case held:
		record.Add("the rule held")
		code = Held
	default:
		record.Add("THE RULE WAS BROKEN")
	}
	if err := record.Write(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Unknown
	}
	return code
}

// Runs returns all runs so far, in the order of their starts.
func (l *Lab) Runs() []Run {
	if l.farm == nil {
		return nil
	}
	return l.farm.Runs()
}

// Running returns the runs that have not ended.
func (l *Lab) Running() []Run {
	var running []Run
	for _, run := range l.Runs() {
		if run.EndedAt.IsZero() {
			running = append(running, run)
		}
	}
	return running
}

// RunningOf returns the number of a job's tasks that run.
func (l *Lab) RunningOf(id job.ID) int {
	count := 0
	for _, run := range l.Running() {
		if run.Task.Job == id {
			count++
		}
	}
	return count
}

// StartsOf returns the number of runs of a job so far.
func (l *Lab) StartsOf(id job.ID) int {
	count := 0
	for _, run := range l.Runs() {
		if run.Task.Job == id {
			count++
		}
	}
	return count
}

// Used returns what all runs use, and the capacity of all workers.
func (l *Lab) Used() (used, capacity job.Resources) {
	for _, run := range l.Running() {
		used = used.Add(run.profile.Resources)
	}
	return used, l.options.Capacity.Times(int64(l.options.Workers))
}

// Await checks a condition, with a pause after each check, until it holds. It reports whether it held within the limit.
func Await(ctx context.Context, limit, pause time.Duration, condition func() bool) bool {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		if limited.Err() != nil {
			return false
		}
		Sleep(limited, pause)
	}
	return true
}
