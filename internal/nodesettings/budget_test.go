package nodesettings

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestConnectionBudget(t *testing.T) {
	convey.Convey("The parts are never more than the sockets that a process may have", t, func() {
		for _, descriptors := range []int{300, 512, 1000, 1024, 4096, 4100, 65536} {
			limits := Limits{FileDescriptors: descriptors}
			b := limits.ConnectionBudget()
			convey.So(b.Workers+b.Nodes+b.Operators+b.OwnCalls, convey.ShouldBeLessThanOrEqualTo, descriptors-descriptorsForFiles-descriptorsOfOwn)
			convey.So(min(b.Workers, b.Nodes, b.Operators, b.OwnCalls), convey.ShouldBeGreaterThanOrEqualTo, leastOfShare)
		}
	})
	convey.Convey("At 4,096 descriptors", t, func() {
		limits := Limits{FileDescriptors: 4096, ProcessorShare: 0.5}
		convey.So(limits.ConnectionBudget(), convey.ShouldResemble, ConnectionBudget{Workers: 2716, Nodes: 853, Operators: 116, OwnCalls: 194})
		convey.So(limits.DialsPerS(), convey.ShouldEqual, dialsPerSOfCore/2)
		convey.So(limits.LooksPerS(), convey.ShouldEqual, looksPerSOfCore/2)
	})
	convey.Convey("Too few descriptors leave some of each", t, func() {
		limits := Limits{FileDescriptors: 100}
		convey.So(limits.ConnectionBudget(), convey.ShouldResemble, ConnectionBudget{leastOfShare, leastOfShare, leastOfShare, leastOfShare})
	})
}
