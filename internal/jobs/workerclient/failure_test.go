package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// givenRunningTask runs a Convey scope with a link to a worker that runs one task.
func givenRunningTask(t *testing.T, scope func(f *fixture)) {
	t.Helper()
	convey.Convey("Given a worker that runs a task", t, func() {
		f := newFixture(t, cluster.Settings{}, cluster.WorkerConfig{})
		convey.Reset(f.close)
		f.connect(1)
		convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
		scope(f)
	})
}

func TestUnresponsiveWorkerGetsNoCommands(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(f *fixture) {
		convey.Convey("a start without a response is unclear, and no command is sent until the worker responds", func() {
			noResponse, renewalLost := faultWithSignal(cluster.LeaseCall, cluster.Fault{Kind: cluster.DropCall})
			f.worker.SetFaults(noResponse)
			<-renewalLost // no renewal in flight will be answered
			f.worker.SetFaults(cluster.OnEveryCall(cluster.Fault{Kind: cluster.DropCall}))
			before := time.Now()
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
			awaitEvent(t, f.events, func(r ReachabilityChange) bool { return !r.Reachable })
			convey.So(f.link.LeasesExpiredBy(), convey.ShouldHappenAfter, before.Add(maxLateExecution))
			convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, NotSent)
			leaseEnd := f.worker.LeaseExpiry()

			convey.Convey("a poll finds it reachable again", func() {
				f.worker.SetFaults(nil)
				awaitEventAfter(t, f.events, 2, func(r ReachabilityChange) bool { return r.Reachable })
				convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, Started)
				convey.So(f.worker.Finish(task(2), job.OutcomeDone), convey.ShouldBeNil)
				awaitEvent(t, f.events, func(l Listing) bool { return len(l.Finished) == 1 }) // from a renewal after the poll
				convey.So(f.worker.LeaseExpiry(), convey.ShouldHappenAfter, leaseEnd)
			})
		})
	})
}

func TestLateStartIsUnclearAndListedLater(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(f *fixture) {
		convey.Convey("a start that is executed late is unclear, and its attempt is listed later", func() {
			late := cluster.Fault{Kind: cluster.DelayExecution, Delay: 1200 * time.Millisecond}
			f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StartCall, late))
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
			awaitEvent(t, f.events, func(l Listing) bool { return len(l.Running) == 2 })
			convey.So(f.cluster.Attempts()[1].Late, convey.ShouldBeTrue)
		})
	})
}

func TestStopIsRetried(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(f *fixture) {
		convey.Convey("a stop is retried until it is answered", func() {
			refusal, refused := faultWithSignal(cluster.StopCall, cluster.Fault{Kind: cluster.Reject, Status: 503})
			f.worker.SetFaults(refusal)
			f.link.Stop(StopCommand{task(0), 1})
			<-refused
			<-refused
			f.worker.SetFaults(nil)
			convey.So(awaitEvent(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
			ended := awaitEvent(t, f.events, func(l Listing) bool { return len(l.Finished) == 1 })
			convey.So(ended.Finished[0].Outcome, convey.ShouldEqual, job.OutcomeStopped)
		})
	})
}

func TestStartOnBrokenConnectionIsUnclear(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(f *fixture) {
		convey.Convey("a connection that breaks makes the start unclear", func() {
			f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StartCall, cluster.Fault{Kind: cluster.ResetConnection}))
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
		})
	})
}

func TestWorkerThatLeftGetsNoCommands(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(f *fixture) {
		convey.Convey("a worker that has left gets no commands", func() {
			f.worker.Leave()
			awaitEvent(t, f.events, func(r ReachabilityChange) bool { return !r.Reachable })
			convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, NotSent)
		})
	})
}

func TestWorkerRefusingRenewalsIsUnreachable(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(f *fixture) {
		convey.Convey("a worker that refuses renewals is unreachable until it accepts them", func() {
			f.worker.SetFaults(cluster.OnCallsOfKind(cluster.LeaseCall, cluster.Fault{Kind: cluster.Reject, Status: 503}))
			awaitEvent(t, f.events, func(r ReachabilityChange) bool { return !r.Reachable })
			f.worker.SetFaults(nil)
			awaitEventAfter(t, f.events, 2, func(r ReachabilityChange) bool { return r.Reachable })
		})
	})
}
