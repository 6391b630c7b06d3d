package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// memoryListener is a net.Listener for in-memory connections.
type memoryListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection to the listener. It returns nil if the listener is closed.
func (l *memoryListener) dial() *memoryClient {
	ours, theirs := net.Pipe()
	select {
	case l.connections <- theirs:
		return &memoryClient{ours, bufio.NewReader(ours)}
	case <-l.closed:
		return nil
	}
}

// memoryClient is the client's end of an in-memory connection.
type memoryClient struct {
	net.Conn
	reader *bufio.Reader
}

func (c *memoryClient) write(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		panic(err)
	}
}

func (c *memoryClient) read() (status int, closes bool, err error) {
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Close, err
}

func (c *memoryClient) send() (status int, closes bool, err error) {
	c.write(postText)
	return c.read()
}

var postText = fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", testPrefix, testID, len(testJob), testJob)

// memoryCaller is a transport.Caller that answers polls as the agent, with a fixed snapshot, and passes all other calls
// to the leader function.
type memoryCaller struct {
	snapshot feed.Snapshot
	leader   func(ctx context.Context) error
}

func (c *memoryCaller) Call(ctx context.Context, _ string, route transport.Route, request, reply any) error {
	if route.Path() != feed.LocalCall.Path() {
		return c.leader(ctx)
	}
	answer := reply.(*feed.WatchReply)
	*answer = feed.WatchReply{Current: true}
	if request.(feed.WatchRequest).Known.ConfigurationVersion == 0 {
		answer.Changed, answer.Snapshot = true, &c.snapshot
		return nil
	}
	timer.Sleep(ctx, pollWait)
	return ctx.Err()
}

// drainTest is a proxy that runs in virtual time with in-memory connections.
type drainTest struct {
	proxy            *Proxy
	front, readiness *memoryListener
	stop             func()
	served           chan struct{}
	serveTime        time.Duration // from the call of stop until Serve returned
}

const testGrace = 6 * time.Second

func startDrainTest(leader func(ctx context.Context) error) *drainTest {
	caller := &memoryCaller{snapshot: snapshotOf(configurationOf(60_000), "leader", 1), leader: leader}
	return startDrainTestWith(caller)
}

func startDrainTestWith(caller transport.Caller) *drainTest {
	d := &drainTest{
		proxy: New(Config{
			Caller:         caller,
			BuildRouter:    buildTestRouter,
			GracePeriod:    testGrace,
			MaxConnections: 10,
			MaxBodyBytes:   1 << 20,
			Log:            zap.NewNop(),
		}),
		front:     newMemoryListener(),
		readiness: newMemoryListener(),
		served:    make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var stopped time.Time
	d.stop = func() {
		stopped = time.Now()
		cancel()
		synctest.Wait()
	}
	go func() {
		defer close(d.served)
		d.proxy.Serve(ctx, d.front, d.readiness)
		d.serveTime = time.Since(stopped)
	}()
	synctest.Wait()
	return d
}

func (d *drainTest) readinessStatus() int {
	client := d.readiness.dial()
	defer client.Close()
	client.write("GET " + ReadinessPath + " HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _, err := client.read()
	So(err, ShouldBeNil)
	return status
}

// runWithVirtualTime runs a subtest with virtual time, which advances when all goroutines of the subtest wait.
func runWithVirtualTime(t *testing.T, name string, test func()) {
	t.Run(name, func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) { Convey(name, t, test) })
	})
}

// answerAfter returns a leader function that answers after the given time.
func answerAfter(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		timer.Sleep(ctx, d)
		return ctx.Err()
	}
}

func TestDrainEndsWithinItsTimeLimits(t *testing.T) {
	runWithVirtualTime(t, "without connections the proxy ends after the idle time, and is not ready at once", func() {
		d := startDrainTest(answerAfter(0))
		So(d.readinessStatus(), ShouldEqual, http.StatusOK)
		d.stop()
		So(d.readinessStatus(), ShouldEqual, http.StatusServiceUnavailable)
		<-d.served
		So(d.serveTime, ShouldEqual, drainIdleTime)
	})
	runWithVirtualTime(t, "an idle connection is still served, and closed after its next answer", func() {
		d := startDrainTest(answerAfter(0))
		client := d.front.dial()
		defer client.Close()
		status, closes, err := client.send()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeFalse)
		d.stop()
		time.Sleep(1500 * time.Millisecond)
		status, closes, err = client.send()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeTrue)
		<-d.served
		So(d.serveTime, ShouldEqual, 1500*time.Millisecond+drainIdleTime)
	})
	runWithVirtualTime(t, "new connections are accepted during the drain and not afterwards", func() {
		d := startDrainTest(answerAfter(0))
		d.stop()
		time.Sleep(900 * time.Millisecond)
		client := d.front.dial()
		defer client.Close()
		status, closes, err := client.send()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeTrue)
		<-d.served
		So(d.front.dial(), ShouldBeNil)
	})
	runWithVirtualTime(t, "an idle connection does not extend the time for new requests", func() {
		d := startDrainTest(answerAfter(0))
		client := d.front.dial()
		defer client.Close()
		_, _, err := client.send()
		So(err, ShouldBeNil)
		d.stop()
		<-d.served
		So(d.serveTime, ShouldEqual, maxDrainAcceptTime)
		_, _, err = client.read()
		So(err, ShouldNotBeNil)
	})
	runWithVirtualTime(t, "a request in progress is answered before the proxy ends", func() {
		d := startDrainTest(answerAfter(time.Second))
		client := d.front.dial()
		defer client.Close()
		d.stop()
		time.Sleep(maxDrainAcceptTime - 100*time.Millisecond)
		status, closes, err := client.send()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeTrue)
		<-d.served
		So(d.serveTime, ShouldEqual, maxDrainAcceptTime+900*time.Millisecond)
	})
	runWithVirtualTime(t, "a request that takes too long is answered within the grace period", func() {
		d := startDrainTest(answerAfter(time.Hour))
		client := d.front.dial()
		defer client.Close()
		client.write(postText)
		synctest.Wait()
		d.stop()
		status, closes, err := client.read()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusGatewayTimeout)
		So(closes, ShouldBeTrue)
		<-d.served
		So(d.serveTime, ShouldEqual, testGrace-killMargin-canceledAnswerTime)
	})
	runWithVirtualTime(t, "an incomplete request does not delay the end beyond the grace period", func() {
		d := startDrainTest(answerAfter(0))
		client := d.front.dial()
		client.write(postText[:len(postText)-1])
		synctest.Wait()
		d.stop()
		<-d.served
		So(d.serveTime, ShouldEqual, testGrace-killMargin)
		client.Close()
		time.Sleep(time.Second)
	})
	runWithVirtualTime(t, "a short grace period leaves no time for new requests", func() {
		d := startDrainTest(answerAfter(0))
		client := d.front.dial()
		defer client.Close()
		d.proxy.SetGracePeriod(time.Second)
		d.stop()
		<-d.served
		So(d.serveTime, ShouldEqual, 0)
	})
}

func TestConnectionBeyondLimitIsClosed(t *testing.T) {
	runWithVirtualTime(t, "a connection beyond the limit is closed, and accepted again after another has ended", func() {
		d := startDrainTest(answerAfter(0))
		var clients []*memoryClient
		for range 10 {
			clients = append(clients, d.front.dial())
			synctest.Wait()
		}
		beyond := d.front.dial()
		_, _, err := beyond.read()
		So(err, ShouldNotBeNil)
		clients[0].Close()
		synctest.Wait()
		again := d.front.dial()
		status, _, err := again.send()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		again.Close()
		for _, client := range clients {
			client.Close()
		}
		d.stop()
		<-d.served
	})
}
