// Package networktest is a network in memory for tests of the control plane. It carries internal calls between handlers
// and can lose, double and delay them. Its delays are meant for the simulated time of testing/synctest.
package networktest

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/transport"
)

// Faults are what a network does to each request and each reply on its own.
type Faults struct {
	Lose      float64       // probability of being lost; the caller then waits for its context
	Duplicate float64       // probability that a request arrives a second time, at another moment
	Delay     time.Duration // upper bound of the usual delay
	Late      float64       // probability of a delay up to LateBy instead
	LateBy    time.Duration
}

// errUnreachable is the failure of a call to an address that nobody serves.
var errUnreachable = errors.New("nobody serves the address")

// Network connects handlers by address.
type Network struct {
	mutex        sync.Mutex
	random       *rand.Rand
	faults       Faults
	handlers     map[string]http.Handler
	dropFrom     map[string]bool      // from which nothing passes
	dropTo       map[string]bool      // to which nothing passes
	delayedUntil map[string]time.Time // until when messages from and to an address wait
	rules        []Rule
}

// Rule decides on single requests, for directed tests.
type Rule struct {
	From, To, Path string        // a request matches if each is empty or a part of its own
	Lose           bool          // the request does not arrive
	Delay          time.Duration // the request arrives that much later
	Times          int           // how often the rule applies; 0 for always

	applied int
}

// New makes a network without faults. The seed drives its chances.
func New(seed uint64) *Network {
	return &Network{
		random:       rand.New(rand.NewPCG(seed, 0)),
		handlers:     make(map[string]http.Handler),
		dropFrom:     make(map[string]bool),
		dropTo:       make(map[string]bool),
		delayedUntil: make(map[string]time.Time),
	}
}

// SetFaults sets the faults from now on.
func (n *Network) SetFaults(faults Faults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults = faults
}

// AddRule adds a rule.
func (n *Network) AddRule(rule Rule) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rules = append(n.rules, rule)
}

// ClearRules takes back all rules.
func (n *Network) ClearRules() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rules = nil
}

// Serve makes an address answer; nil makes it refuse.
func (n *Network) Serve(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

// Partition lets nothing pass to or from an address until it is joined again.
func (n *Network) Partition(address string, partitioned bool) {
	n.PartitionOneWay(address, partitioned, partitioned)
}

// PartitionOneWay lets nothing pass from an address, or to it, until that is taken back.
func (n *Network) PartitionOneWay(address string, from, to bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.dropFrom[address], n.dropTo[address] = from, to
}

// Delay keeps all messages from and to an address for a time, and then lets them go on.
func (n *Network) Delay(address string, duration time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delayedUntil[address] = time.Now().Add(duration)
}

// Caller returns the Caller of the process at an address. It keeps what it learns of others like that of a real process.
func (n *Network) Caller(from string) transport.Caller { return n.CallerOf("", from) }

// CallerOf returns the Caller of the process at an address, which is of a cluster.
func (n *Network) CallerOf(cluster, from string) transport.Caller {
	return transport.NewClientWithTransport(cluster, &roundTripper{n, from})
}

// roundTripper brings one process's requests to their addresses.
type roundTripper struct {
	network *Network
	from    string
}

// transmission is one way of a call.
type transmission struct {
	lost  bool
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (c *roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	ctx, address, path := request.Context(), request.URL.Host, request.URL.Path
	replies := make(chan outcome, 2)
	for _, sent := range c.network.drawRequests(c.from, address, path) {
		go c.network.deliver(ctx, sent, c.from, address, path, request.Header, body, replies)
	}
	select {
	case answer := <-replies:
		return answer.response, answer.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// outcome is an answer, or the failure to reach anybody.
type outcome struct {
	response *http.Response
	err      error
}

// drawRequests draws how a request fares: once or, where it is doubled, twice.
func (n *Network) drawRequests(from, to, path string) []transmission {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	transmissions := []transmission{n.draw()}
	if n.random.Float64() < n.faults.Duplicate {
		transmissions = append(transmissions, n.draw())
	}
	for i := range n.rules {
		if n.rules[i].applies(from, to, path) {
			transmissions[0].lost = transmissions[0].lost || n.rules[i].Lose
			transmissions[0].delay += n.rules[i].Delay
		}
	}
	return transmissions
}

func (r *Rule) applies(from, to, path string) bool {
	if !strings.Contains(from, r.From) || !strings.Contains(to, r.To) || !strings.Contains(path, r.Path) {
		return false
	}
	if r.Times > 0 && r.applied == r.Times {
		return false
	}
	r.applied++
	return true
}

// draw draws one way of a call. The caller holds the mutex.
func (n *Network) draw() transmission {
	bound := n.faults.Delay
	if n.random.Float64() < n.faults.Late {
		bound = n.faults.LateBy
	}
	sent := transmission{lost: n.random.Float64() < n.faults.Lose}
	if bound > 0 {
		sent.delay = time.Duration(n.random.Int64N(int64(bound)))
	}
	return sent
}

func (n *Network) drawReply() transmission {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.draw()
}

// deliver carries a request to its handler and the reply back.
func (n *Network) deliver(ctx context.Context, sent transmission, from, to, path string, header http.Header, body []byte, replies chan<- outcome) {
	sleep(sent.delay)
	n.awaitDelay(from, to)
	if sent.lost || n.partitioned(from, to) {
		return
	}
	answer := n.serve(to, path, header, body)
	reply := n.drawReply()
	sleep(reply.delay)
	n.awaitDelay(from, to)
	if reply.lost || n.partitioned(to, from) || ctx.Err() != nil {
		return
	}
	replies <- answer
}

// sleep takes a time of the simulation.
func sleep(delay time.Duration) {
	if delay > 0 {
		<-time.After(delay)
	}
}

func (n *Network) partitioned(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.dropFrom[from] || n.dropTo[to]
}

// awaitDelay waits while messages of either address are held.
func (n *Network) awaitDelay(one, other string) {
	n.mutex.Lock()
	remaining := max(time.Until(n.delayedUntil[one]), time.Until(n.delayedUntil[other]))
	n.mutex.Unlock()
	sleep(remaining)
}

func (n *Network) serve(to, path string, header http.Header, body []byte) outcome {
	n.mutex.Lock()
	handler := n.handlers[to]
	n.mutex.Unlock()
	if handler == nil {
		return outcome{err: &net.OpError{Op: "dial", Net: "memory", Err: errUnreachable}}
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Host: to, RequestURI: path,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header.Clone(),
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)
	return outcome{response: answer.Result()}
}
