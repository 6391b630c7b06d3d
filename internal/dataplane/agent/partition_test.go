package agent

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// partitionedAgent is the agent that has no access to the coordinators.
const partitionedAgent = "agent-1"

func TestAgentReachingOnlyPeersIsNotInContact(t *testing.T) {
	withTestCluster(t, 3, 4, func(cluster *testCluster) {
		Convey("It gets changes from its peers, but is not in contact, and its replies to the proxy are not current", t, func() {
			cluster.network.setPartition(partitionBetween(partitionedAgent, isCoordinator))
			<-time.After(contactTimeout + pollWait + replyMargin)
			So(cluster.agents[partitionedAgent].InContact(), ShouldBeFalse)
			cluster.publishVersion(5)
			<-time.After(10 * time.Second)
			So(cluster.agentsNotAtVersion(5), ShouldBeEmpty)
			So(cluster.agents[partitionedAgent].InContact(), ShouldBeFalse)
			reply := callLocal(cluster, partitionedAgent, feed.WatchRequest{})
			So(reply.Current, ShouldBeFalse)
			So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 5)
		})
	})
}

func TestContactEndsWhenOnlyReachableCoordinatorIsPartitioned(t *testing.T) {
	withTestCluster(t, 3, 1, func(cluster *testCluster) {
		const reachable, agent = "core-0", "agent-0"
		Convey("It stays in contact until that coordinator loses contact with the majority", t, func() {
			cluster.network.setPartition(partitionBetween(agent, func(address string) bool { return isCoordinator(address) && address != reachable }))
			<-time.After(20 * time.Second)
			So(cluster.agents[agent].InContact(), ShouldBeTrue)
			cluster.coordinators[reachable].update(func(c *testCoordinator) { c.inContact = false })
			<-time.After(contactTimeout + pollWait)
			synctest.Wait()
			So(cluster.agents[agent].InContact(), ShouldBeFalse)
			So(callLocal(cluster, agent, feed.WatchRequest{}).Current, ShouldBeFalse)
		})
	})
}
