package rebuild_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

func TestJoiningMemberIsRebuiltOnlyFromMembersOfItsView(t *testing.T) {
	before := replicaset.View{Version: 1, Members: []string{"a", "b", "gone"}}
	after := replicaset.View{Version: 2, Members: []string{"a", "b", "new"}}
	var readyBeforeJoining, readyWithOneDonorInOldView, ready bool
	var learned replicaset.View
	inCluster(t, 0, func(c *cluster) {
		a, b, views := newChangingViews(before, 0), newChangingViews(before, 0), newChangingViews(before, 1)
		b.ignoresLearned = true
		c.startMember(rebuild.Config{Self: "a", Views: a, Store: storage.NewMemory(), FirstStart: true})
		c.startMember(rebuild.Config{Self: "b", Views: b, Store: storage.NewMemory(), FirstStart: true})
		rebuilder := c.startMember(rebuild.Config{Self: "new", Views: views, Store: storage.NewMemory()})
		c.runInBackground(rebuilder)
		<-time.After(time.Minute)
		readyBeforeJoining = rebuilder.Ready()
		views.setView(after, 1)
		<-time.After(time.Minute)
		readyWithOneDonorInOldView = rebuilder.Ready()
		learned = a.View()
		b.setView(after, 0)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
	})
	convey.Convey("A process that is not a member is not rebuilt", t, func() { convey.So(readyBeforeJoining, convey.ShouldBeFalse) })
	convey.Convey("A donor learns the joining member's view before it provides a snapshot", t, func() {
		convey.So(learned, convey.ShouldResemble, after)
	})
	convey.Convey("A member that stays in the old view provides no snapshot", t, func() {
		convey.So(readyWithOneDonorInOldView, convey.ShouldBeFalse)
		convey.So(ready, convey.ShouldBeTrue)
	})
}

func TestJoiningMemberOfEvenViewFetchesQuorumOfSnapshots(t *testing.T) {
	view := replicaset.View{Version: 2, Members: []string{"a", "b", "c", "new"}}
	ready := make(map[uint64]bool)
	for absences := range uint64(2) {
		inCluster(t, 0, func(c *cluster) {
			for _, self := range view.Members[:2] {
				c.startMember(rebuild.Config{Self: self, Views: newChangingViews(view, 0), Store: storage.NewMemory(), FirstStart: true})
			}
			rebuilder := c.startMember(rebuild.Config{Self: "new", Views: newChangingViews(view, absences), Store: storage.NewMemory()})
			c.runInBackground(rebuilder)
			<-time.After(time.Minute)
			ready[absences] = rebuilder.Ready()
		})
	}
	convey.Convey("Two of three others are enough for a member that lost its disk, but not for a joining member", t, func() {
		convey.So(ready, convey.ShouldResemble, map[uint64]bool{0: true, 1: false})
	})
}

func TestReplacedMemberBecomesIncomplete(t *testing.T) {
	with := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
	without := replicaset.View{Version: 2, Members: []string{"b", "c", "new"}}
	var before, after, afterRestart bool
	var watchErr error
	inCluster(t, 0, func(c *cluster) {
		views, store := newChangingViews(with, 0), storage.NewMemory()
		rebuilder := c.startMember(rebuild.Config{Self: "a", Views: views, Store: store, FirstStart: true})
		watched := make(chan error, 1)
		go func() { watched <- rebuilder.Watch(context.Background()) }()
		before = rebuilder.Ready()
		views.setView(without, 1)
		after, watchErr = rebuilder.Ready(), <-watched
		afterRestart = c.startMember(rebuild.Config{Self: "a", Views: views, Store: store, FirstStart: true}).Ready()
	})
	convey.Convey("A member is replaced", t, func() {
		convey.So(before, convey.ShouldBeTrue)
		convey.Convey("it no longer votes, and Watch returns ErrReplaced", func() {
			convey.So(after, convey.ShouldBeFalse)
			convey.So(watchErr, convey.ShouldEqual, rebuild.ErrReplaced)
		})
		convey.Convey("after a restart with its disk it is incomplete", func() {
			convey.So(afterRestart, convey.ShouldBeFalse)
		})
	})
}

// In viewWithJoined, "new" has replaced the member "gone" of viewWithReplaced.
var (
	viewWithReplaced = replicaset.View{Version: 1, Members: []string{"a", "b", "gone"}}
	viewWithJoined   = replicaset.View{Version: 2, Members: []string{"a", "b", "new"}, Replaced: "gone", JoinedIncarnation: 7}
)

// isRebuiltWithReplacedMember reports whether a joining member is rebuilt if only one member of its view and the replaced member
// are reachable.
func isRebuiltWithReplacedMember(t *testing.T, incarnation uint64, prepare func(views *changingViews, store *storage.Memory)) (ready bool) {
	t.Helper()
	inCluster(t, 0, func(c *cluster) {
		c.startMember(rebuild.Config{Self: "a", Views: newChangingViews(viewWithReplaced, 0), Store: storage.NewMemory(), FirstStart: true})
		views, store := newChangingViews(viewWithReplaced, 0), storage.NewMemory()
		prepare(views, store)
		c.startMember(rebuild.Config{Self: "gone", Views: views, Store: store})
		rebuilder := c.startMember(rebuild.Config{Self: "new", Incarnation: incarnation, Views: newChangingViews(viewWithJoined, 1), Store: storage.NewMemory()})
		c.runInBackground(rebuilder)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
	})
	return ready
}

func TestReplacedMemberSnapshotIsAcceptedOnlyIfComplete(t *testing.T) {
	complete := func(views *changingViews, store *storage.Memory) {
		store.Write(setChange(rebuild.TableName, "complete", "1"))
		views.setView(viewWithJoined, 1)
	}
	cases := []struct {
		name        string
		incarnation uint64
		prepare     func(views *changingViews, store *storage.Memory)
		accepted    bool
	}{
		{"of a complete member is accepted", 7, complete, true},
		{"is rejected by a later process at the joining member's address", 8, complete, false},
		{"of an incomplete member is rejected", 7, func(views *changingViews, _ *storage.Memory) { views.setView(viewWithJoined, 1) }, false},
		{"of a member that an earlier view replaced is rejected", 7, func(views *changingViews, store *storage.Memory) {
			store.Write(setChange(rebuild.TableName, "complete", "1"))
			views.setView(viewWithJoined, 2)
		}, false},
		{"of a member that still has the previous view is rejected", 7, func(views *changingViews, store *storage.Memory) {
			store.Write(setChange(rebuild.TableName, "complete", "1"))
			views.ignoresLearned = true
		}, false},
	}
	for _, testCase := range cases {
		ready := isRebuiltWithReplacedMember(t, testCase.incarnation, testCase.prepare)
		convey.Convey("The snapshot "+testCase.name, t, func() { convey.So(ready, convey.ShouldEqual, testCase.accepted) })
	}
}

func TestOnlyJoiningMemberWaitsForReplacedMemberSnapshot(t *testing.T) {
	alone := replicaset.View{Version: 2, Members: []string{"new"}, Replaced: "gone", JoinedIncarnation: 7}
	var early, late bool
	inCluster(t, 0, func(c *cluster) {
		rebuilder := c.startMember(rebuild.Config{Self: "new", Incarnation: 7, Views: newChangingViews(alone, 1), Store: storage.NewMemory()})
		c.runInBackground(rebuilder)
		<-time.After(time.Minute)
		early = rebuilder.Ready()
		store := storage.NewMemory()
		store.Write(setChange(rebuild.TableName, "complete", "1"))
		c.startMember(rebuild.Config{Self: "gone", Views: newChangingViews(alone, 1), Store: store})
		<-time.After(time.Minute)
		late = rebuilder.Ready()
	})
	convey.Convey("If the only member is replaced, the joining member waits for its snapshot", t, func() {
		convey.So(early, convey.ShouldBeFalse)
		convey.So(late, convey.ShouldBeTrue)
	})
}
