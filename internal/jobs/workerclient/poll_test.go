package workerclient

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const oneWayDelay = 3 * time.Millisecond

// runWithTask runs a test in virtual time, with a link whose worker runs task 0 and has received a long poll.
func runWithTask(t *testing.T, delay time.Duration, test func(t *testing.T, f *fixture)) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, delay)
		defer f.close()
		f.connect(1)
		convey.Convey("Given a worker that runs a task", t, func() {
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
			time.Sleep(time.Second) // until round trips have been measured
			f.awaitRenewal()
			test(t, f)
		})
	})
}

// awaitRenewal waits until a renewal that was sent after this call is in flight.
func (f *fixture) awaitRenewal() {
	calls := f.worker.Calls(cluster.LeaseCall)
	for f.worker.Calls(cluster.LeaseCall) == calls {
		time.Sleep(time.Millisecond)
	}
	synctest.Wait() // until the worker has executed it
}

// acknowledgeAll acknowledges every completion as soon as it is received.
func (f *fixture) acknowledgeAll() {
	f.events.onListing = func(l Listing) {
		if completions := len(l.Finished); completions > 0 {
			f.link.Acknowledge(l.Finished[completions-1].CompletionNumber)
		}
	}
}

// everyNth returns a fault on every nth call of a kind.
func everyNth(n int, kind cluster.CallKind, fault cluster.Fault) func(cluster.CallKind) cluster.Fault {
	count := 0
	return func(call cluster.CallKind) cluster.Fault {
		if call != kind {
			return cluster.Fault{}
		}
		count++
		if count%n != 0 {
			return cluster.Fault{}
		}
		return fault
	}
}

// firstCalls returns a fault on the next calls of a kind.
func firstCalls(calls int, kind cluster.CallKind, fault cluster.Fault) func(cluster.CallKind) cluster.Fault {
	return func(call cluster.CallKind) cluster.Fault {
		if call != kind || calls == 0 {
			return cluster.Fault{}
		}
		calls--
		return fault
	}
}

func reportedUnreachable(f *fixture) bool {
	for _, change := range eventsOf[ReachabilityChange](f.events) {
		if !change.Reachable {
			return true
		}
	}
	return false
}

func isOutOfBand(l Listing) bool { return l.OutOfBand }

func TestOverdueRenewalIsReplacedByPoll(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		f.worker.SetFaults(firstCalls(1, cluster.LeaseCall, cluster.Fault{Kind: cluster.DelayExecution, Delay: 3 * time.Second}))
		f.awaitRenewal()
		lost := time.Now()
		poll := awaitEvent(t, f.events, isOutOfBand)
		convey.So(poll.Running, convey.ShouldHaveLength, 1)
		convey.So(poll.SentAt.Sub(lost), convey.ShouldBeBetween, longPollWait, longPollWait+minOverdueDelay+time.Millisecond)
		abandoned := time.Now()
		synctest.Wait()
		convey.So(f.link.LeasesExpiredBy(), convey.ShouldHappenAfter, abandoned.Add(maxLateExecution+testMaxLease-2*time.Second))

		f.awaitRenewal() // the next renewal follows at once
		convey.So(time.Since(abandoned), convey.ShouldBeLessThan, 10*time.Millisecond)
		convey.So(f.worker.LeaseExpiry(), convey.ShouldHappenAfter, abandoned.Add(testMaxLease-100*time.Millisecond))
		convey.So(f.worker.Finish(task(0), job.OutcomeDone), convey.ShouldBeNil)
		ended := time.Now()
		awaitEvent(t, f.events, func(l Listing) bool { return len(l.Finished) == 1 })
		convey.So(time.Since(ended), convey.ShouldBeLessThan, 10*time.Millisecond)
		convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
		convey.So(f.link.Counts().OverdueRenewals, convey.ShouldEqual, 1)
		convey.So(f.link.Counts().Polls, convey.ShouldEqual, 1)
	})
}

func TestFirstPollIsHedged(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newMemoryFixture(t, oneWayDelay)
		defer f.close()
		convey.Convey("Given a worker that does not respond to the first call", t, func() {
			f.worker.SetFaults(firstCalls(1, cluster.LeaseCall, cluster.Fault{Kind: cluster.DropCall}))
			began := time.Now()
			f.connect(1)
			listing := awaitEvent(t, f.events, anyEvent[Listing])
			convey.So(listing.First, convey.ShouldBeTrue)
			convey.So(listing.OutOfBand, convey.ShouldBeTrue)
			convey.So(f.start(startCommand(0, 1)), convey.ShouldEqual, Started)
			convey.So(time.Since(began), convey.ShouldBeLessThan, initialResponseTimeout+50*time.Millisecond)
			convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
		})
	})
}

func TestSilentWorkerIsUnreachableAfterOverdueRenewalAndPoll(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		f.worker.SetFaults(cluster.OnCallsOfKind(cluster.LeaseCall, cluster.Fault{Kind: cluster.DropCall}))
		f.awaitRenewal()
		lost := time.Now()
		awaitEvent(t, f.events, func(r ReachabilityChange) bool { return !r.Reachable })
		f.worker.SetFaults(nil)
		convey.So(time.Since(lost), convey.ShouldBeBetween, 1550*time.Millisecond, 1650*time.Millisecond)
		convey.So(f.link.Counts().Polls, convey.ShouldEqual, 1)
		awaitEventAfter(t, f.events, 2, func(r ReachabilityChange) bool { return r.Reachable })
		convey.So(time.Since(lost), convey.ShouldBeLessThan, 1850*time.Millisecond)
	})
}

func TestUnclearStartIsFollowedByPoll(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		late := cluster.Fault{Kind: cluster.DelayExecution, Delay: 5 * time.Second}
		f.worker.SetFaults(firstCalls(1, cluster.StartCall, late))
		renewals := f.link.Counts().Renewals
		sent := time.Now()
		convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
		convey.So(time.Since(sent), convey.ShouldBeLessThanOrEqualTo, minCommandTimeout)
		poll := awaitEvent(t, f.events, isOutOfBand)
		convey.So(time.Since(sent), convey.ShouldBeLessThan, minCommandTimeout+10*time.Millisecond)
		result := eventsOf[StartResult](f.events)[1]
		convey.So(poll.SentAt, convey.ShouldHappenAfter, result.At)
		convey.So(poll.Running, convey.ShouldHaveLength, 1)
		convey.So(poll.Stale, convey.ShouldBeFalse)
		convey.So(f.link.Counts().Renewals, convey.ShouldEqual, renewals) // the renewal stays in flight meanwhile
		convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, Started)

		renewal := awaitEvent(t, f.events, func(l Listing) bool {
			return !l.OutOfBand && l.SentAt.After(sent.Add(-longPollWait)) && len(l.Running) == 2
		})
		convey.So(renewal.SentAt, convey.ShouldHappenBefore, poll.SentAt)
		convey.So(renewal.Stale, convey.ShouldBeFalse) // it was answered later than the poll
		convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
	})
}

func TestNoFurtherStartIsSentToUnresponsiveWorker(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		f.worker.SetFaults(cluster.OnEveryCall(cluster.Fault{Kind: cluster.DropCall}))
		f.awaitRenewal()
		unresponsive := time.Now()
		starts := f.worker.Calls(cluster.StartCall)
		convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Unclear)
		convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, NotSent) // was held back until a poll is answered
		convey.So(f.worker.Calls(cluster.StartCall), convey.ShouldEqual, starts+1)
		convey.So(reportedUnreachable(f), convey.ShouldBeTrue)
		polls := minCommandTimeout + 2*minPollTimeout // the polls after the start
		convey.So(time.Since(unresponsive), convey.ShouldBeLessThan, polls+10*time.Millisecond)
		f.worker.SetFaults(nil)
		awaitEventAfter(t, f.events, 2, func(r ReachabilityChange) bool { return r.Reachable }) // the renewal was cancelled
		convey.So(time.Since(unresponsive), convey.ShouldBeLessThan, polls+firstBackoff+20*time.Millisecond)
	})
}

func TestLostPollIsRetried(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		f.worker.SetFaults(firstCalls(1, cluster.LeaseCall, cluster.Fault{Kind: cluster.DropCall}))
		f.link.Stop(StopCommand{task(5), 1})
		stopped := awaitEvent(t, f.events, anyEvent[StopResult])
		convey.So(stopped.Answered, convey.ShouldBeTrue)
		poll := awaitEvent(t, f.events, isOutOfBand)
		convey.So(poll.SentAt.Sub(stopped.At), convey.ShouldBeLessThan, minPollTimeout+50*time.Millisecond)
		convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
	})
}

func TestConcurrentStopsShareOnePoll(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		for i := range 10 {
			f.link.Stop(StopCommand{task(5 + i), 1})
		}
		for i := range 10 {
			awaitEvent(t, f.events, func(r StopResult) bool { return r.Command.Task == task(5+i) })
		}
		last := time.Now()
		poll := awaitEvent(t, f.events, isOutOfBand)
		convey.So(poll.SentAt, convey.ShouldHappenWithin, 2*pollMergeDelay, last)
		time.Sleep(time.Second)
		convey.So(f.link.Counts().Polls, convey.ShouldEqual, 1)
	})
}

func TestOvertakenListingIsMarkedStale(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		f.acknowledgeAll()
		f.worker.SetFaults(firstCalls(1, cluster.LeaseCall, cluster.Fault{Kind: cluster.DelayAnswer, Delay: 100 * time.Millisecond}))
		f.awaitRenewal()
		sent := time.Now()
		convey.So(f.start(startCommand(1, 1)), convey.ShouldEqual, Started)
		convey.So(f.worker.Finish(task(0), job.OutcomeDone), convey.ShouldBeNil) // the renewal is answered slowly
		time.Sleep(2 * time.Millisecond)
		convey.So(f.start(startCommand(2, 1)), convey.ShouldEqual, Started)
		f.link.Stop(StopCommand{task(5), 1})
		poll := awaitEvent(t, f.events, isOutOfBand)
		convey.So(poll.Running, convey.ShouldHaveLength, 2)
		convey.So(poll.Finished, convey.ShouldHaveLength, 1)
		convey.So(poll.Stale, convey.ShouldBeFalse)
		renewal := awaitEvent(t, f.events, func(l Listing) bool { return l.Stale })
		convey.So(renewal.OutOfBand, convey.ShouldBeFalse)
		convey.So(renewal.SentAt, convey.ShouldHappenOnOrBefore, sent)
		convey.So(renewal.Running, convey.ShouldHaveLength, 1)
		convey.So(renewal.Finished, convey.ShouldBeEmpty) // delivered before
	})
}

func TestUnacknowledgedCompletionsDoNotDelayNewOnes(t *testing.T) {
	runWithTask(t, oneWayDelay, func(t *testing.T, f *fixture) {
		for i := range 5 {
			convey.So(f.start(startCommand(i, 1)), convey.ShouldEqual, Started)
		}
		for i := range 5 { // none of them is acknowledged
			convey.So(f.worker.Finish(task(i), job.OutcomeDone), convey.ShouldBeNil)
			ended := time.Now()
			awaitEvent(t, f.events, func(l Listing) bool { return len(l.Finished) == i+1 })
			convey.So(time.Since(ended), convey.ShouldBeLessThan, repeatedCompletionsTimeout+2*oneWayDelay)
			time.Sleep(70 * time.Millisecond)
		}
		before := f.link.Counts()
		listings := len(eventsOf[Listing](f.events))
		time.Sleep(900 * time.Millisecond)
		after := f.link.Counts()
		convey.So(after.RepeatedCompletions-before.RepeatedCompletions, convey.ShouldBeBetween, 2, 8)
		convey.So(after.Renewals-before.Renewals, convey.ShouldBeBetween, 2, 8)
		for _, listing := range eventsOf[Listing](f.events)[listings:] {
			convey.So(listing.Finished, convey.ShouldBeEmpty)
		}
		awaitEventAfter(t, f.events, listings, func(l Listing) bool { return len(l.Finished) == 5 }) // delivered again after redeliveryAge
		f.link.Acknowledge(5)
		time.Sleep(time.Second)
		convey.So(f.cluster.Attempts()[4].Acknowledged, convey.ShouldBeTrue)
	})
}

func TestResponsiveWorkerGetsOneRenewalPerSecond(t *testing.T) {
	const seconds = 60
	const completions = 12
	runWithTask(t, oneWayDelay, func(_ *testing.T, f *fixture) {
		f.acknowledgeAll()
		before := f.worker.Calls(cluster.LeaseCall)
		for i := range completions {
			time.Sleep(seconds / completions * time.Second)
			convey.So(f.start(startCommand(i+1, 1)), convey.ShouldEqual, Started)
			convey.So(f.worker.Finish(task(i+1), job.OutcomeDone), convey.ShouldBeNil)
		}
		calls := f.worker.Calls(cluster.LeaseCall) - before
		convey.So(calls, convey.ShouldBeBetween, seconds-completions, seconds+completions)
		counts := f.link.Counts()
		convey.So(counts.Polls+counts.OverdueRenewals+counts.RepeatedCompletions, convey.ShouldEqual, 0)
	})
}

func TestSlowWorkerGetsNoOutOfBandPolls(t *testing.T) {
	runWithTask(t, 150*time.Millisecond, func(_ *testing.T, f *fixture) {
		time.Sleep(10 * time.Second)
		before := f.link.Counts()
		for i := range 20 {
			convey.So(f.start(startCommand(i+1, 1)), convey.ShouldEqual, Started)
		}
		time.Sleep(20 * time.Second)
		after := f.link.Counts()
		convey.So(after.Polls, convey.ShouldEqual, before.Polls)
		convey.So(after.OverdueRenewals, convey.ShouldEqual, before.OverdueRenewals)
		convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
	})
}

func TestFewLostCallsDoNotMakeWorkerUnreachable(t *testing.T) {
	const lossInterval = 20 // one of this many calls is lost
	runWithTask(t, oneWayDelay, func(_ *testing.T, f *fixture) {
		late := cluster.Fault{Kind: cluster.DelayExecution, Delay: 7 * time.Second}
		renewals, starts := everyNth(lossInterval, cluster.LeaseCall, late), everyNth(lossInterval, cluster.StartCall, late)
		f.worker.SetFaults(func(call cluster.CallKind) cluster.Fault {
			if call == cluster.LeaseCall {
				return renewals(call)
			}
			return starts(call)
		})
		outcomes := map[StartOutcome]int{}
		for i := range 200 {
			outcomes[f.start(startCommand(i+1, 1))]++
			time.Sleep(time.Second)
		}
		convey.So(outcomes, convey.ShouldResemble, map[StartOutcome]int{Started: 190, Unclear: 10})
		convey.So(reportedUnreachable(f), convey.ShouldBeFalse)
		convey.So(f.worker.Calls(cluster.LeaseCall), convey.ShouldBeLessThan, 250)
	})
}
