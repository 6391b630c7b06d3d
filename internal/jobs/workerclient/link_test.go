package workerclient

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// coresPerTask returns cluster settings in which a task with index i needs i+1 cores.
func coresPerTask() cluster.Settings {
	return cluster.Settings{TaskProfile: func(task job.TaskID, _ string) cluster.Profile {
		return cluster.Profile{Resources: job.Resources{Processors: int64(1000 * (1 + task.Index))}, WritesCheckpoints: true}
	}}
}

func TestStartOutcomes(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a worker with four cores that enforces its capacity", t, func() {
		f := newFixture(t, coresPerTask(), cluster.WorkerConfig{EnforcesCapacity: true, Capacity: job.Resources{Processors: 4000}})
		convey.Reset(f.close)
		awaitReturn := f.connect(7)
		first := awaitEvent(t, f.events, anyEvent[Listing])
		convey.So(first.First, convey.ShouldBeTrue)

		convey.Convey("a start is answered, also if the worker has the attempt already", func() {
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
			convey.So(f.cluster.Attempts(), convey.ShouldHaveLength, 1)
			convey.So(f.cluster.Attempts()[0].FencingToken, convey.ShouldEqual, 7)
		})
		convey.Convey("a task that exceeds the capacity is rejected", func() {
			convey.So(f.start(startCommand(4, 1)), convey.ShouldEqual, RejectedCapacity)
		})
		convey.Convey("an attempt that was stopped before its start arrived is rejected as stale", func() {
			f.link.Stop(StopCommand{task(1), 3})
			stopped := awaitEvent(t, f.events, anyEvent[StopResult])
			convey.So(stopped.Answered, convey.ShouldBeTrue)
			convey.So(f.start(startCommand(1, 3)), convey.ShouldEqual, RejectedStaleAttempt)
			convey.So(f.start(startCommand(1, 4)), convey.ShouldEqual, Started)
		})
		convey.Convey("a command that the worker cannot parse is invalid", func() {
			convey.So(f.start(StartCommand{Task: job.TaskID{Job: "a.b"}, AttemptNumber: 1}), convey.ShouldEqual, RejectedInvalid)
		})
		convey.Convey("an unhealthy worker executes nothing", func() {
			f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StartCall, cluster.Fault{Kind: cluster.Reject, Status: 503}))
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, RejectedUnhealthy)
			f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StartCall, cluster.Fault{Kind: cluster.Reject, Status: 429}))
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, RejectedUnhealthy)
			convey.So(f.cluster.Attempts(), convey.ShouldBeEmpty)
		})
		convey.Convey("any other status is unclear", func() {
			f.worker.SetFaults(cluster.OnCallsOfKind(cluster.StartCall, cluster.Fault{Kind: cluster.Reject, Status: 500}))
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Unclear)
		})
		convey.Convey("a start without a valid leader lease is not sent", func() {
			f.leaderLeaseExpired.Store(true)
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, NotSent)
			convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, 0)
			f.link.Stop(StopCommand{task(1), 1})
			f.leaderLeaseExpired.Store(false)
			convey.So(awaitEvent(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeTrue)
		})
		convey.Convey("a crash ends the link", func() {
			f.worker.Crash("i-2")
			awaitEvent(t, f.events, anyEvent[WorkerReplaced])
			awaitReturn()
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, IncarnationEnded)
		})
		convey.Convey("a higher fencing token ends the link", func() {
			old := f.link
			f.connect(8)
			awaitEvent(t, f.events, anyEvent[FencingTokenRejected])
			convey.So(len(eventsOf[FencingTokenRejected](f.events)), convey.ShouldEqual, 1)
			f.link, old = old, f.link
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, RejectedFencingToken)
			f.link = old
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
		})
		convey.Convey("a closed link sends nothing and reports every command", func() {
			f.link.Close()
			awaitReturn()
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, NotSent)
			f.link.Stop(StopCommand{task(0), 1})
			convey.So(awaitEvent(t, f.events, anyEvent[StopResult]).Answered, convey.ShouldBeFalse)
		})
	})
}

func TestResponseOutcomes(t *testing.T) {
	t.Parallel()
	convey.Convey("Every response to a start has an outcome", t, func() {
		conflict := func(conflictReason reason) workerResponse {
			return workerResponse{http.StatusConflict, responseBody{Reason: conflictReason}}
		}
		convey.So(responseOutcome(conflict(reasonLeaseExpired)), convey.ShouldEqual, RejectedLeaseExpired)
		convey.So(responseOutcome(conflict(reasonFencingToken)), convey.ShouldEqual, RejectedFencingToken)
		convey.So(responseOutcome(conflict("new")), convey.ShouldEqual, Unclear)
		convey.So(responseOutcome(workerResponse{status: http.StatusMisdirectedRequest}), convey.ShouldEqual, IncarnationEnded)
		convey.So(StartOutcome(200).String(), convey.ShouldEqual, "unknown")
		convey.So(RejectedCapacity.String(), convey.ShouldEqual, "rejected: room")
	})
}

func TestListingsReportAttemptsAndCompletions(t *testing.T) {
	t.Parallel()
	convey.Convey("Given attempts on a worker", t, func() {
		f := newFixture(t, coresPerTask(), cluster.WorkerConfig{})
		convey.Reset(f.close)
		f.connect(1)
		const text = "quotes \" and \\ and \n and <ü> \u2028"
		started := StartCommand{task(0), 1, text, "00000bb8"}
		convey.So(f.start(started), convey.ShouldEqual, Started)
		convey.So(f.start(startCommand(1, 5)), convey.ShouldEqual, Started)

		convey.Convey("text and checkpoint arrive unchanged", func() {
			record := f.cluster.Attempts()[0]
			convey.So(record.Specification, convey.ShouldEqual, text)
			convey.So(record.Checkpoint, convey.ShouldEqual, "00000bb8")
		})
		convey.Convey("attempts are listed, and a completion is listed at once", func() {
			both := awaitEvent(t, f.events, func(l Listing) bool { return len(l.Running) == 2 })
			convey.So(both.Running[0].Task, convey.ShouldEqual, task(0))
			convey.So(both.Running[1].AttemptNumber, convey.ShouldEqual, 5)
			convey.So(both.Running[0].Checkpoint, convey.ShouldEqual, "00000bb8")
			convey.So(f.worker.Finish(task(1), job.OutcomeFailed), convey.ShouldBeNil)
			listed := awaitEvent(t, f.events, func(l Listing) bool { return len(l.Finished) == 1 })
			convey.So(listed.Finished[0].CompletionNumber, convey.ShouldEqual, 1)
			convey.So(listed.Finished[0].Outcome, convey.ShouldEqual, job.OutcomeFailed)
			convey.So(listed.Partial, convey.ShouldBeFalse)

			convey.Convey("repeatedly until it is acknowledged", func() {
				seen := len(eventsOf[Listing](f.events))
				awaitEventAfter(t, f.events, seen, func(l Listing) bool { return len(l.Finished) == 1 })
				f.link.Acknowledge(1)
				acknowledged := time.Now()
				next := awaitEvent(t, f.events, func(l Listing) bool { return l.SentAt.After(acknowledged) })
				convey.So(next.Finished, convey.ShouldBeEmpty)
				convey.So(f.cluster.Attempts()[1].Acknowledged, convey.ShouldBeTrue)
			})
		})
		convey.Convey("listings other than those of polls arrive in the order of their requests, and events arrive one at a time", func() {
			for range 3 {
				awaitEvent(t, f.events, anyEvent[Listing])
				f.link.Stop(StopCommand{task(0), 1})
			}
			awaitEventAfter(t, f.events, 3, anyEvent[Listing])
			listings := eventsOf[Listing](f.events)
			listings = slices.DeleteFunc(listings, func(l Listing) bool { return l.OutOfBand })
			for i, listing := range listings[1:] {
				convey.So(listing.SentAt, convey.ShouldHappenOnOrAfter, listings[i].SentAt)
				convey.So(listing.First, convey.ShouldBeFalse)
			}
			convey.So(f.events.concurrent.Load(), convey.ShouldBeFalse)
		})
	})
}

func TestCompletionsBeyondOneResponseAreAllReceived(t *testing.T) {
	t.Parallel()
	convey.Convey("Given more completions than one response lists", t, func() {
		f := newFixture(t, cluster.Settings{}, cluster.WorkerConfig{})
		convey.Reset(f.close)
		f.events.onListing = func(l Listing) {
			if completions := len(l.Finished); completions > 0 {
				f.link.Acknowledge(l.Finished[completions-1].CompletionNumber)
			}
		}
		f.connect(1)
		const runs = maxFinishedPerResponse + 20
		for i := range runs {
			f.link.Start(startCommand(i, 1))
		}
		for i := range runs {
			awaitEvent(t, f.events, func(r StartResult) bool { return r.Command.Task == task(i) && r.Outcome == Started })
		}
		f.worker.SetFaults(cluster.OnCallsOfKind(cluster.LeaseCall, cluster.Fault{Kind: cluster.Reject, Status: 503}))
		for i := range runs {
			convey.So(f.worker.Finish(task(i), job.OutcomeDone), convey.ShouldBeNil)
		}
		f.worker.SetFaults(nil)
		convey.Convey("all are received, and a full page is marked as partial", func() {
			last := func(l Listing) bool { n := len(l.Finished); return n > 0 && l.Finished[n-1].CompletionNumber == runs }
			awaitEvent(t, f.events, last)
			received := map[uint64]bool{}
			for _, listing := range eventsOf[Listing](f.events) {
				convey.So(listing.Partial, convey.ShouldEqual, len(listing.Finished) == maxFinishedPerResponse)
				for _, end := range listing.Finished {
					received[end.CompletionNumber] = true
				}
			}
			convey.So(received, convey.ShouldHaveLength, runs)
		})
		convey.Convey("few connections are used", func() {
			convey.So(f.worker.Connections(), convey.ShouldBeLessThanOrEqualTo, maxConnectionsPerWorker)
		})
	})
}

func TestLink(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a link to an idle worker", t, func() {
		f := newFixture(t, cluster.Settings{}, cluster.WorkerConfig{ClockRate: 0.98, ClockStart: 5 * time.Hour})
		convey.Reset(f.close)
		convey.Convey("no lease is granted before the first listing, and then the lease is renewed", func() {
			f.connect(1)
			awaitEvent(t, f.events, anyEvent[Listing])
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
			granted := f.worker.LeaseExpiry()
			awaitEventAfter(t, f.events, len(eventsOf[Listing](f.events))+2, anyEvent[Listing])
			convey.So(f.worker.LeaseExpiry(), convey.ShouldHappenAfter, granted)
			convey.So(f.link.LeasesExpiredBy(), convey.ShouldHappenOnOrAfter, f.worker.LeaseExpiry())
		})
		convey.Convey("one connection is opened for renewals and few for commands", func() {
			f.connect(1)
			for i := range 50 {
				convey.So(f.start(startCommand(i, 1)), convey.ShouldEqual, Started)
			}
			convey.So(f.worker.Connections(), convey.ShouldBeLessThanOrEqualTo, 3)
		})
		convey.Convey("a start that waits for a lease is not sent if the leader lease expires before", func() {
			f.events.onListing = func(Listing) { f.leaderLeaseExpired.Store(true) }
			f.connect(1)
			awaitEvent(t, f.events, anyEvent[Listing])
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, NotSent)
		})
		convey.Convey("without a leader lease no call is sent", func() {
			f.leaderLeaseExpired.Store(true)
			awaitReturn := f.connect(1)
			f.link.Start(startCommand(0, 1))
			f.link.Close()
			awaitReturn()
			convey.So(awaitEvent(t, f.events, anyEvent[StartResult]).Outcome, convey.ShouldEqual, NotSent)
			convey.So(f.worker.Calls(cluster.LeaseCall), convey.ShouldEqual, 0)
			convey.So(f.link.LeasesExpiredBy().IsZero(), convey.ShouldBeTrue)
		})
	})
}
