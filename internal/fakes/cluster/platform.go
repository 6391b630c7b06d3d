package cluster

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// PlatformConfig is the configuration of a platform.
type PlatformConfig struct {
	PageSize      int           // 0 means 50
	RatePerSecond float64       // calls beyond this rate get status 429; 0 means no limit
	Lag           time.Duration // delay until a change shows in the list
}

// Platform is a fake of the platform's API that lists a cluster's workers.
type Platform struct {
	cluster *Cluster
	server  *server
	config  PlatformConfig

	// The fields below are guarded by the cluster's lock.
	versions       []listVersion
	calls          int
	availableCalls float64 // tokens in the rate limiter's bucket
	refilledAt     time.Time
	failureStatus  int // status of all answers; 0 serves the list
}

// listVersion is the list as it was from an instant on.
type listVersion struct {
	from    time.Time
	entries []listEntry
}

// listEntry is the list's entry of one worker.
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

// listPage is one page of the list.
type listPage struct {
	Instances     []listEntry `json:"instances"`
	NextPageToken *string     `json:"nextPageToken"`
}

const (
	defaultPageSize = 50
	burstSeconds    = 1.0 // capacity of the rate limiter's bucket, in seconds at the full rate
)

// AddPlatform starts a platform that lists the cluster's workers.
func (c *Cluster) AddPlatform(config PlatformConfig) *Platform {
	if config.PageSize == 0 {
		config.PageSize = defaultPageSize
	}
	p := &Platform{cluster: c, config: config, refilledAt: c.clock.Now(), availableCalls: config.RatePerSecond * burstSeconds}
	p.server = listen(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platforms = append(c.platforms, p)
	p.versions = []listVersion{{entries: c.list()}}
	return p
}

// Address returns the address at which the platform listens.
func (p *Platform) Address() string { return p.server.address }

// Calls returns the number of calls received so far.
func (p *Platform) Calls() int {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.calls
}

// SetFailureStatus makes the platform answer every call with a status. With status 0 it serves the list again.
func (p *Platform) SetFailureStatus(status int) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.failureStatus = status
}

// listChanged adds a new version of the list to every platform. The caller holds the lock.
func (c *Cluster) listChanged() {
	for _, p := range c.platforms {
		p.versions = append(p.versions, listVersion{c.clock.Now(), c.list()})
	}
}

func (c *Cluster) list() []listEntry {
	entries := make([]listEntry, 0, len(c.workers))
	for _, worker := range c.workers {
		if worker.incarnation.id != "" {
			entries = append(entries, worker.listEntry())
		}
	}
	return entries
}

func (c *Cluster) removeWorker(worker *Worker) {
	c.workers = slices.DeleteFunc(c.workers, func(other *Worker) bool { return other == worker })
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
	if p.failureStatus != 0 {
		return p.failureStatus, listPage{}
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

// allow reports whether the rate limit permits a call, and counts the call if so.
func (p *Platform) allow() bool {
	if p.config.RatePerSecond == 0 {
		return true
	}
	now := p.cluster.clock.Now()
	earned := now.Sub(p.refilledAt).Seconds() * p.config.RatePerSecond
	p.availableCalls = min(p.availableCalls+earned, p.config.RatePerSecond*burstSeconds)
	p.refilledAt = now
	if p.availableCalls < 1 {
		return false
	}
	p.availableCalls--
	return true
}

// entries returns the list of a zone as it was Lag ago. An empty zone selects all workers.
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
