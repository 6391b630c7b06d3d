// Package inventory reads the platform's list of workers, over and over, and delivers each one that is complete.
//
// The platform lists workers in pages and accepts a limited rate of calls from all machines together; the reader takes a
// share of it. A page that is rejected for the rate, or gets no answer, is requested again with a jittered pause; a list
// that fails is read anew after an exponential backoff.
package inventory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	pageTimeout  = 900 * time.Millisecond // of one call
	maxPageBytes = 8 << 20
	maxPages     = 2000 // of a list

	firstBackoff  = 300 * time.Millisecond // after a list that failed; doubled by each further failure
	maxBackoff    = 3 * time.Second
	backoffJitter = 0.25 // of a pause after a failure, either way
	rateShare     = 0.5  // of the rate that the platform accepts; others may need the rest

	maxRateLimitedPerPage = 20 // how often one page is requested again after it was rejected for the rate
	maxFailuresPerPage    = 3  // and after calls that failed otherwise
	minRetryInterval      = 100 * time.Millisecond
)

// Reader reads the list at the platform's address. It is for one goroutine.
type Reader struct {
	Address       string       // host and port
	RatePerSecond float64      // how many calls a second the platform accepts from all machines together; 0 when unknown
	HTTP          *http.Client // http.DefaultClient when nil
	Log           *zap.Logger  // may be nil
	// OnPage takes the workers of each page until the first complete list was read, as a long list takes seconds; nil for
	// none.
	OnPage   func([]workerclient.Instance)
	complete bool // a complete list was read
}

// Run reads the list every interval and delivers each complete one, until the context ends. The interval grows with the
// number of pages, so that the reader stays within its share of the rate.
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
			log.Info("worker list not read", zap.Error(err), zap.Duration("backoff", backoff))
			timer.Sleep(ctx, jittered(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		deliver(instances)
		timer.Sleep(ctx, r.readInterval(interval, pages)-time.Since(began))
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

// The reasons for which a list cannot be read, beside those of the network and the decoder.
var (
	ErrRateLimited   = errors.New("platform rejects further calls")
	ErrTooManyPages  = errors.New("list does not end")
	ErrRepeatedToken = errors.New("list returns to an earlier page")
	ErrNoInstances   = errors.New("no instances field")
)

// StatusError is an answer of the platform with a status other than 200 and 429.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// ReadAll reads all pages once and tells how many there were. A list that breaks off is an error: one of the errors above,
// or that of the call.
func (r *Reader) ReadAll(ctx context.Context) (instances []workerclient.Instance, pages int, err error) {
	var token string
	seen := make(map[string]bool)
	for pages = 1; pages <= maxPages; pages++ {
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

// pageWithRetries requests a page. One after the first is requested again if the platform rejects it for the rate or the
// call fails, so that the pages before it need not be read anew.
func (r *Reader) pageWithRetries(ctx context.Context, token string) (page, error) {
	rateLimited, failures := 0, 0
	for {
		p, err := r.fetchPage(ctx, token)
		if err == nil || token == "" {
			return p, err
		}
		if errors.Is(err, ErrRateLimited) {
			rateLimited++
		} else {
			failures++
		}
		if rateLimited > maxRateLimitedPerPage || failures > maxFailuresPerPage {
			return p, err
		}
		timer.Sleep(ctx, jittered(r.retryInterval()))
		if ctx.Err() != nil {
			return page{}, ctx.Err()
		}
	}
}

// retryInterval is the time between two calls that keeps to this reader's share of the rate.
func (r *Reader) retryInterval() time.Duration {
	if r.RatePerSecond <= 0 {
		return firstBackoff
	}
	return max(minRetryInterval, time.Duration(float64(time.Second)/(r.RatePerSecond*rateShare)))
}

// fetchPage makes one call for a page; the empty token means the first.
func (r *Reader) fetchPage(ctx context.Context, token string) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: r.Address, Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return page{}, fmt.Errorf("list of workers: %w", err)
	}
	response, err := r.client().Do(request)
	if err != nil {
		return page{}, fmt.Errorf("list of workers: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return page{}, fmt.Errorf("read list of workers: %w", err)
	}
	return parsePage(response.StatusCode, body)
}

func (r *Reader) client() *http.Client {
	if r.HTTP != nil {
		return r.HTTP
	}
	return http.DefaultClient
}

// jittered varies a pause by backoffJitter, so that readers on many machines do not call at the same time.
func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + backoffJitter*(2*rand.Float64()-1)))
}
