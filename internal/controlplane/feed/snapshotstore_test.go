package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/virtualtime"
)

func snapshotOf(version uint64, term uint64, core ...string) *Snapshot {
	return &Snapshot{
		ConfigurationVersion: version,
		Configuration:        []byte{byte(version)},
		Leaders:              map[string]Leader{"g": {Address: "a:1", Term: term}},
		Core:                 core,
	}
}

func TestSnapshotsNeverGoBack(t *testing.T) {
	Convey("Given a store with a snapshot", t, func() {
		store := NewSnapshotStore()
		So(store.MergeWithMembers(snapshotOf(5, 3, "a:1")), ShouldBeTrue)

		Convey("older configurations and leaders are ignored", func() {
			So(store.Merge(snapshotOf(4, 2)), ShouldBeFalse)
			So(store.MergeWithMembers(snapshotOf(4, 2, "a:1")), ShouldBeFalse)
			So(store.Snapshot(), ShouldResemble, *snapshotOf(5, 3, "a:1"))
		})
		Convey("newer ones are merged, each for itself", func() {
			So(store.Merge(snapshotOf(6, 2)), ShouldBeTrue)
			So(store.Snapshot(), ShouldResemble, *snapshotOf(6, 3, "a:1"))
			So(store.Merge(snapshotOf(1, 4)), ShouldBeTrue)
			So(store.Snapshot(), ShouldResemble, *snapshotOf(6, 4, "a:1"))
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
		Convey("members are replaced by MergeWithMembers only, and only by other members", func() {
			So(store.Merge(snapshotOf(5, 3, "b:1")), ShouldBeFalse)
			So(store.MergeWithMembers(snapshotOf(5, 3)), ShouldBeFalse)
			So(store.MergeWithMembers(snapshotOf(5, 3, "b:1")), ShouldBeTrue)
			So(store.Snapshot().Core, ShouldResemble, []string{"b:1"})
		})
	})
}

func TestUpdatesHoldWhatADigestLacks(t *testing.T) {
	Convey("Given a store with a snapshot", t, func() {
		store := NewSnapshotStore()
		store.MergeWithMembers(snapshotOf(5, 3, "a:1"))
		digest := store.Digest()

		Convey("an empty digest lacks everything", func() {
			update, _ := store.UpdateSince(Digest{})
			So(update, ShouldResemble, snapshotOf(5, 3, "a:1"))
			So(store.NewerThan(Digest{}), ShouldResemble, snapshotOf(5, 3))
		})
		Convey("the same digest lacks nothing, nor does a newer one", func() {
			newer := snapshotOf(6, 4, "a:1").Digest()
			for _, known := range []Digest{digest, newer} {
				update, _ := store.UpdateSince(known)
				So(update, ShouldBeNil)
				So(store.NewerThan(known), ShouldBeNil)
			}
		})
		Convey("a known configuration is not sent again", func() {
			update, _ := store.UpdateSince(snapshotOf(5, 2, "a:1").Digest())
			So(update.Configuration, ShouldBeNil)
			So(update.Leaders["g"].Term, ShouldEqual, 3)
		})
		Convey("other members are a change, except for NewerThan", func() {
			known := snapshotOf(5, 3, "b:1").Digest()
			update, _ := store.UpdateSince(known)
			So(update.Core, ShouldResemble, []string{"a:1"})
			So(store.NewerThan(known), ShouldBeNil)
		})
		Convey("a store without members has no update of them", func() {
			empty := NewSnapshotStore()
			update, _ := empty.UpdateSince(digest)
			So(update, ShouldBeNil)
		})
	})
}

func TestWaitEndsWithAnUpdateOrATimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Without a change it ends after the limit", t, func() {
			began := time.Now()
			So(NewSnapshotStore().Wait(context.Background(), Digest{}, time.Second), ShouldBeNil)
			So(time.Since(began), ShouldEqual, time.Second)
		})
		Convey("A change that the reader lacks ends it at once, any other does not", t, func() {
			store := NewSnapshotStore()
			store.Merge(snapshotOf(5, 3))
			ended := make(chan *Snapshot)
			go func() { ended <- store.Wait(context.Background(), snapshotOf(7, 3).Digest(), time.Hour) }()
			synctest.Wait()
			store.Merge(snapshotOf(6, 3))
			synctest.Wait()
			store.Merge(snapshotOf(6, 4))
			So((<-ended).Leaders["g"].Term, ShouldEqual, 4)
		})
		Convey("It ends with its context", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(NewSnapshotStore().Wait(ctx, Digest{}, time.Hour), ShouldBeNil)
		})
	})
}
