package quota

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	// slotsPerBucket is the number of grants that a bucket holds at once: one to spend from, one in reserve, and two that are
	// about to expire.
	slotsPerBucket = 4
	// prefetchSeconds is how many seconds of its demand a node keeps tokens for. It covers two requests and a response, each of
	// which may be lost.
	prefetchSeconds = 0.5
	// surplusFactor is the multiple of the tokens for prefetchSeconds that may remain unspent. With more, a node returns its
	// largest grant.
	surplusFactor = 2
	// demandDecaySeconds is the time constant of the exponential decay of the estimated demand.
	demandDecaySeconds = 0.5
	// clockResolution is a tolerance for the rounding of Unix seconds in a float64. Without it, a minimum with a burst of one
	// query would never admit that query.
	clockResolution = 1e-6
	// maxUsageReports limits how many grants one Request reports on. Closed grants beyond it wait for a later request.
	maxUsageReports = 2 * slotsPerBucket
)

// slot holds a grant that queries spend from. A goroutine that decrements remaining from a value above 0 obtains a token.
type slot struct {
	number    GrantNumber
	tokens    int64
	remaining atomic.Int64
	expiresAt float64
}

// minimum is the rate and burst, in tokens, that a node may spend without a grant.
type minimum struct{ rate, burst float64 }

// Bucket is the token bucket of one tenant at one node. Any goroutine may spend from it without a lock. Only the goroutine of
// the Client fills it.
type Bucket struct {
	slots   [slotsPerBucket]atomic.Pointer[slot]
	minimum atomic.Pointer[minimum]
	// minimumFullAt is the time at which the token bucket of the minimum will be full, as the bits of a float64. In this form a
	// single compare-and-swap spends a token (the generic cell rate algorithm, ITU-T I.371).
	minimumFullAt atomic.Uint64
	requested     atomic.Int64  // queries that asked for a token
	rejected      atomic.Int64  // queries that got none
	retryAt       atomic.Uint64 // when the granter expects to have tokens, as the bits of a float64; 0 if it did not say
}

// newBucket returns a bucket whose minimum is empty at first, because the previous process of this node may just have spent
// all of it.
func newBucket(now, rate, burst float64) *Bucket {
	b := &Bucket{}
	b.setMinimum(now, rate, burst)
	return b
}

func (b *Bucket) setMinimum(now, rate, burst float64) {
	if current := b.minimum.Load(); current != nil && *current == (minimum{rate, burst}) {
		return
	}
	b.minimumFullAt.Store(math.Float64bits(math.Inf(1)))
	b.minimum.Store(&minimum{rate, burst})
	if rate > 0 {
		b.minimumFullAt.Store(math.Float64bits(now + burst/(rate*FillFactor)))
	}
}

// Spend takes a token at the time now. It reports whether there was one.
func (b *Bucket) Spend(now float64) bool {
	b.requested.Add(1)
	for i := range b.slots {
		if s := b.slots[i].Load(); s != nil && now < s.expiresAt && s.remaining.Load() > 0 && s.remaining.Add(-1) >= 0 {
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
	if minimum.rate <= 0 || minimum.burst < 1 {
		return false
	}
	rate := minimum.rate * FillFactor
	for {
		before := b.minimumFullAt.Load()
		fullAt := max(now, math.Float64frombits(before)) + 1/rate
		if fullAt-now > minimum.burst/rate+clockResolution {
			return false
		}
		if b.minimumFullAt.CompareAndSwap(before, math.Float64bits(fullAt)) {
			return true
		}
	}
}

// RetryAfter returns in how many seconds there may be a token again: from the minimum, or from the granter if it announced an
// earlier time. It is infinite if neither is known.
func (b *Bucket) RetryAfter(now float64) float64 {
	wait := math.Inf(1)
	if minimum := b.minimum.Load(); minimum.rate > 0 && minimum.burst >= 1 {
		wait = max(0, math.Float64frombits(b.minimumFullAt.Load())-(minimum.burst-1)/(minimum.rate*FillFactor)-now)
	}
	if retryAt := math.Float64frombits(b.retryAt.Load()); retryAt > 0 {
		wait = min(wait, max(0, retryAt-now))
	}
	return wait
}

// Counts returns how many queries asked for a token, and how many of them got none.
func (b *Bucket) Counts() (requested, rejected int64) { return b.requested.Load(), b.rejected.Load() }

// closedGrant is a grant that nothing more is spent from. It is kept until the granter has acknowledged its report, or until
// it expires.
type closedGrant struct {
	GrantUsage
	expiresAt         float64
	reportedInRequest uint64 // number of the first request that reported it; 0 if none did
}

// tenantState is the client's state of one tenant. The counts are those of the bucket when they were last read.
type tenantState struct {
	bucket    *Bucket
	quota     Quota
	requested int64
	rejected  int64
	updatedAt float64
	demand    float64 // queries a second
	closed    []closedGrant
}

// Client requests grants for one node and fills its buckets from them. It must be used by one goroutine only.
type Client struct {
	lease         float64
	nodeCount     int
	states        map[Tenant]*tenantState
	sortedTenants []Tenant
}

// NewClient returns a client for one node of a fleet with nodeCount nodes. A grant expires lease seconds after its request was sent.
func NewClient(lease float64, nodeCount int) *Client {
	return &Client{lease: lease, nodeCount: nodeCount, states: map[Tenant]*tenantState{}}
}

// SetQuotas sets the quotas that apply from now on, and returns the buckets by tenant. The bucket of a tenant without a quota
// is removed.
func (c *Client) SetQuotas(now float64, quotas map[Tenant]Quota) map[Tenant]*Bucket {
	buckets := make(map[Tenant]*Bucket, len(quotas))
	for tenant, tenantQuota := range quotas {
		rate, burst := tenantQuota.NodeMinimum(c.nodeCount)
		state := c.states[tenant]
		if state == nil {
			state = &tenantState{bucket: newBucket(now, rate, burst), updatedAt: now}
			c.states[tenant] = state
		}
		state.bucket.setMinimum(now, rate, burst)
		state.quota, buckets[tenant] = tenantQuota, state.bucket
	}
	c.sortedTenants = c.sortedTenants[:0]
	for tenant := range c.states {
		if _, hasQuota := quotas[tenant]; !hasQuota {
			delete(c.states, tenant)
			continue
		}
		c.sortedTenants = append(c.sortedTenants, tenant)
	}
	slices.Sort(c.sortedTenants)
	return buckets
}

// Requests returns the entries of the request with a number: one for each tenant that needs tokens or has grants to report on.
func (c *Client) Requests(now float64, number uint64) (requests []Request) {
	for _, tenant := range c.sortedTenants {
		state := c.states[tenant]
		state.update(now)
		request := Request{Tenant: tenant, Tokens: state.tokensNeeded(now)}
		for i := range state.bucket.slots {
			if s := state.bucket.slots[i].Load(); s != nil {
				request.Usages = append(request.Usages, GrantUsage{Number: s.number, Spent: float64(s.tokens - max(0, s.remaining.Load()))})
			}
		}
		for i := range state.closed {
			if grant := &state.closed[i]; len(request.Usages) < maxUsageReports {
				if grant.reportedInRequest == 0 {
					grant.reportedInRequest = number
				}
				request.Usages = append(request.Usages, grant.GrantUsage)
			}
		}
		if request.Tokens >= 1 || len(request.Usages) > 0 {
			requests = append(requests, request)
		}
	}
	return requests
}

// Urgent reports whether a query was refused a token since the last request.
func (c *Client) Urgent() bool {
	for _, state := range c.states {
		if state.bucket.rejected.Load() > state.rejected {
			return true
		}
	}
	return false
}

// update estimates the demand, and closes the grants that have expired, are spent, or exceed the demand.
func (t *tenantState) update(now float64) {
	requested, elapsed := t.bucket.requested.Load(), now-t.updatedAt
	if elapsed > 0 {
		t.demand = max(float64(requested-t.requested)/max(elapsed, 0.05), t.demand*math.Exp(-elapsed/demandDecaySeconds))
	}
	t.requested, t.updatedAt = requested, now
	t.closed = slices.DeleteFunc(t.closed, func(grant closedGrant) bool { return now >= grant.expiresAt })
	remaining, largestTokens, largestIndex := 0.0, 0.0, -1
	for i := range t.bucket.slots {
		slot := t.bucket.slots[i].Load()
		if slot == nil {
			continue
		}
		tokens := float64(max(0, slot.remaining.Load()))
		switch {
		case now >= slot.expiresAt || tokens == 0:
			t.closeSlot(i)
		case tokens > largestTokens:
			largestTokens, largestIndex = tokens, i
			fallthrough
		default:
			remaining += tokens
		}
	}
	if largestIndex >= 0 && remaining > 1+surplusFactor*prefetchSeconds*t.demand {
		t.closeSlot(largestIndex)
	}
}

// closeSlot closes the grant in a slot. A concurrent Spend either takes its token before the grant is closed, and is counted as
// spent, or gets none from it.
func (t *tenantState) closeSlot(i int) {
	s := t.bucket.slots[i].Swap(nil)
	remaining := max(0, s.remaining.Swap(math.MinInt64/2))
	t.closed = append(t.closed, closedGrant{GrantUsage: GrantUsage{Number: s.number, Spent: float64(s.tokens - remaining), Closed: true}, expiresAt: s.expiresAt})
}

// tokensNeeded returns how many further tokens to ask for.
func (t *tenantState) tokensNeeded(now float64) float64 {
	rejected := t.bucket.rejected.Load()
	needed := prefetchSeconds * t.demand
	if rejected > t.rejected {
		needed = max(needed, 1)
	}
	t.rejected = rejected
	for i := range t.bucket.slots {
		if s := t.bucket.slots[i].Load(); s != nil && now < s.expiresAt {
			needed -= float64(max(0, s.remaining.Load()))
		}
	}
	if needed <= 0.25 { // too little demand is left to ask for a token
		return 0
	}
	return min(math.Ceil(needed), t.quota.Burst)
}

// ReceiveGrant puts a grant into the bucket of its tenant. The grant expires one lease length after its request was sent,
// however late the response arrives.
func (c *Client) ReceiveGrant(now, requestedAt float64, requestNumber uint64, grant *Grant) {
	state := c.states[grant.Tenant]
	if state == nil {
		return
	}
	state.closed = slices.DeleteFunc(state.closed, func(closed closedGrant) bool {
		return closed.reportedInRequest > 0 && closed.reportedInRequest <= requestNumber
	})
	if grant.RetryAfter > 0 {
		state.bucket.retryAt.Store(math.Float64bits(now + grant.RetryAfter))
	} else {
		state.bucket.retryAt.Store(0)
	}
	expiresAt := requestedAt + c.lease
	if grant.Tokens < 1 || now >= expiresAt {
		return
	}
	freeIndex := -1
	for i := range state.bucket.slots {
		s := state.bucket.slots[i].Load()
		switch {
		case s == nil:
			freeIndex = i
		case s.number == grant.Number:
			return
		}
	}
	if freeIndex < 0 {
		freeIndex = 0
		for i := range state.bucket.slots {
			if state.bucket.slots[i].Load().expiresAt < state.bucket.slots[freeIndex].Load().expiresAt {
				freeIndex = i
			}
		}
		state.closeSlot(freeIndex)
	}
	s := &slot{number: grant.Number, tokens: int64(grant.Tokens), expiresAt: expiresAt}
	s.remaining.Store(s.tokens)
	state.bucket.slots[freeIndex].Store(s)
}

// DropMinimums ends all minimums of this process, because the next process of this node uses them from now on.
func (c *Client) DropMinimums() {
	for _, state := range c.states {
		state.bucket.setMinimum(0, 0, 0)
	}
}

// NewEmptyBucket returns a bucket without a minimum or a grant.
func NewEmptyBucket() *Bucket { return newBucket(0, 0, 0) }
