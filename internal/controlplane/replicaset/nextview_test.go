package replicaset

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestJoiningMemberReplacesMemberOfItsZoneOrLongestFailed(t *testing.T) {
	view := View{Version: 7, Members: []string{"a", "b", "c"}, Zones: map[string]string{"a": "north", "b": "south", "c": "west"}}
	south := []joiningMember{{address: "new", zone: "south"}}
	elsewhere := []joiningMember{{address: "new", zone: "elsewhere", incarnation: 9}}
	short, long := 1300*time.Millisecond, 4*time.Second

	convey.Convey("Without a failed member there is no next view", t, func() {
		_, found := nextView(view, south, nil)
		convey.So(found, convey.ShouldBeFalse)
	})
	convey.Convey("A single failed member is replaced, whatever its zone", t, func() {
		next, found := nextView(view, elsewhere, []replaceableMember{{address: "a", sinceContact: short}})
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next, convey.ShouldResemble, View{
			Version: 8, Members: []string{"b", "c", "new"}, Zones: map[string]string{"b": "south", "c": "west", "new": "elsewhere"},
			Replaced: "a", JoinedIncarnation: 9,
		})
		convey.So(view.Zones, convey.ShouldContainKey, "a")
	})
	convey.Convey("Of several failed members, the one in the joining member's zone is replaced", t, func() {
		next, found := nextView(view, south, []replaceableMember{{address: "a", sinceContact: long}, {address: "b", sinceContact: short}})
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next.Members, convey.ShouldResemble, []string{"a", "c", "new"})
	})
	convey.Convey("If none of several failed members is in the zone, the one without contact for longest is replaced after the longer timeout", t, func() {
		_, early := nextView(view, elsewhere, []replaceableMember{{address: "a", sinceContact: short}, {address: "b", sinceContact: short + 1}})
		next, found := nextView(view, elsewhere, []replaceableMember{{address: "a", sinceContact: short}, {address: "b", sinceContact: long}})
		convey.So(early, convey.ShouldBeFalse)
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next.Members, convey.ShouldResemble, []string{"a", "c", "new"})
	})
}

func TestDepartingMemberIsReplacedFirst(t *testing.T) {
	view := View{Version: 7, Members: []string{"a", "b", "c"}, Zones: map[string]string{"a": "north", "b": "south", "c": "west"}}
	replaceable := []replaceableMember{{address: "a", sinceContact: 10 * time.Second}, {address: "b", departing: true}}

	convey.Convey("If one member has failed and another departs, the departing one is replaced at once", t, func() {
		next, found := nextView(view, []joiningMember{{address: "new", zone: "elsewhere"}}, replaceable)
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next.Replaced, convey.ShouldEqual, "b")
	})
	convey.Convey("A joining member in the zone of the failed member replaces the failed one nevertheless", t, func() {
		next, found := nextView(view, []joiningMember{{address: "new", zone: "north"}}, replaceable)
		convey.So(found, convey.ShouldBeTrue)
		convey.So(next.Replaced, convey.ShouldEqual, "a")
	})
}
