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

// Chances and delays of messages in the model, in simulated time.
const (
	lossProbability               = 0.04
	messageDuplicationProbability = 0.05
	delayProbability              = 0.05
	maxUsualDelay                 = 15 * time.Millisecond
	maxLongDelay                  = 2500 * time.Millisecond
)

var (
	errUnreachable = errors.New("nobody serves the address")
	errRefused     = errors.New("the call was refused")
)

// direction is a link from one member to another, one way.
type direction struct{ from, to string }

// simulatedNetwork carries the internal calls of the members in memory. Each link and call has its own random source, so that a
// seed replays a schedule however the goroutines of one moment are run.
type simulatedNetwork struct {
	seed uint64

	mutex         sync.Mutex // guards what follows
	calm          bool       // no message is lost, duplicated or late
	handlers      map[string]http.Handler
	partitions    map[direction]bool
	frozen        map[string]chan struct{} // of frozen members; closed when they resume
	lastReceived  map[direction]time.Time  // when the latest message arrived
	randomSources map[string]*rand.Rand
}

func newSimulatedNetwork(seed uint64) *simulatedNetwork {
	return &simulatedNetwork{
		seed: seed, handlers: make(map[string]http.Handler), partitions: make(map[direction]bool),
		frozen: make(map[string]chan struct{}), lastReceived: make(map[direction]time.Time), randomSources: make(map[string]*rand.Rand),
	}
}

// source returns the random source of a name. The caller holds the mutex.
func (n *simulatedNetwork) source(name string) *rand.Rand {
	if n.randomSources[name] == nil {
		hash := fnv.New64a()
		hash.Write([]byte(name))
		n.randomSources[name] = rand.New(rand.NewPCG(n.seed, hash.Sum64()))
	}
	return n.randomSources[name]
}

// draw returns a random duration below a bound, from the source of a name.
func (n *simulatedNetwork) draw(name string, bound time.Duration) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Duration(n.source(name).Int64N(int64(bound)))
}

func (n *simulatedNetwork) serve(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

func (n *simulatedNetwork) partition(from, to string, partitioned bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitions[direction{from, to}] = partitioned
}

// freeze pauses a member until unfreeze: its messages and its writes wait.
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

// waitWhileFrozen waits while a member is frozen. What waited resumes after a delay of its own, as a seed would not replay the order of
// what resumes at one moment.
func (n *simulatedNetwork) waitWhileFrozen(address string, after time.Duration) {
	n.mutex.Lock()
	frozen := n.frozen[address]
	n.mutex.Unlock()
	if frozen != nil {
		<-frozen
		<-time.After(after)
	}
}

// heal ends all faults.
func (n *simulatedNetwork) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.calm = true
	clear(n.partitions)
}

// deliverable reports whether a link delivers a message now, and records that it was received.
func (n *simulatedNetwork) deliverable(link direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitions[link] {
		return false
	}
	n.lastReceived[link] = time.Now()
	return true
}

// sinceLastReceived is for how long a member has received nothing from another; false if it never has.
func (n *simulatedNetwork) sinceLastReceived(at, of string) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	last, found := n.lastReceived[direction{of, at}]
	return time.Since(last), found
}

// delivery is what happens to one request and its answer.
type delivery struct {
	lost, answerLost          bool
	requestDelay, answerDelay time.Duration
	resumeDelays              [4]time.Duration // after the end of a freeze: at the caller, twice at the callee, at the caller
}

// drawDeliveries draws what happens to a request: one delivery or, where it is duplicated, two.
func (n *simulatedNetwork) drawDeliveries(from, to, path string) []delivery {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	source := n.source(from + ">" + to + path)
	if n.calm {
		calm := delivery{requestDelay: randomDelay(source, maxUsualDelay), answerDelay: randomDelay(source, maxUsualDelay)}
		return []delivery{calm.withResumeDelays(source)}
	}
	deliveries := []delivery{drawDelivery(source)}
	if source.Float64() < messageDuplicationProbability {
		deliveries = append(deliveries, drawDelivery(source))
	}
	return deliveries
}

func drawDelivery(source *rand.Rand) delivery {
	drawn := delivery{lost: source.Float64() < lossProbability, answerLost: source.Float64() < lossProbability}
	requestBound, answerBound := maxUsualDelay, maxUsualDelay
	if source.Float64() < delayProbability {
		requestBound = maxLongDelay
	}
	if source.Float64() < delayProbability {
		answerBound = maxLongDelay
	}
	drawn.requestDelay, drawn.answerDelay = randomDelay(source, requestBound), randomDelay(source, answerBound)
	return drawn.withResumeDelays(source)
}

func (j delivery) withResumeDelays(source *rand.Rand) delivery {
	for i := range j.resumeDelays {
		j.resumeDelays[i] = randomDelay(source, time.Millisecond)
	}
	return j
}

func randomDelay(source *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(source.Int64N(int64(bound))) + 1
}

// simulatedCaller is the transport.Caller of one process, which sends nothing once it was killed.
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
			return rpcerror.WrapNotExecuted(errRefused, 0)
		}
		return rpcerror.WrapMayHaveExecuted(errRefused)
	case <-ctx.Done():
		return rpcerror.WrapMayHaveExecuted(context.Cause(ctx))
	}
}

var _ transport.Caller = simulatedCaller{}

// deliver carries a request to its handler and the answer back.
func (n *simulatedNetwork) deliver(drawn delivery, link direction, path string, body []byte, answers chan<- *httptest.ResponseRecorder) {
	n.waitWhileFrozen(link.from, drawn.resumeDelays[0])
	<-time.After(drawn.requestDelay)
	if drawn.lost || !n.deliverable(link) {
		return
	}
	n.waitWhileFrozen(link.to, drawn.resumeDelays[1])
	answer := n.handle(link.to, path, body)
	n.waitWhileFrozen(link.to, drawn.resumeDelays[2])
	<-time.After(drawn.answerDelay)
	if drawn.answerLost || !n.deliverable(direction{link.to, link.from}) {
		return
	}
	n.waitWhileFrozen(link.from, drawn.resumeDelays[3])
	answers <- answer
}

// request makes a request as a server does, without a text in between.
func request(method, path string, body []byte) *http.Request {
	return &http.Request{
		Method: method, URL: &url.URL{Path: path}, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

func (n *simulatedNetwork) handle(to, path string, body []byte) *httptest.ResponseRecorder {
	n.mutex.Lock()
	handler := n.handlers[to]
	n.mutex.Unlock()
	answer := httptest.NewRecorder()
	if handler == nil {
		http.Error(answer, errUnreachable.Error(), http.StatusServiceUnavailable)
		return answer
	}
	handler.ServeHTTP(answer, request(http.MethodPost, path, body))
	return answer
}
