package scheduler

import (
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// simulatedJob is a submitted job with the behavior of its tasks.
type simulatedJob struct {
	request         jobapi.SubmitRequest
	alwaysFails     bool
	cancelRequested bool
	cancelledAt     time.Duration // 0 if it was not cancelled
	taskDurations   map[job.TaskID]time.Duration
}

func (sim *simulation) submit(submitted *simulatedJob) {
	sim.jobs[submitted.request.ID] = submitted
	submitted.taskDurations = map[job.TaskID]time.Duration{}
	for repetition := range submitted.request.Specification.RepetitionCount() {
		for number, stage := range submitted.request.Specification.Stages {
			for index := range stage.Count {
				duration := time.Duration(100+sim.random.IntN(900)) * time.Millisecond
				submitted.taskDurations[job.TaskID{Job: submitted.request.ID, Repetition: repetition, Stage: number, Index: index}] = duration
			}
		}
	}
	sim.resubmit(submitted)
}

// resubmit submits a job repeatedly until it is durable, as clients do.
func (sim *simulation) resubmit(submitted *simulatedJob) {
	if sim.durable[jobKey(submitted.request.ID)] != nil || sim.durable[endedKey(submitted.request.ID)] != nil {
		return
	}
	sim.scheduler.Submit(sim.clock(), &submitted.request)
	sim.propose()
	sim.schedule(500*time.Millisecond, func() { sim.resubmit(submitted) })
}

// isLongRunning reports whether the job runs until it is cancelled.
func (submitted *simulatedJob) isLongRunning() bool {
	return slices.ContainsFunc(submitted.request.Specification.Stages, func(stage job.Stage) bool { return stage.LongRunning })
}

// cancel cancels a job repeatedly until its end is durable.
func (sim *simulation) cancel(submitted *simulatedJob) {
	submitted.cancelRequested = true
	if sim.durable[endedKey(submitted.request.ID)] != nil {
		if submitted.cancelledAt == 0 {
			submitted.cancelledAt = sim.elapsed
		}
		return
	}
	sim.scheduler.Cancel(sim.clock(), submitted.request.ID)
	sim.propose()
	sim.schedule(500*time.Millisecond, func() { sim.cancel(submitted) })
}

// randomJob makes a job with random stages, requests and constraints. One job in 12 always fails.
func (sim *simulation) randomJob(number int) *simulatedJob {
	random := sim.random
	created := &simulatedJob{alwaysFails: random.IntN(12) == 0}
	request := jobapi.SubmitRequest{Group: "jobs/x", ID: job.ID(fmt.Sprintf("%016x", number)),
		Queue: jobapi.Queue{Route: "r", Service: "x", Priority: random.IntN(3), MaxAttempts: 2 + random.IntN(3), TargetLatencyMS: 500, Key: queuekey.Key(number % 3)}}
	if random.IntN(8) == 0 {
		request.Specification.Repetitions = 1 + random.IntN(3)
		request.Specification.FirstRunMS = sim.clock().WallMS + int64(random.IntN(3000))
		request.Specification.IntervalMS = 700
	}
	for i := range 1 + random.IntN(3) {
		stage := job.Stage{Count: 1 + random.IntN(6), EstimatedDurationMS: 500,
			Resources: job.Resources{Processors: int64(500 + random.IntN(3500)), MemoryMB: int64(100 + random.IntN(2000)), Accelerators: int64(random.IntN(2))}}
		if i > 0 && random.IntN(3) > 0 {
			stage.DependsOn = []int{random.IntN(i)}
		}
		switch random.IntN(8) {
		case 0:
			stage.GangScheduled, stage.SameRack = true, random.IntN(2) == 0
		case 1:
			stage.AtLeastOnce = true
		case 2:
			stage.AntiAffinity = 1 + random.IntN(2)
		case 3:
			stage.Requirements = job.Labels{[]string{"a", "b"}[random.IntN(2)]}
		case 4:
			stage.Affinity = "rack1"
		}
		stage.Checkpoints = random.IntN(2) == 0
		request.Specification.Stages = append(request.Specification.Stages, stage)
	}
	created.request = request
	return created
}
