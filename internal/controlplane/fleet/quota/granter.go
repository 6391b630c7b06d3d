// Package quota enforces a tenant's quota over all nodes together. One node, the granter, has a token bucket for each tenant
// and leases tokens out of it to the others; a node spends what it was granted, and a minimum of its own that needs no grant.
//
// The bound: a bucket fills only while its level and the tokens that are granted and not known to be spent stay within its
// burst. So in any W seconds no more is spent than was anywhere at their beginning, which is a burst at most, and what the
// bucket took in, which is rate x W. What is spent and not yet reported only delays the filling, and a grant that is lost
// counts until it has surely expired. Minimums are subtracted from rate and burst before anything is granted.
//
// Granter is the granter's side, Client that of each node, and Bucket what its queries spend from, from many goroutines at
// once and without waiting. Nothing here does I/O, reads a clock or starts a goroutine; times are seconds.
package quota

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// Tenant is a tenant's name.
type Tenant string

// GrantNumber identifies a grant of one granter to one node.
type GrantNumber uint64

// Quota is how many queries a tenant may have at all nodes together.
type Quota struct {
	PerS         float64 `cbor:"1,keyasint" json:"per_s"`
	Burst        float64 `cbor:"2,keyasint" json:"burst"`
	MinimumShare float64 `cbor:"3,keyasint" json:"floor_share"` // share of it that nodes have without grants
}

const (
	// ClockSlack is by how much the rates of two nodes' clocks may differ.
	ClockSlack = 0.01
	// FillFactor slows what fills, as that may go by a clock that runs fast.
	FillFactor = 1 / (1 + ClockSlack)
	// WaitFactor lengthens the wait for what was granted to expire: it expires at the granter by a clock that may run fast, at
	// the node by one that may run slow.
	WaitFactor = (1 + ClockSlack) / (1 - ClockSlack)
	// minBurstSeconds is for how many seconds of its rate a burst has to last for the rate to be used in full: some requests,
	// and the reports of what was spent.
	minBurstSeconds = 0.5
)

// NodeMinimum is what each of so many nodes may spend without a grant: both 0 where the quota has no minimum, or so little
// burst that no node could ever admit a whole query by it. Then nothing has to be reserved for it either.
func (q Quota) NodeMinimum(nodes int) (perS, burst float64) {
	n := float64(max(1, nodes))
	if burst = q.MinimumShare * q.Burst / n; burst < 1 {
		return 0, 0
	}
	return q.MinimumShare * q.PerS / n, burst
}

// Check tells what is wrong with a quota for so many nodes, or what an operator is to be warned of.
func (q Quota) Check(nodes int) (problem, warning string) {
	minimum, _ := q.NodeMinimum(nodes)
	switch {
	case !(q.PerS > 0) || math.IsInf(q.PerS, 0):
		return "per_s has to be more than 0", ""
	case !(q.Burst >= 1) || math.IsInf(q.Burst, 0):
		return "burst has to be 1 or more", ""
	case !(q.MinimumShare >= 0 && q.MinimumShare <= 1):
		return "floor_share is above the quota, expected 0 to 1", ""
	case q.MinimumShare > 0 && minimum == 0:
		return "", "floor_share gives no mixer a whole lookup of the burst, so that one that hears nothing admits none"
	case q.Burst < minBurstSeconds*q.PerS:
		return "", "burst is under half a second of per_s, so that less than the quota can be used"
	}
	return "", ""
}

// outstandingGrant is a grant that may still be spent from.
type outstandingGrant struct {
	number GrantNumber
	tokens float64
	spent  float64
	until  float64
}

// granteeState is what the granter knows of one node and one tenant.
type granteeState struct {
	outstanding []outstandingGrant
	requestedAt float64 // when it last asked for tokens
}

// tenantBucket is one tenant's token bucket at the granter.
type tenantBucket struct {
	quota    Quota
	level    float64
	filledAt float64
	grantees map[membership.Name]*granteeState
}

// Request is what a node says of one tenant.
type Request struct {
	Tenant Tenant       `cbor:"1,keyasint"`
	Tokens float64      `cbor:"2,keyasint,omitempty"` // further ones that it needs
	Spent  []GrantUsage `cbor:"3,keyasint,omitempty"` // of all grants that it has
}

// GrantUsage reports how much of a grant is spent.
type GrantUsage struct {
	Number GrantNumber `cbor:"1,keyasint"`
	Spent  float64     `cbor:"2,keyasint,omitempty"`
	Closed bool        `cbor:"3,keyasint,omitempty"` // nothing more will be spent from it
}

// Grant answers a Request.
type Grant struct {
	Tenant     Tenant      `cbor:"1,keyasint"`
	Number     GrantNumber `cbor:"2,keyasint,omitempty"`
	Tokens     float64     `cbor:"3,keyasint,omitempty"`
	RetryAfter float64     `cbor:"4,keyasint,omitempty"` // seconds until there may be more
}

// MinimumsFunc sums what nodes may spend of a tenant's quota without a grant.
type MinimumsFunc func(Tenant) (perS, burst float64)

// Granter grants tokens while no other node can. One goroutine uses it.
type Granter struct {
	lease      float64 // length of a grant, from the sending of its request
	grantFrom  float64 // no grant before
	grantUntil float64 // no grant from here on
	fillFrom   float64 // buckets fill from here on
	active     bool
	lastNumber GrantNumber
	buckets    map[Tenant]*tenantBucket
}

// activeSeconds is how long a node that asked for tokens counts among those that share what there is.
const activeSeconds = 0.5

// NewGranter makes one that may not grant yet. Grants last for lease seconds.
func NewGranter(lease float64) *Granter {
	return &Granter{lease: lease, buckets: map[Tenant]*tenantBucket{}}
}

// Begin makes this node the granter at a time. The one before may act for authority seconds more, and its grants last a lease
// longer, so that nothing is granted before. What the buckets take in meanwhile is not lost, up to a burst, but for the time
// in which the one before may have granted it too. Grants are numbered by the term, apart from earlier ones.
func (g *Granter) Begin(now, authority float64, term uint64) {
	g.active, g.grantUntil, g.lastNumber = true, 0, GrantNumber(term<<32)
	g.fillFrom = now + authority*WaitFactor
	g.grantFrom = now + (authority+g.lease)*WaitFactor
	g.buckets = map[Tenant]*tenantBucket{}
}

// Confirm says that this node was the granter at a time, so that no other grants in the authority seconds after it.
func (g *Granter) Confirm(at, authority float64) { g.grantUntil = max(g.grantUntil, at+authority) }

// End stops it from granting.
func (g *Granter) End() { g.active, g.buckets = false, map[Tenant]*tenantBucket{} }

// MayGrant tells whether it may grant now.
func (g *Granter) MayGrant(now float64) bool {
	return g.active && now >= g.grantFrom && now < g.grantUntil
}

// ReadyAt is the earliest time at which it may grant.
func (g *Granter) ReadyAt() float64 { return g.grantFrom }

// outstandingTokens is what is granted and not known to be spent as of the last filling, so that what expires or is reported
// meanwhile makes room only from here on.
func (b *tenantBucket) outstandingTokens() (sum float64) {
	for _, grantee := range b.grantees {
		for _, grant := range grantee.outstanding {
			sum += grant.tokens - grant.spent
		}
	}
	return sum
}

// expireGrants forgets grants that have surely expired or are spent, and nodes that ask no more.
func (b *tenantBucket) expireGrants(now float64) {
	for name, grantee := range b.grantees {
		grantee.outstanding = slices.DeleteFunc(grantee.outstanding, func(o outstandingGrant) bool { return now >= o.until || o.spent >= o.tokens })
		if len(grantee.outstanding) == 0 && now-grantee.requestedAt > activeSeconds {
			delete(b.grantees, name)
		}
	}
}

// fill takes in what has come since the last time, up to what the burst leaves beside the outstanding tokens of that time:
// what came while the bucket was full is gone, whatever became of the grants afterwards.
func (b *tenantBucket) fill(now float64, minimums MinimumsFunc, tenant Tenant) {
	perS, burst := minimums(tenant)
	rate, capacity := max(0, b.quota.PerS-perS)*FillFactor, max(0, b.quota.Burst-burst)
	b.level = max(0, min(b.level+rate*max(0, now-b.filledAt), capacity-b.outstandingTokens()))
	b.filledAt = max(b.filledAt, now)
}

// Grant answers a node's request at a time; false where this node may not grant. Nodes that ask at the same time share evenly
// what there is. The reported usage counts whether or not a grant results.
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
	bucket.recordUsage(grantee, request.Spent)
	if request.Tokens < 1 {
		return grant, true
	}
	grantee.requestedAt = now
	sharers := 0.0
	for _, other := range bucket.grantees {
		if now-other.requestedAt <= activeSeconds {
			sharers++
		}
	}
	if n := math.Floor(min(request.Tokens, max(bucket.level/max(1, sharers), min(1, bucket.level)))); n >= 1 {
		g.lastNumber++
		bucket.level -= n
		grantee.outstanding = append(grantee.outstanding, outstandingGrant{number: g.lastNumber, tokens: n, until: now + g.lease*WaitFactor})
		grant.Number, grant.Tokens = g.lastNumber, n
	}
	if perS, _ := minimums(request.Tenant); bucket.level < 1 {
		grant.RetryAfter = (1 - bucket.level) / max(1e-6, (quota.PerS-perS)*FillFactor)
	}
	return grant, true
}

// recordUsage takes reports of what was spent. It only ever lessens what is outstanding, and a late or repeated report
// changes nothing, as spending only grows. What is left of a closed grant goes back into the bucket.
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
