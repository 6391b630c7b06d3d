// Package fleettest starts several real processes of the program on loopback, before stand-ins, with a relay between every two,
// and judges what came of them. Only tests use it. What judges here shares no code with what it judges.
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

// Patience bounds what is waited for, which comes soon unless something is broken.
const Patience = time.Minute

// Options are a world's.
type Options struct {
	Aggregators int
	Voters      int
	LeaseS      float64
	Quotas      string // the section's text; "" for none
	Contracts   string
	Tenants     []string // beside acme, bolt and cato
	Plain       bool     // without numbered points
	NoFleet     bool     // aggregators share nothing, to compare with
	Keeps       bool     // all aggregators keep a directory, and not the voters alone
	Backends    int
	Service     time.Duration
	Env         func(aggregator int) []string
	Binary      string // to start instead of the program as it is
	Tended      bool   // from the first moment on, as processes may be killed by what Env arms
}

// World is a fleet with all that is around it.
type World struct {
	testing.TB
	Options
	Site        fakes.Site
	Aggregators []*Aggregator
	Backends    []*fakes.Backend
	Judge       *Judge
	relays      map[[2]int]*Relay // from one aggregator to another
	dir         string
	client      *http.Client
	lastID      atomic.Int64
	sent        sync.Map                      // query's text -> *atomic.Int64, how often the client sent it: net/http repeats by itself what broke on a used connection
	Tending     func() (killed []*Aggregator) // ends the tending and tells who was killed
}

// Aggregator is one process, with what only it sees.
type Aggregator struct {
	Name, Zone string
	Listen     string

	world    *World
	no       int
	twin     string // sets a second process of one name apart
	address  string // of its own fleet's sockets
	register *fakes.Register
	before   []*Relay // of each backend
	dir      string
	env      []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	log      string
	client   *api.Client
}

// Start starts a world. Aggregators and backends stand in zones a, b and c by turns; each shard is held in two zones.
func Start(t testing.TB, o Options) *World {
	t.Helper()
	Build(t, withPoints)
	takePlaces(t, o.Aggregators)
	w := newWorld(t, o)
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
	if o.Tended {
		stop := w.tend()
		var killed []*Aggregator
		once := sync.OnceFunc(func() { killed = stop() })
		w.Tending = func() []*Aggregator { once(); return killed }
	}
	t.Cleanup(w.end)
	for _, m := range w.Aggregators {
		w.Until(m.Name+" serves", func() bool { return m.up() })
	}
	return w
}

// The usual settings of a world.
const (
	leastBackends = 6
	leastVoters   = 3
	usualLeaseS   = 8
	usualService  = 2 * time.Millisecond
)

// newWorld is one with its directory and key, and nothing else yet.
func newWorld(t testing.TB, o Options) *World {
	t.Helper()
	o.Backends, o.Voters = max(o.Backends, leastBackends), max(o.Voters, leastVoters)
	o.LeaseS, o.Service = cmp.Or(o.LeaseS, usualLeaseS), cmp.Or(o.Service, usualService)
	w := &World{TB: t, Options: o, relays: map[[2]int]*Relay{}, Judge: NewJudge(),
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

// addBackend starts a stand-in for a backend, whose calls the judge notes.
func (w *World) addBackend(i int) {
	w.Helper()
	s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), w.Site.Zones[i%3], i, 16, w.Service)
	w.must(err)
	s.OnCall = func(query string, _ int) { w.Judge.Called(s.Name, s.Zone, query) }
	w.Cleanup(s.Kill)
	w.Backends = append(w.Backends, s)
}

// addAggregator prepares an aggregator: its addresses, its list of backends, and a relay before each of them. It does not start it.
func (w *World) addAggregator(i int) {
	w.Helper()
	m := &Aggregator{world: w, no: i, Name: fmt.Sprintf("m%d", i), Zone: w.Site.Zones[i%3], dir: w.path(fmt.Sprintf("d%d", i))}
	m.Listen, m.address = w.port(), w.port()
	var err error
	m.register, err = fakes.NewRegister()
	w.must(err)
	w.Cleanup(m.register.Close)
	for j, s := range w.Backends {
		e := s.Entry("SERVING", true)
		r, err := NewRelay(e.Address, false, uint64(1000*i+j))
		w.must(err)
		w.Cleanup(r.Close)
		e.Address = r.Address()
		m.before = append(m.before, r)
		m.register.Set(e)
	}
	if w.Env != nil {
		m.env = w.Env(i)
	}
	w.Aggregators = append(w.Aggregators, m)
}

// addLinks starts a relay from each aggregator to each other.
func (w *World) addLinks() {
	w.Helper()
	for i, from := range w.Aggregators {
		for j, to := range w.Aggregators {
			if i == j {
				continue
			}
			r, err := NewRelay(to.address, true, uint64(i*64+j))
			w.must(err)
			w.Cleanup(r.Close)
			w.relays[[2]int{from.no, to.no}] = r
		}
	}
}

// end kills all processes, and tells of a test that failed what its queries were told and where the logs are.
func (w *World) end() {
	if w.Tending != nil {
		w.Tending()
	}
	for _, m := range w.Aggregators {
		m.Kill()
	}
	if !w.Failed() {
		return
	}
	for text, n := range w.Judge.Reasons() { // of what was not admitted
		w.Logf("%d lookups: %s", n, text)
	}
	w.Logf("logs are in %s", w.dir)
}

// lastPort counts ports that processes are told to listen on. They lie below those that the system hands out by itself, or
// a relay that starts meanwhile could get one; another run of the tests begins elsewhere.
var lastPort atomic.Int64

func (w *World) port() string {
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

func (w *World) path(name string) string { return filepath.Join(w.dir, name) }

func (w *World) must(err error) {
	w.Helper()
	if err != nil {
		w.Fatal(err)
	}
}

// askPause keeps what tests ask under the rate that operators may ask at.
const askPause = 100 * time.Millisecond

// Until waits for something that is to come.
func (w *World) Until(what string, is func() bool) {
	w.Helper()
	for late := time.Now().Add(Patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			for _, m := range w.Aggregators {
				text, _ := json.Marshal(m.Show())
				w.Logf("%s shows %s", m.Name, text)
			}
			w.Fatalf("never: %s", what)
		}
	}
}

// Link is the relay from one aggregator to another.
func (w *World) Link(from, to int) *Relay { return w.relays[[2]int{from, to}] }

// Links sets a fault on every link between two aggregators of which either says so.
func (w *World) Links(f Fault, either func(from, to int) bool) {
	for pair, r := range w.relays {
		if either(pair[0], pair[1]) {
			r.Set(f)
		}
	}
}

// Cut cuts a side of the fleet off from the others; with no one named it heals all links.
func (w *World) Cut(side ...int) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for pair, r := range w.relays {
		r.Set(Fault{Cut: in[pair[0]] != in[pair[1]]})
	}
}

// All picks every aggregator by turns.
func (w *World) All(n int) *Aggregator { return w.Aggregators[n%len(w.Aggregators)] }

// Arming is the variable that arms a point.
func Arming(p failpoint.Point, pass int, fault string) string {
	return "PUFFINLINK_FAILPOINT=" + strconv.Itoa(int(p)) + ":" + strconv.Itoa(pass) + ":" + fault
}

// Rules checks what holds in every scenario: each query of an aggregator that was not killed got its answer, no order ran more often than
// its client sent it, and no part call began outside of a contract.
func (w *World) Rules(killed ...*Aggregator) {
	w.Helper()
	var but []string
	for _, m := range killed {
		but = append(but, m.Name)
	}
	if n := w.Judge.Lost(but...); n > 0 {
		w.Errorf("%d lookups had no final answer", n)
	}
	times := map[string]int64{}
	for _, s := range w.Backends {
		s.Executed(func(id string, n int64) { times[id] += n })
	}
	for id, n := range times {
		if tenant, _, _ := strings.Cut(id, " "); n > max(1, w.sentTimes(id)) && tenant == OrdersOf {
			w.Errorf("part %q of an order ran %d times, and was sent %d times", id, n, w.sentTimes(id))
		}
	}
	for i, wrong := range w.Judge.Outside() {
		if i < 5 {
			w.Error(wrong)
		}
	}
}

// Quota checks that a tenant's queries stayed within its quota in every window.
func (w *World) Quota(tenant string, perS, burst float64) {
	w.Helper()
	if over, window := w.Judge.Over(tenant, perS, burst); over > 0 {
		w.Errorf("%s: %.1f over the quota: %s", tenant, over, window)
	}
}

// OrdersOf is the tenant whose queries are orders, which run once.
const OrdersOf = "bolt"
