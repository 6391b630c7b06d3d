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

// The paths of internal calls at which faults strike.
const (
	appendPath  = "/replication/append"
	preparePath = "/register/configuration/prepare"
	acceptPath  = "/register/configuration/accept"
	controlPath = "/-/configuration"
)

// place is a numbered place on the way of a job or a configuration.
type place struct {
	name  string
	path  string
	phase phase
	only  func(call) bool
}

func listsEnds(c call) bool    { return bytes.Contains(c.answer, []byte(`"finished":[[`)) }
func acknowledges(c call) bool { return !bytes.Contains(c.body, []byte(`"lastSeen":0,`)) }

// places are all of them: before and after what is written, sent, listed and acknowledged.
var places = []place{
	{"submit-sent", jobapi.SubmitCall.Path(), beforeCall, nil},
	{"submit-durable", jobapi.SubmitCall.Path(), beforeAnswer, nil},
	{"cancel-durable", jobapi.CancelCall.Path(), beforeAnswer, nil},
	{"append-sent", appendPath, beforeCall, nil},
	{"append-written", appendPath, beforeAnswer, nil},
	{"order-committed", string(cluster.StartCall), beforeCall, nil},
	{"order-carried-out", string(cluster.StartCall), beforeAnswer, nil},
	{"stop-committed", string(cluster.StopCall), beforeCall, nil},
	{"end-listed", string(cluster.HoldCall), beforeAnswer, listsEnds},
	{"end-durable", string(cluster.HoldCall), beforeCall, acknowledges},
	{"end-acknowledged", string(cluster.HoldCall), beforeAnswer, acknowledges},
	{"prepare-sent", preparePath, beforeCall, nil},
	{"prepare-promised", preparePath, beforeAnswer, nil},
	{"accept-sent", acceptPath, beforeCall, nil},
	{"accept-written", acceptPath, beforeAnswer, nil},
	{"configuration-sent", controlPath, beforeCall, nil},
	{"configuration-taken", controlPath, beforeAnswer, nil},
	{"feed-told", feed.WatchCall.Path(), beforeAnswer, nil},
}

// damage is what strikes at a place.
type damage struct {
	name   string
	drop   bool
	strike func(ctx context.Context, s *system, c call)
}

// damages are all kinds. Those on a machine are left out where the call has none on that side.
var damages = []damage{
	{"dropped", true, nil},
	{"caller-killed", true, func(ctx context.Context, s *system, c call) { s.crashNamed(ctx, c.from, false) }},
	{"callee-killed", true, func(ctx context.Context, s *system, c call) { s.crashNamed(ctx, c.to, false) }},
	{"callee-wiped", true, func(ctx context.Context, s *system, c call) { s.crashNamed(ctx, c.to, true) }},
	{"caller-frozen", false, func(ctx context.Context, s *system, c call) { s.stopMachine(ctx, s.machineNamed(c.from), awhile) }},
	{"callee-frozen", false, func(ctx context.Context, s *system, c call) { s.stopMachine(ctx, s.machineNamed(c.to), awhile) }},
	{"core-killed", true, func(ctx context.Context, s *system, _ call) { killCore(ctx, s) }},
}

// crashNamed kills a machine; only a core machine has a disk to lose, and a worker loses its life.
func (s *system) crashNamed(ctx context.Context, name string, wipe bool) {
	if m := s.machineNamed(name); m != nil {
		s.crashMachine(ctx, m, shortly, wipe && m.data != "")
		return
	}
	for _, one := range s.workers {
		if one.relay.to == name {
			s.crash(one)
		}
	}
}

// strike is damage at the n-th call that comes to a place.
type strike struct {
	at     place
	by     damage
	number int
}

// arm sets the strike.
func (one strike) arm(ctx context.Context, s *system) *point {
	return s.network.arm(point{path: one.at.path, phase: one.at.phase, only: one.at.only, number: one.number, drop: one.by.drop, strike: func(c call) {
		if one.by.strike != nil {
			one.by.strike(ctx, s, c)
		}
	}})
}

// strikeAll sets strikes, changes the configuration where one of them concerns that, and waits until all have struck.
func strikeAll(strikes ...strike) faultFunc {
	return func(ctx context.Context, s *system) error {
		var armed []*point
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

func concernsConfiguration(at place) bool {
	return strings.HasPrefix(at.path, "/register/") || at.path == controlPath
}

// await waits until a point has struck.
func (p *point) await(ctx context.Context) error {
	const patience = 20 * time.Second
	timer := time.NewTimer(patience)
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

// fewest is how many calls come to a place at least.
func (p place) fewest() int {
	switch p.path {
	case controlPath, jobapi.CancelCall.Path():
		return 1
	case preparePath, acceptPath:
		return coreMachines - 1
	}
	return 3
}

// everyPoint is a scenario for each place and kind of damage.
func everyPoint() []scenario {
	var all []scenario
	for i, at := range places {
		for j, by := range damages {
			name := at.name + "-" + by.name
			all = append(all, scenario{name: name, seed: uint64(1000 + 10*i + j), faults: strikeAll(strike{at, by, 1 + j%at.fewest()})})
		}
	}
	return all
}

// pairs are scenarios of two points that were drawn.
func pairs(seed uint64, count int) []scenario {
	random := rand.New(rand.NewPCG(seed, 4))
	var all []scenario
	for i := range count {
		one, other := places[random.IntN(len(places))], places[random.IntN(len(places))]
		by, then := damages[random.IntN(len(damages))], damages[random.IntN(len(damages))]
		name := fmt.Sprintf("pair-%d-%d-%s-%s-%s-%s", seed, i, one.name, by.name, other.name, then.name)
		all = append(all, scenario{name: name, seed: seed + uint64(i), faults: strikeAll(strike{one, by, 1}, strike{other, then, 1})})
	}
	return all
}
