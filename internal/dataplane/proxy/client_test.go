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
	Convey("A job that the leader accepts is answered with 200 and forwarded unchanged", t, func() {
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
		So(submit.Queue.Key, ShouldEqual, testQueue)
		So(submit.Version, ShouldEqual, 1)
		So(submit.Specification.Stages[0].Processors, ShouldEqual, 500)
	})
	Convey("An overload is answered with 429 and Retry-After in whole seconds", t, func() {
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
	Convey("After a refusal by a node that is not the leader, the newer leader is called", t, func() {
		old, next := newFakeLeader(t), newFakeLeader(t).acceptSubmissions()
		f := newFixture(t, snapshotOf(configurationOf(60_000), old.address(), 1))
		called := make(chan struct{}, 100)
		old.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			called <- struct{}{}
			return jobapi.SubmitReply{}, notExecutedError("not the leader", 0)
		}
		replies := f.sendAsync(http.MethodPost, testPrefix+testID, testJob)
		<-called
		f.publishLeader(next.address(), 2)
		So((<-replies).status, ShouldEqual, http.StatusOK)
		So(next.callCount(), ShouldEqual, 1)
	})
	Convey("Without a newer leader the job is refused", t, func() {
		leader := newFakeLeader(t)
		f := newFixture(t, snapshotOf(configurationOf(1000), leader.address(), 1))
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusServiceUnavailable)
		So(reply.retryAfter, ShouldEqual, "1")
		So(leader.callCount(), ShouldBeGreaterThanOrEqualTo, 1)
	})
	Convey("Without any leader the job is refused", t, func() {
		snapshot := snapshotOf(configurationOf(1000), "", 1)
		snapshot.Leaders = nil
		So(newFixture(t, snapshot).post().status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A call to a closed port counts as not executed", t, func() {
		listener := listenLoopback(t)
		listener.Close()
		f := newFixture(t, snapshotOf(configurationOf(1000), listener.Addr().String(), 1))
		So(f.post().status, ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A call whose connection breaks is retried", t, func() {
		leader := newFakeLeader(t).acceptSubmissions()
		leader.abortsLeft = 2
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusOK)
		So(leader.callCount(), ShouldEqual, 3)
	})
	Convey("A request whose calls all break is answered with 504", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1000
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A refusal after a broken call is answered with 504", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusGatewayTimeout)
		So(reply.retryAfter, ShouldBeEmpty)
	})
	Convey("A request to a leader that does not answer is answered with 504", t, func() {
		leader := newFakeLeader(t)
		leader.submit = func(ctx context.Context, _ jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			return jobapi.SubmitReply{}, leader.waitForCancel(ctx)
		}
		f := newFixture(t, snapshotOf(configurationOf(500), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("An attempt at a leader that does not answer is canceled for a newer leader, and may have been executed", t, func() {
		old, next := newFakeLeader(t), newFakeLeader(t)
		called, closed := make(chan struct{}), make(chan struct{})
		old.submit = func(ctx context.Context, _ jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			close(called)
			defer close(closed)
			return jobapi.SubmitReply{}, old.waitForCancel(ctx)
		}
		next.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			return jobapi.SubmitReply{}, notExecutedError("full", time.Hour)
		}
		f := newFixture(t, snapshotOf(configurationOf(60_000), old.address(), 1))
		replies := f.sendAsync(http.MethodPost, testPrefix+testID, testJob)
		<-called
		f.publishLeader(next.address(), 2)
		So((<-replies).status, ShouldEqual, http.StatusGatewayTimeout)
		<-closed
		So(next.callCount(), ShouldEqual, 1)
	})
	Convey("The client's deadline limits the attempts", t, func() {
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
	Convey("A request continues after its client has disconnected", t, func() {
		leader := newFakeLeader(t)
		called, proceed, finished := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		leader.submit = func(ctx context.Context, _ jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			close(called)
			<-proceed
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
		<-called
		leave()
		So(<-remaining, ShouldNotBeNil)
		close(proceed)
		So(<-finished, ShouldBeNil)
	})
}

// A request whose queue goes to another service while it waits must be sent to that service's leader. Guards against requests that are
// refused, or accepted by the earlier service, because a proxy stays with the group that it chose first.
func TestRequestFollowsItsQueueToAnotherService(t *testing.T) {
	other := feed.GroupOf("risk")
	methods := map[string]string{http.MethodPost: testJob, http.MethodGet: "", http.MethodDelete: ""}
	for method, body := range methods {
		Convey("A leader that had the queue before refuses, and the leader that has it now is called: "+method, t, func() {
			earlier, present := newFakeLeader(t), newFakeLeader(t).acceptSubmissions().answerJobQueries(true, "queued")
			refused := make(chan struct{}, 100)
			refuse := func() error {
				refused <- struct{}{}
				return notExecutedError("the queue belongs to another service", 0)
			}
			earlier.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
				return jobapi.SubmitReply{}, refuse()
			}
			earlier.status = func(context.Context, jobapi.StatusRequest) (jobapi.StatusReply, error) {
				return jobapi.StatusReply{}, refuse()
			}
			earlier.cancel = func(context.Context, jobapi.CancelRequest) (jobapi.CancelReply, error) {
				return jobapi.CancelReply{}, refuse()
			}
			snapshot := snapshotOf(configurationOf(60_000), earlier.address(), 1)
			snapshot.Leaders[other] = feed.Leader{Address: present.address(), Term: 1}
			f := newFixture(t, snapshot)
			replies := f.sendAsync(method, testPrefix+testID, body)
			<-refused
			moved := configurationOf(60_000)
			moved.Service = "risk"
			f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion, s.Configuration = 2, moved.raw() })
			So((<-replies).status, ShouldEqual, http.StatusOK)
			So(present.callCount(), ShouldEqual, 1)
		})
		Convey("A queue that is removed meanwhile is answered with 404: "+method, t, func() {
			leader := newFakeLeader(t)
			f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
			replies := f.sendAsync(method, testPrefix+testID, body)
			for leader.callCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			removed := configurationOf(60_000)
			removed.Prefix = "/elsewhere/"
			f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion, s.Configuration = 2, removed.raw() })
			So((<-replies).status, ShouldEqual, http.StatusNotFound)
		})
	}
	Convey("A request that may have been executed is not answered with 404 when its queue is removed", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1000
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		replies := f.sendAsync(http.MethodPost, testPrefix+testID, testJob)
		for leader.callCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		removed := configurationOf(60_000)
		removed.Prefix = "/elsewhere/"
		f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion, s.Configuration = 2, removed.raw() })
		So((<-replies).status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A job whose ID a job of another queue has is refused with 409", t, func() {
		leader := newFakeLeader(t)
		leader.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
			return jobapi.SubmitReply{IDTaken: true}, nil
		}
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusConflict)
	})
}

func TestReadsAndCancellationsFollowLeaderReplies(t *testing.T) {
	Convey("A state is read from the leader, and a final state is cached", t, func() {
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
	Convey("A job is reported as gone only if the leader says that no group knows it", t, func() {
		leader := newFakeLeader(t).answerJobQueries(false, "")
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			So(f.send(method, testPrefix+testID, "").status, ShouldEqual, http.StatusGone)
		}
		leader.mutex.Lock() // a leader of an older build, which answers for its own group alone
		leader.status = func(context.Context, jobapi.StatusRequest) (jobapi.StatusReply, error) {
			return jobapi.StatusReply{}, nil
		}
		leader.cancel = func(context.Context, jobapi.CancelRequest) (jobapi.CancelReply, error) {
			return jobapi.CancelReply{}, nil
		}
		leader.mutex.Unlock()
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			So(f.send(method, testPrefix+testID, "").status, ShouldEqual, http.StatusServiceUnavailable)
		}
	})
	Convey("A job is not reported as gone while the leader can't tell, or does not answer", t, func() {
		leader := newFakeLeader(t)
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			So(f.send(method, testPrefix+testID, "").status, ShouldEqual, http.StatusServiceUnavailable)
		}
		leader.mutex.Lock()
		leader.abortsLeft = 1000
		leader.mutex.Unlock()
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			So(f.send(method, testPrefix+testID, "").status, ShouldEqual, http.StatusGatewayTimeout)
		}
	})
	Convey("A status request and a cancellation whose calls break are retried", t, func() {
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
	Convey("A cancellation that may have been executed is not refused", t, func() {
		leader := newFakeLeader(t)
		leader.abortsLeft = 1
		f := newFixture(t, snapshotOf(configurationOf(600), leader.address(), 1))
		So(f.send(http.MethodDelete, testPrefix+testID, "").status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("The number of pending jobs comes from the leader, or from the cache if the leader does not answer", t, func() {
		leader := newFakeLeader(t)
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		So(f.send(http.MethodGet, testPrefix, "").status, ShouldEqual, http.StatusServiceUnavailable) // the number is unknown: 0 would be wrong
		leader.mutex.Lock()
		leader.count = func(_ context.Context, p jobapi.PendingRequest) (jobapi.PendingReply, error) {
			if p.Route != "r-1" || p.Group != testGroup || p.Queue != testQueue || p.Version != 1 {
				return jobapi.PendingReply{}, errors.New("another route, or by no configuration")
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
	Convey("An invalid request is answered without a call to the leader", t, func() {
		So(f.send(http.MethodPost, testPrefix+"short", testJob).status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodPost, testPrefix+testID, "{").status, ShouldEqual, http.StatusBadRequest)
		So(f.send(http.MethodPost, testPrefix+testID, `{"stages":[]}`).status, ShouldEqual, http.StatusBadRequest)
		So(f.send(http.MethodPost, testPrefix+testID, strings.Repeat(" ", 501)+testJob).status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(f.send(http.MethodPost, "/elsewhere/"+testID, testJob).status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodGet, "/elsewhere/", "").status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodGet, testPrefix+"short", "").status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodDelete, testPrefix+"short", "").status, ShouldEqual, http.StatusNotFound)
		So(f.send(http.MethodPut, testPrefix+testID, testJob).status, ShouldEqual, http.StatusMethodNotAllowed)
		So(f.send(http.MethodDelete, testPrefix, "").status, ShouldEqual, http.StatusMethodNotAllowed)
		So(leader.callCount(), ShouldEqual, 0)
	})
	Convey("A request is refused unread if there is no memory for its body", t, func() {
		release, ok := f.proxy.handler.bodies.reserve(1<<20, 1<<20)
		So(ok, ShouldBeTrue)
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusServiceUnavailable)
		So(reply.retryAfter, ShouldEqual, "1")
		release()
		So(f.post().status, ShouldEqual, http.StatusOK)
	})
}
