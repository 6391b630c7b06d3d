package quota

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	slots = 4 // grants that a purse holds at once: one being spent, one in reserve, and two that run out
	// ahead is for how long of its demand a mixer holds tokens: two askings and what one takes, each of which may get lost.
	ahead = 0.5
	// spare is how many times that it may hold before it gives the rest back.
	spare = 2
	// fading is over which time demand is forgotten once it is gone.
	fading = 0.5
	// clockGrain is what a clock of Unix seconds in a float rounds off: without it a floor of one lookup never admits it.
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

// floor is what a mixer may spend of its own.
type floor struct{ perS, burst float64 }

// Purse is one tenant's at one mixer. Any goroutine may spend from it; only one fills it.
type Purse struct {
	slots [slots]atomic.Pointer[slot]
	floor atomic.Pointer[floor]
	// full is the time at which the floor's bucket will be full, as bits of a float: the form of a bucket that one
	// compare-and-swap spends from (the generic cell rate algorithm, ITU-T I.371).
	full  atomic.Uint64
	asked atomic.Int64 // lookups that came
	short atomic.Int64 // of these, that found nothing
	next  atomic.Uint64
}

// newPurse has an empty floor: a process before this one may have spent all of it a moment ago.
func newPurse(now, perS, burst float64) *Purse {
	p := &Purse{}
	p.setFloor(now, perS, burst)
	return p
}

func (p *Purse) setFloor(now, perS, burst float64) {
	if f := p.floor.Load(); f != nil && *f == (floor{perS, burst}) {
		return
	}
	p.full.Store(math.Float64bits(math.Inf(1)))
	p.floor.Store(&floor{perS, burst})
	if perS > 0 {
		p.full.Store(math.Float64bits(now + burst/(perS*Slower)))
	}
}

// Spend takes a token at a time; false if there is none.
func (p *Purse) Spend(now float64) bool {
	p.asked.Add(1)
	for i := range p.slots {
		if s := p.slots[i].Load(); s != nil && now < s.until && s.left.Load() > 0 && s.left.Add(-1) >= 0 {
			return true
		}
	}
	if p.spendFloor(now) {
		return true
	}
	p.short.Add(1)
	return false
}

func (p *Purse) spendFloor(now float64) bool {
	f := p.floor.Load()
	if f.perS <= 0 || f.burst < 1 {
		return false
	}
	rate := f.perS * Slower
	for {
		was := p.full.Load()
		full := max(now, math.Float64frombits(was)) + 1/rate
		if full-now > f.burst/rate+clockGrain {
			return false
		}
		if p.full.CompareAndSwap(was, math.Float64bits(full)) {
			return true
		}
	}
}

// Wait is in how many seconds there may be a token again: by the floor, or sooner by what the granter said.
func (p *Purse) Wait(now float64) float64 {
	wait := math.Inf(1)
	if f := p.floor.Load(); f.perS > 0 && f.burst >= 1 {
		wait = max(0, math.Float64frombits(p.full.Load())-(f.burst-1)/(f.perS*Slower)-now)
	}
	if next := math.Float64frombits(p.next.Load()); next > 0 {
		wait = min(wait, max(0, next-now))
	}
	return wait
}

// Demand tells how many lookups came, and how many of them found nothing.
func (p *Purse) Demand() (asked, short int64) { return p.asked.Load(), p.short.Load() }

// closed is a grant that nothing more is spent from, until the granter is known to have heard so.
type closed struct {
	Spent
	until float64
	told  uint64 // the first asking that said so, 0 for none
}

// account is what the holder knows of one purse.
type account struct {
	purse  *Purse
	quota  Quota
	asked  int64
	short  int64
	at     float64
	demand float64 // lookups a second
	closed []closed
}

// Holder fills the purses of one mixer. One goroutine uses it.
type Holder struct {
	lease    float64
	mixers   int
	accounts map[Tenant]*account
	order    []Tenant
}

// NewHolder makes one of a fleet of so many; grants last so many seconds from the asking.
func NewHolder(lease float64, mixers int) *Holder {
	return &Holder{lease: lease, mixers: mixers, accounts: map[Tenant]*account{}}
}

// Set takes the quotas that hold from now on, and hands out the purses by tenant. One whose quota is gone is gone too.
func (h *Holder) Set(now float64, quotas map[Tenant]Quota) map[Tenant]*Purse {
	purses := make(map[Tenant]*Purse, len(quotas))
	for tenant, q := range quotas {
		perS, burst := q.Share(h.mixers)
		a := h.accounts[tenant]
		if a == nil {
			a = &account{purse: newPurse(now, perS, burst), at: now}
			h.accounts[tenant] = a
		}
		a.purse.setFloor(now, perS, burst)
		a.quota, purses[tenant] = q, a.purse
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
	return purses
}

// Asks is what to ask and tell the granter in the asking of a number: of each tenant that wants something or has
// something to tell.
func (h *Holder) Asks(now float64, no uint64) (list []Ask) {
	for _, tenant := range h.order {
		a := h.accounts[tenant]
		a.look(now)
		ask := Ask{Tenant: tenant, Want: a.want(now)}
		for i := range a.purse.slots {
			if s := a.purse.slots[i].Load(); s != nil {
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

// Urgent tells whether a lookup found nothing since the last asking.
func (h *Holder) Urgent() bool {
	for _, a := range h.accounts {
		if a.purse.short.Load() > a.short {
			return true
		}
	}
	return false
}

// look closes what has run out, is spent, or is more than is needed, and reckons the demand.
func (a *account) look(now float64) {
	asked, dt := a.purse.asked.Load(), now-a.at
	if dt > 0 {
		a.demand = max(float64(asked-a.asked)/max(dt, 0.05), a.demand*math.Exp(-dt/fading))
	}
	a.asked, a.at = asked, now
	a.closed = slices.DeleteFunc(a.closed, func(c closed) bool { return now >= c.until })
	left, most, fattest := 0.0, 0.0, -1
	for i := range a.purse.slots {
		s := a.purse.slots[i].Load()
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
	s := a.purse.slots[i].Swap(nil)
	left := max(0, s.left.Swap(math.MinInt64/2))
	a.closed = append(a.closed, closed{Spent: Spent{No: s.no, Spent: float64(s.tokens - left), Closed: true}, until: s.until})
}

// want is how many tokens more are needed.
func (a *account) want(now float64) float64 {
	short := a.purse.short.Load()
	need := ahead * a.demand
	if short > a.short {
		need = max(need, 1)
	}
	a.short = short
	for i := range a.purse.slots {
		if s := a.purse.slots[i].Load(); s != nil && now < s.until {
			need -= float64(max(0, s.left.Load()))
		}
	}
	if need <= 0.25 { // a demand that has faded to nothing asks no more
		return 0
	}
	return min(math.Ceil(need), a.quota.Burst)
}

// Take puts a grant into its purse. It ends a lease after its asking, which was before the granter's answer, whenever
// that came.
func (h *Holder) Take(now, asked float64, no uint64, g *Grant) {
	a := h.accounts[g.Tenant]
	if a == nil {
		return
	}
	a.closed = slices.DeleteFunc(a.closed, func(c closed) bool { return c.told > 0 && c.told <= no })
	if g.Next > 0 {
		a.purse.next.Store(math.Float64bits(now + g.Next))
	} else {
		a.purse.next.Store(0)
	}
	until := asked + h.lease
	if g.Tokens < 1 || now >= until {
		return
	}
	free := -1
	for i := range a.purse.slots {
		s := a.purse.slots[i].Load()
		switch {
		case s == nil:
			free = i
		case s.no == g.No:
			return
		}
	}
	if free < 0 {
		free = 0
		for i := range a.purse.slots {
			if a.purse.slots[i].Load().until < a.purse.slots[free].Load().until {
				free = i
			}
		}
		a.shut(free)
	}
	s := &slot{no: g.No, tokens: int64(g.Tokens), until: until}
	s.left.Store(s.tokens)
	a.purse.slots[free].Store(s)
}

// Alone ends all floors: another process has them from here on.
func (h *Holder) Alone() {
	for _, a := range h.accounts {
		a.purse.setFloor(0, 0, 0)
	}
}

// Empty is a purse that nothing is ever in.
func Empty() *Purse { return newPurse(0, 0, 0) }
