package rebuild_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// handOverLimit is the most that a departing member waits in these tests, as a coordinator does with a grace period of 6 s.
const handOverLimit = 3 * time.Second

// threeMembers is a cluster of three complete members, of which "member-1" departs, each with what it knows of departures.
type threeMembers struct {
	*cluster
	views [3]*changingViews
	self  *rebuild.Rebuilder // of "member-1"
}

// departure is the result of a hand-over.
type departure struct {
	mayStop bool
	took    time.Duration
}

// handOverOne starts three members, prepares what fails, and lets the second one hand over.
func handOverOne(t *testing.T, prepare func(m *threeMembers)) (result departure) {
	t.Helper()
	inCluster(t, 3, func(c *cluster) {
		m := &threeMembers{cluster: c}
		for i, self := range c.views.view.Members {
			m.views[i] = newChangingViews(c.views.view, 0)
			rebuilder := c.startMember(rebuild.Config{Self: self, FirstStart: true, Views: m.views[i], Store: storage.NewMemory()})
			if i == 1 {
				m.self = rebuilder
			}
		}
		prepare(m)
		limited, cancel := context.WithTimeout(c.ctx, handOverLimit)
		defer cancel()
		begin := time.Now()
		result.mayStop = m.self.HandOver(limited, func(context.Context) {}).MayStop()
		result.took = time.Since(begin)
	})
	return result
}

func TestADepartingMemberStopsOnceAQuorumStays(t *testing.T) {
	const atOnce = 100 * time.Millisecond
	cases := []struct {
		name    string
		prepare func(m *threeMembers)
		mayStop bool
		longest time.Duration
	}{
		{"all others are complete", func(*threeMembers) {}, true, atOnce},
		{"another one does not reply", func(m *threeMembers) { m.network.Partition("member-2", true) }, false, handOverLimit},
		{"another one replies after a while", func(m *threeMembers) {
			m.network.Partition("member-2", true)
			time.AfterFunc(time.Second, func() { m.network.Partition("member-2", false) })
		}, true, 1500 * time.Millisecond},
		{"a reply is lost", func(m *threeMembers) {
			m.network.AddRule(networktest.Rule{To: "member-2", Path: "/rebuild/ready", Drop: true, MaxMatches: 1})
		}, true, 500 * time.Millisecond},
		{"another one is being rebuilt", func(m *threeMembers) {
			m.startMember(rebuild.Config{Self: "member-2", Views: m.views[2], Store: storage.NewMemory()})
		}, false, handOverLimit},
		{"one before it in the order stops too", func(m *threeMembers) { m.views[0].departing = true }, false, handOverLimit},
		{"one after it in the order stops too", func(m *threeMembers) { m.views[2].departing = true }, true, atOnce},
		{"all stop", func(m *threeMembers) {
			m.network.Partition("member-0", true)
			m.views[1].othersDepart = true
		}, true, handOverLimit},
		{"another one knows a joining member", func(m *threeMembers) { m.views[2].joining = true }, false, handOverLimit},
		{"it knows a joining member itself", func(m *threeMembers) { m.views[1].joining = true }, false, handOverLimit},
		{"a joining member has replaced it and is being rebuilt", func(m *threeMembers) {
			m.startMember(rebuild.Config{Self: "new", Views: newChangingViews(viewAfterDeparture, 1), Store: storage.NewMemory()})
			time.AfterFunc(atOnce, func() { m.views[1].set(viewAfterDeparture, 1) })
			m.network.Partition("member-0", true)
			time.AfterFunc(time.Second, func() { m.network.Partition("member-0", false) })
		}, false, handOverLimit},
		{"a member was replaced and has joined again, while one more view was committed than it has seen", func(m *threeMembers) {
			m.startMember(rebuild.Config{Self: "new", Views: newChangingViews(viewAfterDeparture, 1), FirstStart: true, Store: storage.NewMemory()})
			later := viewAfterDeparture
			later.Version++
			m.views[1].joining = true
			time.AfterFunc(atOnce, func() { m.views[1].set(later, 1) })
			m.network.Partition("member-0", true)
		}, false, handOverLimit},
		{"it is no member", func(m *threeMembers) {
			m.views[1].set(viewAfterDeparture, 1)
			m.network.Partition("member-0", true)
		}, true, 400 * time.Millisecond},
	}
	for _, testCase := range cases {
		result := handOverOne(t, testCase.prepare)
		convey.Convey("A member departs: "+testCase.name, t, func() {
			convey.So(result.mayStop, convey.ShouldEqual, testCase.mayStop)
			convey.So(result.took, convey.ShouldBeLessThanOrEqualTo, testCase.longest+atOnce)
		})
	}
}

// viewAfterDeparture is the view in which a joining member has replaced the departing one.
var viewAfterDeparture = replicaset.View{
	Version: 2, Members: []string{"member-0", "member-2", "new"}, Replaced: "member-1", JoinedIncarnation: 7,
}

// All calls for a chunk are lost without a sign while their donor is out of reach, however long that is. The rebuild then ends
// soon after the donor is back.
func TestARebuildGoesOnOnceItsDonorIsBack(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 2 * time.Minute} {
		var afterReturn time.Duration
		inCluster(t, 3, func(c *cluster) {
			c.startComplete()
			c.network.Partition("member-0", true)
			rebuilder := c.start("member-2", storage.NewMemory(), false)
			c.run(rebuilder)
			<-time.After(2200*time.Millisecond + outage)
			c.network.Partition("member-0", false)
			returned := time.Now()
			<-rebuilder.Complete()
			afterReturn = time.Since(returned)
		})
		convey.Convey("A donor is back after "+outage.String(), t, func() {
			convey.So(afterReturn, convey.ShouldBeLessThan, 2*time.Second)
		})
	}
}
