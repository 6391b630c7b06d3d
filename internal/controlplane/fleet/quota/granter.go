// Package quota enforces the quota of a tenant over all nodes of a fleet together. One node, the granter, has a token bucket
// for each tenant and leases tokens from it to the nodes. A node spends the tokens that it was granted. It may also spend a
// minimum of its own, which needs no grant.
//
// The package guarantees that a tenant spends at most burst + rate x W tokens in any W seconds. The granter fills a bucket only
// as long as its level and its outstanding tokens (granted, and not known to be spent) together stay within the burst. So at
// the start of the W seconds there is at most one burst of tokens in the whole fleet, and rate x W are added until their end.
// Tokens that are spent and not yet reported only delay the filling. A grant that is lost counts as outstanding until it has
// certainly expired. The minimums of all nodes are subtracted from rate and burst before anything is granted.
//
// Granter is the side of the granter, and Client the side of each node. Queries spend from a Bucket, which many goroutines may
// use at once without blocking. The package does no I/O, reads no clock and starts no goroutine. Times are in seconds.
package quota

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// Tenant is the name of a tenant.
type Tenant string

// GrantNumber identifies a grant.
type GrantNumber uint64

// Quota limits the queries of a tenant at all nodes together.
type Quota struct {
	Rate         float64 `cbor:"1,keyasint" json:"per_s"`
	Burst        float64 `cbor:"2,keyasint" json:"burst"`
	MinimumShare float64 `cbor:"3,keyasint" json:"floor_share"` // share of rate and burst that the nodes may spend without grants
}

const (
	// MaxClockDrift is how much the rates of the clocks of two nodes may differ, as a fraction.
	MaxClockDrift = 0.01
	// FillFactor slows the filling of token buckets, because the clock that they are filled by may run fast.
	FillFactor = 1 / (1 + MaxClockDrift)
	// WaitFactor lengthens the time after which a granter counts a lease as expired. The clock of the granter may run fast, while
	// the clock of the node that holds the lease may run slow.
	WaitFactor = (1 + MaxClockDrift) / (1 - MaxClockDrift)
	// minBurstSeconds is how many seconds of the rate a burst has to cover so that the rate can be used in full. In this time
	// nodes send some requests, with their reports of what was spent.
	minBurstSeconds = 0.5
)

// NodeMinimum returns what each of the nodes may spend without a grant. Both results are 0 if the quota has no minimum, or if
// the burst of a node would be less than one query, so that it could never admit one. The granter then reserves nothing for it.
func (q Quota) NodeMinimum(nodes int) (rate, burst float64) {
	n := float64(max(1, nodes))
	if burst = q.MinimumShare * q.Burst / n; burst < 1 {
		return 0, 0
	}
	return q.MinimumShare * q.Rate / n, burst
}

// Check validates a quota for a number of nodes. It returns an error text, or a warning for the operator; both are empty if the
// quota is fine.
func (q Quota) Check(nodes int) (problem, warning string) {
	minimum, _ := q.NodeMinimum(nodes)
	switch {
	case !(q.Rate > 0) || math.IsInf(q.Rate, 0):
		return "per_s has to be more than 0", ""
	case !(q.Burst >= 1) || math.IsInf(q.Burst, 0):
		return "burst has to be 1 or more", ""
	case !(q.MinimumShare >= 0 && q.MinimumShare <= 1):
		return "floor_share is above the quota, expected 0 to 1", ""
	case q.MinimumShare > 0 && minimum == 0:
		return "", "floor_share gives no mixer a whole lookup of the burst, so that one that hears nothing admits none"
	case q.Burst < minBurstSeconds*q.Rate:
		return "", "burst is under half a second of per_s, so that less than the quota can be used"
	}
	return "", ""
}

// outstandingGrant is a grant that may still be spent from.
type outstandingGrant struct {
	number    GrantNumber
	tokens    float64
	spent     float64
	expiresAt float64
}

// granteeState is what the granter knows of one tenant at one node.
type granteeState struct {
	outstanding []outstandingGrant
	requestedAt float64 // when the node last asked for tokens
}

// tenantBucket is the token bucket of one tenant at the granter.
type tenantBucket struct {
	quota    Quota
	level    float64
	filledAt float64
	grantees map[membership.Name]*granteeState
}

// Request is what a node requests and reports for one tenant.
type Request struct {
	Tenant Tenant       `cbor:"1,keyasint"`
	Tokens float64      `cbor:"2,keyasint,omitempty"` // how many further tokens the node needs
	Usages []GrantUsage `cbor:"3,keyasint,omitempty"` // usage of all grants that the node holds, and of closed ones
}

// GrantUsage reports how much of a grant is spent.
type GrantUsage struct {
	Number GrantNumber `cbor:"1,keyasint"`
	Spent  float64     `cbor:"2,keyasint,omitempty"`
	Closed bool        `cbor:"3,keyasint,omitempty"` // nothing more will be spent from it
}

// Grant is the response to a Request. Tokens is 0 if nothing is granted.
type Grant struct {
	Tenant     Tenant      `cbor:"1,keyasint"`
	Number     GrantNumber `cbor:"2,keyasint,omitempty"`
	Tokens     float64     `cbor:"3,keyasint,omitempty"`
	RetryAfter float64     `cbor:"4,keyasint,omitempty"` // seconds until there may be more tokens
}

// MinimumsFunc returns the sum over all nodes of what they may spend of the quota of a tenant without a grant.
type MinimumsFunc func(Tenant) (rate, burst float64)

// Granter grants tokens while no other node can. It must be used by one goroutine only.
type Granter struct {
	lease      float64 // how long a grant lasts after its request was sent
	grantFrom  float64 // no grants before this time
	grantUntil float64 // no grants from this time on
	fillFrom   float64 // buckets fill from this time on
	active     bool
	lastNumber GrantNumber
	buckets    map[Tenant]*tenantBucket
}

// activeSeconds is how long a node is counted among the nodes that share the available tokens after it asked for some.
const activeSeconds = 0.5

// NewGranter returns a granter that may not grant yet. A grant expires lease seconds after its request was sent.
func NewGranter(lease float64) *Granter {
	return &Granter{lease: lease, buckets: map[Tenant]*tenantBucket{}}
}

// Begin makes this node the granter at the time now. The previous granter may still grant for authority seconds, and its grants
// last one lease length longer. This one grants nothing until both are over. The buckets fill, up to a burst, from the time at
// which the previous granter can no longer grant the same tokens. The numbers of the grants contain the term, so that they
// differ from those of earlier granters.
func (g *Granter) Begin(now, authority float64, term uint64) {
	g.active, g.grantUntil, g.lastNumber = true, 0, GrantNumber(term<<32)
	g.fillFrom = now + authority*WaitFactor
	g.grantFrom = now + (authority+g.lease)*WaitFactor
	g.buckets = map[Tenant]*tenantBucket{}
}

// Confirm records that this node was the granter at a time. No other node can grant in the authority seconds after it.
func (g *Granter) Confirm(at, authority float64) { g.grantUntil = max(g.grantUntil, at+authority) }

// End makes this node stop granting, and discards its buckets.
func (g *Granter) End() { g.active, g.buckets = false, map[Tenant]*tenantBucket{} }

// MayGrant reports whether this node may grant at the time now.
func (g *Granter) MayGrant(now float64) bool {
	return g.active && now >= g.grantFrom && now < g.grantUntil
}

// ReadyAt returns the earliest time at which this node may grant.
func (g *Granter) ReadyAt() float64 { return g.grantFrom }

// outstandingTokens returns the number of tokens that are granted and not known to be spent. fill calls it before expired grants
// and new reports are processed, so that these make room only for tokens that are added later.
func (b *tenantBucket) outstandingTokens() (sum float64) {
	for _, grantee := range b.grantees {
		for _, grant := range grantee.outstanding {
			sum += grant.tokens - grant.spent
		}
	}
	return sum
}

// expireGrants removes grants that have certainly expired or are spent, and nodes without grants that no longer ask for tokens.
func (b *tenantBucket) expireGrants(now float64) {
	for name, grantee := range b.grantees {
		grantee.outstanding = slices.DeleteFunc(grantee.outstanding, func(o outstandingGrant) bool { return now >= o.expiresAt || o.spent >= o.tokens })
		if len(grantee.outstanding) == 0 && now-grantee.requestedAt > activeSeconds {
			delete(b.grantees, name)
		}
	}
}

// fill adds the tokens that accrued since the last call. The level stays within the burst less the tokens that were outstanding
// in that time. Tokens that accrued while the bucket was full are lost, even if outstanding grants expire afterwards.
func (b *tenantBucket) fill(now float64, minimums MinimumsFunc, tenant Tenant) {
	minimumRate, minimumBurst := minimums(tenant)
	rate, capacity := max(0, b.quota.Rate-minimumRate)*FillFactor, max(0, b.quota.Burst-minimumBurst)
	b.level = max(0, min(b.level+rate*max(0, now-b.filledAt), capacity-b.outstandingTokens()))
	b.filledAt = max(b.filledAt, now)
}

// Grant returns the response to the request of a node, or false if this node may not grant. Nodes that ask at the same time get
// equal shares of the available tokens. A granter records the reported usage even if it grants no tokens.
func (g *Granter) Grant(now float64, from membership.Name, request *Request, quota Quota, minimums MinimumsFunc) (Grant, bool) {
	grant := Grant{Tenant: request.Tenant}
	if !g.MayGrant(now) {
		return grant, false
	}
	bucket := g.buckets[request.Tenant]
	if bucket == nil {
		bucket = &tenantBucket{filledAt: g.fillFrom, grantees: map[membership.Name]*granteeState{}}
		g.buckets[request.Tenant] = bucket
	}
	bucket.quota = quota
	bucket.fill(now, minimums, request.Tenant)
	bucket.expireGrants(now)
	grantee := bucket.grantees[from]
	if grantee == nil {
		grantee = &granteeState{requestedAt: now}
		bucket.grantees[from] = grantee
	}
	bucket.recordUsage(grantee, request.Usages)
	if request.Tokens < 1 {
		return grant, true
	}
	grantee.requestedAt = now
	activeNodes := 0.0
	for _, other := range bucket.grantees {
		if now-other.requestedAt <= activeSeconds {
			activeNodes++
		}
	}
	if granted := math.Floor(min(request.Tokens, max(bucket.level/max(1, activeNodes), min(1, bucket.level)))); granted >= 1 {
		g.lastNumber++
		bucket.level -= granted
		grantee.outstanding = append(grantee.outstanding, outstandingGrant{number: g.lastNumber, tokens: granted, expiresAt: now + g.lease*WaitFactor})
		grant.Number, grant.Tokens = g.lastNumber, granted
	}
	if minimumRate, _ := minimums(request.Tenant); bucket.level < 1 {
		grant.RetryAfter = (1 - bucket.level) / max(1e-6, (quota.Rate-minimumRate)*FillFactor)
	}
	return grant, true
}

// recordUsage records reports of what was spent. A report can only decrease the number of outstanding tokens. A late or repeated
// report changes nothing, because the spent amount of a grant never decreases. The remaining tokens of a closed grant are
// returned to the bucket.
func (b *tenantBucket) recordUsage(grantee *granteeState, usages []GrantUsage) {
	for _, usage := range usages {
		for i := range grantee.outstanding {
			grant := &grantee.outstanding[i]
			if grant.number != usage.Number {
				continue
			}
			grant.spent = min(grant.tokens, max(grant.spent, usage.Spent))
			if usage.Closed {
				b.level += grant.tokens - grant.spent
				grant.tokens = grant.spent
			}
		}
	}
}
