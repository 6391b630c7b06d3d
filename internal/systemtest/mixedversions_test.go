package systemtest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/nodesettings"
)

// otherBuildVariable names a puffinlink program of another build.
const otherBuildVariable = "PUFFINLINK_OTHER_BUILD"

// useOtherBuild lets processes of a machine be started from the other build, if there is one. That listens where its settings
// say, without relays. Its agent and its proxy meet at the loopback address of the standard port, which is the same for all
// machines: a system can have one such front machine.
func (m *machine) useOtherBuild(roles ...role) {
	program := os.Getenv(otherBuildVariable)
	if program == "" {
		return
	}
	for _, p := range m.processes {
		if slices.Contains(roles, p.spec.Role) {
			p.otherBuild, p.listenSettings, p.dialAddress = program, m.listenSettings(p.spec.Role), m.relays[p][0].address
		}
		switch p.spec.Role {
		case agentRole:
			p.spec.Secondary = m.loopback()
		case proxyRole:
			p.spec.Agent = m.loopback()
		}
	}
}

// useThisBuild lets the next start of all processes of a machine be of this build.
func (m *machine) useThisBuild() {
	for _, p := range m.processes {
		p.otherBuild = ""
	}
}

// loopback is where the agent and the proxy of a machine meet by the standard.
func (m *machine) loopback() string { return fmt.Sprintf("127.0.0.1:%d", m.system.port+localOffset) }

// listenSettings are the settings of the addresses at which a process listens.
func (m *machine) listenSettings(of role) string {
	switch of {
	case coordinatorRole:
		return "listenAddresses.control=" + m.address(controlOffset) + "\n"
	case proxyRole:
		return "listenAddresses.front=" + m.address(frontOffset) + "\nlistenAddresses.readiness=" + m.address(readinessOffset) + "\n"
	}
	return ""
}

// newOtherCommand is the command that starts the process from the other build.
func (p *process) newOtherCommand() (*exec.Cmd, error) {
	path := strings.TrimSuffix(p.log.Name(), ".log") + ".conf"
	if err := os.WriteFile(path, []byte(p.spec.Settings+p.listenSettings), 0o600); err != nil {
		return nil, err
	}
	command := exec.Command(p.otherBuild, string(p.spec.Role), "--log-level", "debug")
	command.Env = append(os.Environ(), nodesettings.PathVariable+"="+path, "GOMAXPROCS=2")
	return command, nil
}

// awaitListening closes ready once a process of the other build takes connections.
func (p *process) awaitListening(ready, ended chan struct{}) {
	for {
		connection, err := net.Dial("tcp", p.dialAddress)
		if err == nil {
			connection.Close()
			close(ready)
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(pollInterval):
		}
	}
}

// withBuilds checks that each process runs its build, and injects a fault then.
func withBuilds(fault faultFunc) faultFunc {
	return inSequence(func(_ context.Context, s *system) error { return s.checkBuilds() }, fault)
}

// mixedScenarios play a scenario with the processes of both builds side by side: by machines, and within machines.
var mixedScenarios = []scenario{
	{name: "mixed-machines", seed: 31, faults: withBuilds(killLeader(false)), prepare: func(s *system) {
		s.core[1].useOtherBuild(coordinatorRole)
		s.fronts[0].useOtherBuild(agentRole, proxyRole)
	}},
	{name: "mixed-agent", seed: 32, faults: withBuilds(killLeader(false)), prepare: func(s *system) {
		s.core[0].useOtherBuild(coordinatorRole)
		s.core[2].useOtherBuild(coordinatorRole)
		s.fronts[0].useOtherBuild(agentRole)
	}},
	{name: "mixed-proxy", seed: 33, faults: withBuilds(killFollower(true)), prepare: func(s *system) {
		s.core[0].useOtherBuild(coordinatorRole)
		s.fronts[1].useOtherBuild(proxyRole)
	}},
}

// logBuilds tells which builds take part.
func logBuilds(t *testing.T) {
	if program := os.Getenv(otherBuildVariable); program != "" {
		t.Logf("the other build is %s", program)
		return
	}
	t.Logf("%s is not set: this build takes the place of the other one", otherBuildVariable)
}

// TestMixedVersions plays scenarios with coordinators, agents and proxies of two builds in one system.
func TestMixedVersions(t *testing.T) {
	t.Parallel()
	logBuilds(t)
	runScenarios(t, mixedScenarios, len(mixedScenarios), "No rule is broken: ")
}

const upgradeTimeout = 3 * time.Minute

var oneFront = size{fronts: 1, workers: usualSize.workers}

// upgrade is a system that runs on the other build first and on this one afterwards, with the same disks.
type upgrade struct {
	*system
	random       *rand.Rand
	jobs         []jobPlan
	statesBefore map[string]string // states of the jobs when the other build was asked to shut down, by identifier
}

// TestUpgradeKeepsState starts a whole system on the other build, submits jobs, stops all of it, starts this build
// on the same disks, and compares what is known.
func TestUpgradeKeepsState(t *testing.T) {
	t.Parallel()
	logBuilds(t)
	ctx, s := startSystem(t, "upgraded", oneFront, upgradeTimeout)
	u := &upgrade{system: s, random: rand.New(rand.NewPCG(41, 1)), statesBefore: map[string]string{}}
	failure := u.run(ctx)
	s.stop()
	t.Logf("states before: %v", u.statesBefore)
	Convey("Jobs, configuration and drained workers survive the upgrade", t, func() {
		So(failure, ShouldBeNil)
		So(s.failures, ShouldBeEmpty)
		So(s.processProblems(), ShouldBeEmpty)
		So(u.statesBefore, ShouldNotBeEmpty)
	})
}

func (u *upgrade) run(ctx context.Context) error {
	for _, m := range u.machines() {
		m.useOtherBuild(coordinatorRole, agentRole, proxyRole)
	}
	if err := u.bringUp(ctx); err != nil {
		return err
	}
	if !u.configured.set(ctx, 0, renderRoute, mailRoute, routePlan{"/second/", guardedService}) {
		return errors.New("the second configuration was not acknowledged")
	}
	if err := u.submitJobs(ctx); err != nil {
		return err
	}
	if err := u.awaitOperations(ctx, http.MethodPost, workersPath+"/"+u.drainedWorker()+"/drain", func(string) bool { return true }); err != nil {
		return err
	}
	if err := u.checkBuilds(); err != nil {
		return err
	}
	if err := u.recordStates(ctx); err != nil {
		return err
	}
	u.stopAll()
	if err := u.checkDisks(); err != nil {
		return err
	}
	for _, m := range u.machines() {
		m.useThisBuild()
	}
	if err := u.restartAll(); err != nil {
		return err
	}
	if err := u.checkBuilds(); err != nil {
		return err
	}
	return u.check(ctx)
}

// submitJobs submits two jobs of each kind, cancels the ones that are to be, and lets most of the rest end.
func (u *upgrade) submitJobs(ctx context.Context) error {
	for kind := range jobKinds {
		for _, route := range []routePlan{renderRoute, mailRoute} {
			plan := newJobPlan(u.random, kind, route)
			if kind == scheduledJob { // some repetitions are due after the change only
				plan.body.Repetitions, plan.body.IntervalMS = 4, 6000
			}
			u.jobs = append(u.jobs, plan)
			if err := u.submit(ctx, u.random, plan); err != nil {
				return err
			}
			if kind == cancelledJob {
				u.cancel(ctx, u.random, plan.path())
			}
		}
	}
	return sleep(ctx, 2*time.Second)
}

// recordStates records all jobs' states.
func (u *upgrade) recordStates(ctx context.Context) error {
	for _, plan := range u.jobs {
		answer, err := u.retryUntil(ctx, u.random, http.MethodGet, plan.path(), nil, isSuccess)
		if err != nil {
			return fmt.Errorf("job %s is not known: %w", plan.id, err)
		}
		u.statesBefore[string(plan.id)] = stateOf(answer.Answer)
	}
	return nil
}

// drainedWorker names the worker that an operator drains: one that no job needs.
func (u *upgrade) drainedWorker() string { return u.workers[2].ID() }

// awaitOperations makes an operator's call until each core machine has given the expected answer.
func (u *upgrade) awaitOperations(ctx context.Context, method, path string, serves func(answer string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, commandRetryTimeout)
	defer cancel()
	for _, core := range u.core {
		for {
			status, answer := u.sendWith(ctx, http.Header{}, method, "http://"+core.address(controlOffset)+path, nil)
			if status == http.StatusOK && serves(string(answer)) {
				break
			}
			if err := sleep(ctx, retryInterval); err != nil {
				return fmt.Errorf("%s answers %s %s by %d %s: %w", core.name, method, path, status, answer, err)
			}
		}
	}
	return nil
}

// checkBuilds checks that the processes run the program that they should.
func (s *system) checkBuilds() error {
	for _, m := range s.machines() {
		for _, p := range m.processes {
			program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", p.pid()))
			if err != nil {
				return err
			}
			if want := cmp.Or(p.otherBuild, os.Args[0]); filepath.Base(program) != filepath.Base(want) {
				return fmt.Errorf("%s runs %s, not %s", p.name, program, want)
			}
		}
	}
	return nil
}

// stopAll stops all machines gracefully, the fronts first.
func (u *upgrade) stopAll() {
	for _, machines := range [][]*machine{u.fronts, u.core} {
		var all sync.WaitGroup
		for _, m := range machines {
			all.Go(m.shutDown)
		}
		all.Wait()
	}
}

// checkDisks checks that each core machine has a store.
func (u *upgrade) checkDisks() error {
	for _, m := range u.core {
		info, err := os.Stat(filepath.Join(m.dataDirectory, "store.log"))
		if err != nil {
			return err
		}
		if info.Size() == 0 {
			return fmt.Errorf("the disk of %s is empty", m.name)
		}
	}
	return nil
}

// restartAll starts all machines on the disks that they have.
func (u *upgrade) restartAll() error {
	return u.onAllMachines(func(m *machine) error { return m.restart(true) })
}

// check compares the state after the upgrade with that before, waits for the jobs' ends, and submits a further one.
func (u *upgrade) check(ctx context.Context) error {
	for _, core := range u.core {
		if err := u.awaitVersion(ctx, core); err != nil {
			return err
		}
	}
	if err := u.awaitRoute(ctx, u.fronts[0], routePlan{"/second/", guardedService}); err != nil {
		return err
	}
	if err := u.awaitOperations(ctx, http.MethodGet, workersPath, func(answer string) bool { return showsOperatorDraining(answer, u.drainedWorker()) }); err != nil {
		return err
	}
	for _, plan := range u.jobs {
		if err := u.checkJob(ctx, plan); err != nil {
			return err
		}
	}
	further := newJobPlan(u.random, plainJob, renderRoute)
	if err := u.submit(ctx, u.random, further); err != nil {
		return err
	}
	return u.awaitState(ctx, further, "completed")
}

// awaitVersion waits until a core machine answers with the complete configuration that was acknowledged last.
func (u *upgrade) awaitVersion(ctx context.Context, core *machine) error {
	want := encodeConfiguration(u.configured.newest, u.configured.routes)
	for {
		read := u.operatorRequest(ctx, core, http.MethodGet, 0, nil)
		if read.Status == http.StatusOK {
			if string(read.Answer) != string(want) {
				return fmt.Errorf("%s answers with the configuration %s, and %s was acknowledged", core.name, read.Answer, want)
			}
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("%s does not answer with the configuration: %w", core.name, err)
		}
	}
}

// checkJob checks that a job's state has not gone back, and that it reaches the final state that it should.
func (u *upgrade) checkJob(ctx context.Context, plan jobPlan) error {
	answer, err := u.retryUntil(ctx, u.random, http.MethodGet, plan.path(), nil, isDefinite)
	if err != nil || answer.Status != http.StatusOK {
		return fmt.Errorf("job %s was known, and the front answers %d %s (%w)", plan.id, answer.Status, answer.Answer, err)
	}
	before, after := u.statesBefore[string(plan.id)], stateOf(answer.Answer)
	rank := map[string]int{"queued": 0, "running": 1, "completed": 2, "failed": 2, "cancelled": 2}
	if rank[after] < rank[before] || rank[before] == 2 && after != before {
		return fmt.Errorf("job %s was %s before and is %s now", plan.id, before, after)
	}
	switch plan.kind {
	case longRunningJob:
		if after != "running" {
			return fmt.Errorf("lasting job %s was %s before and is %s now", plan.id, before, after)
		}
		u.cancel(ctx, u.random, plan.path())
		return u.awaitState(ctx, plan, "cancelled")
	case failingJob:
		return u.awaitState(ctx, plan, "failed")
	case cancelledJob:
		return u.awaitState(ctx, plan, "cancelled")
	}
	return u.awaitState(ctx, plan, "completed")
}

// awaitState waits until a job is in the expected state.
func (u *upgrade) awaitState(ctx context.Context, plan jobPlan, want string) error {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	state := ""
	for state != want {
		answer := u.clientRequest(ctx, u.fronts[0], http.MethodGet, plan.path(), nil)
		if answer.Status == http.StatusOK {
			state = stateOf(answer.Answer)
		}
		if isFinalState(answer.Answer) && state != want {
			return fmt.Errorf("job %s has ended as %s, expected %s", plan.id, state, want)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("job %s is %s, expected %s: %w", plan.id, state, want, err)
		}
	}
	return nil
}
