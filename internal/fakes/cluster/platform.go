package cluster

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// PlatformConfig describes the platform's list.
type PlatformConfig struct {
	PageSize int           // 50 when 0
	RatePerS float64       // further calls get 429; 0 to take all
	Lag      time.Duration // how far the list runs behind
}

// Platform serves the list of a cluster's workers.
type Platform struct {
	cluster *Cluster
	server  *server
	config  PlatformConfig

	// The rest is guarded by the cluster's lock.
	versions  []listVersion
	calls     int
	allowance float64 // calls that may come now
	countedAt time.Time
	failing   int // the status of all answers; 0 to serve the list
}

// listVersion is the list from a moment on.
type listVersion struct {
	from    time.Time
	entries []listEntry
}

// listEntry is one worker as it is listed.
type listEntry struct {
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Slots           int           `json:"slots"`
	State           string        `json:"state"`
	ColdRemainingMS int64         `json:"coldRemainingMs"`
	RemainingMS     int64         `json:"remainingMs,omitempty"`
	Capacity        job.Resources `json:"capacity"`
	Labels          []string      `json:"labels"`
	Identifier      string        `json:"identifier"`

	leavesAt time.Time
}

// listPage is one answer.
type listPage struct {
	Instances     []listEntry `json:"instances"`
	NextPageToken *string     `json:"nextPageToken"`
}

const (
	defaultPageSize = 50
	allowanceSpan   = 1.0 // seconds' worth of calls that may come at once
)

// AddPlatform starts to serve the list.
func (c *Cluster) AddPlatform(config PlatformConfig) *Platform {
	if config.PageSize == 0 {
		config.PageSize = defaultPageSize
	}
	p := &Platform{cluster: c, config: config, countedAt: c.clock.Now(), allowance: config.RatePerS * allowanceSpan}
	p.server = listen(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platforms = append(c.platforms, p)
	p.versions = []listVersion{{entries: c.list()}}
	return p
}

// Address is where the platform listens.
func (p *Platform) Address() string { return p.server.address }

// Calls is how many calls have come so far.
func (p *Platform) Calls() int {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.calls
}

// Fail answers every call with a status from now on; 0 serves the list again.
func (p *Platform) Fail(status int) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.failing = status
}

// listChanged takes a new version of the list at every platform. The caller holds the lock.
func (c *Cluster) listChanged() {
	for _, p := range c.platforms {
		p.versions = append(p.versions, listVersion{c.clock.Now(), c.list()})
	}
}

func (c *Cluster) list() []listEntry {
	entries := make([]listEntry, 0, len(c.workers))
	for _, s := range c.workers {
		if s.incarnation.id != "" {
			entries = append(entries, s.listEntry())
		}
	}
	return entries
}

func (c *Cluster) removeWorker(s *Worker) {
	c.workers = slices.DeleteFunc(c.workers, func(other *Worker) bool { return other == s })
	c.listChanged()
}

func (s *Worker) listEntry() listEntry {
	entry := listEntry{
		Service: s.config.Service, Address: s.server.address, Zone: s.config.Zone, Version: s.config.Version,
		Slots: s.config.Slots, State: "ready", Capacity: s.config.Capacity, Labels: s.config.Labels, Identifier: s.incarnation.id,
	}
	if s.draining {
		entry.State, entry.leavesAt = "draining", s.leavesAt
	}
	return entry
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.cluster.mu.Lock()
	status, page := p.read(r.URL.Query().Get("zone"), r.URL.Query().Get("pageToken"))
	p.cluster.mu.Unlock()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	body, err := json.Marshal(page)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (p *Platform) read(zone, token string) (int, listPage) {
	p.calls++
	if p.failing != 0 {
		return p.failing, listPage{}
	}
	if !p.allow() {
		return http.StatusTooManyRequests, listPage{}
	}
	from := 0
	if token != "" {
		number, err := strconv.Atoi(token[min(len(token), len(tokenPrefix)):])
		if err != nil {
			return http.StatusBadRequest, listPage{}
		}
		from = number
	}
	return http.StatusOK, p.page(p.entries(zone), from)
}

const tokenPrefix = "p-"

func (p *Platform) page(entries []listEntry, from int) listPage {
	from = min(from, len(entries))
	end := min(from+p.config.PageSize, len(entries))
	page := listPage{Instances: append([]listEntry{}, entries[from:end]...)}
	if end < len(entries) {
		token := tokenPrefix + strconv.Itoa(end)
		page.NextPageToken = &token
	}
	return page
}

// allow takes one call off the rate.
func (p *Platform) allow() bool {
	if p.config.RatePerS == 0 {
		return true
	}
	now := p.cluster.clock.Now()
	earned := now.Sub(p.countedAt).Seconds() * p.config.RatePerS
	p.allowance = min(p.allowance+earned, p.config.RatePerS*allowanceSpan)
	p.countedAt = now
	if p.allowance < 1 {
		return false
	}
	p.allowance--
	return true
}

// entries is the list as it was some time ago.
func (p *Platform) entries(zone string) []listEntry {
	now := p.cluster.clock.Now()
	shown := p.versions[0]
	for _, version := range p.versions {
		if !version.from.After(now.Add(-p.config.Lag)) {
			shown = version
		}
	}
	var entries []listEntry
	for _, entry := range shown.entries {
		if zone != "" && entry.Zone != zone {
			continue
		}
		if !entry.leavesAt.IsZero() {
			entry.RemainingMS = max(0, entry.leavesAt.Sub(now).Milliseconds())
		}
		entries = append(entries, entry)
	}
	return entries
}
