package controlmodel

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// slack covers the transfer and the batching of changes between a check and its answer's arrival.
const slack = 100 * time.Millisecond

const (
	// feedAge is how old the configuration may be that a core node calls current.
	feedAge = configuration.FreshAge + slack
	// agentAge is the same for an agent: the core node's answer takes 1.3 s at the most, and counts for 1.5 s.
	agentAge = feedAge + 1300*time.Millisecond + 1500*time.Millisecond
)

// change is a change of the configuration that an operator sends.
type change struct {
	version, builtOn uint64
	body             string
}

// termKey names a term.
type termKey struct {
	member string
	epoch  uint64
}

// checker records what was acknowledged to whom, and the violations. Its instants are those of the callers, who know least.
type checker struct {
	mutex        sync.Mutex
	startedAt    time.Time
	violations   []string
	acknowledged []acknowledgedVersion // acknowledged, in the order of the acknowledgements
	accepted     map[change]bool
	refused      map[change]bool
	jobs         map[job.ID]time.Time // acknowledged at
	acceptedJobs []job.ID             // the same, by that
	finals       map[job.ID]finalState
	terms        map[termKey]*replication.Term
	ended        map[termKey]time.Time
	lateCommands []lateCommand
	tokens       map[string]uint64 // the highest that a worker has accepted
	counts       map[string]int    // what was checked, by kind
}

type acknowledgedVersion struct {
	version uint64
	at      time.Time
}

type finalState struct {
	state job.State
	at    time.Time
}

func newChecker() *checker {
	return &checker{
		startedAt: time.Now(), accepted: map[change]bool{}, refused: map[change]bool{}, jobs: map[job.ID]time.Time{},
		finals: map[job.ID]finalState{}, terms: map[termKey]*replication.Term{}, ended: map[termKey]time.Time{}, tokens: map[string]uint64{}, counts: map[string]int{},
	}
}

func (c *checker) failf(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, fmt.Sprintf("at %v: %s", time.Since(c.startedAt).Round(time.Millisecond), text))
}

// newestBy is the newest version that was acknowledged by an instant. The mutex is held.
func (c *checker) newestBy(at time.Time) (newest uint64) {
	for _, one := range c.acknowledged {
		if !one.at.After(at) {
			newest = max(newest, one.version)
		}
	}
	return newest
}

// checkPut checks an operator's answer to a command.
func (c *checker) checkPut(member string, sent time.Time, requested change, status int, current uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[fmt.Sprint("put ", status)]++
	switch status {
	case http.StatusOK:
		c.acknowledged = append(c.acknowledged, acknowledgedVersion{requested.version, time.Now()})
		c.accepted[requested] = true
		for other := range c.accepted {
			if other.builtOn == requested.builtOn && other != requested {
				c.failf("%s confirmed version %d on %d, on which version %d was built", member, requested.version, requested.builtOn, other.version)
			}
		}
	case http.StatusPreconditionFailed:
		c.refused[requested] = true
		if newest := c.newestBy(sent); current < newest {
			c.failf("%s refused a command on version %d, older than %d, which was acknowledged before the command was sent", member, current, newest)
		}
	case http.StatusServiceUnavailable:
	default:
		c.failf("%s answered %d to a command", member, status)
	}
	if c.accepted[requested] && c.refused[requested] {
		c.failf("%s: version %d on %d is both refused and confirmed", member, requested.version, requested.builtOn)
	}
}

// checkGet checks an operator's reading.
func (c *checker) checkGet(member string, sent time.Time, status int, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[fmt.Sprint("get ", status)]++
	if status == http.StatusServiceUnavailable {
		return
	}
	if newest := c.newestBy(sent); version < newest {
		c.failf("%s answered version %d (status %d), though %d had been acknowledged before the request", member, version, status, newest)
	}
}

// checkFeed checks a feed that calls itself current.
func (c *checker) checkFeed(member string, sent time.Time, age time.Duration, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["feed of "+member[:4]]++
	if newest := c.newestBy(sent.Add(-age)); version < newest {
		c.failf("%s marks version %d as current, though %d had been acknowledged %v before the request", member, version, newest, age)
	}
}

// recordSubmit records an accepted job.
func (c *checker) recordSubmit(id job.ID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["submit"]++
	c.jobs[id] = time.Now()
	c.acceptedJobs = append(c.acceptedJobs, id)
}

// newestJobs are the jobs accepted last.
func (c *checker) newestJobs(most int) []job.ID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.acceptedJobs[max(0, len(c.acceptedJobs)-most):])
}

// checkJobReply checks a leader's answer about a job, to a reading or a cancellation.
func (c *checker) checkJobReply(member, call string, sent time.Time, id job.ID, known bool, state job.State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[fmt.Sprint(call, " ", known)]++
	if at, accepted := c.jobs[id]; accepted && at.Before(sent) && !known {
		c.failf("%s answers to a %s that there is no job %s, which was accepted before", member, call, id)
	}
	if !known {
		return
	}
	if before, ended := c.finals[id]; ended && before.at.Before(sent) && state != before.state {
		c.failf("%s answers to a %s that job %s is %s, and it was %s before", member, call, id, state, before.state)
	}
	if state.Final() {
		c.finals[id] = finalState{state, time.Now()}
	}
}

// recordTerm records a term, and when it ends.
func (c *checker) recordTerm(member string, term *replication.Term) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["elections"]++
	name := termKey{member, term.Number()}
	c.terms[name] = term
	go func() {
		<-term.Ended()
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.ended[name] = time.Now()
	}()
}

// lateCommand is a command that was passed to its connection without a lease, or at the instant at which its term was given up.
type lateCommand struct {
	under termKey
	kind  cluster.CallKind
	at    time.Time
}

// recordCommand checks a command at the instant at which a node passes it to its connection.
func (c *checker) recordCommand(member string, kind cluster.CallKind, token uint64) {
	if kind == cluster.LeaseCall {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["command "+string(kind)]++
	name := termKey{member, token}
	if term := c.terms[name]; term == nil || !term.Valid() {
		c.lateCommands = append(c.lateCommands, lateCommand{name, kind, time.Now()})
	}
}

// checkLateCommands checks them at the end, when it is known which terms were given up at that instant.
func (c *checker) checkLateCommands() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.lateCommands {
		if c.ended[one.under] != one.at {
			c.failf("%s sent %s under token %d at %v after its lease", one.under.member, one.kind, one.under.epoch, one.at.Sub(c.startedAt))
		}
	}
}

// checkWorkerReply checks the fencing token of a command that a worker has accepted.
func (c *checker) checkWorkerReply(worker string, kind cluster.CallKind, token uint64, status int) {
	if status != http.StatusOK {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if kind != cluster.LeaseCall && token < c.tokens[worker] {
		c.failf("%s took %s under token %d after token %d", worker, kind, token, c.tokens[worker])
	}
	c.tokens[worker] = max(c.tokens[worker], token)
}

// checkAttempts checks all attempts at the end: a task has one at a time.
func (c *checker) checkAttempts(runs []cluster.AttemptRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["runs"] += len(runs)
	for i, one := range runs {
		for _, other := range runs[i+1:] {
			if one.Task == other.Task && (one.EndedAt.IsZero() || other.StartedAt.Before(one.EndedAt)) {
				c.failf("task %v ran twice at a time: %+v and %+v", one.Task, one, other)
			}
		}
	}
}

// checkHistory checks the changes that a majority has accepted, at the end.
func (c *checker) checkHistory(state configuration.State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	accepted := map[configuration.AppliedUpdate]bool{}
	on := uint64(0)
	for _, one := range state.Applied {
		if one.IfMatch != on {
			c.failf("version %d was accepted on %d, after %d", one.Version, one.IfMatch, on)
		}
		on = one.Version
		accepted[one] = true
	}
	for requested := range c.accepted {
		if !accepted[requested.appliedUpdate()] {
			c.failf("version %d on %d was confirmed and is lost", requested.version, requested.builtOn)
		}
	}
	for requested := range c.refused {
		if accepted[requested.appliedUpdate()] {
			c.failf("version %d on %d was refused and is in force", requested.version, requested.builtOn)
		}
	}
}

// appliedUpdate is how the history stores a change once it is accepted.
func (o change) appliedUpdate() configuration.AppliedUpdate {
	record := configuration.AppliedUpdate{Version: o.version, IfMatch: o.builtOn}
	sum := sha256.Sum256([]byte(o.body))
	copy(record.Sum[:], sum[:])
	return record
}
