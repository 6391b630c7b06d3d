package agent

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// alone is who hears of the coordinators only in another way than the others.
const alone = "agent-1"

func TestAnAgentThatHearsOnlyOtherAgents(t *testing.T) {
	inWorld(t, 3, 4, func(w *world) {
		Convey("It learns of changes from them, but is not in contact, and tells its proxy", t, func() {
			w.network.setPartition(between(alone, isCoordinator))
			<-time.After(contactLimit + pollWait + answerSlack)
			So(w.agents[alone].InContact(), ShouldBeFalse)
			w.setVersion(5)
			<-time.After(10 * time.Second)
			So(w.stragglers(5), ShouldBeEmpty)
			So(w.agents[alone].InContact(), ShouldBeFalse)
			reply := proxyRequest(w, alone, feed.WatchRequest{})
			So(reply.Current, ShouldBeFalse)
			So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 5)
		})
	})
}

func TestAgentThatReachesOnlyAPartitionedCoordinator(t *testing.T) {
	inWorld(t, 3, 1, func(w *world) {
		const only, agent = "core-0", "agent-0"
		Convey("It is in contact until the core mixer is cut off itself, and not after", t, func() {
			w.network.setPartition(between(agent, func(address string) bool { return isCoordinator(address) && address != only }))
			<-time.After(20 * time.Second)
			So(w.agents[agent].InContact(), ShouldBeTrue)
			w.coordinators[only].update(func(c *coordinator) { c.inContact = false })
			<-time.After(contactLimit + pollWait)
			synctest.Wait()
			So(w.agents[agent].InContact(), ShouldBeFalse)
			So(proxyRequest(w, agent, feed.WatchRequest{}).Current, ShouldBeFalse)
		})
	})
}
