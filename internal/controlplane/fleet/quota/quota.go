// Package quota holds a tenant's quota over all nodes together. One node, the granter, has a bucket for each tenant and
// hands tokens out of it to the others, for a short time each; a node spends what it was handed, and a floor of its own.
//
// What the bound rests on: a bucket fills only while what it holds and what was handed out and is not known to be spent
// stay within its burst. So in any W seconds no more is spent than lay anywhere at their beginning, which is a burst at
// most, and what the bucket took in, which is rate x W. What is spent but not yet known only delays the bucket, and a
// grant that is lost is lost until it has surely run out. Floors are taken off rate and burst before anything is granted.
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

// GrantNo names a grant of one granter to one node.
type GrantNo uint64

// Quota is what a tenant may have of all nodes together, in queries.
type Quota struct {
	PerS  float64 `cbor:"1,keyasint" json:"per_s"`
	Burst float64 `cbor:"2,keyasint" json:"burst"`
	Floor float64 `cbor:"3,keyasint" json:"floor_share"` // share of it that nodes have by themselves
}

const (
	// ClockSlack is by how much the rates of two nodes' clocks may differ.
	ClockSlack = 0.01
	// Slower makes up for it where something fills: it does so by a clock that may run fast.
	Slower = 1 / (1 + ClockSlack)
	// Longer makes up for it where something was handed out: that ends at the granter by a clock that may run fast, at a node by one
	// that may run slow.
	Longer = (1 + ClockSlack) / (1 - ClockSlack)
	// full is the part of a second that a burst has to cover for a rate to be used in full: some askings and the news
	// of what was spent.
	full = 0.5
)

// Share is one node's floor, of a fleet of so many: both 0 where the quota has none, or so little burst that no node
// could ever admit a whole query by it. Then nothing has to be taken off either.
func (q Quota) Share(nodes int) (perS, burst float64) {
	n := float64(max(1, nodes))
	if burst = q.Floor * q.Burst / n; burst < 1 {
		return 0, 0
	}
	return q.Floor * q.PerS / n, burst
}

// Check tells what is wrong with a quota for a fleet of so many.
func (q Quota) Check(nodes int) (wrong, warn string) {
	alone, _ := q.Share(nodes)
	switch {
	case !(q.PerS > 0) || math.IsInf(q.PerS, 0):
		return "per_s has to be more than 0", ""
	case !(q.Burst >= 1) || math.IsInf(q.Burst, 0):
		return "burst has to be 1 or more", ""
	case !(q.Floor >= 0 && q.Floor <= 1):
		return "floor_share is above the quota, expected 0 to 1", ""
	case q.Floor > 0 && alone == 0:
		return "", "floor_share gives no mixer a whole lookup of the burst, so that one that hears nothing admits none"
	case q.Burst < full*q.PerS:
		return "", "burst is under half a second of per_s, so that less than the quota can be used"
	}
	return "", ""
}

// outstanding is a grant that may still be spent from.
type outstanding struct {
	no     GrantNo
	tokens float64
	spent  float64
	until  float64
}

// asker is one node's dealings in one tenant.
type asker struct {
	out []outstanding
	at  float64 // last asked for something
}

// bucket is one tenant's at the granter.
type bucket struct {
	quota  Quota
	level  float64
	at     float64
	askers map[membership.Name]*asker
}

// Ask is what a node says of one tenant.
type Ask struct {
	Tenant Tenant  `cbor:"1,keyasint"`
	Want   float64 `cbor:"2,keyasint,omitempty"` // tokens more
	Grants []Spent `cbor:"3,keyasint,omitempty"` // all that it holds
}

// Spent is what has become of a grant.
type Spent struct {
	No     GrantNo `cbor:"1,keyasint"`
	Spent  float64 `cbor:"2,keyasint,omitempty"`
	Closed bool    `cbor:"3,keyasint,omitempty"` // nothing more will be spent from it
}

// Grant answers an Ask.
type Grant struct {
	Tenant Tenant  `cbor:"1,keyasint"`
	No     GrantNo `cbor:"2,keyasint,omitempty"`
	Tokens float64 `cbor:"3,keyasint,omitempty"`
	Next   float64 `cbor:"4,keyasint,omitempty"` // seconds until there may be more
}

// Floors tells the sum of what nodes may have by themselves of a tenant: rates and bursts.
type Floors func(Tenant) (perS, burst float64)

// Granter hands out, while its node may.
type Granter struct {
	lease   float64 // length of a grant, as the node counts it from its asking
	from    float64 // may grant from here on
	until   float64 // and no later than here
	filling float64 // buckets fill from here on
	on      bool
	last    GrantNo
	buckets map[Tenant]*bucket
}

// fairFor is how long a node that asked counts among those that share what is left.
const fairFor = 0.5

// NewGranter makes one that may not grant yet. Grants are of so many seconds.
func NewGranter(lease float64) *Granter { return &Granter{lease: lease, buckets: map[Tenant]*bucket{}} }

// Begin makes this node the granter at a time: another may have been it, whose authority may last for so long and whose
// grants for a lease more, so that nothing is granted before. What would have come in meanwhile is not lost, up to a
// burst, but for the time in which the other may have counted it too. The epoch numbers grants apart from earlier ones.
func (g *Granter) Begin(now, authority float64, epoch uint64) {
	g.on, g.until, g.last = true, 0, GrantNo(epoch<<32)
	g.filling = now + authority*Longer
	g.from = now + (authority+g.lease)*Longer
	g.buckets = map[Tenant]*bucket{}
}

// Confirm says that at a time this node was the granter for sure, so that no other grants for so long after.
func (g *Granter) Confirm(at, authority float64) { g.until = max(g.until, at+authority) }

// End makes it a granter no more.
func (g *Granter) End() { g.on, g.buckets = false, map[Tenant]*bucket{} }

// May tells whether it may grant now.
func (g *Granter) May(now float64) bool { return g.on && now >= g.from && now < g.until }

// Ready is when it may grant at the earliest.
func (g *Granter) Ready() float64 { return g.from }

// held is what was handed out and is not known to be spent as of the last filling, so that what runs out or is told
// meanwhile makes room only from here on.
func (b *bucket) held() (sum float64) {
	for _, a := range b.askers {
		for _, o := range a.out {
			sum += o.tokens - o.spent
		}
	}
	return sum
}

// forget lets go of grants that have surely run out or are spent, and of nodes that ask no more.
func (b *bucket) forget(now float64) {
	for name, a := range b.askers {
		a.out = slices.DeleteFunc(a.out, func(o outstanding) bool { return now >= o.until || o.spent >= o.tokens })
		if len(a.out) == 0 && now-a.at > fairFor {
			delete(b.askers, name)
		}
	}
}

// fill takes in what has come since the last time, up to what the burst leaves beside what was held in that time: what
// came while the bucket was full is gone, whatever became of the grants afterwards.
func (b *bucket) fill(now float64, floors Floors, tenant Tenant) {
	perS, burst := floors(tenant)
	rate, most := max(0, b.quota.PerS-perS)*Slower, max(0, b.quota.Burst-burst)
	b.level = max(0, min(b.level+rate*max(0, now-b.at), most-b.held()))
	b.at = max(b.at, now)
}

// Take answers what a node asks of a tenant at a time; false where this node may not grant. What is told of
// grants counts either way.
func (g *Granter) Take(now float64, from membership.Name, ask *Ask, quota Quota, floors Floors) (Grant, bool) {
	out := Grant{Tenant: ask.Tenant}
	if !g.May(now) {
		return out, false
	}
	b := g.buckets[ask.Tenant]
	if b == nil {
		b = &bucket{at: g.filling, askers: map[membership.Name]*asker{}}
		g.buckets[ask.Tenant] = b
	}
	b.quota = quota
	b.fill(now, floors, ask.Tenant)
	b.forget(now)
	a := b.askers[from]
	if a == nil {
		a = &asker{at: now}
		b.askers[from] = a
	}
	b.hear(a, ask.Grants)
	if ask.Want < 1 {
		return out, true
	}
	a.at = now
	sharers := 0.0
	for _, o := range b.askers {
		if now-o.at <= fairFor {
			sharers++
		}
	}
	if n := math.Floor(min(ask.Want, max(b.level/max(1, sharers), min(1, b.level)))); n >= 1 {
		g.last++
		b.level -= n
		a.out = append(a.out, outstanding{no: g.last, tokens: n, until: now + g.lease*Longer})
		out.No, out.Tokens = g.last, n
	}
	if perS, _ := floors(ask.Tenant); b.level < 1 {
		out.Next = (1 - b.level) / max(1e-6, (quota.PerS-perS)*Slower)
	}
	return out, true
}

// hear takes what has become of grants. It only ever lessens what is outstanding, and a message that comes late or
// twice changes nothing, as spending only grows. What is left of a closed one goes back into the bucket.
func (b *bucket) hear(a *asker, grants []Spent) {
	for _, s := range grants {
		for i := range a.out {
			o := &a.out[i]
			if o.no != s.No {
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
