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
	Note: time.Second, LossSlack: 200 * time.Millisecond, Grace: 6 * time.Second,
}

// body is a job with the given stages, and perhaps more fields.
func body(stages, more string) []byte {
	return fmt.Appendf(nil, `{"specification":"text","stages":[%s]%s}`, stages, more)
}

func submitted(id string, content []byte, seconds float64, status int) Request {
	return Request{
		Machine: "front-1", Method: "POST", Host: host, Path: prefix + id, Body: content,
		SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status,
	}
}

func asked(id string, seconds float64, status int, state string) Request {
	return Request{
		Machine: "front-1", Method: "GET", Host: host, Path: prefix + id, SentAt: at(seconds), AnsweredAt: at(seconds + 0.1),
		Status: status, Answer: fmt.Appendf(nil, `{"state":%q}`, state),
	}
}

func cancelled(id string, seconds float64) Request {
	return Request{
		Machine: "front-1", Method: "DELETE", Host: host, Path: prefix + id, SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: 200,
	}
}

func counted(path string, seconds float64, status int) Request {
	return Request{
		Machine: "front-1", Method: "GET", Host: host, Path: path, SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status,
		Answer: []byte(`{"pending":0}`),
	}
}

// ran is a run of the job's task (time.step.index) from one moment to another, noted half a second later.
func ran(name string, execution uint64, worker string, from, to float64, how string) Run {
	run := Run{
		Worker: worker, Task: jobName + "." + name, Execution: execution, Specification: "text", Sender: "core-1",
		StartedAt: at(from), How: how,
	}
	if to > 0 {
		run.EndedAt, run.NotedAt = at(to), at(to+0.5)
	}
	return run
}

func put(text string, builtOn int64, seconds float64, status int) Order {
	return Order{
		Machine: "core-1", Method: "PUT", BuiltOn: builtOn, Body: []byte(text), SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status,
	}
}

func read(text string, seconds float64, status int) Order {
	return Order{Machine: "core-1", Method: "GET", SentAt: at(seconds), AnsweredAt: at(seconds + 0.1), Status: status, Answer: []byte(text)}
}

// sound is a history that keeps all rules: one job of two steps, a change of the configuration.
func sound() History {
	return History{
		Bounds: testBounds,
		Core:   []string{"core-1", "core-2", "core-3"},
		Workers: []Worker{
			{ID: "s-1", Service: "render", Labels: []string{"big", "rack-1"}, Capacity: Resources{2000, 1000, 0}},
			{ID: "s-2", Service: "render", Labels: []string{"rack-2"}, Capacity: Resources{2000, 1000, 0}},
			{ID: "s-3", Service: "other", Capacity: Resources{2000, 1000, 0}},
		},
		Orders: []Order{put(firstText, 0, 1, 200), put(firstText, 0, 2, 200), read(firstText, 3, 200)},
		Requests: []Request{
			submitted(jobName, body(`{"count":2,`+plainStage+`,"antiAffinity":1},{"count":1,`+plainStage+`,"dependsOn":[0]}`, ""), 10, 200),
			asked(jobName, 11, 200, "running"),
			asked(jobName, 30, 200, "completed"),
			counted(prefix, 31, 200), counted("/nothing/", 31, 404),
		},
		Runs: []Run{
			ran("0.0.0", 1, "s-1", 11, 13, "done"),
			ran("0.0.1", 1, "s-2", 11, 12, "failed"),
			ran("0.0.1", 2, "s-2", 13, 14, "done"),
			ran("0.1.0", 1, "s-1", 15, 17, "done"),
		},
		EndedAt:   at(28),
		SeenUntil: at(40),
	}
}

// restage replaces the job's stages and forgets its runs.
func restage(h *History, stages, more string) {
	h.Requests[0].Body = body(stages, more)
	h.Runs = nil
	h.EndedAt = time.Time{}
	h.Requests = slices.Delete(h.Requests, 1, 3)
}

// history is a case: a change to the sound history, and the rule that it breaks.
type history struct {
	name   string
	change func(*History)
	broken string // empty where all rules are kept
}

func checkAll(t *testing.T, cases []history) {
	for _, one := range cases {
		Convey(one.name, t, func() {
			h := sound()
			one.change(&h)
			violations := Check(h)
			if one.broken == "" {
				So(violations, ShouldBeEmpty)
				return
			}
			So(violations, ShouldNotBeEmpty)
			for _, violation := range violations {
				So(violation.Rule, ShouldEqual, one.broken)
				So(violation.String(), ShouldContainSubstring, violation.Subject)
			}
		})
	}
}

func addRuns(runs ...Run) func(*History) {
	return func(h *History) { h.Runs = append(h.Runs, runs...) }
}

// tasksOf replaces the stages and the runs.
func tasksOf(stages string, runs ...Run) func(*History) {
	return func(h *History) {
		restage(h, stages, "")
		h.Runs = runs
	}
}

func TestStartsAreJudged(t *testing.T) {
	const one = `{"count":1,` + plainStage
	const gang = `{"count":2,` + plainStage + `,"gangScheduled":true}`
	noting := func(run Run, seconds float64) Run {
		run.NotedAt = time.Time{}
		if seconds > 0 {
			run.NotedAt = at(seconds)
		}
		return run
	}
	late := func(run Run) Run { run.Late = true; return run }
	with := func(run Run, checkpoint string) Run { run.Checkpoint = checkpoint; return run }
	checkAll(t, []history{
		{"A sound history breaks nothing", func(*History) {}, ""},

		{"An unguarded searcher over its capacity", tasksOf(`{"count":3,`+plainStage+`}`, ran("0.0.0", 1, "s-1", 11, 13, "done"),
			ran("0.0.1", 1, "s-1", 11, 13, "done"), ran("0.0.2", 1, "s-1", 12, 13, "done")), Limit},
		{"A guarded one is not judged", func(h *History) {
			tasksOf(`{"count":3,`+plainStage+`}`, ran("0.0.0", 1, "s-1", 11, 13, "done"),
				ran("0.0.1", 1, "s-1", 11, 13, "done"), ran("0.0.2", 1, "s-1", 12, 13, "done"))(h)
			h.Workers[0].Guards = true
		}, ""},
		{"One after the other keep to the capacity", tasksOf(`{"count":3,`+plainStage+`}`, ran("0.0.0", 1, "s-1", 11, 13, "done"),
			ran("0.0.1", 1, "s-1", 11, 13, "done"), ran("0.0.2", 1, "s-1", 13, 14, "done")), ""},

		{"Two runs at once", tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 15, "lapsed"), ran("0.0.0", 2, "s-2", 14, 16, "done")), Twice},
		{"Two runs at once, the order late", tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 15, "lapsed"), late(ran("0.0.0", 2, "s-2", 14, 16, "done"))), Twice},
		{"Two runs at once, the first not ended", tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 0, ""), ran("0.0.0", 2, "s-2", 14, 16, "done")), Twice},
		{"Copies may run at once", tasksOf(one+`,"atLeastOnce":true}`, ran("0.0.0", 1, "s-1", 11, 15, "stopped"), ran("0.0.0", 2, "s-2", 14, 14.5, "done")), ""},
		{"A start after an end that was noted later", tasksOf(one+`}`, noting(ran("0.0.0", 1, "s-1", 11, 12, "done"), 20), ran("0.0.0", 2, "s-2", 13, 14, "stopped")), Twice},
		{"A start after an end that was never noted", tasksOf(one+`}`, noting(ran("0.0.0", 1, "s-1", 11, 12, "done"), 0), ran("0.0.0", 2, "s-2", 13, 14, "done")), ""},
		{"A start after an end that was noted after a lapse", func(h *History) {
			tasksOf(one+`}`, noting(ran("0.0.0", 1, "s-1", 11, 12, "done"), 20), ran("0.0.0", 2, "s-2", 13, 14, "done"))(h)
			h.Lapses = []Lapse{{"s-1", at(18)}}
		}, ""},
		{"A copy long after the end was noted", tasksOf(one+`,"atLeastOnce":true}`, ran("0.0.0", 1, "s-1", 11, 12, "done"), ran("0.0.0", 2, "s-2", 14, 15, "done")), Twice},
		{"A copy soon after the end was noted", tasksOf(one+`,"atLeastOnce":true}`, ran("0.0.0", 1, "s-1", 11, 12, "done"), ran("0.0.0", 2, "s-2", 13, 15, "done")), ""},
		{"A start after the job was shown as completed", func(h *History) {
			tasksOf(one+`,"atLeastOnce":true}`, noting(ran("0.0.0", 1, "s-1", 11, 12, "done"), 0), ran("0.0.0", 2, "s-2", 20, 0, ""))(h)
			h.Requests = append(h.Requests, asked(jobName, 13, 200, "completed"))
		}, Twice},

		{"A step before its turn", func(h *History) { h.Runs[3].StartedAt = at(13.5) }, InOrder},
		{"A step after one member of a gang is done", tasksOf(gang+`,{"count":1,`+plainStage+`,"dependsOn":[0]}`,
			ran("0.0.0", 1, "s-1", 11, 12, "done"), ran("0.0.1", 1, "s-2", 11, 12, "broken"), ran("0.1.0", 1, "s-1", 13, 14, "done")), ""},
		{"A step after a gang of which no member is done", tasksOf(gang+`,{"count":1,`+plainStage+`,"dependsOn":[0]}`,
			ran("0.0.0", 1, "s-1", 11, 12, "stopped"), ran("0.0.1", 1, "s-2", 11, 12, "stopped"), ran("0.1.0", 1, "s-1", 13, 14, "done")), InOrder},
		{"A time too early", func(h *History) {
			restage(h, one+`}`, fmt.Sprintf(`,"repetitions":2,"firstRunMs":%d,"intervalMs":5000`, at(12).UnixMilli()))
			h.Runs = []Run{ran("0.0.0", 1, "s-1", 12, 13, "done"), ran("1.0.0", 1, "s-1", 16, 18, "done")}
		}, InOrder},
		{"A time that has come", func(h *History) {
			restage(h, one+`}`, fmt.Sprintf(`,"repetitions":2,"firstRunMs":%d,"intervalMs":5000`, at(12).UnixMilli()))
			h.Runs = []Run{ran("0.0.0", 1, "s-1", 12, 13, "done"), ran("1.0.0", 1, "s-1", 16.8, 18, "done")}
		}, ""},

		{"A searcher of another service", func(h *History) { h.Runs[0].Worker = "s-3" }, OnRoute},
		{"A searcher without the label", tasksOf(one+`,"requirements":"big"}`, ran("0.0.0", 1, "s-2", 11, 12, "done")), OnRoute},
		{"A searcher with the label", tasksOf(one+`,"requirements":["big"]}`, ran("0.0.0", 1, "s-1", 11, 12, "done")), ""},
		{"Too many tasks of a step at one searcher", func(h *History) { h.Runs[1].Worker = "s-1" }, OnRoute},

		{"A run after the last attempt", tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 12, "failed"), ran("0.0.0", 2, "s-1", 13, 14, "failed"), ran("0.0.0", 3, "s-1", 15, 16, "done")), Budget},
		{"A copy soon after the last attempt", tasksOf(one+`,"atLeastOnce":true}`, ran("0.0.0", 1, "s-1", 11, 12, "failed"), ran("0.0.0", 2, "s-1", 13, 14, "failed"), ran("0.0.0", 3, "s-1", 15, 16, "done")), ""},
		{"A copy long after the last attempt", tasksOf(one+`,"atLeastOnce":true}`, ran("0.0.0", 1, "s-1", 11, 12, "failed"), ran("0.0.0", 2, "s-1", 13, 14, "failed"), ran("0.0.0", 3, "s-1", 16, 17, "done")), Budget},
		{"A lasting task has no last attempt", tasksOf(one+`,"longRunning":true}`, ran("0.0.0", 1, "s-1", 11, 12, "failed"), ran("0.0.0", 2, "s-1", 13, 14, "failed"), ran("0.0.0", 3, "s-1", 15, 16, "failed")), ""},
		{"Ends that are no attempts", tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 12, "lapsed"), ran("0.0.0", 2, "s-1", 13, 14, "stopped"), ran("0.0.0", 3, "s-1", 15, 16, "done")), ""},

		{"A member without its gang", tasksOf(gang, ran("0.0.0", 1, "s-1", 11, 14, "alone")), Gang},
		{"A member without its gang in trouble", func(h *History) {
			tasksOf(gang, ran("0.0.0", 1, "s-1", 11, 14, "alone"))(h)
			h.Faults = []Fault{{Kind: WorkerFault, Machine: "s-2", From: at(12), To: at(13)}}
		}, ""},

		{"A task of no job", addRuns(Run{Worker: "s-1", Task: otherJob + ".0.0.0", Execution: 1, Specification: "text", StartedAt: at(11)}), Unasked},
		{"A task beyond the count", addRuns(ran("0.1.1", 1, "s-2", 18, 19, "done")), Unasked},
		{"Another specification", func(h *History) { h.Runs[0].Specification = "other" }, Unasked},
		{"A checkpoint that nobody has listed", func(h *History) { h.Runs[2].Checkpoint = "c1" }, Unasked},
		{"A checkpoint of another task", func(h *History) {
			h.Runs[2].Checkpoint = "c1"
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.0", "c1"}}
		}, Unasked},
		{"The task's own checkpoint", func(h *History) {
			h.Runs[2].Checkpoint = "c1"
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.1", "c1"}}
		}, ""},
		{"Members of a gang with different checkpoints", func(h *History) {
			tasksOf(gang, with(ran("0.0.0", 2, "s-1", 11, 14, "done"), "c1"), ran("0.0.1", 2, "s-2", 11, 14, "done"))(h)
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.1", "c1"}}
		}, Unasked},
		{"Members of a gang with one member's checkpoint", func(h *History) {
			tasksOf(gang, with(ran("0.0.0", 2, "s-1", 11, 14, "done"), "c1"), with(ran("0.0.1", 2, "s-2", 11, 14, "done"), "c1"))(h)
			h.Checkpoints = []Checkpoint{{jobName + ".0.0.1", "c1"}}
		}, ""},
		{"A start after a cancel", func(h *History) {
			tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 16, 17, "stopped"))(h)
			h.Requests = append(h.Requests, cancelled(jobName, 12))
		}, Unasked},
		{"A start soon after a cancel", func(h *History) {
			tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 14, 15, "stopped"))(h)
			h.Requests = append(h.Requests, cancelled(jobName, 12))
		}, ""},
		{"A run long after a cancel", func(h *History) {
			tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 17, "stopped"))(h)
			h.Requests = append(h.Requests, cancelled(jobName, 12))
		}, Unasked},

		{"A start although the job was rejected", func(h *History) {
			tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 12, "done"))(h)
			h.Requests[0].Status = 429
		}, Refused},
		{"A start after an unclear answer", func(h *History) {
			tasksOf(one+`}`, ran("0.0.0", 1, "s-1", 11, 12, "done"))(h)
			h.Requests[0].Status = 504
		}, ""},

		{"A start at a searcher that drains", func(h *History) { h.Lists = []List{{"core-2", []string{"s-1"}, at(11)}} }, Drained},
		{"A start soon after it began to drain", func(h *History) { h.Lists = []List{{"core-2", []string{"s-1"}, at(12.5)}} }, ""},
		{"A start by a machine out of touch", func(h *History) {
			h.Lists = []List{{"core-2", []string{"s-1"}, at(11)}}
			h.Faults = []Fault{{Machine: "core-1", From: at(13), To: at(14)}}
		}, ""},
	})
}

func TestAnswersAreJudged(t *testing.T) {
	checkAll(t, []history{
		{"Completed before the last task has ended", func(h *History) { h.Requests[2].AnsweredAt = at(16) }, Mixed},
		{"Completed although a task has failed", func(h *History) { h.Runs[2].How, h.Runs = "failed", h.Runs[:3] }, Mixed},
		{"A state that cannot be read", func(h *History) { h.Requests[1].Answer = []byte("{") }, Mixed},
		{"A job that is not known", func(h *History) {
			h.Requests = append(h.Requests, asked(jobName, 26, 410, ""), asked(jobName, 31, 200, "completed"))
		}, Lost},
		{"A job that is not known yet", func(h *History) { h.Requests = append(h.Requests, asked(jobName, 11, 410, "")) }, ""},
		{"A job that is not known at a machine out of touch", func(h *History) {
			h.Requests = append(h.Requests, asked(jobName, 26, 410, ""), asked(jobName, 31, 200, "completed"))
			h.Faults = []Fault{{Machine: "front-1", From: at(24), To: at(25)}}
		}, ""},
		{"Failed without cause", func(h *History) { h.Requests[2] = asked(jobName, 30, 200, "failed") }, Lost},
		{"Failed after the last attempt", func(h *History) {
			h.Runs[2].How = "failed"
			h.Runs = h.Runs[:3]
			h.Requests[2] = asked(jobName, 30, 200, "failed")
		}, ""},
		{"Cancelled by nobody", func(h *History) { h.Requests[2] = asked(jobName, 30, 200, "cancelled") }, Lost},
		{"Not ended at the end", func(h *History) { h.Requests[2] = asked(jobName, 30, 200, "running") }, Lost},
		{"Not known at the end", func(h *History) { h.Requests[2] = asked(jobName, 30, 410, "") }, Lost},
		{"A request cut by a stop in order", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25), Planned: true}}
			h.Cuts = []Cut{{"front-1", prefix + jobName, at(20), at(21)}}
		}, Lost},
		{"A request cut by a stop in order before it was read", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25), Planned: true}}
			h.Cuts = []Cut{{"front-1", prefix + jobName, at(20), at(20.1)}}
		}, ""},
		{"A request cut by a stop in order and by trouble", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25), Planned: true}, {Machine: "core-1", From: at(19)}}
			h.Cuts = []Cut{{"front-1", prefix + jobName, at(20), at(21)}}
		}, ""},
		{"A request cut by a kill", func(h *History) {
			h.Faults = []Fault{{Machine: "front-1", From: at(20), To: at(25)}}
			h.Cuts = []Cut{{"front-1", prefix + jobName, at(20), at(21)}}
		}, ""},
		{"No answer at the end", func(h *History) { h.Requests[2].Status = 0 }, Lost},
	})
}
