package replicaset

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestWhosePlaceANewcomerTakes(t *testing.T) {
	view := View{Version: 7, Members: []string{"a", "b", "c"}, Zones: map[string]string{"a": "north", "b": "south", "c": "west"}}
	south := []newcomer{{address: "new", zone: "south"}}
	elsewhere := []newcomer{{address: "new", zone: "elsewhere"}}
	short, long := 1300*time.Millisecond, 4*time.Second

	convey.Convey("Nobody is silent: nothing happens", t, func() {
		_, found := successor(view, south, nil)
		convey.So(found, convey.ShouldBeFalse)
	})
	convey.Convey("One is silent: that one's, in whichever zone", t, func() {
		next, found := successor(view, elsewhere, []silentMember{{"a", short}})
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next, convey.ShouldResemble, View{
			Version: 8, Members: []string{"b", "c", "new"}, Zones: map[string]string{"b": "south", "c": "west", "new": "elsewhere"},
		})
		convey.So(view.Zones, convey.ShouldContainKey, "a")
	})
	convey.Convey("Several are silent: that of the newcomer's zone", t, func() {
		next, found := successor(view, south, []silentMember{{"a", long}, {"b", short}})
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next.Members, convey.ShouldResemble, []string{"a", "c", "new"})
	})
	convey.Convey("Several are silent, none in the zone: the longest, but only after a while", t, func() {
		_, early := successor(view, elsewhere, []silentMember{{"a", short}, {"b", short + 1}})
		next, found := successor(view, elsewhere, []silentMember{{"a", short}, {"b", long}})
		convey.So(early, convey.ShouldBeFalse)
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next.Members, convey.ShouldResemble, []string{"a", "c", "new"})
	})
}

func TestAProcessThatWasFrozenObservesAnew(t *testing.T) {
	convey.Convey("Contact counts from its newest beginning", t, func() {
		start := time.Now()
		at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
		var observed observation
		observed.look(at(0), true)
		observed.look(at(100), true)
		convey.So(observed.since, convey.ShouldEqual, at(0))
		observed.look(at(5000), true)
		convey.So(observed.since, convey.ShouldEqual, at(5000))
		observed.look(at(5100), false)
		convey.So(observed.since.IsZero(), convey.ShouldBeTrue)
		observed.look(at(5200), true)
		convey.So(observed.since, convey.ShouldEqual, at(5200))
	})
}
