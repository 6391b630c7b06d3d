package scheduler

import (
	"fmt"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// newLoadedScheduler returns a scheduler with fully loaded workers and a backlog of waiting jobs. It also returns the time
// and the durable state.
func newLoadedScheduler(workers, jobs int) (*Scheduler, Now, map[string][]byte) {
	now := Now{Monotonic: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}
	s, _ := New(Settings{RemoteSlowdown: 2, MaxLease: 6 * time.Second}, now, nil)
	var instances []workerclient.Instance
	for i := range workers {
		instances = append(instances, workerclient.Instance{ID: workerclient.WorkerID(fmt.Sprintf("s%03d", i)), Labels: []string{"a", fmt.Sprint("r", i/8)},
			Capacity: job.Resources{Processors: 32000, MemoryMB: 65536}})
	}
	s.SetInventory(now, instances)
	for _, instance := range instances {
		s.HandleReport(now, &workerclient.Listing{Worker: instance.ID, First: true})
		s.workers[instance.ID].window = maxWindow
	}
	for number := range jobs {
		s.Submit(now, &jobapi.SubmitRequest{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: jobapi.Queue{Route: "r", MaxAttempts: 3, Priority: number % 3},
			Specification: job.Specification{Text: "t", Stages: []job.Stage{{Count: 4, EstimatedDurationMS: 1000,
				Resources: job.Resources{Processors: int64(2000 + number%5000), MemoryMB: 1000}}}}})
	}
	s.Dispatch(now)
	state := map[string][]byte{}
	for _, entry := range s.TakeEffects().Entries {
		state[entry.Key] = entry.Value
	}
	return s, now, state
}

func BenchmarkCompletionUnderBacklog(b *testing.B) {
	s, now, _ := newLoadedScheduler(250, 2000)
	number := uint64(0)
	for b.Loop() {
		worker := s.sortedWorkers[int(number)%len(s.sortedWorkers)]
		report := workerclient.Listing{Worker: worker.ID, SentAt: now.Monotonic}
		for _, attempt := range worker.sortedAttempts() {
			report.Running = append(report.Running, workerclient.RunningTask{Task: attempt.task.id, AttemptNumber: attempt.number})
		}
		if len(report.Running) > 0 {
			completed := report.Running[0]
			report.Running = report.Running[1:]
			report.Finished = []workerclient.FinishedTask{{CompletionNumber: worker.lastCompletion + 1, Task: completed.Task, AttemptNumber: completed.AttemptNumber, Outcome: job.OutcomeStopped}}
		}
		number++
		s.HandleReport(now, &report)
		s.Dispatch(now)
		s.TakeEffects()
	}
}

func BenchmarkTakeoverOfBacklog(b *testing.B) {
	previous, now, state := newLoadedScheduler(250, 2000)
	for b.Loop() {
		s, err := New(previous.settings, now, state)
		if err != nil {
			b.Fatal(err)
		}
		var instances []workerclient.Instance
		for _, worker := range previous.sortedWorkers {
			instances = append(instances, worker.Instance)
		}
		s.SetInventory(now, instances)
		for _, instance := range instances {
			report := workerclient.Listing{Worker: instance.ID, First: true, SentAt: now.Monotonic}
			for _, attempt := range previous.workers[instance.ID].sortedAttempts() {
				report.Running = append(report.Running, workerclient.RunningTask{Task: attempt.task.id, AttemptNumber: attempt.number})
			}
			s.HandleReport(now, &report)
		}
		s.Dispatch(now)
		s.TakeEffects()
	}
}
