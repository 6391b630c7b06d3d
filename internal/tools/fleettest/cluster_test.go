// Package fleettest runs a fleet of real aggregator processes on loopback and checks the answers to the queries that it sends.
// The backends are fakes. A relay on the path between every two aggregators, and between each aggregator and each backend, injects
// network faults. The package contains only tests and their helpers. The checkers share no code with the program that they check.
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

// Timeout is how long tests wait for a condition before they fail. Conditions are normally met much sooner.
const Timeout = time.Minute

// Options configures a cluster.
type Options struct {
	Aggregators       int
	Voters            int                           // the first aggregators vote; at least minVoters
	LeaseSeconds      float64                       // defaultLeaseSeconds if 0
	QuotasJSON        string                        // the quotas section of the operator file; empty for none
	ContractsJSON     string                        // the contracts section of the operator file; empty for none
	ExtraTenants      []string                      // in addition to acme, bolt and cato
	WithoutFailpoints bool                          // run a binary without failpoints
	NoFleet           bool                          // the aggregators form no fleet, as a baseline
	DirectoryForAll   bool                          // every aggregator keeps a directory, not only the voters
	Backends          int                           // at least minBackends
	ServiceTime       time.Duration                 // of a subquery at a fake backend; defaultServiceTime if 0
	Env               func(aggregator int) []string // additional environment variables of an aggregator; may be nil
	Binary            string                        // run instead of the unmodified program, if not empty
	Supervised        bool                          // restart processes from the start on, because failpoints armed by Env may kill them
}

// Cluster is a fleet of aggregators with its fake backends, relays, client and checker.
type Cluster struct {
	testing.TB
	Options
	Site            fakes.Site
	Aggregators     []*Aggregator
	Backends        []*fakes.Backend
	Checker         *Checker
	relays          map[[2]int]*Relay // by the indexes of the sending and the receiving aggregator
	dir             string
	client          *http.Client
	lastQueryID     atomic.Int64
	sendCounts      sync.Map                      // query's text -> *atomic.Int64, how often the client sent it; net/http itself retries if a reused connection breaks
	StopSupervising func() (killed []*Aggregator) // ends the supervision and returns the aggregators that were killed
}

// Aggregator is one aggregator process with its own backend list, relays and directory.
type Aggregator struct {
	Name, Zone    string
	ClientAddress string

	cluster       *Cluster
	index         int
	suffix        string // distinguishes the files of a second process of the same name
	fleetAddress  string // of its fleet listener; peers reach it through relays
	discovery     *fakes.Registry
	backendRelays []*Relay // by the index of the backend
	directory     string
	env           []string
	mu            sync.Mutex
	command       *exec.Cmd
	ended         chan struct{}
	logPath       string
	client        *api.Client
}

// Start starts a cluster and waits until all aggregators serve. Aggregators and backends are spread over zones a, b and c in
// rotation, and each shard is held in two zones.
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

// awaitAllServing waits until every aggregator serves queries.
func (c *Cluster) awaitAllServing() {
	c.Helper()
	for _, aggregator := range c.Aggregators {
		c.Await(aggregator.Name+" serves", aggregator.isServing)
	}
}

// Defaults and lower bounds of the options of a cluster.
const (
	minBackends         = 6
	minVoters           = 3
	defaultLeaseSeconds = 8
	defaultServiceTime  = 2 * time.Millisecond
)

// newCluster creates a cluster with its directory and key file, without backends or aggregators.
func newCluster(t testing.TB, options Options) *Cluster {
	t.Helper()
	options.Backends, options.Voters = max(options.Backends, minBackends), max(options.Voters, minVoters)
	options.LeaseSeconds, options.ServiceTime = cmp.Or(options.LeaseSeconds, defaultLeaseSeconds), cmp.Or(options.ServiceTime, defaultServiceTime)
	c := &Cluster{TB: t, Options: options, relays: map[[2]int]*Relay{}, Checker: NewChecker(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		Site: fakes.Site{Zones: []string{"a", "b", "c"}, Cells: options.Backends, CellsPerShard: 2, Shards: options.Backends, Aggregators: options.Aggregators, Tenants: append([]string{"acme", "bolt", "cato"}, options.ExtraTenants...),
			Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 1, MinAnswerShare: 0.5}, {Name: "orders", Effect: "once", SoftDeadlineSeconds: 0.5, HardDeadlineSeconds: 2, Value: 3}}}}
	var err error
	c.dir, err = os.MkdirTemp("", "rg") // short, because the path of a Unix socket is limited
	c.must(err)
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(c.dir)
		}
	})
	c.must(os.WriteFile(c.path("key"), []byte(strings.Repeat("5a", 32)), 0o600))
	return c
}

// addBackend starts a fake backend whose subqueries the checker records.
func (c *Cluster) addBackend(i int) {
	c.Helper()
	backend, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), c.Site.Zones[i%3], i, 16, c.ServiceTime)
	c.must(err)
	backend.OnCall = func(query string, _ int) { c.Checker.RecordSubquery(backend.Name, backend.Zone, query) }
	c.Cleanup(backend.Kill)
	c.Backends = append(c.Backends, backend)
}

// addAggregator prepares an aggregator without starting it: its addresses, its list of backends, and a relay to each backend.
func (c *Cluster) addAggregator(i int) {
	c.Helper()
	aggregator := &Aggregator{cluster: c, index: i, Name: fmt.Sprintf("m%d", i), Zone: c.Site.Zones[i%3], directory: c.path(fmt.Sprintf("d%d", i))}
	aggregator.ClientAddress, aggregator.fleetAddress = c.freeAddress(), c.freeAddress()
	var err error
	aggregator.discovery, err = fakes.NewRegistry()
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

// addLinkRelays starts a relay from each aggregator to every other aggregator.
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

// shutDown kills all processes. If the test failed, it logs why queries were not admitted and where the logs are.
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
	for text, n := range c.Checker.RejectionReasons() {
		c.Logf("%d queries: %s", n, text)
	}
	c.Logf("the logs of the processes are in %s", c.dir)
}

// portCounter counts the ports handed out for processes to listen on. These ports lie below the ephemeral range of the system.
// Otherwise a relay that starts at the same time could be assigned one. The process ID determines the first port, so that test
// runs in parallel use different ports.
var portCounter atomic.Int64

// freeAddress returns a loopback address whose port is free for both TCP and UDP.
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

// must fails the test if err is not nil.
func (c *Cluster) must(err error) {
	c.Helper()
	if err != nil {
		c.Fatal(err)
	}
}

// operatorCallInterval is the pause before operator calls. It keeps the tests below the rate limit of these calls.
const operatorCallInterval = 100 * time.Millisecond

// Await waits until the condition is met. After Timeout it logs the fleet status of all aggregators and fails the test.
func (c *Cluster) Await(description string, condition func() bool) {
	c.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, aggregator := range c.Aggregators {
				text, _ := json.Marshal(aggregator.FleetStatus())
				c.Logf("fleet status of %s: %s", aggregator.Name, text)
			}
			c.Fatalf("timed out waiting until %s", description)
		}
	}
}

// LinkRelay returns the relay from one aggregator to another.
func (c *Cluster) LinkRelay(from, to int) *Relay { return c.relays[[2]int{from, to}] }

// SetLinkFaults sets a fault on each link between two aggregators for which selected returns true.
func (c *Cluster) SetLinkFaults(f Fault, selected func(from, to int) bool) {
	for pair, r := range c.relays {
		if selected(pair[0], pair[1]) {
			r.SetFault(f)
		}
	}
}

// Partition cuts all links between the given aggregators and the others, and heals all other links. Without arguments it heals all
// links.
func (c *Cluster) Partition(side ...int) {
	onSide := map[int]bool{}
	for _, i := range side {
		onSide[i] = true
	}
	for pair, r := range c.relays {
		r.SetFault(Fault{Partitioned: onSide[pair[0]] != onSide[pair[1]]})
	}
}

// RoundRobin returns the aggregator for the n-th query, in rotation.
func (c *Cluster) RoundRobin(n int) *Aggregator { return c.Aggregators[n%len(c.Aggregators)] }

// FailpointEnv returns the environment variable that triggers a fault when the process passes a failpoint for the pass-th time.
func FailpointEnv(p failpoint.Point, pass int, fault string) string {
	return "PUFFINLINK_FAILPOINT=" + strconv.Itoa(int(p)) + ":" + strconv.Itoa(pass) + ":" + fault
}

// CheckInvariants checks the invariants of every scenario. Each query to an aggregator that was not killed has a final answer. No
// subquery of an order ran more often than the client sent the order. No subquery began outside of a contract.
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
		backend.EachExecuted(func(id string, n int64) { executions[id] += n })
	}
	for id, n := range executions {
		if tenant, _, _ := strings.Cut(id, " "); n > max(1, c.sendCount(id)) && tenant == OrdersTenant {
			c.Errorf("subquery %q of an order ran %d times, but the order was sent %d times", id, n, c.sendCount(id))
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
		c.Errorf("%s: %.1f queries over the quota: %s", tenant, excess, window)
	}
}

// OrdersTenant is the tenant whose queries are orders, which must not be executed twice.
const OrdersTenant = "bolt"
