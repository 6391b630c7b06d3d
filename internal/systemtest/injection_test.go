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

// callPoint is a kind of internal call, and the phase of it, at which faults are injected.
type callPoint struct {
	name  string
	path  string
	phase phase
	only  func(call) bool
}

func reportsCompletions(c call) bool      { return bytes.Contains(c.answer, []byte(`"finished":[[`)) }
func acknowledgesCompletions(c call) bool { return !bytes.Contains(c.body, []byte(`"lastSeen":0,`)) }

// callPoints are all of them: before and after what is written, sent, listed and acknowledged.
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

// faultKind is what an injection does at a call point.
type faultKind struct {
	name   string
	drop   bool
	action func(ctx context.Context, s *system, c call)
}

// faultKinds are all kinds. Those on a machine are left out where the call has none on that side.
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

// crashNamed kills a machine; only a core machine has a disk to lose, and a worker is restarted as another incarnation.
func (s *system) crashNamed(ctx context.Context, name string, eraseDisk bool) {
	if m := s.machineNamed(name); m != nil {
		s.crashMachine(ctx, m, shortOutage, eraseDisk && m.dataDirectory != "")
		return
	}
	for _, one := range s.workers {
		if one.relay.to == name {
			s.crash(one)
		}
	}
}

// plannedInjection is a fault at the n-th call that reaches a call point.
type plannedInjection struct {
	at     callPoint
	by     faultKind
	number int
}

// arm registers the injection.
func (one plannedInjection) arm(ctx context.Context, s *system) *injection {
	return s.network.arm(injection{path: one.at.path, phase: one.at.phase, only: one.at.only, number: one.number, drop: one.by.drop, action: func(c call) {
		if one.by.action != nil {
			one.by.action(ctx, s, c)
		}
	}})
}

// injectAll arms injections, changes the configuration where one of them concerns that, and waits until all have fired.
func injectAll(strikes ...plannedInjection) faultFunc {
	return func(ctx context.Context, s *system) error {
		var armed []*injection
		configures := false
		for _, one := range strikes {
			armed = append(armed, one.arm(ctx, s))
			configures = configures || concernsConfiguration(one.at)
		}
		if configures {
			s.configured.set(ctx, 0, renderRoute, mailRoute, routePlan{"/added/", guardedService})
		}
		var failures []error
		for _, one := range armed {
			failures = append(failures, one.await(ctx))
		}
		return errors.Join(failures...)
	}
}

func concernsConfiguration(at callPoint) bool {
	return strings.HasPrefix(at.path, "/register/") || at.path == controlPath
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
		return fmt.Errorf("nothing came to %s for the %d. time", p.path, p.number)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// minCalls is how many calls reach the point in every run.
func (p callPoint) minCalls() int {
	switch p.path {
	case controlPath, jobapi.CancelCall.Path():
		return 1
	case preparePath, acceptPath:
		return coreMachines - 1
	}
	return 3
}

// everyInjection is a scenario for each call point and kind of fault.
func everyInjection() []scenario {
	var all []scenario
	for i, at := range callPoints {
		for j, by := range faultKinds {
			name := at.name + "-" + by.name
			all = append(all, scenario{name: name, seed: uint64(1000 + 10*i + j), faults: injectAll(plannedInjection{at, by, 1 + j%at.minCalls()})})
		}
	}
	return all
}

// randomPairs are scenarios with two randomly drawn injections.
func randomPairs(seed uint64, count int) []scenario {
	random := rand.New(rand.NewPCG(seed, 4))
	var all []scenario
	for i := range count {
		one, other := callPoints[random.IntN(len(callPoints))], callPoints[random.IntN(len(callPoints))]
		by, then := faultKinds[random.IntN(len(faultKinds))], faultKinds[random.IntN(len(faultKinds))]
		name := fmt.Sprintf("pair-%d-%d-%s-%s-%s-%s", seed, i, one.name, by.name, other.name, then.name)
		all = append(all, scenario{name: name, seed: seed + uint64(i), faults: injectAll(plannedInjection{one, by, 1}, plannedInjection{other, then, 1})})
	}
	return all
}
