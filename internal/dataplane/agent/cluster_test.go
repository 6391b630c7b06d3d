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

// coordinator is a coordinator whose updates tests set.
type testCoordinator struct {
	mutex         sync.Mutex
	version       uint64
	term          uint64
	inContact     bool
	changed       chan struct{}
	configuration func(version uint64) []byte
	server        *feedserver.Server
}

// shortBody is a configuration of one chunk.
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
		Core: func() []string { return members },
		InContact: func() bool {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.inContact
		},
		Changed: []func() <-chan struct{}{func() <-chan struct{} {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.changed
		}},
	}
}

// world is a fleet of coordinators and agents on one network in memory.
type testCluster struct {
	network      *network
	coordinators map[string]*testCoordinator
	agents       map[string]*Agent
	cancel       context.CancelFunc
	ctx          context.Context
	running      sync.WaitGroup
}

func newTestCluster(coordinatorCount, agentCount int) *testCluster {
	w := &testCluster{network: newNetwork(), coordinators: make(map[string]*testCoordinator), agents: make(map[string]*Agent)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	var members []string
	for i := range coordinatorCount {
		members = append(members, fmt.Sprintf("core-%d", i))
	}
	for _, address := range members {
		w.addCoordinator(address, members)
	}
	for i := range agentCount {
		w.addAgent(fmt.Sprintf("agent-%d", i), members)
	}
	return w
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

// setVersion puts a configuration in force at every coordinator.
func (w *testCluster) publishVersion(version uint64) {
	for _, c := range w.coordinators {
		c.update(func(c *testCoordinator) { c.version = version })
	}
}

// stragglers lists the agents that know of another version.
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

// between makes a cut between one machine and those that match.
func partitionBetween(address string, match func(string) bool) func(from, to string) bool {
	return func(from, to string) bool { return from == address && match(to) }
}

// proxyRequest is a call of the proxy beside an agent.
func callLocal(w *testCluster, address string, watch feed.WatchRequest) feed.WatchReply {
	var reply feed.WatchReply
	if err := serve(context.Background(), w.network.muxes[address], feed.LocalCall.Path(), watch, &reply); err != nil {
		panic(err)
	}
	return reply
}
