package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// runMembersOn delivers reports in which members of a gang's first attempt run and make progress, and lets twice the time pass
// after which the members of a broken gang are stopped.
func (c *manualCluster) runMembersOn(members ...int) {
	for range 2 {
		c.percent++
		for _, member := range members {
			c.report(manualWorker(member), workerclient.RunningTask{Task: job.TaskID{Job: manualJob, Index: member}, AttemptNumber: 1, Percent: c.percent})
		}
		c.scheduler.Tick(c.now)
		c.advance(gangStopDelay)
	}
}

// The members of a broken gang that do not end by themselves must be stopped by a new leader too: guards against a gang that waits
// for good for members which run on alone.
func TestNewLeaderStopsMembersOfBrokenGang(t *testing.T) {
	Convey("Given a new leader, and a gang of which one member failed under the earlier leader while the others run on", t, func() {
		c := newManualCluster(checkpointingGang())
		c.breakGang(0)
		c.restore()
		c.scheduler.SetInventory(c.now, c.instances)
		c.report(manualWorker(0))
		c.runMembersOn(1, 2)
		Convey("the members that run on are stopped, and the gang starts again once they have ended", func() {
			c.runMembersOn(1, 2)
			stops := c.stops()
			So(stops, ShouldHaveLength, 2)
			for _, stop := range stops {
				stop.Answered, stop.At = true, c.now.Monotonic
				c.scheduler.HandleStopResult(&stop)
				c.report(stop.Worker)
			}
			So(c.restartGang(), ShouldHaveLength, 3)
		})
	})
	Convey("A new leader does not stop the members of a gang that all run", t, func() {
		c := newManualCluster(checkpointingGang())
		c.restore()
		c.scheduler.SetInventory(c.now, c.instances)
		c.runMembersOn(0, 1, 2)
		c.runMembersOn(0, 1, 2)
		So(c.stops(), ShouldBeEmpty)
	})
}
