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

// The model plays losses up to the tolerated number, and the next one as soon as the tolerance allows it again. The
// register, a group, the rebuild and the set of replicas are the real ones, on a network and a clock in memory.
const (
	scheduleGroup        = "jobs/model"
	scheduleTime         = 9 * time.Second
	maxScheduledFaultGap = 1200 * time.Millisecond // upper bound of the time between two faults
	scheduleClients      = 1
	recoveryTimeout      = catchUpTime // in which a write succeeds as long as no more is lost than is tolerated
	observationInterval  = 150 * time.Millisecond
)

// reliableNetwork are those of a network without trouble, and lossyNetwork those of one on which nothing is sure to come in time.
var (
	reliableNetwork = networktest.Faults{Duplicate: 0.05, Delay: 10 * time.Millisecond}
	lossyNetwork    = networktest.Faults{Lose: 0.03, Duplicate: 0.1, Delay: 20 * time.Millisecond, Late: 0.04, LateBy: 2 * time.Second}
)

// model is one schedule.
type faultSchedule struct {
	*cluster
	seed      uint64
	random    *rand.Rand // belongs to the goroutine that brings the faults
	tolerated int
	lossy     bool
	faults    sync.WaitGroup

	state                 sync.Mutex           // guards what follows
	machines              int                  // started so far
	failedUntil           map[string]time.Time // by address: when the machine counts as lost no more
	replacing             bool                 // a replacement is under way
	events                []string             // the faults so far, for the report
	violations            []string
	acknowledged          map[string]bool // tokens of the register whose write was confirmed
	groupAcknowledged     map[string]bool // the same of the group
	groupLastAcknowledged time.Time       // of the group's newest confirmation
	slowest               time.Duration   // between two of them
	views                 map[uint64][]string
	newest                replicaset.View
	start                 time.Time
	logged                *observer.ObservedLogs
}

// runSchedule plays the schedule of a seed, and returns what was wrong.
func runSchedule(t *testing.T, seed uint64, size int, broken ruleMutant) (m *faultSchedule) {
	disks := foundedDisks(t, size)
	virtualtime.Test(t, func(t *testing.T) {
		m = &faultSchedule{
			seed: seed, random: rand.New(rand.NewPCG(seed, 7)), tolerated: (size - 1) / 2, lossy: isLossy(seed), machines: size,
			failedUntil: make(map[string]time.Time), acknowledged: make(map[string]bool), groupAcknowledged: make(map[string]bool),
			views: make(map[uint64][]string), start: time.Now(), groupLastAcknowledged: time.Now(),
		}
		m.cluster = &cluster{t: t, network: networktest.New(seed), seeds: addresses(size), mutant: broken, running: make(map[string]*coreNode)}
		m.logged = m.observe()
		m.leads = func(p *coreNode) replication.Handler { return &proposingLeader{m, p} }
		m.network.SetFaults(reliableNetwork)
		for address, disk := range disks {
			m.startOn(address, disk)
		}
		m.checkViews()
		<-time.After(time.Second)
		if m.lossy {
			m.network.SetFaults(lossyNetwork)
		}
		m.run()
		m.end()
	})
	return m
}

func (m *faultSchedule) startOn(address string, disk storage.Tables) {
	memory := storage.NewMemory()
	for table, entries := range disk {
		for key, value := range entries {
			memory.Write(storage.Change{Table: table, Key: key, Value: value})
		}
	}
	m.cluster.start(address, "zone of "+address, memory, false)
}

// run brings faults while clients write, then lets everything heal and judges the end.
func (m *faultSchedule) run() {
	ctx, cancel := context.WithTimeout(context.Background(), scheduleTime)
	defer cancel()
	var running sync.WaitGroup
	for client := range scheduleClients {
		running.Go(func() { m.runClient(ctx, client, rand.New(rand.NewPCG(m.seed, uint64(client)+11))) })
	}
	running.Go(func() { m.watchViews(ctx) })
	for ctx.Err() == nil {
		<-time.After(time.Duration(m.random.Int64N(int64(maxScheduledFaultGap))))
		m.injectFault()
	}
	m.faults.Wait()
	running.Wait()
	m.network.SetFaults(reliableNetwork)
	<-time.After(catchUpTime)
	m.checkViews()
	m.checkEnd()
	for _, p := range m.sorted() {
		m.logEvent("%s: view %d %v, ready %v, leaders %v", p.address, p.manager.View().Version, p.manager.View().Members,
			p.rebuilder.Ready(), p.node.Leaders())
	}
}

// observe keeps what the parts that lead log, for the report.
func (m *faultSchedule) observe() *observer.ObservedLogs {
	kept, logs := observer.New(zap.InfoLevel)
	m.log = zap.New(kept)
	return logs
}

// runClient writes tokens, and reads now and then.
func (m *faultSchedule) runClient(ctx context.Context, client int, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		if p := m.pickHealthy(random); p != nil {
			m.runOperation(p, client, i, random.IntN(4) == 0)
		}
		<-time.After(time.Duration(random.Int64N(int64(maxOperationGap))))
	}
}

// pickHealthy returns a member that counts as well; nil where there is none.
func (m *faultSchedule) pickHealthy(random *rand.Rand) *coreNode {
	m.state.Lock()
	defer m.state.Unlock()
	now := time.Now()
	var healthy []string
	for _, address := range m.newest.Members {
		if m.failedUntil[address].Before(now) && m.at(address) != nil {
			healthy = append(healthy, address)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return m.at(healthy[random.IntN(len(healthy))])
}

// runOperation lets one write or read run at a process, and judges its answer.
func (m *faultSchedule) runOperation(p *coreNode, client, number int, read bool) {
	ctx, cancel := context.WithTimeout(p.ctx, recoveryTimeout)
	defer cancel()
	before := m.acknowledgedTokens()
	var do operation
	if !read {
		do.token = fmt.Sprintf("%d-%d.", client, number)
	}
	value, err := do.perform(ctx, p.register)
	switch {
	case err == nil:
		m.checkReply(do.token, string(value), before)
	case m.mustSucceed(p):
		m.violation("no answer from %s within %v: %v", p.address, recoveryTimeout, err)
	}
}

// mustSucceed tells whether a member was well all the time, so that its operation had to succeed.
func (m *faultSchedule) mustSucceed(p *coreNode) bool {
	m.state.Lock()
	defer m.state.Unlock()
	_, hasFailed := m.failedUntil[p.address]
	return !m.lossy && !hasFailed && m.newest.Has(p.address) && p.ctx.Err() == nil && !p.manager.Departing()
}

// heard takes a confirmed answer: it has all that was confirmed before the question.
func (m *faultSchedule) checkReply(token, value string, before []string) {
	for _, earlier := range before {
		if !containsToken(value, earlier) {
			m.violation("%q was confirmed, and is not in a later answer", earlier)
			return
		}
	}
	m.state.Lock()
	defer m.state.Unlock()
	if token != "" {
		m.acknowledged[token] = true
	}
}

func containsToken(value, token string) bool { return strings.Contains("."+value, "."+token) }

func (m *faultSchedule) acknowledgedTokens() []string {
	m.state.Lock()
	defer m.state.Unlock()
	all := make([]string, 0, len(m.acknowledged))
	for token := range m.acknowledged {
		all = append(all, token)
	}
	return all
}

// checkEnd wants a write, a read and a commit of the group after all has healed, with all that was ever confirmed.
func (m *faultSchedule) checkEnd() {
	random := rand.New(rand.NewPCG(m.seed, 5))
	for i := range 2 {
		p := m.pickHealthy(random)
		if p == nil {
			m.violation("nobody is left at the end")
			return
		}
		m.runOperation(p, scheduleClients, i, i == 1)
	}
	m.state.Lock()
	moved := time.Since(m.groupLastAcknowledged)
	m.state.Unlock()
	if moved > time.Second {
		m.violation("the group has confirmed nothing for %v at the end", moved)
	}
	if !slices.Contains(m.acknowledgedTokens(), fmt.Sprintf("%d-0.", scheduleClients)) {
		m.violation("no write succeeds at the end")
	}
}

func (m *faultSchedule) violation(format string, values ...any) {
	m.state.Lock()
	defer m.state.Unlock()
	m.violations = append(m.violations, fmt.Sprintf("after %v: ", time.Since(m.start))+fmt.Sprintf(format, values...))
}

// watchViews looks at the views of all processes again and again.
func (m *faultSchedule) watchViews(ctx context.Context) {
	for ctx.Err() == nil {
		m.checkViews()
		<-time.After(observationInterval)
	}
}

// look notes the views, and wants one of each version and only one that a quorum of its members votes in.
func (m *faultSchedule) checkViews() {
	voters := make(map[uint64]int)
	byVersion := make(map[uint64]replicaset.View)
	for _, p := range m.all() {
		view := p.manager.View()
		byVersion[view.Version] = view
		if view.Has(p.address) && p.rebuilder.Ready() {
			voters[view.Version]++
		}
	}
	m.state.Lock()
	defer m.state.Unlock()
	inForce := 0
	for version, view := range byVersion {
		if known, found := m.views[version]; found && !slices.Equal(known, view.Members) {
			m.violations = append(m.violations, fmt.Sprintf("two views %d", version))
		}
		m.views[version] = view.Members
		if version > m.newest.Version {
			m.newest = view
		}
		if voters[version] >= view.Quorum() {
			inForce++
		}
	}
	if inForce > 1 {
		m.violations = append(m.violations, fmt.Sprintf("after %v: two views in force", time.Since(m.start)))
	}
}
