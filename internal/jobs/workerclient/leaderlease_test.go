package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// The leader lease may expire while a renewal is under way, so that the renewal loop has not noticed: each command checks it.
func TestNoCommandIsSentAfterLeaderLeaseExpiry(t *testing.T) {
	const delay, observationTime = time.Millisecond, 300 * time.Millisecond // shorter than a renewal, longer than a command
	virtualtime.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, delay)
		defer f.close()
		f.connect(1)
		convey.Convey("Given a worker with a lease, so that commands are sent at once", t, func() {
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
		})
		convey.Convey("a start after the leader lease is not sent, and certainly not executed", t, func() {
			f.leaderLeaseExpired.Store(true)
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, NotSent)
			convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, 1)
			convey.So(f.cluster.Runs(), convey.ShouldHaveLength, 1)
			f.leaderLeaseExpired.Store(false)
		})
		convey.Convey("a stop after the leader lease waits until it is valid again", t, func() {
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

// fencedLeader is a leader with links to two workers under one token, of which the first worker has seen a higher one. Its process
// did nothing meanwhile, so that its commands are still queued, and believes on waking that its lease holds.
type pausedLeader struct {
	*fixture
	second     *cluster.Worker
	secondLink *Link
}

const queuedCommands = 30

// newFencedLeader lets a leader's process wake up late.
func newPausedLeader(t *testing.T, delay time.Duration) *pausedLeader {
	t.Helper()
	f := newMemoryFixture(t, delay)
	l := &pausedLeader{fixture: f, second: f.cluster.AddWorker(cluster.WorkerConfig{ID: "i-2"})}
	f.onFencedOff = func() { f.leaderLeaseExpired.Store(true) }
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

// raise lets another leader use a higher token at the first worker.
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

// calls counts the calls that both workers have got.
func (l *pausedLeader) calls() int {
	total := 0
	for _, kind := range []cluster.Call{cluster.StartCall, cluster.StopCall, cluster.LeaseCall} {
		total += l.worker.Calls(kind) + l.second.Calls(kind)
	}
	return total
}

// wakeUp lets the leader's process go on, and returns how many calls came once the first refusal had been received and what was under
// way had arrived.
func (l *pausedLeader) resume(delay time.Duration) (callsAfterRejection int) {
	fencedOff := make(chan struct{}, 1000)
	l.onFencedOff = func() {
		l.leaderLeaseExpired.Store(true)
		fencedOff <- struct{}{}
	}
	l.leaderLeaseExpired.Store(false)
	for i := range queuedCommands {
		l.link.Start(startCommand(i, 2))
		l.secondLink.Start(startCommand(queuedCommands+i, 2))
	}
	select {
	case <-fencedOff:
	case <-time.After(eventTimeout):
		l.t.Error("no refusal was received")
	}
	<-time.After(2 * delay)
	before := l.calls()
	<-time.After(10 * time.Second)
	return l.calls() - before
}

// A refusal on account of a higher token ends all calls under the lower one, at every worker: renewals, polls, queued and repeated
// commands, and hedged requests.
func TestFencingRejectionStopsAllCallsOfTheLeader(t *testing.T) {
	const delay = time.Millisecond
	cases := []struct {
		name    string
		delay   time.Duration
		prepare func(l *pausedLeader, release chan struct{})
	}{
		{"a process that wakes up", delay, func(*pausedLeader, chan struct{}) {}},
		{"a process and a network eight times as slow", 8 * delay, func(*pausedLeader, chan struct{}) {}},
		{"reports that wait, as nobody takes them", delay, func(l *pausedLeader, release chan struct{}) {
			l.events.mu.Lock()
			defer l.events.mu.Unlock()
			l.events.onListing = func(Listing) { <-release }
		}},
		{"a refusal whose response is lost", delay, func(l *pausedLeader, _ chan struct{}) {
			lost := 0
			l.worker.SetFaults(func(cluster.Call) cluster.Fault {
				if lost++; lost > 3 {
					return cluster.Fault{}
				}
				return cluster.Fault{Kind: cluster.Mute}
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
			convey.Convey("No call is sent after the refusal was received: "+testCase.name, t, func() {
				convey.So(callsAfterRejection, convey.ShouldEqual, 0)
				convey.So(l.leaderLeaseExpired.Load(), convey.ShouldBeTrue)
			})
		})
	}
}
