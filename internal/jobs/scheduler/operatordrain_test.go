package scheduler

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

func TestRepeatedOperatorDrainUnderASuccessor(t *testing.T) {
	Convey("Given a drain that was taken, and a successor that has not seen the worker yet", t, func() {
		w := newSimulation(1, 3)
		w.steps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		w.propose()
		w.steps(5)
		successor, err := New(w.scheduler.settings, w.clock(), w.durable)
		So(err, ShouldBeNil)
		So(successor.KnowsWorker("s00"), ShouldBeFalse)

		Convey("the same drain again is confirmed, and changes nothing", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			effects := successor.TakeEffects()
			So(effects.Empty(), ShouldBeTrue)
			So(successor.IsOperatorDraining("s00"), ShouldBeTrue)
		})
		Convey("its end is taken as well", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			So(successor.IsOperatorDraining("s00"), ShouldBeFalse)
			entries := successor.TakeEffects().Entries
			So(entries, ShouldHaveLength, 1)
			So(entries[0].Key, ShouldEqual, operatorDrainKey("s00"))
			var record operatorDrainRecord // it stays, so that a change that arrives late is recognized
			So(decodeRecord(entries[0].Key, entries[0].Value, &record), ShouldBeNil)
			So(record.draining(), ShouldBeFalse)
			So(record.Version, ShouldEqual, 2)
		})
		Convey("another worker is not known", func() {
			So(successor.SetOperatorDrain(w.clock(), "s01", true), ShouldBeFalse)
			So(successor.SetOperatorDrain(w.clock(), "s01", false), ShouldBeFalse)
		})
	})
}

func TestOperatorDrainVersions(t *testing.T) {
	drain := func(version uint64) DrainChange { return DrainChange{Draining: true, BaseVersion: version} }
	undrain := func(version uint64) DrainChange { return DrainChange{BaseVersion: version} }
	Convey("Given a worker that was never drained", t, func() {
		w := newSimulation(1, 3)
		w.steps(20)
		order := func(change DrainChange) jobreport.DrainOutcome {
			return w.scheduler.ChangeOperatorDrain(w.clock(), "s00", change)
		}

		Convey("a drain that arrives after the change that ended it changes nothing", func() {
			So(order(undrain(0)), ShouldEqual, jobreport.DrainTaken) // the operator gave up the drain, which is still on its way
			So(order(drain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeFalse)
		})
		Convey("a change that was taken is confirmed again, also after later ones", func() {
			So(order(drain(0)), ShouldEqual, jobreport.DrainTaken)
			So(order(drain(0)), ShouldEqual, jobreport.DrainTaken)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 1)
			So(order(undrain(1)), ShouldEqual, jobreport.DrainTaken)
			So(order(drain(0)), ShouldEqual, jobreport.DrainTaken)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeFalse)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 2)
		})
		Convey("one of two changes on top of one version is taken", func() {
			So(order(drain(0)), ShouldEqual, jobreport.DrainTaken)
			So(order(undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(w.scheduler.IsOperatorDraining("s00"), ShouldBeTrue)
		})
		Convey("the outcome of a change on top of a version that is not in force, or is forgotten, is unclear", func() {
			So(order(drain(1)), ShouldEqual, jobreport.DrainUnclear)
			So(order(undrain(math.MaxUint64)), ShouldEqual, jobreport.DrainUnclear)
			for version := range uint64(drainHistory + 1) {
				So(order(DrainChange{Draining: version%3 == 0, BaseVersion: version}), ShouldEqual, jobreport.DrainTaken)
			}
			So(order(drain(0)), ShouldEqual, jobreport.DrainUnclear)
			So(order(undrain(1)), ShouldEqual, jobreport.DrainTaken)
			So(order(drain(1)), ShouldEqual, jobreport.DrainSuperseded)
		})
		Convey("a change without a version makes a new one, where it changes something", func() {
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			So(w.scheduler.DrainVersion("s00"), ShouldEqual, 1)
			So(order(undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
		})
		Convey("an unknown worker is reported as such", func() {
			So(w.scheduler.ChangeOperatorDrain(w.clock(), "nobody", drain(0)), ShouldEqual, jobreport.DrainUnknown)
		})
		Convey("a successor has the same versions", func() {
			order(drain(0))
			order(undrain(1))
			w.propose()
			w.steps(5)
			successor, err := New(w.scheduler.settings, w.clock(), w.durable)
			So(err, ShouldBeNil)
			So(successor.DrainVersion("s00"), ShouldEqual, 2)
			So(successor.ChangeOperatorDrain(w.clock(), "s00", drain(0)), ShouldEqual, jobreport.DrainTaken)
			So(successor.ChangeOperatorDrain(w.clock(), "s00", undrain(0)), ShouldEqual, jobreport.DrainSuperseded)
			So(successor.IsOperatorDraining("s00"), ShouldBeFalse)
		})
		Convey("a record of a release without versions is a drain in force", func() {
			type oldRecord struct {
				SinceMS int64 `msgpack:"t"`
			}
			value, err := msgpack.Marshal(oldRecord{SinceMS: 5})
			So(err, ShouldBeNil)
			drains, err := restoreOperatorDrains(map[string][]byte{operatorDrainKey("s00"): value})
			So(err, ShouldBeNil)
			So(drains.isDraining("s00"), ShouldBeTrue)
			So(drains.record("s00").Version, ShouldEqual, 1)
		})
	})
}
