package coordinator

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestHasHostIgnoresPort(t *testing.T) {
	addresses := []string{"10.0.0.1:7000", "[fd00::2]:7000", "not an address"}
	convey.Convey("A host matches by its address, whatever the port", t, func() {
		convey.So(hasHost(addresses, "10.0.0.1"), convey.ShouldBeTrue)
		convey.So(hasHost(addresses, "fd00::2"), convey.ShouldBeTrue)
		convey.So(hasHost(addresses, "10.0.0.11"), convey.ShouldBeFalse)
		convey.So(hasHost(addresses, "not an address"), convey.ShouldBeFalse)
	})
}
