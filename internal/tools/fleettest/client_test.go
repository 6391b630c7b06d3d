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

// Query sends a query to an aggregator and returns the status and text of the answer. If there is no answer, the status is 0 and
// the text is the error. The checker records the query; status 200, for a complete or partial answer, counts as admitted.
func (c *Cluster) Query(aggregator *Aggregator, tenant, index string, shards ...int) (status int, text string) {
	id := c.lastQueryID.Add(1)
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
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+aggregator.ClientAddress+"/"+index, strings.NewReader(body.String()))
	req.Header = http.Header{"Req-Id": {fmt.Sprintf("%016x", id)}, "Req-Kind": {index}, "Req-Owner": {tenant}, "Req-Deadline": {"2"},
		"Idempotency-Key": {}} // An empty value is not sent. It lets net/http retry on a new connection if the aggregator has closed an idle one.
	sent := time.Now()
	query := fmt.Sprintf("%s %d", tenant, id)
	res, trace, err := c.send(req, query)
	if err != nil && trace.closedBeforeSend() { // the query was not sent yet, so any client may retry
		req.Body, _ = req.GetBody()
		res, trace, err = c.send(req, query)
	}
	if err != nil {
		c.Checker.RecordQuery(aggregator.Name, tenant, sent, 0, fmt.Sprintf("%v, %s", err, trace))
		return 0, err.Error()
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body)
	c.Checker.RecordQuery(aggregator.Name, tenant, sent, res.StatusCode, string(answer))
	return res.StatusCode, string(answer)
}

// isServed sends a query of a tenant to an aggregator and reports whether the answer has status 200.
func (c *Cluster) isServed(aggregator *Aggregator, tenant string) bool {
	status, _ := c.Query(aggregator, tenant, "reads", 0, 1)
	return status == http.StatusOK
}

// idleTimeout is the time after which an aggregator has closed a new connection on which nothing was sent.
const idleTimeout = 2 * time.Second

// connectionTrace records what the client observed of a request's connection. A time is zero if the event did not happen.
type connectionTrace struct {
	mu           sync.Mutex
	began, ended time.Time
	// dialBegan is zero if the request used an existing connection. The trace records the start of dialing and not its end, because
	// on a stalled machine the aggregator can accept the connection long before the client sees it established.
	dialBegan, written time.Time
}

// closedBeforeSend reports whether a new connection was idle for at least idleTimeout before the request was written, so that the
// aggregator had closed it and received no query. This happens on a stalled machine.
func (trace *connectionTrace) closedBeforeSend() bool {
	trace.mu.Lock()
	defer trace.mu.Unlock()
	firstWrite := trace.written
	if firstWrite.IsZero() {
		firstWrite = trace.ended
	}
	return !trace.dialBegan.IsZero() && firstWrite.Sub(trace.dialBegan) >= idleTimeout
}

func (trace *connectionTrace) String() string {
	trace.mu.Lock()
	defer trace.mu.Unlock()
	sinceBegan := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Sub(trace.began).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("new connection after %s, written after %s, ended after %s", sinceBegan(trace.dialBegan), sinceBegan(trace.written), sinceBegan(trace.ended))
}

// send sends a request, traces its connection, and counts how often the query was written.
func (c *Cluster) send(req *http.Request, query string) (*http.Response, *connectionTrace, error) {
	connection := &connectionTrace{began: time.Now()}
	counter, _ := c.sendCounts.LoadOrStore(query, &atomic.Int64{})
	recordTime := func(at *time.Time) {
		connection.mu.Lock()
		defer connection.mu.Unlock()
		*at = time.Now()
	}
	trace := &httptrace.ClientTrace{
		ConnectStart: func(string, string) { recordTime(&connection.dialBegan) },
		GotConn: func(info httptrace.GotConnInfo) {
			if info.Reused { // the connection dialed for this request is not used
				connection.mu.Lock()
				defer connection.mu.Unlock()
				connection.dialBegan = time.Time{}
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			counter.(*atomic.Int64).Add(1)
			recordTime(&connection.written)
		},
	}
	res, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	recordTime(&connection.ended)
	return res, connection, err
}

// StartLoad sends queries of a tenant at a mean rate, without waiting for answers, until stop is called. pick returns the aggregator
// for the n-th query, or nil to skip the query. stop waits for the answers to the queries that were sent.
func (c *Cluster) StartLoad(perSecond float64, tenant, index string, pick func(n int) *Aggregator) (stop func()) {
	stopped := make(chan struct{})
	var waitGroup sync.WaitGroup
	waitGroup.Go(func() {
		began := time.Now()
		for n := 0; ; n++ {
			select {
			case <-time.After(time.Until(began.Add(time.Duration(float64(n) / perSecond * float64(time.Second))))):
			case <-stopped:
				return
			}
			if aggregator := pick(n); aggregator != nil {
				waitGroup.Go(func() { c.Query(aggregator, tenant, index, n%c.Site.Shards, (n+1)%c.Site.Shards) })
			}
		}
	})
	stopOnce := sync.OnceFunc(func() { close(stopped) })
	return func() { stopOnce(); waitGroup.Wait() }
}

// sendCount returns how often the client sent the query that a subquery belongs to. The ID of a subquery is the text of its query,
// a space and the shard. For an unknown query the count is 1.
func (c *Cluster) sendCount(subqueryID string) int64 {
	query := subqueryID[:max(0, strings.LastIndexByte(subqueryID, ' '))]
	if n, known := c.sendCounts.Load(query); known {
		return n.(*atomic.Int64).Load()
	}
	return 1
}
