package quota

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/internal/random"
)

// omittedRule is a rule that the simulation leaves out, which the checker has to find.
type omittedRule struct {
	ignoreMinimums bool // minimums are not subtracted
	grantAtOnce    bool // a new granter does not wait
	ignoreExpiry   bool // nodes do not look at a lease's end
	startFull      bool // a process begins with a full minimum
}

// message is one on its way between two nodes in virtual time.
type message struct {
	at       float64
	to       int
	from     int
	no       uint64
	requests []Request
	grants   []Grant
}

// simNode is one node: its clock runs at its own rate.
type simNode struct {
	rate         float64
	client       *Client
	granter      *Granter
	bucket       *Bucket
	stopped      float64 // until when the process stands still
	epoch        uint64  // in which it believes to lead, 0 for none
	no           uint64
	requestedAt  map[uint64]float64
	next         float64
	name         membership.Name
	granterIndex int     // whom it asks
	weight       float64 // share of queries
	weightDue    float64
}

// simulation runs one tenant's quota over a fleet in virtual time: messages are lost, late, duplicated and out of order;
// nodes pause, restart and are isolated; clocks differ by a hundredth; granters change while the one before still believes to
// be it. The checker is a token bucket by true time: what it overflows by is a breach in some window.
type simulation struct {
	random.PCG
	quota            Quota
	lease            float64
	omitted          omittedRule
	nodes            []*simNode
	messages         []message
	now              float64
	leader           int
	epoch            uint64
	level            float64 // the checker's
	at               float64
	admitted         float64
	partitionedUntil map[int]float64 // until when a node hears nobody
	calm             bool
}

const (
	simStep   = 0.02
	authority = 1.0
)

func newSimulation(seed uint64, q Quota, b omittedRule) *simulation {
	s := &simulation{PCG: random.PCG(seed), quota: q, lease: 3, omitted: b, partitionedUntil: map[int]float64{}, epoch: 1}
	for i := range 3 + int(s.Unit()*5) {
		s.nodes = append(s.nodes, &simNode{rate: 1 + ClockSlack/2*(2*s.Unit()-1), name: membership.Name(fmt.Sprint("m", i)), granter: NewGranter(s.lease),
			weight: s.Unit() * s.Unit()})
	}
	for _, m := range s.nodes {
		s.start(m)
	}
	s.lead(0)
	return s
}

// start starts a process.
func (s *simulation) start(m *simNode) {
	lease := s.lease
	if s.omitted.ignoreExpiry {
		lease *= 20
	}
	m.client, m.requestedAt, m.epoch = NewClient(lease, len(s.nodes)), map[uint64]float64{}, 0
	m.bucket = m.client.Set(m.clock(s.now), map[Tenant]Quota{"t": s.quota})["t"]
	if s.omitted.startFull {
		m.bucket.minimumFullAt.Store(math.Float64bits(m.clock(s.now)))
	}
	m.granter.End()
}

func (m *simNode) clock(now float64) float64 { return 1000 + now*m.rate }

// lead makes a node the granter from now on; the one before does not know.
func (s *simulation) lead(i int) {
	s.epoch++
	s.leader = i
	m := s.nodes[i]
	m.epoch = s.epoch
	m.granter.Begin(m.clock(s.now), authority, s.epoch)
	if s.omitted.grantAtOnce {
		m.granter.grantFrom, m.granter.fillFrom = 0, m.clock(s.now)
	}
}

func (s *simulation) reservedMinimums(Tenant) (perS, burst float64) {
	if s.omitted.ignoreMinimums {
		return 0, 0
	}
	perS, burst = s.quota.NodeMinimum(len(s.nodes))
	n := float64(len(s.nodes))
	return n * perS, n * burst
}

func (s *simulation) send(l message) {
	lost, wait := 0.05, 0.001+0.02*s.Unit()
	switch u := s.Unit(); {
	case u < 0.05:
		wait = 4 * s.Unit()
	case u < 0.06:
		wait = 10 * s.Unit()
	}
	if s.Unit() < lost || s.now < s.partitionedUntil[l.to] || s.now < s.partitionedUntil[l.from] {
		return
	}
	l.at = s.now + wait
	s.messages = append(s.messages, l)
	if s.Unit() < 0.02 { // the link drops it where it is sealed; here an answer may come twice
		l.at += 0.5 * s.Unit()
		if l.grants != nil {
			s.messages = append(s.messages, l)
		}
	}
}

// step runs a step, with so many queries a second over all nodes, each by its weight.
func (s *simulation) step(perS float64) error {
	s.now += simStep
	switch u := s.Unit(); { // faults, some a minute
	case u < 0.002:
		s.lead(int(s.Unit() * float64(len(s.nodes))))
	case u < 0.004:
		s.nodes[int(s.Unit()*float64(len(s.nodes)))].stopped = s.now + 8*s.Unit()
	case u < 0.006:
		s.partitionedUntil[int(s.Unit()*float64(len(s.nodes)))] = s.now + 10*s.Unit()
	case u < 0.007:
		i := int(s.Unit() * float64(len(s.nodes)))
		m := s.nodes[i]
		m.stopped = 0
		s.start(m)
		if s.leader == i {
			s.lead(int(s.Unit() * float64(len(s.nodes))))
		}
	}
	s.deliver()
	total := 0.0
	for _, m := range s.nodes {
		total += m.weight
	}
	for i, m := range s.nodes {
		if m.stopped > s.now {
			continue
		}
		now := m.clock(s.now)
		if m.epoch != 0 && m.epoch == s.epoch && s.partitionedUntil[i] < s.now { // a majority says so
			m.granter.Confirm(now, authority)
		}
		if s.now >= m.next || m.client.Urgent() && s.now >= m.next-0.15 {
			m.next = s.now + 0.2
			m.no++
			m.requestedAt[m.no] = now
			if s.Unit() < 0.9 {
				m.granterIndex = s.leader
			}
			l := message{from: i, to: m.granterIndex, no: m.no, requests: m.client.Requests(now, m.no)}
			if l.to == i {
				s.take(l)
			} else {
				s.send(l)
			}
		}
		for want := perS * simStep * m.weight / total; want > 0; want-- {
			if (want >= 1 || s.Unit() < want) && m.bucket.Spend(now) {
				s.admitted++
				if err := s.checkBound(); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (s *simulation) checkBound() error {
	s.level = max(0, s.level-s.quota.PerS*(s.now-s.at)) + 1
	s.at = s.now
	if s.level > s.quota.Burst+1e-6 {
		return fmt.Errorf("at %.2f s: %.3f lookups over the quota in some window", s.now, s.level-s.quota.Burst)
	}
	return nil
}

// deliver hands over the messages that have arrived; what they are answered waits for the next step.
func (s *simulation) deliver() {
	waiting := s.messages
	s.messages = nil
	for _, l := range waiting {
		if m := s.nodes[l.to]; l.at > s.now || m.stopped > s.now {
			s.messages = append(s.messages, l)
			continue
		}
		s.take(l)
	}
}

func (s *simulation) take(l message) {
	m := s.nodes[l.to]
	now := m.clock(s.now)
	if l.grants != nil {
		at, known := m.requestedAt[l.no]
		if delete(m.requestedAt, l.no); !known {
			return
		}
		for i := range l.grants {
			m.client.ReceiveGrant(now, at, l.no, &l.grants[i])
		}
		return
	}
	back := []Grant{}
	for i := range l.requests {
		if g, may := m.granter.Grant(now, s.nodes[l.from].name, &l.requests[i], s.quota, s.reservedMinimums); may {
			back = append(back, g)
		}
	}
	answer := message{from: l.to, to: l.from, no: l.no, grants: back, at: s.now + 0.01}
	switch {
	case l.from == l.to:
		s.take(answer)
	case s.calm:
		s.messages = append(s.messages, answer)
	default:
		s.send(answer)
	}
}

func (s *simulation) play(seconds, perS float64) error {
	for until := s.now + seconds; s.now < until; {
		if err := s.step(perS); err != nil {
			return err
		}
	}
	return nil
}

var shapes = []Quota{{50, 60, 0.1}, {5, 4, 0}, {200, 40, 0.5}, {20, 100, 1}, {1, 1, 0}, {30, 90, 0.3}}

// The bound holds in every window of a thousand seeded minutes of faults.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	seeds := uint64(1000)
	if raceflag.On || testing.Short() {
		seeds = 600
	}
	admitted := 0.0
	for seed := range seeds {
		s := newSimulation(seed+1, shapes[seed%uint64(len(shapes))], omittedRule{})
		if err := s.play(40, 3*s.quota.PerS); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, s.quota, err)
		}
		admitted += s.admitted / (40 * s.quota.PerS)
	}
	t.Logf("%.3f of the quotas used under all these faults", admitted/float64(seeds))
}

// The checker finds each rule that is left out.
func TestCheckerFindsOmittedRules(t *testing.T) {
	for name, b := range map[string]omittedRule{"floors not subtracted": {ignoreMinimums: true}, "a new granter does not wait": {grantAtOnce: true},
		"leases are not looked at": {ignoreExpiry: true}, "a process begins with a full floor": {startFull: true}} {
		found := 0
		for seed := range uint64(60) {
			s := newSimulation(seed+1, shapes[seed%uint64(len(shapes))], b)
			if s.play(40, 3*s.quota.PerS) != nil {
				found++
			}
		}
		if t.Logf("%s: found in %d of 60 runs", name, found); found == 0 {
			t.Errorf("%s: not found in 60 runs", name)
		}
	}
}

// calm is a fleet without faults, whose tenant's queries go where weights say.
func calm(q Quota, weights ...float64) *simulation {
	s := &simulation{calm: true, PCG: 7, quota: q, lease: 3, partitionedUntil: map[int]float64{}, epoch: 1}
	for i, w := range weights {
		m := &simNode{rate: 1, name: membership.Name(fmt.Sprint("m", i)), granter: NewGranter(s.lease), weight: w}
		s.nodes = append(s.nodes, m)
	}
	for _, m := range s.nodes {
		s.start(m)
	}
	s.lead(0)
	return s
}

// calmStep is a step without faults.
func (s *simulation) calmStep(perS float64) (admitted float64, err error) {
	was := s.admitted
	s.now += simStep
	s.deliver()
	total := 0.0
	for _, m := range s.nodes {
		total += m.weight
	}
	for i, m := range s.nodes {
		now := m.clock(s.now)
		if i == s.leader {
			m.granter.Confirm(now, authority)
		}
		if s.now >= m.next || m.client.Urgent() && s.now >= m.next-0.18 {
			m.next = s.now + 0.2
			m.no++
			m.requestedAt[m.no] = now
			l := message{from: i, to: s.leader, no: m.no, requests: m.client.Requests(now, m.no), at: s.now + 0.01}
			if i == s.leader {
				s.take(l)
			} else {
				s.messages = append(s.messages, l)
			}
		}
		m.weightDue += perS * simStep * m.weight / total
		for ; m.weightDue >= 1; m.weightDue-- {
			if m.bucket.Spend(now) {
				s.admitted++
				if err := s.checkBound(); err != nil {
					return 0, err
				}
			}
		}
	}
	return s.admitted - was, nil
}

// Without a fault a tenant gets 95% of its quota, whether its queries are spread, come to one node, or have moved to another
// a second ago.
func TestQuotaIsUsedInFull(t *testing.T) {
	for _, q := range []Quota{{100, 100, 0.04}, {20, 20, 0.04}, {3, 6, 0}} {
		for _, n := range []int{3, 9, 30} {
			weights := make([]float64, n)
			weights[1] = 1
			s := calm(q, weights...)
			play := func(seconds float64) (n float64) {
				for until := s.now + seconds; s.now < until; {
					more, err := s.calmStep(2 * q.PerS)
					if err != nil {
						t.Fatal(err)
					}
					n += more
				}
				return n
			}
			play(30)
			at := func(what string) {
				if used := play(20) / (20 * q.PerS); used < 0.95 {
					t.Errorf("%+v, %d mixers, %s: %.3f of the quota used, expected 0.95", q, n, what, used)
				}
			}
			at("at one")
			s.nodes[1].weight, s.nodes[2].weight = 0, 1
			play(1)
			at("moved to another")
			for _, m := range s.nodes {
				m.weight = 1
			}
			play(5)
			if q.Burst >= 3*float64(n) { // else most of the burst lies at nodes where nobody asks at the moment
				at("spread over all")
			}
		}
	}
}

// A minimum of just one query admits it, with Unix time as it is, and its rate from then on, without any other node.
func TestMinimumOfOneQueryAdmitsIt(t *testing.T) {
	const began = 1.79e9
	h := NewClient(3, 9)
	b := h.Set(began, map[Tenant]Quota{"t": {PerS: 60, Burst: 90, MinimumShare: 0.1}})["t"]
	n := 0
	for i := range 60 * 100 {
		if b.Spend(began + float64(i)/100) {
			n++
		}
	}
	if want := 60 * 0.1 * 60 / 9; float64(n) < 0.95*want || float64(n) > want+1 {
		t.Errorf("%d lookups admitted in a minute, expected about %.0f", n, want)
	}
}

// Many goroutines spend from a bucket while grants come and are closed: never more than was granted.
func TestConcurrentSpendingNeverOverdraws(t *testing.T) {
	h := NewClient(1000, 3)
	b := h.Set(0, map[Tenant]Quota{"t": {PerS: 1000, Burst: 1000}})["t"]
	var spent atomic.Int64
	var all sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if b.Spend(1) {
						spent.Add(1)
					}
				}
			}
		})
	}
	put, back := 0.0, 0.0
	notified := map[GrantNumber]bool{}
	for no := range uint64(3000) {
		h.ReceiveGrant(1, 0.5, no+1, &Grant{Tenant: "t", Number: GrantNumber(no + 1), Tokens: 7})
		put += 7
		for _, a := range h.Requests(1+float64(no)/1e6, no+1) {
			for _, g := range a.Spent {
				if g.Closed && !notified[g.Number] {
					notified[g.Number] = true
					back += 7 - g.Spent
				}
			}
		}
	}
	close(stop)
	all.Wait()
	left := 0.0
	for i := range b.slots {
		if s := b.slots[i].Load(); s != nil {
			left += float64(max(0, s.remaining.Load()))
		}
	}
	if got := float64(spent.Load()); got > put-back {
		t.Errorf("%g spent of %g put in, of which %g were given back", got, put, back)
	}
}

func TestQuotaValidation(t *testing.T) {
	for _, q := range []Quota{{0, 5, 0}, {math.Inf(1), 5, 0}, {5, 0.5, 0}, {5, 5, 1.1}, {5, 5, -1}, {math.NaN(), 5, 0}} {
		if wrong, _ := q.Check(3); wrong == "" {
			t.Errorf("%+v is taken", q)
		}
	}
	if wrong, warn := (Quota{100, 100, 0.04}).Check(3); wrong != "" || warn != "" {
		t.Error(wrong, warn)
	}
	if _, warn := (Quota{100, 10, 0}).Check(3); warn == "" {
		t.Error("no note on a burst that is too short")
	}
}
