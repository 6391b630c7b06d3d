// Package networktest provides an in-memory network for tests of the control plane. It delivers internal calls to handlers, and
// can drop, duplicate and delay messages. Its delays are intended for the simulated time of testing/synctest. It never opens a
// real connection.
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

// Faults configures random faults of messages. They are sampled independently for each request and each reply.
type Faults struct {
	LossProbability      float64       // probability that a message is lost; the caller then waits until its context ends
	DuplicateProbability float64       // probability that a request is delivered a second time, with its own delay
	MaxDelay             time.Duration // upper bound of the usual delay
	LateProbability      float64       // probability that the delay is up to MaxLateDelay instead
	MaxLateDelay         time.Duration
}

// errUnreachable is the error of a call to an address without a handler.
var errUnreachable = errors.New("nobody serves the address")

// Network delivers requests to handlers by address.
type Network struct {
	mutex        sync.Mutex
	random       *rand.Rand
	faults       Faults
	handlers     map[string]http.Handler
	dropFrom     map[string]bool      // addresses whose outgoing messages are dropped
	dropTo       map[string]bool      // addresses whose incoming messages are dropped
	delayedUntil map[string]time.Time // by address, until when messages from and to it are held
	rules        []Rule
}

// Rule drops or delays selected requests, for tests that need a certain order of messages. It does not affect duplicates of
// these requests.
type Rule struct {
	From, To, Path string        // a request matches if each is empty or a substring of the request's value
	Drop           bool          // whether the request is dropped
	Delay          time.Duration // additional delay of the request
	MaxMatches     int           // number of requests that the rule applies to; 0 means no limit

	matches int
}

// New returns a network without faults. The seed determines its random choices.
func New(seed uint64) *Network {
	return &Network{
		random:       rand.New(rand.NewPCG(seed, 0)),
		handlers:     make(map[string]http.Handler),
		dropFrom:     make(map[string]bool),
		dropTo:       make(map[string]bool),
		delayedUntil: make(map[string]time.Time),
	}
}

// SetFaults sets the random faults of messages sent from now on.
func (n *Network) SetFaults(faults Faults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults = faults
}

// AddRule adds a rule, which applies in addition to earlier rules and random faults.
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

// Serve sets the handler of an address. If the handler is nil, calls to the address return an error.
func (n *Network) Serve(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

// Partition starts or stops dropping all messages from and to an address.
func (n *Network) Partition(address string, partitioned bool) {
	n.PartitionOneWay(address, partitioned, partitioned)
}

// PartitionOneWay sets whether all messages from an address are dropped, and whether all messages to it are dropped.
func (n *Network) PartitionOneWay(address string, from, to bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.dropFrom[address], n.dropTo[address] = from, to
}

// Delay holds all messages from and to an address for a duration and then delivers them.
func (n *Network) Delay(address string, duration time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delayedUntil[address] = time.Now().Add(duration)
}

// Caller returns a Caller for the process at an address. Like a real process's Caller, it records which processes it has reached.
func (n *Network) Caller(from string) transport.Caller { return n.CallerInCluster("", from) }

// CallerInCluster returns a Caller for the process at an address in a named cluster.
func (n *Network) CallerInCluster(cluster, from string) transport.Caller {
	return transport.NewClientWithTransport(cluster, &roundTripper{n, from})
}

// roundTripper implements http.RoundTripper by sending one process's requests over the network.
type roundTripper struct {
	network *Network
	from    string
}

// call is a request with its sender, receiver and path.
type call struct {
	from, to, path string
	header         http.Header
	body           []byte
}

// transmission is the sampled treatment of one message.
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
	replies := make(chan callResult, 2)
	for _, sent := range r.network.sampleRequest(r.from, address, path) {
		go r.network.deliver(ctx, call{r.from, address, path, request.Header, body}, sent, replies)
	}
	select {
	case reply := <-replies:
		return reply.response, reply.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// callResult is a reply, or the error if the address has no handler.
type callResult struct {
	response *http.Response
	err      error
}

// sampleRequest returns the transmissions of a request: one, or two if the request is duplicated. Rules apply to the first.
func (n *Network) sampleRequest(from, to, path string) []transmission {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	transmissions := []transmission{n.sampleMessage()}
	if n.random.Float64() < n.faults.DuplicateProbability {
		transmissions = append(transmissions, n.sampleMessage())
	}
	for i := range n.rules {
		if n.rules[i].match(from, to, path) {
			transmissions[0].lost = transmissions[0].lost || n.rules[i].Drop
			transmissions[0].delay += n.rules[i].Delay
		}
	}
	return transmissions
}

// match reports whether the rule applies to a request, and counts the request if it does.
func (r *Rule) match(from, to, path string) bool {
	if !strings.Contains(from, r.From) || !strings.Contains(to, r.To) || !strings.Contains(path, r.Path) {
		return false
	}
	if r.MaxMatches > 0 && r.matches == r.MaxMatches {
		return false
	}
	r.matches++
	return true
}

// sampleMessage returns the random transmission of one message. The caller must hold the mutex.
func (n *Network) sampleMessage() transmission {
	bound := n.faults.MaxDelay
	if n.random.Float64() < n.faults.LateProbability {
		bound = n.faults.MaxLateDelay
	}
	sampled := transmission{lost: n.random.Float64() < n.faults.LossProbability}
	if bound > 0 {
		sampled.delay = time.Duration(n.random.Int64N(int64(bound)))
	}
	return sampled
}

func (n *Network) sampleReply() transmission {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sampleMessage()
}

// deliver sends a request to its handler and returns the reply, unless one of them is lost.
func (n *Network) deliver(ctx context.Context, call call, request transmission, replies chan<- callResult) {
	sleep(request.delay)
	n.waitWhileDelayed(call.from, call.to)
	if request.lost || n.partitioned(call.from, call.to) {
		return
	}
	result := n.serve(call)
	reply := n.sampleReply()
	sleep(reply.delay)
	n.waitWhileDelayed(call.from, call.to)
	if reply.lost || n.partitioned(call.to, call.from) || ctx.Err() != nil {
		return
	}
	replies <- result
}

// sleep waits for the delay, which passes in simulated time in a synctest bubble.
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

// waitWhileDelayed waits while messages of either address are held.
func (n *Network) waitWhileDelayed(from, to string) {
	n.mutex.Lock()
	remaining := max(time.Until(n.delayedUntil[from]), time.Until(n.delayedUntil[to]))
	n.mutex.Unlock()
	sleep(remaining)
}

func (n *Network) serve(call call) callResult {
	n.mutex.Lock()
	handler := n.handlers[call.to]
	n.mutex.Unlock()
	if handler == nil {
		return callResult{err: &net.OpError{Op: "dial", Net: "memory", Err: errUnreachable}}
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: call.path}, Host: call.to, RequestURI: call.path,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: call.header.Clone(),
		Body: io.NopCloser(bytes.NewReader(call.body)), ContentLength: int64(len(call.body)),
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return callResult{response: recorder.Result()}
}
