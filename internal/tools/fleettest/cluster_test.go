// Package fleettest starts several real processes of the program on loopback, before fakes, with a relay between every two,
// and checks what came of them. Only tests use it. What checks here shares no code with what it checks.
package fleettest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/fakes"
	"puffinlink.example/puffinlink/internal/operators/api"
)

// Timeout bounds what is waited for, which comes soon unless something is broken.
const Timeout = time.Minute

// Options are a cluster's.
type Options struct {
	Aggregators       int
	Voters            int
	LeaseS            float64
	Quotas            string // the section's text; "" for none
	Contracts         string
	Tenants           []string // beside acme, bolt and cato
	WithoutFailpoints bool     // without numbered points
	NoFleet           bool     // aggregators share nothing, to compare with
	DirectoryForAll   bool     // all aggregators keep a directory, and not the voters alone
	Backends          int
	Service           time.Duration
	Env               func(aggregator int) []string
	Binary            string // to start instead of the program as it is
	Supervised        bool   // from the first moment on, as processes may be killed by what Env arms
}

// Cluster is a fleet with all that is around it.
type Cluster struct {
	testing.TB
	Options
	Site            fakes.Site
	Aggregators     []*Aggregator
	Backends        []*fakes.Backend
	Checker         *Checker
	relays          map[[2]int]*Relay // from one aggregator to another
	dir             string
	client          *http.Client
	lastID          atomic.Int64
	timesSent       sync.Map                      // query's text -> *atomic.Int64, how often the client sent it: net/http repeats by itself what broke on a used connection
	StopSupervising func() (killed []*Aggregator) // ends the supervision and returns who was killed
}

// Aggregator is one process, with what only it sees.
type Aggregator struct {
	Name, Zone string
	Listen     string

	cluster       *Cluster
	index         int
	suffix        string // sets a second process of one name apart
	address       string // of its own fleet's sockets
	discovery     *fakes.Registry
	backendRelays []*Relay // of each backend
	dir           string
	env           []string
	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{}
	log           string
	client        *api.Client
}

// Start starts a cluster. Aggregators and backends stand in zones a, b and c by turns; each shard is held in two zones.
func Start(t testing.TB, o Options) *Cluster {
	t.Helper()
	Build(t, failpointsTag)
	acquireSlots(t, o.Aggregators)
	c := newCluster(t, o)
	for i := range c.Options.Backends {
		c.addBackend(i)
	}
	for i := range c.Options.Aggregators {
		c.addAggregator(i)
	}
	c.addLinks()
	for _, m := range c.Aggregators {
		m.Start()
	}
	if o.Supervised {
		stop := c.supervise()
		var killed []*Aggregator
		once := sync.OnceFunc(func() { killed = stop() })
		c.StopSupervising = func() []*Aggregator { once(); return killed }
	}
	t.Cleanup(c.shutDown)
	c.awaitAllServing()
	return c
}

// awaitAllServing waits until all aggregators serve.
func (c *Cluster) awaitAllServing() {
	c.Helper()
	for _, m := range c.Aggregators {
		c.Await(m.Name+" serves", m.isServing)
	}
}

// The usual settings of a cluster.
const (
	leastBackends = 6
	leastVoters   = 3
	usualLeaseS   = 8
	usualService  = 2 * time.Millisecond
)

// newCluster is one with its directory and key, and nothing else yet.
func newCluster(t testing.TB, o Options) *Cluster {
	t.Helper()
	o.Backends, o.Voters = max(o.Backends, leastBackends), max(o.Voters, leastVoters)
	o.LeaseS, o.Service = cmp.Or(o.LeaseS, usualLeaseS), cmp.Or(o.Service, usualService)
	c := &Cluster{TB: t, Options: o, relays: map[[2]int]*Relay{}, Checker: NewChecker(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		Site: fakes.Site{Zones: []string{"a", "b", "c"}, Cells: o.Backends, CellsPerShard: 2, Shards: o.Backends, Aggregators: o.Aggregators, Tenants: append([]string{"acme", "bolt", "cato"}, o.Tenants...),
			Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 1, MinAnswerShare: 0.5}, {Name: "orders", Effect: "once", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 3}}}}
	var err error
	c.dir, err = os.MkdirTemp("", "rg") // a socket's path is short
	c.must(err)
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(c.dir)
		}
	})
	c.must(os.WriteFile(c.path("key"), []byte(strings.Repeat("5a", 32)), 0o600))
	return c
}

// addBackend starts a fake for a backend, whose subqueries the checker records.
func (c *Cluster) addBackend(i int) {
	c.Helper()
	s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), c.Site.Zones[i%3], i, 16, c.Service)
	c.must(err)
	s.OnCall = func(query string, _ int) { c.Checker.RecordSubquery(s.Name, s.Zone, query) }
	c.Cleanup(s.Kill)
	c.Backends = append(c.Backends, s)
}

// addAggregator prepares an aggregator: its addresses, its list of backends, and a relay before each of them. It does not start it.
func (c *Cluster) addAggregator(i int) {
	c.Helper()
	m := &Aggregator{cluster: c, index: i, Name: fmt.Sprintf("m%d", i), Zone: c.Site.Zones[i%3], dir: c.path(fmt.Sprintf("d%d", i))}
	m.Listen, m.address = c.port(), c.port()
	var err error
	m.discovery, err = fakes.NewRegistry()
	c.must(err)
	c.Cleanup(m.discovery.Close)
	for j, s := range c.Backends {
		e := s.Entry("SERVING", true)
		r, err := NewRelay(e.Address, false, uint64(1000*i+j))
		c.must(err)
		c.Cleanup(r.Close)
		e.Address = r.Address()
		m.backendRelays = append(m.backendRelays, r)
		m.discovery.Set(e)
	}
	if c.Env != nil {
		m.env = c.Env(i)
	}
	c.Aggregators = append(c.Aggregators, m)
}

// addLinks starts a relay from each aggregator to each other.
func (c *Cluster) addLinks() {
	c.Helper()
	for i, from := range c.Aggregators {
		for j, to := range c.Aggregators {
			if i == j {
				continue
			}
			r, err := NewRelay(to.address, true, uint64(i*64+j))
			c.must(err)
			c.Cleanup(r.Close)
			c.relays[[2]int{from.index, to.index}] = r
		}
	}
}

// shutDown kills all processes, and logs for a failed test how its queries were answered and where the logs are.
func (c *Cluster) shutDown() {
	if c.StopSupervising != nil {
		c.StopSupervising()
	}
	for _, m := range c.Aggregators {
		m.Kill()
	}
	if !c.Failed() {
		return
	}
	for text, n := range c.Checker.RejectionReasons() { // of what was not admitted
		c.Logf("%d queries: %s", n, text)
	}
	c.Logf("logs are in %s", c.dir)
}

// lastPort counts ports that processes are told to listen on. They lie below those that the system hands out by itself, or
// a relay that starts meanwhile could get one; another run of the tests begins elsewhere.
var lastPort atomic.Int64

func (c *Cluster) port() string {
	c.Helper()
	for range 10000 {
		at := fmt.Sprintf("127.0.0.1:%d", 12000+(int64(os.Getpid())*97+lastPort.Add(1))%18000)
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", at)
		if err == nil {
			u.Close()
			return at
		}
	}
	c.Fatal("no free port")
	return ""
}

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *Cluster) must(err error) {
	c.Helper()
	if err != nil {
		c.Fatal(err)
	}
}

// operatorCallInterval keeps the tests' calls under the rate limit of operators' calls.
const operatorCallInterval = 100 * time.Millisecond

// Await waits for something that is to come.
func (c *Cluster) Await(what string, is func() bool) {
	c.Helper()
	for late := time.Now().Add(Timeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			for _, m := range c.Aggregators {
				text, _ := json.Marshal(m.FleetStatus())
				c.Logf("%s shows %s", m.Name, text)
			}
			c.Fatalf("never: %s", what)
		}
	}
}

// Link is the relay from one aggregator to another.
func (c *Cluster) Link(from, to int) *Relay { return c.relays[[2]int{from, to}] }

// SetLinkFaults sets a fault on every link between two aggregators that the function selects.
func (c *Cluster) SetLinkFaults(f Fault, either func(from, to int) bool) {
	for pair, r := range c.relays {
		if either(pair[0], pair[1]) {
			r.Set(f)
		}
	}
}

// Partition partitions one side of the fleet from the others; without arguments it heals all links.
func (c *Cluster) Partition(side ...int) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for pair, r := range c.relays {
		r.Set(Fault{Partitioned: in[pair[0]] != in[pair[1]]})
	}
}

// RoundRobin picks every aggregator by turns.
func (c *Cluster) RoundRobin(n int) *Aggregator { return c.Aggregators[n%len(c.Aggregators)] }

// Arming is the variable that arms a point.
func Arming(p failpoint.Point, pass int, fault string) string {
	return "PUFFINLINK_FAILPOINT=" + strconv.Itoa(int(p)) + ":" + strconv.Itoa(pass) + ":" + fault
}

// CheckInvariants checks what holds in every scenario: each query of an aggregator that was not killed got its answer, no order ran more often than
// its client sent it, and no subquery began outside of a contract.
func (c *Cluster) CheckInvariants(killed ...*Aggregator) {
	c.Helper()
	var but []string
	for _, m := range killed {
		but = append(but, m.Name)
	}
	if n := c.Checker.Unanswered(but...); n > 0 {
		c.Errorf("%d queries had no final answer", n)
	}
	times := map[string]int64{}
	for _, s := range c.Backends {
		s.EachExecuted(func(id string, n int64) { times[id] += n })
	}
	for id, n := range times {
		if tenant, _, _ := strings.Cut(id, " "); n > max(1, c.timesSentOf(id)) && tenant == OrdersTenant {
			c.Errorf("subquery %q of an order ran %d times, and was sent %d times", id, n, c.timesSentOf(id))
		}
	}
	for i, wrong := range c.Checker.ContractViolations() {
		if i < 5 {
			c.Error(wrong)
		}
	}
}

// CheckQuota checks that a tenant's queries stayed within its quota in every window.
func (c *Cluster) CheckQuota(tenant string, rate, burst float64) {
	c.Helper()
	if over, window := c.Checker.QuotaExcess(tenant, rate, burst); over > 0 {
		c.Errorf("%s: %.1f over the quota: %s", tenant, over, window)
	}
}

// OrdersTenant is the tenant whose queries are orders, which run once.
const OrdersTenant = "bolt"
