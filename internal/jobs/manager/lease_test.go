package manager

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	knownJob   = job.ID("00000000000000aa")
	unknownJob = job.ID("00000000000000bb")
)

func submission(id job.ID) jobapi.SubmitRequest {
	specification := job.Specification{Text: "x", Stages: []job.Stage{{Count: 1, Resources: job.Resources{Processors: 500}}}}
	return jobapi.SubmitRequest{Group: testGroup, ID: id, Queue: jobapi.Queue{Route: "r", Service: "x", MaxAttempts: 1}, Specification: specification}
}

// namedCall is a call that a leader answers, with its name.
type namedCall struct {
	name string
	call func(m *Manager) error
}

// leaderCalls returns all calls that a leader answers.
func leaderCalls() []namedCall {
	ctx := context.Background()
	return []namedCall{
		{"submit", func(m *Manager) error { _, err := m.submit(ctx, submission(unknownJob)); return err }},
		{"submit again", func(m *Manager) error { _, err := m.submit(ctx, submission(knownJob)); return err }},
		{"cancel", func(m *Manager) error {
			_, err := m.cancel(ctx, jobapi.CancelRequest{Group: testGroup, ID: unknownJob})
			return err
		}},
		{"status", func(m *Manager) error {
			_, err := m.status(ctx, jobapi.StatusRequest{Group: testGroup, ID: unknownJob})
			return err
		}},
		{"pending", func(m *Manager) error {
			_, err := m.pending(ctx, jobapi.PendingRequest{Group: testGroup, Route: "r"})
			return err
		}},
		{"summary", func(m *Manager) error {
			_, err := m.summary(ctx, jobreport.SummaryRequest{Group: testGroup})
			return err
		}},
		{"workers", func(m *Manager) error {
			_, err := m.workers(ctx, jobreport.WorkersRequest{Group: testGroup})
			return err
		}},
		{"jobs", func(m *Manager) error { _, err := m.jobs(ctx, jobreport.JobsRequest{Group: testGroup}); return err }},
		{"job", func(m *Manager) error {
			_, err := m.job(ctx, jobreport.JobRequest{Group: testGroup, ID: unknownJob})
			return err
		}},
		{"explain", func(m *Manager) error {
			_, err := m.explain(ctx, jobreport.ExplainRequest{Group: testGroup, ID: unknownJob})
			return err
		}},
		{"drain", func(m *Manager) error {
			_, err := m.drain(ctx, jobreport.DrainRequest{Group: testGroup, Worker: "i-1"})
			return err
		}},
	}
}

func TestLeaderWithoutLeaseRejectsAllCalls(t *testing.T) {
	for _, leaderCall := range leaderCalls() {
		withCluster(t, func(t *testing.T, _ *testCluster, leader *testNode) {
			Convey("A leader with a valid lease replies: "+leaderCall.name, t, func() {
				_, err := leader.manager.submit(context.Background(), submission(knownJob))
				So(err, ShouldBeNil)
				So(leaderCall.call(leader.manager), ShouldBeNil)
			})
			Convey("After a pause longer than its lease, it executes nothing, and the error says so: "+leaderCall.name, t, func() {
				leader.clock.pause()
				err := leaderCall.call(leader.manager)
				So(err, ShouldNotBeNil)
				So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			})
		})
	}
}

func TestReadFailsIfLeaseExpiresDuringIt(t *testing.T) {
	reads := map[string]func(*Manager, schedulerReadFunc) error{
		"a report": func(m *Manager, inspect schedulerReadFunc) error {
			return m.readCommitted(context.Background(), testGroup, inspect)
		},
		"a count": func(m *Manager, inspect schedulerReadFunc) error { return m.readUncommitted(testGroup, inspect) },
	}
	for name, read := range reads {
		withCluster(t, func(t *testing.T, _ *testCluster, leader *testNode) {
			Convey("A read during which the process was paused fails: "+name, t, func() {
				So(read(leader.manager, func(scheduler.Now, *scheduler.Scheduler) {}), ShouldBeNil)
				err := read(leader.manager, func(scheduler.Now, *scheduler.Scheduler) { leader.clock.pause() })
				So(err, ShouldNotBeNil)
			})
		})
	}
}

func TestRepliesAreSentOnlyOnceDurable(t *testing.T) {
	withCluster(t, func(t *testing.T, nodes *testCluster, leader *testNode) {
		Convey("A partitioned leader does not reply about a job that no other replica knows", t, func() {
			nodes.network.Partition(leader.address, true)
			errs := make(chan error, 2)
			go func() {
				_, err := leader.manager.submit(context.Background(), submission(knownJob))
				errs <- err
			}()
			synctest.Wait()
			go func() {
				_, err := leader.manager.job(context.Background(), jobreport.JobRequest{Group: testGroup, ID: knownJob})
				errs <- err
			}()
			for range cap(errs) {
				err := <-errs
				So(err, ShouldNotBeNil)
				So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
			}
		})
		Convey("The next leader does not know the job", t, func() {
			next := nodes.awaitLeader()
			So(next == leader, ShouldBeFalse)
			reply, err := next.manager.job(context.Background(), jobreport.JobRequest{Group: testGroup, ID: knownJob})
			So(err, ShouldBeNil)
			So(reply.Known, ShouldBeFalse)
		})
	})
}

func TestRejectedFencingTokenEndsTerm(t *testing.T) {
	withCluster(t, func(t *testing.T, _ *testCluster, leader *testNode) {
		workers := cluster.New(cluster.RealClock{}, cluster.Settings{InMemory: true, MaxLease: 6 * time.Second})
		defer workers.Close()
		worker := workers.AddWorker(cluster.WorkerConfig{ID: "i-1"})
		instance := workerclient.Instance{ID: "i-1", Address: worker.Address(), Service: "x"}
		client := workers.MemoryClient(time.Millisecond)
		setHigherFencingToken(t, client, instance)
		leadership, err := leader.manager.leadershipOf(testGroup)
		if err != nil {
			t.Fatal(err)
		}
		leader.manager.config.HTTP, leadership.config.HTTP = client, client
		leader.manager.SetInventory([]workerclient.Instance{instance})
		ended := false
		select {
		case <-leadership.term.Ended():
			ended = true
		case <-time.After(100 * time.Millisecond):
		}
		Convey("A leader whose call is rejected because of a higher fencing token loses its term at once", t, func() {
			So(ended, ShouldBeTrue)
			So(leadership.term.Valid(), ShouldBeFalse)
		})
		leader.manager.SetInventory(nil)
	})
}

// setHigherFencingToken sends a worker a fencing token that is higher than any term in these tests.
func setHigherFencingToken(t *testing.T, client *http.Client, instance workerclient.Instance) {
	t.Helper()
	body := strings.NewReader(`{"fencingToken":1000000}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+instance.Address+string(cluster.LeaseCall), body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Expect-Instance", string(instance.ID))
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("the worker responded with status %d", response.StatusCode)
	}
}
