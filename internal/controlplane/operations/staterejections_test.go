package operations

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// rejection is a request that is rejected because of the state that the node and the leaders know.
type rejection struct {
	name, method, path string
	status             int
}

// rejections are all such requests.
func rejections() []rejection {
	const none = "ffffffffffffffff"
	return []rejection{
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

func TestStateIsConfirmedBeforeRejections(t *testing.T) {
	for _, rejected := range rejections() {
		Convey("Given a request that is rejected: "+rejected.name, t, func() {
			c := newFakeCore()
			c.jobState, c.cancelled = job.Completed, &jobapi.CancelReply{Known: true, State: job.Completed}
			So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, rejected.status)

			Convey("it is answered by 503 if no majority confirms that state", func() {
				c.confirm = func() error { return errReset }
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
			Convey("it is answered by 503 if contact has been lost meanwhile", func() {
				c.confirm = func() error {
					c.isolated = true
					return nil
				}
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
			Convey("it is answered by 503 if a majority has a newer configuration", func() {
				c.confirm = func() error {
					c.version++
					return nil
				}
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
		})
	}
}
