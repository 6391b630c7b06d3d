package replicaset

import "time"

// maxObservationGap is the longest time between two consecutive observations. After a longer gap this process may have been
// suspended, and missing messages then do not show that other members have failed.
const maxObservationGap = time.Second

// quorumObservation records since when a quorum has been reachable without interruption, and since when a replacement has been
// due. It reads no clock and sends nothing.
type quorumObservation struct {
	lastObserved   time.Time
	connectedSince time.Time // zero if no quorum is reachable
	dueSince       time.Time // zero if no replacement is due
}

// observe records whether a quorum is reachable now. A gap longer than maxObservationGap counts as an interruption.
func (o *quorumObservation) observe(now time.Time, connected bool) {
	if !connected || o.connectedSince.IsZero() || now.Sub(o.lastObserved) > maxObservationGap {
		o.connectedSince, o.dueSince = time.Time{}, time.Time{}
	}
	if connected && o.connectedSince.IsZero() {
		o.connectedSince = now
	}
	o.lastObserved = now
}

// recordDue records whether a replacement is due now, and returns how long it has been due.
func (o *quorumObservation) recordDue(now time.Time, due bool) time.Duration {
	if !due {
		o.dueSince = time.Time{}
		return 0
	}
	if o.dueSince.IsZero() {
		o.dueSince = now
	}
	return now.Sub(o.dueSince)
}
