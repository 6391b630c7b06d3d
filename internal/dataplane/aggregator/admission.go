package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/policy"
)

// AdmissionDecision states whether a query is admitted and with which restrictions.
type AdmissionDecision struct {
	Reason     string        // code of the rejection; "" if admitted
	Text       string        // the rejection as a sentence
	RetryAfter float64       // seconds after which the client may retry; 0 for no advice
	Zones      *policy.Zones // locations that may serve the query; nil for all
	MaxTimeout float64       // maximum seconds from the admission to the answer; 0 to use only the query's own timeout
}

// Admission decides which queries are admitted and which locations may serve them. It applies quotas and contracts that
// the aggregators have agreed on. The aggregator's goroutine calls all methods. None of them may block.
type Admission interface {
	// Admit decides on a query.
	Admit(customer policy.CustomerID, index policy.IndexID) AdmissionDecision
	// CallEnded reports the end of a call to a backend, elapsed seconds after it was sent.
	CallEnded(at time.Time, backend string, outcome policy.Outcome, elapsed float64)
	// BackendsChanged reports the backends that are in the list now.
	BackendsChanged([]Placement)
}

// Placement is the cell of a backend according to the list of backends.
type Placement struct {
	Name string
	Cell policy.CellID
}

// Rules are agreed rules that apply to all queries from now on, including those in progress. Zones returns the locations
// that may serve a query; nil means all. OnApplied is called once all calls in flight comply with the rules.
type Rules struct {
	Zones     func(policy.CustomerID, policy.IndexID) *policy.Zones
	OnApplied func()
}

// PeerObservation is the latency of a backend that peers observed, as a multiple of the usual latency. It is valid for
// ValidS seconds and is used while this aggregator has few observations of its own.
type PeerObservation struct {
	Backend         string
	LatencyMultiple float64
	ValidS          float64
}

// placement is a backend's entry in the list, in the form that the admission needs.
type placement struct {
	name      string
	location  policy.LocationID
	cell      policy.CellID
	removed   bool
	relocated bool // the list has changed the location of this backend ID, so the real location is unknown
}

// admissionState is the aggregator's state for the admission.
type admissionState struct {
	admission    Admission
	placements   map[policy.BackendID]placement
	rules        *Rules                   // the latest rules until they are in force; nil otherwise
	coveredCells map[*policy.Zones][]bool // by zones: the cells whose shards have a replica inside them
	loggedAt     time.Time                // time of the latest warning about uncovered shards
}

// SetAdmission sets the admission, which decides on each query before the policy. It must be called before the first list
// of backends arrives.
func (a *Aggregator) SetAdmission(admission Admission) {
	a.admissionState = admissionState{admission: admission, placements: map[policy.BackendID]placement{}, coveredCells: map[*policy.Zones][]bool{}}
}

// admit asks the admission for a decision on a query. It answers a query that is refused.
func (a *Aggregator) admit(q *Query, now time.Time) (zones *policy.Zones, admitted bool) {
	decision := a.admissionState.admission.Admit(q.Customer, q.Index)
	if decision.Reason != "" {
		a.counters.Add("lookups", decision.Reason, 1)
		q.Done <- Reply{End: Rejected, RetryAfter: min(decision.RetryAfter, a.settings.Limits.MaxRetryAfter), Text: decision.Text}
		return nil, false
	}
	if decision.MaxTimeout > 0 {
		q.Timeout = min(q.Timeout, now.Sub(q.Arrived).Seconds()+decision.MaxTimeout)
	}
	if decision.Zones != nil {
		a.logUncovered(q, decision.Zones, now)
	}
	return decision.Zones, true
}

// logUncovered logs and counts the shards of a query that have no replica inside its zones. The policy abandons the
// subqueries of these shards at once.
func (a *Aggregator) logUncovered(query *Query, zones *policy.Zones, now time.Time) {
	covered, replicas := a.admissionState.coveredCells[zones], max(1, a.settings.Layout.Width)
	if covered == nil {
		covered = make([]bool, max(1, a.settings.Layout.Cells))
		for _, placement := range a.admissionState.placements {
			for j := range replicas {
				if cell := (int(placement.cell) - j) % len(covered); !placement.removed && !placement.relocated && zones.Allows(placement.location) {
					covered[(cell+len(covered))%len(covered)] = true
				}
			}
		}
		a.admissionState.coveredCells[zones] = covered
	}
	var shards []int
	for i := range query.Subqueries {
		if shard := int(query.Subqueries[i].Shard); !covered[shard%len(covered)] {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 {
		return
	}
	a.counters.Add("parts", "no_holder_by_contract", int64(len(shards)))
	if now.Sub(a.admissionState.loggedAt) >= time.Second { // at most one line per second
		a.admissionState.loggedAt = now
		a.logger.Warn("shards without a replica in the zones of the contract",
			zap.String("lookup", query.ID),
			zap.Int("customer", int(query.Customer)),
			zap.Ints("shards", shards),
			zap.String("reason", "no_holder_by_contract"))
	}
}

// updatePlacements records the placements of a list and reports them to the admission. A removed backend is kept until no
// call to it is in flight.
func (a *Aggregator) updatePlacements(e *Event) {
	state := &a.admissionState
	clear(state.coveredCells)
	if e.List != policy.ListPatch {
		for id, p := range state.placements {
			p.removed = true
			state.placements[id] = p
		}
	}
	for i, entry := range e.Entries {
		p, seen := state.placements[entry.Backend]
		p = placement{e.Names[i].Backend, entry.Location, entry.Cell, entry.Phase == policy.Removed, p.relocated || seen && !p.removed && p.location != entry.Location}
		state.placements[entry.Backend] = p
	}
	var list []Placement
	for id, p := range state.placements {
		if !p.removed {
			list = append(list, Placement{p.name, p.cell})
		} else if !a.hasCallsTo(id) {
			delete(state.placements, id)
		}
	}
	state.admission.BackendsChanged(list)
}

// hasCallsTo reports whether calls to a backend are in flight.
func (a *Aggregator) hasCallsTo(id policy.BackendID) bool {
	for _, c := range a.inFlight {
		if c.backend == id {
			return true
		}
	}
	return false
}

// applyOverrides adds the zones of new rules and the peers' observations to the policy's event.
func (a *Aggregator) applyOverrides(e *Event, now time.Time) {
	if e.Override == nil {
		e.Override = &policy.Overrides{}
	}
	if e.Rules != nil {
		a.admissionState.rules = e.Rules
		clear(a.admissionState.coveredCells)
		for id, q := range a.queries {
			zones := e.Rules.Zones(q.Customer, q.Index)
			e.Override.Zones = append(e.Override.Zones, policy.ZonesOverride{Query: id, Zones: zones})
		}
	}
	if len(e.PeerObservations) == 0 {
		return
	}
	ids := make(map[string]policy.BackendID, len(a.admissionState.placements))
	for id, p := range a.admissionState.placements {
		if !p.removed {
			ids[p.name] = id
		}
	}
	for _, observation := range e.PeerObservations {
		if id := ids[observation.Backend]; id != 0 {
			e.Override.PeerObservations = append(e.Override.PeerObservations, policy.PeerObservation{Backend: id, LatencyMultiple: observation.LatencyMultiple, Until: a.policyTime(now) + observation.ValidS})
		}
	}
}

// reportRulesInForce reports that the latest rules are in force, unless a call is in flight to a location that they
// exclude.
func (a *Aggregator) reportRulesInForce() {
	for _, c := range a.inFlight {
		zones := a.admissionState.rules.Zones(c.customer, c.index)
		if p := a.admissionState.placements[c.backend]; zones != nil && (p.relocated || !zones.Allows(p.location)) {
			return
		}
	}
	a.admissionState.rules.OnApplied()
	a.admissionState.rules = nil
}
