package workerclient

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestActivity(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a worker to which a command was sent", t, func() {
		a := activity{mayHaveWork: true}
		convey.Convey("empty lists make it idle only if all commands were answered before the lists were requested", func() {
			a.observeLists(&responseBody{}, false)
			convey.So(a, convey.ShouldResemble, activity{listed: true, mayHaveWork: true})
			a.observeLists(&responseBody{}, true)
			convey.So(a, convey.ShouldResemble, activity{listed: true})
		})
		convey.Convey("a listed attempt or completion always makes it active", func() {
			a.mayHaveWork = false
			a.observeLists(&responseBody{Running: make([]runningEntry, 1)}, true)
			convey.So(a.mayHaveWork, convey.ShouldBeTrue)
			a.mayHaveWork = false
			a.observeLists(&responseBody{Finished: make([]finishedEntry, 1)}, false)
			convey.So(a.mayHaveWork, convey.ShouldBeTrue)
		})
	})
}
