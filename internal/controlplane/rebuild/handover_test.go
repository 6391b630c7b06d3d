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

// handOverLimit is the maximum duration of a hand-over in these tests. A coordinator with a grace period of 6 s has the same limit.
const handOverLimit = 3 * time.Second

// threeMembers is a cluster of three complete members, each with its own views. "member-1" is the departing member.
type threeMembers struct {
	*cluster
	views     [3]*changingViews
	departing *rebuild.Rebuilder // of "member-1"
}

// handOverResult is the result of a hand-over.
type handOverResult struct {
	mayStop     bool
	keepsQuorum bool
	duration    time.Duration
}

// runHandOver starts three members, calls prepare to set up the case, and runs the hand-over of the second member.
func runHandOver(t *testing.T, prepare func(m *threeMembers)) (result handOverResult) {
	t.Helper()
	inCluster(t, 3, func(c *cluster) {
		m := &threeMembers{cluster: c}
		for i, self := range c.views.view.Members {
			m.views[i] = newChangingViews(c.views.view, 0)
			rebuilder := c.startMember(rebuild.Config{Self: self, FirstStart: true, Views: m.views[i], Store: storage.NewMemory()})
			if i == 1 {
				m.departing = rebuilder
			}
		}
		prepare(m)
		limited, cancel := context.WithTimeout(c.ctx, handOverLimit)
		defer cancel()
		begin := time.Now()
		departure := m.departing.HandOver(limited, func(context.Context) {})
		result = handOverResult{departure.MayStop(), departure.KeepsQuorum(), time.Since(begin)}
	})
	return result
}

func TestDepartingMemberStopsOnceQuorumStays(t *testing.T) {
	const atOnce = 100 * time.Millisecond
	cases := []struct {
		name        string
		prepare     func(m *threeMembers)
		mayStop     bool
		maxDuration time.Duration
	}{
		{"all others are complete", func(*threeMembers) {}, true, atOnce},
		{"another member does not reply", func(m *threeMembers) { m.network.Partition("member-2", true) }, false, handOverLimit},
		{"another member replies only after one second", func(m *threeMembers) {
			m.network.Partition("member-2", true)
			time.AfterFunc(time.Second, func() { m.network.Partition("member-2", false) })
		}, true, 1500 * time.Millisecond},
		{"a reply is lost", func(m *threeMembers) {
			m.network.AddRule(networktest.Rule{To: "member-2", Path: "/rebuild/ready", Drop: true, MaxMatches: 1})
		}, true, 500 * time.Millisecond},
		{"another member is being rebuilt", func(m *threeMembers) {
			m.startMember(rebuild.Config{Self: "member-2", Views: m.views[2], Store: storage.NewMemory()})
		}, false, handOverLimit},
		{"a member with a lower address stops too", func(m *threeMembers) { m.views[0].departing = true }, false, handOverLimit},
		{"a member with a higher address stops too", func(m *threeMembers) { m.views[2].departing = true }, true, atOnce},
		{"all members stop", func(m *threeMembers) {
			m.network.Partition("member-0", true)
			m.views[1].allOthersDeparting = true
		}, true, handOverLimit},
		{"another member knows a joining member", func(m *threeMembers) { m.views[2].joining = true }, false, handOverLimit},
		{"the departing member knows a joining member", func(m *threeMembers) { m.views[1].joining = true }, false, handOverLimit},
		{"a joining member has replaced the departing member and is being rebuilt", func(m *threeMembers) {
			m.startMember(rebuild.Config{Self: "new", Views: newChangingViews(viewAfterDeparture, 1), Store: storage.NewMemory()})
			time.AfterFunc(atOnce, func() { m.views[1].setView(viewAfterDeparture, 1) })
			m.network.Partition("member-0", true)
			time.AfterFunc(time.Second, func() { m.network.Partition("member-0", false) })
		}, false, handOverLimit},
		{"the departing member missed a view, in which a member may have been replaced and have joined again", func(m *threeMembers) {
			m.startMember(rebuild.Config{Self: "new", Views: newChangingViews(viewAfterDeparture, 1), FirstStart: true, Store: storage.NewMemory()})
			later := viewAfterDeparture
			later.Version++
			m.views[1].joining = true
			time.AfterFunc(atOnce, func() { m.views[1].setView(later, 1) })
			m.network.Partition("member-0", true)
		}, false, handOverLimit},
		{"the departing process is no longer a member", func(m *threeMembers) {
			m.views[1].setView(viewAfterDeparture, 1)
			m.network.Partition("member-0", true)
		}, true, 400 * time.Millisecond},
	}
	for _, testCase := range cases {
		result := runHandOver(t, testCase.prepare)
		convey.Convey("A member departs: "+testCase.name, t, func() {
			convey.So(result.mayStop, convey.ShouldEqual, testCase.mayStop)
			convey.So(result.duration, convey.ShouldBeLessThanOrEqualTo, testCase.maxDuration+atOnce)
		})
	}
}

// A hand-over whose time ends during a check must say what the check before has found: guards against the report that no quorum stays, and that
// the disk must not be erased, while all others may vote.
func TestHandOverThatEndsDuringACheckReportsTheCheckBefore(t *testing.T) {
	const lastCheck = 150 * time.Millisecond // before the end of the time, longer than the interval of checks
	result := runHandOver(t, func(m *threeMembers) {
		m.views[1].joining = true
		time.AfterFunc(handOverLimit-lastCheck, func() { m.network.Delay("member-0", 2*lastCheck) })
	})
	convey.Convey("A member departs beside a joining member, and its time ends before the replies to the last check", t, func() {
		convey.So(result.mayStop, convey.ShouldBeFalse)
		convey.So(result.keepsQuorum, convey.ShouldBeTrue)
		convey.So(result.duration, convey.ShouldBeLessThanOrEqualTo, handOverLimit+departureCheckTime)
	})
}

// departureCheckTime is the maximum duration of one check of a departing member.
const departureCheckTime = 400 * time.Millisecond

// viewAfterDeparture is the view in which a joining member has replaced the departing member.
var viewAfterDeparture = replicaset.View{
	Version: 2, Members: []string{"member-0", "member-2", "new"}, Replaced: "member-1", JoinedIncarnation: 7,
}

// The network drops all requests for a chunk without an error while the donor is unreachable. However long that lasts, the
// rebuild must end soon after the donor is reachable again, and not wait for the timeout of the lost requests.
func TestRebuildResumesWhenDonorIsReachableAgain(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 2 * time.Minute} {
		var afterReturn time.Duration
		inCluster(t, 3, func(c *cluster) {
			c.startOthersComplete()
			c.network.Partition("member-0", true)
			rebuilder := c.startInFixedView("member-2", storage.NewMemory(), false)
			c.runInBackground(rebuilder)
			<-time.After(2200*time.Millisecond + outage)
			c.network.Partition("member-0", false)
			returned := time.Now()
			<-rebuilder.Complete()
			afterReturn = time.Since(returned)
		})
		convey.Convey("A donor is reachable again after "+outage.String(), t, func() {
			convey.So(afterReturn, convey.ShouldBeLessThan, 2*time.Second)
		})
	}
}
