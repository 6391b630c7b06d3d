// Package fakes has a service registry, backends and clients on loopback, for the demo and for tests. They implement the
// operators' protocol from its pages and share no code with the aggregator, so that a mistake is not made on both sides.
package fakes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is a backend as the registry lists it.
type Entry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	State     string  `json:"lifecycle"` // SERVING, DRAINING, DELETED
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"startedAtMs"`
}

type page struct {
	Version   int64   `json:"generation"`
	Complete  bool    `json:"reset"`
	Instances []Entry `json:"instances"`
}

// Register lists backends and tells its watches of changes.
type Register struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	version int64
	entries []Entry // in the order of first naming
	down    bool
	watches map[*watch]bool
}

type watch struct {
	lines chan []byte
	end   chan struct{}
}

// heartbeatInterval is how often an empty line comes while nothing changes.
const heartbeatInterval = 2 * time.Second

// FreeAddress is a loopback address that was free a moment ago, for an aggregator to listen at.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// NewRegister listens on loopback.
func NewRegister() (*Register, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Register{listener: l, version: 1, watches: map[*watch]bool{}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }() // until Close
	return r, nil
}

// Address is host and port.
func (r *Register) Address() string { return r.listener.Addr().String() }

// Close ends it and all its watches.
func (r *Register) Close() { r.server.Close() }

// Known is the complete list as an aggregator's config holds it.
func (r *Register) Known() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encode(true, r.entries)
}

func (r *Register) encode(complete bool, entries []Entry) []byte {
	text, _ := json.Marshal(page{r.version, complete, slices.Clone(entries)})
	return append(text, '\n')
}

// Set adds or changes a backend, and sends a patch to all watches.
func (r *Register) Set(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	i := slices.IndexFunc(r.entries, func(o Entry) bool { return o.ID == e.ID })
	switch {
	case i >= 0 && e.State == "DELETED":
		r.entries = slices.Delete(r.entries, i, i+1)
	case i >= 0:
		r.entries[i] = e
	case e.State != "DELETED":
		r.entries = append(r.entries, e)
	}
	r.notify(r.encode(false, []Entry{e}))
}

// SetState changes what a backend is listed as.
func (r *Register) SetState(id, state string) {
	r.mu.Lock()
	i := slices.IndexFunc(r.entries, func(o Entry) bool { return o.ID == id })
	if i < 0 {
		r.mu.Unlock()
		return
	}
	e := r.entries[i]
	r.mu.Unlock()
	e.State = state
	r.Set(e)
}

// SendFullList sends the complete list to all watches.
func (r *Register) SendFullList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.notify(r.encode(true, r.entries))
}

// Down ends all watches and refuses new ones, until it is up again.
func (r *Register) Down(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	for w := range r.watches {
		if down {
			close(w.end)
			delete(r.watches, w)
		}
	}
}

// notify puts a line into each watch; one without room is ended.
func (r *Register) notify(line []byte) {
	for w := range r.watches {
		select {
		case w.lines <- line:
		default:
			close(w.end)
			delete(r.watches, w)
		}
	}
}

func (r *Register) serve(out http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	if r.down || q.URL.Path != "/discovery/hosts" {
		r.mu.Unlock()
		http.Error(out, "not here, or down", http.StatusServiceUnavailable)
		return
	}
	if q.FormValue("stream") == "" {
		line := r.encode(true, r.entries)
		r.mu.Unlock()
		out.Write(line)
		return
	}
	watcher := &watch{make(chan []byte, 1000), make(chan struct{})}
	if had, _ := strconv.ParseInt(q.FormValue("index"), 10, 64); had != r.version {
		watcher.lines <- r.encode(true, r.entries)
	}
	r.watches[watcher] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.watches, watcher)
		r.mu.Unlock()
	}()
	flush := http.NewResponseController(out)
	if flush.Flush() != nil {
		return
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-watcher.lines:
			out.Write(line)
		case <-tick.C:
			out.Write([]byte("\n"))
		case <-watcher.end:
			return
		case <-q.Context().Done():
			return
		}
		if flush.Flush() != nil { // the aggregator has left
			return
		}
	}
}

// Index is one index of a site.
type Index struct {
	Name       string
	Effect     string  // repeatable, by_key, once
	Soft, Hard float64 // seconds
	Value      float64
	Minimum    float64 // least share of an answer; 0 for all of it
	DedupS     float64 // how long a repeated subquery is dropped; 0 for 5 s
}

// Site is a small deployment: so many cells, each shard held by Width of them.
type Site struct {
	Zones       []string
	Indexes     []Index
	Cells       int
	Width       int
	Shards      int
	Aggregators int
	SlowStartS  float64 // how long a backend is cold; 0 for never

	Tenants []string // whose the queries are; none for those of nobody

	CallSubqueries int     // subqueries that may share a call; 0 for one
	CallCostS      float64 // work of a call beside its subqueries
}

// Settings is the object that an aggregator of the site starts from.
func (s Site) Settings(ordinal int) []byte {
	var classes, ones, minimums []string
	for _, index := range s.Indexes {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"promiseS":%g,"giveUpS":%g,"worth":%g,"lateWorth":0.1,"repeatWindowS":%g}`,
			index.Name, index.Effect, index.Soft, index.Hard, index.Value, cmp.Or(index.DedupS, 5)))
		ones, minimums = append(ones, "1"), append(minimums, strconv.FormatFloat(cmp.Or(index.Minimum, 1), 'g', -1, 64))
	}
	zones, _ := json.Marshal(s.Zones)
	tenants := []map[string]any{}
	for _, name := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": name, "portion": 1 / float64(len(s.Tenants))})
	}
	owners, _ := json.Marshal(tenants)
	return fmt.Appendf(nil, `{"granularityS":0.005,"azs":%s,"models":["m"],"ordinal":%d,"siblings":%d,"zone":%d,"stats":{"how":"none"},
		"requestClasses":[%s],"tenants":%s,"specifics":{"places":%d,"width":%d,"slices":%d,"perCall":%d,"callCostS":%g,"classNeed":[%s],"floorByClass":[%s]},
		"limits":{"cancel":true,"probing":true,"mayDuplicate":true,"retryAfter":true,"mostTries":3,"multiplex":100,"idleCloseS":15,
		"connectTimeoutS":0.25,"maxRetryAfterS":1,"mostHeld":20000},
		"invariants":{"answerSlackS":0.02,"coldS":%g,"coldShare":0.25,"drainGraceS":2,"fallMultiple":2,"fallS":1},"prices":{"crossZone":0.02}}`,
		zones, ordinal, max(1, s.Aggregators), ordinal%max(1, len(s.Zones)), strings.Join(classes, ","), owners, s.Cells, s.Width, s.Shards,
		max(1, s.CallSubqueries), s.CallCostS, strings.Join(ones, ","), strings.Join(minimums, ","), s.SlowStartS)
}

// Config is an aggregator's config file.
func (s Site) Config(name, listen string, r *Register, ordinal int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{},"known":%s,"settings":%s}`,
		name, listen, r.Address(), 0x9e3779b97f4a7c15*uint64(ordinal+1), r.Known(), s.Settings(ordinal))
}
