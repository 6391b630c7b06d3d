package fleet

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// maxAdmissionPause is how long a process may take from reading the clock to having spent a token. Beyond it the token may have
// expired in between, and counts as spent on nothing.
const maxAdmissionPause = 0.1

// Reasons for refusals, as the log and the counters have them.
const (
	refusedUnconfirmed = "contract_unsure"
	refusedElsewhere   = "contract_elsewhere"
	refusedQuota       = "over_quota"
)

// trafficView is what queries are admitted by. It is immutable; publish replaces it.
type trafficView struct {
	rules     *residency.Rules
	strict    map[policy.CustomerID]bool
	allStrict bool // every tenant is strict
	buckets   map[policy.CustomerID]*quota.Bucket
}

// admission decides on queries. Any number of goroutines may call admit; it takes no lock.
type admission struct {
	clock
	location    string
	maxDeadline float64
	view        atomic.Pointer[trafficView]
	// contractsConfirmedUntil holds the bits of a float64: until when the contracts in the view are known to be the newest.
	contractsConfirmedUntil atomic.Uint64
}

// Admit says whether a query may be accepted, and in which zones. It never waits: it reads a view and spends from a counter.
func (f *Fleet) Admit(customer policy.CustomerID, index policy.IndexID) aggregator.AdmissionDecision {
	return f.admission.admit(customer, index)
}

func (a *admission) admit(customer policy.CustomerID, index policy.IndexID) (out aggregator.AdmissionDecision) {
	view, now := a.view.Load(), a.Now()
	confirmedUntil := math.Float64frombits(a.contractsConfirmedUntil.Load())
	if now >= confirmedUntil && (view.allStrict || view.strict[customer]) {
		return aggregator.AdmissionDecision{Reason: refusedUnconfirmed, RetryAfter: requestInterval, Text: "which zones the contract allows is not sure here at the moment"}
	}
	rule := view.rules.For(customer, index)
	if !rule.MayServe {
		return aggregator.AdmissionDecision{Reason: refusedElsewhere, Text: fmt.Sprintf("the contract keeps these lookups to mixers in other zones than %q", a.location)}
	}
	if out.Zones = rule.Zones; rule.Zones != nil {
		out.MaxTimeout = a.maxDeadline
	}
	if bucket := view.buckets[customer]; bucket != nil {
		spent := bucket.Spend(now)
		failpoint.Pass(failpoint.Spend)
		if !spent || a.Now()-now > maxAdmissionPause {
			return aggregator.AdmissionDecision{Reason: refusedQuota, RetryAfter: min(1, bucket.RetryAfter(now)), Text: "the tenant's quota is used up"}
		}
	}
	return out
}

func (a *admission) setContractsConfirmedUntil(until float64) {
	a.contractsConfirmedUntil.Store(math.Float64bits(until))
}

// CallEnded records how a subquery to a backend ended: when, and how many seconds after it was sent. Only the aggregator's
// goroutine calls it.
func (f *Fleet) CallEnded(at time.Time, backend string, outcome policy.Outcome, elapsed float64) {
	if observations, due := f.calls.record(f.seconds(at), backend, outcome, elapsed); due {
		f.events.Put(event{kind: callsObserved, observations: observations})
	}
}

// BackendsChanged takes the backends that there are now.
func (f *Fleet) BackendsChanged(places []aggregator.Placement) {
	f.events.Put(event{kind: backendsListed, places: places})
}
