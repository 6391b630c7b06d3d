package operations

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestStatusHasMembersLeadersAndSummaries(t *testing.T) {
	virtualtime.Test(t, checkStatusHasMembersLeadersAndSummaries)
}

func checkStatusHasMembersLeadersAndSummaries(t *testing.T) {
	Convey("Given a node", t, func() {
		c := newFakeCluster()
		var status Status

		Convey("its status contains members, leaders and summaries", func() {
			So(request(c.handler(), "GET", StatusPath, &status).Code, ShouldEqual, http.StatusOK)
			So(status.Node.Name, ShouldEqual, "core-1")
			So(status.ConfigurationVersion, ShouldEqual, 7)
			So(status.View.Members, ShouldHaveLength, 3)
			So(status.Members[0].Alive, ShouldBeTrue)
			So(status.Members[1].Contacted, ShouldBeFalse)
			So(status.Agents, ShouldResemble, []string{"10.0.1.1:7661"})
			So(status.Groups, ShouldHaveLength, 2)
			So(status.Groups[1].Service, ShouldEqual, "stress")
			So(status.Groups[1].Leader, ShouldEqual, "10.0.0.2:7660")
			So(status.Groups[1].Term, ShouldEqual, 5)
			So(status.Groups[1].Summary.Running, ShouldEqual, 2)
		})
		Convey("a service whose leader does not reply is listed with the error", func() {
			c.fail = func(address, _ string) error {
				if address == "10.0.0.1:7660" {
					return errConnectionReset
				}
				return nil
			}
			So(request(c.handler(), "GET", StatusPath, &status).Code, ShouldEqual, http.StatusOK)
			So(status.Groups[0].Summary, ShouldBeNil)
			So(status.Groups[0].Error, ShouldContainSubstring, "connection reset")
			So(status.Groups[1].Summary, ShouldNotBeNil)
		})
		Convey("a service without a leader is listed with an error", func() {
			delete(c.leaders, "jobs/pricing")
			request(c.handler(), "GET", StatusPath, &status)
			So(status.Groups[0].Leader, ShouldBeEmpty)
			So(status.Groups[0].Error, ShouldEqual, errNoLeader.Error())
		})
	})
}

func TestWorkersAreListedAndDrained(t *testing.T) {
	virtualtime.Test(t, checkWorkersAreListedAndDrained)
}

func checkWorkersAreListedAndDrained(t *testing.T) {
	Convey("Given two services", t, func() {
		c := newFakeCluster()
		var list WorkerList

		Convey("all workers are listed", func() {
			So(request(c.handler(), "GET", WorkersPath, &list).Code, ShouldEqual, http.StatusOK)
			So(list.Workers, ShouldHaveLength, 2)
			So(list.Unanswered, ShouldBeEmpty)
		})
		Convey("the workers of one service are listed", func() {
			request(c.handler(), "GET", WorkersPath+"?service=stress", &list)
			So(list.Workers, ShouldHaveLength, 1)
			So(list.Workers[0].ID, ShouldEqual, "i-stress")
		})
		Convey("an unknown service is rejected with the names of the existing ones", func() {
			var failure Failure
			So(request(c.handler(), "GET", WorkersPath+"?service=x", &failure).Code, ShouldEqual, http.StatusNotFound)
			So(failure.Error, ShouldContainSubstring, "pricing, stress")
		})
		Convey("a drain reaches the leader that knows the worker", func() {
			var worker jobreport.Worker
			So(request(c.handler(), "POST", WorkersPath+"/i-stress/drain", &worker).Code, ShouldEqual, http.StatusOK)
			So(worker.OperatorDraining, ShouldBeTrue)
			So(c.drains, ShouldHaveLength, 2)
			So(request(c.handler(), "DELETE", WorkersPath+"/i-stress/drain?service=stress", &worker).Code, ShouldEqual, http.StatusOK)
			So(worker.OperatorDraining, ShouldBeFalse)
			So(c.drains[2], ShouldResemble, jobreport.DrainRequest{Group: "jobs/stress", Worker: "i-stress"})
		})
		Convey("the response to a drain with a base version depends on the outcome at the leader", func() {
			request := func(method, version string) *httptest.ResponseRecorder {
				r := httptest.NewRequest(method, WorkersPath+"/i-stress/drain?service=stress", nil)
				r.Header.Set("If-Match", version)
				recorder := httptest.NewRecorder()
				c.handler().ServeHTTP(recorder, r)
				return recorder
			}
			c.drainVersion = 8
			applied := request("POST", `"7"`)
			So(applied.Code, ShouldEqual, http.StatusOK)
			So(applied.Header().Get("ETag"), ShouldEqual, `"8"`)
			So(*c.drains[0].BaseVersion, ShouldEqual, 7)
			c.drainOutcome = jobreport.DrainSuperseded
			superseded := request("DELETE", "7")
			So(superseded.Code, ShouldEqual, http.StatusPreconditionFailed)
			So(superseded.Body.String(), ShouldContainSubstring, "version 8 is in force")
			c.drainOutcome = jobreport.DrainIndeterminate
			So(request("POST", "9").Code, ShouldEqual, http.StatusGatewayTimeout)
			So(request("POST", "x").Code, ShouldEqual, http.StatusBadRequest)
			So(c.drains, ShouldHaveLength, 3)
		})
		Convey("an unknown worker is not found", func() {
			So(request(c.handler(), "POST", WorkersPath+"/i-none/drain", nil).Code, ShouldEqual, http.StatusNotFound)
		})
		Convey("an unknown worker is not reported as not found if a leader does not reply", func() {
			c.fail = failCallsTo("10.0.0.1:7660", errNotLeader)
			response := request(c.handler(), "POST", WorkersPath+"/i-none/drain", nil)
			So(response.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(response.Header().Get("Retry-After"), ShouldEqual, retryAfterSeconds)
		})
		Convey("a drain that one leader may have executed is not reported as not executed", func() {
			c.fail = func(address, _ string) error {
				if address == "10.0.0.1:7660" {
					return errConnectionReset
				}
				return errNotLeader
			}
			So(request(c.handler(), "POST", WorkersPath+"/i-price/drain", nil).Code, ShouldEqual, http.StatusGatewayTimeout)
		})
	})
}

func TestOtherPathsAreServedByNextHandler(t *testing.T) {
	virtualtime.Test(t, checkOtherPathsAreServedByNextHandler)
}

func checkOtherPathsAreServedByNextHandler(t *testing.T) {
	Convey("All other paths, and the configuration, are served by the next handler", t, func() {
		handler := newFakeCluster().handler()
		for _, path := range []string{control.ConfigurationPath, "/", "/-/other", "/-/searchers/i-1"} {
			So(request(handler, "GET", path, nil).Code, ShouldEqual, http.StatusTeapot)
		}
		So(request(handler, "PUT", control.ConfigurationPath, nil).Code, ShouldEqual, http.StatusTeapot)
		So(request(handler, "POST", StatusPath, nil).Code, ShouldEqual, http.StatusTeapot)
	})
}

func TestConcurrentRequestsAreLimited(t *testing.T) {
	virtualtime.Test(t, checkConcurrentRequestsAreLimited)
}

func checkConcurrentRequestsAreLimited(t *testing.T) {
	Convey("Requests beyond the limit are rejected, and later ones are served again", t, func() {
		c := newFakeCluster()
		c.unblock, c.blocked = make(chan struct{}), make(chan struct{}, 2*maxConcurrentRequests)
		handler := c.handler()
		statuses := make(chan int, maxConcurrentRequests)
		for range maxConcurrentRequests {
			go func() {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, WorkersPath+"?service=stress", nil))
				statuses <- recorder.Code
			}()
		}
		for range maxConcurrentRequests {
			<-c.blocked
		}
		response := request(handler, "GET", StatusPath, nil)
		So(response.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header().Get("Retry-After"), ShouldEqual, retryAfterSeconds)
		So(request(handler, "GET", control.ConfigurationPath, nil).Code, ShouldEqual, http.StatusTeapot)
		close(c.unblock)
		for range maxConcurrentRequests {
			So(<-statuses, ShouldEqual, http.StatusOK)
		}
		So(request(handler, "GET", StatusPath, nil).Code, ShouldEqual, http.StatusOK)
	})
}
