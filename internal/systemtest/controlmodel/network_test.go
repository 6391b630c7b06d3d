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
	errNoAnswer = errors.New("no answer")
	errDown     = errors.New("connection refused")
)

const (
	maxTransfer        = 4 * time.Millisecond
	maxExtraDelay      = 900 * time.Millisecond // of a message that is delayed or duplicated
	registerPathPrefix = "/register/"
	largeMessageBytes  = 120 // larger messages are lost by machines in losesLargeMessages
)

// link is one direction of the connection between two machines.
type link struct{ from, to string }

// network delivers calls between machines. The fate of a message depends only on the seed, its link, its path, and its number on
// that link and path. It does not depend on the order in which goroutines run.
type network struct {
	seed uint64

	mutex              sync.Mutex
	machines           map[string]*machine
	messageCounts      map[string]uint64
	partitioned        map[link]bool
	losesLargeMessages map[string]bool // machines that lose the large messages that they send or receive
	lossRate           float64
	duplicationRate    float64
	delayRate          float64
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, machines: map[string]*machine{}, messageCounts: map[string]uint64{}, partitioned: map[link]bool{}, losesLargeMessages: map[string]bool{},
	}
}

// messageFate is the random outcome for one message.
type messageFate struct {
	lost, duplicated      bool
	delay, duplicateDelay time.Duration
}

// drawFate returns the fate of the next message on a link and path.
func (n *network) drawFate(from, to, path string, size int) messageFate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := from + " " + to + path
	n.messageCounts[key]++
	random := func(purpose uint64) float64 {
		hash := xxh3.HashStringSeed(key, n.seed^n.messageCounts[key]<<8^purpose<<56)
		return float64(hash>>11) / (1 << 53)
	}
	fate := messageFate{lost: n.partitioned[link{from, to}] || random(1) < n.lossRate, duplicated: random(2) < n.duplicationRate}
	fate.lost = fate.lost || size > largeMessageBytes && (n.losesLargeMessages[from] || n.losesLargeMessages[to])
	fate.delay = time.Duration(random(3) * float64(maxTransfer))
	fate.duplicateDelay = time.Duration(random(4) * float64(maxExtraDelay))
	if random(5) < n.delayRate {
		fate.delay = fate.duplicateDelay
	}
	return fate
}

// update changes the network's configuration under its mutex.
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

// endpoint is the transport.Caller of one process. Its calls fail once the process has ended.
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
	sent := e.network.drawFate(e.from.address, address, path, len(body))
	if !sent.lost {
		go e.network.deliver(ctx, sent.delay, e.from.address, address, path, body, answers)
		if sent.duplicated {
			go e.network.deliver(ctx, sent.duplicateDelay, e.from.address, address, path, body, make(chan *httptest.ResponseRecorder, 1))
		}
	}
	select {
	case answer := <-answers:
		e.from.awaitResume()
		return decodeReply(answer, reply)
	case <-ctx.Done():
		e.from.awaitResume()
		return rpcerror.WrapMayHaveExecuted(errNoAnswer)
	}
}

// deliver passes a request to its machine and sends the answer back, unless the answer is lost or the process has ended.
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
	target.internalHandler().ServeHTTP(answer, newInternalRequest(ctx, path, body))
	target.awaitResume()
	if strings.HasPrefix(path, registerPathPrefix) {
		<-time.After(target.writeDuration())
	}
	back := n.drawFate(to, from, path, answer.Body.Len())
	if back.lost || !target.isCurrent(incarnation) {
		return
	}
	<-time.After(back.delay)
	answers <- answer
}

// decodeReply decodes a reply or an error as transport.Client does.
func decodeReply(answer *httptest.ResponseRecorder, reply any) error {
	switch answer.Code {
	case http.StatusOK:
		return msgpack.Unmarshal(answer.Body.Bytes(), reply)
	case http.StatusServiceUnavailable, http.StatusNotFound:
		retryAfter, _ := strconv.Atoi(answer.Header().Get(transport.RetryAfterHeader))
		return rpcerror.WrapNotExecuted(errors.New(answer.Body.String()), time.Duration(retryAfter)*time.Millisecond)
	}
	return rpcerror.WrapMayHaveExecuted(errors.New(answer.Body.String()))
}

// newInternalRequest returns an internal call as the receiving machine sees it.
func newInternalRequest(ctx context.Context, path string, body []byte) *http.Request {
	made := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Header: http.Header{}, Host: "machine",
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	return made.WithContext(ctx)
}
