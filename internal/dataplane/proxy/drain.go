package proxy

import "time"

// Times of a drain.
const (
	drainSpan    = 3 * time.Second        // new requests are served that long at most
	drainReserve = 2 * time.Second        // of the grace period, not used for new requests
	emptySpan    = time.Second            // without a connection for so long, the drain ends
	answerSpan   = 500 * time.Millisecond // for the answers to requests that are given up
	killReserve  = 500 * time.Millisecond // of the grace period, not used at all
)

// drain serves on after the request to stop: until no connection has been open for a while or the span for new requests
// is over. Then it stops accepting, and ends once the requests under way are answered; those that take too long are
// given up, so that they still get an answer. A connection counts as busy until its answer was handed to the operating system, which
// sends it also after the process has ended.
func drain(tracker *connectionTracker, stopAccepting, giveUpRequests func(), gracePeriod time.Duration, now func() time.Time) {
	begun := now()
	span := min(drainSpan, gracePeriod-drainReserve)
	waitUntil(tracker, begun.Add(span), func(o occupancy) (done bool, again time.Time) {
		if o.open > 0 {
			return false, time.Time{}
		}
		emptyFrom := o.emptyFrom
		if emptyFrom.Before(begun) {
			emptyFrom = begun
		}
		end := emptyFrom.Add(emptySpan)
		return !now().Before(end), end
	}, now)
	stopAccepting()
	tracker.closeIdle()
	noneBusy := func(o occupancy) (bool, time.Time) { return o.busy == 0, time.Time{} }
	waitUntil(tracker, begun.Add(gracePeriod-killReserve-answerSpan), noneBusy, now)
	giveUpRequests()
	waitUntil(tracker, begun.Add(gracePeriod-killReserve), noneBusy, now)
}

// waitUntil waits for a condition on the connections, but not beyond a time. The condition may name a time at which
// it is to be evaluated again though no connection has changed.
func waitUntil(tracker *connectionTracker, latest time.Time, condition func(occupancy) (bool, time.Time), now func() time.Time) {
	for {
		occupancy := tracker.occupancy()
		done, again := condition(occupancy)
		if done || !now().Before(latest) {
			return
		}
		if again.IsZero() || again.After(latest) {
			again = latest
		}
		timer := time.NewTimer(again.Sub(now()))
		select {
		case <-occupancy.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
