package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

func notExecutedError(text string, delay time.Duration) error {
	return rpcerror.WrapNotExecuted(errors.New(text), delay)
}

func jobState(text string) job.State { return job.State(text) }

func TestSubmissionStatusFollowsLeaderOutcome(t *testing.T) {
	Convey("A job that the leader took is accepted, as the client wrote it", t, func() {
		leader := newFakeLeader(t)
		got := make(chan jobapi.SubmitRequest, 1)
		leader.submit = func(_ context.Context, s jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			got <- s
			return jobapi.SubmitReply{}, nil
		}
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusOK)
		submit := <-got
		So(submit.ID, ShouldEqual, job.ID(testID))
		So(submit.Group, ShouldEqual, testGroup)
		So(submit.Queue.Service, ShouldEqual, testService)
		So(submit.Specification.Stages[0].Processors, ShouldEqual, 500)
	})
	Convey("An overload is passed on as 429, in whole seconds", t, func() {
		leader := newFakeLeader(t)
		leader.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			return jobapi.SubmitReply{}, notExecutedError("full", 1200*time.Millisecond)
		}
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusTooManyRequests)
		So(reply.retryAfter, ShouldEqual, "2")
		So(leader.callCount(), ShouldEqual, 1)
	})
	Convey("A refusal by one that does not lead waits for the newer leader", t, func() {
		old, next := newFakeLeader(t), newFakeLeader(t).acceptSubmissions()
		f := newFixture(t, snapshotOf(configurationOf(60_000), old.address(), 1))
		asked := make(chan struct{}, 100)
		old.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			asked <- struct{}{}
			return jobapi.SubmitReply{}, notExecutedError("not the leader", 0)
		}
		replies := f.sendAsync(http.MethodPost, testPrefix+testID, testJob)
		<-asked
		f.publishLeader(next.address(), 2)
		So((<-replies).status, ShouldEqual, http.StatusOK)
		So(next.callCount(), ShouldEqual, 1)
	})
	Convey("Without a newer leader it is refused early", t, func() {
		leader := newFakeLeader(t)
		f := newFixture(t, snapshotOf(configurationOf(1000), leader.address(), 1))
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusServiceUnavailable)
		So(reply.retryAfter, ShouldEqual, "1")
		So(leader.callCount(), ShouldBeGreaterThanOrEqualTo, 1)
	})
	Convey("Without any leader it is refused as well", t, func() {
		snapshot := snapshotOf(configurationOf(1000), "", 1)
		snapshot.Leaders = nil
		So(newFixture(t, snapshot).post().status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A leader at a dead port did not run it", t, func() {
		listener := listenLoopback(t)
		listener.Close()
		f := newFixture(t, snapshotOf(configurationOf(1000), listener.Addr().String(), 1))
		So(f.post().status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A call that is broken off is repeated", t, func() {
		leader := newFakeLeader(t).acceptSubmissions()
		leader.abortsLeft = 2
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusOK)
		So(leader.callCount(), ShouldEqual, 3)
	})
	Convey("Calls that are always broken off end with 504", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1000
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A refusal after a call that was broken off ends with 504", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusGatewayTimeout)
		So(reply.retryAfter, ShouldBeEmpty)
	})
	Convey("A leader that stays silent ends with 504", t, func() {
		leader := newFakeLeader(t)
		leader.submit = func(ctx context.Context, _ jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			return jobapi.SubmitReply{}, leader.waitForCancel(ctx)
		}
		f := newFixture(t, snapshotOf(configurationOf(500), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A try at a silent leader is given up for a newer one, and counts as unclear", t, func() {
		old, next := newFakeLeader(t), newFakeLeader(t)
		asked, closed := make(chan struct{}), make(chan struct{})
		old.submit = func(ctx context.Context, _ jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			close(asked)
			defer close(closed)
			return jobapi.SubmitReply{}, old.waitForCancel(ctx)
		}
		next.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			return jobapi.SubmitReply{}, notExecutedError("full", time.Hour)
		}
		f := newFixture(t, snapshotOf(configurationOf(60_000), old.address(), 1))
		replies := f.sendAsync(http.MethodPost, testPrefix+testID, testJob)
		<-asked
		f.publishLeader(next.address(), 2)
		So((<-replies).status, ShouldEqual, http.StatusGatewayTimeout)
		<-closed
		So(next.callCount(), ShouldEqual, 1)
	})
	Convey("The client's time limits the tries", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1000
		f := newFixture(t, snapshotOf(configurationOf(3_600_000), leader.address(), 1))
		request, _ := http.NewRequest(http.MethodPost, f.url+testPrefix+testID, strings.NewReader(testJob))
		request.Header.Set(deadlineHeader, "500")
		So(f.do(request).status, ShouldEqual, http.StatusGatewayTimeout)
		request, _ = http.NewRequest(http.MethodPost, f.url+testPrefix+testID, strings.NewReader(testJob))
		request.Header.Set(deadlineHeader, "0")
		So(f.do(request).status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A request goes on when its client has gone", t, func() {
		leader := newFakeLeader(t)
		asked, goOn, finished := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		leader.submit = func(ctx context.Context, _ jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			close(asked)
			<-goOn
			finished <- ctx.Err()
			return jobapi.SubmitReply{}, nil
		}
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		ctx, leave := context.WithCancel(context.Background())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+testPrefix+testID, strings.NewReader(testJob))
		remaining := make(chan error, 1)
		go func() {
			answer, err := f.client.Do(request)
			if err == nil {
				answer.Body.Close()
			}
			remaining <- err
		}()
		<-asked
		leave()
		So(<-remaining, ShouldNotBeNil)
		close(goOn)
		So(<-finished, ShouldBeNil)
	})
}

func TestReadsAndCancellationsSearchAllGroups(t *testing.T) {
	other := feed.GroupOf("risk")
	Convey("A state is read from the leader; a final one is remembered", t, func() {
		leader := newFakeLeader(t).answerJobQueries(true, "running")
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		for range 2 {
			So(f.send(http.MethodGet, testPrefix+testID, "").text, ShouldEqual, `{"state":"running"}`)
		}
		So(leader.callCount(), ShouldEqual, 2)
		leader.mutex.Lock()
		leader.answerJobQueries(true, "completed")
		leader.mutex.Unlock()
		for range 3 {
			So(f.send(http.MethodGet, testPrefix+testID, "").text, ShouldEqual, `{"state":"completed"}`)
		}
		So(leader.callCount(), ShouldEqual, 3)
	})
	Convey("A job may belong to another group", t, func() {
		own, second := newFakeLeader(t).answerJobQueries(false, ""), newFakeLeader(t).answerJobQueries(true, "queued")
		snapshot := snapshotOf(configurationOf(3000), own.address(), 1)
		snapshot.Leaders[other] = feed.Leader{Address: second.address(), Term: 4}
		f := newFixture(t, snapshot)
		So(f.send(http.MethodGet, testPrefix+testID, "").text, ShouldEqual, `{"state":"queued"}`)
		So(f.send(http.MethodDelete, testPrefix+testID, "").status, ShouldEqual, http.StatusOK)
	})
	Convey("A job is gone only if all groups say so", t, func() {
		own, second := newFakeLeader(t).answerJobQueries(false, ""), newFakeLeader(t)
		snapshot := snapshotOf(configurationOf(600), own.address(), 1)
		snapshot.Leaders[other] = feed.Leader{Address: second.address(), Term: 4}
		f := newFixture(t, snapshot)
		So(f.send(http.MethodGet, testPrefix+testID, "").status, ShouldEqual, http.StatusServiceUnavailable)
		second.mutex.Lock()
		second.abortsLeft = 1000
		second.mutex.Unlock()
		So(f.send(http.MethodGet, testPrefix+testID, "").status, ShouldEqual, http.StatusGatewayTimeout)
		second.mutex.Lock()
		second.abortsLeft = 0
		second.answerJobQueries(false, "")
		second.mutex.Unlock()
		So(f.send(http.MethodGet, testPrefix+testID, "").status, ShouldEqual, http.StatusGone)
		So(f.send(http.MethodDelete, testPrefix+testID, "").status, ShouldEqual, http.StatusGone)
	})
	Convey("A job is not gone while another service's leader is not known", t, func() {
		configuration := configurationOf(400)
		configuration.Others = []string{"without-leader"}
		f := newFixture(t, snapshotOf(configuration, newFakeLeader(t).answerJobQueries(false, "").address(), 1))
		So(f.send(http.MethodGet, testPrefix+testID, "").status, ShouldEqual, http.StatusServiceUnavailable)
		So(f.send(http.MethodDelete, testPrefix+testID, "").status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A reading and a cancellation that are broken off are repeated", t, func() {
		leader := newFakeLeader(t).answerJobQueries(true, "running")
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			leader.mutex.Lock()
			leader.abortsLeft = 1
			leader.mutex.Unlock()
			So(f.send(method, testPrefix+testID, "").status, ShouldEqual, http.StatusOK)
		}
		So(leader.callCount(), ShouldEqual, 4)
	})
	Convey("A cancellation that may have run is not refused", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		So(f.send(http.MethodDelete, testPrefix+testID, "").status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("The number of pending jobs comes from the leader, or is the one known a short time ago", t, func() {
		leader := newFakeLeader(t)
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		So(f.send(http.MethodGet, testPrefix, "").status, ShouldEqual, http.StatusServiceUnavailable) // 0 would be made up
		leader.mutex.Lock()
		leader.count = func(_ context.Context, p jobapi.PendingRequest) (jobapi.PendingReply, error) {
			if p.Route != "r-1" || p.Group != testGroup {
				return jobapi.PendingReply{}, errors.New("another route")
			}
			return jobapi.PendingReply{Count: 12}, nil
		}
		leader.mutex.Unlock()
		So(f.send(http.MethodGet, testPrefix, "").text, ShouldEqual, `{"pending":12}`)
		leader.mutex.Lock()
		leader.count = func(ctx context.Context, _ jobapi.PendingRequest) (jobapi.PendingReply, error) {
			return jobapi.PendingReply{}, leader.waitForCancel(ctx)
		}
		leader.mutex.Unlock()
		So(f.send(http.MethodGet, testPrefix, "").text, ShouldEqual, `{"pending":12}`)
	})
}

func TestInvalidRequestsNeverReachTheLeader(t *testing.T) {
	leader := newFakeLeader(t).acceptSubmissions()
	configuration := configurationOf(3000)
	configuration.Bounds.BodyBytes = 500
	f := newFixture(t, snapshotOf(configuration, leader.address(), 1))
	Convey("What cannot be taken is answered by itself", t, func() {
		So(f.send(http.MethodPost, testPrefix+"short", testJob).status, ShouldEqual, http.StatusBadRequest)
		So(f.send(http.MethodPost, testPrefix+testID, "{").status, ShouldEqual, http.StatusBadRequest)
		So(f.send(http.MethodPost, testPrefix+testID, `{"stages":[]}`).status, ShouldEqual, http.StatusBadRequest)
		So(f.send(http.MethodPost, testPrefix+testID, strings.Repeat(" ", 501)+testJob).status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(f.send(http.MethodPost, "/elsewhere/"+testID, testJob).status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodGet, "/elsewhere/", "").status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodGet, testPrefix+"short", "").status, ShouldEqual, http.StatusGone)
		So(f.send(http.MethodDelete, testPrefix+"short", "").status, ShouldEqual, http.StatusGone)
		So(f.send(http.MethodPut, testPrefix+testID, testJob).status, ShouldEqual, http.StatusMethodNotAllowed)
		So(f.send(http.MethodDelete, testPrefix, "").status, ShouldEqual, http.StatusMethodNotAllowed)
		So(leader.callCount(), ShouldEqual, 0)
	})
	Convey("Without memory for its body a request is refused before it is read", t, func() {
		release, ok := f.proxy.handler.bodies.reserve(1<<20, 1<<20)
		So(ok, ShouldBeTrue)
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusServiceUnavailable)
		So(reply.retryAfter, ShouldEqual, "1")
		release()
		So(f.post().status, ShouldEqual, http.StatusOK)
	})
}
