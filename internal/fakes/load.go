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

// Mix describes the queries of one index in a load.
type Mix struct {
	Index        string
	Share        float64 // fraction of all queries
	Subqueries   int
	Deadline     time.Duration
	SoftDeadline time.Duration // an answer within this time has its full value
	Value        float64
}

// Load sends queries to aggregators at random times with a constant mean rate. It is an open loop: a slow answer does not
// delay later queries.
type Load struct {
	Aggregators      []string // addresses
	Site             Site
	Mixes            []Mix
	QueriesPerSecond float64
	ShardWeights     []float64     // relative frequency of each shard; nil for equal frequencies
	Retries          int           // how often a nacked query is sent again within its deadline
	MinBackoff       time.Duration // mean of the random minimum delay before a retry

	client *http.Client
	wg     sync.WaitGroup
	stop   context.CancelFunc
	sent   atomic.Int64
	nextID atomic.Int64

	mu          sync.Mutex
	outcomes    map[string]int64 // finished queries by outcome: satisfied, nacked, aborted, lost
	lastFailure string           // why the last lost query failed
	value       [2]float64       // total value of all queries, and of those answered within the soft deadline
	latency     *hdrhistogram.Histogram
}

// Run starts to send queries until Stop is called. Only the values of ctx are used: its cancellation neither stops the load
// nor cancels queries.
func (l *Load) Run(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	ctx, stop := context.WithCancel(calls)
	l.stop, l.outcomes, l.latency = stop, map[string]int64{}, newHistogram()
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	l.wg.Go(func() {
		rng := rand.New(rand.NewPCG(7, 11))
		next := time.Now()
		for {
			next = next.Add(time.Duration(rng.ExpFloat64() / l.QueriesPerSecond * float64(time.Second)))
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
			shards := l.drawShards(rng, min(mix.Subqueries, l.Site.Shards))
			l.wg.Go(func() { l.sendQuery(calls, aggregator, mix, shards) })
		}
	})
}

// drawShards returns n different random shards, weighted by ShardWeights.
func (l *Load) drawShards(rng *rand.Rand, n int) (list []int) {
	if l.ShardWeights == nil {
		return rng.Perm(l.Site.Shards)[:n]
	}
	total := 0.0
	for _, p := range l.ShardWeights {
		total += p
	}
	for len(list) < n {
		s := 0
		for u := rng.Float64() * total; s < len(l.ShardWeights)-1 && u >= l.ShardWeights[s]; s++ {
			u -= l.ShardWeights[s]
		}
		for slices.Contains(list, s%l.Site.Shards) {
			s++
		}
		list = append(list, s%l.Site.Shards)
	}
	return list
}

// newHistogram returns a histogram of microseconds up to one minute, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Stop stops sending queries and waits for the answers to those already sent.
func (l *Load) Stop() {
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// sendQuery sends a query, and sends it again if it is nacked and Retries and the deadline permit. The text of each query is
// unique, so that a repeated execution of a subquery can be detected.
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
		wait = max(wait, time.Duration(float64(l.MinBackoff)*(0.5+rand.Float64())))
		if end != "nacked" || attempts >= l.Retries || time.Since(began)+wait >= mix.Deadline {
			break
		}
		time.Sleep(wait)
		aggregator = l.Aggregators[rand.IntN(len(l.Aggregators))]
	}
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[end]++
	l.lastFailure = cmp.Or(why, l.lastFailure)
	l.value[0] += mix.Value
	if end == "satisfied" {
		// The histogram rejects a latency of more than one minute. The query is still counted in outcomes.
		_ = l.latency.RecordValue(max(1, took.Microseconds()))
		if took <= mix.SoftDeadline {
			l.value[1] += mix.Value
		}
	}
}

// attempt sends a query once and returns its outcome. A lost query has a cause; a nacked one may have a minimum delay before
// the next attempt.
func (l *Load) attempt(ctx context.Context, aggregator string, mix Mix, body []byte, remaining time.Duration) (end, why string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, remaining+2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+aggregator+"/"+mix.Index, bytes.NewReader(body))
	req.Header = http.Header{"Req-Id": {fmt.Sprintf("%016x", l.nextID.Add(1))}, "Req-Kind": {mix.Index},
		"Idempotency-Key": {}, // not sent; its presence lets the HTTP client retry on a new connection if the aggregator has closed an idle one
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

// QueryStats counts queries by their outcomes.
type QueryStats struct {
	Sent, Satisfied, Nacked, Aborted, Lost int64
	Value                                  float64       // fraction of the total value that was answered within the soft deadline
	P50, P99                               time.Duration // latencies of the satisfied queries
	LastFailure                            string        // why the last lost query failed
}

// Add adds the counts of other. It leaves Value, P50 and P99 unchanged.
func (t *QueryStats) Add(o QueryStats) {
	t.Sent += o.Sent
	t.Satisfied += o.Satisfied
	t.Nacked += o.Nacked
	t.Aborted += o.Aborted
	t.Lost += o.Lost
	t.LastFailure = cmp.Or(o.LastFailure, t.LastFailure)
}

// FinishedQueries returns the number of queries that have finished, with any outcome, since the last call of TakeStats.
func (l *Load) FinishedQueries() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ended := range l.outcomes {
		n += ended
	}
	return n
}

// TakeStats returns the statistics since its last call and resets them. Sent counts queries when they are sent, the other
// counts when they finish.
func (l *Load) TakeStats() QueryStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := QueryStats{Sent: l.sent.Swap(0), Satisfied: l.outcomes["satisfied"], Nacked: l.outcomes["nacked"], Aborted: l.outcomes["aborted"], Lost: l.outcomes["lost"], LastFailure: l.lastFailure,
		P50: time.Duration(l.latency.ValueAtQuantile(50)) * time.Microsecond, P99: time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond}
	if t.Value = 1; l.value[0] > 0 {
		t.Value = l.value[1] / l.value[0]
	}
	l.value, l.lastFailure = [2]float64{}, ""
	clear(l.outcomes)
	l.latency.Reset()
	return t
}
