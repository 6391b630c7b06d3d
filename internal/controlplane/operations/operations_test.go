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

func TestStatus(t *testing.T) { virtualtime.Test(t, checkStatus) }

func checkStatus(t *testing.T) {
	Convey("Given a node", t, func() {
		c := newFakeCore()
		var status Status

		Convey("its status has members, leaders and summaries", func() {
			So(request(c.handler(), "GET", StatusPath, &status).Code, ShouldEqual, http.StatusOK)
			So(status.Node.Name, ShouldEqual, "core-1")
			So(status.ConfigurationVersion, ShouldEqual, 7)
			So(status.View.Members, ShouldHaveLength, 3)
			So(status.Members[0].Alive, ShouldBeTrue)
			So(status.Members[1].Heard, ShouldBeFalse)
			So(status.Agents, ShouldResemble, []string{"10.0.1.1:7661"})
			So(status.Groups, ShouldHaveLength, 2)
			So(status.Groups[1].Service, ShouldEqual, "stress")
			So(status.Groups[1].Leader, ShouldEqual, "10.0.0.2:7660")
			So(status.Groups[1].Epoch, ShouldEqual, 5)
			So(status.Groups[1].Summary.Running, ShouldEqual, 2)
		})
		Convey("a service whose leader does not reply has the error", func() {
			c.fail = func(address, _ string) error {
				if address == "10.0.0.1:7660" {
					return errReset
				}
				return nil
			}
			So(request(c.handler(), "GET", StatusPath, &status).Code, ShouldEqual, http.StatusOK)
			So(status.Groups[0].Summary, ShouldBeNil)
			So(status.Groups[0].Error, ShouldContainSubstring, "connection reset")
			So(status.Groups[1].Summary, ShouldNotBeNil)
		})
		Convey("so has a service without a leader", func() {
			delete(c.leaders, "jobs/pricing")
			request(c.handler(), "GET", StatusPath, &status)
			So(status.Groups[0].Leader, ShouldBeEmpty)
			So(status.Groups[0].Error, ShouldEqual, errNoLeader.Error())
		})
	})
}

func TestWorkers(t *testing.T) { virtualtime.Test(t, checkWorkers) }

func checkWorkers(t *testing.T) {
	Convey("Given two services", t, func() {
		c := newFakeCore()
		var list Workers

		Convey("all workers are listed", func() {
			So(request(c.handler(), "GET", WorkersPath, &list).Code, ShouldEqual, http.StatusOK)
			So(list.Workers, ShouldHaveLength, 2)
			So(list.Unanswered, ShouldBeEmpty)
		})
		Convey("or those of one service", func() {
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
		Convey("the leader decides on a drain with a base version", func() {
			request := func(method, version string) *httptest.ResponseRecorder {
				r := httptest.NewRequest(method, WorkersPath+"/i-stress/drain?service=stress", nil)
				r.Header.Set("If-Match", version)
				recorder := httptest.NewRecorder()
				c.handler().ServeHTTP(recorder, r)
				return recorder
			}
			c.drainVersion = 8
			taken := request("POST", `"7"`)
			So(taken.Code, ShouldEqual, http.StatusOK)
			So(taken.Header().Get("ETag"), ShouldEqual, `"8"`)
			So(*c.drains[0].BaseVersion, ShouldEqual, 7)
			c.drainOutcome = jobreport.DrainSuperseded
			refused := request("DELETE", "7")
			So(refused.Code, ShouldEqual, http.StatusPreconditionFailed)
			So(refused.Body.String(), ShouldContainSubstring, "version 8 is in force")
			c.drainOutcome = jobreport.DrainUnclear
			So(request("POST", "9").Code, ShouldEqual, http.StatusGatewayTimeout)
			So(request("POST", "x").Code, ShouldEqual, http.StatusBadRequest)
			So(c.drains, ShouldHaveLength, 3)
		})
		Convey("an unknown worker is not found", func() {
			So(request(c.handler(), "POST", WorkersPath+"/i-none/drain", nil).Code, ShouldEqual, http.StatusNotFound)
		})
		Convey("unless a leader that may know it does not reply", func() {
			c.fail = failAt("10.0.0.1:7660", errNotLeader)
			answer := request(c.handler(), "POST", WorkersPath+"/i-none/drain", nil)
			So(answer.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(answer.Header().Get("Retry-After"), ShouldEqual, retryAfterSeconds)
		})
		Convey("a drain that one leader may have executed is not reported as not executed", func() {
			c.fail = func(address, _ string) error {
				if address == "10.0.0.1:7660" {
					return errReset
				}
				return errNotLeader
			}
			So(request(c.handler(), "POST", WorkersPath+"/i-price/drain", nil).Code, ShouldEqual, http.StatusGatewayTimeout)
		})
	})
}

func TestOtherPaths(t *testing.T) { virtualtime.Test(t, checkOtherPaths) }

func checkOtherPaths(t *testing.T) {
	Convey("All other paths, and the configuration, are served by the next handler", t, func() {
		handler := newFakeCore().handler()
		for _, path := range []string{control.ConfigurationPath, "/", "/-/other", "/-/searchers/i-1"} {
			So(request(handler, "GET", path, nil).Code, ShouldEqual, http.StatusTeapot)
		}
		So(request(handler, "PUT", control.ConfigurationPath, nil).Code, ShouldEqual, http.StatusTeapot)
		So(request(handler, "POST", StatusPath, nil).Code, ShouldEqual, http.StatusTeapot)
	})
}

func TestRequestsAreBounded(t *testing.T) { virtualtime.Test(t, checkRequestsAreBounded) }

func checkRequestsAreBounded(t *testing.T) {
	Convey("Too many concurrent requests are rejected, and later ones are served again", t, func() {
		c := newFakeCore()
		c.block, c.blocked = make(chan struct{}), make(chan struct{}, 2*maxRequests)
		handler := c.handler()
		answers := make(chan int, maxRequests)
		for range maxRequests {
			go func() {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, WorkersPath+"?service=stress", nil))
				answers <- recorder.Code
			}()
		}
		for range maxRequests {
			<-c.blocked
		}
		answer := request(handler, "GET", StatusPath, nil)
		So(answer.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(answer.Header().Get("Retry-After"), ShouldEqual, retryAfterSeconds)
		So(request(handler, "GET", control.ConfigurationPath, nil).Code, ShouldEqual, http.StatusTeapot)
		close(c.block)
		for range maxRequests {
			So(<-answers, ShouldEqual, http.StatusOK)
		}
		So(request(handler, "GET", StatusPath, nil).Code, ShouldEqual, http.StatusOK)
	})
}
