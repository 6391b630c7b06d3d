package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/virtualtime"
)

// testSnapshot returns a snapshot with one leader, of group g.
func testSnapshot(version uint64, term uint64, coordinators ...string) *Snapshot {
	return &Snapshot{
		ConfigurationVersion: version,
		Configuration:        []byte{byte(version)},
		Leaders:              map[string]Leader{"g": {Address: "a:1", Term: term}},
		Coordinators:         coordinators,
	}
}

func TestMergeIgnoresOlderVersionsAndTerms(t *testing.T) {
	Convey("Given a store with a snapshot", t, func() {
		store := NewSnapshotStore()
		So(store.MergeWithMembers(testSnapshot(5, 3, "a:1")), ShouldBeTrue)

		Convey("older configurations and leaders are ignored", func() {
			So(store.Merge(testSnapshot(4, 2)), ShouldBeFalse)
			So(store.MergeWithMembers(testSnapshot(4, 2, "a:1")), ShouldBeFalse)
			So(store.Snapshot(), ShouldResemble, *testSnapshot(5, 3, "a:1"))
		})
		Convey("newer configurations and leaders are merged independently", func() {
			So(store.Merge(testSnapshot(6, 2)), ShouldBeTrue)
			So(store.Snapshot(), ShouldResemble, *testSnapshot(6, 3, "a:1"))
			So(store.Merge(testSnapshot(1, 4)), ShouldBeTrue)
			So(store.Snapshot(), ShouldResemble, *testSnapshot(6, 4, "a:1"))
			So(store.Digest(), ShouldResemble, store.snapshot.Digest())
		})
		Convey("a version without its configuration is ignored", func() {
			So(store.Merge(&Snapshot{ConfigurationVersion: 9}), ShouldBeFalse)
			So(store.Snapshot().ConfigurationVersion, ShouldEqual, 5)
		})
		Convey("leaders of other groups are kept", func() {
			So(store.Merge(&Snapshot{Leaders: map[string]Leader{"h": {Term: 1}}}), ShouldBeTrue)
			So(store.Digest().LeaderTerms, ShouldResemble, map[string]uint64{"g": 3, "h": 1})
		})
		Convey("only MergeWithMembers replaces members, and only if the update has different ones", func() {
			So(store.Merge(testSnapshot(5, 3, "b:1")), ShouldBeFalse)
			So(store.MergeWithMembers(testSnapshot(5, 3)), ShouldBeFalse)
			So(store.MergeWithMembers(testSnapshot(5, 3, "b:1")), ShouldBeTrue)
			So(store.Snapshot().Coordinators, ShouldResemble, []string{"b:1"})
		})
	})
}

func TestUpdateContainsOnlyWhatReaderLacks(t *testing.T) {
	Convey("Given a store with a snapshot", t, func() {
		store := NewSnapshotStore()
		store.MergeWithMembers(testSnapshot(5, 3, "a:1"))
		digest := store.Digest()

		Convey("an empty digest lacks everything", func() {
			update, _ := store.UpdateSince(Digest{})
			So(update, ShouldResemble, testSnapshot(5, 3, "a:1"))
			So(store.NewerThan(Digest{}), ShouldResemble, testSnapshot(5, 3))
		})
		Convey("neither the same digest nor a newer one lacks anything", func() {
			newer := testSnapshot(6, 4, "a:1").Digest()
			for _, known := range []Digest{digest, newer} {
				update, _ := store.UpdateSince(known)
				So(update, ShouldBeNil)
				So(store.NewerThan(known), ShouldBeNil)
			}
		})
		Convey("a known configuration is not sent again", func() {
			update, _ := store.UpdateSince(testSnapshot(5, 2, "a:1").Digest())
			So(update.Configuration, ShouldBeNil)
			So(update.Leaders["g"].Term, ShouldEqual, 3)
		})
		Convey("different members are an update, but not for NewerThan", func() {
			known := testSnapshot(5, 3, "b:1").Digest()
			update, _ := store.UpdateSince(known)
			So(update.Coordinators, ShouldResemble, []string{"a:1"})
			So(store.NewerThan(known), ShouldBeNil)
		})
		Convey("a store without members returns no update of members", func() {
			empty := NewSnapshotStore()
			update, _ := empty.UpdateSince(digest)
			So(update, ShouldBeNil)
		})
	})
}

func TestWaitReturnsOnUpdateTimeoutOrCancellation(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Without a change it returns after the timeout", t, func() {
			start := time.Now()
			So(NewSnapshotStore().Wait(context.Background(), Digest{}, time.Second), ShouldBeNil)
			So(time.Since(start), ShouldEqual, time.Second)
		})
		Convey("It returns at once on a change that the reader lacks, and ignores other changes", t, func() {
			store := NewSnapshotStore()
			store.Merge(testSnapshot(5, 3))
			updates := make(chan *Snapshot)
			go func() { updates <- store.Wait(context.Background(), testSnapshot(7, 3).Digest(), time.Hour) }()
			synctest.Wait()
			store.Merge(testSnapshot(6, 3))
			synctest.Wait()
			store.Merge(testSnapshot(6, 4))
			So((<-updates).Leaders["g"].Term, ShouldEqual, 4)
		})
		Convey("It returns when its context ends", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(NewSnapshotStore().Wait(ctx, Digest{}, time.Hour), ShouldBeNil)
		})
	})
}
