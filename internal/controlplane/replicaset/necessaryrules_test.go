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

	messagesInFlightTime = time.Second // at most
)

// part lets no message pass between two processes, or only none of some paths.
func (c *cluster) dropBetween(a, b, path string) {
	c.network.AddRule(networktest.Rule{From: a, To: b, Path: path, Lose: true})
	c.network.AddRule(networktest.Rule{From: b, To: a, Path: path, Lose: true})
}

// writtenInTheOldView lets a member that was replaced, and did not hear of it, write at the end of the joining member's rebuild
// together with a member that the others can do without, and that settles no view itself. It tells whether the value is
// there afterwards.
func writtenInTheOldView(c *cluster, members []string) bool {
	replaced, common, proposer := members[0], members[1], members[2]
	c.write(proposer, oldValue)
	c.dropBetween(replaced, proposer, "")
	c.dropBetween("new", replaced, "/replicaset/announce")
	c.dropBetween("new", replaced, "/rebuild/dump")
	for _, address := range []string{replaced, proposer, "new"} {
		c.dropBetween(address, common, "/replicaset/view")
		c.dropBetween(address, common, "/replicaset/announce")
	}
	c.network.AddRule(networktest.Rule{From: common, Path: "/register/replicaset/next", Lose: true})
	c.join("new")
	if c.write(replaced, writtenValue) != nil {
		return true
	}
	c.network.Partition(common, true)
	return c.read(proposer) == writtenValue
}

// joiningMemberCompletesAMajority lets a value be written without one member, of which one of the two that know of it is then
// replaced, and the other is cut off. It tells whether the value is there afterwards.
func joiningMemberCompletesAMajority(c *cluster, members []string) bool {
	c.write(members[0], oldValue)
	c.network.Partition(members[0], true)
	c.write(members[1], writtenValue)
	<-time.After(messagesInFlightTime)
	c.network.Partition(members[0], false)
	c.stop(c.at(members[1]))
	c.start("new", "elsewhere", storage.NewMemory(), false)
	for !c.at("new").manager.View().Has("new") {
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

// replacedMemberRejoins lets a value be written without a member that was replaced, and without another one. Then the
// replaced one takes the place of one that knows of the value, and the last that does is cut off. It tells whether the
// value is there afterwards.
func replacedMemberRejoins(c *cluster, members []string) bool {
	c.write(members[0], oldValue)
	c.network.Partition(members[0], true)
	c.join("new")
	c.network.Partition(members[2], true)
	c.write(members[1], writtenValue)
	<-time.After(messagesInFlightTime)
	c.network.Partition(members[2], false)
	c.network.Partition(members[0], false)
	<-time.After(3 * time.Second)
	c.stop(c.at(members[1]))
	c.at(members[0]).awaitMembership()
	c.network.Partition("new", true)
	return c.read(members[2]) == writtenValue
}

// twoProposers lets two members, of which neither hears the other, replace it by another joining member. It tells whether there
// is one view of each version.
func twoProposers(c *cluster, members []string) bool {
	c.dropBetween(members[0], members[1], "")
	c.dropBetween("new-0", members[1], "")
	c.dropBetween("new-1", members[0], "")
	c.dropBetween("new-0", members[2], "")
	c.dropBetween("new-1", members[2], "")
	c.start("new-0", "zone of "+members[1], storage.NewMemory(), false)
	c.start("new-1", "zone of "+members[0], storage.NewMemory(), false)
	views := make(map[uint64]string)
	for range 500 {
		<-time.After(10 * time.Millisecond)
		for _, p := range c.all() {
			view := p.manager.View()
			members := ""
			for _, address := range view.Members {
				members += address + " "
			}
			if known, found := views[view.Version]; found && known != members {
				return false
			}
			views[view.Version] = members
		}
	}
	return true
}

// Each rule is needed: what holds with it does not hold without it.
func TestEachRuleIsNeeded(t *testing.T) {
	rules := []struct {
		broken   ruleMutant
		scenario func(c *cluster, members []string) bool
	}{
		{ruleMutant{name: "a newcomer votes only after it is rebuilt", noRebuild: true}, joiningMemberCompletesAMajority},
		{ruleMutant{name: "a member that has learned a view refuses the rounds of the one before", votesInOldView: true}, writtenInTheOldView},
		{ruleMutant{name: "only a member that has learned the newcomer's view gives it a copy", dumpsInOldView: true}, writtenInTheOldView},
		{ruleMutant{name: "a member that was replaced is empty when it comes back", keepsOldVotes: true}, replacedMemberRejoins},
		{ruleMutant{name: "a majority settles the next view", decidesAlone: true}, twoProposers},
	}
	members := addresses(3)
	for _, rule := range rules {
		var with, without bool
		inCluster(t, 1, ruleMutant{}, members, func(c *cluster) { with = rule.scenario(c, members) })
		inCluster(t, 1, rule.broken, members, func(c *cluster) { without = rule.scenario(c, members) })
		convey.Convey("Shown to be needed: "+rule.broken.name, t, func() {
			convey.So(with, convey.ShouldBeTrue)
			convey.So(without, convey.ShouldBeFalse)
		})
	}
}
