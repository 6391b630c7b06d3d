package scheduler

import (
	"fmt"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// loaded is a scheduler with many workers, all of them full, and many jobs that wait.
func loaded(workers, jobs int) (*Scheduler, Now, map[string][]byte) {
	now := Now{Steady: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}
	s, _ := New(Settings{FarFactor: 2, HoldMax: 6 * time.Second}, now, nil)
	var instances []workerclient.Instance
	for i := range workers {
		instances = append(instances, workerclient.Instance{ID: workerclient.WorkerID(fmt.Sprintf("s%03d", i)), Labels: []string{"a", fmt.Sprint("r", i/8)},
			Capacity: job.Resources{Processors: 32000, MemoryMB: 65536}})
	}
	s.Inventory(now, instances)
	for _, instance := range instances {
		s.Listing(now, &workerclient.Listing{Worker: instance.ID, First: true})
		s.workers[instance.ID].window = windowMost
	}
	for number := range jobs {
		s.Submit(now, &jobapi.Submit{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: jobapi.Queue{Route: "r", MaxAttempts: 3, Priority: number % 3},
			Specification: job.Specification{Text: "t", Stages: []job.Stage{{Count: 4, EstimatedDurationMS: 1000,
				Resources: job.Resources{Processors: int64(2000 + number%5000), MemoryMB: 1000}}}}})
	}
	s.Dispatch(now)
	state := map[string][]byte{}
	for _, entry := range s.Take().Entries {
		state[entry.Key] = entry.Value
	}
	return s, now, state
}

func BenchmarkEndUnderBacklog(b *testing.B) {
	s, now, _ := loaded(250, 2000)
	number := uint64(0)
	for b.Loop() {
		sr := s.list[int(number)%len(s.list)]
		report := workerclient.Listing{Worker: sr.ID, SentAt: now.Steady}
		for _, r := range sr.sortedRuns() {
			report.Running = append(report.Running, workerclient.RunningTask{Task: r.task.id, Execution: r.execution})
		}
		if len(report.Running) > 0 {
			ended := report.Running[0]
			report.Running = report.Running[1:]
			report.Finished = []workerclient.FinishedTask{{Number: sr.noted + 1, Task: ended.Task, Execution: ended.Execution, How: job.Stopped}}
		}
		number++
		s.Listing(now, &report)
		s.Dispatch(now)
		s.Take()
	}
}

func BenchmarkTakeoverOfBacklog(b *testing.B) {
	previous, now, state := loaded(250, 2000)
	for b.Loop() {
		s, err := New(previous.settings, now, state)
		if err != nil {
			b.Fatal(err)
		}
		var instances []workerclient.Instance
		for _, sr := range previous.list {
			instances = append(instances, sr.Instance)
		}
		s.Inventory(now, instances)
		for _, instance := range instances {
			report := workerclient.Listing{Worker: instance.ID, First: true, SentAt: now.Steady}
			for _, r := range previous.workers[instance.ID].sortedRuns() {
				report.Running = append(report.Running, workerclient.RunningTask{Task: r.task.id, Execution: r.execution})
			}
			s.Listing(now, &report)
		}
		s.Dispatch(now)
		s.Take()
	}
}
