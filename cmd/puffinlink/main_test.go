package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/dataplane/asynclog"
	"puffinlink.example/puffinlink/internal/dataplane/node"
	"puffinlink.example/puffinlink/internal/fakes"
)

const validSettings = `{"granularityS":0.005,"azs":["a"],"models":["m"],"stats":{"how":"answers"},
	"requestClasses":[{"name":"reads","effect":"repeatable","promiseS":1,"giveUpS":1.5,"worth":1,"lateWorth":0.1}],
	"specifics":{"places":1,"width":1,"slices":4,"classNeed":[1]},
	"limits":{"mostTries":2,"multiplex":100,"idleCloseS":15,"connectTimeoutS":1}}`

// setConfiguration writes a configuration file with one known backend and points LB_CONFIG at it until the test ends.
func setConfiguration(t *testing.T, listen, discovery, backend, settings string) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":4,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":%q,"zone":"a","machineType":"m","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]},
		"settings":%s}`, listen, discovery, backend, settings)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"LB_NAME", "LB_LISTEN", "LB_DISCOVERY"} {
		t.Setenv(name, "")
	}
	t.Setenv("LB_CONFIG", path)
}

func TestInvalidConfigurationIsReportedInOneLine(t *testing.T) {
	for want, test := range map[string][3]string{
		"listen":                        {"", "x:1", validSettings},
		"expected a JSON object":        {"x:1", "x:1", `7`},
		"second step":                   {"x:1", "x:1", strings.Replace(validSettings, `"places"`, `"secondStep":[2],"places"`, 1)},
		"coldS is -1":                   {"x:1", "x:1", strings.Replace(validSettings, `"granularityS"`, `"invariants":{"coldS":-1},"granularityS"`, 1)},
		"address x: missing port":       {"x", "x:1", validSettings},
		`requestClasses[0].effect is "`: {"x:1", "x:1", strings.Replace(validSettings, "repeatable", "often", 1)},
		"requestClasses[0].repeatWindowS is -1, expected 0 or more": {"x:1", "x:1", strings.Replace(validSettings, `"repeatable"`, `"by_key","repeatWindowS":-1`, 1)},
		"floorByClass[0] is 0.6, expected at most classNeed, 0.5":   {"x:1", "x:1", strings.Replace(validSettings, `"classNeed":[1]`, `"classNeed":[0.5],"floorByClass":[0.6]`, 1)},
	} {
		setConfiguration(t, test[0], test[1], "y:1", test[2])
		if err := serveAggregator(""); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	for weight, want := range map[string]string{"0": `searcher "s-1": weight is 0, expected more than 0`, `"NaN"`: "weight of type float64"} {
		setConfiguration(t, "x:1", "x:1", "y:1", validSettings)
		text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(os.Getenv("LB_CONFIG"), bytes.Replace(text, []byte(`"weight":1.0`), []byte(`"weight":`+weight), 1), 0o600)
		if err := serveAggregator(""); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	t.Setenv("LB_CONFIG", "")
	if err := serveAggregator(""); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v, expected an error that names LB_CONFIG", err)
	}
}

// TestStartDoesNotRaceWithConnectionLogging runs the start of an aggregator while another one in the process logs the end of
// connections. It guards against a start that writes to variables that the logger reads: the race detector reports it.
func TestStartDoesNotRaceWithConnectionLogging(t *testing.T) {
	setConfiguration(t, "x", "x:1", "y:1", validSettings) // the invalid listen address fails the start after the logger has been set up
	logging, ended := make(chan bool), make(chan bool)
	go func() {
		defer close(ended)
		log := asynclog.New(zapcore.AddSync(io.Discard))
		for i := range 1000 {
			log.Info("connection ended")
			if i == 0 {
				close(logging)
			}
		}
	}()
	<-logging
	if err := serveAggregator(""); err == nil {
		t.Error("serveAggregator accepted an address without a port")
	}
	<-ended
}

// TestServesWithoutDiscoveryAndDrainsOnSIGTERM runs an aggregator against a fake backend. The aggregator serves with the backends
// of its configuration file while discovery is not available, and on SIGTERM answers the query in flight before it ends.
func TestServesWithoutDiscoveryAndDrainsOnSIGTERM(t *testing.T) {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	subqueries, respond := make(chan string, 10), make(chan bool)
	go func() {
		c, err := backend.Accept()
		if err != nil {
			return
		}
		for in := bufio.NewReader(c); ; {
			var header [4]byte
			if _, err := io.ReadFull(in, header[:]); err != nil {
				return
			}
			frame := make([]byte, binary.BigEndian.Uint32(header[:]))
			io.ReadFull(in, frame)
			id, _, _ := strings.Cut(string(frame[1:]), " ")
			subqueries <- string(frame)
			<-respond
			response := "R" + id + " done 7 -\nv1"
			c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(response))), response...))
		}
	}()
	discovery := httptest.NewServer(http.NotFoundHandler())
	defer discovery.Close()
	watches := make(chan string, 100)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		watches <- q.URL.String()
		http.NotFound(w, q)
	}))
	defer newDiscovery.Close()
	listen, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	setConfiguration(t, listen, discovery.Listener.Addr().String(), backend.Addr().String(), validSettings)
	t.Setenv("LB_DISCOVERY", discovery.Listener.Addr().String())
	ended := make(chan error, 1)
	go func() { ended <- serveAggregator("") }()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		res, err := http.Get("http://" + listen + "/up")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("the aggregator was not ready within a minute: %v", err)
		}
	}
	sendQuery := func(id string) chan string {
		got := make(chan string, 1)
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/reads", strings.NewReader(`{"targets":[{"partition":2,"share":1}],"query":"q1"}`))
			req.Header = http.Header{"Req-Id": {id}, "Req-Kind": {"reads"}, "Req-Deadline": {"4"}}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				got <- err.Error()
				return
			}
			defer res.Body.Close()
			text, err := io.ReadAll(res.Body)
			got <- fmt.Sprint(res.StatusCode, res.Close, string(text), err)
		}()
		return got
	}
	expect := func(got chan string, want string) {
		t.Helper()
		select {
		case text := <-got:
			if !strings.HasPrefix(text, want) {
				t.Fatalf("got %q, expected %q", text, want)
			}
		case <-time.After(time.Minute):
			t.Fatal("no response within a minute")
		}
	}
	firstResponse := sendQuery("aa")
	expect(subqueries, "Saa.2 2 d=")
	respond <- true
	expect(firstResponse, `200 false{"whole":true,"results":[{"partition":2,"value":"v1"}]}`)
	heldResponse := sendQuery("bb")
	expect(subqueries, "Sbb.2 2 d=")
	self := os.Getpid()
	syscall.Kill(self, syscall.SIGUSR1)
	// A reload of an invalid file changes nothing. A valid one changes the address of discovery, although LB_DISCOVERY
	// overrode the file at start, and although the aggregator drains.
	valid, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		t.Fatal(err)
	}
	valid = bytes.Replace(valid, []byte(discovery.Listener.Addr().String()), []byte(newDiscovery.Listener.Addr().String()), 1)
	for _, text := range []string{"{", strings.Replace(string(valid), `"seed":"8c`, `"seed":"x`, 1),
		strings.Replace(string(valid), `"repeatable"`, `"by_key","repeatWindowS":-1`, 1), string(valid)} {
		if len(watches) > 0 {
			t.Fatal("an invalid configuration file was applied")
		}
		if err := os.WriteFile(os.Getenv("LB_CONFIG"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		syscall.Kill(self, syscall.SIGHUP)
		if text == string(valid) {
			syscall.Kill(self, syscall.SIGTERM)
		}
		time.Sleep(100 * time.Millisecond)
	}
	expect(watches, "/discovery/hosts?stream=1&index=4")
	select {
	case err := <-ended:
		t.Fatalf("the aggregator ended with a query in flight: %v", err)
	case <-time.After(time.Second):
	}
	respond <- true
	expect(heldResponse, `200 false{"whole":true`) // the connection stays open, as the next aggregator may not be listening yet
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(time.Minute):
		t.Fatal("the aggregator did not end within a minute")
	}
}

// TestSIGTERMWhileStartingEndsWithoutError sends SIGTERM every 10 ms while an aggregator waits for an address that another
// listener still uses. The start must end without an error, at whatever moment the signals arrive.
func TestSIGTERMWhileStartingEndsWithoutError(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	setConfiguration(t, occupied.Addr().String(), "127.0.0.1:1", "127.0.0.1:1", validSettings)
	ignored := make(chan os.Signal, 1) // signals that arrive before serveAggregator handles them must not end the test process
	signal.Notify(ignored, syscall.SIGTERM)
	defer signal.Stop(ignored)
	ended := make(chan error, 1)
	go func() { ended <- serveAggregator("") }()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			if err != nil {
				t.Fatal(err)
			}
			return
		case <-ticker.C:
			syscall.Kill(os.Getpid(), syscall.SIGTERM)
		case <-time.After(time.Minute):
			t.Fatal("the aggregator did not end within a minute")
		}
	}
}

// TestSignalsWhileStartingAreQueuedInOrder checks that signals received during the start are passed on to the running aggregator,
// in the order of their arrival.
func TestSignalsWhileStartingAreQueuedInOrder(t *testing.T) {
	signals := make(chan os.Signal, 16)
	started, err := startInterruptibly(signals, func(ctx context.Context) (*node.Node, error) {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		<-ctx.Done()
		return &node.Node{}, nil // the start completed despite the cancellation
	})
	if started == nil || err != nil {
		t.Fatal(err)
	}
	for _, want := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if got := <-signals; got != want {
			t.Fatalf("got %v, expected %v", got, want)
		}
	}
}

// TestSIGHUPWhileStartingAppliesTheNewFile changes the configuration file and sends SIGHUP after the aggregator has read the file,
// but while it still waits for its address. SIGHUP must not end the process, and the aggregator must apply the new file once it
// runs.
func TestSIGHUPWhileStartingAppliesTheNewFile(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	watches := make(chan string, 100)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		watches <- q.URL.String()
		http.NotFound(w, q)
	}))
	defer newDiscovery.Close()
	const oldDiscovery = "127.0.0.1:1"
	setConfiguration(t, occupied.Addr().String(), oldDiscovery, "127.0.0.1:1", validSettings)
	path := os.Getenv("LB_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	// The file is a named pipe at first: the write below blocks until the aggregator reads it, and by then the aggregator
	// handles signals.
	pipe := path + ".pipe"
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", pipe)
	ended := make(chan error, 1)
	go func() { ended <- serveAggregator("") }()
	if err := os.WriteFile(pipe, text, 0o600); err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"discovery":"`+oldDiscovery), []byte(`"discovery":"`+newDiscovery.Listener.Addr().String()), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path, pipe); err != nil {
		t.Fatal(err)
	}
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	occupied.Close()
	select {
	case got := <-watches:
		if got != "/discovery/hosts?stream=1&index=4" {
			t.Errorf("discovery received a request for %q", got)
		}
	case err := <-ended:
		t.Fatalf("the aggregator ended after SIGHUP: %v", err)
	case <-time.After(time.Minute):
		t.Fatal("the new configuration file was not applied within a minute")
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(time.Minute):
		t.Fatal("the aggregator did not end within a minute")
	}
}
