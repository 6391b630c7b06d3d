package systemtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// The paths of internal calls at which faults are injected.
const (
	appendPath  = "/replication/append"
	preparePath = "/register/configuration/prepare"
	acceptPath  = "/register/configuration/accept"
	controlPath = "/-/configuration"
)

// callPoint is a point at which faults are injected: a phase of the calls on one path that pass the filter.
type callPoint struct {
	name   string
	path   string
	phase  phase
	filter func(call) bool // nil for all calls on the path
}

func reportsCompletions(c call) bool      { return bytes.Contains(c.answer, []byte(`"finished":[[`)) }
func acknowledgesCompletions(c call) bool { return !bytes.Contains(c.body, []byte(`"lastSeen":0,`)) }

// callPoints are all call points. They lie before and after each step that writes, sends, lists or acknowledges something.
var callPoints = []callPoint{
	{"submit-sent", jobapi.SubmitCall.Path(), beforeDelivery, nil},
	{"submit-durable", jobapi.SubmitCall.Path(), beforeReply, nil},
	{"cancel-durable", jobapi.CancelCall.Path(), beforeReply, nil},
	{"append-sent", appendPath, beforeDelivery, nil},
	{"append-written", appendPath, beforeReply, nil},
	{"start-committed", string(cluster.StartCall), beforeDelivery, nil},
	{"start-executed", string(cluster.StartCall), beforeReply, nil},
	{"stop-committed", string(cluster.StopCall), beforeDelivery, nil},
	{"completion-listed", string(cluster.LeaseCall), beforeReply, reportsCompletions},
	{"completion-durable", string(cluster.LeaseCall), beforeDelivery, acknowledgesCompletions},
	{"completion-acknowledged", string(cluster.LeaseCall), beforeReply, acknowledgesCompletions},
	{"prepare-sent", preparePath, beforeDelivery, nil},
	{"prepare-promised", preparePath, beforeReply, nil},
	{"accept-sent", acceptPath, beforeDelivery, nil},
	{"accept-written", acceptPath, beforeReply, nil},
	{"configuration-sent", controlPath, beforeDelivery, nil},
	{"configuration-accepted", controlPath, beforeReply, nil},
	{"feed-sent", feed.WatchCall.Path(), beforeReply, nil},
}

// faultKind is a kind of fault that is injected at a call point.
type faultKind struct {
	name   string
	drop   bool                                         // the call or its answer is lost
	action func(ctx context.Context, s *system, c call) // nil for none
}

// faultKinds are all kinds of faults. A fault of the caller or the callee does nothing if that side is neither a machine nor
// a worker.
var faultKinds = []faultKind{
	{"dropped", true, nil},
	{"caller-killed", true, func(ctx context.Context, s *system, c call) { s.crashNamed(ctx, c.from, false) }},
	{"callee-killed", true, func(ctx context.Context, s *system, c call) { s.crashNamed(ctx, c.to, false) }},
	{"callee-wiped", true, func(ctx context.Context, s *system, c call) { s.crashNamed(ctx, c.to, true) }},
	{"caller-paused", false, func(ctx context.Context, s *system, c call) {
		s.pauseMachine(ctx, s.machineNamed(c.from), outageBeyondLease)
	}},
	{"callee-paused", false, func(ctx context.Context, s *system, c call) {
		s.pauseMachine(ctx, s.machineNamed(c.to), outageBeyondLease)
	}},
	{"core-killed", true, func(ctx context.Context, s *system, _ call) { killAllCore(ctx, s) }},
}

// crashNamed crashes the machine or worker with a name. Only a core machine has a disk that can be erased. A worker comes
// back as another incarnation.
func (s *system) crashNamed(ctx context.Context, name string, eraseDisk bool) {
	if m := s.machineNamed(name); m != nil {
		s.crashMachine(ctx, m, shortOutage, eraseDisk && m.dataDirectory != "")
		return
	}
	for _, w := range s.workers {
		if w.relay.to == name {
			s.crash(w)
		}
	}
}

// plannedInjection is a kind of fault at the n-th call that reaches a call point.
type plannedInjection struct {
	point  callPoint
	fault  faultKind
	number int
}

// arm registers the injection with the system's network.
func (p plannedInjection) arm(ctx context.Context, s *system) *injection {
	return s.network.arm(injection{path: p.point.path, phase: p.point.phase, filter: p.point.filter, number: p.number, drop: p.fault.drop, action: func(c call) {
		if p.fault.action != nil {
			p.fault.action(ctx, s, c)
		}
	}})
}

// injectFaults returns a faultFunc that arms injections and waits until all have fired. It changes the configuration if one
// of them is at a call of a configuration change, as no such call would be made otherwise.
func injectFaults(planned ...plannedInjection) faultFunc {
	return func(ctx context.Context, s *system) error {
		var armed []*injection
		configures := false
		for _, one := range planned {
			armed = append(armed, one.arm(ctx, s))
			configures = configures || concernsConfiguration(one.point)
		}
		if configures {
			s.configurations.set(ctx, 0, renderRoute, mailRoute, routePlan{"/added/", guardedService})
		}
		var failures []error
		for _, one := range armed {
			failures = append(failures, one.await(ctx))
		}
		return errors.Join(failures...)
	}
}

func concernsConfiguration(point callPoint) bool {
	return strings.HasPrefix(point.path, "/register/") || point.path == controlPath
}

// await waits until an injection has fired.
func (p *injection) await(ctx context.Context) error {
	const timeout = 20 * time.Second
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.fired:
		return nil
	case <-timer.C:
		return fmt.Errorf("injection at call %d on %s did not fire", p.number, p.path)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// minCalls returns how many calls reach the call point in every run.
func (p callPoint) minCalls() int {
	switch p.path {
	case controlPath, jobapi.CancelCall.Path():
		return 1
	case preparePath, acceptPath:
		return coreMachines - 1
	}
	return 3
}

// singleInjectionScenarios returns a scenario for each combination of a call point and a kind of fault.
func singleInjectionScenarios() []scenario {
	var all []scenario
	for i, point := range callPoints {
		for j, fault := range faultKinds {
			name := point.name + "-" + fault.name
			all = append(all, scenario{name: name, seed: uint64(1000 + 10*i + j), faults: injectFaults(plannedInjection{point, fault, 1 + j%point.minCalls()})})
		}
	}
	return all
}

// randomPairScenarios returns scenarios with two randomly drawn injections each.
func randomPairScenarios(seed uint64, count int) []scenario {
	random := rand.New(rand.NewPCG(seed, 4))
	var all []scenario
	for i := range count {
		firstPoint, secondPoint := callPoints[random.IntN(len(callPoints))], callPoints[random.IntN(len(callPoints))]
		firstFault, secondFault := faultKinds[random.IntN(len(faultKinds))], faultKinds[random.IntN(len(faultKinds))]
		name := fmt.Sprintf("pair-%d-%d-%s-%s-%s-%s", seed, i, firstPoint.name, firstFault.name, secondPoint.name, secondFault.name)
		all = append(all, scenario{name: name, seed: seed + uint64(i), faults: injectFaults(plannedInjection{firstPoint, firstFault, 1}, plannedInjection{secondPoint, secondFault, 1})})
	}
	return all
}
