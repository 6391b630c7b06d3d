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

// Work that a stand-in has begun goes on for its time, as a backend's would; nothing of an aggregator may.
func TestMain(m *testing.M) {
	leaktest.Main(m, goleak.IgnoreAnyFunction("puffinlink.example/puffinlink/internal/fakes.(*Backend).work"))
}

// peer is a backend whose every call the test decides on.
type peer struct {
	listener net.Listener
	does     func(id string) does

	mu    sync.Mutex
	calls map[string]int // by subquery's name
}

type does int

const (
	answers does = iota
	fails
	hangs
)

func newPeer(t *testing.T, does func(id string) does) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l, does: does, calls: map[string]int{}}
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

func (p *peer) serve(c net.Conn) {
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
		rest := "Hdone"
		switch frame[0] {
		case 'S':
			p.mu.Lock()
			p.calls[id]++
			p.mu.Unlock()
			switch p.does(id) {
			case answers:
				rest = "R" + id + " done 7 -\nv"
			case fails:
				rest = "R" + id + " failed 0 -\n"
			case hangs:
				continue
			}
		case 'M':
			rest = "M-"
		case 'H':
		default:
			continue
		}
		c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(rest))), rest...))
	}
}

// sum is how often subqueries of a query were called at all of these.
func sum(peers []*peer, query string) (n int) {
	for _, p := range peers {
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

// hosted is an aggregator of a deployment of its own.
type hosted struct {
	*Node
	at    string
	peers []*peer
}

// host starts one. Its classes are a list of objects, its tenants too, as the settings have them.
func host(t *testing.T, discovery, classes, tenants string, tries int, peers ...*peer) *hosted {
	t.Helper()
	var known []string
	for i, p := range peers {
		known = append(known, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"a","machineType":"m","cell":0,"lifecycle":"SERVING"}`, i, p.listener.Addr()))
	}
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"generation":4,"reset":true,"instances":[%s]},
		"settings":{"granularityS":0.005,"azs":["a"],"models":["m"],"stats":{"how":"answers"},"requestClasses":%s,"tenants":%s,
		"specifics":{"places":1,"width":1,"slices":4},"invariants":{"drainGraceS":2},
		"limits":{"cancel":true,"probing":true,"mostTries":%d,"multiplex":100,"idleCloseS":15,"connectTimeoutS":1,"retryAfter":true,"maxRetryAfterS":1}}}`,
		discovery, strings.Join(known, ","), classes, tenants, tries)
	listen, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	at := listen.Addr().String()
	listen.Close()
	n, err := StartText(t.Context(), []byte(strings.Replace(text, "127.0.0.1:0", at, 1)), operatorfile.Defaults(), zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return &hosted{n, at, peers}
}

// newUnresponsivePeer is an address where connects come up and nothing is ever said.
func newUnresponsivePeer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// query asks for a query of one subquery on a connection of its own.
func (h *hosted) query(t *testing.T, index, id, tenant, deadline string) (status int, body string) {
	t.Helper()
	return answer(t, h.send(t, index, id, tenant, deadline))
}

func (h *hosted) send(t *testing.T, index, id, tenant, deadline string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	body := `{"targets":[{"partition":2,"share":1}],"query":"q"}`
	fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s",
		index, id, index, tenant, deadline, len(body), body)
	return conn
}

func answer(t *testing.T, conn net.Conn) (status int, body string) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(patience))
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

// Two deployments in one process: an index of the same name that may be repeated in the one and not in the other, and names, tenants and
// tries that only one of them has.
func TestTwoDeploymentsShareNothing(t *testing.T) {
	failFirst := func() func(string) does {
		var mu sync.Mutex
		seen := map[string]bool{}
		return func(id string) does {
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
	// With two tries a busy machine, on which an answer is overdue, gets no third call.
	a := host(t, newUnresponsivePeer(t), "["+fmt.Sprintf(class, "reads", "repeatable")+"]", `[{"name":"acme","portion":1}]`, 2, newPeer(t, first), newPeer(t, first))
	b := host(t, newUnresponsivePeer(t), "["+fmt.Sprintf(class, "orders", "repeatable")+","+fmt.Sprintf(class, "reads", "once")+"]", `[{"name":"other","portion":1}]`, 3,
		newPeer(t, second), newPeer(t, second))
	var wg sync.WaitGroup
	for _, h := range []*hosted{a, b} { // side by side, each by turns, as subqueries of a step share calls
		wg.Go(func() {
			tenant, status, calls := "acme", 200, 2
			if h == b {
				tenant, status, calls = "other", 500, 1
			}
			for i := range 6 {
				for w := range 3 {
					if got, body := h.query(t, "reads", fmt.Sprintf("warm%d-%d", i, w), tenant, "8"); got != 200 {
						t.Errorf("%s: got %d %s, expected 200", tenant, got, body)
					}
				}
				id := fmt.Sprintf("x%d", i) // the same on both, as clients of two deployments know nothing of each other
				if got, body := h.query(t, "reads", id, tenant, "8"); got != status || sum(h.peers, id) != calls {
					t.Errorf("%s: got %d %s with %d calls, expected %d with %d", tenant, got, body, sum(h.peers, id), status, calls)
				}
			}
		})
	}
	wg.Wait()
	for _, bad := range []struct {
		of            *hosted
		index, tenant string
		status        int
	}{{a, "orders", "acme", 404}, {a, "reads", "other", 400}, {b, "reads", "acme", 400}} {
		if got, body := bad.of.query(t, bad.index, "bad", bad.tenant, "8"); got != bad.status {
			t.Errorf("%s of %s: got %d %s, expected %d", bad.index, bad.tenant, got, body, bad.status)
		}
	}
}

const oneClass = `[{"name":"reads","effect":"repeatable","promiseS":0.5,"giveUpS":1,"worth":1,"lateWorth":0.1}]`

// An aggregator serves from what it was told at its start, with discovery silent or out of reach from its first moment.
func TestReadyWithoutDiscovery(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for _, discovery := range []string{newUnresponsivePeer(t), gone.Addr().String()} {
		h := host(t, discovery, oneClass, "[]", 2, newPeer(t, func(string) does { return answers }))
		res, err := http.Get("http://" + h.at + "/up")
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", res, err)
		}
		res.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		if got, body := h.query(t, "reads", "aa", "", "5"); got != 200 {
			t.Fatalf("got %d %s", got, body)
		}
	}
}

// Told to stop twice and to reload between, with discovery silent, all backends hung and clients that never leave: what is held gets its
// whole final answer, nothing that comes later is sent on, and it ends.
func TestStopWhileEverythingHangs(t *testing.T) {
	hung := newPeer(t, func(string) does { return hangs })
	h := host(t, newUnresponsivePeer(t), oneClass, "[]", 2, hung)
	rests, err := net.Dial("tcp", h.at)
	if err != nil {
		t.Fatal(err)
	}
	defer rests.Close()
	fmt.Fprintf(rests, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, _ := answer(t, rests); got != 200 {
		t.Fatalf("got %d", got)
	}
	held := h.send(t, "reads", "held", "", "1")
	for late := time.Now().Add(patience); sum(h.peers, "held") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("it is not sent on")
		}
	}
	drained := h.Drain()
	if err := h.Reload(Config{Discovery: "nowhere"}); err == nil {
		t.Fatal("an address that is none was taken")
	}
	if err := h.Reload(Config{Discovery: newUnresponsivePeer(t)}); err != nil {
		t.Fatal(err)
	}
	h.Drain()
	if got, body := answer(t, held); got == 200 || got < 400 {
		t.Fatalf("got %d %s", got, body)
	}
	select {
	case <-drained:
	case <-time.After(patience):
		t.Fatal("it never ends")
	}
	if _, err := rests.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the resting connection ended by %v, expected io.EOF", err)
	}
	if c, err := net.Dial("tcp", h.at); err == nil {
		c.Close()
		t.Fatal("it still listens")
	}
}

// A stop while it waits for the address that the process before it still holds ends the wait.
func TestStopDuringTheStart(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	if _, err := listen(ctx, l.Addr().(*net.TCPAddr)); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, expected %v", err, context.Canceled)
	}
	if took := time.Since(began); took >= addressTimeout {
		t.Fatalf("it took %s", took)
	}
}
