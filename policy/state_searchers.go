package policy

import (
	"math"
	"slices"
)

// Records of backends: naming, overrides, signs of life.

// overridden tells whether some weight is on s.
func (b *backend) overridden() bool { return b.overrides != nil }

// scope tells what operators override of s for an index.
func (b *backend) override(index IndexID) indexOverride {
	if b.overrides == nil {
		return indexOverride{weight: 1}
	}
	return b.overrides[index]
}

// allows tells whether a backend stands where a query may go. One that changed its location under its number may
// stand anywhere.
func (q *query) allows(b *backend) bool {
	return q.zones == nil || !b.relocated && q.zones.Allows(b.location)
}

// peerLatencyMultiple is how many times the usual latency others found at s, 0 if none did of late.
func (a *Aggregator) peerLatencyMultiple(b *backend) float64 {
	if a.now >= b.peerLatency.at {
		return 0
	}
	return b.peerLatency.value
}

// pin tells where operators pin p, nil if they do not or it is among those that a waning pin leaves. It is looked up
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

// recordStart notes a start of s, which empties the records of what it was sent while cold.
func (a *Aggregator) recordStart(b *backend, at float64) {
	b.started, b.slowStartWork, b.draw = max(b.started, at), b.slowStartWork[:0], a.random.unit()
}

// workSince sums the work sent since a time.
func (b *backend) workSince(from float64) (work float64) {
	for _, w := range b.slowStartWork {
		if w.at > from {
			work += w.work
		}
	}
	return work
}

// removeBackends takes all backends as gone, before a whole list names those that are not. Those that were gone before
// and that nothing refers to any more are forgotten.
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

// applyEntry notes what the list says of a backend, and whether it says so for the first time.
func (a *Aggregator) applyEntry(entry *Entry) (b *backend, isNew bool) {
	if b = a.backends[entry.Backend]; b == nil {
		b, isNew = a.addBackend(entry), true
	}
	b.ready, b.removed, b.relocated = entry.Phase == Ready, entry.Phase == Removed, b.relocated || b.location != entry.Location
	return b, isNew
}

// usable: ready, and in reach as far as is known.
func usable(b *backend) bool { return b.ready && b.unreachableBackoff == 0 }

func (b *backend) expectAnswer(now float64) {
	if b.unansweredSince == 0 {
		b.unansweredSince = now
	}
}

// recordAlive notes a sign of life.
func (b *backend) recordAlive(now float64) {
	b.aliveAt, b.unansweredSince, b.probeFailed, b.connectFailed, b.unreachableBackoff, b.unreachableUntil = now, 0, false, false, 0, 0
}

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

// meanLatency is that of the backends heard that count, or else what it last was. While none of them is heard it fades to what is
// usual: else a bad moment in which all took long turned queries away for good, and nobody was heard again.
func (a *Aggregator) meanLatency(counts func(*backend) bool) float64 {
	sum, n, lastHeard := 0.0, 0.0, 0.0
	for _, b := range a.fleet {
		if b.latency > 0 && counts(b) {
			sum, n, lastHeard = sum+b.latency, n+1, max(lastHeard, b.latencyAt)
		}
	}
	if n == 0 {
		return a.averageLatency
	}
	return a.usualLatency + decaying{sum/n - a.usualLatency, lastHeard}.valueAt(a.now, estimateMemory*a.longestSoft)
}

func (a *Aggregator) holdersOf(sub *subquery) []*backend {
	return a.holdersByCell[int(sub.shard)%len(a.holdersByCell)]
}
