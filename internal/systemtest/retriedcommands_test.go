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
	changeRounds           = 9 // in which two operators change the configuration at once
	sameBodyEvery          = 3 // in each third round both send the same body
	retriedCommandsTimeout = 4 * time.Minute
	workersPath            = "/-/searchers"
)

// smallSize is a small system, as the load is that of operators.
var smallSize = size{fronts: 1, workers: []workerPlan{{guardedService, 2, true}, {unguardedService, 1, false}}}

// retriedCommandsTest is a system under operators whose answers are lost.
type retriedCommandsTest struct {
	*system
	relays *lossyRelays

	lostVotes []*injection // answers of members that are lost

	mu               sync.Mutex
	retriedAfterLoss int // commands that were retried after their confirmation was dropped
}

// Two operators change the configuration at once through different core machines, cancel one job and drain one worker,
// behind relays that drop the first confirmation of each command and deliver duplicates of requests seconds later. What was
// accepted is never refused, at no machine, also after the leader of the jobs was killed; no number is confirmed for two
// bodies; and what each core machine answers and stores at the end is what was confirmed.
func TestRetriedCommandsAreIdempotent(t *testing.T) {
	t.Parallel()
	ctx, s := startSystem(t, "orders-sent-again", smallSize, retriedCommandsTimeout)
	test := &retriedCommandsTest{system: s}
	began := time.Now()
	failure := test.run(ctx)
	s.stop()
	violations := checkDeliveries(test.relays.allDeliveries())
	disks := test.checkDisks()
	t.Logf("%d answers of core machines, %d commands sent again after a lost confirmation, %d versions confirmed, %d of %d votes lost, %v",
		len(test.relays.allDeliveries()), test.retriedAfterLoss, len(confirmedChanges(test.relays.allDeliveries())), test.droppedVotes(), len(test.lostVotes),
		time.Since(began).Round(time.Millisecond))
	Convey("An accepted command is confirmed or left indefinite on every retry, and each core machine stores it", t, func() {
		So(failure, ShouldBeNil)
		So(s.failures, ShouldBeEmpty)
		So(s.processProblems(), ShouldBeEmpty)
		So(violations, ShouldBeEmpty)
		So(disks, ShouldBeEmpty)
		So(test.retriedAfterLoss, ShouldBeGreaterThanOrEqualTo, changeRounds+2)
		So(test.droppedVotes(), ShouldBeGreaterThan, 0)
	})
}

// processProblems are ends of processes by themselves, and races that the detector has found.
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

// run runs the test; the core machines are shut down gracefully at the end.
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

// changeConcurrently lets two operators change the same version at once, round after round.
func (a *retriedCommandsTest) changeConcurrently(ctx context.Context) error {
	current := a.configured.newest
	for round := range changeRounds {
		if round%sameBodyEvery == 1 {
			a.dropVotes(round)
		}
		bodies := [2][]byte{a.bodyOf(round, 0, current+1), a.bodyOf(round, 1, current+1)}
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

// bodyOf is what an operator sends in a round: of a number that both use, in each third round the same.
func (a *retriedCommandsTest) bodyOf(round, operator int, version int64) []byte {
	if round%sameBodyEvery == 2 {
		operator = 2
	}
	return encodeConfiguration(version, []routePlan{renderRoute, mailRoute, {fmt.Sprintf("/of-%d-%d/", round, operator), guardedService}})
}

// dropVotes loses the next answers by which two members accept a change, so that its proposer cannot tell whether a
// majority took it.
func (a *retriedCommandsTest) dropVotes(round int) {
	proposer := a.core[round%len(a.core)]
	for _, voter := range a.core {
		if voter != proposer {
			a.lostVotes = append(a.lostVotes, a.network.arm(injection{
				path: acceptPath, from: proposer.name, to: voter.name, number: 1, phase: beforeReply, drop: true,
			}))
		}
	}
}

// droppedVotes counts the votes whose answers were lost.
func (a *retriedCommandsTest) droppedVotes() (count int) {
	for _, one := range a.lostVotes {
		if one.hasFired() {
			count++
		}
	}
	return count
}

// sendThroughRelays sends a command through the relays until an answer is clear, and counts it if a confirmation was lost before.
func (a *retriedCommandsTest) sendThroughRelays(ctx context.Context, first int, command delivery) int {
	status, _, attempts := a.relays.sendUntilClear(ctx, a.system, first, command)
	if status == http.StatusOK && attempts > 1 {
		a.mu.Lock()
		a.retriedAfterLoss++
		a.mu.Unlock()
	}
	return status
}

// cancelAndDrain submits a job that lasts, and lets both operators cancel it and drain a worker at once.
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

// resendAll sends each command that there was to each core machine, without a relay, until the answer is clear.
func (a *retriedCommandsTest) resendAll(ctx context.Context) error {
	commands := map[commandKey]delivery{}
	for _, one := range a.relays.allDeliveries() {
		if one.method != http.MethodGet {
			commands[one.key()] = delivery{method: one.method, path: one.path, ifMatch: one.ifMatch, body: one.body}
		}
	}
	var failures []error
	for _, command := range commands {
		for _, core := range a.core {
			command.machine = core.name
			if got := a.deliverUntilClear(ctx, core, command); !isDefinite(got.status) {
				failures = append(failures, fmt.Errorf("no clear answer at the end: %v", got))
			}
		}
	}
	return errors.Join(failures...)
}

// deliverUntilClear sends a request to one core machine until its reply is definite, and records each reply.
func (a *retriedCommandsTest) deliverUntilClear(ctx context.Context, core *machine, command delivery) delivery {
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

// checkConfigurations reads the configuration at each core machine: it is the newest that was confirmed.
func (a *retriedCommandsTest) checkConfigurations(ctx context.Context) error {
	confirmed := confirmedChanges(a.relays.allDeliveries())
	newest := int64(0)
	for version := range confirmed {
		newest = max(newest, version)
	}
	var failures []error
	for _, core := range a.core {
		read := a.deliverUntilClear(ctx, core, delivery{machine: core.name, method: http.MethodGet, path: controlPath})
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

// awaitDrainedWorker waits until each core machine answers that a worker is drained by an operator.
func (a *retriedCommandsTest) awaitDrainedWorker(ctx context.Context, id string) error {
	return a.awaitReply(ctx, workersPath, func(answer string) bool { return showsOperatorDraining(answer, id) })
}

// showsOperatorDraining reports whether a list of workers has one as drained by an operator.
func showsOperatorDraining(answer, id string) bool {
	_, of, found := strings.Cut(answer, `"id":"`+id+`"`)
	of, _, _ = strings.Cut(of, `"id":`)
	return found && strings.Contains(of, `"operatorDraining":true`)
}

func (a *retriedCommandsTest) awaitReply(ctx context.Context, path string, serves func(answer string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, commandRetryTimeout)
	defer cancel()
	for _, core := range a.core {
		for {
			got := a.deliverUntilClear(ctx, core, delivery{machine: core.name, method: http.MethodGet, path: path})
			if got.status == http.StatusOK && serves(got.answer) {
				break
			}
			if sleep(ctx, retryInterval) != nil {
				return fmt.Errorf("at the end: %v", got)
			}
		}
	}
	return nil
}

// checkDisks compares the history that each core machine's disk holds with what was confirmed. A majority holds all of it;
// the last record of another one may be of a change that did not come to be.
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
