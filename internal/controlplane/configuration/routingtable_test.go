package configuration

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatchFindsLongestPrefix(t *testing.T) {
	Convey("Given a table", t, func() {
		parsed, err := Parse([]byte(exampleBody))
		So(err, ShouldBeNil)
		table := NewRoutingTable(parsed)
		cases := []struct{ host, path, route, rest string }{
			{"prices.example", "/nav/5c0e", "r-1", "5c0e"},
			{"prices.example", "/nav/daily/5c0e", "r-2", "5c0e"},
			{"prices.example", "/nav/daily", "r-1", "daily"},
			{"PRICES.example:8144", "/nav/", "r-1", ""},
			{"prices.example", "/nav", "", ""},
			{"prices.example", "", "", ""},
			{"other.example", "/nav/5c0e", "", ""},
			{"", "/nav/5c0e", "", ""},
		}
		for _, c := range cases {
			route, remainder, ok := table.Match(c.host, c.path)
			So(ok, ShouldEqual, c.route != "")
			So(route.Name, ShouldEqual, c.route)
			So(remainder, ShouldEqual, c.rest)
		}
	})
	Convey("Services, routes and limits are those of the configuration", t, func() {
		parsed, err := Parse([]byte(exampleBody))
		So(err, ShouldBeNil)
		table := NewRoutingTable(parsed)
		So(table.Version(), ShouldEqual, 7)
		So(table.Services(), ShouldResemble, []string{"pricing", "stress"})
		So(table.Routes(), ShouldResemble, parsed.Routes)
		So(table.Limits(), ShouldResemble, parsed.Limits)
		service, known := table.Service("pricing")
		So(known, ShouldBeTrue)
		So(service.EnforcesCapacity, ShouldBeTrue)
		_, known = table.Service("none")
		So(known, ShouldBeFalse)
	})
}
