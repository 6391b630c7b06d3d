package rebuild_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// inFlightTime is the maximum time that messages remain in flight at the end of a test, in simulated time.
const inFlightTime = 20 * time.Second

// departures is what a member knows about members that are about to stop or to join.
type departures struct{ departing, joining, allOthersDeparting bool }

// Departing implements rebuild.Views.
func (d *departures) Departing() bool { return d.departing }

// HasJoiningMember implements rebuild.Views.
func (d *departures) HasJoiningMember() bool { return d.joining }

// AllOthersDeparting implements rebuild.Views.
func (d *departures) AllOthersDeparting() bool { return d.allOthersDeparting }

// fixedViews implements rebuild.Views with a view that never changes.
type fixedViews struct {
	departures
	view replicaset.View
}

// View implements rebuild.Views.
func (v *fixedViews) View() replicaset.View { return v.view }

// Changed implements rebuild.Views.
func (v *fixedViews) Changed() <-chan struct{} { return nil }

// Learn implements rebuild.Views.
func (v *fixedViews) Learn(replicaset.View) error { return nil }

// Absences implements rebuild.Views.
func (v *fixedViews) Absences() uint64 { return 0 }

// changingViews implements rebuild.Views with a view that a test can change.
type changingViews struct {
	departures
	mutex          sync.Mutex
	view           replicaset.View
	changed        chan struct{}
	absences       uint64
	ignoresLearned bool // whether Learn has no effect
}

func newChangingViews(view replicaset.View, absences uint64) *changingViews {
	return &changingViews{view: view, absences: absences, changed: make(chan struct{})}
}

// View implements rebuild.Views.
func (v *changingViews) View() replicaset.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.view
}

// Changed implements rebuild.Views.
func (v *changingViews) Changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// Absences implements rebuild.Views.
func (v *changingViews) Absences() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.absences
}

// Learn implements rebuild.Views.
func (v *changingViews) Learn(view replicaset.View) error {
	if !v.ignoresLearned {
		v.setView(view, v.Absences())
	}
	return nil
}

func (v *changingViews) setView(view replicaset.View, absences uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.view, v.absences = view, absences
	close(v.changed)
	v.changed = make(chan struct{})
}

// cluster is a set of coordinators on an in-memory network in simulated time.
type cluster struct {
	t       *testing.T
	network *networktest.Network
	views   *fixedViews // used by startInFixedView and newCompleteMux
	ctx     context.Context
}

// inCluster runs a test in simulated time, with a cluster whose fixed view has count members. It starts none of them.
func inCluster(t *testing.T, count int, test func(c *cluster)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{t, networktest.New(1), &fixedViews{view: replicaset.View{Version: 1}}, ctx}
		for i := range count {
			c.views.view.Members = append(c.views.view.Members, fmt.Sprintf("member-%d", i))
		}
		test(c)
		cancel()
		<-time.After(inFlightTime)
	})
}

// newMember returns a member and the mux with its internal calls.
func (c *cluster) newMember(config rebuild.Config) (*rebuild.Rebuilder, *transport.Mux) {
	c.t.Helper()
	config.Caller, config.Logger = c.network.Caller(config.Self), zap.NewNop()
	rebuilder, err := rebuild.New(config)
	if err != nil {
		c.t.Fatal(err)
	}
	rebuilder.Register(rebuild.Infallible(mergeByKey), "data/", "more/")
	mux := transport.NewMux()
	rebuilder.Serve(mux)
	return rebuilder, mux
}

// startMember starts a member with its own views.
func (c *cluster) startMember(config rebuild.Config) *rebuild.Rebuilder {
	c.t.Helper()
	rebuilder, mux := c.newMember(config)
	c.network.Serve(config.Self, mux)
	return rebuilder
}

// startInFixedView starts a member of the cluster's fixed view.
func (c *cluster) startInFixedView(self string, store storage.SnapshotStore, firstStart bool) *rebuild.Rebuilder {
	c.t.Helper()
	return c.startMember(rebuild.Config{Self: self, FirstStart: firstStart, Views: c.views, Store: store})
}

// newCompleteMux returns the internal calls of a complete member of the fixed view, which it does not start.
func (c *cluster) newCompleteMux(self string, store storage.SnapshotStore) *transport.Mux {
	c.t.Helper()
	_, mux := c.newMember(rebuild.Config{Self: self, FirstStart: true, Views: c.views, Store: store})
	return mux
}

// startOthersComplete starts all members but the last one as complete members, and returns their stores.
func (c *cluster) startOthersComplete() []*storage.Memory {
	c.t.Helper()
	var stores []*storage.Memory
	others := c.views.view.Members[:len(c.views.view.Members)-1]
	for _, self := range others {
		store := storage.NewMemory()
		c.startInFixedView(self, store, true)
		store.Write(setChange("data/a", self, "1"), setChange("more/b", "k", "2"), setChange(replicaset.TableName, "view", self))
		stores = append(stores, store)
	}
	return stores
}

// runInBackground calls Run in a goroutine, and returns a channel with its result.
func (c *cluster) runInBackground(rebuilder *rebuild.Rebuilder) <-chan error {
	result := make(chan error, 1)
	go func() { result <- rebuilder.Run(c.ctx) }()
	return result
}

// mergeByKey merges the tables of all snapshots key by key.
func mergeByKey(snapshots []storage.Tables) storage.Tables {
	merged := make(storage.Tables)
	for _, tables := range snapshots {
		for name, table := range tables {
			if merged[name] == nil {
				merged[name] = make(map[string][]byte)
			}
			maps.Copy(merged[name], table)
		}
	}
	return merged
}

func setChange(table, key, value string) storage.Change {
	return storage.Change{Table: table, Key: key, Value: []byte(value)}
}
