// Package fakes provides a fake service registry, fake backends and a load generator on loopback addresses. The demo and
// tests use them. They implement the protocol from its documentation for operators and share no code with the aggregator,
// so that a mistake in the aggregator is not repeated here.
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

// Entry is the registry's entry of a backend.
type Entry struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"` // SERVING, DRAINING, DELETED
	Weight      float64 `json:"weight"`
	StartedMs   float64 `json:"startedAtMs"`
}

type listing struct {
	Version   int64   `json:"generation"`
	Complete  bool    `json:"reset"`
	Instances []Entry `json:"instances"`
}

// Registry is a fake service registry. It lists backends and sends changes to its watches.
type Registry struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	version int64
	entries []Entry // in the order in which they were added
	down    bool
	watches map[*watch]bool
}

type watch struct {
	lines chan []byte
	end   chan struct{}
}

// heartbeatInterval is the interval at which a watch is sent an empty line.
const heartbeatInterval = 2 * time.Second

// FreeAddress returns a loopback address at which an aggregator can listen. The port was free when FreeAddress checked it, but
// is not reserved.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// NewRegistry starts a registry that listens on a loopback address.
func NewRegistry() (*Registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Registry{listener: l, version: 1, watches: map[*watch]bool{}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }() // until Close
	return r, nil
}

// Address returns the host and port at which the registry listens.
func (r *Registry) Address() string { return r.listener.Addr().String() }

// Close closes the registry and all its watches.
func (r *Registry) Close() { r.server.Close() }

// CompleteList returns the complete list in the format of an aggregator's config file.
func (r *Registry) CompleteList() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encode(true, r.entries)
}

func (r *Registry) encode(complete bool, entries []Entry) []byte {
	text, _ := json.Marshal(listing{r.version, complete, slices.Clone(entries)})
	return append(text, '\n')
}

// Set adds or changes a backend, or removes it if its state is DELETED. It sends the change to all watches.
func (r *Registry) Set(e Entry) {
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

// SetState changes the lifecycle state of a listed backend. It does nothing if the backend is not listed.
func (r *Registry) SetState(id, state string) {
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

// SendCompleteList sends the complete list to all watches.
func (r *Registry) SendCompleteList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.notify(r.encode(true, r.entries))
}

// SetDown sets whether the registry is down. While down, it rejects all requests. Going down ends all watches.
func (r *Registry) SetDown(down bool) {
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

// notify queues a line for each watch. It ends a watch whose queue is full.
func (r *Registry) notify(line []byte) {
	for w := range r.watches {
		select {
		case w.lines <- line:
		default:
			close(w.end)
			delete(r.watches, w)
		}
	}
}

func (r *Registry) serve(writer http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	if r.down || request.URL.Path != "/discovery/hosts" {
		r.mu.Unlock()
		http.Error(writer, "not here, or down", http.StatusServiceUnavailable)
		return
	}
	if request.FormValue("stream") == "" {
		line := r.encode(true, r.entries)
		r.mu.Unlock()
		writer.Write(line)
		return
	}
	watcher := &watch{make(chan []byte, 1000), make(chan struct{})}
	if knownVersion, _ := strconv.ParseInt(request.FormValue("index"), 10, 64); knownVersion != r.version {
		watcher.lines <- r.encode(true, r.entries)
	}
	r.watches[watcher] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.watches, watcher)
		r.mu.Unlock()
	}()
	flush := http.NewResponseController(writer)
	if flush.Flush() != nil {
		return
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-watcher.lines:
			writer.Write(line)
		case <-tick.C:
			writer.Write([]byte("\n"))
		case <-watcher.end:
			return
		case <-request.Context().Done():
			return
		}
		if flush.Flush() != nil { // the aggregator has closed the connection
			return
		}
	}
}

// Index describes one index of a site.
type Index struct {
	Name                                     string
	Effect                                   string // repeatable, by_key, once
	SoftDeadlineSeconds, HardDeadlineSeconds float64
	Value                                    float64
	MinAnswerShare                           float64 // smallest acceptable share of an answer; 0 requires the complete answer
	DeduplicationSeconds                     float64 // how long a repeated subquery is dropped; 0 means 5 s
}

// Site describes a small deployment. Each shard is held by CellsPerShard of its cells.
type Site struct {
	Zones            []string
	Indexes          []Index
	Cells            int
	CellsPerShard    int
	Shards           int
	Aggregators      int
	SlowStartSeconds float64 // how long a new backend is cold; 0 means never

	Tenants []string // owners of the queries; empty if queries have no tenant

	SubqueriesPerCall int     // most subqueries in a call; 0 means 1
	CallCostSeconds   float64 // work of a call in addition to its subqueries
}

// Settings returns the settings object in the config file of an aggregator of the site.
func (s Site) Settings(ordinal int) []byte {
	var classes, ones, minimums []string
	for _, index := range s.Indexes {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"promiseS":%g,"giveUpS":%g,"worth":%g,"lateWorth":0.1,"repeatWindowS":%g}`,
			index.Name, index.Effect, index.SoftDeadlineSeconds, index.HardDeadlineSeconds, index.Value, cmp.Or(index.DeduplicationSeconds, 5)))
		ones, minimums = append(ones, "1"), append(minimums, strconv.FormatFloat(cmp.Or(index.MinAnswerShare, 1), 'g', -1, 64))
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
		zones, ordinal, max(1, s.Aggregators), ordinal%max(1, len(s.Zones)), strings.Join(classes, ","), owners, s.Cells, s.CellsPerShard, s.Shards,
		max(1, s.SubqueriesPerCall), s.CallCostSeconds, strings.Join(ones, ","), strings.Join(minimums, ","), s.SlowStartSeconds)
}

// Config returns the config file of an aggregator of the site.
func (s Site) Config(name, listen string, r *Registry, ordinal int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{},"known":%s,"settings":%s}`,
		name, listen, r.Address(), 0x9e3779b97f4a7c15*uint64(ordinal+1), r.CompleteList(), s.Settings(ordinal))
}
