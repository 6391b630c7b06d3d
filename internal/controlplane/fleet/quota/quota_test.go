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

// omittedRule disables one rule of the implementation in a simulation. The checker has to detect the violation that results.
type omittedRule struct {
	ignoreMinimums bool // the granter does not subtract minimums
	skipGrantDelay bool // a new granter does not wait for grants of the previous one to expire
	ignoreExpiry   bool // nodes spend from grants long after they have expired
	startFull      bool // a process starts with a full minimum
}

// simMessage is a message in transit between two nodes in virtual time. It carries requests or grants.
type simMessage struct {
	arrivesAt float64
	to        int
	from      int
	number    uint64
	requests  []Request
	grants    []Grant
}

// simNode is one node. Its clock runs at its own rate.
type simNode struct {
	clockRate     float64
	client        *Client
	granter       *Granter
	bucket        *Bucket
	pausedUntil   float64 // until when the process is paused
	term          uint64  // term in which it considers itself the granter; 0 for none
	lastRequest   uint64
	requestedAt   map[uint64]float64
	nextRequestAt float64
	name          membership.Name
	granterIndex  int     // the node that it sends requests to
	weight        float64 // share of queries
	weightDue     float64
}

// simulation runs the quota of one tenant over a fleet in virtual time. Messages are lost, delayed, duplicated and reordered.
// Nodes pause, restart and are partitioned. Clocks differ by a hundredth. Granters change while the previous one still considers
// itself the granter. The checker is a token bucket in true time. Its level exceeds the burst exactly if the quota is exceeded
// in some window.
type simulation struct {
	random.PCG
	quota            Quota
	lease            float64
	omitted          omittedRule
	nodes            []*simNode
	messages         []simMessage
	now              float64
	granterIndex     int
	term             uint64
	checkerLevel     float64
	checkerUpdatedAt float64
	admitted         float64
	partitionedUntil map[int]float64 // until when a node can neither send nor receive
	calm             bool
}

const (
	simStepSeconds   = 0.02
	authoritySeconds = 1.0
)

func newSimulation(seed uint64, quota Quota, omitted omittedRule) *simulation {
	s := &simulation{PCG: random.PCG(seed), quota: quota, lease: 3, omitted: omitted, partitionedUntil: map[int]float64{}, term: 1}
	for i := range 3 + int(s.Unit()*5) {
		s.nodes = append(s.nodes, &simNode{clockRate: 1 + MaxClockDrift/2*(2*s.Unit()-1), name: membership.Name(fmt.Sprint("m", i)), granter: NewGranter(s.lease),
			weight: s.Unit() * s.Unit()})
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.makeGranter(0)
	return s
}

// start starts a new process of a node.
func (s *simulation) start(node *simNode) {
	lease := s.lease
	if s.omitted.ignoreExpiry {
		lease *= 20
	}
	node.client, node.requestedAt, node.term = NewClient(lease, len(s.nodes)), map[uint64]float64{}, 0
	node.bucket = node.client.SetQuotas(node.clock(s.now), map[Tenant]Quota{"t": s.quota})["t"]
	if s.omitted.startFull {
		node.bucket.minimumFullAt.Store(math.Float64bits(node.clock(s.now)))
	}
	node.granter.End()
}

func (n *simNode) clock(now float64) float64 { return 1000 + now*n.clockRate }

// makeGranter makes a node the granter from now on. The previous granter is not told.
func (s *simulation) makeGranter(i int) {
	s.term++
	s.granterIndex = i
	node := s.nodes[i]
	node.term = s.term
	node.granter.Begin(node.clock(s.now), authoritySeconds, s.term)
	if s.omitted.skipGrantDelay {
		node.granter.grantFrom, node.granter.fillFrom = 0, node.clock(s.now)
	}
}

func (s *simulation) reservedMinimums(Tenant) (rate, burst float64) {
	if s.omitted.ignoreMinimums {
		return 0, 0
	}
	rate, burst = s.quota.NodeMinimum(len(s.nodes))
	n := float64(len(s.nodes))
	return n * rate, n * burst
}

func (s *simulation) send(msg simMessage) {
	lossRate, delay := 0.05, 0.001+0.02*s.Unit()
	switch u := s.Unit(); {
	case u < 0.05:
		delay = 4 * s.Unit()
	case u < 0.06:
		delay = 10 * s.Unit()
	}
	if s.Unit() < lossRate || s.now < s.partitionedUntil[msg.to] || s.now < s.partitionedUntil[msg.from] {
		return
	}
	msg.arrivesAt = s.now + delay
	s.messages = append(s.messages, msg)
	if s.Unit() < 0.02 { // Package sealedmessage rejects duplicates; here responses may still be duplicated.
		msg.arrivesAt += 0.5 * s.Unit()
		if msg.grants != nil {
			s.messages = append(s.messages, msg)
		}
	}
}

// step advances the simulation by one step. The queryRate queries a second are spread over the nodes by their weights.
func (s *simulation) step(queryRate float64) error {
	s.now += simStepSeconds
	switch u := s.Unit(); { // faults: several per minute
	case u < 0.002:
		s.makeGranter(int(s.Unit() * float64(len(s.nodes))))
	case u < 0.004:
		s.nodes[int(s.Unit()*float64(len(s.nodes)))].pausedUntil = s.now + 8*s.Unit()
	case u < 0.006:
		s.partitionedUntil[int(s.Unit()*float64(len(s.nodes)))] = s.now + 10*s.Unit()
	case u < 0.007:
		i := int(s.Unit() * float64(len(s.nodes)))
		node := s.nodes[i]
		node.pausedUntil = 0
		s.start(node)
		if s.granterIndex == i {
			s.makeGranter(int(s.Unit() * float64(len(s.nodes))))
		}
	}
	s.deliver()
	total := 0.0
	for _, node := range s.nodes {
		total += node.weight
	}
	for i, node := range s.nodes {
		if node.pausedUntil > s.now {
			continue
		}
		now := node.clock(s.now)
		if node.term != 0 && node.term == s.term && s.partitionedUntil[i] < s.now { // a majority confirms it
			node.granter.Confirm(now, authoritySeconds)
		}
		if s.now >= node.nextRequestAt || node.client.Urgent() && s.now >= node.nextRequestAt-0.15 {
			node.nextRequestAt = s.now + 0.2
			node.lastRequest++
			node.requestedAt[node.lastRequest] = now
			if s.Unit() < 0.9 {
				node.granterIndex = s.granterIndex
			}
			msg := simMessage{from: i, to: node.granterIndex, number: node.lastRequest, requests: node.client.Requests(now, node.lastRequest)}
			if msg.to == i {
				s.handle(msg)
			} else {
				s.send(msg)
			}
		}
		for want := queryRate * simStepSeconds * node.weight / total; want > 0; want-- {
			if (want >= 1 || s.Unit() < want) && node.bucket.Spend(now) {
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
	s.checkerLevel = max(0, s.checkerLevel-s.quota.Rate*(s.now-s.checkerUpdatedAt)) + 1
	s.checkerUpdatedAt = s.now
	if s.checkerLevel > s.quota.Burst+1e-6 {
		return fmt.Errorf("at %.2f s: %.3f queries over the quota in some window", s.now, s.checkerLevel-s.quota.Burst)
	}
	return nil
}

// deliver delivers the messages that have arrived. Responses to them are delivered in a later step.
func (s *simulation) deliver() {
	waiting := s.messages
	s.messages = nil
	for _, msg := range waiting {
		if node := s.nodes[msg.to]; msg.arrivesAt > s.now || node.pausedUntil > s.now {
			s.messages = append(s.messages, msg)
			continue
		}
		s.handle(msg)
	}
}

func (s *simulation) handle(msg simMessage) {
	node := s.nodes[msg.to]
	now := node.clock(s.now)
	if msg.grants != nil {
		requestedAt, known := node.requestedAt[msg.number]
		if delete(node.requestedAt, msg.number); !known {
			return
		}
		for i := range msg.grants {
			node.client.ReceiveGrant(now, requestedAt, msg.number, &msg.grants[i])
		}
		return
	}
	grants := []Grant{}
	for i := range msg.requests {
		if grant, mayGrant := node.granter.Grant(now, s.nodes[msg.from].name, &msg.requests[i], s.quota, s.reservedMinimums); mayGrant {
			grants = append(grants, grant)
		}
	}
	answer := simMessage{from: msg.to, to: msg.from, number: msg.number, grants: grants, arrivesAt: s.now + 0.01}
	switch {
	case msg.from == msg.to:
		s.handle(answer)
	case s.calm:
		s.messages = append(s.messages, answer)
	default:
		s.send(answer)
	}
}

func (s *simulation) run(seconds, queryRate float64) error {
	for end := s.now + seconds; s.now < end; {
		if err := s.step(queryRate); err != nil {
			return err
		}
	}
	return nil
}

var testQuotas = []Quota{{50, 60, 0.1}, {5, 4, 0}, {200, 40, 0.5}, {20, 100, 1}, {1, 1, 0}, {30, 90, 0.3}}

// The quota holds in every window of up to 1000 simulated runs of 40 seconds under faults, one for each seed.
func TestQuotaHoldsInEveryWindowUnderFaults(t *testing.T) {
	seeds := uint64(1000)
	if raceflag.Enabled || testing.Short() {
		seeds = 600
	}
	admitted := 0.0
	for seed := range seeds {
		s := newSimulation(seed+1, testQuotas[seed%uint64(len(testQuotas))], omittedRule{})
		if err := s.run(40, 3*s.quota.Rate); err != nil {
			t.Fatalf("seed %d, %+v: %v", seed, s.quota, err)
		}
		admitted += s.admitted / (40 * s.quota.Rate)
	}
	t.Logf("%.3f of the quotas used under faults", admitted/float64(seeds))
}

// The checker detects the violation if any single rule is omitted.
func TestCheckerDetectsEachOmittedRule(t *testing.T) {
	for name, omitted := range map[string]omittedRule{"minimums are not subtracted": {ignoreMinimums: true}, "a new granter does not wait": {skipGrantDelay: true},
		"expiry of grants is ignored": {ignoreExpiry: true}, "a process starts with a full minimum": {startFull: true}} {
		found := 0
		for seed := range uint64(60) {
			s := newSimulation(seed+1, testQuotas[seed%uint64(len(testQuotas))], omitted)
			if s.run(40, 3*s.quota.Rate) != nil {
				found++
			}
		}
		if t.Logf("%s: found in %d of 60 runs", name, found); found == 0 {
			t.Errorf("%s: not found in 60 runs", name)
		}
	}
}

// newCalmSimulation returns a simulation without faults, with one node for each weight.
func newCalmSimulation(quota Quota, weights ...float64) *simulation {
	s := &simulation{calm: true, PCG: 7, quota: quota, lease: 3, partitionedUntil: map[int]float64{}, term: 1}
	for i, w := range weights {
		node := &simNode{clockRate: 1, name: membership.Name(fmt.Sprint("m", i)), granter: NewGranter(s.lease), weight: w}
		s.nodes = append(s.nodes, node)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.makeGranter(0)
	return s
}

// calmStep advances the simulation by one step without faults, and returns how many queries were admitted.
func (s *simulation) calmStep(queryRate float64) (admitted float64, err error) {
	admittedBefore := s.admitted
	s.now += simStepSeconds
	s.deliver()
	total := 0.0
	for _, node := range s.nodes {
		total += node.weight
	}
	for i, node := range s.nodes {
		now := node.clock(s.now)
		if i == s.granterIndex {
			node.granter.Confirm(now, authoritySeconds)
		}
		if s.now >= node.nextRequestAt || node.client.Urgent() && s.now >= node.nextRequestAt-0.18 {
			node.nextRequestAt = s.now + 0.2
			node.lastRequest++
			node.requestedAt[node.lastRequest] = now
			msg := simMessage{from: i, to: s.granterIndex, number: node.lastRequest, requests: node.client.Requests(now, node.lastRequest), arrivesAt: s.now + 0.01}
			if i == s.granterIndex {
				s.handle(msg)
			} else {
				s.messages = append(s.messages, msg)
			}
		}
		node.weightDue += queryRate * simStepSeconds * node.weight / total
		for ; node.weightDue >= 1; node.weightDue-- {
			if node.bucket.Spend(now) {
				s.admitted++
				if err := s.checkBound(); err != nil {
					return 0, err
				}
			}
		}
	}
	return s.admitted - admittedBefore, nil
}

// Without faults a tenant can use 95% of its quota, whether its queries arrive at one node, moved to another node a second ago,
// or are spread over all nodes.
func TestQuotaIsUsedInFullWithoutFaults(t *testing.T) {
	for _, q := range []Quota{{100, 100, 0.04}, {20, 20, 0.04}, {3, 6, 0}} {
		for _, n := range []int{3, 9, 30} {
			weights := make([]float64, n)
			weights[1] = 1
			s := newCalmSimulation(q, weights...)
			run := func(seconds float64) (n float64) {
				for end := s.now + seconds; s.now < end; {
					more, err := s.calmStep(2 * q.Rate)
					if err != nil {
						t.Fatal(err)
					}
					n += more
				}
				return n
			}
			run(30)
			requireFullUse := func(distribution string) {
				if used := run(20) / (20 * q.Rate); used < 0.95 {
					t.Errorf("%+v, %d nodes, %s: %.3f of the quota used, expected 0.95", q, n, distribution, used)
				}
			}
			requireFullUse("queries at one node")
			s.nodes[1].weight, s.nodes[2].weight = 0, 1
			run(1)
			requireFullUse("queries moved to another node")
			for _, node := range s.nodes {
				node.weight = 1
			}
			run(5)
			if q.Burst >= 3*float64(n) { // with a smaller burst, most of it is granted to nodes without queries at the moment
				requireFullUse("queries spread over all nodes")
			}
		}
	}
}

// A minimum with a burst of exactly one query admits queries at its rate without any grant, also with the rounding that present
// Unix times have in a float64.
func TestMinimumOfOneQueryAdmitsQueriesWithoutGrants(t *testing.T) {
	const start = 1.79e9
	client := NewClient(3, 9)
	bucket := client.SetQuotas(start, map[Tenant]Quota{"t": {Rate: 60, Burst: 90, MinimumShare: 0.1}})["t"]
	n := 0
	for i := range 60 * 100 {
		if bucket.Spend(start + float64(i)/100) {
			n++
		}
	}
	if want := 60 * 0.1 * 60 / 9; float64(n) < 0.95*want || float64(n) > want+1 {
		t.Errorf("%d queries admitted in a minute, expected about %.0f", n, want)
	}
}

// Goroutines that spend from a bucket while grants arrive and are closed never spend more than was granted.
func TestConcurrentSpendingNeverOverdraws(t *testing.T) {
	client := NewClient(1000, 3)
	bucket := client.SetQuotas(0, map[Tenant]Quota{"t": {Rate: 1000, Burst: 1000}})["t"]
	var spent atomic.Int64
	var spenders sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		spenders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if bucket.Spend(1) {
						spent.Add(1)
					}
				}
			}
		})
	}
	granted, returned := 0.0, 0.0
	countedClosed := map[GrantNumber]bool{}
	for number := range uint64(3000) {
		client.ReceiveGrant(1, 0.5, number+1, &Grant{Tenant: "t", Number: GrantNumber(number + 1), Tokens: 7})
		granted += 7
		for _, request := range client.Requests(1+float64(number)/1e6, number+1) {
			for _, usage := range request.Usages {
				if usage.Closed && !countedClosed[usage.Number] {
					countedClosed[usage.Number] = true
					returned += 7 - usage.Spent
				}
			}
		}
	}
	close(stop)
	spenders.Wait()
	left := 0.0
	for i := range bucket.slots {
		if s := bucket.slots[i].Load(); s != nil {
			left += float64(max(0, s.remaining.Load()))
		}
	}
	if got := float64(spent.Load()); got > granted-returned {
		t.Errorf("%g tokens spent of %g granted, of which %g were returned", got, granted, returned)
	}
}

func TestInvalidQuotasAreRejected(t *testing.T) {
	for _, q := range []Quota{{0, 5, 0}, {math.Inf(1), 5, 0}, {5, 0.5, 0}, {5, 5, 1.1}, {5, 5, -1}, {math.NaN(), 5, 0}} {
		if problem, _ := q.Check(3); problem == "" {
			t.Errorf("%+v is accepted", q)
		}
	}
	if problem, warning := (Quota{100, 100, 0.04}).Check(3); problem != "" || warning != "" {
		t.Error(problem, warning)
	}
	if _, warning := (Quota{100, 10, 0}).Check(3); warning == "" {
		t.Error("no warning for a burst that is too small for the rate")
	}
}
