package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// The leader lease may expire while a renewal is under way, so that the renewal loop has not noticed: each command checks it.
func TestNoCommandIsSentAfterTheLeaderLease(t *testing.T) {
	const way, meanwhile = time.Millisecond, 300 * time.Millisecond // shorter than a renewal, longer than a command
	virtualtime.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, way)
		defer f.close()
		f.connect(1)
		convey.Convey("Given a worker with a lease, so that commands are sent at once", t, func() {
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
		})
		convey.Convey("a start after the leader lease is not sent, and certainly not executed", t, func() {
			f.leaderLeaseOver.Store(true)
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, NotSent)
			convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, 1)
			convey.So(f.cluster.Runs(), convey.ShouldHaveLength, 1)
			f.leaderLeaseOver.Store(false)
		})
		convey.Convey("a stop after the leader lease waits until it is valid again", t, func() {
			convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, Started)
			f.leaderLeaseOver.Store(true)
			f.link.Stop(StopCommand{task(2), 1})
			<-time.After(meanwhile)
			convey.So(f.worker.Calls(cluster.StopCall), convey.ShouldEqual, 0)
			f.leaderLeaseOver.Store(false)
			convey.So(await(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
		})
	})
}
