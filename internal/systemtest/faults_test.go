package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
)

const (
	shortOutage       = 500 * time.Millisecond
	outageBeyondLease = 3 * time.Second // longer than the lease of a replication leader
	partitionLength   = 4 * time.Second

	pollInterval = 50 * time.Millisecond
)

// faultFunc injects faults while the load is running.
type faultFunc = func(ctx context.Context, s *system) error

// onLeader returns a faultFunc that applies an action to the machine that leads the guarded service's jobs.
func onLeader(action func(ctx context.Context, s *system, leader *machine)) faultFunc {
	return func(ctx context.Context, s *system) error {
		if err := s.awaitLeader(ctx, guardedService); err != nil {
			return err
		}
		action(ctx, s, s.leaderOf(guardedService))
		return nil
	}
}

// onFollower returns a faultFunc that applies an action to a core machine that leads no service.
func onFollower(action func(ctx context.Context, s *system, follower *machine)) faultFunc {
	return func(ctx context.Context, s *system) error {
		for _, m := range s.core {
			if m != s.leaderOf(guardedService) && m != s.leaderOf(unguardedService) {
				action(ctx, s, m)
				return nil
			}
		}
		return fmt.Errorf("no core machine is without leaderships")
	}
}

func killLeader(eraseDisk bool) faultFunc {
	return onLeader(func(ctx context.Context, s *system, m *machine) { s.crashMachine(ctx, m, shortOutage, eraseDisk) })
}

func killFollower(eraseDisk bool) faultFunc {
	return onFollower(func(ctx context.Context, s *system, m *machine) { s.crashMachine(ctx, m, shortOutage, eraseDisk) })
}

var pauseLeader = onLeader(func(ctx context.Context, s *system, m *machine) { s.pauseMachine(ctx, m, outageBeyondLease) })

func partitionLeader(bothWays bool) faultFunc {
	return onLeader(func(ctx context.Context, s *system, m *machine) { s.partitionFor(ctx, m, partitionLength, bothWays) })
}

func killAllCore(ctx context.Context, s *system) error {
	var all sync.WaitGroup
	for _, m := range s.core {
		all.Go(func() { s.crashMachine(ctx, m, shortOutage, false) })
	}
	all.Wait()
	return nil
}

func killFronts(ctx context.Context, s *system) error {
	s.crashProcess(ctx, s.fronts[0], proxyRole, shortOutage)
	s.crashProcess(ctx, s.fronts[1], agentRole, shortOutage)
	return nil
}

// crashGangMember crashes a worker that runs a member of a gang. It waits until the member has run long enough to have
// written a checkpoint.
func crashGangMember(ctx context.Context, s *system) error {
	for {
		for _, run := range s.cluster.Attempts() {
			kind := s.plans.kindOf(string(run.Task.Job))
			if kind == gangJob && run.EndedAt.IsZero() && time.Since(run.StartedAt) > 2*checkpointInterval {
				s.crashIncarnation(run.Worker)
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("no gang has worked for long: %w", err)
		}
	}
}

// workerFaults makes several workers fail at once: one that runs a gang member crashes, one executes start commands late,
// one does not answer, and one drains and leaves. A further worker crashes afterwards.
func workerFaults(ctx context.Context, s *system) error {
	if err := crashGangMember(ctx, s); err != nil {
		return err
	}
	const startDelay, faultLength = 2 * time.Second, 3 * time.Second
	s.beginCallFaults(s.workers[1], cluster.OnCallsOfKind(cluster.StartCall, cluster.Fault{Kind: cluster.DelayExecution, Delay: startDelay, LeaseFromExecution: true}))
	s.beginCallFaults(s.workers[2], cluster.OnEveryCall(cluster.Fault{Kind: cluster.DropCall}))
	s.drain(s.workers[3])
	if err := sleep(ctx, faultLength); err != nil {
		return err
	}
	s.endCallFaults(s.workers[1])
	s.endCallFaults(s.workers[2])
	s.workers[3].Leave()
	s.crash(s.workers[4])
	return nil
}

// drainWithoutLeaving marks one worker of each service as draining but keeps it running past the drain time. Then it runs
// the load once more.
func drainWithoutLeaving(ctx context.Context, s *system) error {
	s.drain(s.workers[1])
	s.drain(s.workers[len(s.workers)-1])
	if err := sleep(ctx, s.bounds().Drain+shortOutage); err != nil {
		return err
	}
	wait := s.startLoad(ctx, rand.New(rand.NewPCG(1, 5)))
	wait()
	return nil
}

// changeConfiguration adds a route, lets two operators change the configuration concurrently, sends invalid changes, resends
// the newest change and removes the route. Some of the answers are lost on the way.
func changeConfiguration(ctx context.Context, s *system) error {
	added := routePlan{"/added/", guardedService}
	firstRoute, secondRoute := routePlan{"/one/", guardedService}, routePlan{"/other/", unguardedService}
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	for _, front := range s.fronts {
		s.recoveries.Go(func() { s.pollRoutes(probing, front, added, firstRoute, secondRoute) })
	}
	s.network.arm(injection{path: controlPath, number: 1, phase: beforeReply, drop: true})
	if !s.configurations.set(ctx, 1, renderRoute, mailRoute, added) {
		return fmt.Errorf("a change was not acknowledged")
	}
	s.network.arm(injection{path: controlPath, number: 2, phase: beforeReply, drop: true})
	s.configurations.race(ctx, []routePlan{renderRoute, mailRoute, added, firstRoute}, []routePlan{renderRoute, mailRoute, added, secondRoute})
	s.configurations.sendInvalid(ctx)
	s.configurations.resend(ctx)
	if !s.configurations.set(ctx, 2, renderRoute, mailRoute) {
		return fmt.Errorf("a change was not acknowledged")
	}
	return s.awaitRouteRemoved(ctx, added)
}

// pollRoutes requests the job lists of some routes from a front until the context ends.
func (s *system) pollRoutes(ctx context.Context, front *machine, routes ...routePlan) {
	for sleep(ctx, retryInterval) == nil {
		for _, route := range routes {
			s.clientRequest(ctx, front, http.MethodGet, route.prefix, nil)
		}
	}
}

// awaitRouteRemoved waits until all fronts answer 404 for a route.
func (s *system) awaitRouteRemoved(ctx context.Context, route routePlan) error {
	for _, front := range s.fronts {
		for s.clientRequest(ctx, front, http.MethodGet, route.prefix, nil).Status != http.StatusNotFound {
			if err := sleep(ctx, retryInterval); err != nil {
				return fmt.Errorf("%s serves %s still: %w", front.name, route.prefix, err)
			}
		}
	}
	return nil
}

// restartInTurn shuts down and restarts all machines, one after the other.
func restartInTurn(ctx context.Context, s *system) error { return s.rollingRestart(ctx, s.machines()) }

// slowCore delays all calls between core machines, and their answers.
func slowCore(_ context.Context, s *system) error {
	const slow = 120 * time.Millisecond
	for _, from := range s.core {
		s.recordFaultStart(from.name)
		for _, to := range s.core {
			s.network.setDelay(from.name, to.name, slow)
		}
	}
	return nil
}

// inSequence returns a faultFunc that injects several faults one after the other.
func inSequence(faults ...faultFunc) faultFunc {
	return func(ctx context.Context, s *system) error {
		for _, fault := range faults {
			if err := fault(ctx, s); err != nil {
				return err
			}
		}
		return nil
	}
}

// afterRecovery returns a faultFunc that injects a fault once all machines have recovered from earlier ones.
func afterRecovery(fault faultFunc) faultFunc {
	return func(ctx context.Context, s *system) error {
		s.recoveries.Wait()
		return fault(ctx, s)
	}
}

// killCoreAfterChange kills all core machines right after a configuration change was acknowledged, and erases one disk.
func killCoreAfterChange(ctx context.Context, s *system) error {
	if !s.configurations.set(ctx, 1, renderRoute, mailRoute, routePlan{"/last/", guardedService}) {
		return fmt.Errorf("a change was not acknowledged")
	}
	var all sync.WaitGroup
	for i, m := range slices.Clone(s.core) {
		all.Go(func() { s.crashMachine(ctx, m, shortOutage, i == 0) })
	}
	all.Wait()
	return nil
}

// defaultScenarios are the scenarios that every run includes.
var defaultScenarios = []scenario{
	{name: "leader-killed", seed: 2, faults: killLeader(false)},
	{name: "leader-paused", seed: 3, faults: pauseLeader},
	{name: "leader-partitioned", seed: 4, faults: inSequence(partitionLeader(true), killFronts)},
	{name: "core-killed", seed: 5, faults: killAllCore},
	{name: "workers", seed: 6, faults: workerFaults},
	{name: "configuration-and-wiped-disk", seed: 7, faults: inSequence(killFollower(true), changeConfiguration)},
}

// extendedScenarios are the additional scenarios of a run with PUFFINLINK_SYSTEMTEST_ALL.
var extendedScenarios = []scenario{
	{name: "calm", seed: 1},
	{name: "follower-killed", seed: 11, faults: killFollower(false)},
	{name: "leader-wiped", seed: 12, faults: killLeader(true)},
	{name: "leader-partitioned-one-way", seed: 13, faults: partitionLeader(false)},
	{name: "configuration", seed: 14, faults: changeConfiguration},
	{name: "configuration-and-killed-leader", seed: 15, faults: inSequence(killLeader(false), changeConfiguration)},
	{name: "configuration-and-partitioned-leader", seed: 16, faults: inSequence(partitionLeader(true), changeConfiguration)},
	{name: "workers-and-killed-leader", seed: 17, faults: inSequence(killLeader(false), workerFaults)},
	{name: "workers-and-paused-leader", seed: 18, faults: inSequence(pauseLeader, workerFaults)},
	{name: "leaders-killed-in-turn", seed: 19, faults: inSequence(killLeader(false), afterRecovery(killLeader(false)), afterRecovery(killLeader(true)))},
	{name: "rolling-restart", seed: 21, faults: restartInTurn},
	{name: "slow-core", seed: 22, faults: slowCore},
	{name: "slow-core-and-killed-leader", seed: 23, faults: inSequence(slowCore, killLeader(false))},
	{name: "drained-without-leaving", seed: 24, faults: drainWithoutLeaving},
	{name: "core-killed-after-change", seed: 20, faults: killCoreAfterChange},
}
