package fakes

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Mix is a load's queries of one index.
type Mix struct {
	Index      string
	Share      float64 // of all queries
	Subqueries int
	Deadline   time.Duration
	Soft       time.Duration // within which an answer has its whole gain
	Value      float64
}

// Load sends queries to aggregators at a steady mean rate, as an open loop: a slow answer delays no arrival.
type Load struct {
	Aggregators []string // addresses
	Site        Site
	Mixes       []Mix
	PerS        float64
	Popular     []float64     // share of subqueries by shard; nil for all alike
	Retries     int           // of a query that was nacked, within its deadline
	Backoff     time.Duration // before each, at the least

	client *http.Client
	wg     sync.WaitGroup
	stop   context.CancelFunc
	sent   atomic.Int64
	nextID atomic.Int64

	mu      sync.Mutex
	ends    map[string]int64 // satisfied, nacked, aborted, lost
	why     string           // the last query was lost
	value   [2]float64       // of all queries, and of those answered within the soft deadline
	latency *hdrhistogram.Histogram
}

// Run starts sending, until Stop. The context only carries values: queries are answered after its end too.
func (l *Load) Run(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	ctx, stop := context.WithCancel(calls)
	l.stop, l.ends, l.latency = stop, map[string]int64{}, newHistogram()
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	l.wg.Go(func() {
		rng := rand.New(rand.NewPCG(7, 11))
		next := time.Now()
		for {
			next = next.Add(time.Duration(rng.ExpFloat64() / l.PerS * float64(time.Second)))
			select {
			case <-time.After(time.Until(next)):
			case <-ctx.Done():
				return
			}
			mix, aggregator := l.Mixes[len(l.Mixes)-1], l.Aggregators[rng.IntN(len(l.Aggregators))]
			for draw, i := rng.Float64(), 0; i < len(l.Mixes); i++ {
				if draw -= l.Mixes[i].Share; draw < 0 {
					mix = l.Mixes[i]
					break
				}
			}
			shards := l.shards(rng, min(mix.Subqueries, l.Site.Shards))
			l.wg.Go(func() { l.sendQuery(calls, aggregator, mix, shards) })
		}
	})
}

// shards draws so many different ones by their popularity.
func (l *Load) shards(rng *rand.Rand, n int) (list []int) {
	if l.Popular == nil {
		return rng.Perm(l.Site.Shards)[:n]
	}
	total := 0.0
	for _, p := range l.Popular {
		total += p
	}
	for len(list) < n {
		s := 0
		for u := rng.Float64() * total; s < len(l.Popular)-1 && u >= l.Popular[s]; s++ {
			u -= l.Popular[s]
		}
		for slices.Contains(list, s%l.Site.Shards) {
			s++
		}
		list = append(list, s%l.Site.Shards)
	}
	return list
}

// newHistogram holds microseconds up to a minute, to three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Stop stops sending and waits for the answers that are due.
func (l *Load) Stop() {
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// sendQuery sends a query, and retries it where it is nacked and the load has retries. The query's text is unique, so that a
// subquery that is executed twice is noticed.
func (l *Load) sendQuery(ctx context.Context, aggregator string, mix Mix, shards []int) {
	l.sent.Add(1)
	query := fmt.Sprintf("%s-%016x", mix.Index, l.nextID.Add(1))
	body := []byte(`{"targets":[`)
	for i, shard := range shards {
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `{"partition":%d,"share":%.6f}`, shard, 1/float64(len(shards)))
	}
	body = fmt.Appendf(body, `],"query":"%s"}`, query)
	began := time.Now()
	end, why, wait := "", "", time.Duration(0)
	for attempts := 0; ; attempts++ {
		end, why, wait = l.attempt(ctx, aggregator, mix, body, mix.Deadline-time.Since(began))
		wait = max(wait, time.Duration(float64(l.Backoff)*(0.5+rand.Float64())))
		if end != "nacked" || attempts >= l.Retries || time.Since(began)+wait >= mix.Deadline {
			break
		}
		time.Sleep(wait)
		aggregator = l.Aggregators[rand.IntN(len(l.Aggregators))]
	}
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[end]++
	l.why = cmp.Or(why, l.why)
	l.value[0] += mix.Value
	if end == "satisfied" {
		// One beyond the histogram's minute is left out of it, and counted among the ends all the same.
		_ = l.latency.RecordValue(max(1, took.Microseconds()))
		if took <= mix.Soft {
			l.value[1] += mix.Value
		}
	}
}

// attempt sends a query once.
func (l *Load) attempt(ctx context.Context, aggregator string, mix Mix, body []byte, remaining time.Duration) (end, why string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, remaining+2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+aggregator+"/"+mix.Index, bytes.NewReader(body))
	req.Header = http.Header{"Req-Id": {fmt.Sprintf("%016x", l.nextID.Add(1))}, "Req-Kind": {mix.Index},
		"Idempotency-Key": {}, // not sent: it lets the HTTP client retry on a new connection, where the aggregator closed an idle one meanwhile
		"Req-Deadline":    {strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64)}}
	res, err := l.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	switch {
	case err != nil:
		return "lost", fmt.Sprintf("given %v: %v", remaining, err), 0
	case res.StatusCode == http.StatusOK:
		return "satisfied", "", 0
	case res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return "nacked", "", time.Duration(seconds * float64(time.Second))
	}
	return "aborted", "", 0
}

// Tally counts queries by their ends.
type Tally struct {
	Sent, Satisfied, Nacked, Aborted, Lost int64
	Value                                  float64       // share of it that was answered within the soft deadline
	P50, P99                               time.Duration // of the satisfied
	Why                                    string        // the last query was lost
}

// Add adds the counts of another.
func (t *Tally) Add(o Tally) {
	t.Sent += o.Sent
	t.Satisfied += o.Satisfied
	t.Nacked += o.Nacked
	t.Aborted += o.Aborted
	t.Lost += o.Lost
	t.Why = cmp.Or(o.Why, t.Why)
}

// Answered is how many queries have ended since Take was last called.
func (l *Load) Answered() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ended := range l.ends {
		n += ended
	}
	return n
}

// Take returns the tally since its last call. A query counts when it ends.
func (l *Load) Take() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Tally{Sent: l.sent.Swap(0), Satisfied: l.ends["satisfied"], Nacked: l.ends["nacked"], Aborted: l.ends["aborted"], Lost: l.ends["lost"], Why: l.why,
		P50: time.Duration(l.latency.ValueAtQuantile(50)) * time.Microsecond, P99: time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond}
	if t.Value = 1; l.value[0] > 0 {
		t.Value = l.value[1] / l.value[0]
	}
	l.value, l.why = [2]float64{}, ""
	clear(l.ends)
	l.latency.Reset()
	return t
}
