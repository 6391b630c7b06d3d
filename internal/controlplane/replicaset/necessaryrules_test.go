package replicaset_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	oldValue     = "the value before"
	writtenValue = "the value that was written"

	maxMessageDelay = time.Second // upper bound of the time until messages in flight have arrived
)

// dropBetween drops the messages of a path between two processes, or all messages between them if the path is empty.
func (c *cluster) dropBetween(a, b, path string) {
	c.network.AddRule(networktest.Rule{From: a, To: b, Path: path, Drop: true})
	c.network.AddRule(networktest.Rule{From: b, To: a, Path: path, Drop: true})
}

// replacedMemberWritesInOldView has a replaced member, which has not learned the next view, write a value at the end of the
// joining member's rebuild. The only other member that it reaches proposes no view, and the others need it for no quorum. The
// function reports whether the value is kept, or the write failed.
func replacedMemberWritesInOldView(c *cluster, members []string) bool {
	replaced, common, proposer := members[0], members[1], members[2]
	c.write(proposer, oldValue)
	c.dropBetween(replaced, proposer, "")
	c.dropBetween("new", replaced, "/replicaset/announce")
	c.dropBetween("new", replaced, "/rebuild/dump")
	for _, address := range []string{replaced, proposer, "new"} {
		c.dropBetween(address, common, "/replicaset/view")
		c.dropBetween(address, common, "/replicaset/announce")
	}
	c.network.AddRule(networktest.Rule{From: common, Path: "/register/replicaset/next", Drop: true})
	c.join("new")
	if c.write(replaced, writtenValue) != nil {
		return true
	}
	c.network.Partition(common, true)
	return c.read(proposer) == writtenValue
}

// joiningMemberCompletesAMajority writes a value while one member is partitioned. Of the two members that have the value, one is
// then replaced and the other partitioned. The function reports whether the value is kept.
func joiningMemberCompletesAMajority(c *cluster, members []string) bool {
	c.write(members[0], oldValue)
	c.network.Partition(members[0], true)
	c.write(members[1], writtenValue)
	<-time.After(maxMessageDelay)
	c.network.Partition(members[0], false)
	c.stop(c.coordinatorAt(members[1]))
	c.start("new", "elsewhere", storage.NewMemory(), false)
	for !c.coordinatorAt("new").manager.View().Has("new") {
		<-time.After(10 * time.Millisecond)
	}
	c.network.Partition(members[2], true)
	if value := c.read(members[0]); value == oldValue {
		return false
	}
	c.network.Partition(members[2], false)
	<-time.After(5 * time.Second)
	return c.read(members[0]) == writtenValue
}

// replacedMemberRejoins writes a value while a replaced member and another one are partitioned. Then the replaced member replaces
// a member that has the value, and the last member that has it is partitioned. The function reports whether the value is kept.
func replacedMemberRejoins(c *cluster, members []string) bool {
	c.write(members[0], oldValue)
	c.network.Partition(members[0], true)
	c.join("new")
	c.network.Partition(members[2], true)
	c.write(members[1], writtenValue)
	<-time.After(maxMessageDelay)
	c.network.Partition(members[2], false)
	c.network.Partition(members[0], false)
	<-time.After(3 * time.Second)
	c.stop(c.coordinatorAt(members[1]))
	c.coordinatorAt(members[0]).awaitMembership()
	c.network.Partition("new", true)
	return c.read(members[2]) == writtenValue
}

// twoProposersReplaceEachOther has two members that cannot reach each other replace each other, each by another joining member.
// It reports whether there is only one view of each version.
func twoProposersReplaceEachOther(c *cluster, members []string) bool {
	c.dropBetween(members[0], members[1], "")
	c.dropBetween("new-0", members[1], "")
	c.dropBetween("new-1", members[0], "")
	c.dropBetween("new-0", members[2], "")
	c.dropBetween("new-1", members[2], "")
	c.start("new-0", "zone of "+members[1], storage.NewMemory(), false)
	c.start("new-1", "zone of "+members[0], storage.NewMemory(), false)
	var views viewHistory
	for range 500 {
		<-time.After(10 * time.Millisecond)
		for _, p := range c.runningCoordinators() {
			if !views.record(p.manager.View()) {
				return false
			}
		}
	}
	return true
}

// Each scenario succeeds with the rule, and loses data or consistency without it.
func TestViolatingAnyRuleLosesDataOrConsistency(t *testing.T) {
	rules := []struct {
		mutation ruleMutation
		scenario func(c *cluster, members []string) bool
	}{
		{ruleMutation{name: "a joining member votes only after it is rebuilt", votesBeforeRebuild: true}, joiningMemberCompletesAMajority},
		{ruleMutation{name: "a member that has learned a view refuses rounds of the one before", votesInOldView: true}, replacedMemberWritesInOldView},
		{ruleMutation{name: "only a member that has stored the joining member's view gives it a snapshot", snapshotsInOldView: true}, replacedMemberWritesInOldView},
		{ruleMutation{name: "a replaced member is incomplete when it rejoins", votesWithOutdatedDisk: true}, replacedMemberRejoins},
		{ruleMutation{name: "a majority commits the next view", commitsWithoutQuorum: true}, twoProposersReplaceEachOther},
	}
	members := addresses(3)
	for _, rule := range rules {
		var holdsWithRule, holdsWithoutRule bool
		runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) { holdsWithRule = rule.scenario(c, members) })
		runInCluster(t, 1, rule.mutation, members, func(c *cluster) { holdsWithoutRule = rule.scenario(c, members) })
		convey.Convey("The scenario succeeds only with the rule: "+rule.mutation.name, t, func() {
			convey.So(holdsWithRule, convey.ShouldBeTrue)
			convey.So(holdsWithoutRule, convey.ShouldBeFalse)
		})
	}
}
