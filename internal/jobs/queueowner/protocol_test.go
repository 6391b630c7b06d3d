package queueowner

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	protocolSteps = 60 // of each schedule
	protocolIDs   = 2
	mutantRuns    = 20_000 // schedules within which each violated rule must be noticed
)

var protocolRuns = flag.Uint64("protocolruns", 20_000, "number of schedules of the handover of queues that are played")

var (
	protocolServices = []string{"alpha", "beta", "gamma"}
	protocolQueue    = queuekey.Of("jobs.example", "/plan/")
)

// violatedRule is a rule of the protocol that a run violates on purpose.
type violatedRule string

const (
	noRule            violatedRule = ""
	asksNobody        violatedRule = "a group accepts an ID without asking the others"
	asksLatestOnly    violatedRule = "a group asks only one of the others"
	releasesNothing   violatedRule = "a group that is asked does not release the queue"
	forgetsRelease    violatedRule = "a new leader does not know what its group has released"
	decidesByOldView  violatedRule = "a leader decides by a configuration older than its group's minimum version"
	checksOnce        violatedRule = "a group accepts an ID after asking, without deciding once more"
	endedTenureServes violatedRule = "a group accepts jobs for a tenure that it has released"
	vacantTooEarly    violatedRule = "a group counts as vacant before it has released the queue"
	vacantUnreleased  violatedRule = "a group that was asked for an earlier tenure counts as vacant"
)

// modelGroup is the replication group of a service. Its records survive a change of its leader, the view does not.
type modelGroup struct {
	service        string
	minimumVersion uint64
	known          map[job.ID]bool
	view           *configuration.QueueDirectory // of the node that leads it
	term           int
}

// modelCall is a client's call at a group's leader.
type modelCall struct {
	group     *modelGroup
	term      int // of the leader that executes it
	id        job.ID
	version   uint64
	submits   bool
	accepted  int // number of accepted IDs when the call began
	decision  Decision
	decided   bool
	asked     []string
	askedFrom uint64 // tenure for which they were asked
}

// protocol is a model of several groups, their nodes' views of the configuration, and calls in progress. Each step may interleave with any
// other one.
type protocol struct {
	random     *rand.Rand
	violated   violatedRule
	states     []configuration.State
	views      []*configuration.QueueDirectory // of each version
	groups     []*modelGroup
	calls      []*modelCall
	vacancies  Vacancies
	acceptedBy map[job.ID]string
	acceptedAt map[job.ID]int // position in the order of acceptance, from 1
	accepted   int
	violations []string
	moves      int
	forwarded  int // calls that another group executed
	truths     int // answers that there is no such job
}

func newProtocol(seed uint64, violated violatedRule) *protocol {
	p := &protocol{random: rand.New(rand.NewPCG(seed, 1)), violated: violated, acceptedBy: map[job.ID]string{}, acceptedAt: map[job.ID]int{}}
	p.states = []configuration.State{{}}
	p.views = []*configuration.QueueDirectory{mustDirectory(configuration.State{})}
	p.change("alpha")
	for _, service := range protocolServices {
		p.groups = append(p.groups, &modelGroup{service: service, known: map[job.ID]bool{}, view: p.views[1]})
	}
	return p
}

func mustDirectory(state configuration.State) *configuration.QueueDirectory {
	directory, err := configuration.NewQueueDirectory(state)
	if err != nil {
		panic(err) // cannot happen: the model's configurations are valid
	}
	return directory
}

// change commits the next version of the configuration, in which a service has the queue; none if the service is empty.
func (p *protocol) change(service string) {
	current := p.views[len(p.views)-1]
	update := &configuration.Configuration{Version: current.Version() + 1}
	routes := ""
	if service != "" {
		update.Routes = []configuration.Route{{Host: "jobs.example", PathPrefix: "/plan/", Service: service}}
		routes = fmt.Sprintf(`{"host":"jobs.example","pathPrefix":"/plan/","service":%q}`, service)
	}
	state := configuration.State{
		Version: update.Version, Body: fmt.Appendf(nil, `{"routes":[%s]}`, routes), Queues: current.HistoriesAfter(update, p.vacancies.Contains),
	}
	p.states, p.views = append(p.states, state), append(p.views, mustDirectory(state))
	p.moves++
}

func (p *protocol) group(service string) *modelGroup {
	return p.groups[slices.IndexFunc(p.groups, func(g *modelGroup) bool { return g.service == service })]
}

func (p *protocol) step() {
	switch choice := p.random.IntN(20); {
	case choice == 0 && len(p.views) < 8:
		p.change(append(slices.Clone(protocolServices), "")[p.random.IntN(len(protocolServices)+1)])
	case choice <= 2:
		p.learn(p.groups[p.random.IntN(len(p.groups))])
	case choice == 3:
		p.changeLeader(p.groups[p.random.IntN(len(p.groups))])
	case choice == 4:
		p.findVacancies()
	case choice <= 9 || len(p.calls) == 0:
		p.beginCall()
	default:
		p.advance(p.random.IntN(len(p.calls)))
	}
}

// learn gives the leader of a group a newer configuration.
func (p *protocol) learn(g *modelGroup) {
	known := int(g.view.Version())
	g.view = p.views[known+p.random.IntN(len(p.views)-known)]
}

// changeLeader makes another node lead a group. Its view is of any age, and the calls at the former leader end.
func (p *protocol) changeLeader(g *modelGroup) {
	g.term++
	g.view = p.views[p.random.IntN(len(p.views))]
	if p.violated == forgetsRelease {
		g.minimumVersion = 0
	}
	p.calls = slices.DeleteFunc(p.calls, func(c *modelCall) bool { return c.group == g })
}

// findVacancies asks the groups of ended tenures whether they know jobs of the queue, as a node with any view does.
func (p *protocol) findVacancies() {
	view := p.views[p.random.IntN(len(p.views))]
	view.EndedTenures(func(queue queuekey.Key, ended configuration.Tenure) {
		g := p.group(ended.Service)
		if p.violated != vacantTooEarly {
			p.release(g, ended.Until)
		}
		if len(g.known) == 0 {
			p.vacancies.Add(queue, ended, ended.Until)
		}
	})
}

// release makes a group release the queue. The group's node may not know that version yet.
func (p *protocol) release(g *modelGroup, version uint64) {
	if p.violated != releasesNothing {
		g.minimumVersion = max(g.minimumVersion, version)
	}
}

// beginCall starts a call at the group that any version of the configuration names, as a proxy with an old view does.
func (p *protocol) beginCall() {
	version := p.random.IntN(len(p.views))
	var services []string
	for _, service := range protocolServices {
		if latest, found := p.views[version].Latest(protocolQueue, service); found && !latest.Ended() {
			services = append(services, service)
		}
	}
	if len(services) == 0 {
		return
	}
	g := p.group(services[0])
	id := job.ID(fmt.Sprintf("%016x", p.random.IntN(protocolIDs)))
	p.calls = append(p.calls, &modelCall{group: g, term: g.term, id: id, version: uint64(version), submits: p.random.IntN(3) > 0, accepted: p.accepted})
}

// advance plays the next step of a call: it asks one other group, or decides and acts.
func (p *protocol) advance(number int) {
	call := p.calls[number]
	if next, found := p.nextToAsk(call); call.decided && found {
		p.ask(number, next)
		return
	}
	if p.decideAndAct(call) {
		p.calls = slices.Delete(p.calls, number, number+1)
	}
}

// nextToAsk returns a tenure that the call's last decision names, and whose group was not asked yet.
func (p *protocol) nextToAsk(call *modelCall) (next configuration.Tenure, found bool) {
	if p.violated == asksNobody || p.violated == asksLatestOnly && len(call.asked) > 0 {
		return next, false
	}
	for _, other := range call.decision.Others {
		asked := call.askedFrom == call.decision.Since && slices.Contains(call.asked, other.Service)
		if !asked && !p.vacancies.Contains(protocolQueue, other) {
			return other, true
		}
	}
	return next, false
}

// ask delivers a call's question to another group. The question or the reply may be lost.
func (p *protocol) ask(number int, tenure configuration.Tenure) {
	call, other := p.calls[number], p.group(tenure.Service)
	lost := p.random.IntN(8)
	if lost == 0 {
		p.calls = slices.Delete(p.calls, number, number+1)
		return
	}
	p.release(other, call.decision.Since)
	if other.known[call.id] || lost == 1 {
		p.forwarded++
		p.calls = slices.Delete(p.calls, number, number+1)
		return
	}
	if call.askedFrom != call.decision.Since {
		call.asked, call.askedFrom = nil, call.decision.Since
	}
	call.asked = append(call.asked, tenure.Service)
	if len(other.known) > 0 {
		return
	}
	released := call.decision.Since
	if p.violated == vacantUnreleased {
		released = tenure.Until
	}
	p.vacancies.Add(protocolQueue, tenure, released)
}

// decideAndAct decides about a call and acts if all others were asked. It returns false if others must be asked first.
func (p *protocol) decideAndAct(call *modelCall) (ended bool) {
	g := call.group
	if g.known[call.id] {
		return true
	}
	if !call.decided || p.violated != checksOnce {
		call.decision, call.decided = p.decide(call), true
		if call.decision.Verdict != MayAct {
			return true
		}
		if _, found := p.nextToAsk(call); found {
			return false
		}
	}
	p.act(call)
	return true
}

func (p *protocol) decide(call *modelCall) Decision {
	minimumVersion, g := call.group.minimumVersion, call.group
	if p.violated == decidesByOldView {
		minimumVersion = min(minimumVersion, g.view.Version())
	}
	if p.violated == endedTenureServes {
		if latest, found := g.view.Latest(protocolQueue, g.service); found {
			return Decision{Verdict: MayAct, Since: latest.Since, Others: g.view.Others(protocolQueue, g.service)}
		}
	}
	return Decide(g.view, g.service, protocolQueue, minimumVersion, call.version)
}

// act accepts the ID, or answers that there is no such job, which must have been true when the call began.
func (p *protocol) act(call *modelCall) {
	if !call.submits {
		p.truths++
		if at := p.acceptedAt[call.id]; at > 0 && at <= call.accepted {
			p.violations = append(p.violations, fmt.Sprintf("%s says that there is no job %s, which %s had accepted", call.group.service, call.id, p.acceptedBy[call.id]))
		}
		return
	}
	if other, found := p.acceptedBy[call.id]; found {
		p.violations = append(p.violations, fmt.Sprintf("%s accepts job %s, which %s had accepted", call.group.service, call.id, other))
	}
	p.accepted++
	call.group.known[call.id], p.acceptedBy[call.id], p.acceptedAt[call.id] = true, call.group.service, p.accepted
}

// runProtocol plays one schedule.
func runProtocol(seed uint64, violated violatedRule) *protocol {
	p := newProtocol(seed, violated)
	for range protocolSteps {
		p.step()
	}
	return p
}

// An ID must be accepted by one group at most, and no answer may deny a job that was accepted before it was asked for: whatever moves the
// queue makes, whichever view a node or caller has, and whenever leaders change.
func TestEachIDIsAcceptedByOneGroup(t *testing.T) {
	moves, accepted, forwarded, truths := 0, 0, 0, 0
	for seed := range *protocolRuns {
		p := runProtocol(seed, noRule)
		if len(p.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, p.violations)
		}
		moves, accepted, forwarded, truths = moves+p.moves, accepted+p.accepted, forwarded+p.forwarded, truths+p.truths
	}
	t.Logf("%d schedules: %d moves, %d IDs accepted, %d calls executed by another group, %d answers that there is no such job", *protocolRuns, moves, accepted, forwarded, truths)
	if min(moves, accepted, forwarded, truths) < int(*protocolRuns/10) {
		t.Error("too little happens in the schedules")
	}
}

// Each rule of the protocol is needed: a run that violates it is noticed.
func TestEachViolatedRuleIsNoticed(t *testing.T) {
	rules := []violatedRule{asksNobody, asksLatestOnly, releasesNothing, forgetsRelease, decidesByOldView, checksOnce, endedTenureServes, vacantTooEarly, vacantUnreleased}
	for _, violated := range rules {
		if seed, violation := firstViolation(violated); violation != "" {
			t.Logf("%s: noticed with seed %d: %s", violated, seed, violation)
		} else {
			t.Errorf("not noticed in %d schedules: %s", mutantRuns, violated)
		}
	}
}

// firstViolation returns the first violation in runs that violate a rule; empty if there is none.
func firstViolation(violated violatedRule) (seed uint64, violation string) {
	for seed = range uint64(mutantRuns) {
		if p := runProtocol(seed, violated); len(p.violations) > 0 {
			return seed, p.violations[0]
		}
	}
	return 0, ""
}
