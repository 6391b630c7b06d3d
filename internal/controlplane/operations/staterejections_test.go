package operations

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// stateRejection is a request that is rejected because of the state that the node and the leaders know, and the status of the
// response.
type stateRejection struct {
	name, method, path string
	status             int
}

// stateRejections returns all requests that can be rejected because of the known state.
func stateRejections() []stateRejection {
	const none = "ffffffffffffffff"
	return []stateRejection{
		{"an unknown job", "GET", JobsPath + "/" + none, http.StatusNotFound},
		{"why an unknown job waits", "GET", JobsPath + "/" + none + "/why", http.StatusNotFound},
		{"a cancellation of an unknown job", "DELETE", JobsPath + "/" + none, http.StatusNotFound},
		{"a cancellation of a job that has ended", "DELETE", JobsPath + "/" + pricingJob, http.StatusConflict},
		{"a job that two services know", "GET", JobsPath + "/" + sharedJob, http.StatusConflict},
		{"an unknown worker", "POST", WorkersPath + "/i-none/drain", http.StatusNotFound},
		{"the end of an unknown worker's drain", "DELETE", WorkersPath + "/i-none/drain", http.StatusNotFound},
		{"an unknown service's workers", "GET", WorkersPath + "?service=x", http.StatusNotFound},
		{"an unknown service's jobs", "GET", JobsPath + "?service=x", http.StatusNotFound},
	}
}

func TestStateIsConfirmedBeforeRequestsAreRejected(t *testing.T) {
	for _, rejected := range stateRejections() {
		Convey("Given a request that is rejected: "+rejected.name, t, func() {
			c := newFakeCluster()
			c.jobState, c.cancelReply = job.Completed, &jobapi.CancelReply{Known: true, State: job.Completed}
			So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, rejected.status)

			Convey("the response is 503 if no majority confirms that state", func() {
				c.confirm = func() error { return errConnectionReset }
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
			Convey("the response is 503 if the node has lost contact to a majority in the meantime", func() {
				c.confirm = func() error {
					c.isolated = true
					return nil
				}
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
			Convey("the response is 503 if a majority has a newer configuration", func() {
				c.confirm = func() error {
					c.configurationVersion++
					return nil
				}
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
				So(request(c.handler(), rejected.method, rejected.path, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			})
		})
	}
}
