// Package networktest is a network in memory for tests of the control plane. It carries internal calls between handlers
// and can lose, duplicate and delay them. Its delays are meant for the simulated time of testing/synctest.
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

// Faults are what a network does to messages. Each request and each reply has its own chances.
type Faults struct {
	Lose      float64       // probability of being lost; the caller then waits for its context
	Duplicate float64       // probability that a request arrives a second time, with a delay of its own
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
	dropFrom     map[string]bool      // whose messages are dropped
	dropTo       map[string]bool      // whose incoming messages are dropped
	delayedUntil map[string]time.Time // until when messages from and to an address are delayed
	rules        []Rule
}

// Rule decides on single requests, for tests of one order of messages.
type Rule struct {
	From, To, Path string        // a request matches if each is empty or a substring of its own
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

// ClearRules removes all rules.
func (n *Network) ClearRules() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rules = nil
}

// Serve sets the handler of an address; with nil, calls to it fail at once.
func (n *Network) Serve(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

// Partition drops all messages from and to an address, or ends that.
func (n *Network) Partition(address string, partitioned bool) {
	n.PartitionOneWay(address, partitioned, partitioned)
}

// PartitionOneWay drops all messages from an address, all messages to it, or ends that.
func (n *Network) PartitionOneWay(address string, from, to bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.dropFrom[address], n.dropTo[address] = from, to
}

// Delay holds all messages from and to an address for a duration, and then delivers them.
func (n *Network) Delay(address string, duration time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delayedUntil[address] = time.Now().Add(duration)
}

// Caller returns the Caller of the process at an address. Like a real process's it remembers which others it has reached.
func (n *Network) Caller(from string) transport.Caller { return n.CallerOf("", from) }

// CallerOf returns the Caller of the process at an address in a named cluster.
func (n *Network) CallerOf(cluster, from string) transport.Caller {
	return transport.NewClientWithTransport(cluster, &roundTripper{n, from})
}

// roundTripper sends one process's requests over the network.
type roundTripper struct {
	network *Network
	from    string
}

// call is a request and its addresses.
type call struct {
	from, to, path string
	header         http.Header
	body           []byte
}

// transmission is what happens to one message.
type transmission struct {
	lost  bool
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (r *roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	ctx, address, path := request.Context(), request.URL.Host, request.URL.Path
	replies := make(chan outcome, 2)
	for _, sent := range r.network.drawRequests(r.from, address, path) {
		go r.network.deliver(ctx, call{r.from, address, path, request.Header, body}, sent, replies)
	}
	select {
	case reply := <-replies:
		return reply.response, reply.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// outcome is a reply, or the failure to reach the address.
type outcome struct {
	response *http.Response
	err      error
}

// drawRequests draws what happens to a request: one transmission or, where it is duplicated, two.
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

// draw draws what happens to one message. The caller holds the mutex.
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
func (n *Network) deliver(ctx context.Context, call call, sent transmission, replies chan<- outcome) {
	sleep(sent.delay)
	n.awaitDelay(call.from, call.to)
	if sent.lost || n.partitioned(call.from, call.to) {
		return
	}
	served := n.serve(call)
	reply := n.drawReply()
	sleep(reply.delay)
	n.awaitDelay(call.from, call.to)
	if reply.lost || n.partitioned(call.to, call.from) || ctx.Err() != nil {
		return
	}
	replies <- served
}

// sleep waits, in simulated time.
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

// awaitDelay waits while messages of either address are delayed.
func (n *Network) awaitDelay(one, other string) {
	n.mutex.Lock()
	remaining := max(time.Until(n.delayedUntil[one]), time.Until(n.delayedUntil[other]))
	n.mutex.Unlock()
	sleep(remaining)
}

func (n *Network) serve(call call) outcome {
	n.mutex.Lock()
	handler := n.handlers[call.to]
	n.mutex.Unlock()
	if handler == nil {
		return outcome{err: &net.OpError{Op: "dial", Net: "memory", Err: errUnreachable}}
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: call.path}, Host: call.to, RequestURI: call.path,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: call.header.Clone(),
		Body: io.NopCloser(bytes.NewReader(call.body)), ContentLength: int64(len(call.body)),
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return outcome{response: recorder.Result()}
}
