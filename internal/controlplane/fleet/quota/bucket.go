package quota

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	slots = 4 // grants that a bucket holds at once: one being spent, one in reserve, and two that run out
	// ahead is for how long of its demand a node holds tokens: two askings and what one takes, each of which may get lost.
	ahead = 0.5
	// spare is how many times that it may hold before it gives the rest back.
	spare = 2
	// fading is over which time demand is forgotten once it is gone.
	fading = 0.5
	// clockGrain is what a clock of Unix seconds in a float rounds off: without it a floor of one query never admits it.
	clockGrain = 1e-6
	// reports is how many grants one Ask tells of.
	reports = 2 * slots
)

// slot is a grant as it is spent from. Whoever takes a token has taken it once left was above 0.
type slot struct {
	no     GrantNo
	tokens int64
	left   atomic.Int64
	until  float64
}

// floor is what a node may spend of its own.
type floor struct{ perS, burst float64 }

// Bucket is one tenant's at one node. Any goroutine may spend from it; only one fills it.
type Bucket struct {
	slots [slots]atomic.Pointer[slot]
	floor atomic.Pointer[floor]
	// full is the time at which the floor's bucket will be full, as bits of a float: the form of a bucket that one
	// compare-and-swap spends from (the generic cell rate algorithm, ITU-T I.371).
	full  atomic.Uint64
	asked atomic.Int64 // queries that came
	short atomic.Int64 // of these, that found nothing
	next  atomic.Uint64
}

// newBucket has an empty floor: a process before this one may have spent all of it a moment ago.
func newBucket(now, perS, burst float64) *Bucket {
	b := &Bucket{}
	b.setFloor(now, perS, burst)
	return b
}

func (b *Bucket) setFloor(now, perS, burst float64) {
	if f := b.floor.Load(); f != nil && *f == (floor{perS, burst}) {
		return
	}
	b.full.Store(math.Float64bits(math.Inf(1)))
	b.floor.Store(&floor{perS, burst})
	if perS > 0 {
		b.full.Store(math.Float64bits(now + burst/(perS*Slower)))
	}
}

// Spend takes a token at a time; false if there is none.
func (b *Bucket) Spend(now float64) bool {
	b.asked.Add(1)
	for i := range b.slots {
		if s := b.slots[i].Load(); s != nil && now < s.until && s.left.Load() > 0 && s.left.Add(-1) >= 0 {
			return true
		}
	}
	if b.spendFloor(now) {
		return true
	}
	b.short.Add(1)
	return false
}

func (b *Bucket) spendFloor(now float64) bool {
	f := b.floor.Load()
	if f.perS <= 0 || f.burst < 1 {
		return false
	}
	rate := f.perS * Slower
	for {
		was := b.full.Load()
		full := max(now, math.Float64frombits(was)) + 1/rate
		if full-now > f.burst/rate+clockGrain {
			return false
		}
		if b.full.CompareAndSwap(was, math.Float64bits(full)) {
			return true
		}
	}
}

// Wait is in how many seconds there may be a token again: by the floor, or sooner by what the granter said.
func (b *Bucket) Wait(now float64) float64 {
	wait := math.Inf(1)
	if f := b.floor.Load(); f.perS > 0 && f.burst >= 1 {
		wait = max(0, math.Float64frombits(b.full.Load())-(f.burst-1)/(f.perS*Slower)-now)
	}
	if next := math.Float64frombits(b.next.Load()); next > 0 {
		wait = min(wait, max(0, next-now))
	}
	return wait
}

// Demand tells how many queries came, and how many of them found nothing.
func (b *Bucket) Demand() (asked, short int64) { return b.asked.Load(), b.short.Load() }

// closed is a grant that nothing more is spent from, until the granter is known to have heard so.
type closed struct {
	Spent
	until float64
	told  uint64 // the first asking that said so, 0 for none
}

// account is what the holder knows of one bucket.
type account struct {
	bucket *Bucket
	quota  Quota
	asked  int64
	short  int64
	at     float64
	demand float64 // queries a second
	closed []closed
}

// Holder fills the buckets of one node. One goroutine uses it.
type Holder struct {
	lease    float64
	nodes    int
	accounts map[Tenant]*account
	order    []Tenant
}

// NewHolder makes one of a fleet of so many; grants last so many seconds from the asking.
func NewHolder(lease float64, nodes int) *Holder {
	return &Holder{lease: lease, nodes: nodes, accounts: map[Tenant]*account{}}
}

// Set takes the quotas that hold from now on, and hands out the buckets by tenant. One whose quota is gone is gone too.
func (h *Holder) Set(now float64, quotas map[Tenant]Quota) map[Tenant]*Bucket {
	buckets := make(map[Tenant]*Bucket, len(quotas))
	for tenant, q := range quotas {
		perS, burst := q.Share(h.nodes)
		a := h.accounts[tenant]
		if a == nil {
			a = &account{bucket: newBucket(now, perS, burst), at: now}
			h.accounts[tenant] = a
		}
		a.bucket.setFloor(now, perS, burst)
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

// Asks is what to ask and tell the granter in the asking of a number: of each tenant that wants something or has
// something to tell.
func (h *Holder) Asks(now float64, no uint64) (list []Ask) {
	for _, tenant := range h.order {
		a := h.accounts[tenant]
		a.look(now)
		ask := Ask{Tenant: tenant, Want: a.want(now)}
		for i := range a.bucket.slots {
			if s := a.bucket.slots[i].Load(); s != nil {
				ask.Grants = append(ask.Grants, Spent{No: s.no, Spent: float64(s.tokens - max(0, s.left.Load()))})
			}
		}
		for i := range a.closed {
			if c := &a.closed[i]; len(ask.Grants) < reports {
				if c.told == 0 {
					c.told = no
				}
				ask.Grants = append(ask.Grants, c.Spent)
			}
		}
		if ask.Want >= 1 || len(ask.Grants) > 0 {
			list = append(list, ask)
		}
	}
	return list
}

// Urgent tells whether a query found nothing since the last asking.
func (h *Holder) Urgent() bool {
	for _, a := range h.accounts {
		if a.bucket.short.Load() > a.short {
			return true
		}
	}
	return false
}

// look closes what has run out, is spent, or is more than is needed, and reckons the demand.
func (a *account) look(now float64) {
	asked, dt := a.bucket.asked.Load(), now-a.at
	if dt > 0 {
		a.demand = max(float64(asked-a.asked)/max(dt, 0.05), a.demand*math.Exp(-dt/fading))
	}
	a.asked, a.at = asked, now
	a.closed = slices.DeleteFunc(a.closed, func(c closed) bool { return now >= c.until })
	left, most, fattest := 0.0, 0.0, -1
	for i := range a.bucket.slots {
		s := a.bucket.slots[i].Load()
		if s == nil {
			continue
		}
		n := float64(max(0, s.left.Load()))
		switch {
		case now >= s.until || n == 0:
			a.shut(i)
		case n > most:
			most, fattest = n, i
			fallthrough
		default:
			left += n
		}
	}
	if fattest >= 0 && left > 1+spare*ahead*a.demand {
		a.shut(fattest)
	}
}

// shut closes a slot. Tokens that are taken at the same moment are taken before, or not at all.
func (a *account) shut(i int) {
	s := a.bucket.slots[i].Swap(nil)
	left := max(0, s.left.Swap(math.MinInt64/2))
	a.closed = append(a.closed, closed{Spent: Spent{No: s.no, Spent: float64(s.tokens - left), Closed: true}, until: s.until})
}

// want is how many tokens more are needed.
func (a *account) want(now float64) float64 {
	short := a.bucket.short.Load()
	need := ahead * a.demand
	if short > a.short {
		need = max(need, 1)
	}
	a.short = short
	for i := range a.bucket.slots {
		if s := a.bucket.slots[i].Load(); s != nil && now < s.until {
			need -= float64(max(0, s.left.Load()))
		}
	}
	if need <= 0.25 { // a demand that has faded to nothing asks no more
		return 0
	}
	return min(math.Ceil(need), a.quota.Burst)
}

// Take puts a grant into its bucket. It ends a lease after its asking, which was before the granter's answer, whenever
// that came.
func (h *Holder) Take(now, asked float64, no uint64, g *Grant) {
	a := h.accounts[g.Tenant]
	if a == nil {
		return
	}
	a.closed = slices.DeleteFunc(a.closed, func(c closed) bool { return c.told > 0 && c.told <= no })
	if g.Next > 0 {
		a.bucket.next.Store(math.Float64bits(now + g.Next))
	} else {
		a.bucket.next.Store(0)
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
		case s.no == g.No:
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
		a.shut(free)
	}
	s := &slot{no: g.No, tokens: int64(g.Tokens), until: until}
	s.left.Store(s.tokens)
	a.bucket.slots[free].Store(s)
}

// Alone ends all floors: another process has them from here on.
func (h *Holder) Alone() {
	for _, a := range h.accounts {
		a.bucket.setFloor(0, 0, 0)
	}
}

// Empty is a bucket that nothing is ever in.
func Empty() *Bucket { return newBucket(0, 0, 0) }
