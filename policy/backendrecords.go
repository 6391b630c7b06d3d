package policy

import (
	"math"
	"slices"
)

// Records of backends: the list, overrides, and the times of their last answers.

// hasOverrides reports whether operators override anything of b.
func (b *backend) hasOverrides() bool { return b.overrides != nil }

// overrideFor returns the operators' override of b for an index.
func (b *backend) overrideFor(index IndexID) indexOverride {
	if b.overrides == nil {
		return indexOverride{weight: 1}
	}
	return b.overrides[index]
}

// allows reports whether a query's zones allow a backend. Zones never allow a backend whose listed location has changed, as
// its true location is uncertain.
func (q *query) allows(b *backend) bool {
	return q.zones == nil || !b.relocated && q.zones.Allows(b.location)
}

// peerLatencyMultiple returns the latency of b that peers observed, as a multiple of the average latency. It returns 0 without
// a valid observation.
func (a *Aggregator) peerLatencyMultiple(b *backend) float64 {
	if a.now >= b.peerLatency.at {
		return 0
	}
	return b.peerLatency.value
}

// pinFor returns the pin that applies to sub. It returns nil if there is none or if sub is not in the pin's share. The result
// is cached until pins or the list change.
func (a *Aggregator) pinFor(sub *subquery) *PinOverride {
	if sub.pinsVersion != a.pinsVersion {
		sub.pinsVersion, sub.pin = a.pinsVersion, nil
		if pin := a.pins[pinKey{sub.shard, sub.query.index}]; pin != nil && sub.draw < pin.Share {
			sub.pin, sub.pinnedBackend = pin, a.backends[pin.Backend]
		}
	}
	return sub.pin
}

// recordStart records a start of b and begins a new slow start.
func (a *Aggregator) recordStart(b *backend, at float64) {
	b.startedAt, b.slowStartWork, b.draw = max(b.startedAt, at), b.slowStartWork[:0], a.random.uniform()
}

// workSince returns the work sent since a time to a backend in slow start.
func (b *backend) workSince(from float64) (work float64) {
	for _, w := range b.slowStartWork {
		if w.at > from {
			work += w.work
		}
	}
	return work
}

// removeBackends prepares for a change of the list. It deletes the records of backends that were removed before and have no
// calls left. Before a complete list it also marks all backends as removed; the entries of the list then restore theirs.
func (a *Aggregator) removeBackends(complete bool) {
	a.pinsVersion++
	removable := func(b *backend) bool { return b.removed && len(b.calls) == 0 && b.callsPending == 0 }
	for _, b := range a.orderedBackends {
		if removable(b) {
			delete(a.backends, b.id)
		}
	}
	a.orderedBackends = slices.DeleteFunc(a.orderedBackends, removable)
	for c := range a.replicasByCell {
		a.replicasByCell[c] = slices.DeleteFunc(a.replicasByCell[c], removable)
	}
	for _, b := range a.orderedBackends {
		b.ready, b.removed = b.ready && !complete, b.removed || complete
	}
}

// applyEntry records an entry of the list. It returns the backend and reports whether it is new.
func (a *Aggregator) applyEntry(entry *Entry) (b *backend, isNew bool) {
	if b = a.backends[entry.Backend]; b == nil {
		b, isNew = a.addBackend(entry), true
	}
	b.ready, b.removed, b.relocated = entry.Phase == Ready, entry.Phase == Removed, b.relocated || b.location != entry.Location
	return b, isNew
}

// usable reports whether a backend is ready and not known to be unreachable.
func usable(b *backend) bool { return b.ready && b.unreachableBackoff == 0 }

// expectAnswer records that a call or probe was sent, for detectUnresponsive.
func (b *backend) expectAnswer(now float64) {
	if b.unansweredSince == 0 {
		b.unansweredSince = now
	}
}

// recordAlive records an answer to a call or a probe.
func (b *backend) recordAlive(now float64) {
	b.aliveAt, b.unansweredSince, b.probeFailed, b.connectFailed, b.unreachableBackoff, b.unreachableUntil = now, 0, false, false, 0, 0
}

// addBackend records a backend that the list contains for the first time.
func (a *Aggregator) addBackend(entry *Entry) *backend {
	if a.locationFaults[entry.Location] == nil {
		a.locationFaults[entry.Location] = make([]decayingMean, len(a.indexes))
	}
	b := &backend{id: entry.Backend, location: entry.Location, startedAt: math.Inf(-1), window: initialWindow,
		faults: make([]decayingMean, len(a.indexes)), locationFaults: a.locationFaults[entry.Location]}
	a.backends[b.id] = b
	a.orderedBackends = append(a.orderedBackends, b)
	cells := a.settings.Layout.Cells
	for j := range a.settings.Layout.Width {
		c := ((int(entry.Cell)-j)%cells + cells) % cells
		a.replicasByCell[c] = append(a.replicasByCell[c], b)
	}
	return b
}

// meanLatency returns the mean latency of the included backends that have answered. Without such backends, it returns the
// last average.
//
// The mean decays to the median latency while there are no answers. Otherwise a short overload could reject all queries
// forever: an aggregator that rejects all queries gets no answers, so the mean would never fall again.
func (a *Aggregator) meanLatency(include func(*backend) bool) float64 {
	sum, n, latestAt := 0.0, 0.0, 0.0
	for _, b := range a.orderedBackends {
		if b.latency > 0 && include(b) {
			sum, n, latestAt = sum+b.latency, n+1, max(latestAt, b.latencyUpdatedAt)
		}
	}
	if n == 0 {
		return a.averageLatency
	}
	return a.medianLatency + decaying{sum/n - a.medianLatency, latestAt}.valueAt(a.now, estimateDecay*a.longestSoftDeadline)
}

// replicasOf returns the backends that hold a replica of a subquery's shard.
func (a *Aggregator) replicasOf(sub *subquery) []*backend {
	return a.replicasByCell[int(sub.shard)%len(a.replicasByCell)]
}
