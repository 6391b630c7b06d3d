package manager

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/queueowner"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	planPrefix        = "/plan/"
	handedOver        = "/jobs/handed-over" // path of the call between groups
	endedJobRetention = time.Minute
	movedBefore       = 1 // version in which alpha has the queue
	movedSince        = 5 // version in which beta has the queue
)

var (
	planQueue = queuekey.Of("", planPrefix)
	planners  = []string{"alpha", "beta", "gamma"}
)

// fakeQueues is the QueueSource of one node. Refresh has an effect only if the node can read the newest version.
type fakeQueues struct {
	mutex   sync.Mutex
	known   *configuration.QueueDirectory
	newest  *configuration.QueueDirectory
	canRead bool
	changed chan struct{}
}

// Queues implements QueueSource.
func (f *fakeQueues) Queues() *configuration.QueueDirectory {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known
}

// Changed implements QueueSource.
func (f *fakeQueues) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// Refresh implements QueueSource.
func (f *fakeQueues) Refresh() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.canRead && f.known != f.newest {
		f.known = f.newest
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// setReadable says whether the node can read the newest configuration.
func (f *fakeQueues) setReadable(readable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.canRead = readable
}

// handoverCluster is a cluster with the groups of all planners, whose nodes get to know configurations as a test says.
type handoverCluster struct {
	*testCluster
	queues map[*testNode]*fakeQueues
}

// withHandoverCluster runs a test with a cluster whose nodes know a configuration in which alpha has the queue.
func withHandoverCluster(t *testing.T, test func(t *testing.T, c *handoverCluster)) {
	var groups []string
	for _, service := range planners {
		groups = append(groups, feed.GroupOf(service))
	}
	withGroups(t, endedJobRetention, groups, func(t *testing.T, nodes *testCluster) {
		c := &handoverCluster{testCluster: nodes, queues: map[*testNode]*fakeQueues{}}
		first := directory(movedBefore, "alpha")
		for _, n := range nodes.nodes {
			c.queues[n] = &fakeQueues{known: first, newest: first, canRead: true, changed: make(chan struct{})}
			n.manager.config.Queues, n.manager.config.Leaders = c.queues[n], n.node.Leaders
			n.manager.config.Caller = nodes.network.Caller(n.address)
			mux := transport.NewMux()
			n.node.Serve(mux)
			n.manager.Serve(mux)
			nodes.network.Serve(n.address, mux)
		}
		for _, group := range groups {
			if nodes.awaitLeaderOf(group) == nil {
				t.Fatal("no leader was elected")
			}
		}
		time.Sleep(time.Second) // all nodes know the leaders
		test(t, c)
	})
}

// directory returns a configuration in which a service has the queue, after the given ended tenures. It has all planners as services.
func directory(version uint64, service string, earlier ...configuration.Tenure) *configuration.QueueDirectory {
	state := configuration.State{Version: version}
	routes := ""
	if service != "" {
		routes = fmt.Sprintf(`{"name":"r","host":"","pathPrefix":%q,"service":%q}`, planPrefix, service)
	}
	state.Body = fmt.Appendf(nil, `{"routes":[%s],"services":[{"name":%q}]}`, routes, strings.Join(planners, `"},{"name":"`))
	if len(earlier) > 0 {
		state.Queues = []configuration.QueueHistory{{Queue: planQueue, Since: version, Earlier: earlier}}
	}
	queues, err := configuration.NewQueueDirectory(state)
	if err != nil {
		panic(err) // cannot happen: the text above is valid JSON
	}
	return queues
}

// move commits a configuration, which the given nodes know at once. The others learn it when they read.
func (c *handoverCluster) move(queues *configuration.QueueDirectory, aware ...*testNode) {
	for n, source := range c.queues {
		source.mutex.Lock()
		source.newest = queues
		canRead := source.canRead
		source.mutex.Unlock()
		for _, node := range aware {
			if node == n && canRead {
				source.Refresh()
			}
		}
	}
}

// movedToBeta is the configuration in which beta has the queue, which alpha had before.
func movedToBeta() *configuration.QueueDirectory {
	return directory(movedSince, "beta", configuration.Tenure{Service: "alpha", Until: movedSince})
}

func (c *handoverCluster) leaderOf(service string) *testNode {
	return c.awaitLeaderOf(feed.GroupOf(service))
}

func (c *handoverCluster) submit(service string, id job.ID, version uint64) (jobapi.SubmitReply, error) {
	request := submission(id)
	request.Group, request.Queue.Service, request.Queue.Key, request.Version = feed.GroupOf(service), service, planQueue, version
	return c.leaderOf(service).manager.submit(context.Background(), request)
}

func (c *handoverCluster) cancel(service string, id job.ID) (jobapi.CancelReply, error) {
	return c.leaderOf(service).manager.cancel(context.Background(), jobapi.CancelRequest{Group: feed.GroupOf(service), ID: id, Queue: planQueue})
}

func (c *handoverCluster) status(service string, id job.ID) (jobapi.StatusReply, error) {
	return c.leaderOf(service).manager.status(context.Background(), jobapi.StatusRequest{Group: feed.GroupOf(service), ID: id, Queue: planQueue})
}

// knows reports whether a service's group itself knows a job.
func (c *handoverCluster) knows(service string, id job.ID) bool {
	known := false
	err := c.leaderOf(service).manager.readCommitted(context.Background(), feed.GroupOf(service), func(_ scheduler.Now, s *scheduler.Scheduler) {
		known = s.Knows(planQueue, id)
	})
	So(err, ShouldBeNil)
	return known
}

func shouldNotBeExecuted(actual any, _ ...any) string {
	err, isError := actual.(error)
	if isError && rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return ""
	}
	return fmt.Sprintf("want an error that says that nothing was executed, have %v", actual)
}

// A job's ID must stay one job when its queue goes to another service: guards against jobs that run a second time, and against
// cancellations that leave the first run (review case 4).
func TestJobStaysInItsGroupWhenItsQueueMoves(t *testing.T) {
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		Convey("Given a job of alpha, whose queue goes to beta", t, func() {
			_, err := c.submit("alpha", knownJob, movedBefore)
			So(err, ShouldBeNil)
			c.move(movedToBeta(), c.nodes...)
			Convey("beta confirms a repeated submission without taking the job", func() {
				reply, err := c.submit("beta", knownJob, movedSince)
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.SubmitReply{})
				So(c.knows("beta", knownJob), ShouldBeFalse)
			})
			Convey("beta tells the job's state, and counts it as pending", func() {
				reply, err := c.status("beta", knownJob)
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.StatusReply{Known: true, State: job.Queued})
				pending, err := c.leaderOf("beta").manager.pending(context.Background(), jobapi.PendingRequest{Group: feed.GroupOf("beta"), Queue: planQueue})
				So(err, ShouldBeNil)
				So(pending.Count, ShouldEqual, 1)
			})
			Convey("beta cancels the job, which stays cancelled when it is submitted again", func() {
				reply, err := c.cancel("beta", knownJob)
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.CancelReply{Known: true, State: job.Cancelled})
				_, err = c.submit("beta", knownJob, movedSince)
				So(err, ShouldBeNil)
				So(c.knows("beta", knownJob), ShouldBeFalse)
				status, err := c.status("alpha", knownJob)
				So(err, ShouldBeNil)
				So(status.State, ShouldEqual, job.Cancelled)
			})
			Convey("a job that nobody knows is accepted by beta alone", func() {
				reply, err := c.status("beta", unknownJob)
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.StatusReply{NoSuchJob: true})
				_, err = c.submit("beta", unknownJob, movedSince)
				So(err, ShouldBeNil)
				So(c.knows("beta", unknownJob), ShouldBeTrue)
				_, err = c.submit("alpha", unknownJob, movedBefore)
				So(err, shouldNotBeExecuted)
				So(c.knows("alpha", unknownJob), ShouldBeFalse)
			})
		})
	})
}

// A group that has been asked about a queue accepts no more jobs of it, also under a leader that does not know yet that the queue moved:
// guards against one ID in two groups, when a proxy with an old view sends its request late.
func TestReleaseOutlastsTheLeader(t *testing.T) {
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		late, accepted := job.ID("00000000000000c1"), job.ID("00000000000000c2")
		Convey("Given a queue that went to beta, of which alpha's next leader does not know", t, func() {
			alphaLeader := c.leaderOf("alpha")
			for n, source := range c.queues {
				source.canRead = n == alphaLeader || n == c.leaderOf("beta")
			}
			c.move(movedToBeta(), c.nodes...)
			Convey("alpha accepts jobs until it is asked", func() {
				_, err := c.submit("alpha", accepted, movedBefore)
				So(err, ShouldBeNil)
				_, err = c.submit("beta", late, movedSince)
				So(err, ShouldBeNil)
				So(c.knows("beta", late), ShouldBeTrue)
				Convey("and none afterwards, also under its next leader", func() {
					_, err = c.submit("alpha", late, movedBefore)
					So(err, shouldNotBeExecuted)
					var next *testNode
					for _, n := range c.nodes {
						if n != alphaLeader && !c.queues[n].canRead {
							next = n
						}
					}
					So(next, ShouldNotBeNil)
					c.lead(next, "alpha")
					So(c.queues[next].Queues().Version(), ShouldEqual, movedBefore)
					for _, id := range []job.ID{late, unknownJob} {
						_, err = c.submit("alpha", id, movedBefore)
						So(err, shouldNotBeExecuted)
					}
					_, err = c.submit("alpha", accepted, movedBefore)
					So(err, ShouldBeNil) // known, so it needs no decision
					_, err = c.status("alpha", unknownJob)
					So(err, shouldNotBeExecuted)
				})
			})
		})
	})
}

// lead changes leaders until a node leads a service's group.
func (c *handoverCluster) lead(wanted *testNode, service string) {
	for range 20 {
		leader := c.leaderOf(service)
		if leader == wanted {
			return
		}
		c.network.Partition(leader.address, true)
		time.Sleep(takeoverTime)
		c.network.Partition(leader.address, false)
		time.Sleep(time.Second)
	}
	panic("the node does not become the leader")
}

// separateLeaders makes different nodes lead the groups of alpha and beta.
func (c *handoverCluster) separateLeaders() {
	for _, n := range c.nodes {
		if c.leaderOf("alpha") != c.leaderOf("beta") {
			return
		}
		if n != c.leaderOf("beta") {
			c.lead(n, "alpha")
		}
	}
}

// Another group that does not answer must not count as one that does not know the job: guards against second runs and wrong "no such job"
// while the earlier group has no leader.
func TestSilentGroupIsNotTakenForOneWithoutTheJob(t *testing.T) {
	faults := map[string]func(c *handoverCluster) (repair func()){
		"calls to it are lost": func(c *handoverCluster) func() {
			for _, n := range c.nodes {
				n.manager.config.Caller = lossyCaller{n.manager.config.Caller, handedOver}
			}
			return func() {
				for _, n := range c.nodes {
					n.manager.config.Caller = c.network.Caller(n.address)
				}
			}
		},
		"it has no leader": func(c *handoverCluster) func() {
			for _, n := range c.nodes {
				n.manager.config.Leaders = func() map[string]feed.Leader { return nil }
			}
			return func() {
				for _, n := range c.nodes {
					n.manager.config.Leaders = n.node.Leaders
				}
			}
		},
		"its node can't read the configuration": func(c *handoverCluster) func() {
			behind := c.queues[c.leaderOf("alpha")]
			behind.canRead, behind.known = false, directory(movedBefore, "alpha")
			return func() { behind.canRead = true }
		},
	}
	for name, inject := range faults {
		withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
			c.separateLeaders()
			Convey("Given a job of alpha and a queue that went to beta. While "+name, t, func() {
				_, err := c.submit("alpha", knownJob, movedBefore)
				So(err, ShouldBeNil)
				c.move(movedToBeta(), c.nodes...)
				repair := inject(c)
				Convey("no call about a job that beta does not know is answered, and afterwards all are", func() {
					for _, id := range []job.ID{knownJob, unknownJob} {
						_, err := c.submit("beta", id, movedSince)
						So(err, shouldNotBeExecuted)
						_, err = c.status("beta", id)
						So(err, ShouldNotBeNil)
						_, err = c.cancel("beta", id)
						So(err, ShouldNotBeNil)
						So(c.knows("beta", id), ShouldBeFalse)
					}
					repair()
					status, err := c.status("beta", knownJob)
					So(err, ShouldBeNil)
					So(status.Known, ShouldBeTrue)
					_, err = c.submit("beta", unknownJob, movedSince)
					So(err, ShouldBeNil)
					So(c.knows("beta", unknownJob), ShouldBeTrue)
				})
			})
		})
	}
}

// lossyCaller is a transport.Caller that loses the calls to a path.
type lossyCaller struct {
	transport.Caller
	path string
}

// Call implements transport.Caller.
func (l lossyCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if route.Path() != l.path {
		return l.Caller.Call(ctx, address, route, request, reply)
	}
	<-ctx.Done()
	return rpcerror.WrapMayHaveExecuted(ctx.Err())
}

// countingCaller is a transport.Caller that counts the calls to a path.
type countingCaller struct {
	transport.Caller
	path  string
	count *int
}

// Call implements transport.Caller.
func (c countingCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if route.Path() == c.path {
		*c.count++
	}
	return c.Caller.Call(ctx, address, route, request, reply)
}

// A queue that was never moved must cost no call to other groups, and a moved one none once its earlier group knows no job of it.
func TestOnlyMovedQueuesCostCalls(t *testing.T) {
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		calls := 0
		for _, n := range c.nodes {
			n.manager.config.Caller = countingCaller{n.manager.config.Caller, handedOver, &calls}
		}
		Convey("A queue that was not moved costs no call", t, func() {
			_, err := c.submit("alpha", knownJob, movedBefore)
			So(err, ShouldBeNil)
			_, err = c.status("alpha", unknownJob)
			So(err, ShouldBeNil)
			So(calls, ShouldEqual, 0)
		})
		Convey("A moved one costs a call while the earlier group knows jobs of it", t, func() {
			c.move(movedToBeta(), c.nodes...)
			for number := range 3 {
				_, err := c.submit("beta", job.ID(fmt.Sprintf("%016x", number)), movedSince)
				So(err, ShouldBeNil)
			}
			So(calls, ShouldEqual, 3)
		})
		Convey("and none once the earlier group has forgotten them, which is found in the background", t, func() {
			_, err := c.cancel("alpha", knownJob)
			So(err, ShouldBeNil)
			ended := configuration.Tenure{Service: "alpha", Until: movedSince}
			betaLeader := c.leaderOf("beta").manager
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go betaLeader.ReleaseMovedQueues(ctx)
			time.Sleep(releaseInterval)
			So(betaLeader.IsVacant(planQueue, ended), ShouldBeFalse)
			time.Sleep(endedJobRetention + releaseInterval)
			So(betaLeader.IsVacant(planQueue, ended), ShouldBeTrue)
			calls = 0
			_, err = c.submit("beta", unknownJob, movedSince)
			So(err, ShouldBeNil)
			So(calls, ShouldEqual, 0)
		})
	})
}

// A queue that moves on, away and back, or is removed for a time must keep its jobs. Guards against groups that are forgotten because
// they are not the last ones before the present one.
func TestJobsAreFoundAfterSeveralMoves(t *testing.T) {
	alpha := func(until uint64) configuration.Tenure { return configuration.Tenure{Service: "alpha", Until: until} }
	beta := configuration.Tenure{Service: "beta", Since: 5, Until: 7}
	histories := map[string][]*configuration.QueueDirectory{
		"to beta and on to gamma":           {directory(5, "beta", alpha(5)), directory(7, "gamma", alpha(5), beta)},
		"removed, and added for gamma":      {directory(5, "", alpha(5)), directory(7, "gamma", alpha(5))},
		"to beta, removed, added for gamma": {directory(5, "beta", alpha(5)), directory(7, "", alpha(5), beta), directory(9, "gamma", alpha(5), beta)},
		"to beta and back to alpha":         {directory(5, "beta", alpha(5)), directory(7, "alpha", beta)},
	}
	for name, history := range histories {
		withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
			Convey("Given jobs accepted at each service that had the queue: "+name, t, func() {
				first, second := job.ID("00000000000000d1"), job.ID("00000000000000d2")
				_, err := c.submit("alpha", first, movedBefore)
				So(err, ShouldBeNil)
				accepted := []job.ID{first}
				for _, queues := range history {
					c.move(queues, c.nodes...)
					if _, isBeta := queues.Latest(planQueue, "beta"); isBeta && !contains(accepted, second) {
						_, err = c.submit("beta", second, queues.Version())
						So(err, ShouldBeNil)
						accepted = append(accepted, second)
					}
				}
				newest := history[len(history)-1]
				present := "gamma"
				if _, found := newest.Latest(planQueue, "gamma"); !found {
					present = "alpha"
				}
				for _, id := range accepted {
					_, err := c.submit(present, id, newest.Version())
					So(err, ShouldBeNil)
					reply, err := c.cancel(present, id)
					So(err, ShouldBeNil)
					So(reply.Known, ShouldBeTrue)
					count := 0
					for _, service := range planners {
						if c.knows(service, id) {
							count++
						}
					}
					So(count, ShouldEqual, 1)
				}
				status, err := c.status(present, unknownJob)
				So(err, ShouldBeNil)
				So(status.NoSuchJob, ShouldBeTrue)
			})
		})
	}
}

func contains(ids []job.ID, wanted job.ID) bool {
	for _, id := range ids {
		if id == wanted {
			return true
		}
	}
	return false
}

// An ID names one job of a group, because tasks are named by the ID alone.
func TestIDOfAnotherQueueIsNotAccepted(t *testing.T) {
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		Convey("Given a job of one queue, its ID is not accepted from another queue, and is no job there", t, func() {
			_, err := c.submit("alpha", knownJob, movedBefore)
			So(err, ShouldBeNil)
			other := queuekey.Of("", "/other/")
			m := c.leaderOf("alpha").manager
			leadership, err := m.leadershipOf(feed.GroupOf("alpha"))
			So(err, ShouldBeNil)
			request := submission(knownJob)
			request.Queue.Key = other
			So(leadership.scheduler.Submit(currentTime(), &request), ShouldBeFalse)
			So(leadership.scheduler.Knows(other, knownJob), ShouldBeFalse)
			So(leadership.scheduler.Knows(planQueue, knownJob), ShouldBeTrue)
			So(leadership.scheduler.Knows(queuekey.Unknown, knownJob), ShouldBeTrue)
		})
	})
}

func TestVacanciesAreKeptForEndedTenuresOnly(t *testing.T) {
	Convey("A tenure is vacant once it has ended and its group has released the queue, and is dropped once no history has it", t, func() {
		var vacancies queueowner.Vacancies
		ended, present := configuration.Tenure{Service: "alpha", Until: movedSince}, configuration.Tenure{Service: "beta", Since: movedSince}
		vacancies.Add(planQueue, ended, movedSince-1) // its group has not released the queue yet
		So(vacancies.Contains(planQueue, ended), ShouldBeFalse)
		vacancies.Add(planQueue, ended, movedSince)
		vacancies.Add(planQueue, present, movedSince)
		So(vacancies.Contains(planQueue, ended), ShouldBeTrue)
		So(vacancies.Contains(planQueue, present), ShouldBeFalse)
		vacancies.Retain(movedToBeta())
		So(vacancies.Contains(planQueue, ended), ShouldBeTrue)
		vacancies.Retain(directory(7, "beta"))
		So(vacancies.Contains(planQueue, ended), ShouldBeFalse)
	})
}

// A queue's pending jobs must be counted by no older configuration than that of the caller: guards against a count of 0 for a queue whose jobs
// run in the group that had it before.
func TestPendingJobsAreCountedByTheCallersConfiguration(t *testing.T) {
	withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
		Convey("Given a job of alpha, whose queue goes to beta, and a leader of beta that has not heard of it", t, func() {
			_, err := c.submit("alpha", knownJob, movedBefore)
			So(err, ShouldBeNil)
			c.move(movedToBeta())
			leader := c.leaderOf("beta")
			count := func() (jobapi.PendingReply, error) {
				return leader.manager.pending(context.Background(), jobapi.PendingRequest{Group: feed.GroupOf("beta"), Queue: planQueue, Version: movedSince})
			}
			Convey("it refuses to count while it cannot read it, and then counts alpha's job", func() {
				c.queues[leader].setReadable(false)
				_, err := count()
				So(err, shouldNotBeExecuted)
				c.queues[leader].setReadable(true)
				reply, err := count()
				So(err, ShouldBeNil)
				So(reply.Count, ShouldEqual, 1)
			})
		})
	})
}

// A group that has not released a queue must not count as one without its jobs: guards against a job that is denied with 410, and that runs after its
// cancellation was answered so, because it was accepted by a leader that had not heard yet that its queue had been removed.
func TestGroupThatHasNotReleasedAQueueIsNotVacant(t *testing.T) {
	const removedIn, addedIn = movedSince + 2, movedSince + 3
	alphaBefore := configuration.Tenure{Service: "alpha", Until: movedSince}
	betaBefore := configuration.Tenure{Service: "beta", Since: movedSince, Until: removedIn}
	questions := map[string]func(c *handoverCluster) error{
		"for a job": func(c *handoverCluster) error {
			_, err := c.status("alpha", unknownJob)
			return err
		},
		"for the number of pending jobs": func(c *handoverCluster) error {
			_, err := c.leaderOf("alpha").manager.pending(context.Background(), jobapi.PendingRequest{Group: feed.GroupOf("alpha"), Queue: planQueue})
			return err
		},
	}
	for name, ask := range questions {
		withHandoverCluster(t, func(t *testing.T, c *handoverCluster) {
			c.separateLeaders()
			Convey("Given a queue that was removed, of which beta's leader has not heard, and alpha's leader has, which was asked "+name, t, func() {
				c.move(movedToBeta(), c.nodes...)
				removed := directory(removedIn, "", alphaBefore, betaBefore)
				c.move(removed, c.leaderOf("alpha"))
				So(ask(c), ShouldBeNil)
				_, err := c.submit("beta", knownJob, movedSince)
				So(err, ShouldBeNil)
				Convey("a job that beta accepts is found once alpha has the queue", func() {
					c.move(directory(addedIn, "alpha", betaBefore), c.nodes...)
					reply, err := c.status("alpha", knownJob)
					So(err, ShouldBeNil)
					So(reply.Known, ShouldBeTrue)
				})
			})
		})
	}
}
