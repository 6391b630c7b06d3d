package agent

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/feedserver"
)

// testCoordinator is a coordinator whose published state is set by tests.
type testCoordinator struct {
	mutex         sync.Mutex
	version       uint64
	term          uint64
	inContact     bool
	changed       chan struct{}
	configuration func(version uint64) []byte
	server        *feedserver.Server
}

// shortConfiguration returns a configuration that fits in one chunk.
func shortConfiguration(version uint64) []byte { return fmt.Appendf(nil, "configuration %d", version) }

func (c *testCoordinator) update(change func(*testCoordinator)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(c)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *testCoordinator) sources(members []string) feedserver.Sources {
	return feedserver.Sources{
		Configuration: func() (uint64, []byte) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.version, c.configuration(c.version)
		},
		Leaders: func() map[string]feed.Leader {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return map[string]feed.Leader{"g": {Address: members[0], Term: c.term}}
		},
		Coordinators: func() []string { return members },
		InContact: func() bool {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.inContact
		},
		ChangeSignals: []func() <-chan struct{}{func() <-chan struct{} {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.changed
		}},
	}
}

// testCluster consists of coordinators and agents on an in-memory network.
type testCluster struct {
	network      *network
	coordinators map[string]*testCoordinator
	agents       map[string]*Agent
	cancel       context.CancelFunc
	ctx          context.Context
	running      sync.WaitGroup
}

func newTestCluster(coordinatorCount, agentCount int) *testCluster {
	cluster := &testCluster{network: newNetwork(), coordinators: make(map[string]*testCoordinator), agents: make(map[string]*Agent)}
	cluster.ctx, cluster.cancel = context.WithCancel(context.Background())
	var members []string
	for i := range coordinatorCount {
		members = append(members, fmt.Sprintf("core-%d", i))
	}
	for _, address := range members {
		cluster.addCoordinator(address, members)
	}
	for i := range agentCount {
		cluster.addAgent(fmt.Sprintf("agent-%d", i), members)
	}
	return cluster
}

func (w *testCluster) addCoordinator(address string, members []string) {
	c := &testCoordinator{inContact: true, term: 1, changed: make(chan struct{}), configuration: shortConfiguration}
	c.server = feedserver.New(feedserver.Options{
		Sources: c.sources(members),
		Caller:  endpoint{w.network, address},
		Address: address,
		Logger:  zap.NewNop(),
	})
	c.server.Mount(w.network.listen(address))
	w.coordinators[address] = c
	w.running.Go(func() { c.server.Run(w.ctx) })
}

func (w *testCluster) addAgent(address string, seeds []string) *Agent {
	a := New(Config{Address: address, Seeds: seeds, Caller: endpoint{w.network, address}, Logger: zap.NewNop()})
	mux := w.network.listen(address)
	a.Mount(mux)
	a.MountLocal(mux)
	w.agents[address] = a
	w.running.Go(func() { a.Run(w.ctx) })
	return a
}

func (w *testCluster) stop() {
	w.cancel()
	w.running.Wait()
}

// publishVersion publishes a version of the configuration at every coordinator.
func (w *testCluster) publishVersion(version uint64) {
	for _, c := range w.coordinators {
		c.update(func(c *testCoordinator) { c.version = version })
	}
}

// agentsNotAtVersion returns the sorted addresses of the agents whose configuration has another version.
func (w *testCluster) agentsNotAtVersion(version uint64) []string {
	var addresses []string
	for address, a := range w.agents {
		if a.Snapshot().ConfigurationVersion != version {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func isCoordinator(address string) bool { return strings.HasPrefix(address, "core-") }

// partitionBetween returns a partition between one machine and the machines that match.
func partitionBetween(address string, match func(string) bool) func(from, to string) bool {
	return func(from, to string) bool { return from == address && match(to) }
}

// callLocal makes a call as the proxy on the machine of an agent, and returns the reply.
func callLocal(cluster *testCluster, address string, watch feed.WatchRequest) feed.WatchReply {
	var reply feed.WatchReply
	if err := serve(context.Background(), cluster.network.muxes[address], feed.LocalCall.Path(), watch, &reply); err != nil {
		panic(err)
	}
	return reply
}
