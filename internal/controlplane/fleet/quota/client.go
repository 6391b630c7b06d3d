package quota

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	slotCount = 4 // grants that a bucket holds at once: one being spent, one in reserve, and two that run out
	// aheadSeconds is for how long of its demand a node holds tokens: two requests and what one takes, each of which may get lost.
	aheadSeconds = 0.5
	// spareFactor is how many times that it may hold before it gives the rest back.
	spareFactor = 2
	// demandDecaySeconds is over which time demand is forgotten once it is gone.
	demandDecaySeconds = 0.5
	// clockGrain is what a clock of Unix seconds in a float rounds off: without it a minimum of one query never admits it.
	clockGrain = 1e-6
	// maxUsageReports is how many grants one Ask tells of.
	maxUsageReports = 2 * slotCount
)

// slot is a grant as it is spent from. Whoever takes a token has taken it once left was above 0.
type slot struct {
	number    GrantNumber
	tokens    int64
	remaining atomic.Int64
	until     float64
}

// minimum is what a node may spend of its own.
type minimum struct{ perS, burst float64 }

// Bucket is one tenant's at one node. Any goroutine may spend from it; only one fills it.
type Bucket struct {
	slots   [slotCount]atomic.Pointer[slot]
	minimum atomic.Pointer[minimum]
	// full is the time at which the minimum's bucket will be full, as bits of a float: the form of a bucket that one
	// compare-and-swap spends from (the generic cell rate algorithm, ITU-T I.371).
	minimumFullAt atomic.Uint64
	requested     atomic.Int64 // queries that came
	rejected      atomic.Int64 // of these, that found nothing
	retryAt       atomic.Uint64
}

// newBucket has an empty minimum: a process before this one may have spent all of it a moment ago.
func newBucket(now, perS, burst float64) *Bucket {
	b := &Bucket{}
	b.setMinimum(now, perS, burst)
	return b
}

func (b *Bucket) setMinimum(now, perS, burst float64) {
	if f := b.minimum.Load(); f != nil && *f == (minimum{perS, burst}) {
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
	f := b.minimum.Load()
	if f.perS <= 0 || f.burst < 1 {
		return false
	}
	rate := f.perS * FillFactor
	for {
		was := b.minimumFullAt.Load()
		full := max(now, math.Float64frombits(was)) + 1/rate
		if full-now > f.burst/rate+clockGrain {
			return false
		}
		if b.minimumFullAt.CompareAndSwap(was, math.Float64bits(full)) {
			return true
		}
	}
}

// Wait is in how many seconds there may be a token again: by the minimum, or sooner by what the granter said.
func (b *Bucket) Wait(now float64) float64 {
	wait := math.Inf(1)
	if f := b.minimum.Load(); f.perS > 0 && f.burst >= 1 {
		wait = max(0, math.Float64frombits(b.minimumFullAt.Load())-(f.burst-1)/(f.perS*FillFactor)-now)
	}
	if next := math.Float64frombits(b.retryAt.Load()); next > 0 {
		wait = min(wait, max(0, next-now))
	}
	return wait
}

// Demand tells how many queries came, and how many of them found nothing.
func (b *Bucket) Demand() (asked, short int64) { return b.requested.Load(), b.rejected.Load() }

// closedGrant is a grant that nothing more is spent from, until the granter is known to have heard so.
type closedGrant struct {
	GrantUsage
	until      float64
	reportedIn uint64 // the first asking that said so, 0 for none
}

// account is what the holder knows of one bucket.
type account struct {
	bucket    *Bucket
	quota     Quota
	requested int64
	rejected  int64
	updatedAt float64
	demand    float64 // queries a second
	closed    []closedGrant
}

// Client fills the buckets of one node. One goroutine uses it.
type Client struct {
	lease    float64
	nodes    int
	accounts map[Tenant]*account
	order    []Tenant
}

// NewClient makes one of a fleet of so many; grants last so many seconds from the asking.
func NewClient(lease float64, nodes int) *Client {
	return &Client{lease: lease, nodes: nodes, accounts: map[Tenant]*account{}}
}

// Set takes the quotas that hold from now on, and hands out the buckets by tenant. One whose quota is gone is gone too.
func (h *Client) Set(now float64, quotas map[Tenant]Quota) map[Tenant]*Bucket {
	buckets := make(map[Tenant]*Bucket, len(quotas))
	for tenant, q := range quotas {
		perS, burst := q.NodeMinimum(h.nodes)
		a := h.accounts[tenant]
		if a == nil {
			a = &account{bucket: newBucket(now, perS, burst), updatedAt: now}
			h.accounts[tenant] = a
		}
		a.bucket.setMinimum(now, perS, burst)
		a.quota, buckets[tenant] = q, a.bucket
	}
	h.order = h.order[:0]
	for tenant := range h.accounts {
		if _, kept := quotas[tenant]; !kept {
			delete(h.accounts, tenant)
			continue
		}
		h.order = append(h.order, tenant)
	}
	slices.Sort(h.order)
	return buckets
}

// Requests is what to ask and tell the granter in the asking of a number: of each tenant that wants something or has
// something to tell.
func (h *Client) Requests(now float64, no uint64) (list []Request) {
	for _, tenant := range h.order {
		a := h.accounts[tenant]
		a.update(now)
		ask := Request{Tenant: tenant, Tokens: a.tokensNeeded(now)}
		for i := range a.bucket.slots {
			if s := a.bucket.slots[i].Load(); s != nil {
				ask.Spent = append(ask.Spent, GrantUsage{Number: s.number, Spent: float64(s.tokens - max(0, s.remaining.Load()))})
			}
		}
		for i := range a.closed {
			if c := &a.closed[i]; len(ask.Spent) < maxUsageReports {
				if c.reportedIn == 0 {
					c.reportedIn = no
				}
				ask.Spent = append(ask.Spent, c.GrantUsage)
			}
		}
		if ask.Tokens >= 1 || len(ask.Spent) > 0 {
			list = append(list, ask)
		}
	}
	return list
}

// Urgent tells whether a query found nothing since the last asking.
func (h *Client) Urgent() bool {
	for _, a := range h.accounts {
		if a.bucket.rejected.Load() > a.rejected {
			return true
		}
	}
	return false
}

// update closes what has run out, is spent, or is more than is needed, and reckons the demand.
func (a *account) update(now float64) {
	asked, dt := a.bucket.requested.Load(), now-a.updatedAt
	if dt > 0 {
		a.demand = max(float64(asked-a.requested)/max(dt, 0.05), a.demand*math.Exp(-dt/demandDecaySeconds))
	}
	a.requested, a.updatedAt = asked, now
	a.closed = slices.DeleteFunc(a.closed, func(c closedGrant) bool { return now >= c.until })
	left, most, fattest := 0.0, 0.0, -1
	for i := range a.bucket.slots {
		s := a.bucket.slots[i].Load()
		if s == nil {
			continue
		}
		n := float64(max(0, s.remaining.Load()))
		switch {
		case now >= s.until || n == 0:
			a.closeSlot(i)
		case n > most:
			most, fattest = n, i
			fallthrough
		default:
			left += n
		}
	}
	if fattest >= 0 && left > 1+spareFactor*aheadSeconds*a.demand {
		a.closeSlot(fattest)
	}
}

// closeSlot closes a slot. Tokens that are taken at the same moment are taken before, or not at all.
func (a *account) closeSlot(i int) {
	s := a.bucket.slots[i].Swap(nil)
	left := max(0, s.remaining.Swap(math.MinInt64/2))
	a.closed = append(a.closed, closedGrant{GrantUsage: GrantUsage{Number: s.number, Spent: float64(s.tokens - left), Closed: true}, until: s.until})
}

// tokensNeeded is how many tokens more are needed.
func (a *account) tokensNeeded(now float64) float64 {
	short := a.bucket.rejected.Load()
	need := aheadSeconds * a.demand
	if short > a.rejected {
		need = max(need, 1)
	}
	a.rejected = short
	for i := range a.bucket.slots {
		if s := a.bucket.slots[i].Load(); s != nil && now < s.until {
			need -= float64(max(0, s.remaining.Load()))
		}
	}
	if need <= 0.25 { // a demand that has faded to nothing asks no more
		return 0
	}
	return min(math.Ceil(need), a.quota.Burst)
}

// Take puts a grant into its bucket. It ends a lease after its asking, which was before the granter's answer, whenever
// that came.
func (h *Client) ReceiveGrant(now, asked float64, no uint64, g *Grant) {
	a := h.accounts[g.Tenant]
	if a == nil {
		return
	}
	a.closed = slices.DeleteFunc(a.closed, func(c closedGrant) bool { return c.reportedIn > 0 && c.reportedIn <= no })
	if g.RetryAfter > 0 {
		a.bucket.retryAt.Store(math.Float64bits(now + g.RetryAfter))
	} else {
		a.bucket.retryAt.Store(0)
	}
	until := asked + h.lease
	if g.Tokens < 1 || now >= until {
		return
	}
	free := -1
	for i := range a.bucket.slots {
		s := a.bucket.slots[i].Load()
		switch {
		case s == nil:
			free = i
		case s.number == g.Number:
			return
		}
	}
	if free < 0 {
		free = 0
		for i := range a.bucket.slots {
			if a.bucket.slots[i].Load().until < a.bucket.slots[free].Load().until {
				free = i
			}
		}
		a.closeSlot(free)
	}
	s := &slot{number: g.Number, tokens: int64(g.Tokens), until: until}
	s.remaining.Store(s.tokens)
	a.bucket.slots[free].Store(s)
}

// DropMinimums ends all minimums: another process has them from here on.
func (h *Client) DropMinimums() {
	for _, a := range h.accounts {
		a.bucket.setMinimum(0, 0, 0)
	}
}

// Empty is a bucket that nothing is ever in.
func Empty() *Bucket { return newBucket(0, 0, 0) }
