package replicaset_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// messageDrainTime is the simulated time in which all messages in flight at the end of a test are delivered.
const messageDrainTime = 10 * time.Second

// managerCluster is a set of processes on an in-memory network that each run only a Manager, and the bootstrap register. It must
// run in simulated time.
type managerCluster struct {
	t       *testing.T
	network *networktest.Network
	seeds   []string
	running map[string]*managerProcess
}

type managerProcess struct {
	manager *replicaset.Manager
	store   *storage.Memory
	stop    context.CancelFunc
	ended   chan error
}

func newManagerCluster(t *testing.T, seeds ...string) *managerCluster {
	c := &managerCluster{t: t, network: networktest.New(1), seeds: seeds, running: make(map[string]*managerProcess)}
	c.network.SetFaults(networktest.Faults{MaxDelay: 5 * time.Millisecond})
	return c
}

func addresses(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("core-%d", i))
	}
	return all
}

// start starts a coordinator, or a process that does not count for the quorum.
func (c *managerCluster) start(self string, store *storage.Memory, firstStart, isCoordinator bool) *managerProcess {
	c.t.Helper()
	var manager *replicaset.Manager
	bootstrap := register.NewBootstrap(register.BootstrapConfig{
		Self:     self,
		Store:    store,
		Ready:    func() bool { return true },
		Founders: func() []string { return manager.Founders() },
		Caller:   c.network.Caller(self),
	})
	manager, err := replicaset.NewManager(replicaset.Config{
		Self:            self,
		Seeds:           c.seeds,
		FirstStart:      firstStart,
		CountsForQuorum: isCoordinator,
		Store:           store,
		Caller:          c.network.Caller(self),
		Bootstrap:       bootstrap,
		Logger:          zap.NewNop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	mux := transport.NewMux()
	manager.Serve(mux)
	bootstrap.Serve(mux)
	c.network.Serve(self, mux)
	ctx, stop := context.WithCancel(context.Background())
	process := &managerProcess{manager, store, stop, make(chan error, 1)}
	go func() { process.ended <- manager.Run(ctx) }()
	c.running[self] = process
	return process
}

func (c *managerCluster) startAll(all []string) {
	for _, self := range all {
		c.start(self, storage.NewMemory(), true, true)
	}
}

// kill stops a process and returns its disk.
func (c *managerCluster) kill(self string) *storage.Memory {
	process := c.running[self]
	c.network.Serve(self, nil)
	process.stop()
	if err := <-process.ended; err != nil {
		c.t.Error(err)
	}
	delete(c.running, self)
	return process.store
}

func (c *managerCluster) shutDown() {
	for self := range c.running {
		c.kill(self)
	}
	<-time.After(messageDrainTime)
}

// awaitView waits until a process knows a view, and returns the view and the time since start.
func (p *managerProcess) awaitView(start time.Time) (replicaset.View, time.Duration) {
	for deadline := time.After(time.Minute); ; {
		changed := p.manager.Changed()
		if view := p.manager.View(); view.Version > 0 {
			return view, time.Since(start)
		}
		select {
		case <-changed:
		case <-deadline:
			return replicaset.View{}, time.Minute
		}
	}
}

// runInManagerCluster runs a test with a managerCluster in simulated time.
func runInManagerCluster(t *testing.T, seeds []string, test func(c *managerCluster, start time.Time)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, seeds...)
		test(c, time.Now())
		c.shutDown()
	})
}
