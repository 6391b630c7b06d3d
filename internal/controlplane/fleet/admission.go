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

// maxAdmissionPause is the longest time, in seconds, that may pass between reading the clock and spending a token. After a
// longer pause the token may have expired before it was spent: the query is refused, and the token is lost.
const maxAdmissionPause = 0.1

// Reasons for refusing a query, as they appear in the log and in the counters.
const (
	reasonContractsUnconfirmed = "contract_unsure"
	reasonOtherLocation        = "contract_elsewhere"
	reasonOverQuota            = "over_quota"
)

// trafficView is the state that queries are admitted by. It is immutable: publishTrafficView replaces it as a whole.
type trafficView struct {
	rules     *residency.Rules
	strict    map[policy.CustomerID]bool // tenants that are refused while the contracts are not confirmed
	allStrict bool                       // every tenant is strict
	buckets   map[policy.CustomerID]*quota.Bucket
}

// admission decides whether queries are accepted. Its admit method takes no lock, and any number of goroutines may call it.
type admission struct {
	clock
	location    string
	maxDeadline float64
	view        atomic.Pointer[trafficView]
	// contractsConfirmedUntil is the time until which the contracts in the view are known to be the newest, as the bits of a
	// float64.
	contractsConfirmedUntil atomic.Uint64
}

// Admit decides whether a query is accepted, and which zones may serve it. It never blocks: it reads the current view and
// spends a token from a local counter.
func (f *Fleet) Admit(customer policy.CustomerID, index policy.IndexID) aggregator.AdmissionDecision {
	return f.admission.admit(customer, index)
}

func (a *admission) admit(customer policy.CustomerID, index policy.IndexID) (decision aggregator.AdmissionDecision) {
	view, now := a.view.Load(), a.Now()
	confirmedUntil := math.Float64frombits(a.contractsConfirmedUntil.Load())
	if now >= confirmedUntil && (view.allStrict || view.strict[customer]) {
		return aggregator.AdmissionDecision{Reason: reasonContractsUnconfirmed, RetryAfter: requestInterval, Text: "which zones the contract allows is not sure here at the moment"}
	}
	rule := view.rules.For(customer, index)
	if !rule.MayServe {
		return aggregator.AdmissionDecision{Reason: reasonOtherLocation, Text: fmt.Sprintf("the contract keeps these lookups to mixers in other zones than %q", a.location)}
	}
	if decision.Zones = rule.Zones; rule.Zones != nil {
		decision.MaxTimeout = a.maxDeadline
	}
	if bucket := view.buckets[customer]; bucket != nil {
		spent := bucket.Spend(now)
		failpoint.Pass(failpoint.Spend)
		if !spent || a.Now()-now > maxAdmissionPause {
			return aggregator.AdmissionDecision{Reason: reasonOverQuota, RetryAfter: min(1, bucket.RetryAfter(now)), Text: "the tenant's quota is used up"}
		}
	}
	return decision
}

func (a *admission) setContractsConfirmedUntil(until float64) {
	a.contractsConfirmedUntil.Store(math.Float64bits(until))
}

// CallEnded records the outcome of a subquery to a backend, the time at which it ended, and the seconds that it took. Only the
// aggregator's goroutine may call it.
func (f *Fleet) CallEnded(at time.Time, backend string, outcome policy.Outcome, elapsed float64) {
	if observations, due := f.calls.record(f.seconds(at), backend, outcome, elapsed); due {
		f.events.Put(event{kind: callsObserved, observations: observations})
	}
}

// BackendsChanged replaces the list of backends.
func (f *Fleet) BackendsChanged(placements []aggregator.Placement) {
	f.events.Put(event{kind: backendsChanged, placements: placements})
}
