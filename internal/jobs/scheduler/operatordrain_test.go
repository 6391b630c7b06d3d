package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOperatorDrainAgainUnderASuccessor(t *testing.T) {
	Convey("Given a drain that was taken, and a successor that has not seen the searcher yet", t, func() {
		w := newWorld(1, 3)
		w.steps(20)
		So(w.scheduler.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
		w.propose()
		w.steps(5)
		successor, err := New(w.scheduler.settings, w.clock(), w.durable)
		So(err, ShouldBeNil)
		So(successor.Knows("s00"), ShouldBeFalse)

		Convey("the drain is known when it comes again, and changes nothing", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", true), ShouldBeTrue)
			effects := successor.Take()
			So(effects.Empty(), ShouldBeTrue)
			So(successor.OperatorDrains("s00"), ShouldBeTrue)
		})
		Convey("its end is taken as well", func() {
			So(successor.SetOperatorDrain(w.clock(), "s00", false), ShouldBeTrue)
			So(successor.OperatorDrains("s00"), ShouldBeFalse)
			entries := successor.Take().Entries
			So(entries, ShouldHaveLength, 1)
			So(entries[0].Key, ShouldEqual, operatorDrainKey("s00"))
			So(entries[0].Value, ShouldBeNil)
		})
		Convey("another searcher is not known", func() {
			So(successor.SetOperatorDrain(w.clock(), "s01", true), ShouldBeFalse)
			So(successor.SetOperatorDrain(w.clock(), "s01", false), ShouldBeFalse)
		})
	})
}
