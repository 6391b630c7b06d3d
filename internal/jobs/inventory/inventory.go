// Package inventory reads the platform's list of workers.
package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	pageTimeout   = 900 * time.Millisecond
	maxPageBytes  = 8 << 20
	maxPages      = 2000
	firstBackoff  = 300 * time.Millisecond
	maxBackoff    = 3 * time.Second
	backoffJitter = 0.25 // of a pause after a failure, either way
	rateShare     = 0.5  // of the calls that the platform accepts, which others may need too
	stateDraining = "draining"

	maxRefusalsPerPage = 20 // how often one page is asked for again
	maxFailuresPerPage = 3  // and after calls without an answer
	minRetryInterval   = 100 * time.Millisecond
)

// Reader reads the list at the platform's address.
type Reader struct {
	Address       string       // host and port
	RatePerSecond float64      // how many calls a second the platform accepts from all machines together; 0 when unknown
	HTTP          *http.Client // http.DefaultClient when nil
	Log           *zap.Logger  // may be nil
	// OnPage takes the workers of each page until a whole list was read; nil for none. A long list takes seconds.
	OnPage   func([]workerclient.Instance)
	complete bool // one was read
}

// Run reads the list every interval and delivers each one that came whole, until the context ends. The interval grows with
// the number of pages, so that the reader stays within its share of the rate.
func (r *Reader) Run(ctx context.Context, interval time.Duration, deliver func([]workerclient.Instance)) {
	log := r.Log
	if log == nil {
		log = zap.NewNop()
	}
	r.complete = false
	backoff := firstBackoff
	for ctx.Err() == nil {
		began := time.Now()
		instances, pages, err := r.ReadAll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Info("list of searchers not read", zap.Error(err), zap.Duration("backoff", backoff))
			sleep(ctx, jittered(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		deliver(instances)
		sleep(ctx, r.readInterval(interval, pages)-time.Since(began))
	}
}

// readInterval is the time from the start of one read to the start of the next.
func (r *Reader) readInterval(interval time.Duration, pages int) time.Duration {
	if r.RatePerSecond <= 0 {
		return interval
	}
	perPage := time.Duration(float64(time.Second) / (r.RatePerSecond * rateShare))
	return max(interval, time.Duration(pages)*perPage)
}

// The ways in which a list may be useless.
var (
	ErrRateLimited   = errors.New("platform refuses further calls")
	ErrTooManyPages  = errors.New("list does not end")
	ErrRepeatedToken = errors.New("list comes back to an earlier page")
)

// ReadAll reads all pages once and tells how many there were. A list that breaks off is an error.
func (r *Reader) ReadAll(ctx context.Context) ([]workerclient.Instance, int, error) {
	var instances []workerclient.Instance
	var token string
	seen := make(map[string]bool)
	for pages := 1; pages <= maxPages; pages++ {
		page, err := r.pageWithRetries(ctx, token)
		if err != nil {
			return nil, 0, fmt.Errorf("page %d: %w", pages, err)
		}
		before := len(instances)
		instances = page.appendTo(instances)
		if !r.complete && r.OnPage != nil {
			r.OnPage(slices.Clone(instances[before:]))
		}
		if page.NextPageToken == nil || *page.NextPageToken == "" {
			r.complete = true
			return withoutDuplicates(instances), pages, nil
		}
		token = *page.NextPageToken
		if seen[token] {
			return nil, 0, fmt.Errorf("page %d: %w", pages, ErrRepeatedToken)
		}
		seen[token] = true
	}
	return nil, 0, ErrTooManyPages
}

// fetchPage is one answer of the platform.
type page struct {
	Instances     *[]entry `json:"instances"`
	NextPageToken *string  `json:"nextPageToken"`
}

// entry is one worker on the list.
type entry struct {
	Identifier        string        `json:"identifier"`
	Service           string        `json:"service"`
	Address           string        `json:"address"`
	Zone              string        `json:"zone"`
	Version           string        `json:"version"`
	Slots             int           `json:"slots"`
	State             string        `json:"state"`
	WarmupRemainingMS float64       `json:"coldRemainingMs"`
	RemainingMS       float64       `json:"remainingMs"`
	Capacity          job.Resources `json:"capacity"`
	Labels            job.Labels    `json:"labels"`
}

func (p page) appendTo(instances []workerclient.Instance) []workerclient.Instance {
	for _, e := range *p.Instances {
		if e.Identifier == "" || e.Address == "" {
			continue // nothing could be sent there
		}
		instances = append(instances, workerclient.Instance{
			ID: workerclient.WorkerID(e.Identifier), Service: e.Service, Address: e.Address, Zone: e.Zone, Version: e.Version,
			Slots: e.Slots, Draining: e.State == stateDraining, RemainingMS: int64(e.RemainingMS),
			WarmupRemainingMS: int64(e.WarmupRemainingMS), Capacity: e.Capacity, Labels: e.Labels,
		})
	}
	return instances
}

// withoutDuplicates keeps the first entry of each worker: one may move between pages while they are read.
func withoutDuplicates(instances []workerclient.Instance) []workerclient.Instance {
	seen := make(map[workerclient.WorkerID]bool, len(instances))
	kept := instances[:0]
	for _, instance := range instances {
		if !seen[instance.ID] {
			seen[instance.ID] = true
			kept = append(kept, instance)
		}
	}
	return kept
}

// pageWithRetries asks for a page; one after the first is asked for again when the platform refuses it for its rate, or leaves
// it without an answer, as the pages before it need not be read anew for that.
func (r *Reader) pageWithRetries(ctx context.Context, token string) (page, error) {
	refusals, failures := 0, 0
	for {
		p, err := r.fetchPage(ctx, token)
		if err == nil || token == "" {
			return p, err
		}
		if errors.Is(err, ErrRateLimited) {
			refusals++
		} else {
			failures++
		}
		if refusals > maxRefusalsPerPage || failures > maxFailuresPerPage {
			return p, err
		}
		sleep(ctx, jittered(r.retryInterval()))
		if ctx.Err() != nil {
			return page{}, ctx.Err()
		}
	}
}

// retryInterval is the time between two calls that stays within this reader's share of the rate.
func (r *Reader) retryInterval() time.Duration {
	if r.RatePerSecond <= 0 {
		return firstBackoff
	}
	return max(minRetryInterval, time.Duration(float64(time.Second)/(r.RatePerSecond*rateShare)))
}

func (r *Reader) fetchPage(ctx context.Context, token string) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: r.Address, Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return page{}, fmt.Errorf("list of searchers: %w", err)
	}
	response, err := r.client().Do(request)
	if err != nil {
		return page{}, fmt.Errorf("list of searchers: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return page{}, fmt.Errorf("read list of searchers: %w", err)
	}
	return parsePage(response.StatusCode, body)
}

func (r *Reader) client() *http.Client {
	if r.HTTP != nil {
		return r.HTTP
	}
	return http.DefaultClient
}

func parsePage(status int, body []byte) (page, error) {
	if status == http.StatusTooManyRequests {
		return page{}, ErrRateLimited
	}
	if status != http.StatusOK {
		return page{}, fmt.Errorf("list of searchers: status %d", status)
	}
	var p page
	if err := json.Unmarshal(body, &p); err != nil {
		return page{}, fmt.Errorf("decode list of searchers: %w", err)
	}
	if p.Instances == nil {
		return page{}, errors.New("list of searchers: no instances field")
	}
	return p, nil
}

func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + backoffJitter*(2*rand.Float64()-1)))
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
