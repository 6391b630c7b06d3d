package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// A stop command that is dropped before the worker answers it must be issued again once the worker reports: guards against attempts
// that nobody wants and that run on for good, and the capacity that they hold (review case 2).
func TestDroppedStopCommandIsIssuedAgain(t *testing.T) {
	plain := smallStage(1)
	lasting, gang := plain, smallStage(2)
	lasting.LongRunning = true
	gang.GangScheduled = true
	cancel := func(c *manualCluster) { So(c.scheduler.Cancel(c.now, manualJob), ShouldBeTrue) }
	cases := []struct {
		name    string
		stage   job.Stage
		prepare func(c *manualCluster) // brings about the stop
	}{
		{"a cancelled job's task", plain, cancel},
		{"a cancelled job's long-running task", lasting, cancel},
		{"a cancelled job's gang", gang, cancel},
		{"a task on a worker that the platform drains", lasting, func(c *manualCluster) {
			c.instances[0].Draining, c.instances[1].Draining = true, true
			c.scheduler.SetInventory(c.now, c.instances)
		}},
		{"a stalled attempt", plain, func(c *manualCluster) {
			running := workerclient.RunningTask{Task: job.TaskID{Job: manualJob}, AttemptNumber: 1, Percent: 10}
			c.report("s0", running)
			c.advance(minStallTimeout)
			c.report("s0", running)
			c.scheduler.Tick(c.now)
		}},
		{"a member of a broken gang", gang, func(c *manualCluster) {
			c.finish("s1", workerclient.FinishedTask{CompletionNumber: 1, Task: job.TaskID{Job: manualJob, Index: 1}, AttemptNumber: 1, Outcome: job.OutcomeFailed})
			c.advance(2 * gangStopDelay)
			c.scheduler.Tick(c.now)
		}},
		{"an orphan", plain, func(c *manualCluster) {
			c.report("s0", workerclient.RunningTask{Task: job.TaskID{Job: "00000000000000bb"}, AttemptNumber: 1})
		}},
	}
	for _, stopped := range cases {
		Convey("Given a stop command for "+stopped.name, t, func() {
			c := newManualCluster(stopped.stage)
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
