package agent

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

func TestPartitionedAgentsGetUpdatesFromPeers(t *testing.T) {
	withTestCluster(t, 3, 8, func(w *testCluster) {
		Convey("One that is cut off hears of changes from its peers in time", t, func() {
			w.network.setPartition(partitionBetween("agent-3", isCoordinator))
			<-time.After(2 * time.Second)
			So(w.agents["agent-3"].InContact(), ShouldBeFalse)
			for version := uint64(5); version < 25; version++ {
				w.publishVersion(version)
				<-time.After(1500 * time.Millisecond)
				So(w.agentsNotAtVersion(version), ShouldBeEmpty)
			}
		})
		Convey("So do all but one", t, func() {
			w.network.setPartition(func(from, to string) bool { return from != "agent-3" && !isCoordinator(from) && isCoordinator(to) })
			<-time.After(2 * time.Second)
			w.publishVersion(30)
			<-time.After(4 * time.Second)
			So(w.agentsNotAtVersion(30), ShouldBeEmpty)
		})
		Convey("They hear of new members as well", t, func() {
			w.network.setPartition(partitionBetween("agent-3", isCoordinator))
			<-time.After(5 * time.Second)
			w.addAgent("agent-8", []string{"core-1"})
			<-time.After(10 * time.Second)
			So(slices.Contains(w.agents["agent-3"].Snapshot().Agents, "agent-8"), ShouldBeTrue)
			So(w.agents["agent-3"].InContact(), ShouldBeFalse)
		})
	})
}

func TestFailedPeerIsRemovedUntilItReturns(t *testing.T) {
	withTestCluster(t, 3, 6, func(w *testCluster) {
		front := func() []string { return w.agents["agent-0"].Snapshot().Agents }
		Convey("One that is down is soon dropped", t, func() {
			w.network.setDown("agent-4", true)
			<-time.After(8 * time.Second)
			So(slices.Contains(front(), "agent-4"), ShouldBeFalse)
		})
		Convey("It is back soon after it is up", t, func() {
			w.network.setDown("agent-4", false)
			<-time.After(5 * time.Second)
			So(slices.Contains(front(), "agent-4"), ShouldBeTrue)
		})
		Convey("One that only its peers cannot reach stays", t, func() {
			w.network.setPartition(partitionBetween("agent-4", func(to string) bool { return !isCoordinator(to) }))
			for range 20 {
				<-time.After(time.Second)
				So(slices.Contains(front(), "agent-4"), ShouldBeTrue)
			}
		})
	})
}

func TestPeerSelectionPrefersMonitoredAndFailedPeers(t *testing.T) {
	Convey("Given the peers of an agent", t, func() {
		var front []string
		for i := range 20 {
			front = append(front, fmt.Sprintf("agent-%02d", i))
		}
		p := newPeerSelector("agent-07")
		So(p.choose(), ShouldBeEmpty)
		p.setAgents(front)

		Convey("the monitored ones get about half of the calls more, all get some, and itself none", func() {
			counts := make(map[string]int)
			for range 2000 {
				counts[p.choose()]++
			}
			monitored := 0
			for _, address := range p.monitored {
				monitored += counts[address]
			}
			So(len(p.monitored), ShouldEqual, monitoredPeers)
			So(monitored, ShouldBeBetween, 1000, 1400)
			So(len(counts), ShouldEqual, 19)
			So(counts["agent-07"], ShouldEqual, 0)
		})
		Convey("the monitored ones change little with the fleet", func() {
			before := slices.Clone(p.monitored)
			p.setAgents(slices.DeleteFunc(front, func(address string) bool { return address == before[0] }))
			So(p.monitored[:2], ShouldResemble, before[1:])
		})
		Convey("one that fails is asked again until it is suspect", func() {
			for range failuresToSuspect {
				So(p.suspects(), ShouldBeEmpty)
				p.recordResult("agent-11", false)
				if len(p.suspects()) == 0 {
					So(p.choose(), ShouldEqual, "agent-11")
				}
			}
			So(p.suspects(), ShouldResemble, []string{"agent-11"})
			Convey("and no longer once it answers", func() {
				p.recordResult("agent-11", true)
				So(p.suspects(), ShouldBeEmpty)
			})
			Convey("nor once it is gone", func() {
				p.setAgents(front[:5])
				So(p.suspects(), ShouldBeEmpty)
			})
		})
	})
}

func TestStaleMembersAreReplacedByNewerOnes(t *testing.T) {
	Convey("Given an agent whose members were confirmed a while ago", t, func() {
		network := newNetwork()
		a := New(Config{Address: "agent-0", Caller: endpoint{network, "agent-0"}})
		a.snapshots.MergeWithMembers(&feed.Snapshot{Core: []string{"core-0"}, Agents: []string{"agent-0"}})
		received := feed.Exchange{Snapshot: &feed.Snapshot{Core: []string{"core-9"}, Agents: []string{"agent-9"}}}
		coordinator := func() string { return a.Snapshot().Core[0] }
		tell := func(age time.Duration) {
			received.Known.MembersAgeMS = age.Milliseconds()
			_, err := a.handleExchange(context.Background(), received)
			So(err, ShouldBeNil)
		}
		Convey("fresher ones are taken over", func() {
			a.membersConfirmed = time.Now().Add(-time.Minute)
			tell(10 * time.Second)
			So(coordinator(), ShouldEqual, "core-9")
			So(a.membersAge(time.Now()), ShouldBeLessThan, time.Minute)
		})
		Convey("older ones are not", func() {
			a.membersConfirmed = time.Now().Add(-time.Minute)
			tell(2 * time.Minute)
			So(coordinator(), ShouldEqual, "core-0")
		})
		Convey("nor is any while a core mixer still confirms the own ones", func() {
			a.confirm(time.Now())
			tell(0)
			So(coordinator(), ShouldEqual, "core-0")
		})
	})
}
