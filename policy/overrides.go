package policy

// Overrides is a change of operators' overrides; what it does not name stays. Drains, removals and the six rules take
// precedence over overrides.
//
// What aggregators agree on comes the same way: zones take precedence over all overrides, and everything that an
// aggregator observes itself over its peers' observations.
type Overrides struct {
	Backends         []BackendOverride
	Pins             []PinOverride
	Zones            []ZonesOverride
	PeerObservations []PeerObservation
}

// BackendOverride is the complete override of one backend and index from now on. It ends when the backend is removed: if
// the list names it anew, the override has to be given anew.
type BackendOverride struct {
	Backend  BackendID
	Index    IndexID
	Excluded bool    // it gets no new calls; calls in flight go on
	Weight   float64 // share of its usual calls, over 0 and up to 1
}

// PinOverride is the complete pin of one shard of one index from now on.
type PinOverride struct {
	Shard   ShardID
	Index   IndexID
	Backend BackendID // 0 to remove the pin
	Strict  bool      // while the backend is unreachable, subqueries are refused; else its siblings serve them
	Share   float64   // of the subqueries that it applies to; below 1 while a pin is phased out
}

// Zones is the set of locations that may serve a query. It must not be changed once it is in use.
type Zones struct{ in map[LocationID]bool }

// NewZones makes an empty set.
func NewZones() *Zones { return &Zones{map[LocationID]bool{}} }

// Allow adds a location.
func (z *Zones) Allow(at LocationID) { z.in[at] = true }

// Allows tells whether a location is in the set; a nil set has all.
func (z *Zones) Allows(at LocationID) bool { return z == nil || z.in[at] }

// ZonesOverride changes the zones of a query that was received before.
type ZonesOverride struct {
	Query QueryID
	Zones *Zones
}

// PeerObservation is what other aggregators observed of a backend. Until its time it stands in for the average latency,
// which counts while an aggregator has few observations of its own.
type PeerObservation struct {
	Backend         BackendID
	LatencyMultiple float64 // of the usual latency; 0 withdraws the observation
	Until           float64 // clock time
}
