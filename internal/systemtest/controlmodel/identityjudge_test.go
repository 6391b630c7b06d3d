package controlmodel

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
)

// cancelTime is the longest time from the answer to a cancellation until nothing of the job starts any more: bounds.cancel_ms.
const cancelTime = 3 * time.Second

// feedAge is how old the configuration may be by which a front answers 404: the time since its agent last confirmed it, and since the core
// acknowledged it to the agent.
const feedAge = 5 * time.Second

// pendingAge is how old a number of pending jobs may be.
const pendingAge = 10 * time.Second

// countCall is a client's question for the number of a queue's pending jobs.
type countCall struct {
	prefix             string
	sentAt, answeredAt time.Time
	status, pending    int
	lastingBefore      int // lasting jobs that had been accepted pendingAge before, and that nobody had tried to cancel when the answer came
	submitted          int // jobs of the queue of which a submission had been sent when the answer came
}

// clientCall is a client's call about a job, as the client saw it.
type clientCall struct {
	method           string
	path             string
	sentAt           time.Time
	answeredAt       time.Time // zero without an answer
	status           int       // 0 without an answer
	state            string    // in the answer to a GET
	acceptedBefore   bool      // a submission of the job had been answered with success when the call was sent
	submittedAtReply bool      // a submission of the job had been sent when the answer came
	cancelledAtReply bool      // a cancellation of the job had been sent when the answer came
}

// identityJudge judges what clients and workers see of jobs. It shares no code with the product: a job is a path, and a task belongs to the
// job whose ID its name begins with.
type identityJudge struct {
	// networkDuplicates says that a call may arrive twice. Then one copy may be executed after another was refused, so a refusal is not
	// final. TCP does not duplicate, so schedules without duplicates judge refusals.
	networkDuplicates bool

	mutex     sync.Mutex
	startedAt time.Time
	calls     []*clientCall
	counts    []*countCall
	jobs      map[string]identityJob // by path
	submitted map[string]bool        // by path: a submission was sent
	accepted  map[string]time.Time   // by path: when a submission was first answered with success
	cancelled map[string]bool        // by path: a cancellation was sent
}

func newIdentityJudge() *identityJudge {
	return &identityJudge{
		startedAt: time.Now(), jobs: map[string]identityJob{}, submitted: map[string]bool{}, accepted: map[string]time.Time{}, cancelled: map[string]bool{},
	}
}

// begin records that a call is sent.
func (j *identityJudge) begin(method string, about identityJob) *clientCall {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	call := &clientCall{method: method, path: about.path, sentAt: time.Now(), acceptedBefore: !j.accepted[about.path].IsZero()}
	j.calls = append(j.calls, call)
	j.jobs[about.path] = about
	switch method {
	case http.MethodPost:
		j.submitted[about.path] = true
	case http.MethodDelete:
		j.cancelled[about.path] = true
	}
	return call
}

// beginCount records that a queue's pending jobs are asked for.
func (j *identityJudge) beginCount(prefix string) *countCall {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	call := &countCall{prefix: prefix, sentAt: time.Now()}
	j.counts = append(j.counts, call)
	return call
}

// endCount records the answer; status 0 if none came.
func (j *identityJudge) endCount(call *countCall, status int, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if status == 0 {
		return
	}
	var content struct{ Pending int }
	_ = json.Unmarshal([]byte(body), &content) // an error's body has no number
	call.answeredAt, call.status, call.pending = time.Now(), status, content.Pending
	for path, submitted := range j.jobs {
		if submitted.prefix != call.prefix {
			continue
		}
		if j.submitted[path] {
			call.submitted++
		}
		accepted := j.accepted[path]
		if submitted.lasting && !accepted.IsZero() && accepted.Before(call.sentAt.Add(-pendingAge)) && !j.cancelled[path] {
			call.lastingBefore++
		}
	}
}

// end records the answer to a call; status 0 if none came.
func (j *identityJudge) end(call *clientCall, status int, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if status == 0 {
		return
	}
	var content struct{ State string }
	_ = json.Unmarshal([]byte(body), &content) // a state that cannot be read is empty
	call.answeredAt, call.status, call.state = time.Now(), status, content.State
	call.submittedAtReply, call.cancelledAtReply = j.submitted[call.path], j.cancelled[call.path]
	if call.method == http.MethodPost && status == http.StatusOK && j.accepted[call.path].IsZero() {
		j.accepted[call.path] = time.Now()
	}
}

// was reports whether a submission of a job was sent, was accepted, and whether a cancellation was sent.
func (j *identityJudge) was(path string) (submitted, accepted, cancelled bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.submitted[path], !j.accepted[path].IsZero(), j.cancelled[path]
}

// acceptedJobs returns the jobs that were accepted and that nobody has cancelled, in the order of their paths.
func (j *identityJudge) acceptedJobs() []identityJob {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var jobs []identityJob
	for path := range j.accepted {
		if !j.cancelled[path] {
			jobs = append(jobs, j.jobs[path])
		}
	}
	slices.SortFunc(jobs, func(a, b identityJob) int { return strings.Compare(a.path, b.path) })
	return jobs
}

// attemptsByPath returns the attempts of each job, by the ID at the end of its path.
func attemptsByPath(calls []*clientCall, attempts []cluster.AttemptRecord) map[string][]cluster.AttemptRecord {
	paths := map[string]string{}
	for _, call := range calls {
		paths[call.path[len(call.path)-idDigits:]] = call.path
	}
	byPath := map[string][]cluster.AttemptRecord{}
	for _, attempt := range attempts {
		path := paths[string(attempt.Task.Job)]
		byPath[path] = append(byPath[path], attempt)
	}
	return byPath
}

// observation is what the workers, the operator and the clock of a simulation have seen.
type observation struct {
	attempts []cluster.AttemptRecord
	services map[string]string // of the workers, by ID
	// routedThroughout reports whether each configuration that may have been in force in a period has a queue for a path.
	routedThroughout func(path string, from, to time.Time) bool
	calmSince        time.Time // when the last fault had ended
	end              time.Time
}

// judge returns the violations, each of which begins with the path of a job.
func (j *identityJudge) judge(seen observation) []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var violations []string
	report := func(path, format string, arguments ...any) {
		violations = append(violations, path+": "+fmt.Sprintf(format, arguments...))
	}
	byPath := attemptsByPath(j.calls, seen.attempts)
	for path, ofJob := range byPath {
		for _, attempt := range ofJob {
			if first, other := seen.services[ofJob[0].Worker], seen.services[attempt.Worker]; first != other {
				report(path, "runs in service %s and in service %s", first, other)
			}
		}
	}
	for _, call := range j.calls {
		j.judgeAnswer(call, report)
		if call.status == http.StatusNotFound && seen.routedThroughout(call.path, call.sentAt.Add(-feedAge), call.answeredAt) {
			report(call.path, "%s at %v is answered 404, though the path has a queue", call.method, j.since(call.answeredAt))
		}
		if call.method == http.MethodDelete {
			j.judgeCancellation(call, byPath[call.path], seen, report)
		}
	}
	for _, call := range j.counts {
		j.judgeCount(call, seen, report)
	}
	if !j.networkDuplicates {
		j.judgeRefused(byPath, report)
	}
	return violations
}

func (j *identityJudge) since(at time.Time) time.Duration {
	return at.Sub(j.startedAt).Round(time.Millisecond)
}

// judgeCount judges the answer to a question for the number of pending jobs.
func (j *identityJudge) judgeCount(call *countCall, seen observation, report func(path, format string, arguments ...any)) {
	switch call.status {
	case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	case http.StatusNotFound:
		if seen.routedThroughout(call.prefix, call.sentAt.Add(-feedAge), call.answeredAt) {
			report(call.prefix, "the number of pending jobs at %v is answered 404, though there is such a queue", j.since(call.answeredAt))
		}
	case http.StatusOK:
		if call.pending < call.lastingBefore || call.pending > call.submitted {
			report(call.prefix, "has %d pending jobs at %v, where %d run that last and %d were submitted", call.pending, j.since(call.answeredAt), call.lastingBefore, call.submitted)
		}
	default:
		report(call.prefix, "the number of pending jobs at %v is answered %d", j.since(call.answeredAt), call.status)
	}
}

// judgeAnswer judges the answer to one call by what was known when it was sent and when it came.
func (j *identityJudge) judgeAnswer(call *clientCall, report func(path, format string, arguments ...any)) {
	at := j.since(call.answeredAt)
	switch call.status {
	case 0, http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	case http.StatusGone:
		if call.acceptedBefore && !call.cancelledAtReply {
			report(call.path, "%s at %v is answered 410, though the job was accepted before and nobody has cancelled it", call.method, at)
		}
		if call.method == http.MethodPost {
			report(call.path, "a submission at %v is answered 410", at)
		}
	default:
		report(call.path, "%s at %v is answered %d", call.method, at, call.status)
	}
	if call.method == http.MethodGet && call.status == http.StatusOK && !call.submittedAtReply {
		report(call.path, "is shown as %q at %v, though nobody has submitted it", call.state, at)
	}
}

// judgeCancellation judges that nothing of a job starts after its cancellation was answered, nor still runs where no fault keeps a stop from its
// worker. A cancellation that was answered with 410 said that there is no such job, so nothing of it may ever have run.
func (j *identityJudge) judgeCancellation(call *clientCall, attempts []cluster.AttemptRecord, seen observation, report func(path, format string, arguments ...any)) {
	stopsBy := call.answeredAt
	if stopsBy.Before(seen.calmSince) {
		stopsBy = seen.calmSince
	}
	stopsBy = stopsBy.Add(cancelTime + stopTime)
	for _, attempt := range attempts {
		ranUntil := attempt.EndedAt
		if ranUntil.IsZero() {
			ranUntil = seen.end
		}
		switch {
		case call.status == http.StatusGone:
			report(call.path, "%v runs from %v, though its cancellation was answered 410 at %v", attempt.Task, j.since(attempt.StartedAt), j.since(call.answeredAt))
		case call.status == http.StatusOK && attempt.StartedAt.After(call.answeredAt.Add(cancelTime)):
			report(call.path, "%v starts at %v, though its cancellation was answered at %v", attempt.Task, j.since(attempt.StartedAt), j.since(call.answeredAt))
		case call.status == http.StatusOK && ranUntil.After(stopsBy):
			report(call.path, "%v runs until %v, though its cancellation was answered at %v", attempt.Task, j.since(ranUntil), j.since(call.answeredAt))
		}
	}
}

// judgeRefused judges that no job runs of which every submission was refused.
func (j *identityJudge) judgeRefused(byPath map[string][]cluster.AttemptRecord, report func(path, format string, arguments ...any)) {
	refused := map[string]bool{}
	for _, call := range j.calls {
		if call.method != http.MethodPost {
			continue
		}
		isRefusal := call.status == http.StatusServiceUnavailable || call.status == http.StatusNotFound || call.status == http.StatusTooManyRequests
		if earlier, found := refused[call.path]; !found || earlier {
			refused[call.path] = isRefusal
		}
	}
	for path, all := range refused {
		if all && len(byPath[path]) > 0 {
			report(path, "runs, though every submission was refused")
		}
	}
}

// history returns the calls about a job and its attempts, for the report of a violation.
func (j *identityJudge) history(path string, attempts []cluster.AttemptRecord) string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var text strings.Builder
	for _, call := range j.calls {
		if call.path == path {
			fmt.Fprintf(&text, "%s sent at %v, answered %d at %v\n", call.method, j.since(call.sentAt), call.status, j.since(call.answeredAt))
		}
	}
	for _, attempt := range attemptsByPath(j.calls, attempts)[path] {
		fmt.Fprintf(&text, "%v on %s from %v to %v: %s\n", attempt.Task, attempt.Worker, j.since(attempt.StartedAt), j.since(attempt.EndedAt), attempt.Outcome)
	}
	return text.String()
}
