package agent

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// alone is who hears of the coordinators only in another way than the others.
const partitionedAgent = "agent-1"

func TestAgentReachingOnlyPeersIsNotInContact(t *testing.T) {
	withTestCluster(t, 3, 4, func(w *testCluster) {
		Convey("It learns of changes from them, but is not in contact, and tells its proxy", t, func() {
			w.network.setPartition(partitionBetween(partitionedAgent, isCoordinator))
			<-time.After(contactTimeout + pollWait + replyMargin)
			So(w.agents[partitionedAgent].InContact(), ShouldBeFalse)
			w.publishVersion(5)
			<-time.After(10 * time.Second)
			So(w.agentsNotAtVersion(5), ShouldBeEmpty)
			So(w.agents[partitionedAgent].InContact(), ShouldBeFalse)
			reply := callLocal(w, partitionedAgent, feed.WatchRequest{})
			So(reply.Current, ShouldBeFalse)
			So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 5)
		})
	})
}

func TestContactEndsWhenOnlyReachableCoordinatorIsPartitioned(t *testing.T) {
	withTestCluster(t, 3, 1, func(w *testCluster) {
		const only, agent = "core-0", "agent-0"
		Convey("It is in contact until the core mixer is cut off itself, and not after", t, func() {
			w.network.setPartition(partitionBetween(agent, func(address string) bool { return isCoordinator(address) && address != only }))
			<-time.After(20 * time.Second)
			So(w.agents[agent].InContact(), ShouldBeTrue)
			w.coordinators[only].update(func(c *testCoordinator) { c.inContact = false })
			<-time.After(contactTimeout + pollWait)
			synctest.Wait()
			So(w.agents[agent].InContact(), ShouldBeFalse)
			So(callLocal(w, agent, feed.WatchRequest{}).Current, ShouldBeFalse)
		})
	})
}
