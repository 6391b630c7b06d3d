package fleet

import (
	"fmt"
	"math"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// trafficView is what traffic goes by. It never changes; another takes its place.
type trafficView struct {
	rules     *residency.Rules
	strict    map[policy.CustomerID]bool
	allStrict bool // every tenant is strict
	buckets   map[policy.CustomerID]*quota.Bucket
}

// maxAdmissionPause is how long a process may take from reading the clock to having spent a token. Beyond it the token may have
// run out in between, and counts as spent on nothing.
const maxAdmissionPause = 0.1

// Reasons for refusals, as the log and the counters have them.
const (
	refusedUnconfirmed = "contract_unsure"
	refusedElsewhere   = "contract_elsewhere"
	refusedQuota       = "over_quota"
)

// Admit says whether a query may be taken. It never waits: it reads a view and spends from a counter.
func (f *Fleet) Admit(customer policy.CustomerID, index policy.IndexID) (out aggregator.Verdict) {
	v, now := f.view.Load(), f.Now()
	if sure := math.Float64frombits(f.contractsConfirmedUntil.Load()); now >= sure && (v.allStrict || v.strict[customer]) {
		return aggregator.Verdict{Refused: refusedUnconfirmed, Wait: requestInterval, Text: "which zones the contract allows is not sure here at the moment"}
	}
	rule := v.rules.Of(customer, index)
	if !rule.Here {
		return aggregator.Verdict{Refused: refusedElsewhere, Text: fmt.Sprintf("the contract keeps these lookups to mixers in other zones than %q", f.settings.Location)}
	}
	if out.Zones = rule.Zones; rule.Zones != nil {
		out.Most = f.settings.MaxDeadline
	}
	if p := v.buckets[customer]; p != nil {
		taken := p.Spend(now)
		failpoint.Pass(failpoint.Spend)
		if !taken || f.Now()-now > maxAdmissionPause {
			return aggregator.Verdict{Refused: refusedQuota, Wait: min(1, p.Wait(now)), Text: "the tenant's quota is used up"}
		}
	}
	return out
}

// Called counts what a part call says of its backend.
func (f *Fleet) Called(at time.Time, backend string, how policy.Outcome, elapsed float64) {
	now := f.seconds(at)
	switch how {
	case policy.Rejected, policy.NotSent: // a full queue is its own word on itself, and no fault
		return
	}
	f.observed.RecordCall(now, outlier.Backend(backend), callEnds[how], elapsed)
	if now-f.observationsSentAt >= reportInterval {
		f.observationsSentAt = now
		f.events.Put(event{kind: callsObserved, seen: f.observed.Observations(now)})
	}
}

// callEnds says what an end of a part call is for what is observed.
var callEnds = [...]outlier.End{policy.Answered: outlier.Answered, policy.Errored: outlier.Failed, policy.Rejected: outlier.Canceled,
	policy.TimedOut: outlier.Failed, policy.NotConnected: outlier.Failed, policy.Broken: outlier.Failed, policy.Canceled: outlier.Canceled,
	policy.NotSent: outlier.Canceled}

// Listed hears which backends there are.
func (f *Fleet) Listed(places []aggregator.Place) {
	f.events.Put(event{kind: backendsListed, places: places})
}

// contractsAppliedFunc is what the module's actor calls once rules hold there; it is handed out with them.
func (f *Fleet) contractsAppliedFunc(v residency.Version) func() {
	return func() { f.events.Put(event{kind: contractsApplied, version: v}) }
}
