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
	pauseLength     = 20 * time.Second // duration of a process pause, longer than a leader lease
	electionTimeout = 10 * time.Second // limit for an election, in virtual time
)

// pausableClock is a node's monotonic clock. It simulates a pause of the process: the clock jumps ahead before any of the
// node's timers fires.
type pausableClock struct {
	begin  time.Time
	paused atomic.Int64
}

// Now implements replication.Clock.
func (c *pausableClock) Now() time.Duration {
	return time.Since(c.begin) + time.Duration(c.paused.Load())
}

func (c *pausableClock) pause() { c.paused.Add(int64(pauseLength)) }

// testNode is one coordinator, reduced to its replication node and its manager.
type testNode struct {
	address string
	clock   *pausableClock
	manager *Manager
	node    *replication.Node
}

// testCluster is a set of coordinators on an in-memory network, in virtual time.
type testCluster struct {
	network   *networktest.Network
	retention time.Duration
	groups    []string
	nodes     []*testNode
	running   sync.WaitGroup
	cancel    context.CancelFunc
}

// withCluster runs a test in virtual time with three coordinators, one of which leads the group.
func withCluster(t *testing.T, test func(t *testing.T, c *testCluster, leader *testNode)) {
	withGroups(t, time.Hour, []string{testGroup}, func(t *testing.T, c *testCluster) {
		leader := c.awaitLeader()
		if leader == nil {
			t.Fatal("no leader was elected")
		}
		test(t, c, leader)
	})
}

// withGroups runs a test in virtual time with three coordinators, which elect leaders of several groups and keep ended jobs for the
// retention time.
func withGroups(t *testing.T, retention time.Duration, groups []string, test func(t *testing.T, c *testCluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		c := &testCluster{network: networktest.New(1), retention: retention, groups: groups}
		ctx, cancel := context.WithCancel(context.Background())
		c.cancel = cancel
		view := replicaset.View{Version: 1}
		for i := range 3 {
			view.Members = append(view.Members, fmt.Sprintf("10.0.0.%d:7000", i+1))
		}
		for _, address := range view.Members {
			c.addNode(ctx, t, address, view)
		}
		defer c.stop()
		test(t, c)
	})
}

func (c *testCluster) addNode(ctx context.Context, t *testing.T, address string, view replicaset.View) {
	t.Helper()
	n := &testNode{address: address, clock: &pausableClock{begin: time.Now()}}
	n.manager = New(Config{Settings: scheduler.Settings{MaxLease: 6 * time.Second, StatusRetention: c.retention}, Log: zap.NewNop()})
	n.manager.SetInventory(nil) // the platform's list has been read and is empty
	node, err := replication.NewNode(replication.Config{
		Self: address, Store: storage.NewMemory(), Caller: c.network.Caller(address), Handler: n.manager, Clock: n.clock,
		View:  func() replicaset.View { return view },
		Ready: func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.node = node
	n.manager.SetInventory(nil) // the list of workers has been read
	mux := transport.NewMux()
	node.Serve(mux)
	c.network.Serve(address, mux)
	for _, group := range c.groups {
		node.Ensure(group)
	}
	c.running.Go(func() { node.Run(ctx) })
	c.nodes = append(c.nodes, n)
}

// awaitLeader waits for a node whose manager leads the test group. It returns nil if there is none within electionTimeout.
func (c *testCluster) awaitLeader() *testNode { return c.awaitLeaderOf(testGroup) }

// awaitLeaderOf waits for a node whose manager leads a group. It returns nil if there is none within electionTimeout.
func (c *testCluster) awaitLeaderOf(group string) *testNode {
	for limit := time.Now().Add(electionTimeout); time.Now().Before(limit); <-time.After(10 * time.Millisecond) {
		for _, n := range c.nodes {
			if _, err := n.manager.leadershipOf(group); err == nil {
				return n
			}
		}
	}
	return nil
}

func (c *testCluster) stop() {
	c.cancel()
	c.running.Wait()
	for _, n := range c.nodes {
		n.manager.Stop()
	}
}
