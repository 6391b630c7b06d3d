package workerclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// newSlowDialClient returns a client whose dials signal on dialling and then block until release.
func newSlowDialClient(dialling chan<- struct{}, release <-chan struct{}) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialling <- struct{}{}
			<-release
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}}
}

func TestCallWaitingForConnectionIsNotSentAfterLeaderLeaseExpiry(t *testing.T) {
	Convey("Given a worker to which dialling is slow", t, func() {
		var calls, leaseExpired atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.Write([]byte(`{"clockMs":1}`))
		}))
		Reset(server.Close)
		dialling, release := make(chan struct{}, 10), make(chan struct{}, 10)
		client := newSlowDialClient(dialling, release)
		Reset(client.CloseIdleConnections)
		rpc := newRPCClient(client, server.Listener.Addr().String(), "i-1", func() bool { return leaseExpired.Load() == 0 })
		body := appendStop(nil, StopCommand{task(0), 1}, 1)
		post := func() error {
			_, err := rpc.post(context.Background(), rpc.stop, body, time.Minute)
			return err
		}

		Convey("a call is not sent if the leader lease expires during the dial, on a new or reused connection", func() {
			failures := make(chan error, 1)
			go func() { failures <- post() }()
			<-dialling
			leaseExpired.Store(1)
			release <- struct{}{}
			err := <-failures
			So(err, ShouldNotBeNil)
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			So(calls.Load(), ShouldEqual, 0)

			leaseExpired.Store(0)
			release <- struct{}{}
			So(post(), ShouldBeNil)
			So(calls.Load(), ShouldEqual, 1)
			leaseExpired.Store(1)
			close(release)
			So(rpcerror.ExecutionOf(post()), ShouldEqual, rpcerror.NotExecuted)
			So(calls.Load(), ShouldEqual, 1)
		})
		Convey("a call is sent if the leader lease is valid", func() {
			release <- struct{}{}
			So(post(), ShouldBeNil)
			So(calls.Load(), ShouldEqual, 1)
		})
	})
}
