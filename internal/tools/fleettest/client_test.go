package fleettest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Query sends a query and returns its answer's status, 0 where there is none. A complete or partial answer is recorded as
// admitted, at some time between its sending and its answer.
func (c *Cluster) Query(m *Aggregator, tenant, index string, shards ...int) (status int, text string) {
	id := c.lastID.Add(1)
	var body strings.Builder
	body.WriteString(`{"targets":[`)
	for i, s := range shards {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"partition":%d,"share":%.6f}`, s, 1/float64(len(shards)))
	}
	fmt.Fprintf(&body, `],"query":"%s %d"}`, tenant, id)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Listen+"/"+index, strings.NewReader(body.String()))
	req.Header = http.Header{"Req-Id": {fmt.Sprintf("%016x", id)}, "Req-Kind": {index}, "Req-Owner": {tenant}, "Req-Deadline": {"2"},
		"Idempotency-Key": {}} // not sent: it lets the client retry on a new connection, where the aggregator closed an idle one meanwhile
	sent := time.Now()
	query := fmt.Sprintf("%s %d", tenant, id)
	res, request, err := c.send(req, query)
	if err != nil && request.closedBeforeSend() { // a retry, as every client may make that has not sent its query yet
		req.Body, _ = req.GetBody()
		res, request, err = c.send(req, query)
	}
	if err != nil {
		c.Checker.RecordQuery(m.Name, tenant, sent, 0, fmt.Sprintf("%v, %s", err, request))
		return 0, err.Error()
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body)
	c.Checker.RecordQuery(m.Name, tenant, sent, res.StatusCode, string(answer))
	return res.StatusCode, string(answer)
}

// isServed sends a tenant's query to an aggregator, and reports whether it was answered with 200.
func (c *Cluster) isServed(m *Aggregator, tenant string) bool {
	status, _ := c.Query(m, tenant, "reads", 0, 1)
	return status == http.StatusOK
}

// idleTimeout is how long an aggregator keeps a connection open on which nothing was sent yet (it must have closed it by then).
const idleTimeout = 2 * time.Second

// connectionTrace is what the client's side of one saw of its connection; zero times for what did not happen.
type connectionTrace struct {
	mu           sync.Mutex
	began, ended time.Time
	// connected is when the connection was begun, only where this is the first on it: on a machine that is paused the other side
	// may have it long before this one learns of that.
	connected, wrote time.Time
}

// closedBeforeSend reports whether the connection stood silent for so long before the request was written, as on a machine that stands
// still, that the aggregator had closed it by then: no query was sent.
func (r *connectionTrace) closedBeforeSend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	spoke := r.wrote
	if spoke.IsZero() {
		spoke = r.ended
	}
	return !r.connected.IsZero() && spoke.Sub(r.connected) >= idleTimeout
}

func (r *connectionTrace) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(r.began).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("new connection after %s, written after %s, ended after %s", at(r.connected), at(r.wrote), at(r.ended))
}

// send sends a request and records how its connection was used, and how often the query went out.
func (c *Cluster) send(req *http.Request, query string) (*http.Response, *connectionTrace, error) {
	r := &connectionTrace{began: time.Now()}
	counted, _ := c.timesSent.LoadOrStore(query, &atomic.Int64{})
	note := func(at *time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		*at = time.Now()
	}
	trace := &httptrace.ClientTrace{
		ConnectStart: func(string, string) { note(&r.connected) },
		GotConn: func(info httptrace.GotConnInfo) {
			if info.Reused { // another's, and what was dialled meanwhile is not used
				r.mu.Lock()
				defer r.mu.Unlock()
				r.connected = time.Time{}
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			counted.(*atomic.Int64).Add(1)
			note(&r.wrote)
		},
	}
	res, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	note(&r.ended)
	return res, r, err
}

// Load sends queries at a mean rate until it is stopped, without waiting for answers.
func (c *Cluster) Load(queriesPerSecond float64, tenant, index string, pick func(n int) *Aggregator) (stop func()) {
	stopped := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		began := time.Now()
		for n := 0; ; n++ {
			select {
			case <-time.After(time.Until(began.Add(time.Duration(float64(n) / queriesPerSecond * float64(time.Second))))):
			case <-stopped:
				return
			}
			if m := pick(n); m != nil {
				all.Go(func() { c.Query(m, tenant, index, n%c.Site.Shards, (n+1)%c.Site.Shards) })
			}
		}
	})
	end := sync.OnceFunc(func() { close(stopped) })
	return func() { end(); all.Wait() }
}

// timesSentOf is how often the client sent a query, of which a subquery is named by the query's text and its shard.
func (c *Cluster) timesSentOf(part string) int64 {
	query := part[:max(0, strings.LastIndexByte(part, ' '))]
	if n, known := c.timesSent.Load(query); known {
		return n.(*atomic.Int64).Load()
	}
	return 1
}
