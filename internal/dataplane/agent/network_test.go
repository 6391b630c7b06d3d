package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	errPartitioned = errors.New("no reply")
	errDown        = errors.New("connection refused")
)

// network is an in-memory network. Calls across a partition hang until they time out. Calls from or to a machine that is down fail
// at once.
type network struct {
	mutex     sync.Mutex
	muxes     map[string]*transport.Mux
	partition func(from, to string) bool
	down      map[string]bool
	calls     map[callRoute]int
	links     map[string]*link // by address; only of machines with a slow link
	corrupt   func(from string, reply any)
}

// callRoute identifies the caller, the callee and the path of a call.
type callRoute struct{ from, to, path string }

func newNetwork() *network {
	return &network{
		muxes:     make(map[string]*transport.Mux),
		partition: func(string, string) bool { return false },
		down:      make(map[string]bool),
		calls:     make(map[callRoute]int),
		links:     make(map[string]*link),
		corrupt:   func(string, any) {},
	}
}

// listen returns the mux that serves an address.
func (n *network) listen(address string) *transport.Mux {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.muxes[address] = transport.NewMux()
	return n.muxes[address]
}

func (n *network) setPartition(partition func(from, to string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partition = partition
}

func (n *network) setDown(address string, down bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.down[address] = down
}

// countCalls returns the number of calls by route since countCalls was last called.
func (n *network) countCalls() map[callRoute]int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	calls := n.calls
	n.calls = make(map[callRoute]int)
	return calls
}

// endpoint is one machine's transport.Caller.
type endpoint struct {
	network *network
	address string
}

func (e endpoint) Call(ctx context.Context, address string, target transport.Route, request, reply any) error {
	n := e.network
	n.mutex.Lock()
	n.calls[callRoute{e.address, address, target.Path()}]++
	mux := n.muxes[address]
	down := mux == nil || n.down[address] || n.down[e.address]
	n.mutex.Unlock()
	if n.isPartitioned(e.address, address) {
		<-ctx.Done()
		return rpcerror.WrapMayHaveExecuted(errPartitioned)
	}
	if down {
		return rpcerror.WrapNotExecuted(errDown, 0)
	}
	if err := n.transmit(ctx, e.address, address, request); err != nil {
		return err
	}
	err := serve(ctx, mux, target.Path(), request, reply)
	if n.isPartitioned(e.address, address) { // the reply is lost
		<-ctx.Done()
		return rpcerror.WrapMayHaveExecuted(errPartitioned)
	}
	if err != nil {
		return err
	}
	n.mutex.Lock()
	corrupt := n.corrupt
	n.mutex.Unlock()
	corrupt(address, reply)
	return n.transmit(ctx, address, e.address, reply)
}

// transmit waits for the time that a message needs on the links of both machines.
func (n *network) transmit(ctx context.Context, from, to string, message any) error {
	content, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	for _, address := range []string{from, to} {
		n.mutex.Lock()
		link := n.links[address]
		n.mutex.Unlock()
		if link != nil && !link.transmit(ctx, len(content)+headerBytes) {
			return rpcerror.WrapMayHaveExecuted(ctx.Err())
		}
	}
	return nil
}

// isPartitioned reports whether a partition separates two machines. A partition affects both directions.
func (n *network) isPartitioned(one, other string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.partition(one, other) || n.partition(other, one)
}

func serve(ctx context.Context, mux *transport.Mux, path string, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	recorder := httptest.NewRecorder()
	call := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)).WithContext(ctx)
	mux.ServeHTTP(recorder, call)
	if ctx.Err() != nil {
		return rpcerror.WrapMayHaveExecuted(ctx.Err())
	}
	if recorder.Code != http.StatusOK {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("%s replied with status %d", path, recorder.Code))
	}
	return msgpack.Unmarshal(recorder.Body.Bytes(), reply)
}
