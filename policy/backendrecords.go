package policy

import (
	"math"
	"slices"
)

// Records of backends: the list, overrides, and when they were last alive.

// runOverridden tells whether operators override anything of b.
func (b *backend) overridden() bool { return b.overrides != nil }

// override is what operators override of b for an index.
func (b *backend) override(index IndexID) indexOverride {
	if b.overrides == nil {
		return indexOverride{weight: 1}
	}
	return b.overrides[index]
}

// allows tells whether a query's zones allow a backend. One that changed its location under its number may stand anywhere.
func (q *query) allows(b *backend) bool {
	return q.zones == nil || !b.relocated && q.zones.Allows(b.location)
}

// peerLatencyMultiple is the latency of b that peers observed, in usual latencies; 0 without a valid observation.
func (a *Aggregator) peerLatencyMultiple(b *backend) float64 {
	if a.now >= b.peerLatency.at {
		return 0
	}
	return b.peerLatency.value
}

// pin is the pin that applies to sub; nil without one, or where a pin of a smaller share leaves sub out. It is looked up
// once between two changes of pins or of the list.
func (a *Aggregator) pin(sub *subquery) *PinOverride {
	if sub.pinsVersion != a.pinsVersion {
		sub.pinsVersion, sub.pin = a.pinsVersion, nil
		if pin := a.pins[pinKey{sub.shard, sub.query.index}]; pin != nil && sub.draw < pin.Share {
			sub.pin, sub.pinBackend = pin, a.backends[pin.Backend]
		}
	}
	return sub.pin
}

// recordStart records a start of b, which begins a new slow start.
func (a *Aggregator) recordStart(b *backend, at float64) {
	b.started, b.slowStartWork, b.draw = max(b.started, at), b.slowStartWork[:0], a.random.unit()
}

// workSince sums the work sent to a backend in slow start since a time.
func (b *backend) workSince(from float64) (work float64) {
	for _, w := range b.slowStartWork {
		if w.at > from {
			work += w.work
		}
	}
	return work
}

// removeBackends marks, where all is set, all backends as removed, before a complete list names those that are not. It
// drops the records of backends that were removed before and that nothing refers to any more.
func (a *Aggregator) removeBackends(all bool) {
	a.pinsVersion++
	forgotten := func(b *backend) bool { return b.removed && len(b.calls) == 0 && b.callsPending == 0 }
	for _, b := range a.fleet {
		if forgotten(b) {
			delete(a.backends, b.id)
		}
	}
	a.fleet = slices.DeleteFunc(a.fleet, forgotten)
	for c := range a.holdersByCell {
		a.holdersByCell[c] = slices.DeleteFunc(a.holdersByCell[c], forgotten)
	}
	for _, b := range a.fleet {
		b.ready, b.removed = b.ready && !all, b.removed || all
	}
}

// applyEntry records an entry of the list, and tells whether its backend is new.
func (a *Aggregator) applyEntry(entry *Entry) (b *backend, isNew bool) {
	if b = a.backends[entry.Backend]; b == nil {
		b, isNew = a.addBackend(entry), true
	}
	b.ready, b.removed, b.relocated = entry.Phase == Ready, entry.Phase == Removed, b.relocated || b.location != entry.Location
	return b, isNew
}

// usable tells whether a backend is ready and not known to be unreachable.
func usable(b *backend) bool { return b.ready && b.unreachableBackoff == 0 }

// expectAnswer records that a call or probe was sent, for detectSilence.
func (b *backend) expectAnswer(now float64) {
	if b.unansweredSince == 0 {
		b.unansweredSince = now
	}
}

// recordAlive records an answer to a call or a probe.
func (b *backend) recordAlive(now float64) {
	b.aliveAt, b.unansweredSince, b.probeFailed, b.connectFailed, b.unreachableBackoff, b.unreachableUntil = now, 0, false, false, 0, 0
}

// addBackend records a backend that is listed for the first time.
func (a *Aggregator) addBackend(entry *Entry) *backend {
	if a.locationFaults[entry.Location] == nil {
		a.locationFaults[entry.Location] = make([]decayingMean, len(a.indexes))
	}
	b := &backend{id: entry.Backend, location: entry.Location, started: math.Inf(-1), window: windowStart,
		faults: make([]decayingMean, len(a.indexes)), locationFaults: a.locationFaults[entry.Location]}
	a.backends[b.id] = b
	a.fleet = append(a.fleet, b)
	cells := a.settings.Layout.Cells
	for j := range a.settings.Layout.Width {
		c := ((int(entry.Cell)-j)%cells + cells) % cells
		a.holdersByCell[c] = append(a.holdersByCell[c], b)
	}
	return b
}

// meanLatency is the mean latency of the backends that count and have answered, or else its last value. Without answers
// it decays to the usual latency: else a moment in which all were slow would reject all queries for good, as no answer
// would ever come in again.
func (a *Aggregator) meanLatency(counts func(*backend) bool) float64 {
	sum, n, latestAt := 0.0, 0.0, 0.0
	for _, b := range a.fleet {
		if b.latency > 0 && counts(b) {
			sum, n, latestAt = sum+b.latency, n+1, max(latestAt, b.latencyAt)
		}
	}
	if n == 0 {
		return a.averageLatency
	}
	return a.usualLatency + decaying{sum/n - a.usualLatency, latestAt}.valueAt(a.now, estimateMemory*a.longestSoft)
}

// holdersOf lists the backends that hold a replica of a subquery's shard.
func (a *Aggregator) holdersOf(sub *subquery) []*backend {
	return a.holdersByCell[int(sub.shard)%len(a.holdersByCell)]
}
