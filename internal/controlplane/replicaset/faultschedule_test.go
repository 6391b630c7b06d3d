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

// A fault schedule has faults of up to the tolerated number of machines, and the next one as soon as the tolerance allows it.
// The register, a replication group, the rebuild and the replica set are the real ones, on a network and a clock in memory.
const (
	scheduleGroup        = "jobs/model"
	scheduleDuration     = 9 * time.Second
	maxScheduledFaultGap = 1200 * time.Millisecond // upper bound of the time between two faults
	scheduleClients      = 1
	recoveryTimeout      = catchUpTime // in which a write succeeds as long as no more machines have failed than is tolerated
	observationInterval  = 150 * time.Millisecond
)

// reliableNetwork delivers all messages, some of them twice; on lossyNetwork none is sure to arrive in time.
var (
	reliableNetwork = networktest.Faults{DuplicateProbability: 0.05, MaxDelay: 10 * time.Millisecond}
	lossyNetwork    = networktest.Faults{LossProbability: 0.03, DuplicateProbability: 0.1, MaxDelay: 20 * time.Millisecond, LateProbability: 0.04, MaxLateDelay: 2 * time.Second}
)

// faultSchedule is one schedule of faults, which a seed determines, and what clients and leaders observed during it.
type faultSchedule struct {
	*cluster
	seed         uint64
	random       *rand.Rand // belongs to the goroutine that injects the faults
	size         int
	tolerated    int
	lossy        bool
	activeFaults sync.WaitGroup

	mutex                 sync.Mutex           // guards what follows
	machineCount          int                  // started so far
	failedUntil           map[string]time.Time // by address: until when the machine counts as failed
	replacing             bool                 // a replacement is in progress
	events                []string             // the faults so far, for the report
	violations            []string
	acknowledged          map[string]bool // tokens of the register whose write was acknowledged
	groupAcknowledged     map[string]bool // the same of the group
	groupLastAcknowledged time.Time       // of the group's newest acknowledgement
	maxAcknowledgementGap time.Duration   // between two of them
	seenViews             viewHistory
	start                 time.Time
	logged                *observer.ObservedLogs
}

// runSchedule runs the schedule of a seed, and returns it with its violations.
func runSchedule(t *testing.T, seed uint64, size int, mutation ruleMutation) (s *faultSchedule) {
	t.Helper()
	return runFaults(t, seed, size, mutation, isLossy(seed), (*faultSchedule).injectRandomFaults)
}

// runFaults runs a schedule whose faults are injected by a function, until that returns.
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
		s.groupHandler = func(p *testCoordinator) replication.Handler { return &proposingLeader{s, p} }
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

// run injects faults while clients write, then ends all faults and checks the final state.
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

// observe records the replication nodes' logs, for the report.
func (s *faultSchedule) recordLogs() *observer.ObservedLogs {
	recorder, logs := observer.New(zap.InfoLevel)
	s.log = zap.New(recorder)
	return logs
}

// runClient appends tokens to the register, and reads it now and then, until done is closed.
func (s *faultSchedule) runClient(done <-chan struct{}, client int, random *rand.Rand) {
	for i := 0; !isClosed(done); i++ {
		if p := s.pickHealthy(random); p != nil {
			s.runOperation(p, client, i, random.IntN(4) == 0)
		}
		<-time.After(time.Duration(random.Int64N(int64(maxOperationGap))))
	}
}

// pickHealthy returns a running member that does not count as failed; nil where there is none.
func (s *faultSchedule) pickHealthy(random *rand.Rand) *testCoordinator {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
func (s *faultSchedule) runOperation(p *testCoordinator, client, number int, read bool) {
	ctx, cancel := context.WithTimeout(p.ctx, recoveryTimeout)
	defer cancel()
	before := s.acknowledgedTokens()
	var op operation
	if !read {
		op.token = fmt.Sprintf("%d-%d.", client, number)
	}
	value, err := op.perform(ctx, p.register)
	switch {
	case err == nil:
		s.checkReply(op.token, string(value), before)
	case s.mustSucceed(p):
		s.addViolation("no reply from %s within %v: %v", p.address, recoveryTimeout, err)
	}
}

// mustSucceed tells whether a member has never failed, so that its operation had to succeed.
func (s *faultSchedule) mustSucceed(p *testCoordinator) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, hasFailed := s.failedUntil[p.address]
	return !s.lossy && !hasFailed && s.seenViews.newest.Has(p.address) && p.ctx.Err() == nil && !p.manager.Departing()
}

// checkReply wants a reply to have all tokens that were acknowledged before the request.
func (s *faultSchedule) checkReply(token, value string, before []string) {
	for _, earlier := range before {
		if !containsToken(value, earlier) {
			s.addViolation("%q was acknowledged, and is not in a later reply", earlier)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if token != "" {
		s.acknowledged[token] = true
	}
}

func containsToken(value, token string) bool { return strings.Contains("."+value, "."+token) }

// acknowledgedTokens lists the tokens of the register whose write was acknowledged so far.
func (s *faultSchedule) acknowledgedTokens() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]string, 0, len(s.acknowledged))
	for token := range s.acknowledged {
		all = append(all, token)
	}
	return all
}

// checkEnd wants a write, a read and a commit of the group after the end of all faults, with all that was ever acknowledged.
func (s *faultSchedule) checkFinalState() {
	random := rand.New(rand.NewPCG(s.seed, 5))
	for i := range 2 {
		p := s.pickHealthy(random)
		if p == nil {
			s.addViolation("no healthy member at the end")
			return
		}
		s.runOperation(p, scheduleClients, i, i == 1)
	}
	s.mutex.Lock()
	idle := time.Since(s.groupLastAcknowledged)
	s.mutex.Unlock()
	if idle > time.Second {
		s.addViolation("the group has acknowledged nothing for %v at the end", idle)
	}
	if !slices.Contains(s.acknowledgedTokens(), fmt.Sprintf("%d-0.", scheduleClients)) {
		s.addViolation("no write succeeds at the end")
	}
}

// violation records that the promises do not hold.
func (s *faultSchedule) addViolation(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("after %v: ", time.Since(s.start))+fmt.Sprintf(format, values...))
}

// watchViews checks the views of all processes at intervals.
func (s *faultSchedule) watchViews(ctx context.Context) {
	for ctx.Err() == nil {
		s.checkViews()
		<-time.After(observationInterval)
	}
}

// checkViews records the views of all processes. It wants one view of each version, and at most one in whose members a quorum
// votes.
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
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

// disksOf are the disks of members that have founded the first view, by size and address.
var (
	foundedDisksBySize = make(map[int]map[string]storage.Tables)
	foundedDisksMutex  sync.Mutex
)

// foundedDisks returns the disks of members that have founded the first view, by address.
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
