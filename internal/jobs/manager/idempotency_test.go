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

// slowDisk is a disk whose writes can be stalled.
type slowDisk struct {
	*storage.Memory
	stalled atomic.Pointer[chan struct{}] // writes wait until it is closed; nil for none
}

// Write implements storage.Store.
func (d *slowDisk) Write(changes ...storage.Change) error {
	if stalled := d.stalled.Load(); stalled != nil {
		<-*stalled
	}
	return d.Memory.Write(changes...)
}

var errNoPeers = errors.New("there is nobody else")

// noPeers is a view of one.
type noPeers struct{}

// Call implements transport.Caller.
func (noPeers) Call(context.Context, string, transport.Route, any, any) error {
	return rpcerror.WrapNotExecuted(errNoPeers, 0)
}

var _ transport.Caller = noPeers{}

// withSoleLeader runs a test with a manager that leads the group as the only member, in simulated time. Its workers' list
// has not been read.
func withSoleLeader(t *testing.T, test func(m *Manager, disk *slowDisk)) {
	virtualtime.Test(t, func(t *testing.T) {
		m := New(Config{Log: zap.NewNop()})
		disk := &slowDisk{Memory: storage.NewMemory()}
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
				t.Fatal("nobody leads")
			}
		}
		test(m, disk)
		stop()
		<-done
		m.Stop()
	})
}

func TestCancellationIsIdempotent(t *testing.T) {
	withSoleLeader(t, func(m *Manager, _ *slowDisk) {
		ctx := context.Background()
		live, unknown := job.ID("00000000000000aa"), job.ID("00000000000000bb")
		Convey("A cancellation replies with the state that it leaves, also when it is sent again", t, func() {
			submit := jobapi.SubmitRequest{Group: soleGroup, ID: live, Specification: job.Specification{
				Text: "text", Stages: []job.Stage{{Count: 1}},
			}}
			for range 2 {
				_, err := m.submit(ctx, submit)
				So(err, ShouldBeNil)
			}
			for range 2 {
				reply, err := m.cancel(ctx, jobapi.CancelRequest{Group: soleGroup, ID: live})
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.CancelReply{Known: true, State: job.Cancelled})
			}
			_, err := m.submit(ctx, submit)
			So(err, ShouldBeNil)
			status, err := m.status(ctx, jobapi.StatusRequest{Group: soleGroup, ID: live})
			So(err, ShouldBeNil)
			So(status, ShouldResemble, jobapi.StatusReply{Known: true, State: job.Cancelled})
			reply, err := m.cancel(ctx, jobapi.CancelRequest{Group: soleGroup, ID: unknown})
			So(err, ShouldBeNil)
			So(reply, ShouldResemble, jobapi.CancelReply{})
		})
	})
}

func TestDrainBeforeTheInventoryIsRead(t *testing.T) {
	withSoleLeader(t, func(m *Manager, _ *slowDisk) {
		ctx := context.Background()
		request := jobreport.DrainRequest{Group: soleGroup, Worker: "i-1", Draining: true}
		Convey("A worker is not reported as unknown before the platform's list was read", t, func() {
			_, err := m.drain(ctx, request)
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			So(rpcerror.RetryAfter(err), ShouldEqual, noInventoryRetry)
			m.SetInventory(nil)
			reply, err := m.drain(ctx, request)
			So(err, ShouldBeNil)
			So(reply.Known, ShouldBeFalse)
		})
	})
}

// A repeated request gets its reply only once the first is durable: until then a successor may not know of it.
func TestRepeatedRequestWaitsForTheDisk(t *testing.T) {
	withSoleLeader(t, func(m *Manager, disk *slowDisk) {
		ctx := context.Background()
		id := job.ID("00000000000000aa")
		specification := job.Specification{Text: "text", Stages: []job.Stage{{Count: 1}}}
		asks := []struct {
			name string
			ask  func() error
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
		for _, one := range asks {
			stalled := make(chan struct{})
			disk.stalled.Store(&stalled)
			answers := make(chan error, 2)
			go func() { answers <- one.ask() }()
			synctest.Wait()
			go func() { answers <- one.ask() }()
			synctest.Wait()
			early := len(answers)
			disk.stalled.Store(nil)
			close(stalled)
			first, second := <-answers, <-answers
			Convey("On a stalled disk there is no reply to "+one.name+" that is sent twice", t, func() {
				So(early, ShouldEqual, 0)
				So(first, ShouldBeNil)
				So(second, ShouldBeNil)
			})
		}
	})
}

func TestDrainOnABaseVersion(t *testing.T) {
	Convey("Given a leader that has a drain from its predecessor", t, func() {
		drained, err := msgpack.Marshal(map[string]uint64{"t": 5, "v": 1, "h": 1})
		So(err, ShouldBeNil)
		jobs, err := scheduler.New(scheduler.Settings{}, currentTime(), map[string][]byte{"d/i-1": drained})
		So(err, ShouldBeNil)
		l := &leadership{scheduler: jobs}
		order := func(draining bool, onTopOf uint64) jobreport.DrainOutcome {
			known, outcome := l.changeDrain(currentTime(), jobreport.DrainRequest{Worker: "i-1", Draining: draining, BaseVersion: &onTopOf})
			So(known, ShouldBeTrue)
			return outcome
		}
		Convey("a copy of that drain that arrives after the change that ended it is confirmed, and changes nothing", func() {
			So(order(false, 1), ShouldEqual, jobreport.DrainApplied)
			So(order(true, 0), ShouldEqual, jobreport.DrainApplied)
			So(jobs.IsOperatorDraining("i-1"), ShouldBeFalse)
		})
		Convey("another change on top of the same version is superseded, one on top of a later version is unclear", func() {
			So(order(false, 0), ShouldEqual, jobreport.DrainSuperseded)
			So(order(false, 2), ShouldEqual, jobreport.DrainIndeterminate)
			So(jobs.IsOperatorDraining("i-1"), ShouldBeTrue)
		})
		Convey("an unknown worker is reported as such", func() {
			version := uint64(0)
			known, _ := l.changeDrain(currentTime(), jobreport.DrainRequest{Worker: "i-2", Draining: true, BaseVersion: &version})
			So(known, ShouldBeFalse)
		})
	})
}
