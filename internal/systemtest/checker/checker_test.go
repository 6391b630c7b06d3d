package checker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var begin = time.Unix(1_800_000_000, 0)

// at is a moment, in seconds from the beginning of a history.
func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

const (
	jobName    = "00000000000000aa"
	otherJob   = "00000000000000bb"
	prefix     = "/queue/"
	newPrefix  = "/added/"
	oldPrefix  = "/dropped/"
	host       = "jobs.example"
	firstText  = `{"version":3,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/queue/","timeoutMs":3000,"service":"render","maxAttempts":2},{"name":"d","host":"jobs.example","pathPrefix":"/dropped/","timeoutMs":3000,"service":"render","maxAttempts":2}],"services":[{"name":"render"}]}`
	secondText = `{"version":5,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/queue/","timeoutMs":3000,"service":"render","maxAttempts":2},{"name":"n","host":"jobs.example","pathPrefix":"/added/","timeoutMs":3000,"service":"render","maxAttempts":2}],"services":[{"name":"render"}]}`
	rivalText  = `{"version":6,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/queue/","timeoutMs":3000,"service":"render","maxAttempts":2},{"name":"x","host":"jobs.example","pathPrefix":"/rival/","timeoutMs":3000,"service":"render","maxAttempts":2}],"services":[{"name":"render"}]}`
	badText    = `{"version":9,"routes":[{"name":"b","host":"jobs.example","pathPrefix":"/bad/","timeoutMs":3000,"service":"nobody","maxAttempts":2}],"services":[{"name":"render"}]}`
	plainStage = `"processors":1000,"memoryRequestMb":100`
)

var testBounds = Bounds{
	Contact: 3 * time.Second, ConfigurationApply: 2 * time.Second, RollbackSlack: 250 * time.Millisecond, Drain: 3 * time.Second,
	Cancel: 3 * time.Second, Stop: 400 * time.Millisecond, Visible: 3 * time.Second, Early: 250 * time.Millisecond,
	AcknowledgeLag: time.Second, LossSlack: 200 * time.Millisecond, Grace: 6 * time.Second,
}

// body is a job with the given stages, and perhaps more fields.
func body(stages, more string) []byte {
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

// finishedAttempt is an attempt of the job's task (time.stage.index) from one moment to another, acknowledged half a second later.
func finishedAttempt(name string, execution uint64, worker string, from, to float64, how string) Attempt {
	attempt := Attempt{
		Worker: worker, Task: jobName + "." + name, Number: execution, Specification: "text", Sender: "core-1",
		StartedAt: at(from), Outcome: how,
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

// validHistory is a history that keeps all rules: one job of two stages, a change of the configuration.
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
			submitRequest(jobName, body(`{"count":2,`+plainStage+`,"antiAffinity":1},{"count":1,`+plainStage+`,"dependsOn":[0]}`, ""), 10, 200),
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
		EndedAt:   at(28),
		SeenUntil: at(40),
	}
}

// replaceStages replaces the job's stages and forgets its attempts.
func replaceStages(h *History, stages, more string) {
	h.Requests[0].Body = body(stages, more)
	h.Attempts = nil
	h.EndedAt = time.Time{}
	h.Requests = slices.Delete(h.Requests, 1, 3)
}

// historyCase is a case: a change to the valid history, and the rule that it breaks.
type historyCase struct {
	name         string
	change       func(*History)
	violatedRule string // empty where all rules are kept
}

func checkAll(t *testing.T, cases []historyCase) {
	for _, one := range cases {
		Convey(one.name, t, func() {
			h := validHistory()
			one.change(&h)
			violations := Check(h)
			if one.violatedRule == "" {
				So(violations, ShouldBeEmpty)
				return
			}
			So(violations, ShouldNotBeEmpty)
			for _, violation := range violations {
				So(violation.Rule, ShouldEqual, one.violatedRule)
				So(violation.String(), ShouldContainSubstring, violation.Subject)
			}
		})
	}
}

func addAttempts(attempts ...Attempt) func(*History) {
	return func(h *History) { h.Attempts = append(h.Attempts, attempts...) }
}

// withTasks replaces the stages and the attempts.
func withTasks(stages string, attempts ...Attempt) func(*History) {
	return func(h *History) {
		replaceStages(h, stages, "")
		h.Attempts = attempts
	}
}

func TestTaskStartRules(t *testing.T) {
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
	checkAll(t, []historyCase{
		{"A valid history breaks no rule", func(*History) {}, ""},

		{"An unguarded worker over its capacity", withTasks(`{"count":3,`+plainStage+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
			finishedAttempt("0.0.1", 1, "s-1", 11, 13, "done"), finishedAttempt("0.0.2", 1, "s-1", 12, 13, "done")), OverCapacity},
		{"A guarded one is not checked", func(h *History) {
			withTasks(`{"count":3,`+plainStage+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
				finishedAttempt("0.0.1", 1, "s-1", 11, 13, "done"), finishedAttempt("0.0.2", 1, "s-1", 12, 13, "done"))(h)
			h.Workers[0].Guards = true
		}, ""},
		{"One after the other keep to the capacity", withTasks(`{"count":3,`+plainStage+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 13, "done"),
			finishedAttempt("0.0.1", 1, "s-1", 11, 13, "done"), finishedAttempt("0.0.2", 1, "s-1", 13, 14, "done")), ""},

		{"Two concurrent attempts", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 15, "lapsed"), finishedAttempt("0.0.0", 2, "s-2", 14, 16, "done")), DuplicateAttempt},
		{"Two concurrent attempts, the command late", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 15, "lapsed"), late(finishedAttempt("0.0.0", 2, "s-2", 14, 16, "done"))), DuplicateAttempt},
		{"Two concurrent attempts, the first not ended", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 0, ""), finishedAttempt("0.0.0", 2, "s-2", 14, 16, "done")), DuplicateAttempt},
		{"Attempts of an at-least-once task may run concurrently", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 15, "stopped"), finishedAttempt("0.0.0", 2, "s-2", 14, 14.5, "done")), ""},
		{"A start after an end that was acknowledged later", withTasks(one+`}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 20), finishedAttempt("0.0.0", 2, "s-2", 13, 14, "stopped")), DuplicateAttempt},
		{"A start after an end that was never acknowledged", withTasks(one+`}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 0), finishedAttempt("0.0.0", 2, "s-2", 13, 14, "done")), ""},
		{"A start after an end that was acknowledged after a lease expiry", func(h *History) {
			withTasks(one+`}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 20), finishedAttempt("0.0.0", 2, "s-2", 13, 14, "done"))(h)
			h.LeaseExpiries = []LeaseExpiry{{"s-1", at(18)}}
		}, ""},
		{"An at-least-once attempt long after the end was acknowledged", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), finishedAttempt("0.0.0", 2, "s-2", 14, 15, "done")), DuplicateAttempt},
		{"An at-least-once attempt soon after the end was acknowledged", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), finishedAttempt("0.0.0", 2, "s-2", 13, 15, "done")), ""},
		{"A start after the job was shown as completed", func(h *History) {
			withTasks(one+`,"atLeastOnce":true}`, acknowledged(finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), 0), finishedAttempt("0.0.0", 2, "s-2", 20, 0, ""))(h)
			h.Requests = append(h.Requests, statusRequest(jobName, 13, 200, "completed"))
		}, DuplicateAttempt},

		{"A stage before its turn", func(h *History) { h.Attempts[3].StartedAt = at(13.5) }, StageOrder},
		{"A stage after one member of a gang is done", withTasks(gang+`,{"count":1,`+plainStage+`,"dependsOn":[0]}`,
			finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"), finishedAttempt("0.0.1", 1, "s-2", 11, 12, "broken"), finishedAttempt("0.1.0", 1, "s-1", 13, 14, "done")), ""},
		{"A stage after a gang of which no member is done", withTasks(gang+`,{"count":1,`+plainStage+`,"dependsOn":[0]}`,
			finishedAttempt("0.0.0", 1, "s-1", 11, 12, "stopped"), finishedAttempt("0.0.1", 1, "s-2", 11, 12, "stopped"), finishedAttempt("0.1.0", 1, "s-1", 13, 14, "done")), StageOrder},
		{"A time too early", func(h *History) {
			replaceStages(h, one+`}`, fmt.Sprintf(`,"repetitions":2,"firstRunMs":%d,"intervalMs":5000`, at(12).UnixMilli()))
			h.Attempts = []Attempt{finishedAttempt("0.0.0", 1, "s-1", 12, 13, "done"), finishedAttempt("1.0.0", 1, "s-1", 16, 18, "done")}
		}, StageOrder},
		{"A time that has come", func(h *History) {
			replaceStages(h, one+`}`, fmt.Sprintf(`,"repetitions":2,"firstRunMs":%d,"intervalMs":5000`, at(12).UnixMilli()))
			h.Attempts = []Attempt{finishedAttempt("0.0.0", 1, "s-1", 12, 13, "done"), finishedAttempt("1.0.0", 1, "s-1", 16.8, 18, "done")}
		}, ""},

		{"A worker of another service", func(h *History) { h.Attempts[0].Worker = "s-3" }, Placement},
		{"A worker without the label", withTasks(one+`,"requirements":"big"}`, finishedAttempt("0.0.0", 1, "s-2", 11, 12, "done")), Placement},
		{"A worker with the label", withTasks(one+`,"requirements":["big"]}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done")), ""},
		{"Too many tasks of a stage at one worker", func(h *History) { h.Attempts[1].Worker = "s-1" }, Placement},

		{"An attempt after the last attempt", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "done")), AttemptBudget},
		{"An at-least-once attempt soon after the last attempt", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "done")), ""},
		{"An at-least-once attempt long after the last attempt", withTasks(one+`,"atLeastOnce":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 16, 17, "done")), AttemptBudget},
		{"A lasting task has no last attempt", withTasks(one+`,"longRunning":true}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "failed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "failed"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "failed")), ""},
		{"Ends that are no attempts", withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "lapsed"), finishedAttempt("0.0.0", 2, "s-1", 13, 14, "stopped"), finishedAttempt("0.0.0", 3, "s-1", 15, 16, "done")), ""},

		{"A member without its gang", withTasks(gang, finishedAttempt("0.0.0", 1, "s-1", 11, 14, "alone")), Gang},
		{"A member without its gang during a fault", func(h *History) {
			withTasks(gang, finishedAttempt("0.0.0", 1, "s-1", 11, 14, "alone"))(h)
			h.Faults = []Fault{{Kind: WorkerFault, Machine: "s-2", From: at(12), To: at(13)}}
		}, ""},

		{"A task of no job", addAttempts(Attempt{Worker: "s-1", Task: otherJob + ".0.0.0", Number: 1, Specification: "text", StartedAt: at(11)}), Unrequested},
		{"A task beyond the count", addAttempts(finishedAttempt("0.1.1", 1, "s-2", 18, 19, "done")), Unrequested},
		{"Another specification", func(h *History) { h.Attempts[0].Specification = "other" }, Unrequested},
		{"A checkpoint that nobody has listed", func(h *History) { h.Attempts[2].Checkpoint = "c1" }, Unrequested},
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
		{"A start soon after a cancel", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 14, 15, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
		}, ""},
		{"An attempt long after a cancel", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 17, "stopped"))(h)
			h.Requests = append(h.Requests, cancelRequest(jobName, 12))
		}, Unrequested},

		{"A start although the job was rejected", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"))(h)
			h.Requests[0].Status = 429
		}, RejectedJob},
		{"A start after an unclear answer", func(h *History) {
			withTasks(one+`}`, finishedAttempt("0.0.0", 1, "s-1", 11, 12, "done"))(h)
			h.Requests[0].Status = 504
		}, ""},

		{"A start at a worker that drains", func(h *History) { h.Inventories = []Inventory{{"core-2", []string{"s-1"}, at(11)}} }, DrainingWorker},
		{"A start soon after it began to drain", func(h *History) { h.Inventories = []Inventory{{"core-2", []string{"s-1"}, at(12.5)}} }, ""},
		{"A start by a machine out of contact", func(h *History) {
			h.Inventories = []Inventory{{"core-2", []string{"s-1"}, at(11)}}
			h.Faults = []Fault{{Machine: "core-1", From: at(13), To: at(14)}}
		}, ""},
	})
}

func TestClientAnswerRules(t *testing.T) {
	checkAll(t, []historyCase{
		{"Completed before the last task has ended", func(h *History) { h.Requests[2].AnsweredAt = at(16) }, InconsistentState},
		{"Completed although a task has failed", func(h *History) { h.Attempts[2].Outcome, h.Attempts = "failed", h.Attempts[:3] }, InconsistentState},
		{"A state that cannot be read", func(h *History) { h.Requests[1].Answer = []byte("{") }, InconsistentState},
		{"A job that is not known", func(h *History) {
			h.Requests = append(h.Requests, statusRequest(jobName, 26, 410, ""), statusRequest(jobName, 31, 200, "completed"))
		}, Lost},
		{"A job that is not known yet", func(h *History) { h.Requests = append(h.Requests, statusRequest(jobName, 11, 410, "")) }, ""},
		{"A job that is not known at a machine out of contact", func(h *History) {
			h.Requests = append(h.Requests, statusRequest(jobName, 26, 410, ""), statusRequest(jobName, 31, 200, "completed"))
			h.Faults = []Fault{{Machine: "front-1", From: at(24), To: at(25)}}
		}, ""},
		{"Failed without cause", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 200, "failed") }, Lost},
		{"Failed after the last attempt", func(h *History) {
			h.Attempts[2].Outcome = "failed"
			h.Attempts = h.Attempts[:3]
			h.Requests[2] = statusRequest(jobName, 30, 200, "failed")
		}, ""},
		{"Cancelled by nobody", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 200, "cancelled") }, Lost},
		{"Not ended at the end", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 200, "running") }, Lost},
		{"Not known at the end", func(h *History) { h.Requests[2] = statusRequest(jobName, 30, 410, "") }, Lost},
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
		{"No answer at the end", func(h *History) { h.Requests[2].Status = 0 }, Lost},
	})
}
