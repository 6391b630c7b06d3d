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
	LeaseSeconds      float64
	QuotasJSON        string // the section's text; "" for none
	ContractsJSON     string
	ExtraTenants      []string // beside acme, bolt and cato
	WithoutFailpoints bool     // without numbered points
	NoFleet           bool     // aggregators share nothing, to compare with
	DirectoryForAll   bool     // all aggregators keep a directory, and not the voters alone
	Backends          int
	ServiceTime       time.Duration
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
	lastQueryID     atomic.Int64
	sendCounts      sync.Map                      // query's text -> *atomic.Int64, how often the client sent it: net/http repeats by itself what broke on a used connection
	StopSupervising func() (killed []*Aggregator) // ends the supervision and returns who was killed
}

// Aggregator is one process, with what only it sees.
type Aggregator struct {
	Name, Zone    string
	ClientAddress string

	cluster       *Cluster
	index         int
	suffix        string // sets a second process of one name apart
	fleetAddress  string // of its own fleet's sockets
	discovery     *fakes.Register
	backendRelays []*Relay // of each backend
	directory     string
	env           []string
	mu            sync.Mutex
	command       *exec.Cmd
	ended         chan struct{}
	logPath       string
	client        *api.Client
}

// Start starts a cluster. Aggregators and backends stand in zones a, b and c by turns; each shard is held in two zones.
func Start(t testing.TB, options Options) *Cluster {
	t.Helper()
	BinaryPath(t, failpointsTag)
	acquireSlots(t, options.Aggregators)
	c := newCluster(t, options)
	for i := range c.Options.Backends {
		c.addBackend(i)
	}
	for i := range c.Options.Aggregators {
		c.addAggregator(i)
	}
	c.addLinkRelays()
	for _, aggregator := range c.Aggregators {
		aggregator.Start()
	}
	if options.Supervised {
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
	for _, aggregator := range c.Aggregators {
		c.Await(aggregator.Name+" serves", aggregator.isServing)
	}
}

// The usual settings of a cluster.
const (
	minBackends         = 6
	minVoters           = 3
	defaultLeaseSeconds = 8
	defaultServiceTime  = 2 * time.Millisecond
)

// newCluster is one with its directory and key, and nothing else yet.
func newCluster(t testing.TB, options Options) *Cluster {
	t.Helper()
	options.Backends, options.Voters = max(options.Backends, minBackends), max(options.Voters, minVoters)
	options.LeaseSeconds, options.ServiceTime = cmp.Or(options.LeaseSeconds, defaultLeaseSeconds), cmp.Or(options.ServiceTime, defaultServiceTime)
	c := &Cluster{TB: t, Options: options, relays: map[[2]int]*Relay{}, Checker: NewChecker(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		Site: fakes.Site{Zones: []string{"a", "b", "c"}, Cells: options.Backends, Width: 2, Shards: options.Backends, Aggregators: options.Aggregators, Tenants: append([]string{"acme", "bolt", "cato"}, options.ExtraTenants...),
			Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", Soft: 0.5, Hard: 2, Value: 1, Minimum: 0.5}, {Name: "orders", Effect: "once", Soft: 0.5, Hard: 2, Value: 3}}}}
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
	backend, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), c.Site.Zones[i%3], i, 16, c.ServiceTime)
	c.must(err)
	backend.OnCall = func(query string, _ int) { c.Checker.RecordSubquery(backend.Name, backend.Zone, query) }
	c.Cleanup(backend.Kill)
	c.Backends = append(c.Backends, backend)
}

// addAggregator prepares an aggregator: its addresses, its list of backends, and a relay before each of them. It does not start it.
func (c *Cluster) addAggregator(i int) {
	c.Helper()
	aggregator := &Aggregator{cluster: c, index: i, Name: fmt.Sprintf("m%d", i), Zone: c.Site.Zones[i%3], directory: c.path(fmt.Sprintf("d%d", i))}
	aggregator.ClientAddress, aggregator.fleetAddress = c.freeAddress(), c.freeAddress()
	var err error
	aggregator.discovery, err = fakes.NewRegister()
	c.must(err)
	c.Cleanup(aggregator.discovery.Close)
	for j, backend := range c.Backends {
		entry := backend.Entry("SERVING", true)
		relay, err := NewRelay(entry.Address, false, uint64(1000*i+j))
		c.must(err)
		c.Cleanup(relay.Close)
		entry.Address = relay.Address()
		aggregator.backendRelays = append(aggregator.backendRelays, relay)
		aggregator.discovery.Set(entry)
	}
	if c.Env != nil {
		aggregator.env = c.Env(i)
	}
	c.Aggregators = append(c.Aggregators, aggregator)
}

// addLinks starts a relay from each aggregator to each other.
func (c *Cluster) addLinkRelays() {
	c.Helper()
	for i, from := range c.Aggregators {
		for j, to := range c.Aggregators {
			if i == j {
				continue
			}
			relay, err := NewRelay(to.fleetAddress, true, uint64(i*64+j))
			c.must(err)
			c.Cleanup(relay.Close)
			c.relays[[2]int{from.index, to.index}] = relay
		}
	}
}

// shutDown kills all processes, and logs for a failed test how its queries were answered and where the logs are.
func (c *Cluster) shutDown() {
	if c.StopSupervising != nil {
		c.StopSupervising()
	}
	for _, aggregator := range c.Aggregators {
		aggregator.Kill()
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
var portCounter atomic.Int64

func (c *Cluster) freeAddress() string {
	c.Helper()
	for range 10000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+(int64(os.Getpid())*97+portCounter.Add(1))%18000)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		packetConn, err := net.ListenPacket("udp", address)
		if err == nil {
			packetConn.Close()
			return address
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
func (c *Cluster) Await(description string, condition func() bool) {
	c.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, aggregator := range c.Aggregators {
				text, _ := json.Marshal(aggregator.FleetStatus())
				c.Logf("%s shows %s", aggregator.Name, text)
			}
			c.Fatalf("never: %s", description)
		}
	}
}

// Link is the relay from one aggregator to another.
func (c *Cluster) LinkRelay(from, to int) *Relay { return c.relays[[2]int{from, to}] }

// SetLinkFaults sets a fault on every link between two aggregators that the function selects.
func (c *Cluster) SetLinkFaults(f Fault, selected func(from, to int) bool) {
	for pair, r := range c.relays {
		if selected(pair[0], pair[1]) {
			r.SetFault(f)
		}
	}
}

// Partition partitions one side of the fleet from the others; without arguments it heals all links.
func (c *Cluster) Partition(side ...int) {
	onSide := map[int]bool{}
	for _, i := range side {
		onSide[i] = true
	}
	for pair, r := range c.relays {
		r.SetFault(Fault{Partitioned: onSide[pair[0]] != onSide[pair[1]]})
	}
}

// RoundRobin picks every aggregator by turns.
func (c *Cluster) RoundRobin(n int) *Aggregator { return c.Aggregators[n%len(c.Aggregators)] }

// Arming is the variable that arms a point.
func FailpointEnv(p failpoint.Point, pass int, fault string) string {
	return "PUFFINLINK_FAILPOINT=" + strconv.Itoa(int(p)) + ":" + strconv.Itoa(pass) + ":" + fault
}

// CheckInvariants checks what holds in every scenario: each query of an aggregator that was not killed got its answer, no order ran more often than
// its client sent it, and no subquery began outside of a contract.
func (c *Cluster) CheckInvariants(killed ...*Aggregator) {
	c.Helper()
	var excluded []string
	for _, aggregator := range killed {
		excluded = append(excluded, aggregator.Name)
	}
	if n := c.Checker.UnansweredCount(excluded...); n > 0 {
		c.Errorf("%d queries had no final answer", n)
	}
	executions := map[string]int64{}
	for _, backend := range c.Backends {
		backend.Executed(func(id string, n int64) { executions[id] += n })
	}
	for id, n := range executions {
		if tenant, _, _ := strings.Cut(id, " "); n > max(1, c.sendCount(id)) && tenant == OrdersTenant {
			c.Errorf("subquery %q of an order ran %d times, and was sent %d times", id, n, c.sendCount(id))
		}
	}
	for i, violation := range c.Checker.ContractViolations() {
		if i < 5 {
			c.Error(violation)
		}
	}
}

// CheckQuota checks that a tenant's queries stayed within its quota in every window.
func (c *Cluster) CheckQuota(tenant string, perSecond, burst float64) {
	c.Helper()
	if excess, window := c.Checker.QuotaExcess(tenant, perSecond, burst); excess > 0 {
		c.Errorf("%s: %.1f over the quota: %s", tenant, excess, window)
	}
}

// OrdersTenant is the tenant whose queries are orders, which run once.
const OrdersTenant = "bolt"
