package manager

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const soleGroup = "jobs/pricing"

// stallableStore is a store whose writes can be stalled.
type stallableStore struct {
	*storage.Memory
	stalled atomic.Pointer[chan struct{}] // writes wait until the channel is closed; nil if writes are not stalled
}

// Write implements storage.Store.
func (d *stallableStore) Write(changes ...storage.Change) error {
	if stalled := d.stalled.Load(); stalled != nil {
		<-*stalled
	}
	return d.Memory.Write(changes...)
}

var errNoPeers = errors.New("the view has no other members")

// noPeers is the caller of a node that is the only member of its view. All calls fail.
type noPeers struct{}

// Call implements transport.Caller.
func (noPeers) Call(context.Context, string, transport.Route, any, any) error {
	return rpcerror.WrapNotExecuted(errNoPeers, 0)
}

var _ transport.Caller = noPeers{}

// withSoleLeader runs a test in virtual time with a manager that leads the group as the only member. The platform's list of
// workers has not been read.
func withSoleLeader(t *testing.T, test func(m *Manager, disk *stallableStore)) {
	virtualtime.Test(t, func(t *testing.T) {
		m := New(Config{Log: zap.NewNop()})
		disk := &stallableStore{Memory: storage.NewMemory()}
		view := replicaset.View{Version: 1, Members: []string{"a"}}
		node, err := replication.NewNode(replication.Config{
			Self: "a", Store: disk, Caller: noPeers{}, Handler: m, Log: zap.NewNop(),
			View: func() replicaset.View { return view }, Ready: func() bool { return true },
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); node.Run(ctx) }()
		node.Ensure(soleGroup)
		for leading, changed := m.Leading(); !leading; leading, changed = m.Leading() {
			select {
			case <-changed:
			case <-time.After(time.Minute):
				t.Fatal("the node does not lead")
			}
		}
		test(m, disk)
		stop()
		<-done
		m.Stop()
	})
}

func TestCancellationIsIdempotent(t *testing.T) {
	withSoleLeader(t, func(m *Manager, _ *stallableStore) {
		ctx := context.Background()
		submitted, unknown := job.ID("00000000000000aa"), job.ID("00000000000000bb")
		Convey("The reply to a cancellation has the resulting state, also when the request is repeated", t, func() {
			submit := jobapi.SubmitRequest{Group: soleGroup, ID: submitted, Specification: job.Specification{
				Text: "text", Stages: []job.Stage{{Count: 1}},
			}}
			for range 2 {
				_, err := m.submit(ctx, submit)
				So(err, ShouldBeNil)
			}
			for range 2 {
				reply, err := m.cancel(ctx, jobapi.CancelRequest{Group: soleGroup, ID: submitted})
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.CancelReply{Known: true, State: job.Cancelled})
			}
			_, err := m.submit(ctx, submit)
			So(err, ShouldBeNil)
			status, err := m.status(ctx, jobapi.StatusRequest{Group: soleGroup, ID: submitted})
			So(err, ShouldBeNil)
			So(status, ShouldResemble, jobapi.StatusReply{Known: true, State: job.Cancelled})
			reply, err := m.cancel(ctx, jobapi.CancelRequest{Group: soleGroup, ID: unknown})
			So(err, ShouldBeNil)
			So(reply, ShouldResemble, jobapi.CancelReply{})
		})
	})
}

func TestDrainBeforeInventoryIsReadIsNotExecuted(t *testing.T) {
	withSoleLeader(t, func(m *Manager, _ *stallableStore) {
		ctx := context.Background()
		request := jobreport.DrainRequest{Group: soleGroup, Worker: "i-1", Draining: true}
		Convey("A worker is not reported as unknown before the platform's list has been read", t, func() {
			_, err := m.drain(ctx, request)
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			So(rpcerror.RetryAfter(err), ShouldEqual, inventoryRetryDelay)
			m.SetInventory(nil)
			reply, err := m.drain(ctx, request)
			So(err, ShouldBeNil)
			So(reply.Known, ShouldBeFalse)
		})
	})
}

// A repeated request must be answered only once the first one is durable. Until then, a new leader may not know the request.
func TestRepeatedRequestIsAnsweredOnlyOnceDurable(t *testing.T) {
	withSoleLeader(t, func(m *Manager, disk *stallableStore) {
		ctx := context.Background()
		id := job.ID("00000000000000aa")
		specification := job.Specification{Text: "text", Stages: []job.Stage{{Count: 1}}}
		requests := []struct {
			name string
			send func() error
		}{
			{"a job", func() error {
				_, err := m.submit(ctx, jobapi.SubmitRequest{Group: soleGroup, ID: id, Specification: specification})
				return err
			}},
			{"a cancellation", func() error {
				_, err := m.cancel(ctx, jobapi.CancelRequest{Group: soleGroup, ID: id})
				return err
			}},
		}
		for _, repeated := range requests {
			stalled := make(chan struct{})
			disk.stalled.Store(&stalled)
			replies := make(chan error, 2)
			go func() { replies <- repeated.send() }()
			synctest.Wait()
			go func() { replies <- repeated.send() }()
			synctest.Wait()
			repliesWhileStalled := len(replies)
			disk.stalled.Store(nil)
			close(stalled)
			first, second := <-replies, <-replies
			Convey("While writes are stalled, there is no reply to "+repeated.name+" that is sent twice", t, func() {
				So(repliesWhileStalled, ShouldEqual, 0)
				So(first, ShouldBeNil)
				So(second, ShouldBeNil)
			})
		}
	})
}

func TestDrainOutcomeDependsOnBaseVersion(t *testing.T) {
	Convey("Given a leader that restored a drain set under an earlier leadership", t, func() {
		drained, err := msgpack.Marshal(map[string]uint64{"t": 5, "v": 1, "h": 1})
		So(err, ShouldBeNil)
		groupScheduler, err := scheduler.New(scheduler.Settings{}, currentTime(), map[string][]byte{"d/i-1": drained})
		So(err, ShouldBeNil)
		l := &leadership{scheduler: groupScheduler}
		changeDrain := func(draining bool, baseVersion uint64) jobreport.DrainOutcome {
			known, outcome := l.changeDrain(currentTime(), jobreport.DrainRequest{Worker: "i-1", Draining: draining, BaseVersion: &baseVersion})
			So(known, ShouldBeTrue)
			return outcome
		}
		Convey("a duplicate of that drain request that arrives after the drain was ended is confirmed and changes nothing", func() {
			So(changeDrain(false, 1), ShouldEqual, jobreport.DrainApplied)
			So(changeDrain(true, 0), ShouldEqual, jobreport.DrainApplied)
			So(groupScheduler.IsOperatorDraining("i-1"), ShouldBeFalse)
		})
		Convey("another change with the same base version is superseded, and one with a later base version is indeterminate", func() {
			So(changeDrain(false, 0), ShouldEqual, jobreport.DrainSuperseded)
			So(changeDrain(false, 2), ShouldEqual, jobreport.DrainIndeterminate)
			So(groupScheduler.IsOperatorDraining("i-1"), ShouldBeTrue)
		})
		Convey("an unknown worker is reported as such", func() {
			version := uint64(0)
			known, _ := l.changeDrain(currentTime(), jobreport.DrainRequest{Worker: "i-2", Draining: true, BaseVersion: &version})
			So(known, ShouldBeFalse)
		})
	})
}
