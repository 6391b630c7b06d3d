package quota

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	slotCount = 4 // grants that a bucket has at once: one being spent, one in reserve, and two that expire
	// aheadSeconds is for how long of its demand a node has tokens: two requests and a response, each of which may get lost.
	aheadSeconds = 0.5
	// spareFactor times that may be left over before a node gives a grant back.
	spareFactor = 2
	// demandDecaySeconds is the time constant with which past demand is forgotten.
	demandDecaySeconds = 0.5
	// clockGrain is the rounding of Unix seconds in a float64: without it a minimum of one query would never admit it.
	clockGrain = 1e-6
	// maxUsageReports is how many grants one Request reports on.
	maxUsageReports = 2 * slotCount
)

// slot is a grant that is spent from. Whoever decrements remaining from above 0 has a token.
type slot struct {
	number    GrantNumber
	tokens    int64
	remaining atomic.Int64
	until     float64
}

// minimum is what a node may spend without a grant.
type minimum struct{ perS, burst float64 }

// Bucket is one tenant's at one node. Any goroutine may spend from it, without a lock; only the Client's fills it.
type Bucket struct {
	slots   [slotCount]atomic.Pointer[slot]
	minimum atomic.Pointer[minimum]
	// minimumFullAt is the time at which the minimum's bucket will be full, as bits of a float64: the form of a token bucket
	// that one compare-and-swap spends from (the generic cell rate algorithm, ITU-T I.371).
	minimumFullAt atomic.Uint64
	requested     atomic.Int64 // queries that asked for a token
	rejected      atomic.Int64 // queries that got none
	retryAt       atomic.Uint64
}

// newBucket starts with an empty minimum: the process before this one may just have spent all of it.
func newBucket(now, perS, burst float64) *Bucket {
	b := &Bucket{}
	b.setMinimum(now, perS, burst)
	return b
}

func (b *Bucket) setMinimum(now, perS, burst float64) {
	if current := b.minimum.Load(); current != nil && *current == (minimum{perS, burst}) {
		return
	}
	b.minimumFullAt.Store(math.Float64bits(math.Inf(1)))
	b.minimum.Store(&minimum{perS, burst})
	if perS > 0 {
		b.minimumFullAt.Store(math.Float64bits(now + burst/(perS*FillFactor)))
	}
}

// Spend takes a token at a time; false if there is none.
func (b *Bucket) Spend(now float64) bool {
	b.requested.Add(1)
	for i := range b.slots {
		if s := b.slots[i].Load(); s != nil && now < s.until && s.remaining.Load() > 0 && s.remaining.Add(-1) >= 0 {
			return true
		}
	}
	if b.spendMinimum(now) {
		return true
	}
	b.rejected.Add(1)
	return false
}

func (b *Bucket) spendMinimum(now float64) bool {
	minimum := b.minimum.Load()
	if minimum.perS <= 0 || minimum.burst < 1 {
		return false
	}
	rate := minimum.perS * FillFactor
	for {
		before := b.minimumFullAt.Load()
		full := max(now, math.Float64frombits(before)) + 1/rate
		if full-now > minimum.burst/rate+clockGrain {
			return false
		}
		if b.minimumFullAt.CompareAndSwap(before, math.Float64bits(full)) {
			return true
		}
	}
}

// Wait is in how many seconds there may be a token again: by the minimum, or sooner by what the granter said.
func (b *Bucket) Wait(now float64) float64 {
	wait := math.Inf(1)
	if minimum := b.minimum.Load(); minimum.perS > 0 && minimum.burst >= 1 {
		wait = max(0, math.Float64frombits(b.minimumFullAt.Load())-(minimum.burst-1)/(minimum.perS*FillFactor)-now)
	}
	if retryAt := math.Float64frombits(b.retryAt.Load()); retryAt > 0 {
		wait = min(wait, max(0, retryAt-now))
	}
	return wait
}

// Demand tells how many queries asked for a token, and how many of them got none.
func (b *Bucket) Demand() (requested, rejected int64) { return b.requested.Load(), b.rejected.Load() }

// closedGrant is a grant that nothing more is spent from, until the granter has acknowledged its report.
type closedGrant struct {
	GrantUsage
	until      float64
	reportedIn uint64 // number of the first request that reported it, 0 for none
}

// account is what the client knows of one bucket.
type account struct {
	bucket    *Bucket
	quota     Quota
	requested int64
	rejected  int64
	updatedAt float64
	demand    float64 // queries a second
	closed    []closedGrant
}

// Client fills the buckets of one node, from the grants that it asks for. One goroutine uses it.
type Client struct {
	lease    float64
	nodes    int
	accounts map[Tenant]*account
	order    []Tenant
}

// NewClient makes one of a fleet of so many nodes; grants last for lease seconds from the sending of the request.
func NewClient(lease float64, nodes int) *Client {
	return &Client{lease: lease, nodes: nodes, accounts: map[Tenant]*account{}}
}

// Set takes the quotas that apply from now on, and returns the buckets by tenant. A tenant without a quota loses its bucket.
func (c *Client) Set(now float64, quotas map[Tenant]Quota) map[Tenant]*Bucket {
	buckets := make(map[Tenant]*Bucket, len(quotas))
	for tenant, q := range quotas {
		perS, burst := q.NodeMinimum(c.nodes)
		a := c.accounts[tenant]
		if a == nil {
			a = &account{bucket: newBucket(now, perS, burst), updatedAt: now}
			c.accounts[tenant] = a
		}
		a.bucket.setMinimum(now, perS, burst)
		a.quota, buckets[tenant] = q, a.bucket
	}
	c.order = c.order[:0]
	for tenant := range c.accounts {
		if _, has := quotas[tenant]; !has {
			delete(c.accounts, tenant)
			continue
		}
		c.order = append(c.order, tenant)
	}
	slices.Sort(c.order)
	return buckets
}

// Requests is what the request of a number asks for and reports: an entry for each tenant that needs tokens or has grants.
func (c *Client) Requests(now float64, number uint64) (requests []Request) {
	for _, tenant := range c.order {
		a := c.accounts[tenant]
		a.update(now)
		request := Request{Tenant: tenant, Tokens: a.tokensNeeded(now)}
		for i := range a.bucket.slots {
			if s := a.bucket.slots[i].Load(); s != nil {
				request.Spent = append(request.Spent, GrantUsage{Number: s.number, Spent: float64(s.tokens - max(0, s.remaining.Load()))})
			}
		}
		for i := range a.closed {
			if grant := &a.closed[i]; len(request.Spent) < maxUsageReports {
				if grant.reportedIn == 0 {
					grant.reportedIn = number
				}
				request.Spent = append(request.Spent, grant.GrantUsage)
			}
		}
		if request.Tokens >= 1 || len(request.Spent) > 0 {
			requests = append(requests, request)
		}
	}
	return requests
}

// Urgent tells whether a query got no token since the last request.
func (c *Client) Urgent() bool {
	for _, a := range c.accounts {
		if a.bucket.rejected.Load() > a.rejected {
			return true
		}
	}
	return false
}

// update closes the grants that have expired, are spent, or exceed the demand, and estimates the demand.
func (a *account) update(now float64) {
	requested, elapsed := a.bucket.requested.Load(), now-a.updatedAt
	if elapsed > 0 {
		a.demand = max(float64(requested-a.requested)/max(elapsed, 0.05), a.demand*math.Exp(-elapsed/demandDecaySeconds))
	}
	a.requested, a.updatedAt = requested, now
	a.closed = slices.DeleteFunc(a.closed, func(grant closedGrant) bool { return now >= grant.until })
	remaining, most, largest := 0.0, 0.0, -1
	for i := range a.bucket.slots {
		slot := a.bucket.slots[i].Load()
		if slot == nil {
			continue
		}
		tokens := float64(max(0, slot.remaining.Load()))
		switch {
		case now >= slot.until || tokens == 0:
			a.closeSlot(i)
		case tokens > most:
			most, largest = tokens, i
			fallthrough
		default:
			remaining += tokens
		}
	}
	if largest >= 0 && remaining > 1+spareFactor*aheadSeconds*a.demand {
		a.closeSlot(largest)
	}
}

// closeSlot closes a slot. A token that is taken concurrently is taken before that, or not at all.
func (a *account) closeSlot(i int) {
	s := a.bucket.slots[i].Swap(nil)
	remaining := max(0, s.remaining.Swap(math.MinInt64/2))
	a.closed = append(a.closed, closedGrant{GrantUsage: GrantUsage{Number: s.number, Spent: float64(s.tokens - remaining), Closed: true}, until: s.until})
}

// tokensNeeded is how many further tokens to ask for.
func (a *account) tokensNeeded(now float64) float64 {
	rejected := a.bucket.rejected.Load()
	needed := aheadSeconds * a.demand
	if rejected > a.rejected {
		needed = max(needed, 1)
	}
	a.rejected = rejected
	for i := range a.bucket.slots {
		if s := a.bucket.slots[i].Load(); s != nil && now < s.until {
			needed -= float64(max(0, s.remaining.Load()))
		}
	}
	if needed <= 0.25 { // the demand has decayed
		return 0
	}
	return min(math.Ceil(needed), a.quota.Burst)
}

// ReceiveGrant puts a grant into its bucket. It expires a lease after its request was sent, whenever the response came.
func (c *Client) ReceiveGrant(now, requestedAt float64, requestNumber uint64, grant *Grant) {
	account := c.accounts[grant.Tenant]
	if account == nil {
		return
	}
	account.closed = slices.DeleteFunc(account.closed, func(closed closedGrant) bool { return closed.reportedIn > 0 && closed.reportedIn <= requestNumber })
	if grant.RetryAfter > 0 {
		account.bucket.retryAt.Store(math.Float64bits(now + grant.RetryAfter))
	} else {
		account.bucket.retryAt.Store(0)
	}
	until := requestedAt + c.lease
	if grant.Tokens < 1 || now >= until {
		return
	}
	free := -1
	for i := range account.bucket.slots {
		s := account.bucket.slots[i].Load()
		switch {
		case s == nil:
			free = i
		case s.number == grant.Number:
			return
		}
	}
	if free < 0 {
		free = 0
		for i := range account.bucket.slots {
			if account.bucket.slots[i].Load().until < account.bucket.slots[free].Load().until {
				free = i
			}
		}
		account.closeSlot(free)
	}
	s := &slot{number: grant.Number, tokens: int64(grant.Tokens), until: until}
	s.remaining.Store(s.tokens)
	account.bucket.slots[free].Store(s)
}

// DropMinimums ends all minimums: the next process of this node has them from here on.
func (c *Client) DropMinimums() {
	for _, a := range c.accounts {
		a.bucket.setMinimum(0, 0, 0)
	}
}

// Empty is a bucket without a minimum or a grant.
func Empty() *Bucket { return newBucket(0, 0, 0) }
