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

// slack covers the ways and the gathering of changes between a check and its answer's arrival.
const slack = 100 * time.Millisecond

const (
	// feedAge is how old the configuration may be that a core node calls current.
	feedAge = configuration.FreshAge + slack
	// agentAge is the same for an agent: the core node's answer takes 1.3 s at the most, and counts for 1.5 s.
	agentAge = feedAge + 1300*time.Millisecond + 1500*time.Millisecond
)

// order is a change that an operator wants.
type order struct {
	version, builtOn uint64
	body             string
}

// leadership names a term.
type leadership struct {
	member string
	epoch  uint64
}

// judge knows what was promised to whom, and notes what breaks it. Its moments are those of the callers, who know least.
type judge struct {
	mutex    sync.Mutex
	begin    time.Time
	broken   []string
	versions []moment // acknowledged, in the order of the acknowledgements
	accepted map[order]bool
	refused  map[order]bool
	jobs     map[job.ID]time.Time // acknowledged at
	order    []job.ID             // the same, by that
	finals   map[job.ID]final
	terms    map[leadership]*replication.Term
	ended    map[leadership]time.Time
	late     []lateOrder
	tokens   map[string]uint64 // the highest that a worker has taken
	seen     map[string]int    // what was judged, by kind
}

type moment struct {
	version uint64
	at      time.Time
}

type final struct {
	state job.State
	at    time.Time
}

func newJudge() *judge {
	return &judge{
		begin: time.Now(), accepted: map[order]bool{}, refused: map[order]bool{}, jobs: map[job.ID]time.Time{},
		finals: map[job.ID]final{}, terms: map[leadership]*replication.Term{}, ended: map[leadership]time.Time{}, tokens: map[string]uint64{}, seen: map[string]int{},
	}
}

func (j *judge) failf(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	j.broken = append(j.broken, fmt.Sprintf("at %v: %s", time.Since(j.begin).Round(time.Millisecond), text))
}

// newestBy is the newest version that was acknowledged by a moment. The mutex is held.
func (j *judge) newestBy(at time.Time) (newest uint64) {
	for _, one := range j.versions {
		if !one.at.After(at) {
			newest = max(newest, one.version)
		}
	}
	return newest
}

// put judges an operator's answer to an order.
func (j *judge) put(member string, sent time.Time, asked order, status int, current uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen[fmt.Sprint("put ", status)]++
	switch status {
	case http.StatusOK:
		j.versions = append(j.versions, moment{asked.version, time.Now()})
		j.accepted[asked] = true
		for other := range j.accepted {
			if other.builtOn == asked.builtOn && other != asked {
				j.failf("%s confirmed version %d on %d, on which version %d was built", member, asked.version, asked.builtOn, other.version)
			}
		}
	case http.StatusPreconditionFailed:
		j.refused[asked] = true
		if newest := j.newestBy(sent); current < newest {
			j.failf("%s refused an order on version %d, older than %d, which was acknowledged before the order was sent", member, current, newest)
		}
	case http.StatusServiceUnavailable:
	default:
		j.failf("%s answered %d to an order", member, status)
	}
	if j.accepted[asked] && j.refused[asked] {
		j.failf("%s: version %d on %d is both refused and confirmed", member, asked.version, asked.builtOn)
	}
}

// get judges an operator's reading.
func (j *judge) get(member string, sent time.Time, status int, version uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen[fmt.Sprint("get ", status)]++
	if status == http.StatusServiceUnavailable {
		return
	}
	if newest := j.newestBy(sent); version < newest {
		j.failf("%s told version %d (status %d), though %d had been acknowledged before it was asked", member, version, status, newest)
	}
}

// fed judges a feed that calls itself current.
func (j *judge) fed(member string, sent time.Time, age time.Duration, version uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen["feed of "+member[:4]]++
	if newest := j.newestBy(sent.Add(-age)); version < newest {
		j.failf("%s calls version %d current, though %d had been acknowledged %v before it was asked", member, version, newest, age)
	}
}

// submitted notes an accepted job.
func (j *judge) submitted(id job.ID) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen["submit"]++
	j.jobs[id] = time.Now()
	j.order = append(j.order, id)
}

// newestJobs are the jobs accepted last.
func (j *judge) newestJobs(most int) []job.ID {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.order[max(0, len(j.order)-most):])
}

// told judges a leader's answer about a job, to a reading or a cancellation.
func (j *judge) told(member, call string, sent time.Time, id job.ID, known bool, state job.State) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen[fmt.Sprint(call, " ", known)]++
	if at, accepted := j.jobs[id]; accepted && at.Before(sent) && !known {
		j.failf("%s says to a %s that there is no job %s, which was accepted before", member, call, id)
	}
	if !known {
		return
	}
	if before, ended := j.finals[id]; ended && before.at.Before(sent) && state != before.state {
		j.failf("%s says to a %s that job %s is %s, and it was %s before", member, call, id, state, before.state)
	}
	if state.Final() {
		j.finals[id] = final{state, time.Now()}
	}
}

// elected notes a term, and when it ends.
func (j *judge) elected(member string, term *replication.Term) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen["elections"]++
	name := leadership{member, term.Number()}
	j.terms[name] = term
	go func() {
		<-term.Ended()
		j.mutex.Lock()
		defer j.mutex.Unlock()
		j.ended[name] = time.Now()
	}()
}

// lateOrder is an order that was handed to its connection without a lease, or at the moment at which its term was given up.
type lateOrder struct {
	under leadership
	kind  cluster.Call
	at    time.Time
}

// sending looks at an order at the moment at which a node hands it to its connection.
func (j *judge) sending(member string, kind cluster.Call, token uint64) {
	if kind == cluster.HoldCall {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen["order "+string(kind)]++
	name := leadership{member, token}
	if term := j.terms[name]; term == nil || !term.Valid() {
		j.late = append(j.late, lateOrder{name, kind, time.Now()})
	}
}

// lateOrders judges them at the end, when it is known which terms were given up at the very moment.
func (j *judge) lateOrders() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, one := range j.late {
		if j.ended[one.under] != one.at {
			j.failf("%s sent %s under token %d at %v after its lease", one.under.member, one.kind, one.under.epoch, one.at.Sub(j.begin))
		}
	}
}

// answered judges what a worker has taken.
func (j *judge) answered(worker string, kind cluster.Call, token uint64, status int) {
	if status != http.StatusOK {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if kind != cluster.HoldCall && token < j.tokens[worker] {
		j.failf("%s took %s under token %d after token %d", worker, kind, token, j.tokens[worker])
	}
	j.tokens[worker] = max(j.tokens[worker], token)
}

// ran judges all runs at the end: one of a task at a time.
func (j *judge) ran(runs []cluster.RunRecord) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.seen["runs"] += len(runs)
	for i, one := range runs {
		for _, other := range runs[i+1:] {
			if one.Task == other.Task && (one.EndedAt.IsZero() || other.StartedAt.Before(one.EndedAt)) {
				j.failf("task %v ran twice at a time: %+v and %+v", one.Task, one, other)
			}
		}
	}
}

// history judges the changes that a majority has taken, at the end.
func (j *judge) history(state configuration.State) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	taken := map[configuration.AppliedUpdate]bool{}
	on := uint64(0)
	for _, one := range state.Applied {
		if one.IfMatch != on {
			j.failf("version %d was taken on %d, after %d", one.Version, one.IfMatch, on)
		}
		on = one.Version
		taken[one] = true
	}
	for asked := range j.accepted {
		if !taken[asked.record()] {
			j.failf("version %d on %d was confirmed and is lost", asked.version, asked.builtOn)
		}
	}
	for asked := range j.refused {
		if taken[asked.record()] {
			j.failf("version %d on %d was refused and is in force", asked.version, asked.builtOn)
		}
	}
}

// record is how a change is remembered once it is taken.
func (o order) record() configuration.AppliedUpdate {
	record := configuration.AppliedUpdate{Version: o.version, IfMatch: o.builtOn}
	sum := sha256.Sum256([]byte(o.body))
	copy(record.Sum[:], sum[:])
	return record
}
