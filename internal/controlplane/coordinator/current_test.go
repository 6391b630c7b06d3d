package coordinator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// fakeRegister is a register whose reads fail while fails is set.
type fakeRegister struct{ fails bool }

// Read implements configuration.Register.
func (r *fakeRegister) Read(context.Context) ([]byte, error) {
	if r.fails {
		return nil, rpcerror.WrapNotExecuted(context.DeadlineExceeded, 0)
	}
	return nil, nil
}

// Change implements configuration.Register.
func (r *fakeRegister) Change(ctx context.Context, _ func([]byte) ([]byte, error)) ([]byte, error) {
	return r.Read(ctx)
}

// newFeedCoordinator creates a coordinator that has only the components that serve agents.
func newFeedCoordinator(t *testing.T, view *replicaset.View, register configuration.Register) *Coordinator {
	t.Helper()
	const address = "10.0.0.1:7000"
	network := networktest.New(1)
	c := &Coordinator{log: zap.NewNop(), mux: transport.NewMux()}
	currentView := func() replicaset.View { return *view }
	var err error
	c.replicationNode, err = replication.NewNode(replication.Config{
		Self: address, Store: storage.NewMemory(), Caller: network.Caller(address), View: currentView,
		Ready: func() bool { return true }, Handler: manager.New(manager.Config{Log: zap.NewNop()}),
	})
	if err != nil {
		t.Fatal(err)
	}
	c.configurator = configuration.New(configuration.Options{
		Register: register, Caller: network.Caller(address), Members: currentView, Address: address, Logger: c.log,
	})
	c.assembleFeed(address)
	return c
}

// isReportedCurrent sends a watch request as an agent does, and reports whether the reply marks the state as current.
func isReportedCurrent(c *Coordinator) bool {
	body, err := msgpack.Marshal(feed.WatchRequest{})
	So(err, ShouldBeNil)
	recorder := httptest.NewRecorder()
	c.mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, feed.WatchCall.Path(), bytes.NewReader(body)))
	So(recorder.Code, ShouldEqual, http.StatusOK)
	var reply feed.WatchReply
	So(msgpack.Unmarshal(recorder.Body.Bytes(), &reply), ShouldBeNil)
	return reply.Current
}

func TestCoordinatorIsCurrentWhileItsConfigurationIsConfirmed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		view := replicaset.View{Version: 1, Members: []string{"10.0.0.1:7000"}}
		register := &fakeRegister{}
		c := newFeedCoordinator(t, &view, register)
		read := func() error {
			_, _, err := c.configurator.Read(context.Background())
			return err
		}
		Convey("Before the first quorum read, it is not current although a majority replies to pings", t, func() {
			So(c.replicationNode.InContact(), ShouldBeTrue)
			So(isReportedCurrent(c), ShouldBeFalse)
		})
		Convey("After a quorum read, it is current for MaxFreshAge", t, func() {
			So(read(), ShouldBeNil)
			So(isReportedCurrent(c), ShouldBeTrue)
			<-time.After(configuration.MaxFreshAge)
			So(isReportedCurrent(c), ShouldBeTrue)
		})
		Convey("After reads have failed for longer, it is not current although a majority replies to pings", t, func() {
			register.fails = true
			<-time.After(time.Millisecond)
			So(read(), ShouldNotBeNil)
			So(c.replicationNode.InContact(), ShouldBeTrue)
			So(isReportedCurrent(c), ShouldBeFalse)
		})
		Convey("It is not current if no majority replies to pings", t, func() {
			register.fails = false
			So(read(), ShouldBeNil)
			So(isReportedCurrent(c), ShouldBeTrue)
			view = replicaset.View{Version: 1, Members: []string{"10.0.0.1:7000", "10.0.0.2:7000"}}
			So(isReportedCurrent(c), ShouldBeFalse)
		})
	})
}
