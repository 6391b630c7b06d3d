package controlmodel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/xxh3"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	errLost = errors.New("no answer")
	errDown = errors.New("connection refused")
)

const (
	maxTransfer   = 4 * time.Millisecond
	maxDelay      = 900 * time.Millisecond // of a message that is late
	registerPaths = "/register/"
	largeBytes    = 120 // of messages that a link with a fault of that kind loses
)

// link is one direction between two machines.
type link struct{ from, to string }

// network carries calls between machines. What happens to a message depends on the seed, its link and its number there, and
// not on the order in which goroutines run.
type network struct {
	seed uint64

	mutex       sync.Mutex
	machines    map[string]*machine
	numbers     map[string]uint64
	partitioned map[link]bool
	losesLarge  map[string]bool // machines whose large messages to and from others are lost
	loss        float64
	duplication float64
	delay       float64
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, machines: map[string]*machine{}, numbers: map[string]uint64{}, partitioned: map[link]bool{}, losesLarge: map[string]bool{},
	}
}

// messageFate is what happens to a message.
type messageFate struct {
	lost, duplicated      bool
	delay, duplicateDelay time.Duration
}

// draw decides on the next message of a link and a path.
func (n *network) draw(from, to, path string, size int) messageFate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := from + " " + to + path
	n.numbers[key]++
	chances := func(use uint64) float64 {
		hash := xxh3.HashStringSeed(key, n.seed^n.numbers[key]<<8^use<<56)
		return float64(hash>>11) / (1 << 53)
	}
	f := messageFate{lost: n.partitioned[link{from, to}] || chances(1) < n.loss, duplicated: chances(2) < n.duplication}
	f.lost = f.lost || size > largeBytes && (n.losesLarge[from] || n.losesLarge[to])
	f.delay = time.Duration(chances(3) * float64(maxTransfer))
	f.duplicateDelay = time.Duration(chances(4) * float64(maxDelay))
	if chances(5) < n.delay {
		f.delay = f.duplicateDelay
	}
	return f
}

// update changes the network's faults.
func (n *network) update(change func(*network)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(n)
}

func (n *network) machineAt(address string) *machine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.machines[address]
}

// endpoint is one process's transport.Caller; it stops with the process.
type endpoint struct {
	network     *network
	from        *machine
	incarnation int
}

// Call implements transport.Caller.
func (e endpoint) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	path := route.Path()
	body, err := msgpack.Marshal(request)
	if err != nil {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	e.from.awaitResume()
	if !e.from.isCurrent(e.incarnation) {
		return rpcerror.WrapNotExecuted(errDown, 0)
	}
	answers := make(chan *httptest.ResponseRecorder, 2)
	sent := e.network.draw(e.from.address, address, path, len(body))
	if !sent.lost {
		go e.network.deliver(ctx, sent.delay, e.from.address, address, path, body, answers)
		if sent.duplicated {
			go e.network.deliver(ctx, sent.duplicateDelay, e.from.address, address, path, body, make(chan *httptest.ResponseRecorder, 1))
		}
	}
	select {
	case answer := <-answers:
		e.from.awaitResume()
		return decode(answer, reply)
	case <-ctx.Done():
		e.from.awaitResume()
		return rpcerror.WrapMayHaveExecuted(errLost)
	}
}

// deliver brings a request to its machine and the answer back.
func (n *network) deliver(ctx context.Context, delay time.Duration, from, to, path string, body []byte, answers chan<- *httptest.ResponseRecorder) {
	<-time.After(delay)
	target := n.machineAt(to)
	answer := httptest.NewRecorder()
	if target == nil || !target.running() {
		answer.Code = http.StatusServiceUnavailable
		answers <- answer
		return
	}
	incarnation := target.awaitResume()
	target.mux().ServeHTTP(answer, request(ctx, path, body))
	target.awaitResume()
	if strings.HasPrefix(path, registerPaths) {
		<-time.After(target.diskTime())
	}
	back := n.draw(to, from, path, answer.Body.Len())
	if back.lost || !target.isCurrent(incarnation) {
		return
	}
	<-time.After(back.delay)
	answers <- answer
}

// decode reads a reply as transport.Client does.
func decode(answer *httptest.ResponseRecorder, reply any) error {
	switch answer.Code {
	case http.StatusOK:
		return msgpack.Unmarshal(answer.Body.Bytes(), reply)
	case http.StatusServiceUnavailable, http.StatusNotFound:
		retryAfter, _ := strconv.Atoi(answer.Header().Get(transport.RetryAfterHeader))
		return rpcerror.WrapNotExecuted(errors.New(answer.Body.String()), time.Duration(retryAfter)*time.Millisecond)
	}
	return rpcerror.WrapMayHaveExecuted(errors.New(answer.Body.String()))
}

// request is an internal call as it arrives.
func request(ctx context.Context, path string, body []byte) *http.Request {
	made := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Header: http.Header{}, Host: "machine",
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	return made.WithContext(ctx)
}
