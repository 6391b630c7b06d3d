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
	withTestCluster(t, 3, 2, func(w *testCluster) {
		known := func() feed.Digest { return w.agents["agent-0"].snapshots.Digest() }
		Convey("A first call brings everything", t, func() {
			w.publishVersion(5)
			<-time.After(50 * time.Millisecond)
			reply := callLocal(w, "agent-0", feed.WatchRequest{})
			So(reply.Current, ShouldBeTrue)
			So(string(reply.Snapshot.Configuration), ShouldEqual, "configuration 5")
			So(len(reply.Snapshot.Core), ShouldEqual, 3)
		})
		Convey("A call without news lasts as long as asked, up to a bound", t, func() {
			for _, c := range []struct{ requested, waited time.Duration }{{300 * time.Millisecond, 300 * time.Millisecond}, {time.Minute, maxLocalWait}} {
				began := time.Now()
				reply := callLocal(w, "agent-0", feed.WatchRequest{Known: known(), WaitMS: c.requested.Milliseconds(), Current: true})
				So(time.Since(began), ShouldEqual, c.waited)
				So(reply, ShouldResemble, feed.WatchReply{Current: true})
			}
		})
		Convey("News end it at once", t, func() {
			replies := make(chan feed.WatchReply)
			request := feed.WatchRequest{Known: known(), WaitMS: 2000, Current: true}
			go func() { replies <- callLocal(w, "agent-0", request) }()
			synctest.Wait()
			began := time.Now()
			w.publishVersion(6)
			So((<-replies).Snapshot.ConfigurationVersion, ShouldEqual, 6)
			So(time.Since(began), ShouldBeLessThan, 50*time.Millisecond)
		})
		Convey("The loss of contact ends it, and so does its return", t, func() {
			w.network.setPartition(partitionBetween("agent-0", isCoordinator))
			began := time.Now()
			reply := callLocal(w, "agent-0", feed.WatchRequest{Known: known(), WaitMS: 2000, Current: true})
			So(reply.Current, ShouldBeFalse)
			So(time.Since(began), ShouldBeLessThanOrEqualTo, contactTimeout)
			So(callLocal(w, "agent-0", feed.WatchRequest{Known: known(), WaitMS: 2000, Current: true}).Current, ShouldBeFalse)

			replies := make(chan feed.WatchReply)
			request := feed.WatchRequest{Known: known(), WaitMS: 2000}
			go func() { replies <- callLocal(w, "agent-0", request) }()
			synctest.Wait()
			w.network.setPartition(func(string, string) bool { return false })
			began = time.Now()
			So((<-replies).Current, ShouldBeTrue)
			So(time.Since(began), ShouldBeLessThanOrEqualTo, contactTimeout)
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

		Convey("a waiting call brings what a peer has told meanwhile", func() {
			replies := make(chan feed.WatchReply, 1)
			go func() {
				var reply feed.WatchReply
				client.Call(context.Background(), address, feed.LocalCall.Route(), feed.WatchRequest{WaitMS: 2000}, &reply)
				replies <- reply
			}()
			update := &feed.Snapshot{ConfigurationVersion: 5, Configuration: []byte("configuration 5")}
			var answer feed.Exchange
			So(client.Call(context.Background(), address, feed.ExchangeCall.Route(), feed.Exchange{Snapshot: update}, &answer), ShouldBeNil)
			So(answer.Known.ConfigurationVersion, ShouldEqual, 5)
			reply := <-replies
			So(reply.Snapshot.ConfigurationVersion, ShouldEqual, 5)
			So(reply.Current, ShouldBeFalse)
		})
	})
}
