package replicaset_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	restartDelay   = 200 * time.Millisecond  // delay until a process that stopped because it was replaced is restarted
	firstViewDelay = 2500 * time.Millisecond // time in which the founders commit the first view
	// membershipWaitTimeout limits the wait until a process is a member that may vote.
	membershipWaitTimeout = time.Minute
)

// cluster is a set of coordinators on an in-memory network. Each has all components that participate in a reconfiguration, and
// a replica of a shared register. It must run in simulated time.
type cluster struct {
	t            *testing.T
	network      *networktest.Network
	seeds        []string
	mutation     ruleMutation
	tasks        sync.WaitGroup
	log          *zap.Logger                                            // logger of the replication nodes; nil disables logging
	groupHandler func(coordinator *testCoordinator) replication.Handler // handler of a replication group on the members' disks; nil for no group

	mutex    sync.Mutex // guards the fields below
	running  map[string]*testCoordinator
	stopping bool
}

// testCoordinator is one incarnation of a coordinator.
type testCoordinator struct {
	address   string
	zone      string
	start     time.Time
	disk      *storage.Memory
	store     *killableStore
	caller    transport.Caller
	manager   *replicaset.Manager
	rebuilder *rebuild.Rebuilder
	register  *register.Register
	node      *replication.Node
	ctx       context.Context
	kill      context.CancelFunc
	failed    atomic.Bool // a component ended with an error
}

// componentFailed reports whether a component ended with an error. In production this ends the coordinator's process.
func (p *testCoordinator) componentFailed() bool { return p.failed.Load() }

// runComponent runs a component of the process and records its failure.
func (p *testCoordinator) runComponent(run func(ctx context.Context) error) {
	if err := run(p.ctx); err != nil && p.ctx.Err() == nil {
		p.failed.Store(true)
	}
}

// newCluster returns a cluster without processes. The seed determines the random choices of its network.
func newCluster(t *testing.T, seed uint64, seeds []string, mutation ruleMutation) *cluster {
	return &cluster{t: t, network: networktest.New(seed), seeds: seeds, mutation: mutation, running: make(map[string]*testCoordinator)}
}

// startAndCommitFirstView starts the seeds for the first time, on a network with the given faults, and waits until they have
// committed the first view.
func (c *cluster) startAndCommitFirstView(faults networktest.Faults) {
	c.network.SetFaults(faults)
	for _, address := range c.seeds {
		c.start(address, "zone of "+address, storage.NewMemory(), true)
	}
	<-time.After(firstViewDelay)
}

// runInCluster runs a test in simulated time, after the given members have committed the first view.
func runInCluster(t *testing.T, seed uint64, mutation ruleMutation, members []string, test func(c *cluster)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, members, mutation)
		c.startAndCommitFirstView(networktest.Faults{MaxDelay: 5 * time.Millisecond})
		test(c)
		c.shutDown()
	})
}

// start starts a process unless one is running at the address or the cluster is stopping.
func (c *cluster) start(address, zone string, disk *storage.Memory, firstStart bool) *testCoordinator {
	c.t.Helper()
	coordinator := &testCoordinator{address: address, zone: zone, start: time.Now(), disk: disk, store: &killableStore{Memory: disk}}
	coordinator.caller = killableCaller{c.network.Caller(address), coordinator.store}
	coordinator.ctx, coordinator.kill = context.WithCancel(context.Background())
	mux := transport.NewMux()
	c.assembleViews(coordinator, mux, firstStart)
	c.assembleRebuilder(coordinator, mux, firstStart)
	c.assembleRegister(coordinator, mux)
	c.assembleNode(coordinator, mux)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping || c.running[address] != nil {
		coordinator.kill()
		return coordinator
	}
	c.running[address] = coordinator
	c.network.Serve(address, mux)
	c.tasks.Go(func() { coordinator.runComponent(coordinator.manager.Run) })
	c.tasks.Go(func() { coordinator.runComponent(coordinator.rebuilder.Run) })
	c.tasks.Go(func() { coordinator.node.Run(coordinator.ctx) })
	c.tasks.Go(func() { c.restartWhenReplaced(coordinator) })
	return coordinator
}

// restartWhenReplaced restarts a process on its disk if it stops because it was replaced. It does not restart a departing
// process, which stops by itself.
func (c *cluster) restartWhenReplaced(coordinator *testCoordinator) {
	err := coordinator.rebuilder.Watch(coordinator.ctx)
	if !errors.Is(err, rebuild.ErrReplaced) || coordinator.manager.Departing() || !c.stop(coordinator) {
		return
	}
	<-time.After(restartDelay)
	c.start(coordinator.address, coordinator.zone, coordinator.disk, false)
}

// stop kills a process. It returns false if the process had been killed before.
func (c *cluster) stop(coordinator *testCoordinator) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running[coordinator.address] != coordinator {
		return false
	}
	delete(c.running, coordinator.address)
	c.network.Serve(coordinator.address, nil)
	coordinator.store.kill()
	coordinator.kill()
	return true
}

// handoverTimeout is the part of a grace period of six seconds that a coordinator uses for the handover.
const handoverTimeout = 3 * time.Second

// stopGracefully stops a process like a coordinator: it first hands over to a joining member, if there is one. It reports
// whether a quorum was known to stay, or the process was killed meanwhile.
func (c *cluster) stopGracefully(coordinator *testCoordinator) (keepsQuorum bool) {
	handoverCtx, cancel := context.WithTimeout(coordinator.ctx, handoverTimeout)
	defer cancel()
	if c.mutation.stopsWithoutHandover {
		handoverCtx, cancel = context.WithTimeout(coordinator.ctx, time.Millisecond)
		defer cancel()
	}
	departure := coordinator.rebuilder.HandOver(handoverCtx, coordinator.manager.Leave)
	keepsQuorum = departure.KeepsQuorum() || coordinator.ctx.Err() != nil
	c.stop(coordinator)
	return keepsQuorum
}

// leaveUntilReplaced sends leave requests until a joining member has replaced the process.
func (p *testCoordinator) leaveUntilReplaced() {
	for p.manager.View().Has(p.address) && p.ctx.Err() == nil {
		p.manager.Leave(p.ctx)
		<-time.After(100 * time.Millisecond)
	}
}

// coordinatorAt returns the process that runs at an address, or nil if there is none.
func (c *cluster) coordinatorAt(address string) *testCoordinator {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running[address]
}

// runningCoordinators returns the running processes in no particular order.
func (c *cluster) runningCoordinators() []*testCoordinator {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []*testCoordinator
	for _, p := range c.running {
		all = append(all, p)
	}
	return all
}

// runningByAddress returns the running processes, sorted by address.
func (c *cluster) runningByAddress() []*testCoordinator {
	all := c.runningCoordinators()
	slices.SortFunc(all, func(a, b *testCoordinator) int { return strings.Compare(a.address, b.address) })
	return all
}

func (c *cluster) shutDown() {
	c.mutex.Lock()
	c.stopping = true
	c.mutex.Unlock()
	for _, p := range c.runningCoordinators() {
		c.stop(p)
	}
	c.tasks.Wait()
	<-time.After(messageDrainTime)
}

// awaitMembership waits until a process is a member that may vote. It returns the time since the process started, or
// membershipWaitTimeout if the process does not become a member within it.
func (p *testCoordinator) awaitMembership() time.Duration {
	for deadline := time.After(membershipWaitTimeout); ; {
		changed := p.manager.Changed()
		if p.manager.View().Has(p.address) {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			return membershipWaitTimeout
		}
	}
	select {
	case <-p.rebuilder.Complete():
	case <-time.After(membershipWaitTimeout):
	}
	return time.Since(p.start)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
