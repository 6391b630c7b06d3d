package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

const testMaxLease = 6 * time.Second

// client calls workers over HTTP.
type client struct {
	t    testing.TB
	http *http.Client
}

func newClient(t testing.TB) client {
	c := client{t, &http.Client{Transport: &http.Transport{}}}
	convey.Reset(c.http.CloseIdleConnections)
	return c
}

// call calls a worker's current incarnation. It returns the status and the decoded body. Only answers
// with status 200 and 409 have one.
func (c client) call(worker *Worker, kind CallKind, body string) (int, response) {
	c.t.Helper()
	request, _ := http.NewRequest(http.MethodPost, "http://"+worker.Address()+string(kind), bytes.NewReader([]byte(body)))
	request.Header.Set("Expect-Instance", worker.ID())
	answer, err := c.http.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	var read response
	if len(text) > 0 {
		if err := json.Unmarshal(text, &read); err != nil {
			c.t.Fatal(err)
		}
	}
	return answer.StatusCode, read
}

func startBody(task, rest string) string {
	return `{"task":"00000000000000aa.0.0.` + task + `","specification":"x","validUntilMs":5000` + rest + `}`
}

func task(index int) job.TaskID { return job.TaskID{Job: "00000000000000aa", Index: index} }

func newVirtualCluster(settings Settings) (*VirtualClock, *Cluster) {
	clock := NewVirtualClock(time.Unix(1000, 0))
	settings.MaxLease = testMaxLease
	c := New(clock, settings)
	convey.Reset(c.Close)
	return clock, c
}

func TestWorkerHandlesCallsAndEndsAttempts(t *testing.T) {
	convey.Convey("Given a worker whose tasks work for two seconds", t, func() {
		clock, c := newVirtualCluster(Settings{
			CheckpointInterval: 500 * time.Millisecond, RestoreDuration: 100 * time.Millisecond, StopDuration: 400 * time.Millisecond,
			TaskProfile: func(job.TaskID, string) Profile {
				return Profile{Duration: 2 * time.Second, WritesCheckpoints: true, Resources: job.Resources{Processors: 1000}}
			},
		})
		worker := c.AddWorker(WorkerConfig{ID: "i-1", EnforcesCapacity: true, Capacity: job.Resources{Processors: 2000}})
		calls := newClient(t)
		status, _ := calls.call(worker, StartCall, startBody("0", `,"execution":1,"fencingToken":7`))
		convey.So(status, convey.ShouldEqual, http.StatusOK)

		convey.Convey("they end by themselves, and each completion is listed until it is acknowledged", func() {
			clock.Advance(2 * time.Second)
			_, answer := calls.call(worker, LeaseCall, `{"fencingToken":7}`)
			convey.So(answer.Finished, convey.ShouldResemble, [][]any{
				{1.0, task(0).String(), 1.0, "done", checkpointText(task(0), 2*time.Second)}})
			_, answer = calls.call(worker, LeaseCall, `{"fencingToken":7,"lastSeen":1}`)
			convey.So(answer.Finished, convey.ShouldBeEmpty)
			convey.So(c.Attempts()[0].Acknowledged, convey.ShouldBeTrue)
		})
		convey.Convey("they write checkpoints, and a start with a checkpoint continues from its progress", func() {
			clock.Advance(1200 * time.Millisecond)
			_, answer := calls.call(worker, LeaseCall, `{"fencingToken":7}`)
			saved := checkpointText(task(0), time.Second)
			convey.So(answer.Running, convey.ShouldResemble, [][]any{{task(0).String(), 1.0, saved, 60.0}})
			calls.call(worker, StartCall, startBody("1", `,"execution":1,"fencingToken":7,"checkpointed":"`+saved+`"`))
			clock.Advance(1090 * time.Millisecond)
			convey.So(c.Attempts()[1].Outcome, convey.ShouldBeEmpty)
			clock.Advance(10 * time.Millisecond)
			convey.So(c.Attempts()[1].Outcome, convey.ShouldEqual, job.OutcomeDone)
		})
		convey.Convey("a stop takes StopDuration, writes a checkpoint and prevents another start with that attempt number", func() {
			clock.Advance(700 * time.Millisecond)
			calls.call(worker, StopCall, `{"task":"00000000000000aa.0.0.0","execution":1,"fencingToken":7}`)
			clock.Advance(300 * time.Millisecond)
			convey.So(c.Attempts()[0].Outcome, convey.ShouldBeEmpty)
			clock.Advance(100 * time.Millisecond)
			convey.So(c.Attempts()[0].Outcome, convey.ShouldEqual, job.OutcomeStopped)
			status, answer := calls.call(worker, StartCall, startBody("0", `,"execution":1,"fencingToken":7`))
			convey.So(status, convey.ShouldEqual, http.StatusConflict)
			convey.So(answer.Reason, convey.ShouldEqual, "old")
		})
		convey.Convey("a lease is limited to the maximum, and a shorter one does not shorten it", func() {
			calls.call(worker, LeaseCall, `{"fencingToken":7,"validUntilMs":9000}`)
			convey.So(worker.LeaseExpiry(), convey.ShouldEqual, clock.Now().Add(testMaxLease))
			calls.call(worker, LeaseCall, `{"fencingToken":7,"validUntilMs":100}`)
			convey.So(worker.LeaseExpiry(), convey.ShouldEqual, clock.Now().Add(testMaxLease))
		})
		convey.Convey("it rejects starts beyond its capacity, with an old fencing token or with an expired lease, and invalid ones", func() {
			calls.call(worker, StartCall, startBody("1", `,"execution":1,"fencingToken":7`))
			for rest, reason := range map[string]string{`,"execution":1,"fencingToken":8`: "room", `,"execution":1`: "fence"} {
				status, answer := calls.call(worker, StartCall, startBody("2", rest))
				convey.So(status, convey.ShouldEqual, http.StatusConflict)
				convey.So(answer.Reason, convey.ShouldEqual, reason)
			}
			clock.Advance(5 * time.Second)
			_, answer := calls.call(worker, StartCall, startBody("3", `,"execution":1,"fencingToken":9`))
			convey.So(answer.Reason, convey.ShouldEqual, "late")
			status, _ := calls.call(worker, StartCall, `{"task":"nothing"}`)
			convey.So(status, convey.ShouldEqual, http.StatusBadRequest)
		})
		convey.Convey("a crash ends them and starts a new incarnation", func() {
			worker.Crash("i-2")
			convey.So(c.Attempts()[0].EndedAt.IsZero(), convey.ShouldBeFalse)
			convey.So(worker.ID(), convey.ShouldEqual, "i-2")
			calls.http.CloseIdleConnections() // the client may not have noticed yet that they are closed
			_, answer := calls.call(worker, LeaseCall, `{}`)
			convey.So(answer.Finished, convey.ShouldBeEmpty)
			request, _ := http.NewRequest(http.MethodPost, "http://"+worker.Address()+string(LeaseCall), bytes.NewReader([]byte(`{}`)))
			request.Header.Set("Expect-Instance", "i-1")
			other, err := calls.http.Do(request)
			convey.So(err, convey.ShouldBeNil)
			other.Body.Close()
			convey.So(other.StatusCode, convey.ShouldEqual, http.StatusMisdirectedRequest)
		})
	})
}

func TestLeaseExpiresOnWorkerClock(t *testing.T) {
	convey.Convey("A worker with a slow clock keeps its lease longer", t, func() {
		clock, c := newVirtualCluster(Settings{})
		worker := c.AddWorker(WorkerConfig{ID: "i-1", ClockRate: 0.98})
		newClient(t).call(worker, StartCall, startBody("0", `,"execution":1`))
		clock.Advance(5050 * time.Millisecond)
		convey.So(c.Attempts()[0].Outcome, convey.ShouldBeEmpty)
		clock.Advance(100 * time.Millisecond)
		convey.So(c.Attempts()[0].Outcome, convey.ShouldEqual, job.OutcomeLeaseExpired)
	})
}

func TestGangMembersStartAndEndTogether(t *testing.T) {
	convey.Convey("Given two workers and tasks of gangs of two", t, func() {
		clock, c := newVirtualCluster(Settings{
			GangTimeout: 3 * time.Second,
			TaskProfile: func(job.TaskID, string) Profile { return Profile{GangSize: 2, Duration: time.Second} },
		})
		one, two := c.AddWorker(WorkerConfig{ID: "i-1"}), c.AddWorker(WorkerConfig{ID: "i-2"})
		calls := newClient(t)
		calls.call(one, StartCall, startBody("0", `,"execution":3`))
		convey.Convey("a member ends after GangTimeout if the other starts with another attempt number", func() {
			calls.call(two, StartCall, startBody("1", `,"execution":2`))
			clock.Advance(3 * time.Second)
			convey.So(c.Attempts()[0].Outcome, convey.ShouldEqual, job.OutcomeGangIncomplete)
		})
		convey.Convey("both members end together", func() {
			clock.Advance(time.Second)
			calls.call(two, StartCall, startBody("1", `,"execution":3`))
			clock.Advance(999 * time.Millisecond)
			convey.So(c.Attempts()[0].Outcome, convey.ShouldBeEmpty)
			clock.Advance(time.Millisecond)
			convey.So(c.Attempts()[0].Outcome, convey.ShouldEqual, job.OutcomeDone)
			convey.So(c.Attempts()[1].Outcome, convey.ShouldEqual, job.OutcomeDone)
		})
		convey.Convey("a member ends as broken when the other's worker crashes", func() {
			calls.call(two, StartCall, startBody("1", `,"execution":3`))
			two.Crash("i-3")
			convey.So(c.Attempts()[0].Outcome, convey.ShouldEqual, job.OutcomeGangBroken)
		})
	})
}

func TestDelayedCallIsExecutedAfterCallerCancels(t *testing.T) {
	convey.Convey("A call may be executed long after its caller has canceled it", t, func() {
		clock, c := newVirtualCluster(Settings{})
		worker := c.AddWorker(WorkerConfig{ID: "i-1"})
		worker.SetFaults(OnCallsOfKind(StartCall, Fault{Kind: DelayExecution, Delay: 7 * time.Second, LeaseFromExecution: true}))
		ctx, cancel := context.WithCancel(t.Context())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+worker.Address()+string(StartCall),
			bytes.NewReader([]byte(startBody("0", `,"execution":1`))))
		request.Header.Set("Expect-Instance", "i-1")
		calls := newClient(t)
		callErrors, callArrived := make(chan error), clock.TimerAdded()
		go func() {
			answer, err := calls.http.Do(request)
			if err == nil {
				answer.Body.Close()
			}
			callErrors <- err
		}()
		<-callArrived
		cancel()
		convey.So(<-callErrors, convey.ShouldNotBeNil)
		convey.So(c.Attempts(), convey.ShouldBeEmpty)
		clock.Advance(7 * time.Second)
		convey.So(c.Attempts(), convey.ShouldHaveLength, 1)
		convey.So(c.Attempts()[0].Late, convey.ShouldBeTrue)
		convey.So(worker.LeaseExpiry(), convey.ShouldEqual, clock.Now().Add(5*time.Second))
	})
}

func TestOverlapFindsConcurrentAttemptsOfOneTask(t *testing.T) {
	convey.Convey("Two attempts of one task that run at the same time are found", t, func() {
		at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
		runs := []AttemptRecord{
			{Task: task(0), Number: 1, StartedAt: at(1), EndedAt: at(3)},
			{Task: task(1), Number: 1, StartedAt: at(2)},
			{Task: task(0), Number: 2, StartedAt: at(3), EndedAt: at(5)},
		}
		_, _, found := Overlap(runs)
		convey.So(found, convey.ShouldBeFalse)
		earlier, later, found := Overlap(append(runs, AttemptRecord{Task: task(0), Number: 3, StartedAt: at(4)}))
		convey.So(found, convey.ShouldBeTrue)
		convey.So(earlier.Number, convey.ShouldEqual, 2)
		convey.So(later.Number, convey.ShouldEqual, 3)
	})
}

func TestPlatformListsWorkersWithLagAndRateLimit(t *testing.T) {
	convey.Convey("Given a platform with a lag and a low rate limit", t, func() {
		clock, c := newVirtualCluster(Settings{})
		platform := c.AddPlatform(PlatformConfig{PageSize: 1, RatePerSecond: 2, Lag: 800 * time.Millisecond})
		c.AddWorker(WorkerConfig{ID: "i-1", Zone: "a"})
		worker := c.AddWorker(WorkerConfig{ID: "i-2", Zone: "b"})
		calls := newClient(t)
		list := func(query string) (int, listPage) {
			answer, err := calls.http.Get("http://" + platform.Address() + "/instances" + query)
			convey.So(err, convey.ShouldBeNil)
			defer answer.Body.Close()
			var page listPage
			if answer.StatusCode == http.StatusOK {
				convey.So(json.NewDecoder(answer.Body).Decode(&page), convey.ShouldBeNil)
			}
			return answer.StatusCode, page
		}
		convey.Convey("changes show after the lag, and the list is split into pages", func() {
			_, page := list("")
			convey.So(page.Instances, convey.ShouldBeEmpty)
			clock.Advance(800 * time.Millisecond)
			_, page = list("")
			convey.So(page.Instances[0].Identifier, convey.ShouldEqual, "i-1")
			_, page = list("?pageToken=" + *page.NextPageToken)
			convey.So(page.Instances[0].Identifier, convey.ShouldEqual, "i-2")
			convey.So(page.NextPageToken, convey.ShouldBeNil)
		})
		convey.Convey("a draining worker is listed with its remaining time until it leaves", func() {
			worker.Drain(3 * time.Second)
			clock.Advance(time.Second)
			_, page := list("?zone=b")
			convey.So(page.Instances[0].State, convey.ShouldEqual, "draining")
			convey.So(page.Instances[0].RemainingMS, convey.ShouldEqual, 2000)
			worker.Leave()
			clock.Advance(time.Second)
			_, page = list("?zone=b")
			convey.So(page.Instances, convey.ShouldBeEmpty)
		})
		convey.Convey("calls beyond the rate limit are rejected", func() {
			list("")
			list("")
			status, _ := list("")
			convey.So(status, convey.ShouldEqual, http.StatusTooManyRequests)
		})
	})
}

func TestOperatorFollowsRedirectsAndTriesNextNode(t *testing.T) {
	convey.Convey("Given an operator and two nodes, of which one fails and one redirects", t, func() {
		var got string
		accepting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if r.Method == http.MethodGet {
				io.WriteString(w, got)
				return
			}
			got = string(body) + r.Header.Get("If-Match")
		}))
		redirecting := httptest.NewServer(http.RedirectHandler(accepting.URL+configurationPath, http.StatusTemporaryRedirect))
		failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
		calls := newClient(t)
		convey.Reset(func() {
			calls.http.CloseIdleConnections()
			for _, server := range []*httptest.Server{accepting, redirecting, failing} {
				server.Close()
			}
		})
		address := func(server *httptest.Server) string { return server.Listener.Addr().String() }
		operator := &Operator{Addresses: []string{address(failing), address(redirecting)}, HTTP: calls.http}
		status, err := operator.Put(t.Context(), 5, []byte("{}"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		read, err := operator.Get(t.Context())
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(read), convey.ShouldEqual, "{}5")
		operator.Addresses = operator.Addresses[:1]
		_, err = operator.Put(t.Context(), 5, nil)
		convey.So(err, convey.ShouldWrap, ErrOutcomeUnknown)
	})
}
