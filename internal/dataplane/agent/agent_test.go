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

// converged is long enough for all agents to be heard of at every coordinator and back at every agent.
const convergenceTime = 10 * time.Second

// inWorld runs a test in virtual time on a fleet that has settled.
func withTestCluster(t *testing.T, coordinators, agents int, test func(w *testCluster)) {
	virtualtime.Test(t, func(*testing.T) {
		w := newTestCluster(coordinators, agents)
		<-time.After(convergenceTime)
		synctest.Wait()
		test(w)
		w.stop()
	})
}

func TestUpdatesReachAllAgents(t *testing.T) {
	withTestCluster(t, 3, 8, func(w *testCluster) {
		Convey("All agents know all members and are in contact", t, func() {
			for _, a := range w.agents {
				So(len(a.Snapshot().Core), ShouldEqual, 3)
				So(len(a.Snapshot().Agents), ShouldEqual, 8)
				So(a.InContact(), ShouldBeTrue)
			}
		})
		Convey("A change is pushed at once", t, func() {
			w.publishVersion(5)
			<-time.After(50 * time.Millisecond)
			So(w.agentsNotAtVersion(5), ShouldBeEmpty)
		})
		Convey("Idle agents make few calls", t, func() {
			w.network.countCalls()
			<-time.After(10 * time.Second)
			watches, exchanges := 0, 0
			for call, count := range w.network.countCalls() {
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
	withTestCluster(t, 3, 30, func(w *testCluster) {
		Convey("Every core mixer is followed by a fair share", t, func() {
			w.network.countCalls()
			<-time.After(time.Second)
			followers := make(map[string]int)
			for call := range w.network.countCalls() {
				if call.path == feed.WatchCall.Path() {
					followers[call.to]++
				}
			}
			for address := range w.coordinators {
				So(followers[address], ShouldBeGreaterThanOrEqualTo, 4)
			}
		})
	})
}

func TestAgentsKeepContactWhenACoordinatorFails(t *testing.T) {
	withTestCluster(t, 3, 8, func(w *testCluster) {
		allInContact := func() {
			for _, a := range w.agents {
				So(a.InContact(), ShouldBeTrue)
			}
		}
		Convey("One that falls silent costs no contact, and changes come in time", t, func() {
			w.network.setPartition(func(_, to string) bool { return to == "core-1" })
			for range 100 {
				<-time.After(100 * time.Millisecond)
				allInContact()
			}
			w.publishVersion(5)
			<-time.After(1500 * time.Millisecond)
			So(w.agentsNotAtVersion(5), ShouldBeEmpty)
		})
		Convey("Its agents return to it some time after it is back", t, func() {
			w.network.setPartition(func(string, string) bool { return false })
			<-time.After(maxPenalty + 2*time.Second)
			w.network.countCalls()
			<-time.After(time.Second)
			back := false
			for call := range w.network.countCalls() {
				back = back || call.to == "core-1" && call.path == feed.WatchCall.Path()
			}
			So(back, ShouldBeTrue)
			allInContact()
		})
		Convey("One without contact to a majority is left, and its members do not count", t, func() {
			w.coordinators["core-0"].update(func(c *testCoordinator) { c.inContact = false })
			<-time.After(2 * time.Second)
			allInContact()
			w.publishVersion(6)
			<-time.After(50 * time.Millisecond)
			So(w.agentsNotAtVersion(6), ShouldBeEmpty)
			w.coordinators["core-0"].update(func(c *testCoordinator) { c.inContact = true })
		})
		Convey("Without any, contact is lost, and back soon after they are", t, func() {
			w.network.setPartition(func(_, to string) bool { return isCoordinator(to) })
			<-time.After(20 * time.Second)
			for _, a := range w.agents {
				So(a.InContact(), ShouldBeFalse)
			}
			w.network.countCalls()
			<-time.After(time.Second)
			for call, count := range w.network.countCalls() {
				if call.path == feed.WatchCall.Path() {
					So(count, ShouldBeLessThanOrEqualTo, 2)
				}
			}
			w.network.setPartition(func(string, string) bool { return false })
			<-time.After(2 * time.Second)
			allInContact()
		})
	})
}

func TestOlderUpdatesAreNotMerged(t *testing.T) {
	withTestCluster(t, 3, 4, func(w *testCluster) {
		Convey("A core mixer that is behind moves nobody back", t, func() {
			w.publishVersion(7)
			<-time.After(50 * time.Millisecond)
			for _, c := range w.coordinators {
				c.update(func(c *testCoordinator) { c.version, c.term = 3, 0 })
			}
			<-time.After(5 * time.Second)
			So(w.agentsNotAtVersion(7), ShouldBeEmpty)
			for _, a := range w.agents {
				So(a.Snapshot().Leaders["g"].Term, ShouldEqual, 1)
				So(string(a.Snapshot().Configuration), ShouldEqual, "configuration 7")
			}
		})
	})
}

// oneAnswer is a transport.Caller that gets the same answer from everyone.
type fixedReplyCaller feed.WatchReply

func (o fixedReplyCaller) Call(_ context.Context, _ string, _ transport.Route, _, reply any) error {
	*reply.(*feed.WatchReply) = feed.WatchReply(o)
	return nil
}

func TestReplyThatIsNotCurrentDoesNotConfirmContact(t *testing.T) {
	Convey("Their configuration counts, but not their members, and they are no contact", t, func() {
		update := &feed.Snapshot{ConfigurationVersion: 5, Configuration: []byte("5"), Core: []string{"core-9"}}
		a := New(Config{Address: "agent-0", Caller: fixedReplyCaller{Changed: true, Snapshot: update}, Logger: zap.NewNop()})
		_, err := a.poll(context.Background(), "core-0", 0, time.Minute)
		So(err, ShouldEqual, errNotCurrent)
		So(a.InContact(), ShouldBeFalse)
		So(a.Snapshot().ConfigurationVersion, ShouldEqual, 5)
		So(a.Snapshot().Core, ShouldBeEmpty)
	})
}

// lateAnswer is a transport.Caller whose process stands still for a while before it reads an answer.
type pausedCaller struct {
	reply feed.WatchReply
	pause time.Duration
}

// Call implements transport.Caller.
func (l pausedCaller) Call(_ context.Context, _ string, _ transport.Route, _, reply any) error {
	<-time.After(l.pause) // virtual; the context's end does not come between the answer and its reader
	*reply.(*feed.WatchReply) = l.reply
	return nil
}

func TestReplyReadAfterPauseDoesNotConfirmContact(t *testing.T) {
	virtualtime.Test(t, func(*testing.T) {
		Convey("Their configuration counts, but not their members, and they are no contact", t, func() {
			update := &feed.Snapshot{ConfigurationVersion: 5, Configuration: []byte("5"), Core: []string{"core-9"}}
			answer := pausedCaller{feed.WatchReply{Current: true, Changed: true, Snapshot: update}, 20 * time.Second}
			a := New(Config{Address: "agent-0", Caller: answer, Logger: zap.NewNop()})
			_, err := a.poll(context.Background(), "core-0", pollWait, pollWait+replyMargin)
			So(err, ShouldEqual, errReplyTooLate)
			So(a.InContact(), ShouldBeFalse)
			So(a.Snapshot().ConfigurationVersion, ShouldEqual, 5)
			So(a.Snapshot().Core, ShouldBeEmpty)
		})
	})
}

func TestAgentFollowsReplacedSeeds(t *testing.T) {
	virtualtime.Test(t, func(*testing.T) {
		w := newTestCluster(3, 0)
		late := w.addAgent("agent-late", []string{"gone-1", "gone-2"})
		Convey("An agent whose seeds are gone follows new ones soon", t, func() {
			<-time.After(5 * time.Second)
			So(late.InContact(), ShouldBeFalse)
			late.SetSeeds([]string{"gone-1", "core-2"})
			<-time.After(2 * time.Second)
			So(late.InContact(), ShouldBeTrue)
			So(late.Snapshot().Core, ShouldResemble, []string{"core-0", "core-1", "core-2"})
		})
		Convey("An agent without seeds waits for some", t, func() {
			idle := w.addAgent("agent-idle", nil)
			<-time.After(3 * time.Second)
			So(idle.InContact(), ShouldBeFalse)
			idle.SetSeeds([]string{"core-0"})
			<-time.After(2 * time.Second)
			So(idle.InContact(), ShouldBeTrue)
		})
		w.stop()
	})
}
