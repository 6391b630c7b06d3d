package policy

// Overrides is a change of the operators' overrides. Overrides that it does not mention stay in effect. Drains, removals
// and the six rules take precedence over overrides.
//
// Decisions shared by all aggregators use the same type. Zones take precedence over all overrides. An aggregator's own
// observations take precedence over those of its peers.
type Overrides struct {
	Backends         []BackendOverride
	Pins             []PinOverride
	Zones            []ZonesOverride
	PeerObservations []PeerObservation
}

// BackendOverride replaces the override of one backend and index. It ends when the backend is removed. A backend that the
// list contains again needs a new override.
type BackendOverride struct {
	Backend  BackendID
	Index    IndexID
	Excluded bool    // the backend gets no new calls; calls in flight continue
	Weight   float64 // share of the backend's usual calls, above 0 and at most 1
}

// PinOverride replaces the pin of one shard of one index.
type PinOverride struct {
	Shard   ShardID
	Index   IndexID
	Backend BackendID // 0 to remove the pin
	Strict  bool      // subqueries are rejected while the backend is unreachable; without it, siblings serve them
	Share   float64   // share of the subqueries that the pin applies to; below 1 while a pin is phased out
}

// Zones is the set of locations that may serve a query. It must not be modified once it is in use.
type Zones struct{ allowed map[LocationID]bool }

// NewZones returns an empty set.
func NewZones() *Zones { return &Zones{map[LocationID]bool{}} }

// Allow adds a location to the set.
func (z *Zones) Allow(at LocationID) { z.allowed[at] = true }

// Allows reports whether the set contains a location. A nil set contains all locations.
func (z *Zones) Allows(at LocationID) bool { return z == nil || z.allowed[at] }

// ZonesOverride changes the zones of a query that was received before.
type ZonesOverride struct {
	Query QueryID
	Zones *Zones
}

// PeerObservation is what other aggregators observed of a backend. Until it expires, it raises the average latency assumed
// for the backend. That average counts while an aggregator has few observations of its own.
type PeerObservation struct {
	Backend         BackendID
	LatencyMultiple float64 // multiple of the average latency; 0 withdraws the observation
	Until           float64 // clock time at which the observation expires
}
