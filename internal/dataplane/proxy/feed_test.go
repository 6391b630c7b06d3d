package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func (f *fixture) readinessStatus() int {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodGet, f.readiness, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.do(request).status
}

func TestRequestsAreRefusedBeforeFirstConfiguration(t *testing.T) {
	Convey("Before the first configuration, requests are refused and the proxy is not ready", t, func() {
		leader := newFakeLeader(t).acceptSubmissions()
		f := newFixture(t, feed.Snapshot{})
		reply := f.post()
		So(reply.status, ShouldEqual, http.StatusServiceUnavailable)
		So(reply.retryAfter, ShouldEqual, "1")
		So(f.readinessStatus(), ShouldEqual, http.StatusServiceUnavailable)
		f.agent.change(func(s *feed.Snapshot) { *s = snapshotOf(configurationOf(3000), leader.address(), 1) })
		f.awaitView(func(v *view) bool { return v.version == 1 })
		So(f.readinessStatus(), ShouldEqual, http.StatusOK)
		So(f.post().status, ShouldEqual, http.StatusOK)
	})
}

func newTestFeedFollower() *feedFollower {
	return newFeedFollower("", nil, buildTestRouter, zap.NewNop())
}

// update returns an agent's answer with a configuration and leaders from a current feed.
func update(version uint64, c testConfiguration, leaders map[string]feed.Leader) feed.WatchReply {
	snapshot := &feed.Snapshot{ConfigurationVersion: version, Configuration: c.raw(), Leaders: leaders}
	return feed.WatchReply{Current: true, Changed: true, Snapshot: snapshot}
}

func TestOlderUpdatesDoNotReplaceNewerState(t *testing.T) {
	first, second := configurationOf(1000), configurationOf(2000)
	leaders := func(term uint64) map[string]feed.Leader {
		return map[string]feed.Leader{testGroup: {Address: fmt.Sprint("mixer-", term), Term: term}}
	}
	Convey("An older configuration or leader is ignored", t, func() {
		f := newTestFeedFollower()
		So(f.apply(update(5, second, leaders(3)), f.now()), ShouldBeTrue)
		So(f.apply(update(4, first, leaders(2)), f.now()), ShouldBeFalse)
		So(f.currentView().router, ShouldResemble, second)
		So(f.currentView().leaders[testGroup].Address, ShouldEqual, "mixer-3")
		So(f.digest(), ShouldResemble, feed.Digest{ConfigurationVersion: 5, LeaderTerms: map[string]uint64{testGroup: 3}})
	})
	Convey("An empty snapshot from an agent that has just started removes nothing", t, func() {
		f := newTestFeedFollower()
		f.apply(update(5, second, leaders(3)), f.now())
		f.apply(feed.WatchReply{Changed: true, Snapshot: &feed.Snapshot{}}, f.now())
		So(f.currentView().version, ShouldEqual, 5)
		So(f.currentView().leaders, ShouldHaveLength, 1)
	})
	Convey("A group that is missing from a current feed is removed", t, func() {
		f := newTestFeedFollower()
		f.apply(update(5, second, leaders(3)), f.now())
		f.apply(update(5, second, nil), f.now())
		So(f.currentView().leaders, ShouldBeEmpty)
	})
	Convey("An invalid configuration changes nothing, and the next valid one is applied", t, func() {
		f := newTestFeedFollower()
		f.apply(update(5, first, nil), f.now())
		broken := feed.WatchReply{Current: true, Changed: true, Snapshot: &feed.Snapshot{ConfigurationVersion: 6, Configuration: []byte("{")}}
		So(f.apply(broken, f.now()), ShouldBeFalse)
		So(f.currentView().version, ShouldEqual, 5)
		So(f.apply(update(7, second, nil), f.now()), ShouldBeTrue)
		So(f.currentView().router, ShouldResemble, second)
	})
}

// pausedCaller is a transport.Caller that behaves as if the process were paused between the arrival of the answer and its
// processing.
type pausedCaller feed.WatchReply

// Call implements transport.Caller.
func (s pausedCaller) Call(_ context.Context, _ string, _ transport.Route, _, reply any) error {
	<-time.After(20 * time.Second) // virtual time; the call ignores the context's deadline because the answer has already arrived
	*reply.(*feed.WatchReply) = feed.WatchReply(s)
	return nil
}

func TestUpdateWithoutMembersKeepsKnownMembers(t *testing.T) {
	Convey("An update without members keeps the checksum of the known ones", t, func() {
		f := newTestFeedFollower()
		complete := update(5, configurationOf(1000), nil)
		complete.Snapshot.Coordinators = []string{"core:1"}
		f.apply(complete, f.now())
		named := f.digest().MembersSum
		So(named, ShouldNotEqual, 0)
		f.apply(update(6, configurationOf(2000), nil), f.now())
		So(f.digest().MembersSum, ShouldEqual, named)
		So(f.digest().ConfigurationVersion, ShouldEqual, 6)
	})
}

func TestStaleFeedGivesNoDefiniteAnswers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A feed without answers becomes stale", t, func() {
			f := newTestFeedFollower()
			So(f.ready(), ShouldBeFalse)
			f.apply(update(5, configurationOf(1000), nil), f.now())
			So(f.ready(), ShouldBeTrue)
			time.Sleep(maxFeedAge - time.Millisecond)
			So(f.ready(), ShouldBeTrue)
			time.Sleep(time.Millisecond)
			So(f.ready(), ShouldBeFalse)
			So(f.stale(), ShouldBeTrue)
			f.apply(feed.WatchReply{Current: true}, f.now())
			So(f.ready(), ShouldBeTrue)
			f.apply(feed.WatchReply{Current: false}, f.now())
			So(f.ready(), ShouldBeFalse)
		})
		Convey("The age of an answer counts from its poll, even if the process was paused before it processed the answer", t, func() {
			f := newTestFeedFollower()
			f.caller = pausedCaller(update(5, configurationOf(1000), nil))
			_, err := f.poll(context.Background())
			So(err, ShouldBeNil)
			So(f.currentView().version, ShouldEqual, 5)
			So(f.ready(), ShouldBeFalse)
			So(f.stale(), ShouldBeTrue)
		})
	})
	Convey("A queue that is missing from a stale feed is answered with 503, not 404", t, func() {
		f := newFixture(t, snapshotOf(configurationOf(1000), "127.0.0.1:1", 1))
		So(f.send(http.MethodGet, "/elsewhere/", "").status, ShouldEqual, http.StatusNotFound)
		f.agent.setCurrent(false)
		f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion = 2 })
		f.awaitView(func(v *view) bool { return v.version == 2 })
		So(f.send(http.MethodGet, "/elsewhere/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		So(f.readinessStatus(), ShouldEqual, http.StatusServiceUnavailable)
	})
	Convey("A job that no group knows is not answered with 410 if the feed is stale: a read is refused, and a cancellation, which the leader remembers, is unclear", t, func() {
		leader := newFakeLeader(t).answerJobQueries(false, "")
		f := newFixture(t, snapshotOf(configurationOf(1000), leader.address(), 1))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			So(f.send(method, testPrefix+testID, "").status, ShouldEqual, http.StatusGone)
		}
		f.agent.setCurrent(false)
		f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion = 2 })
		f.awaitView(func(v *view) bool { return v.version == 2 })
		read := f.send(http.MethodGet, testPrefix+testID, "")
		So(read.status, ShouldEqual, http.StatusServiceUnavailable)
		So(read.retryAfter, ShouldEqual, "1")
		So(f.send(http.MethodDelete, testPrefix+testID, "").status, ShouldEqual, http.StatusGatewayTimeout)
	})
}

func TestNewLimitsApplyToNewConnectionsAndBodies(t *testing.T) {
	Convey("New limits apply to new connections, and to bodies at once", t, func() {
		leader := newFakeLeader(t).acceptSubmissions()
		f := newFixture(t, snapshotOf(configurationOf(3000), leader.address(), 1))
		large := `{"specification":"` + strings.Repeat("x", 4000) + `","stages":[{"count":1}]}`
		So(f.send(http.MethodPost, testPrefix+testID, large).status, ShouldEqual, http.StatusOK)

		limited := configurationOf(3000)
		limited.Bounds = testLimits{HeaderBytes: 100, BodyBytes: 1000, IdleMS: 5000}
		f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion, s.Configuration = 2, limited.raw() })
		f.awaitView(func(v *view) bool { return v.version == 2 })
		So(f.send(http.MethodPost, testPrefix+testID, large).status, ShouldEqual, http.StatusRequestEntityTooLarge)

		f.client.CloseIdleConnections()
		request, _ := http.NewRequest(http.MethodGet, f.url+testPrefix+testID, nil)
		request.Header.Set("X-Large", strings.Repeat("x", 10_000))
		So(f.do(request).status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
}

func TestRememberedStatesAndCountsAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Only final states are cached, up to a maximum age and number", t, func() {
			f := newFinalStates(time.Now)
			f.add(testQueue, "a", job.Running)
			_, found := f.get(testQueue, "a")
			So(found, ShouldBeFalse)
			f.add(testQueue, "a", job.Completed)
			state, found := f.get(testQueue, "a")
			So(found, ShouldBeTrue)
			So(state, ShouldEqual, job.Completed)
			_, found = f.get(testQueue+1, "a")
			So(found, ShouldBeFalse) // another queue's job with the same ID
			time.Sleep(maxFinalStateAge)
			_, found = f.get(testQueue, "a")
			So(found, ShouldBeFalse)
			for i := range 5 * maxFinalStates {
				f.add(testQueue, job.ID(fmt.Sprint(i)), job.Failed)
			}
			So(len(f.newer)+len(f.older), ShouldBeLessThanOrEqualTo, maxFinalStates)
			_, found = f.get(testQueue, job.ID(fmt.Sprint(5*maxFinalStates-1)))
			So(found, ShouldBeTrue)
		})
	})
	Convey("Numbers of pending jobs are cached up to a maximum age and number of queues", t, func() {
		begin := time.Now()
		now := begin
		p := newPendingCounts(func() time.Time { return now })
		for i := range 3 * maxPendingQueues {
			p.put(queuekey.Key(i), i, begin)
		}
		So(len(p.counts), ShouldBeLessThanOrEqualTo, maxPendingQueues)
		last := queuekey.Key(3*maxPendingQueues - 1)
		now = begin.Add(maxPendingCountAge)
		count, found := p.get(last)
		So(found, ShouldBeTrue)
		So(count, ShouldEqual, 3*maxPendingQueues-1)
		now = now.Add(1)
		_, found = p.get(last)
		So(found, ShouldBeFalse)
		_, found = p.get(3 * maxPendingQueues)
		So(found, ShouldBeFalse)
	})
}
