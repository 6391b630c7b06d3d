package agent

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

func TestProxyReceivesUpdatesAndContactChanges(t *testing.T) {
	withTestCluster(t, 3, 2, func(cluster *testCluster) {
		known := func() feed.Digest { return cluster.agents["agent-0"].snapshots.Digest() }
		Convey("The first call returns the complete state", t, func() {
			cluster.publishVersion(5)
			<-time.After(50 * time.Millisecond)
			reply := callLocal(cluster, "agent-0", feed.WatchRequest{})
			So(reply.Current, ShouldBeTrue)
			So(string(reply.Snapshot.Configuration), ShouldEqual, "configuration 5")
			So(len(reply.Snapshot.Coordinators), ShouldEqual, 3)
		})
		Convey("A call without an update returns after the requested wait, which is limited to maxLocalWait", t, func() {
			for _, c := range []struct{ requested, waited time.Duration }{{300 * time.Millisecond, 300 * time.Millisecond}, {time.Minute, maxLocalWait}} {
				start := time.Now()
				reply := callLocal(cluster, "agent-0", feed.WatchRequest{Known: known(), WaitMS: c.requested.Milliseconds(), Current: true})
				So(time.Since(start), ShouldEqual, c.waited)
				So(reply, ShouldResemble, feed.WatchReply{Current: true})
			}
		})
		Convey("An update ends a waiting call at once", t, func() {
			replies := make(chan feed.WatchReply)
			request := feed.WatchRequest{Known: known(), WaitMS: 2000, Current: true}
			go func() { replies <- callLocal(cluster, "agent-0", request) }()
			synctest.Wait()
			start := time.Now()
			cluster.publishVersion(6)
			So((<-replies).Snapshot.ConfigurationVersion, ShouldEqual, 6)
			So(time.Since(start), ShouldBeLessThan, 50*time.Millisecond)
		})
		Convey("Loss of contact ends a waiting call, and so does regained contact", t, func() {
			cluster.network.setPartition(partitionBetween("agent-0", isCoordinator))
			start := time.Now()
			reply := callLocal(cluster, "agent-0", feed.WatchRequest{Known: known(), WaitMS: 2000, Current: true})
			So(reply.Current, ShouldBeFalse)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, contactTimeout)
			So(callLocal(cluster, "agent-0", feed.WatchRequest{Known: known(), WaitMS: 2000, Current: true}).Current, ShouldBeFalse)

			replies := make(chan feed.WatchReply)
			request := feed.WatchRequest{Known: known(), WaitMS: 2000}
			go func() { replies <- callLocal(cluster, "agent-0", request) }()
			synctest.Wait()
			cluster.network.setPartition(func(string, string) bool { return false })
			start = time.Now()
			So((<-replies).Current, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, contactTimeout)
		})
	})
}

func TestLocalCallReturnsPeerUpdateOverHTTP(t *testing.T) {
	Convey("Given an agent on loopback", t, func() {
		a := New(Config{Address: "agent-0", Caller: endpoint{newNetwork(), "agent-0"}, Logger: zap.NewNop()})
		mux := transport.NewMux()
		a.MountLocal(mux)
		a.Mount(mux)
		server := httptest.NewServer(mux)
		client := transport.NewClient()
		Reset(func() {
			client.Close()
			server.Close()
		})
		address := server.Listener.Addr().String()

		Convey("a waiting call returns an update that a peer sends in the meantime", func() {
			replies := make(chan feed.WatchReply, 1)
			go func() {
				var reply feed.WatchReply
				client.Call(context.Background(), address, feed.LocalCall.Route(), feed.WatchRequest{WaitMS: 2000}, &reply)
				replies <- reply
			}()
			update := &feed.Snapshot{ConfigurationVersion: 5, Configuration: []byte("configuration 5")}
			var exchangeReply feed.Exchange
			So(client.Call(context.Background(), address, feed.ExchangeCall.Route(), feed.Exchange{Snapshot: update}, &exchangeReply), ShouldBeNil)
			So(exchangeReply.Known.ConfigurationVersion, ShouldEqual, 5)
			reply := <-replies
			So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 5)
			So(reply.Current, ShouldBeFalse)
		})
	})
}
