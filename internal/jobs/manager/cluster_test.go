package manager

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	testGroup       = "jobs/x"
	pauseLength     = 20 * time.Second // how long a process is paused
	electionTimeout = 10 * time.Second // virtual, for an election
)

// pausableClock is a node's monotonic clock. A process that was paused wakes with a clock that is later, before any of its
// timers has fired.
type pausableClock struct {
	begin  time.Time
	paused atomic.Int64
}

// Now implements replication.Clock.
func (c *pausableClock) Now() time.Duration {
	return time.Since(c.begin) + time.Duration(c.paused.Load())
}

func (c *pausableClock) pause() { c.paused.Add(int64(pauseLength)) }

// testNode is one coordinator's part in the jobs.
type testNode struct {
	address string
	clock   *pausableClock
	manager *Manager
	node    *replication.Node
}

// testCluster is some coordinators on a network in memory, in virtual time.
type testCluster struct {
	network *networktest.Network
	nodes   []*testNode
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// withCluster runs a test in virtual time with three coordinators of which one leads.
func withCluster(t *testing.T, test func(t *testing.T, w *testCluster, leader *testNode)) {
	virtualtime.Test(t, func(t *testing.T) {
		w := &testCluster{network: networktest.New(1)}
		ctx, cancel := context.WithCancel(context.Background())
		w.cancel = cancel
		view := replicaset.View{Version: 1}
		for i := range 3 {
			view.Members = append(view.Members, fmt.Sprintf("10.0.0.%d:7000", i+1))
		}
		for _, address := range view.Members {
			w.add(ctx, t, address, view)
		}
		defer w.stop()
		leader := w.awaitLeader()
		if leader == nil {
			t.Fatal("nobody is elected")
		}
		test(t, w, leader)
	})
}

func (w *testCluster) add(ctx context.Context, t *testing.T, address string, view replicaset.View) {
	t.Helper()
	m := &testNode{address: address, clock: &pausableClock{begin: time.Now()}}
	m.manager = New(Config{Settings: scheduler.Settings{MaxLease: 6 * time.Second, StatusRetention: time.Hour}, Log: zap.NewNop()})
	m.manager.SetInventory(nil) // the platform's list was read and is empty
	node, err := replication.NewNode(replication.Config{
		Self: address, Store: storage.NewMemory(), Caller: w.network.Caller(address), Handler: m.manager, Clock: m.clock,
		View:  func() replicaset.View { return view },
		Ready: func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	m.node = node
	m.manager.SetInventory(nil) // the list of workers has been read
	mux := transport.NewMux()
	node.Serve(mux)
	w.network.Serve(address, mux)
	node.Ensure(testGroup)
	w.running.Go(func() { node.Run(ctx) })
	w.nodes = append(w.nodes, m)
}

// awaitLeader waits for a node whose manager leads; nil if none does.
func (w *testCluster) awaitLeader() *testNode {
	for limit := time.Now().Add(electionTimeout); time.Now().Before(limit); <-time.After(10 * time.Millisecond) {
		for _, m := range w.nodes {
			if _, err := m.manager.leadershipOf(testGroup); err == nil {
				return m
			}
		}
	}
	return nil
}

func (w *testCluster) stop() {
	w.cancel()
	w.running.Wait()
	for _, m := range w.nodes {
		m.manager.Stop()
	}
}
