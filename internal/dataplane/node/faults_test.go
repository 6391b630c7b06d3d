package node

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

// TestMain fails if a goroutine of an aggregator outlives the tests. Goroutines of fake backends are ignored, as they finish the
// subqueries that they execute.
func TestMain(m *testing.M) {
	leaktest.Main(m, goleak.IgnoreAnyFunction("puffinlink.example/puffinlink/internal/fakes.(*Backend).execute"))
}

// scriptedBackend is a backend that handles each call as the test decides.
type scriptedBackend struct {
	listener net.Listener
	behavior func(id string) peerBehavior

	mu    sync.Mutex
	calls map[string]int // by ID of the subquery
}

// peerBehavior is how a scriptedBackend handles a call.
type peerBehavior int

const (
	answers peerBehavior = iota
	fails
	hangs
)

// newScriptedBackend starts a backend. behavior decides on each call by the ID of its subquery.
func newScriptedBackend(t *testing.T, behavior func(id string) peerBehavior) *scriptedBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedBackend{listener: l, behavior: behavior, calls: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go p.serve(c)
		}
	}()
	return p
}

func (p *scriptedBackend) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		id, _, _ := strings.Cut(string(frame[1:]), " ")
		response := "Hdone"
		switch frame[0] {
		case 'S':
			p.mu.Lock()
			p.calls[id]++
			p.mu.Unlock()
			switch p.behavior(id) {
			case answers:
				response = "R" + id + " done 7 -\nv"
			case fails:
				response = "R" + id + " failed 0 -\n"
			case hangs:
				continue
			}
		case 'M':
			response = "M-"
		case 'H':
		default:
			continue
		}
		c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(response))), response...))
	}
}

// countCalls returns how many calls of a query's subqueries the backends have received.
func countCalls(backends []*scriptedBackend, query string) (n int) {
	for _, p := range backends {
		p.mu.Lock()
		for id, times := range p.calls {
			if strings.HasPrefix(id, query+".") {
				n += times
			}
		}
		p.mu.Unlock()
	}
	return n
}

// runningNode is an aggregator with its own deployment.
type runningNode struct {
	*Node
	address  string
	backends []*scriptedBackend
}

// startNode starts an aggregator. classes and tenants are JSON lists in the form of the settings.
func startNode(t *testing.T, discovery, classes, tenants string, maxAttempts int, backends ...*scriptedBackend) *runningNode {
	t.Helper()
	var known []string
	for i, p := range backends {
		known = append(known, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"a","machineType":"m","cell":0,"lifecycle":"SERVING"}`, i, p.listener.Addr()))
	}
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"generation":4,"reset":true,"instances":[%s]},
		"settings":{"granularityS":0.005,"azs":["a"],"models":["m"],"stats":{"how":"answers"},"requestClasses":%s,"tenants":%s,
		"specifics":{"places":1,"width":1,"slices":4},"invariants":{"drainGraceS":2},
		"limits":{"cancel":true,"probing":true,"mostTries":%d,"multiplex":100,"idleCloseS":15,"connectTimeoutS":1,"retryAfter":true,"maxRetryAfterS":1}}}`,
		discovery, strings.Join(known, ","), classes, tenants, maxAttempts)
	listen, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := listen.Addr().String()
	listen.Close()
	n, err := StartText(t.Context(), []byte(strings.Replace(text, "127.0.0.1:0", address, 1)), operatorfile.Defaults(), zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return &runningNode{n, address, backends}
}

// newSilentListener returns an address that accepts connections and never responds.
func newSilentListener(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// query sends a query with one subquery on a new connection and returns the answer.
func (h *runningNode) query(t *testing.T, index, id, tenant, deadline string) (status int, body string) {
	t.Helper()
	return answer(t, h.send(t, index, id, tenant, deadline))
}

// send sends a query with one subquery on a new connection.
func (h *runningNode) send(t *testing.T, index, id, tenant, deadline string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	body := `{"targets":[{"partition":2,"share":1}],"query":"q"}`
	fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s",
		index, id, index, tenant, deadline, len(body), body)
	return conn
}

// answer reads an answer.
func answer(t *testing.T, conn net.Conn) (status int, body string) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

// Guards against state that two deployments in one process share. They differ in tenants, in indexes and in the maximum number of
// attempts, and the same index name is repeatable in only one of them.
func TestTwoDeploymentsInOneProcessShareNoState(t *testing.T) {
	failFirst := func() func(string) peerBehavior {
		var mu sync.Mutex
		seen := map[string]bool{}
		return func(id string) peerBehavior {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(id, "warm") || seen[id] {
				return answers
			}
			seen[id] = true
			return fails
		}
	}
	const class = `{"name":%q,"effect":%q,"promiseS":4,"giveUpS":8,"worth":1,"lateWorth":0.1}`
	first, second := failFirst(), failFirst()
	// The limit of two attempts prevents a third call if an answer is late on a busy machine.
	a := startNode(t, newSilentListener(t), "["+fmt.Sprintf(class, "reads", "repeatable")+"]", `[{"name":"acme","portion":1}]`, 2, newScriptedBackend(t, first), newScriptedBackend(t, first))
	b := startNode(t, newSilentListener(t), "["+fmt.Sprintf(class, "orders", "repeatable")+","+fmt.Sprintf(class, "reads", "once")+"]", `[{"name":"other","portion":1}]`, 3,
		newScriptedBackend(t, second), newScriptedBackend(t, second))
	var wg sync.WaitGroup
	for _, h := range []*runningNode{a, b} { // the nodes run concurrently, the queries of each one by one, as concurrent subqueries may share calls
		wg.Go(func() {
			tenant, status, calls := "acme", 200, 2
			if h == b {
				tenant, status, calls = "other", 500, 1
			}
			for i := range 6 {
				for w := range 3 {
					if got, body := h.query(t, "reads", fmt.Sprintf("warm%d-%d", i, w), tenant, "8"); got != 200 {
						t.Errorf("%s: got status %d %s, want 200", tenant, got, body)
					}
				}
				id := fmt.Sprintf("x%d", i) // the same ID on both, as clients of two deployments choose IDs independently
				if got, body := h.query(t, "reads", id, tenant, "8"); got != status || countCalls(h.backends, id) != calls {
					t.Errorf("%s: got status %d %s with %d calls, want %d with %d", tenant, got, body, countCalls(h.backends, id), status, calls)
				}
			}
		})
	}
	wg.Wait()
	for _, bad := range []struct {
		of            *runningNode
		index, tenant string
		status        int
	}{{a, "orders", "acme", 404}, {a, "reads", "other", 400}, {b, "reads", "acme", 400}} {
		if got, body := bad.of.query(t, bad.index, "bad", bad.tenant, "8"); got != bad.status {
			t.Errorf("index %s, tenant %s: got status %d %s, want %d", bad.index, bad.tenant, got, body, bad.status)
		}
	}
}

const oneClass = `[{"name":"reads","effect":"repeatable","promiseS":0.5,"giveUpS":1,"worth":1,"lateWorth":0.1}]`

// An aggregator serves from the backends in its configuration if discovery is silent or unreachable from the start.
func TestAggregatorServesWithoutDiscovery(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	for _, discovery := range []string{newSilentListener(t), closed.Addr().String()} {
		h := startNode(t, discovery, oneClass, "[]", 2, newScriptedBackend(t, func(string) peerBehavior { return answers }))
		res, err := http.Get("http://" + h.address + "/up")
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("GET /up: got %v, %v, want status 200", res, err)
		}
		res.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		if got, body := h.query(t, "reads", "aa", "", "5"); got != 200 {
			t.Fatalf("got status %d %s, want 200", got, body)
		}
	}
}

// Drain is called twice, with a reload in between, while discovery is silent, the backend hangs and a client keeps its connection open.
// The query in progress gets its complete final answer, the idle connection closes, and the drain ends.
func TestDrainEndsWhileBackendsAndDiscoveryHang(t *testing.T) {
	unresponsive := newScriptedBackend(t, func(string) peerBehavior { return hangs })
	h := startNode(t, newSilentListener(t), oneClass, "[]", 2, unresponsive)
	idle, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	fmt.Fprintf(idle, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, _ := answer(t, idle); got != 200 {
		t.Fatalf("GET /up: got status %d, want 200", got)
	}
	held := h.send(t, "reads", "held", "", "1")
	for deadline := time.Now().Add(waitTimeout); countCalls(h.backends, "held") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the query was not sent to the backend")
		}
	}
	drained := h.Drain()
	if err := h.Reload(Config{Discovery: "nowhere"}); err == nil {
		t.Fatal("Reload accepted an invalid address")
	}
	if err := h.Reload(Config{Discovery: newSilentListener(t)}); err != nil {
		t.Fatal(err)
	}
	h.Drain()
	if got, body := answer(t, held); got == 200 || got < 400 {
		t.Fatalf("got status %d %s, want an error status", got, body)
	}
	select {
	case <-drained:
	case <-time.After(waitTimeout):
		t.Fatal("the drain did not end")
	}
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection ended by %v, want io.EOF", err)
	}
	if c, err := net.Dial("tcp", h.address); err == nil {
		c.Close()
		t.Fatal("the aggregator still listens")
	}
}

// Canceling the start ends the wait for an address that the previous process still uses.
func TestCanceledStartStopsWaitingForTheAddress(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	if _, err := listen(ctx, l.Addr().(*net.TCPAddr)); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want %v", err, context.Canceled)
	}
	if elapsed := time.Since(began); elapsed >= addressTimeout {
		t.Fatalf("the canceled wait took %s, want less than %s", elapsed, addressTimeout)
	}
}
