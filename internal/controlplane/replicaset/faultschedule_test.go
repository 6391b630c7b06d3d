package replicaset_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// A fault schedule lets up to the tolerated number of machines fail at the same time, and injects further faults as soon as this
// limit allows them. It uses the real register, replication group, rebuild and replica set, on an in-memory network and in
// simulated time.
const (
	scheduleGroup        = "jobs/model"
	scheduleDuration     = 9 * time.Second
	maxScheduledFaultGap = 1200 * time.Millisecond // upper bound of the time between two faults
	scheduleClients      = 1
	recoveryTimeout      = catchUpTime // time in which a write succeeds while at most the tolerated number of machines has failed
	observationInterval  = 150 * time.Millisecond
)

// reliableNetwork delivers all messages, some of them twice. lossyNetwork may lose or delay any message.
var (
	reliableNetwork = networktest.Faults{DuplicateProbability: 0.05, MaxDelay: 10 * time.Millisecond}
	lossyNetwork    = networktest.Faults{
		LossProbability: 0.03, DuplicateProbability: 0.1, MaxDelay: 20 * time.Millisecond, LateProbability: 0.04, MaxLateDelay: 2 * time.Second,
	}
)

// faultSchedule is one schedule of faults, which is determined by its seed. It also records what clients and leaders observed
// during the schedule.
type faultSchedule struct {
	*cluster
	seed         uint64
	random       *rand.Rand // used only by the goroutine that injects the faults
	size         int
	tolerated    int
	lossy        bool
	activeFaults sync.WaitGroup

	scheduleMutex         sync.Mutex           // guards the fields below
	machineCount          int                  // number of machines started so far
	failedUntil           map[string]time.Time // by address, until when the machine counts as failed
	replacing             bool                 // whether a replacement is in progress
	events                []string             // faults so far, for the report
	violations            []string
	acknowledged          map[string]bool // tokens whose write to the register was acknowledged
	groupAcknowledged     map[string]bool // keys of acknowledged entries of the group
	groupLastAcknowledged time.Time       // when the group's latest entry was acknowledged
	maxAcknowledgementGap time.Duration   // longest time between two acknowledgements of the group
	seenViews             viewHistory
	start                 time.Time
	logged                *observer.ObservedLogs
}

// runSchedule runs the random fault schedule of a seed, and returns it with its violations.
func runSchedule(t *testing.T, seed uint64, size int, mutation ruleMutation) (s *faultSchedule) {
	t.Helper()
	return runFaults(t, seed, size, mutation, isLossy(seed), (*faultSchedule).injectRandomFaults)
}

// runFaults runs a schedule with the faults that inject produces, until inject returns.
func runFaults(t *testing.T, seed uint64, size int, mutation ruleMutation, lossy bool, inject func(s *faultSchedule, ctx context.Context)) (s *faultSchedule) {
	t.Helper()
	disks := foundedDisks(t, size)
	virtualtime.Test(t, func(t *testing.T) {
		s = &faultSchedule{
			seed: seed, size: size, random: rand.New(rand.NewPCG(seed, 7)), tolerated: (size - 1) / 2, lossy: lossy, machineCount: size,
			failedUntil: make(map[string]time.Time), acknowledged: make(map[string]bool), groupAcknowledged: make(map[string]bool),
			start: time.Now(), groupLastAcknowledged: time.Now(),
		}
		s.cluster = newCluster(t, seed, addresses(size), mutation)
		s.logged = s.recordLogs()
		s.groupHandler = func(coordinator *testCoordinator) replication.Handler { return &proposingLeader{s, coordinator} }
		s.network.SetFaults(reliableNetwork)
		for address, disk := range disks {
			s.startOn(address, disk)
		}
		s.checkViews()
		<-time.After(time.Second)
		if s.lossy {
			s.network.SetFaults(lossyNetwork)
		}
		s.runWithFaults(inject)
		s.shutDown()
	})
	return s
}

// startOn starts a member on a copy of a disk.
func (s *faultSchedule) startOn(address string, disk storage.Tables) {
	memory := storage.NewMemory()
	for table, entries := range disk {
		for key, value := range entries {
			memory.Write(storage.Change{Table: table, Key: key, Value: value})
		}
	}
	s.cluster.start(address, "zone of "+address, memory, false)
}

// injectRandomFaults injects faults until the context ends.
func (s *faultSchedule) injectRandomFaults(ctx context.Context) {
	for ctx.Err() == nil {
		<-time.After(time.Duration(s.random.Int64N(int64(maxScheduledFaultGap))))
		s.injectFault()
	}
}

// runWithFaults injects faults while clients write. Then it ends all faults and checks the final state.
func (s *faultSchedule) runWithFaults(inject func(s *faultSchedule, ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), scheduleDuration)
	defer cancel()
	var running sync.WaitGroup
	for client := range scheduleClients {
		running.Go(func() { s.runClient(ctx.Done(), client, rand.New(rand.NewPCG(s.seed, uint64(client)+11))) })
	}
	running.Go(func() { s.watchViews(ctx) })
	inject(s, ctx)
	s.activeFaults.Wait()
	running.Wait()
	s.network.SetFaults(reliableNetwork)
	<-time.After(catchUpTime)
	s.checkViews()
	s.checkFinalState()
	for _, p := range s.runningByAddress() {
		s.logEvent("%s: view %d %v, ready %v, leaders %v", p.address, p.manager.View().Version, p.manager.View().Members,
			p.rebuilder.Ready(), p.node.Leaders())
	}
}

// recordLogs records the replication nodes' logs for the report.
func (s *faultSchedule) recordLogs() *observer.ObservedLogs {
	recorder, logs := observer.New(zap.InfoLevel)
	s.log = zap.New(recorder)
	return logs
}

// runClient appends tokens to the register, and reads it in a quarter of the operations, until done is closed.
func (s *faultSchedule) runClient(done <-chan struct{}, client int, random *rand.Rand) {
	for i := 0; !isClosed(done); i++ {
		if p := s.pickOperationTarget(random); p != nil {
			s.runOperation(p, client, i, random.IntN(4) == 0)
		}
		<-time.After(time.Duration(random.Int64N(int64(maxOperationGap))))
	}
}

// pickOperationTarget returns a random running member that does not count as failed, or nil if there is none.
func (s *faultSchedule) pickOperationTarget(random *rand.Rand) *testCoordinator {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	now := time.Now()
	var healthy []string
	for _, address := range s.seenViews.newest.Members {
		if s.failedUntil[address].Before(now) && s.coordinatorAt(address) != nil {
			healthy = append(healthy, address)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return s.coordinatorAt(healthy[random.IntN(len(healthy))])
}

// runOperation runs one write or read at a process, and checks the reply.
func (s *faultSchedule) runOperation(coordinator *testCoordinator, client, number int, read bool) {
	ctx, cancel := context.WithTimeout(coordinator.ctx, recoveryTimeout)
	defer cancel()
	before := s.acknowledgedTokens()
	var op operation
	if !read {
		op.token = fmt.Sprintf("%d-%d.", client, number)
	}
	value, err := op.perform(ctx, coordinator.register)
	switch {
	case err == nil:
		s.checkReply(op.token, string(value), before)
	case s.mustSucceed(coordinator):
		s.addViolation("no reply from %s within %v: %v", coordinator.address, recoveryTimeout, err)
	}
}

// mustSucceed reports whether an operation at a process had to succeed: the network is reliable, and the process is a member that
// has never failed and is not departing.
func (s *faultSchedule) mustSucceed(coordinator *testCoordinator) bool {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	_, hasFailed := s.failedUntil[coordinator.address]
	return !s.lossy && !hasFailed && s.seenViews.newest.Has(coordinator.address) && coordinator.ctx.Err() == nil && !coordinator.manager.Departing()
}

// checkReply records a violation if a reply lacks a token that was acknowledged before the request. Otherwise it records the
// written token as acknowledged.
func (s *faultSchedule) checkReply(token, value string, before []string) {
	for _, earlier := range before {
		if !containsToken(value, earlier) {
			s.addViolation("%q was acknowledged, and is not in a later reply", earlier)
			return
		}
	}
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	if token != "" {
		s.acknowledged[token] = true
	}
}

func containsToken(value, token string) bool { return strings.Contains("."+value, "."+token) }

// acknowledgedTokens returns the tokens whose write to the register has been acknowledged so far.
func (s *faultSchedule) acknowledgedTokens() []string {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	all := make([]string, 0, len(s.acknowledged))
	for token := range s.acknowledged {
		all = append(all, token)
	}
	return all
}

// checkFinalState checks, after the end of all faults, that a write, a read and a commit of the group succeed, and that the
// replies contain every acknowledged token.
func (s *faultSchedule) checkFinalState() {
	random := rand.New(rand.NewPCG(s.seed, 5))
	for i := range 2 {
		coordinator := s.pickOperationTarget(random)
		if coordinator == nil {
			s.addViolation("no healthy member at the end")
			return
		}
		s.runOperation(coordinator, scheduleClients, i, i == 1)
	}
	s.scheduleMutex.Lock()
	idle := time.Since(s.groupLastAcknowledged)
	s.scheduleMutex.Unlock()
	if idle > time.Second {
		s.addViolation("the group has acknowledged nothing for %v at the end", idle)
	}
	if !slices.Contains(s.acknowledgedTokens(), fmt.Sprintf("%d-0.", scheduleClients)) {
		s.addViolation("no write succeeds at the end")
	}
}

// addViolation records that a guarantee was violated.
func (s *faultSchedule) addViolation(format string, values ...any) {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("after %v: ", time.Since(s.start))+fmt.Sprintf(format, values...))
}

// watchViews checks the views of all processes at intervals.
func (s *faultSchedule) watchViews(ctx context.Context) {
	for ctx.Err() == nil {
		s.checkViews()
		<-time.After(observationInterval)
	}
}

// checkViews records the views of all processes. It checks that there is only one view of each version, and at most one view in
// which a quorum may vote.
func (s *faultSchedule) checkViews() {
	voters := make(map[uint64]int)
	var views []replicaset.View
	for _, p := range s.runningCoordinators() {
		view := p.manager.View()
		views = append(views, view)
		if view.Has(p.address) && p.rebuilder.Ready() {
			voters[view.Version]++
		}
	}
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	active := make(map[uint64]bool)
	for _, view := range views {
		if !s.seenViews.record(view) {
			s.violations = append(s.violations, fmt.Sprintf("two views %d", view.Version))
		}
		if voters[view.Version] >= view.Quorum() {
			active[view.Version] = true
		}
	}
	if len(active) > 1 {
		s.violations = append(s.violations, fmt.Sprintf("after %v: two active views", time.Since(s.start)))
	}
}

// foundedDisksBySize holds disks of members that have committed the first view, by number of members and address.
var (
	foundedDisksBySize = make(map[int]map[string]storage.Tables)
	foundedDisksMutex  sync.Mutex
)

// foundedDisks returns, by address, the disks of members that have committed the first view. It creates them once for each
// number of members.
func foundedDisks(t *testing.T, size int) map[string]storage.Tables {
	t.Helper()
	foundedDisksMutex.Lock()
	defer foundedDisksMutex.Unlock()
	if disks, found := foundedDisksBySize[size]; found {
		return disks
	}
	disks := make(map[string]storage.Tables)
	foundedDisksBySize[size] = disks
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, addresses(size), ruleMutation{})
		c.startAndCommitFirstView(reliableNetwork)
		for _, p := range c.runningCoordinators() {
			disks[p.address] = p.disk.Snapshot()
		}
		c.shutDown()
	})
	return disks
}
