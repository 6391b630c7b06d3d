package nodesettings

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestConnectionBudget(t *testing.T) {
	convey.Convey("The sum of the shares never exceeds the available descriptors", t, func() {
		for _, descriptors := range []int{300, 512, 1000, 1024, 4096, 4100, 65536} {
			limits := Limits{FileDescriptors: descriptors}
			b := limits.ConnectionBudget()
			convey.So(b.Workers+b.Nodes+b.Operators+b.Outbound, convey.ShouldBeLessThanOrEqualTo, descriptors-reservedForFiles-reservedForProcess)
			convey.So(min(b.Workers, b.Nodes, b.Operators, b.Outbound), convey.ShouldBeGreaterThanOrEqualTo, minConnections)
		}
	})
	convey.Convey("At 4,096 descriptors", t, func() {
		limits := Limits{FileDescriptors: 4096, ProcessorShare: 0.5}
		convey.So(limits.ConnectionBudget(), convey.ShouldResemble, ConnectionBudget{Workers: 2716, Nodes: 853, CoordinatorPeers: 213, Operators: 116, Outbound: 194})
		convey.So(limits.DialsPerSecond(), convey.ShouldEqual, dialsPerSecondPerCore/2)
		convey.So(limits.PollsPerSecond(), convey.ShouldEqual, pollsPerSecondPerCore/2)
	})
	convey.Convey("With too few descriptors each share has the minimum", t, func() {
		limits := Limits{FileDescriptors: 100}
		convey.So(limits.ConnectionBudget(), convey.ShouldResemble, ConnectionBudget{
			Workers: minConnections, Nodes: minConnections, CoordinatorPeers: 1, Operators: minConnections, Outbound: minConnections,
		})
	})
}
