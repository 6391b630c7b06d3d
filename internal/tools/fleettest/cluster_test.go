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
	discovery     *fakes.Register
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
	w := newCluster(t, o)
	for i := range w.Options.Backends {
		w.addBackend(i)
	}
	for i := range w.Options.Aggregators {
		w.addAggregator(i)
	}
	w.addLinks()
	for _, m := range w.Aggregators {
		m.Start()
	}
	if o.Supervised {
		stop := w.supervise()
		var killed []*Aggregator
		once := sync.OnceFunc(func() { killed = stop() })
		w.StopSupervising = func() []*Aggregator { once(); return killed }
	}
	t.Cleanup(w.shutDown)
	w.awaitAllServing()
	return w
}

// awaitAllServing waits until all aggregators serve.
func (w *Cluster) awaitAllServing() {
	w.Helper()
	for _, m := range w.Aggregators {
		w.Await(m.Name+" serves", m.isServing)
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
	w := &Cluster{TB: t, Options: o, relays: map[[2]int]*Relay{}, Checker: NewChecker(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		Site: fakes.Site{Zones: []string{"a", "b", "c"}, Cells: o.Backends, Width: 2, Shards: o.Backends, Aggregators: o.Aggregators, Tenants: append([]string{"acme", "bolt", "cato"}, o.Tenants...),
			Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", Soft: 0.5, Hard: 2, Value: 1, Minimum: 0.5}, {Name: "orders", Effect: "once", Soft: 0.5, Hard: 2, Value: 3}}}}
	var err error
	w.dir, err = os.MkdirTemp("", "rg") // a socket's path is short
	w.must(err)
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(w.dir)
		}
	})
	w.must(os.WriteFile(w.path("key"), []byte(strings.Repeat("5a", 32)), 0o600))
	return w
}

// addBackend starts a fake for a backend, whose subqueries the checker records.
func (w *Cluster) addBackend(i int) {
	w.Helper()
	s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), w.Site.Zones[i%3], i, 16, w.Service)
	w.must(err)
	s.OnCall = func(query string, _ int) { w.Checker.RecordSubquery(s.Name, s.Zone, query) }
	w.Cleanup(s.Kill)
	w.Backends = append(w.Backends, s)
}

// addAggregator prepares an aggregator: its addresses, its list of backends, and a relay before each of them. It does not start it.
func (w *Cluster) addAggregator(i int) {
	w.Helper()
	m := &Aggregator{cluster: w, index: i, Name: fmt.Sprintf("m%d", i), Zone: w.Site.Zones[i%3], dir: w.path(fmt.Sprintf("d%d", i))}
	m.Listen, m.address = w.port(), w.port()
	var err error
	m.discovery, err = fakes.NewRegister()
	w.must(err)
	w.Cleanup(m.discovery.Close)
	for j, s := range w.Backends {
		e := s.Entry("SERVING", true)
		r, err := NewRelay(e.Address, false, uint64(1000*i+j))
		w.must(err)
		w.Cleanup(r.Close)
		e.Address = r.Address()
		m.backendRelays = append(m.backendRelays, r)
		m.discovery.Set(e)
	}
	if w.Env != nil {
		m.env = w.Env(i)
	}
	w.Aggregators = append(w.Aggregators, m)
}

// addLinks starts a relay from each aggregator to each other.
func (w *Cluster) addLinks() {
	w.Helper()
	for i, from := range w.Aggregators {
		for j, to := range w.Aggregators {
			if i == j {
				continue
			}
			r, err := NewRelay(to.address, true, uint64(i*64+j))
			w.must(err)
			w.Cleanup(r.Close)
			w.relays[[2]int{from.index, to.index}] = r
		}
	}
}

// shutDown kills all processes, and logs for a failed test how its queries were answered and where the logs are.
func (w *Cluster) shutDown() {
	if w.StopSupervising != nil {
		w.StopSupervising()
	}
	for _, m := range w.Aggregators {
		m.Kill()
	}
	if !w.Failed() {
		return
	}
	for text, n := range w.Checker.RejectionReasons() { // of what was not admitted
		w.Logf("%d queries: %s", n, text)
	}
	w.Logf("logs are in %s", w.dir)
}

// lastPort counts ports that processes are told to listen on. They lie below those that the system hands out by itself, or
// a relay that starts meanwhile could get one; another run of the tests begins elsewhere.
var lastPort atomic.Int64

func (w *Cluster) port() string {
	w.Helper()
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
	w.Fatal("no free port")
	return ""
}

func (w *Cluster) path(name string) string { return filepath.Join(w.dir, name) }

func (w *Cluster) must(err error) {
	w.Helper()
	if err != nil {
		w.Fatal(err)
	}
}

// operatorCallInterval keeps the tests' calls under the rate limit of operators' calls.
const operatorCallInterval = 100 * time.Millisecond

// Await waits for something that is to come.
func (w *Cluster) Await(what string, is func() bool) {
	w.Helper()
	for late := time.Now().Add(Timeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			for _, m := range w.Aggregators {
				text, _ := json.Marshal(m.FleetStatus())
				w.Logf("%s shows %s", m.Name, text)
			}
			w.Fatalf("never: %s", what)
		}
	}
}

// Link is the relay from one aggregator to another.
func (w *Cluster) Link(from, to int) *Relay { return w.relays[[2]int{from, to}] }

// SetLinkFaults sets a fault on every link between two aggregators that the function selects.
func (w *Cluster) SetLinkFaults(f Fault, either func(from, to int) bool) {
	for pair, r := range w.relays {
		if either(pair[0], pair[1]) {
			r.Set(f)
		}
	}
}

// Partition partitions one side of the fleet from the others; without arguments it heals all links.
func (w *Cluster) Partition(side ...int) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for pair, r := range w.relays {
		r.Set(Fault{Partitioned: in[pair[0]] != in[pair[1]]})
	}
}

// RoundRobin picks every aggregator by turns.
func (w *Cluster) RoundRobin(n int) *Aggregator { return w.Aggregators[n%len(w.Aggregators)] }

// Arming is the variable that arms a point.
func Arming(p failpoint.Point, pass int, fault string) string {
	return "PUFFINLINK_FAILPOINT=" + strconv.Itoa(int(p)) + ":" + strconv.Itoa(pass) + ":" + fault
}

// CheckInvariants checks what holds in every scenario: each query of an aggregator that was not killed got its answer, no order ran more often than
// its client sent it, and no subquery began outside of a contract.
func (w *Cluster) CheckInvariants(killed ...*Aggregator) {
	w.Helper()
	var but []string
	for _, m := range killed {
		but = append(but, m.Name)
	}
	if n := w.Checker.Unanswered(but...); n > 0 {
		w.Errorf("%d queries had no final answer", n)
	}
	times := map[string]int64{}
	for _, s := range w.Backends {
		s.Executed(func(id string, n int64) { times[id] += n })
	}
	for id, n := range times {
		if tenant, _, _ := strings.Cut(id, " "); n > max(1, w.timesSentOf(id)) && tenant == OrdersTenant {
			w.Errorf("subquery %q of an order ran %d times, and was sent %d times", id, n, w.timesSentOf(id))
		}
	}
	for i, wrong := range w.Checker.ContractViolations() {
		if i < 5 {
			w.Error(wrong)
		}
	}
}

// CheckQuota checks that a tenant's queries stayed within its quota in every window.
func (w *Cluster) CheckQuota(tenant string, perS, burst float64) {
	w.Helper()
	if over, window := w.Checker.QuotaExcess(tenant, perS, burst); over > 0 {
		w.Errorf("%s: %.1f over the quota: %s", tenant, over, window)
	}
}

// OrdersTenant is the tenant whose queries are orders, which run once.
const OrdersTenant = "bolt"
