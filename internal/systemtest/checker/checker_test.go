package checker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var historyStart = time.Unix(1_800_000_000, 0)

// at returns the instant at the given number of seconds after the start of a history.
func at(seconds float64) time.Time {
	return historyStart.Add(time.Duration(seconds * float64(time.Second)))
}

const (
	jobName       = "00000000000000aa"
	otherJob      = "00000000000000bb"
	prefix        = "/queue/"
	newPrefix     = "/added/"
	oldPrefix     = "/dropped/"
	host          = "jobs.example"
	firstText     = `{"version":3,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/queue/","timeoutMs":3000,"service":"render","maxAttempts":2},{"name":"d","host":"jobs.example","pathPrefix":"/dropped/","timeoutMs":3000,"service":"render","maxAttempts":2}],"services":[{"name":"render"}]}`
	secondText    = `{"version":5,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/queue/","timeoutMs":3000,"service":"render","maxAttempts":2},{"name":"n","host":"jobs.example","pathPrefix":"/added/","timeoutMs":3000,"service":"render","maxAttempts":2}],"services":[{"name":"render"}]}`
	competingText = `{"version":6,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/queue/","timeoutMs":3000,"service":"render","maxAttempts":2},{"name":"x","host":"jobs.example","pathPrefix":"/rival/","timeoutMs":3000,"service":"render","maxAttempts":2}],"services":[{"name":"render"}]}`
	invalidText   = `{"version":9,"routes":[{"name":"b","host":"jobs.example","pathPrefix":"/bad/","timeoutMs":3000,"service":"nobody","maxAttempts":2}],"services":[{"name":"render"}]}`
	plainStage    = `"processors":1000,"memoryRequestMb":100`
)

var testBounds = Bounds{
	Contact: 3 * time.Second, ConfigurationApply: 2 * time.Second, RollbackSlack: 250 * time.Millisecond, Drain: 3 * time.Second,
	Cancel: 3 * time.Second, Stop: 400 * time.Millisecond, JobVisibility: 3 * time.Second, EarlyStart: 250 * time.Millisecond,
	AcknowledgementLag: time.Second, ShutdownReadSlack: 200 * time.Millisecond, ShutdownGrace: 6 * time.Second,
}

// jobBody returns the body of a request that submits a job with the given stages and further fields.
func jobBody(stages, more string) []byte {
	return fmt.Appendf(nil, `{"specification":"text","stages":[%s]%s}`, stages, more)
}

func submitRequest(id string, content []byte, seconds float64, status int) Request {
	return Request{
		Machine: "front-1", Method: "POST", Host: host, Path: prefix + id, Body: content,
		SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status,
	}
}

func statusRequest(id string, seconds float64, status int, state string) Request {
	return Request{
		Machine: "front-1", Method: "GET", Host: host, Path: prefix + id, SentAt: at(seconds), AnsweredAt: at(seconds + 0.1),
		Status: status, Answer: fmt.Appendf(nil, `{"state":%q}`, state),
	}
}

func cancelRequest(id string, seconds float64) Request {
	return Request{
		Machine: "front-1", Method: "DELETE", Host: host, Path: prefix + id, SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: 200,
	}
}

func routeRequest(path string, seconds float64, status int) Request {
	return Request{
		Machine: "front-1", Method: "GET", Host: host, Path: path, SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status,
		Answer: []byte(`{"pending":0}`),
	}
}

// finishedAttempt returns an attempt of one of the job's tasks, named REPETITION.STAGE.INDEX. Its completion is acknowledged half
// a second after its end. With to = 0 the attempt has not ended.
func finishedAttempt(name string, number uint64, worker string, from, to float64, outcome string) Attempt {
	attempt := Attempt{
		Worker: worker, Task: jobName + "." + name, Number: number, Specification: "text", Sender: "core-1",
		StartedAt: at(from), Outcome: outcome,
	}
	if to > 0 {
		attempt.EndedAt, attempt.AcknowledgedAt = at(to), at(to+0.5)
	}
	return attempt
}

func putRequest(text string, builtOn int64, seconds float64, status int) OperatorRequest {
	return OperatorRequest{
		Machine: "core-1", Method: "PUT", BuiltOn: builtOn, Body: []byte(text), SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status,
	}
}

func readRequest(text string, seconds float64, status int) OperatorRequest {
	return OperatorRequest{Machine: "core-1", Method: "GET", SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status, Answer: []byte(text)}
}

// validHistory returns a history without violations: one job of two stages, and one configuration.
func validHistory() History {
	return History{
		Bounds: testBounds,
		Core:   []string{"core-1", "core-2", "core-3"},
		Workers: []Worker{
			{ID: "s-1", Service: "render", Labels: []string{"big", "rack-1"}, Capacity: Resources{2000, 1000, 0}},
			{ID: "s-2", Service: "render", Labels: []string{"rack-2"}, Capacity: Resources{2000, 1000, 0}},
			{ID: "s-3", Service: "other", Capacity: Resources{2000, 1000, 0}},
		},
		OperatorRequests: []OperatorRequest{putRequest(firstText, 0, 1, 200), putRequest(firstText, 0, 2, 200), readRequest(firstText, 3, 200)},
		Requests: []Request{
			submitRequest(jobName, jobBody(`{"count":2,`+plainStage+`,"antiAffinity":1},{"count":1,`+plainStage+`,"dependsOn":[0]}`, ""), 10, 200),
			statusRequest(jobName, 11, 200, "running"),
			statusRequest(jobName, 30, 200, "completed"),
			routeRequest(prefix, 31, 200), routeRequest("/nothing/", 31, 404),
		},
		Attempts: []Attempt{
			finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
			finishedAttempt("0.0.1", 1, "s-2", 11, 12, "failed"),
			finishedAttempt("0.0.1", 2, "s-2", 13, 14, "done"),
			finishedAttempt("0.1.0", 1, "s-1", 15, 17, "done"),
		},
		LoadEndedAt: at(28),
		SeenUntil:   at(40),
	}
}

// replaceStages replaces the job's stages and removes its attempts and the answers about it.
func replaceStages(h *History, stages, more string) {
	h.Requests[0].Body = jobBody(stages, more)
	h.Attempts = nil
	h.LoadEndedAt = time.Time{}
	h.Requests = slices.Delete(h.Requests, 1, 3)
}

// historyCase is a change to the valid history and the rule that it violates.
type historyCase struct {
	name         string
	change       func(*History)
	violatedRule string // empty if no rule is violated
}

// runHistoryCases checks that each case violates exactly the rule that it names.
func runHistoryCases(t *testing.T, cases []historyCase) {
	for _, testCase := range cases {
		Convey(testCase.name, t, func() {
			h := validHistory()
			testCase.change(&h)
			violations := Check(h)
			if testCase.violatedRule == "" {
				So(violations, ShouldBeEmpty)
				return
			}
			So(violations, ShouldNotBeEmpty)
			for _, violation := range violations {
				So(violation.Rule, ShouldEqual, testCase.violatedRule)
				So(violation.String(), ShouldContainSubstring, violation.Subject)
			}
		})
	}
}

func addAttempts(attempts ...Attempt) func(*History) {
	return func(h *History) { h.Attempts = append(h.Attempts, attempts...) }
}

// withTasks returns a change that replaces the job's stages and attempts.
func withTasks(stages string, attempts ...Attempt) func(*History) {
	return func(h *History) {
		replaceStages(h, stages, "")
		h.Attempts = attempts
	}
}

func TestViolationsOfTaskStartRulesAreReported(t *testing.T) {
	const one = `{"count":1,` + plainStage
	const gang = `{"count":2,` + plainStage + `,"gangScheduled":true}`
	acknowledged := func(attempt Attempt, seconds float64) Attempt {
		attempt.AcknowledgedAt = time.Time{}
		if seconds > 0 {
			attempt.AcknowledgedAt = at(seconds)
		}
		return attempt
	}
	late := func(attempt Attempt) Attempt { attempt.Late = true; return attempt }
	withCheckpoint := func(attempt Attempt, checkpoint string) Attempt { attempt.Checkpoint = checkpoint; return attempt }
	runHistoryCases(t, []historyCase{
		{"A valid history violates no rule", func(*History) {}, ""},

		{"A worker that does not enforce its capacity has too many attempts", withTasks(`{"count":3,`+plainStage+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
			finishedAttempt("0.0.1", 1, "s-1", 11, 13, "done"), finishedAttempt("0.0.2", 1, "s-1", 12, 13, "done")), OverCapacity},
		{"A worker that enforces its capacity is not checked", func(h *History) {
			withTasks(`{"count":3,`+plainStage+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
				finishedAttempt("0.0.1", 1, "s-1", 11, 13, "done"), finishedAttempt("0.0.2", 1, "s-1", 12, 13, "done"))(h)
			h.Workers[0].EnforcesCapacity = true
		}, ""},
		{"Successive attempts do not exceed the capacity", withTasks(`{"count":3,`+plainStage+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
			finishedAttempt("0.0.1", 1, "s-1", 11, 13, "done"), finishedAttempt("0.0.2", 1, "s-1", 13, 14, "done")), ""},

		{"Two concurrent attempts", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 15, "lapsed"), finishedAttempt("0.0.0", 2, "s-2", 14, 16, "done")), DuplicateAttempt},
		{"Two concurrent attempts, the second by a command executed late", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 15, "lapsed"), late(finishedAttempt("0.0.0", 2, "s-2", 14, 16, "done"))), DuplicateAttempt},
		{"Two concurrent attempts, the first not ended", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 0, ""), finishedAttempt("0.0.0", 2, "s-2", 14, 16, "done")), DuplicateAttempt},
		{"Attempts of an at-least-once task may run concurrently", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 15, "stopped"), finishedAttempt("0.0.0", 2, "s-2", 14, 14.5, "done")), ""},
		{"A start after a completion that was acknowledged later", withTasks(one+`}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 20), finishedAttempt("0.0.0", 2, "s-2", 13, 14, "stopped")), DuplicateAttempt},
		{"A start after a completion that was never acknowledged", withTasks(one+`}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 0), finishedAttempt("0.0.0", 2, "s-2", 13, 14, "done")), ""},
		{"A start after a completion that was acknowledged after a lease expiry", func(h *History) {
			withTasks(one+`}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 20), finishedAttempt("0.0.0", 2, "s-2", 13, 14, "done"))(h)
			h.LeaseExpiries = []LeaseExpiry{{"s-1", at(18)}}
		}, ""},
		{"An at-least-once attempt long after the completion was acknowledged", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), finishedAttempt("0.0.0", 2, "s-2", 14, 15, "done")), DuplicateAttempt},
		{"An at-least-once attempt soon after the completion was acknowledged", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), finishedAttempt("0.0.0", 2, "s-2", 13, 15, "done")), ""},
		{"A start after the job was shown as completed", func(h *History) {
			withTasks(one+`,"atLeastOnce":true}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 0), finishedAttempt("0.0.0", 2, "s-2", 20, 0, ""))(h)
			h.Requests = append(h.Requests, statusRequest(jobName, 13, 200, "completed"))
		}, DuplicateAttempt},

		{"A job runs in a second service after its queue has moved", func(h *History) {
			moved := strings.Replace(secondText, `"pathPrefix":"/queue/","timeoutMs":3000,"service":"render"`, `"pathPrefix":"/queue/","timeoutMs":3000,"service":"other"`, 1)
			h.OperatorRequests = append(h.OperatorRequests[:2], putRequest(strings.Replace(moved, `"services":[`, `"services":[{"name":"other"},`, 1), 3, 12.5, 200))
			h.Attempts[2].Worker = "s-3"
			h.LoadEndedAt = time.Time{}
		}, DuplicateAttempt},

		{"A stage starts before the stage that it depends on is done", func(h *History) { h.Attempts[3].StartedAt = at(13.5) }, StageOrder},
		{"A stage after one member of a gang is done", withTasks(gang+`,{"count":1,`+plainStage+`,"dependsOn":[0]}`,
			finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), finishedAttempt("0.0.1", 1, "s-2", 11, 12, "broken"), finishedAttempt("0.1.0", 1, "s-1", 13, 14, "done")), ""},
		{"A stage after a gang of which no member is done", withTasks(gang+`,{"count":1,`+plainStage+`,"dependsOn":[0]}`,
			finishedAttempt("0.0.0", 1, "s-1", 11, 12, "stopped"), finishedAttempt("0.0.1", 1, "s-2", 11, 12, "stopped"), finishedAttempt("0.1.0", 1, "s-1", 13, 14, "done")), StageOrder},
		{"A repetition starts too early", func(h *History) {
			replaceStages(h, one+`}`, fmt.Sprintf(`,"repetitions":2,"firstRunMs":%d,"intervalMs":5000`, at(12).UnixMilli()))
			h.Attempts = []Attempt{finishedAttempt("0.0.0", 1, "s-1", 12, 13, "done"), finishedAttempt("1.0.0", 1, "s-1", 16, 18, "done")}
		}, StageOrder},
		{"A repetition starts less than EarlyStart before its due time", func(h *History) {
			replaceStages(h, one+`}`, fmt.Sprintf(`,"repetitions":2,"firstRunMs":%d,"intervalMs":5000`, at(12).UnixMilli()))
			h.Attempts = []Attempt{finishedAttempt("0.0.0", 1, "s-1", 12, 13, "done"), finishedAttempt("1.0.0", 1, "s-1", 16.8, 18, "done")}
		}, ""},

		{"A worker of another service", func(h *History) { h.Attempts[0].Worker = "s-3" }, Placement},
		{"A worker without the label", withTasks(one+`,"requirements":"big"}`, finishedAttempt("0.0.0", 1, "s-2", 11, 12, "done")), Placement},
		{"A worker with the label", withTasks(one+`,"requirements":["big"]}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done")), ""},
		{"Too many tasks of a stage at one worker", func(h *History) { h.Attempts[1].Worker = "s-1" }, Placement},

		{"An attempt after the last permitted attempt", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "done")), AttemptBudget},
		{"An at-least-once attempt soon after the last permitted attempt", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "done")), ""},
		{"An at-least-once attempt long after the last permitted attempt", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 16, 17, "done")), AttemptBudget},
		{"The attempts of a long-running task are not limited", withTasks(one+`,"longRunning":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "failed")), ""},
		{"Attempts that were stopped or lost their lease do not count as failed", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "lapsed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "stopped"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "done")), ""},

		{"A member ends without its gang", withTasks(gang, finishedAttempt("0.0.0", 1, "s-1", 11, 14, "alone")), Gang},
		{"A member ends without its gang during a fault", func(h *History) {
			withTasks(gang, finishedAttempt("0.0.0", 1, "s-1", 11, 14, "alone"))(h)
			h.Faults = []Fault{{Kind: WorkerFault, Machine: "s-2", From: at(12), To: at(13)}}
		}, ""},

		{"A task of no job", addAttempts(Attempt{Worker: "s-1", Task: otherJob + ".0.0.0", Number: 1, Specification: "text", StartedAt: at(11)}), Unrequested},
		{"A task index beyond the stage's count", addAttempts(finishedAttempt("0.1.1", 1, "s-2", 18, 19, "done")), Unrequested},
		{"Another specification", func(h *History) { h.Attempts[0].Specification = "other" }, Unrequested},
		{"A checkpoint that no worker reported", func(h *History) { h.Attempts[2].Checkpoint = "c1" }, Unrequested},
		{"A checkpoint of another task", func(h *History) {
			h.Attempts[2].Checkpoint = "c1"
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.0", "c1"}}
		}, Unrequested},
		{"The task's own checkpoint", func(h *History) {
			h.Attempts[2].Checkpoint = "c1"
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.1", "c1"}}
		}, ""},
		{"Members of a gang with different checkpoints", func(h *History) {
			withTasks(gang, withCheckpoint(finishedAttempt("0.0.0", 2, "s-1", 11, 14, "done"), "c1"), finishedAttempt("0.0.1", 2, "s-2", 11, 14, "done"))(h)
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.1", "c1"}}
		}, Unrequested},
		{"Members of a gang with one member's checkpoint", func(h *History) {
			withTasks(gang, withCheckpoint(finishedAttempt("0.0.0", 2, "s-1", 11, 14, "done"), "c1"), withCheckpoint(finishedAttempt("0.0.1", 2, "s-2", 11, 14, "done"), "c1"))(h)
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.1", "c1"}}
		}, ""},
		{"A start after a cancel", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 16, 17, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
		}, Unrequested},
		{"A start after a cancel that was answered 410", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 16, 17, "done"))(h)
			gone := cancelRequest(jobName, 12)
			gone.Status = 410
			h.Requests = append(h.Requests, gone)
		}, Unrequested},
		{"A start soon after a cancel", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 14, 15, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
		}, ""},
		{"An attempt long after a cancel", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 17, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
		}, Unrequested},

		{"An attempt long after a cancel beside a fault, and never in calm", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 20, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
			h.Faults = []Fault{{Machine: "core-1", From: at(12), To: at(14)}}
		}, ""},
		{"An attempt long after a cancel beside a fault, and in the calm that follows", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 21, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
			h.Faults = []Fault{{Machine: "core-1", From: at(12), To: at(14)}}
		}, Unrequested},

		{"A start of a rejected job", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"))(h)
			h.Requests[0].Status = 429
		}, RejectedJob},
		{"A start of a job whose submission may have been accepted", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"))(h)
			h.Requests[0].Status = 504
		}, ""},

		{"A start at a draining worker", func(h *History) { h.Inventories = []Inventory{{"core-2", []string{"s-1"}, at(11)}} }, DrainingWorker},
		{"A start soon after the worker began to drain", func(h *History) { h.Inventories = []Inventory{{"core-2", []string{"s-1"}, at(12.5)}} }, ""},
		{"A start at a draining worker by a machine out of contact", func(h *History) {
			h.Inventories = []Inventory{{"core-2", []string{"s-1"}, at(11)}}
			h.Faults = []Fault{{Machine: "core-1", From: at(13), To: at(14)}}
		}, ""},
	})
}

func TestViolationsOfClientAnswerRulesAreReported(t *testing.T) {
	runHistoryCases(t, []historyCase{
		{"A job is shown as completed before its last task has ended", func(h *History) { h.Requests[2].AnsweredAt = at(16) }, InconsistentState},
		{"A job is shown as completed although a task has failed", func(h *History) { h.Attempts[2].Outcome, h.Attempts = "failed", h.Attempts[:3] }, InconsistentState},
		{"An answer whose state cannot be parsed", func(h *History) { h.Requests[1].Answer = []byte("{") }, InconsistentState},
		{"An accepted job is unknown to a machine", func(h *History) {
			h.Requests = append(h.Requests, statusRequest(jobName, 26, 410, ""), statusRequest(jobName, 31, 200, "completed"))
		}, Lost},
		{"A job is unknown soon after it was accepted", func(h *History) { h.Requests = append(h.Requests, statusRequest(jobName, 11, 410, "")) }, ""},
		{"An accepted job is unknown to a machine out of contact", func(h *History) {
			h.Requests = append(h.Requests, statusRequest(jobName, 26, 410, ""), statusRequest(jobName, 31, 200, "completed"))
			h.Faults = []Fault{{Machine: "front-1", From: at(24), To: at(25)}}
		}, ""},
		{"A job is shown as failed without a failed task", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 200, "failed") }, Lost},
		{"A job is shown as failed after the last permitted attempt has failed", func(h *History) {
			h.Attempts[2].Outcome = "failed"
			h.Attempts = h.Attempts[:3]
			h.Requests[2] = statusRequest(jobName, 30, 200, "failed")
		}, ""},
		{"A job is shown as cancelled without a cancellation", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 200, "cancelled") }, Lost},
		{"An accepted job is still running at the end", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 200, "running") }, Lost},
		{"An accepted job is unknown at the end", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 410, "") }, Lost},
		{"A request aborted by a graceful shutdown", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25), Planned: true}}
			h.AbortedRequests = []AbortedRequest{{"front-1", prefix + jobName, at(20), at(21)}}
		}, Lost},
		{"A request aborted by a graceful shutdown before it was read", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25), Planned: true}}
			h.AbortedRequests = []AbortedRequest{{"front-1", prefix + jobName, at(20), at(20.1)}}
		}, ""},
		{"A request aborted by a graceful shutdown during another fault", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25), Planned: true}, {Machine: "core-1", From: at(19)}}
			h.AbortedRequests = []AbortedRequest{{"front-1", prefix + jobName, at(20), at(21)}}
		}, ""},
		{"A request aborted by a kill", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25)}}
			h.AbortedRequests = []AbortedRequest{{"front-1", prefix + jobName, at(20), at(21)}}
		}, ""},
		{"No answer about an accepted job at the end", func(h *History) { h.Requests[2].Status = 0 }, Lost},
	})
}
