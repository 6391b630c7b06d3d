package operations

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// failCallsTo returns a function for fakeCluster.fail that makes the calls to one address fail.
func failCallsTo(address string, err error) func(string, string) error {
	return func(called, _ string) error {
		if called == address {
			return err
		}
		return nil
	}
}

func TestJobListsCombineServices(t *testing.T) { virtualtime.Test(t, checkJobListsCombineServices) }

func checkJobListsCombineServices(t *testing.T) {
	Convey("Given two services with jobs", t, func() {
		c := newFakeCluster()
		var list JobList

		Convey("the list has jobs of each service in turn, with their services and the total", func() {
			So(request(c.handler(), "GET", JobsPath+"?limit=3", &list).Code, ShouldEqual, http.StatusOK)
			So(list.Total, ShouldEqual, 4)
			So(list.Jobs, ShouldHaveLength, 3)
			So(list.Jobs[0].Service, ShouldEqual, "pricing")
			So(list.Jobs[1].Service, ShouldEqual, "stress")
			So(list.Jobs[1].ID, ShouldEqual, job.ID(stressJob))
		})
		Convey("an invalid state or limit is rejected", func() {
			for _, query := range []string{"state=none", "limit=0", "limit=x", fmt.Sprint("limit=", jobreport.MaxJobLimit+1)} {
				So(request(c.handler(), "GET", JobsPath+"?"+query, nil).Code, ShouldEqual, http.StatusBadRequest)
			}
		})
		Convey("a service whose leader does not reply is listed as unanswered", func() {
			c.fail = failCallsTo("10.0.0.1:7660", errNotLeader)
			So(request(c.handler(), "GET", JobsPath, &list).Code, ShouldEqual, http.StatusOK)
			So(list.Jobs, ShouldHaveLength, 2)
			So(list.Unanswered, ShouldHaveLength, 1)
			So(list.Unanswered[0].Service, ShouldEqual, "pricing")
		})
		Convey("it is an error if no leader replies", func() {
			c.fail = func(string, string) error { return errNotLeader }
			So(request(c.handler(), "GET", JobsPath, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}

func TestJobIsFoundAndCancelledInItsService(t *testing.T) {
	virtualtime.Test(t, checkJobIsFoundAndCancelledInItsService)
}

func checkJobIsFoundAndCancelledInItsService(t *testing.T) {
	Convey("Given two services with jobs", t, func() {
		c := newFakeCluster()
		var detail jobreport.JobDetail
		var failure Failure

		Convey("a job is found in any service", func() {
			So(request(c.handler(), "GET", JobsPath+"/"+stressJob, &detail).Code, ShouldEqual, http.StatusOK)
			So(detail.Service, ShouldEqual, "stress")
			var why jobreport.Explanation
			So(request(c.handler(), "GET", JobsPath+"/"+stressJob+"/why", &why).Code, ShouldEqual, http.StatusOK)
			So(why.ID, ShouldEqual, job.ID(stressJob))
		})
		Convey("a malformed ID is rejected, and an unknown one is not found", func() {
			So(request(c.handler(), "GET", JobsPath+"/abc", nil).Code, ShouldEqual, http.StatusBadRequest)
			So(request(c.handler(), "GET", JobsPath+"/ffffffffffffffff", nil).Code, ShouldEqual, http.StatusNotFound)
		})
		Convey("a job that may be known to a leader that does not reply is not reported as unknown", func() {
			c.fail = failCallsTo("10.0.0.2:7660", errNotLeader)
			So(request(c.handler(), "GET", JobsPath+"/"+stressJob, nil).Code, ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("a request for an ID that two services know must name a service", func() {
			So(request(c.handler(), "DELETE", JobsPath+"/"+sharedJob, &failure).Code, ShouldEqual, http.StatusConflict)
			So(failure.Error, ShouldContainSubstring, "?service=")
			So(c.cancels, ShouldBeEmpty)
			So(request(c.handler(), "DELETE", JobsPath+"/"+sharedJob+"?service=pricing", nil).Code, ShouldEqual, http.StatusOK)
			So(c.cancels, ShouldHaveLength, 1)
			So(c.cancels[0].Group, ShouldEqual, "jobs/pricing")
		})
		Convey("a job is cancelled in its service", func() {
			var cancelled CancelledJob
			So(request(c.handler(), "DELETE", JobsPath+"/"+pricingJob, &cancelled).Code, ShouldEqual, http.StatusOK)
			So(cancelled, ShouldResemble, CancelledJob{ID: pricingJob, Service: "pricing"})
			So(c.cancels, ShouldHaveLength, 1)
		})
		Convey("a repeated cancellation is confirmed again", func() {
			c.jobState = job.Cancelled
			So(request(c.handler(), "DELETE", JobsPath+"/"+pricingJob, nil).Code, ShouldEqual, http.StatusOK)
		})
		Convey("a job that completes while its cancellation is in flight is not reported as cancelled", func() {
			c.cancelReply = &jobapi.CancelReply{Known: true, State: job.Completed}
			So(request(c.handler(), "DELETE", JobsPath+"/"+pricingJob, &failure).Code, ShouldEqual, http.StatusConflict)
			So(failure.Error, ShouldContainSubstring, "it is completed")
		})
		Convey("a completion that is not durable yet does not reject a cancellation", func() {
			c.jobState = job.Completed
			So(request(c.handler(), "DELETE", JobsPath+"/"+pricingJob, nil).Code, ShouldEqual, http.StatusOK)
			So(c.cancels, ShouldHaveLength, 1)
		})
		Convey("a job that is forgotten before its cancellation arrives is not reported as cancelled", func() {
			c.cancelReply = &jobapi.CancelReply{}
			So(request(c.handler(), "DELETE", JobsPath+"/"+pricingJob, nil).Code, ShouldEqual, http.StatusNotFound)
		})
	})
}

func TestRequestsAreForwardedToCurrentLeader(t *testing.T) {
	virtualtime.Test(t, checkRequestsAreForwardedToCurrentLeader)
}

func checkRequestsAreForwardedToCurrentLeader(t *testing.T) {
	Convey("Given a service whose leader changes", t, func() {
		c := newFakeCluster()

		Convey("a request that the old leader rejects is sent to the new one", func() {
			c.fail = func(address, _ string) error {
				if address != "10.0.0.2:7660" {
					return nil
				}
				go c.setLeader("jobs/stress", "10.0.0.3:7660")
				return errNotLeader
			}
			So(request(c.handler(), "GET", JobsPath+"/"+stressJob+"?service=stress", nil).Code, ShouldEqual, http.StatusOK)
			So(c.calls[len(c.calls)-1], ShouldEqual, "10.0.0.3:7660"+jobreport.JobCall.Path())
		})
		Convey("a request during a change of the leader is sent as soon as the new leader is known", func() {
			delete(c.leaders, "jobs/stress")
			begin := time.Now()
			time.AfterFunc(leaderPollInterval/4, func() { c.setLeader("jobs/stress", "10.0.0.3:7660") })
			So(request(c.handler(), "GET", WorkersPath+"?service=stress", nil).Code, ShouldEqual, http.StatusOK)
			So(time.Since(begin), ShouldEqual, leaderPollInterval/4)
		})
		Convey("a request that may have been executed is retried, as it is idempotent", func() {
			failuresLeft := 1
			c.fail = func(string, string) error {
				if failuresLeft--; failuresLeft >= 0 {
					return errConnectionReset
				}
				return nil
			}
			So(request(c.handler(), "POST", WorkersPath+"/i-stress/drain?service=stress", nil).Code, ShouldEqual, http.StatusOK)
			So(c.drains, ShouldHaveLength, 1)
		})
		Convey("a request whose attempts all may have been executed is reported as possibly executed", func() {
			c.fail = func(string, string) error { return errConnectionReset }
			var failure Failure
			response := request(c.handler(), "POST", WorkersPath+"/i-stress/drain?service=stress", &failure)
			So(response.Code, ShouldEqual, http.StatusGatewayTimeout)
			So(failure.Error, ShouldContainSubstring, "it may have been done")
		})
	})
}
