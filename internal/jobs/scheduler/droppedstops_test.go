package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// stopCase is one reason for which the scheduler stops an attempt.
type stopCase struct {
	name    string
	stage   job.Stage
	prepare func(c *droppedStopCluster) // brings about the stop
}

// droppedStopCluster is a scheduler with two workers and a job, all of whose attempts run. It plays the part of the workers and
// of the caller.
type droppedStopCluster struct {
	scheduler *Scheduler
	now       Now
	task      job.TaskID
	instances []workerclient.Instance
}

const stoppedJob = job.ID("00000000000000aa")

func newDroppedStopCluster(stage job.Stage) *droppedStopCluster {
	c := &droppedStopCluster{now: Now{Monotonic: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}, task: job.TaskID{Job: stoppedJob}}
	settings := Settings{MaxStopDuration: 400 * time.Millisecond, MaxLease: 6 * time.Second, MinDrainDuration: time.Second, StatusRetention: time.Hour}
	var err error
	c.scheduler, err = New(settings, c.now, nil)
	So(err, ShouldBeNil)
	for _, id := range []workerclient.WorkerID{"s0", "s1"} {
		c.instances = append(c.instances, workerclient.Instance{ID: id, Service: "x", Capacity: stage.Resources})
	}
	c.scheduler.SetInventory(c.now, c.instances)
	c.report("s0")
	c.report("s1")
	c.scheduler.Submit(c.now, &jobapi.SubmitRequest{ID: stoppedJob, Queue: jobapi.Queue{Route: "r", MaxAttempts: 3},
		Specification: job.Specification{Stages: []job.Stage{stage}}})
	c.scheduler.Dispatch(c.now)
	for _, command := range c.scheduler.TakeEffects().Commands {
		So(command.Start, ShouldNotBeNil)
		c.advance(time.Millisecond)
		c.scheduler.HandleStartResult(c.now, &workerclient.StartResult{Worker: command.Worker, Command: *command.Start, Outcome: workerclient.Started, At: c.now.Monotonic})
	}
	return c
}

func (c *droppedStopCluster) advance(duration time.Duration) {
	c.now = Now{Monotonic: c.now.Monotonic.Add(duration), WallMS: c.now.WallMS + duration.Milliseconds()}
}

// report delivers a worker's report that lists the given attempts.
func (c *droppedStopCluster) report(worker workerclient.WorkerID, running ...workerclient.RunningTask) {
	c.advance(time.Millisecond)
	c.scheduler.HandleReport(c.now, &workerclient.Listing{Worker: worker, SentAt: c.now.Monotonic, Running: running})
}

// stops returns the attempts that the scheduler has commanded to stop since the last call.
func (c *droppedStopCluster) stops() (stops []workerclient.StopResult) {
	for _, command := range c.scheduler.TakeEffects().Commands {
		if command.Stop != nil {
			stops = append(stops, workerclient.StopResult{Worker: command.Worker, Command: *command.Stop, At: c.now.Monotonic})
		}
	}
	return stops
}

// A stop command that is dropped before the worker answers it must be issued again once the worker reports: guards against attempts
// that nobody wants and that run on for good, and the capacity that they hold (review case 2).
func TestDroppedStopCommandIsIssuedAgain(t *testing.T) {
	plain := smallStage(1)
	lasting, gang := plain, smallStage(2)
	lasting.LongRunning = true
	gang.GangScheduled = true
	cancel := func(c *droppedStopCluster) { So(c.scheduler.Cancel(c.now, stoppedJob), ShouldBeTrue) }
	cases := []stopCase{
		{"a cancelled job's task", plain, cancel},
		{"a cancelled job's long-running task", lasting, cancel},
		{"a cancelled job's gang", gang, cancel},
		{"a task on a worker that the platform drains", lasting, func(c *droppedStopCluster) {
			c.instances[0].Draining, c.instances[1].Draining = true, true
			c.scheduler.SetInventory(c.now, c.instances)
		}},
		{"a stalled attempt", plain, func(c *droppedStopCluster) {
			c.report("s0", workerclient.RunningTask{Task: c.task, AttemptNumber: 1, Percent: 10})
			c.advance(minStallTimeout)
			c.report("s0", workerclient.RunningTask{Task: c.task, AttemptNumber: 1, Percent: 10})
			c.scheduler.Tick(c.now)
		}},
		{"a member of a broken gang", gang, func(c *droppedStopCluster) {
			c.scheduler.HandleReport(c.now, &workerclient.Listing{Worker: "s1", SentAt: c.now.Monotonic, Finished: []workerclient.FinishedTask{
				{CompletionNumber: 1, Task: job.TaskID{Job: stoppedJob, Index: 1}, AttemptNumber: 1, Outcome: job.OutcomeFailed}}})
			c.advance(2 * gangStopDelay)
			c.scheduler.Tick(c.now)
		}},
		{"an orphan", plain, func(c *droppedStopCluster) {
			c.task, c.scheduler.effects = job.TaskID{Job: "00000000000000bb"}, Effects{}
			c.report("s0", workerclient.RunningTask{Task: c.task, AttemptNumber: 1})
		}},
	}
	for _, stopped := range cases {
		Convey("Given a stop command for "+stopped.name, t, func() {
			c := newDroppedStopCluster(stopped.stage)
			stopped.prepare(c)
			stops := c.stops()
			So(stops, ShouldNotBeEmpty)
			dropped := stops[0]
			running := workerclient.RunningTask{Task: dropped.Command.Task, AttemptNumber: dropped.Command.AttemptNumber}
			Convey("a report that lists the attempt does not repeat a command that is under way", func() {
				c.report(dropped.Worker, running)
				So(c.stops(), ShouldBeEmpty)
			})
			Convey("if it is dropped, each report that lists the attempt leads to one further command, until one is answered", func() {
				for range 3 {
					c.scheduler.HandleStopResult(&dropped)
					So(c.stops(), ShouldBeEmpty)
					c.report(dropped.Worker, running)
					again := c.stops()
					So(again, ShouldHaveLength, 1)
					So(again[0].Command, ShouldResemble, dropped.Command)
					c.report(dropped.Worker, running)
					So(c.stops(), ShouldBeEmpty)
				}
				dropped.Answered, dropped.At = true, c.now.Monotonic
				c.scheduler.HandleStopResult(&dropped)
				c.report(dropped.Worker, running)
				So(c.stops(), ShouldBeEmpty)
				c.report(dropped.Worker)
				report, known := c.scheduler.Worker(c.now, dropped.Worker)
				So(known, ShouldBeTrue)
				So(report.Orphans, ShouldEqual, 0)
				So(c.scheduler.workers[dropped.Worker].attempts[dropped.Command.Task] == nil, ShouldBeTrue)
			})
		})
	}
}
