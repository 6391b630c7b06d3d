package workerclient

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
)

// hedgedResponseTime is an upper bound of the response time of a hedged call. It is far below any timeout.
const hedgedResponseTime = hedgeMargin + 50*time.Millisecond

func TestPollWithoutResponseIsHedged(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		before := f.link.Counts()
		f.worker.SetFaults(firstCalls(1, cluster.LeaseCall, cluster.Fault{Kind: cluster.DelayExecution, Delay: 5 * time.Second}))
		f.link.Stop(StopCommand{task(5), 1})
		stopped := awaitEvent(t, f.events, anyEvent[StopResult])
		poll := awaitEvent(t, f.events, isOutOfBand)
		convey.So(time.Since(stopped.At), convey.ShouldBeLessThan, hedgedResponseTime)
		convey.So(poll.SentAt.Sub(stopped.At), convey.ShouldBeGreaterThan, hedgeMargin)      // send time of the answered request
		convey.So(time.Since(poll.SentAt), convey.ShouldBeGreaterThanOrEqualTo, oneWayDelay) // and not the time of its response
		after := f.link.Counts()
		convey.So(after.Polls-before.Polls, convey.ShouldEqual, 1)
		convey.So(after.HedgedRequests-before.HedgedRequests, convey.ShouldEqual, 1)
		convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
	})
}

func TestStopWithoutResponseIsHedged(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		f.worker.SetFaults(firstCalls(1, cluster.StopCall, cluster.Fault{Kind: cluster.DelayExecution, Delay: 5 * time.Second}))
		commandedAt := time.Now()
		f.link.Stop(StopCommand{task(0), 1})
		convey.So(awaitEvent(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
		convey.So(time.Since(commandedAt), convey.ShouldBeLessThan, hedgedResponseTime)
		convey.So(f.worker.Calls(cluster.StopCall), convey.ShouldEqual, 2)
		time.Sleep(6 * time.Second) // until the first request is executed, too
		convey.So(f.start(startCommand(0, 2)), convey.ShouldEqual, Started)
		convey.So(f.cluster.Attempts(), convey.ShouldHaveLength, 2)
	})
}

func TestStartWithoutResponseIsNotHedged(t *testing.T) {
	runWithTask(t, oneWayDelay, func(_ *testing.T, f *fixture) {
		starts, hedged := f.worker.Calls(cluster.StartCall), f.link.Counts().HedgedRequests
		f.worker.SetFaults(firstCalls(1, cluster.StartCall, cluster.Fault{Kind: cluster.DropCall}))
		convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
		time.Sleep(5 * time.Second)
		convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, starts+1)
		convey.So(f.link.Counts().HedgedRequests, convey.ShouldEqual, hedged)
	})
}

func TestStartTimeoutShrinksWhenManyStartsAreLost(t *testing.T) {
	runWithTask(t, oneWayDelay, func(_ *testing.T, f *fixture) {
		f.worker.SetFaults(firstCalls(3, cluster.StartCall, cluster.Fault{Kind: cluster.DelayExecution, Delay: 5 * time.Second}))
		timeToUnclear := func(index int) time.Duration {
			commandedAt := time.Now()
			convey.So(f.start(startCommand(index, 1)), convey.ShouldEqual, Unclear)
			return time.Since(commandedAt)
		}
		convey.So(timeToUnclear(1), convey.ShouldBeGreaterThanOrEqualTo, minCommandTimeout)
		convey.So(timeToUnclear(2), convey.ShouldBeGreaterThanOrEqualTo, minCommandTimeout)
		convey.So(timeToUnclear(3), convey.ShouldBeLessThan, minCommandTimeout/2)
		for i := range 10 {
			convey.So(f.start(startCommand(4+i, 1)), convey.ShouldEqual, Started)
		}
		f.worker.SetFaults(firstCalls(1, cluster.StartCall, cluster.Fault{Kind: cluster.DropCall}))
		convey.So(timeToUnclear(20), convey.ShouldBeGreaterThanOrEqualTo, minCommandTimeout)
		convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, 1+3+10+1) // each start is sent once
	})
}

func TestNoHedgeIsSentAfterLeaderLeaseExpiry(t *testing.T) {
	runWithTask(t, oneWayDelay, func(_ *testing.T, f *fixture) {
		f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StopCall, cluster.Fault{Kind: cluster.DropCall}))
		f.link.Stop(StopCommand{task(0), 1})
		time.Sleep(hedgeMargin / 2)
		f.leaderLeaseExpired.Store(true)
		time.Sleep(time.Second)
		convey.So(f.worker.Calls(cluster.StopCall), convey.ShouldEqual, 1)
		convey.So(f.link.Counts().HedgedRequests, convey.ShouldEqual, 0)
	})
}

func TestHedgesAreBounded(t *testing.T) {
	runWithTask(t, oneWayDelay, func(_ *testing.T, f *fixture) {
		f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StopCall, cluster.Fault{Kind: cluster.DropCall}))
		for i := range 3 * maxCommandsInFlight {
			f.link.Stop(StopCommand{task(i), 1})
		}
		time.Sleep(minCommandTimeout - time.Millisecond) // before the first calls time out
		synctest.Wait()
		convey.So(f.worker.Calls(cluster.StopCall), convey.ShouldEqual, maxCommandsInFlight+maxHedgedRequests)
		convey.So(f.worker.Connections(), convey.ShouldBeLessThanOrEqualTo, maxConnectionsPerWorker)
		f.link.Close() // also cancels the hedged requests, so that Run returns
	})
}

func TestFailedHedgeDoesNotFailTheCall(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		calls := 0
		f.worker.SetFaults(func(call cluster.CallKind) cluster.Fault {
			if call != cluster.StopCall {
				return cluster.Fault{}
			}
			calls++
			switch calls {
			case 1: // is answered after the hedged request has failed
				return cluster.Fault{Kind: cluster.DelayAnswer, Delay: 2 * responseTimeoutMargin}
			default:
				return cluster.Fault{Kind: cluster.ResetConnection}
			}
		})
		commandedAt := time.Now()
		f.link.Stop(StopCommand{task(0), 1})
		convey.So(awaitEvent(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
		convey.So(time.Since(commandedAt), convey.ShouldBeBetween, 2*responseTimeoutMargin, 2*responseTimeoutMargin+50*time.Millisecond)
		convey.So(f.link.Counts().HedgedRequests, convey.ShouldBeGreaterThan, 0)
	})
}

func TestHedgesDoNotWaitForAConnection(t *testing.T) {
	convey.Convey("Given a budget of one connection, which is in use", t, func() {
		connections := NewConnections(Limits{Connections: 1, DialsPerSecond: 100, DialBurst: 10})
		busy, other := connections.addLink("a"), connections.addLink("b")
		convey.So(busy.acquire(nil), convey.ShouldBeTrue)
		convey.So(other.tryAcquire(), convey.ShouldBeFalse)
		convey.So(busy.tryAcquire(), convey.ShouldBeFalse)
		convey.So(connections.Usage().Waiting, convey.ShouldEqual, 0)
		convey.Convey("tryAcquire succeeds once it is free", func() {
			busy.release()
			convey.So(other.tryAcquire(), convey.ShouldBeTrue)
			other.release()
		})
		convey.Convey("a waiting call is admitted first", func() {
			done := make(chan struct{})
			begun := make(chan bool)
			go func() { begun <- other.acquire(done) }()
			for connections.Usage().Waiting == 0 {
				runtime.Gosched()
			}
			convey.So(busy.tryAcquire(), convey.ShouldBeFalse)
			busy.release()
			convey.So(<-begun, convey.ShouldBeTrue)
			other.release()
		})
	})
}
