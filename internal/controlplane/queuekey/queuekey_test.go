package queuekey

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestKeyNamesHostAndPrefix(t *testing.T) {
	Convey("A key depends on the host without its port and case, and on the exact prefix", t, func() {
		key := Of("jobs.example", "/plan/")
		So(Of("JOBS.example:8080", "/plan/"), ShouldEqual, key)
		So(Of("jobs.example", "/plan"), ShouldNotEqual, key)
		So(Of("jobs.example", "/Plan/"), ShouldNotEqual, key)
		So(Of("other.example", "/plan/"), ShouldNotEqual, key)
	})
	Convey("Keys are stored with jobs, so they never change", t, func() {
		So(Of("jobs.example", "/plan/"), ShouldEqual, Key(2724275685872409200))
	})
	Convey("An unknown queue may be any queue", t, func() {
		So(Key(5).Matches(5), ShouldBeTrue)
		So(Key(5).Matches(6), ShouldBeFalse)
		So(Key(5).Matches(Unknown), ShouldBeTrue)
		So(Unknown.Matches(5), ShouldBeTrue)
	})
}

func TestNormalizeHostKeepsIPv6Addresses(t *testing.T) {
	Convey("An IPv6 address keeps its colons and loses its port", t, func() {
		So(NormalizeHost("[fe80::1]"), ShouldEqual, "[fe80::1]")
		So(NormalizeHost("[FE80::1]:80"), ShouldEqual, "[fe80::1]")
	})
}
