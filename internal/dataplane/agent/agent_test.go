package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// convergenceTime is long enough for every coordinator to learn of all agents and for every agent to receive the complete list.
const convergenceTime = 10 * time.Second

// withTestCluster runs a test in virtual time on a cluster that has converged.
func withTestCluster(t *testing.T, coordinators, agents int, test func(cluster *testCluster)) {
	virtualtime.Test(t, func(*testing.T) {
		cluster := newTestCluster(coordinators, agents)
		<-time.After(convergenceTime)
		synctest.Wait()
		test(cluster)
		cluster.stop()
	})
}

func TestUpdatesReachAllAgents(t *testing.T) {
	withTestCluster(t, 3, 8, func(cluster *testCluster) {
		Convey("All agents know all members and are in contact", t, func() {
			for _, a := range cluster.agents {
				So(len(a.Snapshot().Coordinators), ShouldEqual, 3)
				So(len(a.Snapshot().Agents), ShouldEqual, 8)
				So(a.InContact(), ShouldBeTrue)
			}
		})
		Convey("A change reaches all agents within 50 ms", t, func() {
			cluster.publishVersion(5)
			<-time.After(50 * time.Millisecond)
			So(cluster.agentsNotAtVersion(5), ShouldBeEmpty)
		})
		Convey("Idle agents make few calls", t, func() {
			cluster.network.countCalls()
			<-time.After(10 * time.Second)
			watches, exchanges := 0, 0
			for call, count := range cluster.network.countCalls() {
				switch call.path {
				case feed.WatchCall.Path():
					watches += count
				case feed.ExchangeCall.Path():
					exchanges += count
				}
			}
			So(watches, ShouldBeLessThanOrEqualTo, 8*10*2)
			So(exchanges, ShouldBeLessThanOrEqualTo, 8*10*2)
		})
	})
}

func TestAgentsAreSpreadAcrossCoordinators(t *testing.T) {
	withTestCluster(t, 3, 30, func(cluster *testCluster) {
		Convey("Every coordinator is followed by a fair share of the agents", t, func() {
			cluster.network.countCalls()
			<-time.After(time.Second)
			followers := make(map[string]int)
			for call := range cluster.network.countCalls() {
				if call.path == feed.WatchCall.Path() {
					followers[call.to]++
				}
			}
			for address := range cluster.coordinators {
				So(followers[address], ShouldBeGreaterThanOrEqualTo, 4)
			}
		})
	})
}

func TestAgentsKeepContactWhenACoordinatorFails(t *testing.T) {
	withTestCluster(t, 3, 8, func(cluster *testCluster) {
		allInContact := func() {
			for _, a := range cluster.agents {
				So(a.InContact(), ShouldBeTrue)
			}
		}
		Convey("If one stops replying, all agents stay in contact and get changes in time", t, func() {
			cluster.network.setPartition(func(_, to string) bool { return to == "core-1" })
			for range 100 {
				<-time.After(100 * time.Millisecond)
				allInContact()
			}
			cluster.publishVersion(5)
			<-time.After(1500 * time.Millisecond)
			So(cluster.agentsNotAtVersion(5), ShouldBeEmpty)
		})
		Convey("Agents return to it some time after it replies again", t, func() {
			cluster.network.setPartition(func(string, string) bool { return false })
			<-time.After(maxPenalty + 2*time.Second)
			cluster.network.countCalls()
			<-time.After(time.Second)
			followedAgain := false
			for call := range cluster.network.countCalls() {
				followedAgain = followedAgain || call.to == "core-1" && call.path == feed.WatchCall.Path()
			}
			So(followedAgain, ShouldBeTrue)
			allInContact()
		})
		Convey("Agents leave one that loses contact with a majority, and stay in contact", t, func() {
			cluster.coordinators["core-0"].update(func(c *testCoordinator) { c.inContact = false })
			<-time.After(2 * time.Second)
			allInContact()
			cluster.publishVersion(6)
			<-time.After(50 * time.Millisecond)
			So(cluster.agentsNotAtVersion(6), ShouldBeEmpty)
			cluster.coordinators["core-0"].update(func(c *testCoordinator) { c.inContact = true })
		})
		Convey("Without a reachable coordinator agents lose contact, and they regain it soon after the partition ends", t, func() {
			cluster.network.setPartition(func(_, to string) bool { return isCoordinator(to) })
			<-time.After(20 * time.Second)
			for _, a := range cluster.agents {
				So(a.InContact(), ShouldBeFalse)
			}
			cluster.network.countCalls()
			<-time.After(time.Second)
			for call, count := range cluster.network.countCalls() {
				if call.path == feed.WatchCall.Path() {
					So(count, ShouldBeLessThanOrEqualTo, 2)
				}
			}
			cluster.network.setPartition(func(string, string) bool { return false })
			<-time.After(2 * time.Second)
			allInContact()
		})
	})
}

func TestOlderUpdatesAreNotMerged(t *testing.T) {
	withTestCluster(t, 3, 4, func(cluster *testCluster) {
		Convey("A coordinator with an older state does not make any agent go back", t, func() {
			cluster.publishVersion(7)
			<-time.After(50 * time.Millisecond)
			for _, c := range cluster.coordinators {
				c.update(func(c *testCoordinator) { c.version, c.term = 3, 0 })
			}
			<-time.After(5 * time.Second)
			So(cluster.agentsNotAtVersion(7), ShouldBeEmpty)
			for _, a := range cluster.agents {
				So(a.Snapshot().Leaders["g"].Term, ShouldEqual, 1)
				So(string(a.Snapshot().Configuration), ShouldEqual, "configuration 7")
			}
		})
	})
}

// fixedReplyCaller is a transport.Caller that returns the same reply to every call.
type fixedReplyCaller feed.WatchReply

func (f fixedReplyCaller) Call(_ context.Context, _ string, _ transport.Route, _, reply any) error {
	*reply.(*feed.WatchReply) = feed.WatchReply(f)
	return nil
}

func TestReplyThatIsNotCurrentDoesNotConfirmContact(t *testing.T) {
	Convey("Its configuration is used, its members are not, and it does not confirm contact", t, func() {
		update := &feed.Snapshot{ConfigurationVersion: 5, Configuration: []byte("5"), Coordinators: []string{"core-9"}}
		a := New(Config{Address: "agent-0", Caller: fixedReplyCaller{Changed: true, Snapshot: update}, Logger: zap.NewNop()})
		_, err := a.poll(context.Background(), "core-0", 0, time.Minute)
		So(err, ShouldEqual, errNotCurrent)
		So(a.InContact(), ShouldBeFalse)
		So(a.Snapshot().ConfigurationVersion, ShouldEqual, 5)
		So(a.Snapshot().Coordinators, ShouldBeEmpty)
	})
}

// pausedCaller is a transport.Caller that simulates a pause of the process before the reply is read.
type pausedCaller struct {
	reply feed.WatchReply
	pause time.Duration
}

// Call implements transport.Caller.
func (p pausedCaller) Call(_ context.Context, _ string, _ transport.Route, _, reply any) error {
	<-time.After(p.pause) // virtual time; the context is ignored on purpose, so that the reply is returned after it has ended
	*reply.(*feed.WatchReply) = p.reply
	return nil
}

func TestReplyReadAfterPauseDoesNotConfirmContact(t *testing.T) {
	virtualtime.Test(t, func(*testing.T) {
		Convey("Its configuration is used, its members are not, and it does not confirm contact", t, func() {
			update := &feed.Snapshot{ConfigurationVersion: 5, Configuration: []byte("5"), Coordinators: []string{"core-9"}}
			caller := pausedCaller{feed.WatchReply{Current: true, Changed: true, Snapshot: update}, 20 * time.Second}
			a := New(Config{Address: "agent-0", Caller: caller, Logger: zap.NewNop()})
			_, err := a.poll(context.Background(), "core-0", pollWait, pollWait+replyMargin)
			So(err, ShouldEqual, errReplyTooLate)
			So(a.InContact(), ShouldBeFalse)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 5)
			So(a.Snapshot().Coordinators, ShouldBeEmpty)
		})
	})
}

func TestAgentFollowsReplacedSeeds(t *testing.T) {
	virtualtime.Test(t, func(*testing.T) {
		cluster := newTestCluster(3, 0)
		agent := cluster.addAgent("agent-late", []string{"gone-1", "gone-2"})
		Convey("An agent whose seeds are all unreachable soon follows new seeds", t, func() {
			<-time.After(5 * time.Second)
			So(agent.InContact(), ShouldBeFalse)
			agent.SetSeeds([]string{"gone-1", "core-2"})
			<-time.After(2 * time.Second)
			So(agent.InContact(), ShouldBeTrue)
			So(agent.Snapshot().Coordinators, ShouldResemble, []string{"core-0", "core-1", "core-2"})
		})
		Convey("An agent without seeds waits until it gets some", t, func() {
			idle := cluster.addAgent("agent-idle", nil)
			<-time.After(3 * time.Second)
			So(idle.InContact(), ShouldBeFalse)
			idle.SetSeeds([]string{"core-0"})
			<-time.After(2 * time.Second)
			So(idle.InContact(), ShouldBeTrue)
		})
		cluster.stop()
	})
}
