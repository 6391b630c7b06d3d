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

// checkSlack covers the transfer of an answer and the batching of changes between a check of freshness and the answer's arrival.
const checkSlack = 100 * time.Millisecond

const (
	// maxFeedAge is the largest age of a configuration that a coordinator marks as current.
	maxFeedAge = configuration.MaxFreshAge + checkSlack
	// maxAgentFeedAge is the same for an agent. The coordinator's answer takes at most 1.3 s, and the agent relies on it for 1.5 s.
	maxAgentFeedAge = maxFeedAge + 1300*time.Millisecond + 1500*time.Millisecond
)

// change is a configuration that an operator sends on top of version builtOn.
type change struct {
	version, builtOn uint64
	body             string
}

// termKey identifies a term.
type termKey struct {
	member string
	number uint64
}

// checker records the answers to the actors, and the violations. It records the times at which the callers sent requests and
// received answers: an answer is checked only against what was acknowledged before its request was sent.
type checker struct {
	mutex         sync.Mutex
	startedAt     time.Time
	violations    []string
	acknowledged  []acknowledgedVersion // in the order of acknowledgement
	accepted      map[change]bool
	rejected      map[change]bool
	acceptedAt    map[job.ID]time.Time // time of the acknowledgement
	acceptedJobs  []job.ID             // in the order of acknowledgement
	finalStates   map[job.ID]finalState
	terms         map[termKey]*replication.Term
	termEnds      map[termKey]time.Time
	lateCommands  []lateCommand
	highestTokens map[string]uint64 // highest fencing token that each worker has accepted
	checkCounts   map[string]int    // number of checks by kind
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
		startedAt: time.Now(), accepted: map[change]bool{}, rejected: map[change]bool{}, acceptedAt: map[job.ID]time.Time{},
		finalStates: map[job.ID]finalState{}, terms: map[termKey]*replication.Term{}, termEnds: map[termKey]time.Time{}, highestTokens: map[string]uint64{}, checkCounts: map[string]int{},
	}
}

func (c *checker) failf(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, fmt.Sprintf("at %v: %s", time.Since(c.startedAt).Round(time.Millisecond), text))
}

// newestAcknowledgedBy returns the newest version that was acknowledged by an instant. The caller holds the mutex.
func (c *checker) newestAcknowledgedBy(at time.Time) (newest uint64) {
	for _, acknowledged := range c.acknowledged {
		if !acknowledged.at.After(at) {
			newest = max(newest, acknowledged.version)
		}
	}
	return newest
}

// checkPut checks the answer to an operator's change of the configuration.
func (c *checker) checkPut(member string, sent time.Time, requested change, status int, current uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts[fmt.Sprint("put ", status)]++
	switch status {
	case http.StatusOK:
		c.acknowledged = append(c.acknowledged, acknowledgedVersion{requested.version, time.Now()})
		c.accepted[requested] = true
		for other := range c.accepted {
			if other.builtOn == requested.builtOn && other != requested {
				c.failf("%s accepted version %d on top of version %d, although version %d had been accepted on top of it", member, requested.version, requested.builtOn, other.version)
			}
		}
	case http.StatusPreconditionFailed:
		c.rejected[requested] = true
		if newest := c.newestAcknowledgedBy(sent); current < newest {
			c.failf("%s rejected a change and named current version %d, although version %d had been acknowledged before the request", member, current, newest)
		}
	case http.StatusServiceUnavailable:
	default:
		c.failf("%s answered a change with status %d", member, status)
	}
	if c.accepted[requested] && c.rejected[requested] {
		c.failf("%s: version %d on top of version %d was both rejected and accepted", member, requested.version, requested.builtOn)
	}
}

// checkGet checks the answer to an operator's read of the configuration.
func (c *checker) checkGet(member string, sent time.Time, status int, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts[fmt.Sprint("get ", status)]++
	if status == http.StatusServiceUnavailable {
		return
	}
	if newest := c.newestAcknowledgedBy(sent); version < newest {
		c.failf("%s answered version %d (status %d), although version %d had been acknowledged before the request", member, version, status, newest)
	}
}

// checkFeed checks a feed that is marked as current.
func (c *checker) checkFeed(member string, sent time.Time, age time.Duration, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts["feed of "+member[:4]]++
	if newest := c.newestAcknowledgedBy(sent.Add(-age)); version < newest {
		c.failf("%s marks version %d as current, although version %d had been acknowledged %v before the request", member, version, newest, age)
	}
}

// recordSubmit records an accepted job.
func (c *checker) recordSubmit(id job.ID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts["submit"]++
	c.acceptedAt[id] = time.Now()
	c.acceptedJobs = append(c.acceptedJobs, id)
}

// newestJobs returns the jobs that were accepted last, at most the given number.
func (c *checker) newestJobs(most int) []job.ID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.acceptedJobs[max(0, len(c.acceptedJobs)-most):])
}

// checkJobReply checks a leader's answer to a status request or a cancellation of a job.
func (c *checker) checkJobReply(member, call string, sent time.Time, id job.ID, known bool, state job.State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts[fmt.Sprint(call, " ", known)]++
	if at, accepted := c.acceptedAt[id]; accepted && at.Before(sent) && !known {
		c.failf("%s answers to a %s that job %s is unknown, although it was accepted before the request", member, call, id)
	}
	if !known {
		return
	}
	if before, ended := c.finalStates[id]; ended && before.at.Before(sent) && state != before.state {
		c.failf("%s answers to a %s that job %s is %s, although it was %s before the request", member, call, id, state, before.state)
	}
	if state.Final() {
		c.finalStates[id] = finalState{state, time.Now()}
	}
}

// recordTerm records a term, and the time of its end once it ends.
func (c *checker) recordTerm(member string, term *replication.Term) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts["elections"]++
	name := termKey{member, term.Number()}
	c.terms[name] = term
	go func() {
		<-term.Ended()
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.termEnds[name] = time.Now()
	}()
}

// lateCommand is a command that a node sent without a valid term. It is a violation unless the term ended at that same instant.
type lateCommand struct {
	term termKey
	kind cluster.CallKind
	at   time.Time
}

// recordCommand records a command that a node passes to a connection, if the node's term is not valid at that instant. Polls are
// not checked.
func (c *checker) recordCommand(member string, kind cluster.CallKind, token uint64) {
	if kind == cluster.LeaseCall {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts["command "+string(kind)]++
	name := termKey{member, token}
	if term := c.terms[name]; term == nil || !term.Valid() {
		c.lateCommands = append(c.lateCommands, lateCommand{name, kind, time.Now()})
	}
}

// checkLateCommands checks the late commands at the end, when the ends of their terms are known.
func (c *checker) checkLateCommands() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, command := range c.lateCommands {
		if c.termEnds[command.term] != command.at {
			c.failf("%s sent %s with fencing token %d at %v, after the end of its lease", command.term.member, command.kind, command.term.number, command.at.Sub(c.startedAt))
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
	if kind != cluster.LeaseCall && token < c.highestTokens[worker] {
		c.failf("%s accepted %s with fencing token %d after token %d", worker, kind, token, c.highestTokens[worker])
	}
	c.highestTokens[worker] = max(c.highestTokens[worker], token)
}

// checkAttempts checks that no two attempts of a task ran at the same time.
func (c *checker) checkAttempts(attempts []cluster.AttemptRecord) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkCounts["runs"] += len(attempts)
	for i, attempt := range attempts {
		for _, other := range attempts[i+1:] {
			if attempt.Task == other.Task && (attempt.EndedAt.IsZero() || other.StartedAt.Before(attempt.EndedAt)) {
				c.failf("task %v has two concurrent attempts: %+v and %+v", attempt.Task, attempt, other)
			}
		}
	}
}

// checkHistory checks the final history of accepted configurations, read from a majority, against the answers to operators.
func (c *checker) checkHistory(state configuration.State) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	accepted := map[configuration.AppliedUpdate]bool{}
	expectedBase := uint64(0)
	for _, update := range state.Applied {
		if update.IfMatch != expectedBase {
			c.failf("version %d was accepted on top of version %d, but follows version %d", update.Version, update.IfMatch, expectedBase)
		}
		expectedBase = update.Version
		accepted[update] = true
	}
	for requested := range c.accepted {
		if !accepted[requested.appliedUpdate()] {
			c.failf("version %d on top of version %d was accepted and is lost", requested.version, requested.builtOn)
		}
	}
	for requested := range c.rejected {
		if accepted[requested.appliedUpdate()] {
			c.failf("version %d on top of version %d was rejected and is in the history", requested.version, requested.builtOn)
		}
	}
}

// appliedUpdate returns the record of an accepted change in the history.
func (o change) appliedUpdate() configuration.AppliedUpdate {
	record := configuration.AppliedUpdate{Version: o.version, IfMatch: o.builtOn}
	sum := sha256.Sum256([]byte(o.body))
	copy(record.Sum[:], sum[:])
	return record
}
