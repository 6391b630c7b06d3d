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

const goodSettings = `{"granularityS":0.005,"azs":["a"],"models":["m"],"stats":{"how":"answers"},
	"requestClasses":[{"name":"reads","effect":"repeatable","promiseS":1,"giveUpS":1.5,"worth":1,"lateWorth":0.1}],
	"specifics":{"places":1,"width":1,"slices":4,"classNeed":[1]},
	"limits":{"mostTries":2,"multiplex":100,"idleCloseS":15,"connectTimeoutS":1}}`

func setConfiguration(t *testing.T, listen, discovery, searcher, settings string) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":4,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":%q,"zone":"a","machineType":"m","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]},
		"settings":%s}`, listen, discovery, searcher, settings)
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
	for want, c := range map[string][3]string{
		"listen":                        {"", "x:1", goodSettings},
		"expected a JSON object":        {"x:1", "x:1", `7`},
		"second step":                   {"x:1", "x:1", strings.Replace(goodSettings, `"places"`, `"secondStep":[2],"places"`, 1)},
		"coldS is -1":                   {"x:1", "x:1", strings.Replace(goodSettings, `"granularityS"`, `"invariants":{"coldS":-1},"granularityS"`, 1)},
		"address x: missing port":       {"x", "x:1", goodSettings},
		`requestClasses[0].effect is "`: {"x:1", "x:1", strings.Replace(goodSettings, "repeatable", "often", 1)},
		"requestClasses[0].repeatWindowS is -1, expected 0 or more": {"x:1", "x:1", strings.Replace(goodSettings, `"repeatable"`, `"by_key","repeatWindowS":-1`, 1)},
		"floorByClass[0] is 0.6, expected at most classNeed, 0.5":   {"x:1", "x:1", strings.Replace(goodSettings, `"classNeed":[1]`, `"classNeed":[0.5],"floorByClass":[0.6]`, 1)},
	} {
		setConfiguration(t, c[0], c[1], "y:1", c[2])
		if err := serveAggregator(""); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, expected %q", err, want)
		}
	}
	for weight, want := range map[string]string{"0": `searcher "s-1": weight is 0, expected more than 0`, `"NaN"`: "weight of type float64"} {
		setConfiguration(t, "x:1", "x:1", "y:1", goodSettings)
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
		t.Errorf("got %v", err)
	}
}

// TestStartLeavesTheLogAlone: connections that end with one mixer are logged while another starts, which sets nothing that they read.
func TestStartLeavesTheLogAlone(t *testing.T) {
	setConfiguration(t, "x", "x:1", "y:1", goodSettings) // its address stops it, after its log is there
	begun, ended := make(chan bool), make(chan bool)
	go func() {
		defer close(ended)
		log := asynclog.New(zapcore.AddSync(io.Discard))
		for i := range 1000 {
			log.Info("connection ended")
			if i == 0 {
				close(begun)
			}
		}
	}()
	<-begun
	if err := serveAggregator(""); err == nil {
		t.Error("an address without a port was taken")
	}
	<-ended
}

// TestServesAndStops runs the whole program against stand-ins: it serves from what was known, with the register
// out of reach, and on SIGTERM answers what it holds before it ends.
func TestServesAndStops(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	asked, answer := make(chan string, 10), make(chan bool)
	go func() {
		c, err := peer.Accept()
		if err != nil {
			return
		}
		for in := bufio.NewReader(c); ; {
			var head [4]byte
			if _, err := io.ReadFull(in, head[:]); err != nil {
				return
			}
			frame := make([]byte, binary.BigEndian.Uint32(head[:]))
			io.ReadFull(in, frame)
			id, _, _ := strings.Cut(string(frame[1:]), " ")
			asked <- string(frame)
			<-answer
			rest := "R" + id + " done 7 -\nv1"
			c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(rest))), rest...))
		}
	}()
	register := httptest.NewServer(http.NotFoundHandler())
	defer register.Close()
	watched := make(chan string, 100)
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		watched <- q.URL.String()
		http.NotFound(w, q)
	}))
	defer moved.Close()
	listen, err := fakes.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	setConfiguration(t, listen, register.Listener.Addr().String(), peer.Addr().String(), goodSettings)
	t.Setenv("LB_DISCOVERY", register.Listener.Addr().String())
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
			t.Fatalf("never up: %v", err)
		}
	}
	ask := func(id string) chan string {
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
			t.Fatal("no answer")
		}
	}
	first := ask("aa")
	expect(asked, "Saa.2 2 d=")
	answer <- true
	expect(first, `200 false{"whole":true,"results":[{"partition":2,"value":"v1"}]}`)
	held := ask("bb")
	expect(asked, "Sbb.2 2 d=")
	self := os.Getpid()
	syscall.Kill(self, syscall.SIGUSR1)
	// A file that can't be used changes nothing; a good one moves the register, also where LB_DISCOVERY stood over
	// the file at the start, and while the mixer drains.
	good, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		t.Fatal(err)
	}
	good = bytes.Replace(good, []byte(register.Listener.Addr().String()), []byte(moved.Listener.Addr().String()), 1)
	for _, text := range []string{"{", strings.Replace(string(good), `"seed":"8c`, `"seed":"x`, 1),
		strings.Replace(string(good), `"repeatable"`, `"by_key","repeatWindowS":-1`, 1), string(good)} {
		if len(watched) > 0 {
			t.Fatal("a file that is not valid was taken")
		}
		if err := os.WriteFile(os.Getenv("LB_CONFIG"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		syscall.Kill(self, syscall.SIGHUP)
		if text == string(good) {
			syscall.Kill(self, syscall.SIGTERM)
		}
		time.Sleep(100 * time.Millisecond)
	}
	expect(watched, "/discovery/hosts?stream=1&index=4")
	select {
	case err := <-ended:
		t.Fatalf("ended with a lookup held: %v", err)
	case <-time.After(time.Second):
	}
	answer <- true
	expect(held, `200 false{"whole":true`) // the connection stays: another mixer may not be there yet
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(time.Minute):
		t.Fatal("did not end")
	}
}

// A stop while the process before still holds the address ends at once and well, whenever it comes; so does one more.
func TestStopWhileStarting(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	setConfiguration(t, held.Addr().String(), "127.0.0.1:1", "127.0.0.1:1", goodSettings)
	ours := make(chan os.Signal, 1) // so that one that comes before it listens for signals ends nothing
	signal.Notify(ours, syscall.SIGTERM)
	defer signal.Stop(ours)
	ended := make(chan error, 1)
	go func() { ended <- serveAggregator("") }()
	again := time.NewTicker(10 * time.Millisecond)
	defer again.Stop()
	for {
		select {
		case err := <-ended:
			if err != nil {
				t.Fatal(err)
			}
			return
		case <-again.C:
			syscall.Kill(os.Getpid(), syscall.SIGTERM)
		case <-time.After(time.Minute):
			t.Fatal("it does not end")
		}
	}
}

// What comes while it starts is kept for the mixer that runs, in its order.
func TestSignalsWhileStartingAreKept(t *testing.T) {
	signals := make(chan os.Signal, 16)
	begun, err := startInterruptibly(signals, func(ctx context.Context) (*node.Node, error) {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		<-ctx.Done()
		return &node.Node{}, nil // it served a moment before
	})
	if begun == nil || err != nil {
		t.Fatal(err)
	}
	for _, want := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if got := <-signals; got != want {
			t.Fatalf("got %v, expected %v", got, want)
		}
	}
}

// A reload in the very moment of a start: the file changes once it was read, while the mixer still waits for its address. It
// goes by the new file once it runs, and is not ended by the signal.
func TestReloadWhileStarting(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	watched := make(chan string, 100)
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		watched <- q.URL.String()
		http.NotFound(w, q)
	}))
	defer moved.Close()
	const before = "127.0.0.1:1"
	setConfiguration(t, held.Addr().String(), before, "127.0.0.1:1", goodSettings)
	path := os.Getenv("LB_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	// The file is a pipe first: its text is taken only once the mixer reads it, and by then it listens for signals.
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
	text = bytes.Replace(text, []byte(`"discovery":"`+before), []byte(`"discovery":"`+moved.Listener.Addr().String()), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path, pipe); err != nil {
		t.Fatal(err)
	}
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	held.Close()
	select {
	case got := <-watched:
		if got != "/discovery/hosts?stream=1&index=4" {
			t.Errorf("watches %q", got)
		}
	case err := <-ended:
		t.Fatalf("ended: %v", err)
	case <-time.After(time.Minute):
		t.Fatal("the new file was not taken")
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(time.Minute):
		t.Fatal("did not end")
	}
}
