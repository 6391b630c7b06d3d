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

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// Chances and delays of messages in the model, in simulated time.
const (
	loseChance   = 0.04
	doubleChance = 0.05
	lateChance   = 0.05
	usualDelay   = 15 * time.Millisecond
	lateDelay    = 2500 * time.Millisecond
)

var (
	errUnreachable = errors.New("nobody serves the address")
	errRefused     = errors.New("the call was refused")
)

// direction is a way from one machine to another.
type direction struct{ from, to string }

// modelNetwork carries the internal calls of the machines in memory. Each way has its own source of chances, so that a
// seed replays a schedule however the goroutines of one moment are run.
type modelNetwork struct {
	seed uint64

	mutex    sync.Mutex // guards what follows
	calm     bool       // no message is lost, doubled or late
	handlers map[string]http.Handler
	cuts     map[direction]bool
	thaw     map[string]chan struct{} // of frozen machines; closed when they go on
	heard    map[direction]time.Time  // when the latest message arrived
	chances  map[string]*rand.Rand
}

func newModelNetwork(seed uint64) *modelNetwork {
	return &modelNetwork{
		seed: seed, handlers: make(map[string]http.Handler), cuts: make(map[direction]bool),
		thaw: make(map[string]chan struct{}), heard: make(map[direction]time.Time), chances: make(map[string]*rand.Rand),
	}
}

// source returns the source of chances of a name. The caller holds the mutex.
func (n *modelNetwork) source(name string) *rand.Rand {
	if n.chances[name] == nil {
		hash := fnv.New64a()
		hash.Write([]byte(name))
		n.chances[name] = rand.New(rand.NewPCG(n.seed, hash.Sum64()))
	}
	return n.chances[name]
}

// draw returns a random duration below a bound, from the source of a name.
func (n *modelNetwork) draw(name string, bound time.Duration) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Duration(n.source(name).Int64N(int64(bound)))
}

func (n *modelNetwork) serve(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

func (n *modelNetwork) cut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[direction{from, to}] = cut
}

// freeze stops a machine until it is thawed: its messages and its writes wait.
func (n *modelNetwork) freeze(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.thaw[address] == nil {
		n.thaw[address] = make(chan struct{})
	}
}

func (n *modelNetwork) unfreeze(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if frozen := n.thaw[address]; frozen != nil {
		close(frozen)
		delete(n.thaw, address)
	}
}

// awake waits while a machine is frozen. What waited goes on one after the other, each after a time of its own, as a seed
// would not replay what goes on at one moment.
func (n *modelNetwork) awake(address string, after time.Duration) {
	n.mutex.Lock()
	frozen := n.thaw[address]
	n.mutex.Unlock()
	if frozen != nil {
		<-frozen
		<-time.After(after)
	}
}

// heal ends all faults.
func (n *modelNetwork) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.calm = true
	clear(n.cuts)
}

// passes tells whether a message gets through now, and notes that it was heard.
func (n *modelNetwork) passes(way direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cuts[way] {
		return false
	}
	n.heard[way] = time.Now()
	return true
}

// silence is how long a machine has heard nothing of another; false if it never has.
func (n *modelNetwork) silence(at, of string) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	heard, found := n.heard[direction{of, at}]
	return time.Since(heard), found
}

// journey is how one message and its answer fare.
type journey struct {
	lost, answerLost bool
	there, back      time.Duration
	awake            [4]time.Duration // after the end of a freeze: at the caller, twice at the callee, at the caller
}

// journeys draws how a request fares: once or, where it is doubled, twice.
func (n *modelNetwork) journeys(from, to, path string) []journey {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	source := n.source(from + ">" + to + path)
	if n.calm {
		calm := journey{there: delay(source, usualDelay), back: delay(source, usualDelay)}
		return []journey{calm.drawAwake(source)}
	}
	ways := []journey{drawJourney(source)}
	if source.Float64() < doubleChance {
		ways = append(ways, drawJourney(source))
	}
	return ways
}

func drawJourney(source *rand.Rand) journey {
	way := journey{lost: source.Float64() < loseChance, answerLost: source.Float64() < loseChance}
	there, back := usualDelay, usualDelay
	if source.Float64() < lateChance {
		there = lateDelay
	}
	if source.Float64() < lateChance {
		back = lateDelay
	}
	way.there, way.back = delay(source, there), delay(source, back)
	return way.drawAwake(source)
}

func (j journey) drawAwake(source *rand.Rand) journey {
	for i := range j.awake {
		j.awake[i] = delay(source, time.Millisecond)
	}
	return j
}

func delay(source *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(source.Int64N(int64(bound))) + 1
}

// modelCaller is the transport.Caller of one process, which sends nothing once it was killed.
type modelCaller struct {
	network *modelNetwork
	from    string
	alive   func() bool
}

// Call implements transport.Caller.
func (c modelCaller) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if !c.alive() {
		return rpcerror.WrapNotExecuted(errKilled, 0)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	path := route.Path()
	answers := make(chan *httptest.ResponseRecorder, 2)
	for _, way := range c.network.journeys(c.from, address, path) {
		go c.network.carry(way, direction{c.from, address}, path, body, answers)
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

var _ transport.Caller = modelCaller{}

// carry takes a request to its handler and the answer back.
func (n *modelNetwork) carry(how journey, way direction, path string, body []byte, answers chan<- *httptest.ResponseRecorder) {
	n.awake(way.from, how.awake[0])
	<-time.After(how.there)
	if how.lost || !n.passes(way) {
		return
	}
	n.awake(way.to, how.awake[1])
	answer := n.handle(way.to, path, body)
	n.awake(way.to, how.awake[2])
	<-time.After(how.back)
	if how.answerLost || !n.passes(direction{way.to, way.from}) {
		return
	}
	n.awake(way.from, how.awake[3])
	answers <- answer
}

// request makes a request as a server does, without a text in between.
func request(method, path string, body []byte) *http.Request {
	return &http.Request{
		Method: method, URL: &url.URL{Path: path}, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

func (n *modelNetwork) handle(to, path string, body []byte) *httptest.ResponseRecorder {
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
