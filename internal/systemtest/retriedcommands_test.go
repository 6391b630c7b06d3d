package systemtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
)

const (
	changeRounds           = 9 // rounds in which two operators change the configuration concurrently
	sameBodyEvery          = 3 // both operators send the same body in every third round
	retriedCommandsTimeout = 4 * time.Minute
	workersPath            = "/-/searchers"
)

// smallSize is the size of a system whose load comes mainly from operators and needs few workers.
var smallSize = systemSize{fronts: 1, workers: []workerPlan{{guardedService, 2, true}, {unguardedService, 1, false}}}

// retriedCommandsTest is a system whose operators retry commands because relays drop the replies.
type retriedCommandsTest struct {
	*system
	relays *lossyRelays

	voteInjections []*injection // each drops the reply by which a member accepts a change

	mu               sync.Mutex
	retriedAfterLoss int // commands that were retried after their confirmation was dropped
}

// TestRetriedCommandsAreIdempotent guards against commands that are refused or applied twice when they are retried after a
// lost confirmation. Two operators concurrently change the configuration through different core machines, cancel the same
// job and drain the same worker. The relays drop the first confirmation of each command and deliver delayed duplicates. No
// machine may refuse an accepted command, even after the leader of the jobs was killed. No version may be confirmed for two
// bodies. At the end each core machine must answer with the newest confirmed configuration and store the confirmed changes.
func TestRetriedCommandsAreIdempotent(t *testing.T) {
	t.Parallel()
	ctx, s := startSystem(t, "retried-commands", smallSize, retriedCommandsTimeout)
	test := &retriedCommandsTest{system: s}
	began := time.Now()
	failure := test.run(ctx)
	s.stop()
	violations := checkDeliveries(test.relays.allDeliveries())
	diskViolations := test.checkDisks()
	t.Logf("%d replies of core machines, %d commands retried after a dropped confirmation, %d versions confirmed, %d of %d votes dropped, %v",
		len(test.relays.allDeliveries()), test.retriedAfterLoss, len(confirmedChanges(test.relays.allDeliveries())), test.droppedVoteCount(), len(test.voteInjections),
		time.Since(began).Round(time.Millisecond))
	Convey("An accepted command is confirmed or left indefinite on every retry, and each core machine stores it", t, func() {
		So(failure, ShouldBeNil)
		So(s.failures, ShouldBeEmpty)
		So(s.processProblems(), ShouldBeEmpty)
		So(violations, ShouldBeEmpty)
		So(diskViolations, ShouldBeEmpty)
		So(test.retriedAfterLoss, ShouldBeGreaterThanOrEqualTo, changeRounds+2)
		So(test.droppedVoteCount(), ShouldBeGreaterThan, 0)
	})
}

// processProblems returns the problems of all processes: unexpected exits, data races, panics and failures.
func (s *system) processProblems() (problems []error) {
	for _, m := range s.machines() {
		for _, p := range m.processes {
			if err := p.problem(); err != nil {
				problems = append(problems, err)
			}
		}
	}
	return problems
}

// run runs the test and shuts down the core machines gracefully at the end.
func (a *retriedCommandsTest) run(ctx context.Context) error {
	a.relays = newLossyRelays(a.system)
	defer a.relays.close()
	if err := a.bringUp(ctx); err != nil {
		return err
	}
	if err := a.changeConcurrently(ctx); err != nil {
		return err
	}
	cancelled, drained, err := a.cancelAndDrain(ctx)
	if err != nil {
		return err
	}
	onLeader(func(ctx context.Context, s *system, leader *machine) { s.crashMachine(ctx, leader, shortOutage, false) })(ctx, a.system)
	a.recoveries.Wait()
	a.relays.duplicates.Wait()
	if err := errors.Join(a.resendAll(ctx), a.checkConfigurations(ctx), a.awaitCancelledJob(ctx, cancelled), a.awaitDrainedWorker(ctx, drained)); err != nil {
		return err
	}
	for _, core := range a.core {
		core.shutDown()
	}
	return nil
}

// changeConcurrently runs rounds in which two operators concurrently replace the same version. At least one operator must
// succeed in each round, and both must get the same status if they sent the same body.
func (a *retriedCommandsTest) changeConcurrently(ctx context.Context) error {
	current := a.configurations.newest
	for round := range changeRounds {
		if round%sameBodyEvery == 1 {
			a.dropVotes(round)
		}
		bodies := [2][]byte{a.bodyFor(round, 0, current+1), a.bodyFor(round, 1, current+1)}
		var both sync.WaitGroup
		var statuses [2]int
		for operator, body := range bodies {
			both.Go(func() { statuses[operator] = a.sendThroughRelays(ctx, round+operator, putCommand(current, body)) })
		}
		both.Wait()
		if !slices.Contains(statuses[:], http.StatusOK) {
			return fmt.Errorf("round %d on top of version %d: got %v, and neither was confirmed", round, current, statuses)
		}
		if bytes.Equal(bodies[0], bodies[1]) && statuses[0] != statuses[1] {
			return fmt.Errorf("round %d: the same command got %v", round, statuses)
		}
		current++
	}
	return nil
}

// bodyFor returns the configuration that an operator sends in a round. Both operators use the same version, and in every
// third round the same body.
func (a *retriedCommandsTest) bodyFor(round, operator int, version int64) []byte {
	if round%sameBodyEvery == 2 {
		operator = 2
	}
	return encodeConfiguration(version, []routePlan{renderRoute, mailRoute, {fmt.Sprintf("/of-%d-%d/", round, operator), guardedService}})
}

// dropVotes drops the next replies by which the other two members accept a change of one proposer, so that the proposer
// cannot tell whether a majority accepted it.
func (a *retriedCommandsTest) dropVotes(round int) {
	proposer := a.core[round%len(a.core)]
	for _, voter := range a.core {
		if voter != proposer {
			a.voteInjections = append(a.voteInjections, a.network.arm(injection{
				path: acceptPath, from: proposer.name, to: voter.name, number: 1, phase: beforeReply, drop: true,
			}))
		}
	}
}

// droppedVoteCount returns how many votes were dropped.
func (a *retriedCommandsTest) droppedVoteCount() (count int) {
	for _, vote := range a.voteInjections {
		if vote.hasFired() {
			count++
		}
	}
	return count
}

// sendThroughRelays sends a command through the relays until a reply is definite, and returns its status. It counts commands
// that were confirmed only after a retry.
func (a *retriedCommandsTest) sendThroughRelays(ctx context.Context, first int, command delivery) int {
	status, _, attempts := a.relays.sendUntilDefinite(ctx, a.system, first, command)
	if status == http.StatusOK && attempts > 1 {
		a.mu.Lock()
		a.retriedAfterLoss++
		a.mu.Unlock()
	}
	return status
}

// cancelAndDrain submits a long-running job. Then both operators cancel it and drain a worker concurrently. It returns the
// identifiers of the job and the worker.
func (a *retriedCommandsTest) cancelAndDrain(ctx context.Context) (cancelled, drained string, err error) {
	random := rand.New(rand.NewPCG(8, 1))
	plan := newJobPlan(random, longRunningJob, renderRoute)
	if err := a.submit(ctx, random, plan); err != nil {
		return "", "", err
	}
	drained = a.workers[0].ID()
	commands := []delivery{
		{method: http.MethodDelete, path: jobsPath + string(plan.id)},
		{method: http.MethodPost, path: workersPath + "/" + drained + "/drain"},
	}
	statuses := make([]int, 2*len(commands))
	var all sync.WaitGroup
	for i := range statuses {
		all.Go(func() { statuses[i] = a.sendThroughRelays(ctx, i, commands[i/2]) })
	}
	all.Wait()
	for i, status := range statuses {
		if status != http.StatusOK {
			err = errors.Join(err, fmt.Errorf("%s %s got %d", commands[i/2].method, commands[i/2].path, status))
		}
	}
	return string(plan.id), drained, err
}

// resendAll sends each earlier command to each core machine directly until the reply is definite.
func (a *retriedCommandsTest) resendAll(ctx context.Context) error {
	commands := map[commandKey]delivery{}
	for _, reply := range a.relays.allDeliveries() {
		if reply.method != http.MethodGet {
			commands[reply.key()] = delivery{method: reply.method, path: reply.path, ifMatch: reply.ifMatch, body: reply.body}
		}
	}
	var failures []error
	for _, command := range commands {
		for _, core := range a.core {
			command.machine = core.name
			if got := a.deliverUntilDefinite(ctx, core, command); !isDefinite(got.status) {
				failures = append(failures, fmt.Errorf("no definite reply at the end: %v", got))
			}
		}
	}
	return errors.Join(failures...)
}

// deliverUntilDefinite sends a request to one core machine until its reply is definite, and records each reply.
func (a *retriedCommandsTest) deliverUntilDefinite(ctx context.Context, core *machine, command delivery) delivery {
	ctx, cancel := context.WithTimeout(ctx, commandRetryTimeout)
	defer cancel()
	for {
		got := a.relays.deliver(command, core)
		a.relays.record(got)
		if isDefinite(got.status) || sleep(ctx, retryInterval) != nil {
			return got
		}
	}
}

// checkConfigurations checks that each core machine answers with the newest confirmed configuration.
func (a *retriedCommandsTest) checkConfigurations(ctx context.Context) error {
	confirmed := confirmedChanges(a.relays.allDeliveries())
	newest := int64(0)
	for version := range confirmed {
		newest = max(newest, version)
	}
	var failures []error
	for _, core := range a.core {
		read := a.deliverUntilDefinite(ctx, core, delivery{machine: core.name, method: http.MethodGet, path: controlPath})
		if read.answer != confirmed[newest].body {
			failures = append(failures, fmt.Errorf("version %d was confirmed last, and %s answers %v", newest, core.name, read))
		}
	}
	return errors.Join(failures...)
}

// awaitCancelledJob waits until each core machine answers that a job is cancelled.
func (a *retriedCommandsTest) awaitCancelledJob(ctx context.Context, id string) error {
	return a.awaitReply(ctx, jobsPath+id, func(answer string) bool { return strings.Contains(answer, `"state":"cancelled"`) })
}

// awaitDrainedWorker waits until each core machine lists a worker as drained by an operator.
func (a *retriedCommandsTest) awaitDrainedWorker(ctx context.Context, id string) error {
	return a.awaitReply(ctx, workersPath, func(answer string) bool { return showsOperatorDraining(answer, id) })
}

// showsOperatorDraining reports whether a list of workers shows the worker with an identifier as drained by an operator.
func showsOperatorDraining(answer, id string) bool {
	_, entry, found := strings.Cut(answer, `"id":"`+id+`"`)
	entry, _, _ = strings.Cut(entry, `"id":`)
	return found && strings.Contains(entry, `"operatorDraining":true`)
}

// awaitReply sends a GET request to each core machine until that machine gives a reply that accept allows.
func (a *retriedCommandsTest) awaitReply(ctx context.Context, path string, accept func(answer string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, commandRetryTimeout)
	defer cancel()
	for _, core := range a.core {
		for {
			got := a.deliverUntilDefinite(ctx, core, delivery{machine: core.name, method: http.MethodGet, path: path})
			if got.status == http.StatusOK && accept(got.answer) {
				break
			}
			if sleep(ctx, retryInterval) != nil {
				return fmt.Errorf("the expected reply did not arrive; the last one was: %v", got)
			}
		}
	}
	return nil
}

// checkDisks compares the history on each core machine's disk with the confirmed changes, and returns the violations. A
// majority must hold all confirmed changes. The history of each other machine must agree with theirs except for its last
// record, which may belong to a change that was never decided.
func (a *retriedCommandsTest) checkDisks() (violations []string) {
	deliveries := a.relays.allDeliveries()
	var complete []configuration.State
	states := make([]configuration.State, len(a.core))
	for i, core := range a.core {
		var err error
		if states[i], err = historyOnDisk(core); err != nil {
			return append(violations, fmt.Sprintf("%s: %v", core.name, err))
		}
		if found := checkAppliedHistory(states[i], deliveries); len(found) == 0 {
			complete = append(complete, states[i])
		} else {
			violations = append(violations, fmt.Sprintf("%s: %v", core.name, found))
		}
	}
	if len(complete) <= len(a.core)/2 {
		return violations
	}
	for i, state := range states {
		if known := max(len(state.Applied)-1, 0); known > len(complete[0].Applied) || !slices.Equal(state.Applied[:known], complete[0].Applied[:known]) {
			return append(violations, fmt.Sprintf("%s holds another history than a majority", a.core[i].name))
		}
	}
	return nil
}
