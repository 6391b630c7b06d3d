package operations

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// refusal is a request that is refused on what the node and the leaders know.
type refusal struct {
	name, method, path string
	status             int
}

// refusals are all of them.
func refusals() []refusal {
	const none = "ffffffffffffffff"
	return []refusal{
		{"an unknown job", "GET", JobsPath + "/" + none, http.StatusNotFound},
		{"why an unknown job waits", "GET", JobsPath + "/" + none + "/why", http.StatusNotFound},
		{"a cancellation of an unknown job", "DELETE", JobsPath + "/" + none, http.StatusNotFound},
		{"a cancellation of a job that has ended", "DELETE", JobsPath + "/" + priceJob, http.StatusConflict},
		{"a job that two services know", "GET", JobsPath + "/" + bothJob, http.StatusConflict},
		{"an unknown searcher", "POST", WorkersPath + "/i-none/drain", http.StatusNotFound},
		{"the end of an unknown searcher's drain", "DELETE", WorkersPath + "/i-none/drain", http.StatusNotFound},
		{"an unknown service's searchers", "GET", WorkersPath + "?service=x", http.StatusNotFound},
		{"an unknown service's jobs", "GET", JobsPath + "?service=x", http.StatusNotFound},
	}
}

func TestNothingIsRefusedOnOldState(t *testing.T) {
	for _, one := range refusals() {
		Convey("Given a request that is refused: "+one.name, t, func() {
			c := newCore()
			c.found, c.cancelled = job.Completed, &jobapi.Cancelled{Known: true, State: job.Completed}
			So(ask(c.handler(), one.method, one.path, nil).Code, ShouldEqual, one.status)

			Convey("it is not where no majority confirms what the mixer knows", func() {
				c.confirm = func() error { return errCut }
				So(ask(c.handler(), one.method, one.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
			Convey("nor where contact has ended meanwhile", func() {
				c.confirm = func() error {
					c.alone = true
					return nil
				}
				So(ask(c.handler(), one.method, one.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
			Convey("nor where a majority knows a newer configuration", func() {
				c.confirm = func() error {
					c.version++
					return nil
				}
				So(ask(c.handler(), one.method, one.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
				So(ask(c.handler(), one.method, one.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
		})
	}
}
