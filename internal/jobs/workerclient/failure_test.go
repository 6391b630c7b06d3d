package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// givenRunningTask plays a Convey scope at a worker that attempts one task.
func givenRunningTask(t *testing.T, scope func(b *fixture)) {
	t.Helper()
	convey.Convey("Given a worker that runs a task", t, func() {
		b := newFixture(t, cluster.Settings{}, cluster.WorkerConfig{})
		convey.Reset(b.close)
		b.connect(1)
		convey.So(b.start(startCommand(0, 1)), convey.ShouldEqual, Started)
		scope(b)
	})
}

func TestUnresponsiveWorker(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(b *fixture) {
		convey.Convey("an unanswered start is unclear, and nothing goes out until the worker answers", func() {
			silent, unheard := signalled(cluster.HoldCall, cluster.Fault{Kind: cluster.Silent})
			b.worker.SetFaults(silent)
			<-unheard // no hold is under way that will be answered
			b.worker.SetFaults(cluster.Always(cluster.Fault{Kind: cluster.Silent}))
			before := time.Now()
			convey.So(b.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
			await(t, b.events, func(r ReachabilityChange) bool { return !r.Reachable })
			convey.So(b.link.LeasesExpiredBy(), convey.ShouldHappenAfter, before.Add(maxLateExecution))
			convey.So(b.start(startCommand(2, 1)), convey.ShouldEqual, NotSent)
			held := b.worker.HeldUntil()

			convey.Convey("polls find it again", func() {
				b.worker.SetFaults(nil)
				awaitAfter(t, b.events, 2, func(r ReachabilityChange) bool { return r.Reachable })
				convey.So(b.start(startCommand(2, 1)), convey.ShouldEqual, Started)
				convey.So(b.worker.Finish(task(2), job.OutcomeDone), convey.ShouldBeNil)
				await(t, b.events, func(l Listing) bool { return len(l.Finished) == 1 }) // of a renewal after the poll
				convey.So(b.worker.HeldUntil(), convey.ShouldHappenAfter, held)
			})
		})
	})
}

func TestLateStart(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(b *fixture) {
		convey.Convey("a start that is carried out late is unclear, and listed in the end", func() {
			late := cluster.Fault{Kind: cluster.Late, Delay: 1200 * time.Millisecond}
			b.worker.SetFaults(cluster.Only(cluster.StartCall, late))
			convey.So(b.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
			await(t, b.events, func(l Listing) bool { return len(l.Running) == 2 })
			convey.So(b.cluster.Runs()[1].Late, convey.ShouldBeTrue)
		})
	})
}

func TestStopIsRetried(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(b *fixture) {
		convey.Convey("a stop is repeated until it is answered", func() {
			refusal, refused := signalled(cluster.StopCall, cluster.Fault{Kind: cluster.Refuse, Status: 503})
			b.worker.SetFaults(refusal)
			b.link.Stop(StopCommand{task(0), 1})
			<-refused
			<-refused
			b.worker.SetFaults(nil)
			convey.So(await(t, b.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
			ended := await(t, b.events, func(l Listing) bool { return len(l.Finished) == 1 })
			convey.So(ended.Finished[0].How, convey.ShouldEqual, job.OutcomeStopped)
		})
	})
}

func TestBrokenConnection(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(b *fixture) {
		convey.Convey("a connection that breaks makes the start unclear", func() {
			b.worker.SetFaults(cluster.Only(cluster.StartCall, cluster.Fault{Kind: cluster.Reset}))
			convey.So(b.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
		})
	})
}

func TestDeadWorker(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(b *fixture) {
		convey.Convey("a dead worker gets nothing", func() {
			b.worker.Leave()
			await(t, b.events, func(r ReachabilityChange) bool { return !r.Reachable })
			convey.So(b.start(startCommand(1, 1)), convey.ShouldEqual, NotSent)
		})
	})
}

func TestRefusedRenewals(t *testing.T) {
	t.Parallel()
	givenRunningTask(t, func(b *fixture) {
		convey.Convey("a single refused renewal says nothing, more do", func() {
			b.worker.SetFaults(cluster.Only(cluster.HoldCall, cluster.Fault{Kind: cluster.Refuse, Status: 503}))
			await(t, b.events, func(r ReachabilityChange) bool { return !r.Reachable })
			b.worker.SetFaults(nil)
			awaitAfter(t, b.events, 2, func(r ReachabilityChange) bool { return r.Reachable })
		})
	})
}
