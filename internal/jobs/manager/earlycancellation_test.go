package manager

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
)

// A cancellation that is answered before its job arrives must hold wherever the job arrives: at a later leader, at the service to which its
// queue has moved, and at the one that had it before. Guards against jobs that run although their client was told that they do not exist
// (review case 5).
func TestEarlyCancellationHoldsWhereverTheJobArrives(t *testing.T) {
	arrivals := map[string]func(c *handoverCluster, id job.ID){
		"at the same leader": func(c *handoverCluster, id job.ID) {
			_, err := c.submit("alpha", id, movedBefore)
			So(err, ShouldBeNil)
		},
		"at the next leader": func(c *handoverCluster, id job.ID) {
			leader := c.leaderOf("alpha")
			c.network.Partition(leader.address, true)
			time.Sleep(takeoverTime)
			So(c.leaderOf("alpha") == leader, ShouldBeFalse)
			_, err := c.submit("alpha", id, movedBefore)
			So(err, ShouldBeNil)
		},
		"at the service to which its queue has moved": func(c *handoverCluster, id job.ID) {
			c.move(movedToBeta(), c.nodes...)
			_, err := c.submit("beta", id, movedSince)
			So(err, ShouldBeNil)
			So(c.knows("beta", id), ShouldBeFalse)
		},
	}
	for arrival, submit := range arrivals {
		withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
			Convey("A job that was cancelled before it was submitted never runs: it arrives "+arrival, t, func() {
				reply, err := c.cancel("alpha", unknownJob)
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.CancelReply{NoSuchJob: true})
				status, err := c.status("alpha", unknownJob)
				So(err, ShouldBeNil)
				So(status.Known, ShouldBeFalse)
				submit(c, unknownJob)
				status, err = c.status("alpha", unknownJob)
				So(err, ShouldBeNil)
				So(status, ShouldResemble, jobapi.StatusReply{Known: true, State: job.Cancelled})
			})
		})
	}
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		Convey("A job that was cancelled at the service that has its queue now is not accepted by the one that had it before", t, func() {
			c.move(movedToBeta(), c.nodes...)
			reply, err := c.cancel("beta", unknownJob)
			So(err, ShouldBeNil)
			So(reply, ShouldResemble, jobapi.CancelReply{NoSuchJob: true})
			_, err = c.submit("alpha", unknownJob, movedBefore)
			So(err, shouldNotBeExecuted)
			_, err = c.submit("beta", unknownJob, movedSince)
			So(err, ShouldBeNil)
			status, err := c.status("beta", unknownJob)
			So(err, ShouldBeNil)
			So(status.State, ShouldEqual, job.Cancelled)
		})
	})
}

// A cancellation that cannot be remembered is not answered as if it held.
func TestEarlyCancellationsBeyondTheLimitAreNotExecuted(t *testing.T) {
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		Convey("Given a group that remembers as many cancellations of unknown jobs as it may", t, func() {
			_, err := c.submit("alpha", knownJob, movedBefore)
			So(err, ShouldBeNil)
			leadership, err := c.leaderOf("alpha").manager.leadershipOf(feed.GroupOf("alpha"))
			So(err, ShouldBeNil)
			So(leadership.commit(context.Background(), func(now scheduler.Now) {
				for number := range scheduler.MaxEarlyCancellations {
					leadership.scheduler.CancelEarly(now, planQueue, job.ID(fmt.Sprintf("%016x", number)))
				}
			}), ShouldBeNil)
			Convey("the cancellation of a further one is not executed, and that of a known job is", func() {
				_, err := c.cancel("alpha", "ffffffffffffffff")
				So(err, shouldNotBeExecuted)
				reply, err := c.cancel("alpha", knownJob)
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.CancelReply{Known: true, State: job.Cancelled})
			})
		})
	})
}
