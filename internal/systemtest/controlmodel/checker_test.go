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

func (j *checker) failf(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	j.violations = append(j.violations, fmt.Sprintf("at %v: %s", time.Since(j.startedAt).Round(time.Millisecond), text))
}

// newestBy is the newest version that was acknowledged by an instant. The mutex is held.
func (j *checker) newestBy(at time.Time) (newest uint64) {
	for _, one := range j.acknowledged {
		if !one.at.After(at) {
			newest = max(newest, one.version)
		}
	}
	return newest
}

// checkPut checks an operator's answer to a command.
func (j *checker) checkPut(member string, sent time.Time, requested change, status int, current uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts[fmt.Sprint("put ", status)]++
	switch status {
	case http.StatusOK:
		j.acknowledged = append(j.acknowledged, acknowledgedVersion{requested.version, time.Now()})
		j.accepted[requested] = true
		for other := range j.accepted {
			if other.builtOn == requested.builtOn && other != requested {
				j.failf("%s confirmed version %d on %d, on which version %d was built", member, requested.version, requested.builtOn, other.version)
			}
		}
	case http.StatusPreconditionFailed:
		j.refused[requested] = true
		if newest := j.newestBy(sent); current < newest {
			j.failf("%s refused a command on version %d, older than %d, which was acknowledged before the command was sent", member, current, newest)
		}
	case http.StatusServiceUnavailable:
	default:
		j.failf("%s answered %d to a command", member, status)
	}
	if j.accepted[requested] && j.refused[requested] {
		j.failf("%s: version %d on %d is both refused and confirmed", member, requested.version, requested.builtOn)
	}
}

// checkGet checks an operator's reading.
func (j *checker) checkGet(member string, sent time.Time, status int, version uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts[fmt.Sprint("get ", status)]++
	if status == http.StatusServiceUnavailable {
		return
	}
	if newest := j.newestBy(sent); version < newest {
		j.failf("%s answered version %d (status %d), though %d had been acknowledged before the request", member, version, status, newest)
	}
}

// checkFeed checks a feed that calls itself current.
func (j *checker) checkFeed(member string, sent time.Time, age time.Duration, version uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts["feed of "+member[:4]]++
	if newest := j.newestBy(sent.Add(-age)); version < newest {
		j.failf("%s marks version %d as current, though %d had been acknowledged %v before the request", member, version, newest, age)
	}
}

// recordSubmit records an accepted job.
func (j *checker) recordSubmit(id job.ID) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts["submit"]++
	j.jobs[id] = time.Now()
	j.acceptedJobs = append(j.acceptedJobs, id)
}

// newestJobs are the jobs accepted last.
func (j *checker) newestJobs(most int) []job.ID {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.acceptedJobs[max(0, len(j.acceptedJobs)-most):])
}

// checkJobReply checks a leader's answer about a job, to a reading or a cancellation.
func (j *checker) checkJobReply(member, call string, sent time.Time, id job.ID, known bool, state job.State) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts[fmt.Sprint(call, " ", known)]++
	if at, accepted := j.jobs[id]; accepted && at.Before(sent) && !known {
		j.failf("%s answers to a %s that there is no job %s, which was accepted before", member, call, id)
	}
	if !known {
		return
	}
	if before, ended := j.finals[id]; ended && before.at.Before(sent) && state != before.state {
		j.failf("%s answers to a %s that job %s is %s, and it was %s before", member, call, id, state, before.state)
	}
	if state.Final() {
		j.finals[id] = finalState{state, time.Now()}
	}
}

// recordTerm records a term, and when it ends.
func (j *checker) recordTerm(member string, term *replication.Term) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts["elections"]++
	name := termKey{member, term.Number()}
	j.terms[name] = term
	go func() {
		<-term.Ended()
		j.mutex.Lock()
		defer j.mutex.Unlock()
		j.ended[name] = time.Now()
	}()
}

// lateCommand is a command that was passed to its connection without a lease, or at the instant at which its term was given up.
type lateCommand struct {
	under termKey
	kind  cluster.Call
	at    time.Time
}

// recordCommand checks a command at the instant at which a node passes it to its connection.
func (j *checker) recordCommand(member string, kind cluster.Call, token uint64) {
	if kind == cluster.LeaseCall {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts["order "+string(kind)]++
	name := termKey{member, token}
	if term := j.terms[name]; term == nil || !term.Valid() {
		j.lateCommands = append(j.lateCommands, lateCommand{name, kind, time.Now()})
	}
}

// checkLateCommands checks them at the end, when it is known which terms were given up at that instant.
func (j *checker) checkLateCommands() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, one := range j.lateCommands {
		if j.ended[one.under] != one.at {
			j.failf("%s sent %s under token %d at %v after its lease", one.under.member, one.kind, one.under.epoch, one.at.Sub(j.startedAt))
		}
	}
}

// checkWorkerReply checks the fencing token of a command that a worker has accepted.
func (j *checker) checkWorkerReply(worker string, kind cluster.Call, token uint64, status int) {
	if status != http.StatusOK {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if kind != cluster.LeaseCall && token < j.tokens[worker] {
		j.failf("%s took %s under token %d after token %d", worker, kind, token, j.tokens[worker])
	}
	j.tokens[worker] = max(j.tokens[worker], token)
}

// checkAttempts checks all attempts at the end: a task has one at a time.
func (j *checker) checkAttempts(runs []cluster.RunRecord) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts["runs"] += len(runs)
	for i, one := range runs {
		for _, other := range runs[i+1:] {
			if one.Task == other.Task && (one.EndedAt.IsZero() || other.StartedAt.Before(one.EndedAt)) {
				j.failf("task %v ran twice at a time: %+v and %+v", one.Task, one, other)
			}
		}
	}
}

// checkHistory checks the changes that a majority has accepted, at the end.
func (j *checker) checkHistory(state configuration.State) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	taken := map[configuration.AppliedUpdate]bool{}
	on := uint64(0)
	for _, one := range state.Applied {
		if one.IfMatch != on {
			j.failf("version %d was accepted on %d, after %d", one.Version, one.IfMatch, on)
		}
		on = one.Version
		taken[one] = true
	}
	for requested := range j.accepted {
		if !taken[requested.appliedUpdate()] {
			j.failf("version %d on %d was confirmed and is lost", requested.version, requested.builtOn)
		}
	}
	for requested := range j.refused {
		if taken[requested.appliedUpdate()] {
			j.failf("version %d on %d was refused and is in force", requested.version, requested.builtOn)
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
