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
	withTestCluster(t, 3, 8, func(cluster *testCluster) {
		Convey("An agent without access to the coordinators gets changes from its peers in time", t, func() {
			cluster.network.setPartition(partitionBetween("agent-3", isCoordinator))
			<-time.After(2 * time.Second)
			So(cluster.agents["agent-3"].InContact(), ShouldBeFalse)
			for version := uint64(5); version < 25; version++ {
				cluster.publishVersion(version)
				<-time.After(1500 * time.Millisecond)
				So(cluster.agentsNotAtVersion(version), ShouldBeEmpty)
			}
		})
		Convey("All agents get changes in time if only one of them has access to the coordinators", t, func() {
			cluster.network.setPartition(func(from, to string) bool { return from != "agent-3" && !isCoordinator(from) && isCoordinator(to) })
			<-time.After(2 * time.Second)
			cluster.publishVersion(30)
			<-time.After(4 * time.Second)
			So(cluster.agentsNotAtVersion(30), ShouldBeEmpty)
		})
		Convey("An agent without access to the coordinators learns of new members too", t, func() {
			cluster.network.setPartition(partitionBetween("agent-3", isCoordinator))
			<-time.After(5 * time.Second)
			cluster.addAgent("agent-8", []string{"core-1"})
			<-time.After(10 * time.Second)
			So(slices.Contains(cluster.agents["agent-3"].Snapshot().Agents, "agent-8"), ShouldBeTrue)
			So(cluster.agents["agent-3"].InContact(), ShouldBeFalse)
		})
	})
}

func TestFailedPeerIsRemovedUntilItReturns(t *testing.T) {
	withTestCluster(t, 3, 6, func(cluster *testCluster) {
		agents := func() []string { return cluster.agents["agent-0"].Snapshot().Agents }
		Convey("A peer that is down is soon removed from the members", t, func() {
			cluster.network.setDown("agent-4", true)
			<-time.After(8 * time.Second)
			So(slices.Contains(agents(), "agent-4"), ShouldBeFalse)
		})
		Convey("It is added again soon after it is up", t, func() {
			cluster.network.setDown("agent-4", false)
			<-time.After(5 * time.Second)
			So(slices.Contains(agents(), "agent-4"), ShouldBeTrue)
		})
		Convey("A peer that still reaches the coordinators is not removed, although no other peer reaches it", t, func() {
			cluster.network.setPartition(partitionBetween("agent-4", func(to string) bool { return !isCoordinator(to) }))
			for range 20 {
				<-time.After(time.Second)
				So(slices.Contains(agents(), "agent-4"), ShouldBeTrue)
			}
		})
	})
}

func TestPeerSelectionPrefersMonitoredAndFailedPeers(t *testing.T) {
	Convey("Given the peers of an agent", t, func() {
		var agents []string
		for i := range 20 {
			agents = append(agents, fmt.Sprintf("agent-%02d", i))
		}
		selector := newPeerSelector("agent-07")
		So(selector.choose(), ShouldBeEmpty)
		selector.setAgents(agents)

		Convey("monitored peers get about half of the calls in addition to their random share, all peers get some, and the agent itself gets none", func() {
			counts := make(map[string]int)
			for range 2000 {
				counts[selector.choose()]++
			}
			monitored := 0
			for _, address := range selector.monitored {
				monitored += counts[address]
			}
			So(len(selector.monitored), ShouldEqual, monitoredPeers)
			So(monitored, ShouldBeBetween, 1000, 1400)
			So(len(counts), ShouldEqual, 19)
			So(counts["agent-07"], ShouldEqual, 0)
		})
		Convey("removing one agent keeps the other monitored peers", func() {
			before := slices.Clone(selector.monitored)
			selector.setAgents(slices.DeleteFunc(agents, func(address string) bool { return address == before[0] }))
			So(selector.monitored[:2], ShouldResemble, before[1:])
		})
		Convey("a failed peer is called again until it is a suspect", func() {
			for range failuresToSuspect {
				So(selector.suspects(), ShouldBeEmpty)
				selector.recordResult("agent-11", false)
				if len(selector.suspects()) == 0 {
					So(selector.choose(), ShouldEqual, "agent-11")
				}
			}
			So(selector.suspects(), ShouldResemble, []string{"agent-11"})
			Convey("and it is no suspect after it replies", func() {
				selector.recordResult("agent-11", true)
				So(selector.suspects(), ShouldBeEmpty)
			})
			Convey("and it is no suspect after it leaves the list of agents", func() {
				selector.setAgents(agents[:5])
				So(selector.suspects(), ShouldBeEmpty)
			})
		})
	})
}

func TestStaleMembersAreReplacedByNewerOnes(t *testing.T) {
	Convey("Given an agent whose members were confirmed a while ago", t, func() {
		network := newNetwork()
		a := New(Config{Address: "agent-0", Caller: endpoint{network, "agent-0"}})
		a.snapshots.MergeWithMembers(&feed.Snapshot{Coordinators: []string{"core-0"}, Agents: []string{"agent-0"}})
		received := feed.Exchange{Snapshot: &feed.Snapshot{Coordinators: []string{"core-9"}, Agents: []string{"agent-9"}}}
		coordinator := func() string { return a.Snapshot().Coordinators[0] }
		sendExchange := func(age time.Duration) {
			received.Known.MembersAgeMS = age.Milliseconds()
			_, err := a.handleExchange(context.Background(), received)
			So(err, ShouldBeNil)
		}
		Convey("newer ones replace them", func() {
			a.membersConfirmed = time.Now().Add(-time.Minute)
			sendExchange(10 * time.Second)
			So(coordinator(), ShouldEqual, "core-9")
			So(a.membersAge(time.Now()), ShouldBeLessThan, time.Minute)
		})
		Convey("older ones do not", func() {
			a.membersConfirmed = time.Now().Add(-time.Minute)
			sendExchange(2 * time.Minute)
			So(coordinator(), ShouldEqual, "core-0")
		})
		Convey("no others replace them while a coordinator still confirms them", func() {
			a.confirm(time.Now())
			sendExchange(0)
			So(coordinator(), ShouldEqual, "core-0")
		})
	})
}
