package replicaset

import "time"

// maxObservationGap is the most between two observations that follow each other. After a longer one this process may have
// been frozen, and a lack of messages says nothing about the others.
const maxObservationGap = time.Second

// observation records since when a quorum has been reachable without interruption, and since when a replacement has been
// due. It reads no clock and sends nothing.
type observation struct {
	lastObserved   time.Time
	connectedSince time.Time // zero while no quorum is reachable
	dueSince       time.Time // zero while no replacement is due
}

// observe records whether a quorum is reachable now.
func (o *observation) observe(now time.Time, connected bool) {
	if !connected || o.connectedSince.IsZero() || now.Sub(o.lastObserved) > maxObservationGap {
		o.connectedSince, o.dueSince = time.Time{}, time.Time{}
	}
	if connected && o.connectedSince.IsZero() {
		o.connectedSince = now
	}
	o.lastObserved = now
}

// dueFor records whether a replacement is due now, and returns for how long it has been.
func (o *observation) dueFor(now time.Time, due bool) time.Duration {
	if !due {
		o.dueSince = time.Time{}
		return 0
	}
	if o.dueSince.IsZero() {
		o.dueSince = now
	}
	return now.Sub(o.dueSince)
}
