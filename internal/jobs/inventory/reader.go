// Package inventory periodically reads the platform's list of workers and delivers each complete list.
//
// The platform returns the list in pages. It limits the total rate of calls from all machines, and the reader uses a fixed
// share of that rate. A page after the first that is rejected by the rate limit, or whose call fails, is requested again after
// a jittered pause. If a list cannot be read, the reader starts again from the first page after an exponential backoff.
//
// The reader never delivers a list that it could not read completely. Only Reader.OnPage receives single pages, until the
// first complete list was read. Package coordinator runs a Reader while its node leads a group.
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
	pageTimeout  = 900 * time.Millisecond // timeout of one call
	maxPageBytes = 8 << 20                // a longer response is truncated, and then cannot be decoded
	maxPages     = 2000                   // maximum number of pages of a list

	initialBackoff = 300 * time.Millisecond // pause after a list that could not be read; doubled after each further failure
	maxBackoff     = 3 * time.Second
	backoffJitter  = 0.25 // maximum relative deviation of a pause in both directions
	rateShare      = 0.5  // share of the platform's rate limit that the reader uses; the rest is left to other clients

	maxRateLimitRetriesPerPage = 20                     // retries of one page after rejections by the rate limit
	maxFailureRetriesPerPage   = 3                      // retries of one page after other failures
	minRetryInterval           = 100 * time.Millisecond // shortest pause before a page is requested again
)

// Reader reads the platform's list of workers. It must not be used concurrently.
type Reader struct {
	Address       string       // host and port
	RatePerSecond float64      // calls per second that the platform accepts from all machines together; 0 if unknown
	HTTP          *http.Client // http.DefaultClient if nil
	Log           *zap.Logger  // may be nil
	// OnPage is called with the workers of each page until the first complete list was read, because reading a long list takes
	// seconds. It may be nil.
	OnPage           func([]workerclient.Instance)
	completeListRead bool // a complete list was read since Run was called last
}

// Run reads the list once per interval and delivers each complete list, until the context ends. The interval grows with the
// number of pages, so that the reader stays within its share of the rate limit.
func (r *Reader) Run(ctx context.Context, interval time.Duration, deliver func([]workerclient.Instance)) {
	log := r.Log
	if log == nil {
		log = zap.NewNop()
	}
	r.completeListRead = false
	backoff := initialBackoff
	for ctx.Err() == nil {
		startedAt := time.Now()
		instances, pages, err := r.ReadAll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Info("worker list not read", zap.Error(err), zap.Duration("backoff", backoff))
			timer.Sleep(ctx, withJitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = initialBackoff
		deliver(instances)
		timer.Sleep(ctx, r.readInterval(interval, pages)-time.Since(startedAt))
	}
}

// readInterval returns the time from the start of one read of the list to the start of the next.
func (r *Reader) readInterval(interval time.Duration, pages int) time.Duration {
	if r.RatePerSecond <= 0 {
		return interval
	}
	perPage := time.Duration(float64(time.Second) / (r.RatePerSecond * rateShare))
	return max(interval, time.Duration(pages)*perPage)
}

// Reasons why a list could not be read, in addition to network and decoding errors.
var (
	ErrRateLimited   = errors.New("platform rejected the call: rate limit exceeded")
	ErrTooManyPages  = errors.New("worker list has too many pages")
	ErrRepeatedToken = errors.New("worker list repeats a page token")
	ErrNoInstances   = errors.New("response has no instances field")
)

// StatusError reports a response of the platform with an HTTP status other than 200 and 429.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// ReadAll reads all pages once and returns the workers and the number of pages. If any page cannot be read, it returns no
// workers and an error: one of the errors above or that of the call.
func (r *Reader) ReadAll(ctx context.Context) (instances []workerclient.Instance, pages int, err error) {
	var token string
	seen := make(map[string]bool)
	for pages = 1; pages <= maxPages; pages++ {
		page, err := r.pageWithRetries(ctx, token)
		if err != nil {
			return nil, 0, fmt.Errorf("page %d: %w", pages, err)
		}
		previousCount := len(instances)
		instances = page.appendInstances(instances)
		if !r.completeListRead && r.OnPage != nil {
			r.OnPage(slices.Clone(instances[previousCount:]))
		}
		if page.NextPageToken == nil || *page.NextPageToken == "" {
			r.completeListRead = true
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

// pageWithRetries requests a page. For pages after the first it retries calls that fail or are rejected by the rate limit, so
// that the previous pages need not be read again. A failed call for the first page is not retried.
func (r *Reader) pageWithRetries(ctx context.Context, token string) (page, error) {
	rateLimitRetries, failureRetries := 0, 0
	for {
		received, err := r.fetchPage(ctx, token)
		if err == nil || token == "" {
			return received, err
		}
		if errors.Is(err, ErrRateLimited) {
			rateLimitRetries++
		} else {
			failureRetries++
		}
		if rateLimitRetries > maxRateLimitRetriesPerPage || failureRetries > maxFailureRetriesPerPage {
			return received, err
		}
		timer.Sleep(ctx, withJitter(r.retryInterval()))
		if ctx.Err() != nil {
			return page{}, ctx.Err()
		}
	}
}

// retryInterval returns the pause before a page is requested again, which keeps the calls within the reader's share of the
// rate limit.
func (r *Reader) retryInterval() time.Duration {
	if r.RatePerSecond <= 0 {
		return initialBackoff
	}
	return max(minRetryInterval, time.Duration(float64(time.Second)/(r.RatePerSecond*rateShare)))
}

// fetchPage requests one page. The empty token denotes the first page.
func (r *Reader) fetchPage(ctx context.Context, token string) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: r.Address, Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return page{}, fmt.Errorf("request worker list: %w", err)
	}
	response, err := r.client().Do(request)
	if err != nil {
		return page{}, fmt.Errorf("request worker list: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return page{}, fmt.Errorf("read worker list: %w", err)
	}
	return parsePage(response.StatusCode, body)
}

func (r *Reader) client() *http.Client {
	if r.HTTP != nil {
		return r.HTTP
	}
	return http.DefaultClient
}

// withJitter varies a pause randomly by up to backoffJitter, so that readers on many machines do not call at the same time.
func withJitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 + backoffJitter*(2*rand.Float64()-1)))
}
