package proxy

import "time"

// Time limits of a drain.
const (
	maxDrainAcceptTime     = 3 * time.Second        // maximum time during which new requests are still served
	drainCompletionReserve = 2 * time.Second        // part of the grace period in which no new requests are served
	drainIdleTime          = time.Second            // accepting stops once no connection was open for this long
	canceledAnswerTime     = 500 * time.Millisecond // time to send the answers of canceled requests
	killMargin             = 500 * time.Millisecond // unused end of the grace period, before the process is killed
)

// drain shuts the proxy down within the grace period.
//
// First, new connections and requests are still served, until no connection has been open for drainIdleTime or the time
// for new requests is over. Then drain stops accepting connections, closes idle ones and waits for the requests in progress. Requests that
// take too long are canceled, so that their clients still get an answer.
//
// A connection counts as busy until its answer has been passed to the operating system, which sends it even if the
// process has exited.
func drain(tracker *connectionTracker, stopAccepting, cancelRequests func(), gracePeriod time.Duration, now func() time.Time) {
	started := now()
	acceptTime := min(maxDrainAcceptTime, gracePeriod-drainCompletionReserve)
	waitUntil(tracker, started.Add(acceptTime), func(o occupancy) (done bool, recheckAt time.Time) {
		if o.open > 0 {
			return false, time.Time{}
		}
		emptyFrom := o.emptySince
		if emptyFrom.Before(started) {
			emptyFrom = started
		}
		idleEnd := emptyFrom.Add(drainIdleTime)
		return !now().Before(idleEnd), idleEnd
	}, now)
	stopAccepting()
	tracker.closeIdle()
	noneBusy := func(o occupancy) (bool, time.Time) { return o.busy == 0, time.Time{} }
	waitUntil(tracker, started.Add(gracePeriod-killMargin-canceledAnswerTime), noneBusy, now)
	cancelRequests()
	waitUntil(tracker, started.Add(gracePeriod-killMargin), noneBusy, now)
}

// waitUntil waits for a condition on the connections, at most until the deadline. The condition is evaluated after each
// change of a connection. It may also return a time at which it is evaluated again without such a change.
func waitUntil(tracker *connectionTracker, deadline time.Time, condition func(occupancy) (bool, time.Time), now func() time.Time) {
	for {
		occupancy := tracker.occupancy()
		done, recheckAt := condition(occupancy)
		if done || !now().Before(deadline) {
			return
		}
		if recheckAt.IsZero() || recheckAt.After(deadline) {
			recheckAt = deadline
		}
		timer := time.NewTimer(recheckAt.Sub(now()))
		select {
		case <-occupancy.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
