package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// The leader lease may expire while a renewal is in flight, so that the renewal loop has not detected the expiry. Each command must
// check the lease itself.
func TestNoCommandIsSentAfterLeaderLeaseExpiry(t *testing.T) {
	const delay = time.Millisecond
	const observationTime = 300 * time.Millisecond // shorter than a renewal, longer than a command
	virtualtime.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, delay)
		defer f.close()
		f.connect(1)
		convey.Convey("Given a worker with a valid lease", t, func() {
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
		})
		convey.Convey("a start after the expiry of the leader lease is not sent", t, func() {
			f.leaderLeaseExpired.Store(true)
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, NotSent)
			convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, 1)
			convey.So(f.cluster.Attempts(), convey.ShouldHaveLength, 1)
			f.leaderLeaseExpired.Store(false)
		})
		convey.Convey("a stop after the expiry of the leader lease is sent once the lease is valid again", t, func() {
			convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, Started)
			f.leaderLeaseExpired.Store(true)
			f.link.Stop(StopCommand{task(2), 1})
			<-time.After(observationTime)
			convey.So(f.worker.Calls(cluster.StopCall), convey.ShouldEqual, 0)
			f.leaderLeaseExpired.Store(false)
			convey.So(awaitEvent(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
		})
	})
}

// pausedLeader is a leader with links to two workers under one fencing token. The first worker has seen a higher token. The leader's
// process was paused meanwhile: its commands are still queued, and when it resumes it assumes that its lease is valid.
type pausedLeader struct {
	*fixture
	second     *cluster.Worker
	secondLink *Link
}

const queuedCommands = 30

// newPausedLeader returns a leader that has queued commands and an invalid lease, as if its process was paused.
func newPausedLeader(t *testing.T, delay time.Duration) *pausedLeader {
	t.Helper()
	f := newMemoryFixture(t, delay)
	l := &pausedLeader{fixture: f, second: f.cluster.AddWorker(cluster.WorkerConfig{ID: "i-2"})}
	f.onFenced = func() { f.leaderLeaseExpired.Store(true) }
	f.connect(1)
	first := f.link
	f.connectTo(l.second, 1)
	l.secondLink, f.link = f.link, first
	<-time.After(time.Second)
	f.leaderLeaseExpired.Store(true)
	for i := range queuedCommands {
		first.Stop(StopCommand{task(i), 1})
		l.secondLink.Stop(StopCommand{task(i), 1})
	}
	<-time.After(time.Second)
	return l
}

// raiseFencingToken makes the first worker see the higher token of another leader.
func (l *pausedLeader) raiseFencingToken() {
	successor := NewLink(Config{
		Instance: Instance{ID: WorkerID(l.worker.ID()), Address: l.worker.Address()}, FencingToken: 9, MaxLease: testMaxLease,
		LeaderLeaseValid: func() bool { return true }, Events: newRecorder(), HTTP: l.client,
	})
	returned := make(chan struct{})
	go func() { successor.Run(l.t.Context()); close(returned) }()
	<-time.After(time.Second)
	successor.Close()
	<-returned
}

// calls returns the number of calls that both workers have received.
func (l *pausedLeader) calls() int {
	total := 0
	for _, kind := range []cluster.CallKind{cluster.StartCall, cluster.StopCall, cluster.LeaseCall} {
		total += l.worker.Calls(kind) + l.second.Calls(kind)
	}
	return total
}

// resume resumes the leader's process. It returns the number of calls that arrived after the leader had received the first rejection and
// the calls in flight had arrived.
func (l *pausedLeader) resume(delay time.Duration) (callsAfterRejection int) {
	fenced := make(chan struct{}, 1000)
	l.onFenced = func() {
		l.leaderLeaseExpired.Store(true)
		fenced <- struct{}{}
	}
	l.leaderLeaseExpired.Store(false)
	for i := range queuedCommands {
		l.link.Start(startCommand(i, 2))
		l.secondLink.Start(startCommand(queuedCommands+i, 2))
	}
	select {
	case <-fenced:
	case <-time.After(eventTimeout):
		l.t.Error("the leader received no rejection")
	}
	<-time.After(2 * delay)
	before := l.calls()
	<-time.After(10 * time.Second)
	return l.calls() - before
}

// A rejection because of a higher fencing token must stop all calls under the lower token, at every worker: renewals, polls, queued and
// retried commands, and hedged requests.
func TestFencingRejectionStopsAllCallsOfTheLeader(t *testing.T) {
	const delay = time.Millisecond
	cases := []struct {
		name    string
		delay   time.Duration
		prepare func(l *pausedLeader, release chan struct{})
	}{
		{"a process that resumes", delay, func(*pausedLeader, chan struct{}) {}},
		{"a process and a network eight times as slow", 8 * delay, func(*pausedLeader, chan struct{}) {}},
		{"reports whose delivery blocks", delay, func(l *pausedLeader, release chan struct{}) {
			l.events.mu.Lock()
			defer l.events.mu.Unlock()
			l.events.onListing = func(Listing) { <-release }
		}},
		{"a rejection whose response is lost", delay, func(l *pausedLeader, _ chan struct{}) {
			lost := 0
			l.worker.SetFaults(func(cluster.CallKind) cluster.Fault {
				if lost++; lost > 3 {
					return cluster.Fault{}
				}
				return cluster.Fault{Kind: cluster.DropAnswer}
			})
		}},
	}
	for _, testCase := range cases {
		virtualtime.Test(t, func(t *testing.T) {
			l := newPausedLeader(t, testCase.delay)
			defer l.close()
			l.raiseFencingToken()
			release := make(chan struct{})
			testCase.prepare(l, release)
			callsAfterRejection := l.resume(testCase.delay)
			close(release)
			convey.Convey("No call is sent after the rejection was received: "+testCase.name, t, func() {
				convey.So(callsAfterRejection, convey.ShouldEqual, 0)
				convey.So(l.leaderLeaseExpired.Load(), convey.ShouldBeTrue)
			})
		})
	}
}
