package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

// fixture is a proxy that serves on loopback addresses, with a fake agent and an HTTP client.
type fixture struct {
	t         *testing.T
	proxy     *Proxy
	agent     *fakeAgent
	url       string
	readiness string
	client    *http.Client
}

func newFixture(t *testing.T, snapshot feed.Snapshot) *fixture {
	agent := newFakeAgent(t, snapshot)
	caller := transport.NewClient()
	proxy := New(Config{
		AgentAddress:   agent.server.Listener.Addr().String(),
		Caller:         caller,
		BuildRouter:    buildTestRouter,
		GracePeriod:    time.Second,
		MaxConnections: 100,
		MaxBodyBytes:   1 << 20,
		Log:            zap.NewNop(),
	})
	front, readiness := listenLoopback(t), listenLoopback(t)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		proxy.Serve(ctx, front, readiness)
	}()
	f := &fixture{
		t:         t,
		proxy:     proxy,
		agent:     agent,
		url:       "http://" + front.Addr().String(),
		readiness: "http://" + readiness.Addr().String() + ReadinessPath,
		client:    &http.Client{Transport: &http.Transport{}},
	}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		stop()
		<-served
		caller.Close()
	})
	if snapshot.ConfigurationVersion > 0 {
		f.awaitView(func(v *view) bool { return v.version >= snapshot.ConfigurationVersion })
	}
	return f
}

func listenLoopback(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// awaitView waits until the proxy's view of the feed satisfies a condition.
func (f *fixture) awaitView(condition func(*view) bool) {
	f.t.Helper()
	timeout := time.After(time.Minute)
	for {
		view := f.proxy.feed.currentView()
		if condition(view) {
			return
		}
		select {
		case <-view.changed:
		case <-timeout:
			f.t.Fatal("the proxy's view does not satisfy the condition after a minute")
		}
	}
}

// publishLeader changes the leader in the agent's feed and waits until the proxy knows the leader's term.
func (f *fixture) publishLeader(leader string, term uint64) {
	f.agent.change(func(s *feed.Snapshot) { s.Leaders[testGroup] = feed.Leader{Address: leader, Term: term} })
	f.awaitView(func(v *view) bool { return v.leaders[testGroup].Term >= term })
}

// clientReply is the proxy's answer to a client.
type clientReply struct {
	status     int
	retryAfter string
	text       string
	close      bool
}

func (f *fixture) send(method, path, body string) clientReply {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.do(request)
}

func (f *fixture) do(request *http.Request) clientReply {
	f.t.Helper()
	answer, err := f.client.Do(request)
	if err != nil {
		f.t.Fatalf("%s %s: %v", request.Method, request.URL, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		f.t.Fatalf("%s %s: %v", request.Method, request.URL, err)
	}
	return clientReply{answer.StatusCode, answer.Header.Get("Retry-After"), string(text), answer.Close}
}

func (f *fixture) post() clientReply { return f.send(http.MethodPost, testPrefix+testID, testJob) }

// sendAsync sends a request in a goroutine and returns a channel that receives its reply.
func (f *fixture) sendAsync(method, path, body string) <-chan clientReply {
	replies := make(chan clientReply, 1)
	go func() { replies <- f.send(method, path, body) }()
	return replies
}

func (r clientReply) String() string { return fmt.Sprint(r.status, " ", r.retryAfter, " ", r.text) }
