// Package quota holds a tenant's quota over all nodes together. One node, the granter, has a bucket for each tenant and
// hands tokens out of it to the others, for a short time each; a node spends what it was handed, and a minimum of its own.
//
// What the bound rests on: a bucket fills only while what it holds and what was handed out and is not known to be spent
// stay within its burst. So in any W seconds no more is spent than lay anywhere at their beginning, which is a burst at
// most, and what the bucket took in, which is rate x W. What is spent but not yet known only delays the bucket, and a
// grant that is lost is lost until it has surely run out. Minimums are taken off rate and burst before anything is granted.
//
// Nothing here does I/O, reads a clock or starts a goroutine. A Purse is spent from by many goroutines at once, without
// waiting.
package quota

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// Tenant is one by its name.
type Tenant string

// GrantNumber names a grant of one granter to one node.
type GrantNumber uint64

// Quota is what a tenant may have of all nodes together, in queries.
type Quota struct {
	PerS         float64 `cbor:"1,keyasint" json:"per_s"`
	Burst        float64 `cbor:"2,keyasint" json:"burst"`
	MinimumShare float64 `cbor:"3,keyasint" json:"floor_share"` // share of it that nodes have by themselves
}

const (
	// ClockSlack is by how much the rates of two nodes' clocks may differ.
	ClockSlack = 0.01
	// FillFactor makes up for it where something fills: it does so by a clock that may run fast.
	FillFactor = 1 / (1 + ClockSlack)
	// WaitFactor makes up for it where something was handed out: that ends at the granter by a clock that may run fast, at a node by one
	// that may run slow.
	WaitFactor = (1 + ClockSlack) / (1 - ClockSlack)
	// full is the part of a second that a burst has to cover for a rate to be used in full: some requests and the news
	// of what was spent.
	minBurstSeconds = 0.5
)

// NodeMinimum is one node's minimum, of a fleet of so many: both 0 where the quota has none, or so little burst that no node
// could ever admit a whole query by it. Then nothing has to be taken off either.
func (q Quota) NodeMinimum(nodes int) (perS, burst float64) {
	n := float64(max(1, nodes))
	if burst = q.MinimumShare * q.Burst / n; burst < 1 {
		return 0, 0
	}
	return q.MinimumShare * q.PerS / n, burst
}

// Check tells what is wrong with a quota for a fleet of so many.
func (q Quota) Check(nodes int) (wrong, warn string) {
	alone, _ := q.NodeMinimum(nodes)
	switch {
	case !(q.PerS > 0) || math.IsInf(q.PerS, 0):
		return "per_s has to be more than 0", ""
	case !(q.Burst >= 1) || math.IsInf(q.Burst, 0):
		return "burst has to be 1 or more", ""
	case !(q.MinimumShare >= 0 && q.MinimumShare <= 1):
		return "floor_share is above the quota, expected 0 to 1", ""
	case q.MinimumShare > 0 && alone == 0:
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

// granteeState is one node's dealings in one tenant.
type granteeState struct {
	outstanding []outstandingGrant
	requestedAt float64 // last asked for something
}

// tenantBucket is one tenant's at the granter.
type tenantBucket struct {
	quota    Quota
	level    float64
	filledAt float64
	grantees map[membership.Name]*granteeState
}

// Request is what a node says of one tenant.
type Request struct {
	Tenant Tenant       `cbor:"1,keyasint"`
	Tokens float64      `cbor:"2,keyasint,omitempty"` // tokens more
	Spent  []GrantUsage `cbor:"3,keyasint,omitempty"` // all that it holds
}

// GrantUsage is what has become of a grant.
type GrantUsage struct {
	Number GrantNumber `cbor:"1,keyasint"`
	Spent  float64     `cbor:"2,keyasint,omitempty"`
	Closed bool        `cbor:"3,keyasint,omitempty"` // nothing more will be spent from it
}

// Grant answers an Ask.
type Grant struct {
	Tenant     Tenant      `cbor:"1,keyasint"`
	Number     GrantNumber `cbor:"2,keyasint,omitempty"`
	Tokens     float64     `cbor:"3,keyasint,omitempty"`
	RetryAfter float64     `cbor:"4,keyasint,omitempty"` // seconds until there may be more
}

// MinimumsFunc tells the sum of what nodes may have by themselves of a tenant: rates and bursts.
type MinimumsFunc func(Tenant) (perS, burst float64)

// Granter hands out, while its node may.
type Granter struct {
	lease      float64 // length of a grant, as the node counts it from its asking
	grantFrom  float64 // may grant from here on
	grantUntil float64 // and no later than here
	fillFrom   float64 // buckets fill from here on
	active     bool
	lastNumber GrantNumber
	buckets    map[Tenant]*tenantBucket
}

// activeSeconds is how long a node that asked counts among those that share what is left.
const activeSeconds = 0.5

// NewGranter makes one that may not grant yet. Grants are of so many seconds.
func NewGranter(lease float64) *Granter {
	return &Granter{lease: lease, buckets: map[Tenant]*tenantBucket{}}
}

// Begin makes this node the granter at a time: another may have been it, whose authority may last for so long and whose
// grants for a lease more, so that nothing is granted before. What would have come in meanwhile is not lost, up to a
// burst, but for the time in which the other may have counted it too. The epoch numbers grants apart from earlier ones.
func (g *Granter) Begin(now, authority float64, epoch uint64) {
	g.active, g.grantUntil, g.lastNumber = true, 0, GrantNumber(epoch<<32)
	g.fillFrom = now + authority*WaitFactor
	g.grantFrom = now + (authority+g.lease)*WaitFactor
	g.buckets = map[Tenant]*tenantBucket{}
}

// Confirm says that at a time this node was the granter for sure, so that no other grants for so long after.
func (g *Granter) Confirm(at, authority float64) { g.grantUntil = max(g.grantUntil, at+authority) }

// End makes it a granter no more.
func (g *Granter) End() { g.active, g.buckets = false, map[Tenant]*tenantBucket{} }

// MayGrant tells whether it may grant now.
func (g *Granter) MayGrant(now float64) bool {
	return g.active && now >= g.grantFrom && now < g.grantUntil
}

// ReadyAt is when it may grant at the earliest.
func (g *Granter) ReadyAt() float64 { return g.grantFrom }

// outstandingTokens is what was handed out and is not known to be spent as of the last filling, so that what runs out or is told
// meanwhile makes room only from here on.
func (b *tenantBucket) outstandingTokens() (sum float64) {
	for _, a := range b.grantees {
		for _, o := range a.outstanding {
			sum += o.tokens - o.spent
		}
	}
	return sum
}

// expireGrants lets go of grants that have surely run out or are spent, and of nodes that ask no more.
func (b *tenantBucket) expireGrants(now float64) {
	for name, a := range b.grantees {
		a.outstanding = slices.DeleteFunc(a.outstanding, func(o outstandingGrant) bool { return now >= o.until || o.spent >= o.tokens })
		if len(a.outstanding) == 0 && now-a.requestedAt > activeSeconds {
			delete(b.grantees, name)
		}
	}
}

// fill takes in what has come since the last time, up to what the burst leaves beside what was held in that time: what
// came while the bucket was full is gone, whatever became of the grants afterwards.
func (b *tenantBucket) fill(now float64, floors MinimumsFunc, tenant Tenant) {
	perS, burst := floors(tenant)
	rate, most := max(0, b.quota.PerS-perS)*FillFactor, max(0, b.quota.Burst-burst)
	b.level = max(0, min(b.level+rate*max(0, now-b.filledAt), most-b.outstandingTokens()))
	b.filledAt = max(b.filledAt, now)
}

// Take answers what a node asks of a tenant at a time; false where this node may not grant. What is told of
// grants counts either way.
func (g *Granter) Grant(now float64, from membership.Name, ask *Request, quota Quota, floors MinimumsFunc) (Grant, bool) {
	out := Grant{Tenant: ask.Tenant}
	if !g.MayGrant(now) {
		return out, false
	}
	b := g.buckets[ask.Tenant]
	if b == nil {
		b = &tenantBucket{filledAt: g.fillFrom, grantees: map[membership.Name]*granteeState{}}
		g.buckets[ask.Tenant] = b
	}
	b.quota = quota
	b.fill(now, floors, ask.Tenant)
	b.expireGrants(now)
	a := b.grantees[from]
	if a == nil {
		a = &granteeState{requestedAt: now}
		b.grantees[from] = a
	}
	b.recordUsage(a, ask.Spent)
	if ask.Tokens < 1 {
		return out, true
	}
	a.requestedAt = now
	sharers := 0.0
	for _, o := range b.grantees {
		if now-o.requestedAt <= activeSeconds {
			sharers++
		}
	}
	if n := math.Floor(min(ask.Tokens, max(b.level/max(1, sharers), min(1, b.level)))); n >= 1 {
		g.lastNumber++
		b.level -= n
		a.outstanding = append(a.outstanding, outstandingGrant{number: g.lastNumber, tokens: n, until: now + g.lease*WaitFactor})
		out.Number, out.Tokens = g.lastNumber, n
	}
	if perS, _ := floors(ask.Tenant); b.level < 1 {
		out.RetryAfter = (1 - b.level) / max(1e-6, (quota.PerS-perS)*FillFactor)
	}
	return out, true
}

// recordUsage takes what has become of grants. It only ever lessens what is outstanding, and a message that comes late or
// twice changes nothing, as spending only grows. What is left of a closed one goes back into the bucket.
func (b *tenantBucket) recordUsage(a *granteeState, grants []GrantUsage) {
	for _, s := range grants {
		for i := range a.outstanding {
			o := &a.outstanding[i]
			if o.number != s.Number {
				continue
			}
			o.spent = min(o.tokens, max(o.spent, s.Spent))
			if s.Closed {
				b.level += o.tokens - o.spent
				o.tokens = o.spent
			}
		}
	}
}
