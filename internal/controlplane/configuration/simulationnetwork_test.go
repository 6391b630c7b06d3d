package configuration_test

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/register/registertest"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// Probabilities and delays of simulated messages, in virtual time.
const (
	lossProbability               = 0.04
	messageDuplicationProbability = 0.05
	delayProbability              = 0.05
	maxNormalDelay                = 15 * time.Millisecond
	maxLongDelay                  = 2500 * time.Millisecond
)

var (
	errUnreachable = errors.New("no process serves the address")
	errRejected    = errors.New("the call was rejected")
)

// direction identifies a one-way link from one member to another.
type direction struct{ from, to string }

// simulatedNetwork transmits the internal calls of the members in memory. Each combination of link and call has its own random
// source, so that a seed replays the same schedule in whatever order simultaneous goroutines run.
type simulatedNetwork struct {
	seed uint64

	mutex         sync.Mutex // guards the fields below
	reliable      bool       // set when no more messages are lost, duplicated or delayed for long
	handlers      map[string]http.Handler
	partitions    map[direction]bool
	frozen        map[string]chan struct{} // by frozen member; closed when the member resumes
	lastReceived  map[direction]time.Time  // time of the last message
	randomSources map[string]*rand.Rand
}

func newSimulatedNetwork(seed uint64) *simulatedNetwork {
	return &simulatedNetwork{
		seed: seed, handlers: make(map[string]http.Handler), partitions: make(map[direction]bool),
		frozen: make(map[string]chan struct{}), lastReceived: make(map[direction]time.Time), randomSources: make(map[string]*rand.Rand),
	}
}

// randomSource returns the random source with a name. The caller must hold the mutex.
func (n *simulatedNetwork) randomSource(name string) *rand.Rand {
	if n.randomSources[name] == nil {
		hash := fnv.New64a()
		hash.Write([]byte(name))
		n.randomSources[name] = rand.New(rand.NewPCG(n.seed, hash.Sum64()))
	}
	return n.randomSources[name]
}

// randomDuration returns a duration below a bound, drawn from the random source with a name.
func (n *simulatedNetwork) randomDuration(name string, bound time.Duration) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Duration(n.randomSource(name).Int64N(int64(bound)))
}

func (n *simulatedNetwork) setHandler(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

func (n *simulatedNetwork) setPartition(from, to string, partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitions[direction{from, to}] = partitioned
}

// freeze pauses a member until unfreeze is called: its messages and its writes are delayed.
func (n *simulatedNetwork) freeze(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.frozen[address] == nil {
		n.frozen[address] = make(chan struct{})
	}
}

func (n *simulatedNetwork) unfreeze(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if frozen := n.frozen[address]; frozen != nil {
		close(frozen)
		delete(n.frozen, address)
	}
}

// waitWhileFrozen waits while a member is frozen. Each waiter resumes after a delay of its own. If waiters resumed at the same
// time, their order would not depend on the seed alone.
func (n *simulatedNetwork) waitWhileFrozen(address string, resumeDelay time.Duration) {
	n.mutex.Lock()
	frozen := n.frozen[address]
	n.mutex.Unlock()
	if frozen != nil {
		<-frozen
		<-time.After(resumeDelay)
	}
}

// endFaults ends all partitions, message losses and long delays.
func (n *simulatedNetwork) endFaults() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reliable = true
	clear(n.partitions)
}

// tryReceive reports whether a link delivers a message now. If so, it records the time.
func (n *simulatedNetwork) tryReceive(link direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitions[link] {
		return false
	}
	n.lastReceived[link] = time.Now()
	return true
}

// sinceLastReceived returns the time since the receiver's last message from the sender. It returns false if there was none.
func (n *simulatedNetwork) sinceLastReceived(receiver, sender string) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	last, found := n.lastReceived[direction{sender, receiver}]
	return time.Since(last), found
}

// delivery holds the delays and losses of one request and its answer.
type delivery struct {
	lost, answerLost          bool
	requestDelay, answerDelay time.Duration
	resumeDelays              [4]time.Duration // after a freeze ends: at the caller, twice at the callee, and at the caller again
}

// drawDeliveries draws the delivery of a request, or two if the request is duplicated.
func (n *simulatedNetwork) drawDeliveries(from, to, path string) []delivery {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	source := n.randomSource(from + ">" + to + path)
	if n.reliable {
		drawn := delivery{requestDelay: randomDelay(source, maxNormalDelay), answerDelay: randomDelay(source, maxNormalDelay)}
		return []delivery{drawn.withResumeDelays(source)}
	}
	deliveries := []delivery{drawDelivery(source)}
	if source.Float64() < messageDuplicationProbability {
		deliveries = append(deliveries, drawDelivery(source))
	}
	return deliveries
}

func drawDelivery(source *rand.Rand) delivery {
	drawn := delivery{lost: source.Float64() < lossProbability, answerLost: source.Float64() < lossProbability}
	requestBound, answerBound := maxNormalDelay, maxNormalDelay
	if source.Float64() < delayProbability {
		requestBound = maxLongDelay
	}
	if source.Float64() < delayProbability {
		answerBound = maxLongDelay
	}
	drawn.requestDelay, drawn.answerDelay = randomDelay(source, requestBound), randomDelay(source, answerBound)
	return drawn.withResumeDelays(source)
}

func (d delivery) withResumeDelays(source *rand.Rand) delivery {
	for i := range d.resumeDelays {
		d.resumeDelays[i] = randomDelay(source, time.Millisecond)
	}
	return d
}

func randomDelay(source *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(source.Int64N(int64(bound))) + 1
}

// simulatedCaller is the transport.Caller of one process. It sends nothing after the process was killed.
type simulatedCaller struct {
	network *simulatedNetwork
	from    string
	alive   func() bool
}

// Call implements transport.Caller.
func (c simulatedCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if !c.alive() {
		return rpcerror.WrapNotExecuted(registertest.ErrKilled, 0)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	path := route.Path()
	answers := make(chan *httptest.ResponseRecorder, 2)
	for _, drawn := range c.network.drawDeliveries(c.from, address, path) {
		go c.network.deliver(drawn, direction{c.from, address}, path, body, answers)
	}
	select {
	case answer := <-answers:
		switch answer.Code {
		case http.StatusOK:
			return msgpack.Unmarshal(answer.Body.Bytes(), reply)
		case http.StatusServiceUnavailable, http.StatusNotFound:
			return rpcerror.WrapNotExecuted(errRejected, 0)
		}
		return rpcerror.WrapMayHaveExecuted(errRejected)
	case <-ctx.Done():
		return rpcerror.WrapMayHaveExecuted(context.Cause(ctx))
	}
}

var _ transport.Caller = simulatedCaller{}

// deliver transmits a request to its handler and the answer back.
func (n *simulatedNetwork) deliver(drawn delivery, link direction, path string, body []byte, answers chan<- *httptest.ResponseRecorder) {
	n.waitWhileFrozen(link.from, drawn.resumeDelays[0])
	<-time.After(drawn.requestDelay)
	if drawn.lost || !n.tryReceive(link) {
		return
	}
	n.waitWhileFrozen(link.to, drawn.resumeDelays[1])
	answer := n.serveRequest(link.to, path, body)
	n.waitWhileFrozen(link.to, drawn.resumeDelays[2])
	<-time.After(drawn.answerDelay)
	if drawn.answerLost || !n.tryReceive(direction{link.to, link.from}) {
		return
	}
	n.waitWhileFrozen(link.from, drawn.resumeDelays[3])
	answers <- answer
}

// newServerRequest returns a request as an HTTP server would pass it to a handler, without parsing a message.
func newServerRequest(method, path string, body []byte) *http.Request {
	return &http.Request{
		Method: method, URL: &url.URL{Path: path}, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

func (n *simulatedNetwork) serveRequest(to, path string, body []byte) *httptest.ResponseRecorder {
	n.mutex.Lock()
	handler := n.handlers[to]
	n.mutex.Unlock()
	answer := httptest.NewRecorder()
	if handler == nil {
		http.Error(answer, errUnreachable.Error(), http.StatusServiceUnavailable)
		return answer
	}
	handler.ServeHTTP(answer, newServerRequest(http.MethodPost, path, body))
	return answer
}
