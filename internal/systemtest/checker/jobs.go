package checker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stage is one stage of a job, as its client wrote it.
type stage struct {
	Resources
	Count         int             `json:"count"`
	DependsOn     []int           `json:"dependsOn"`
	GangScheduled bool            `json:"gangScheduled"`
	Requirements  json.RawMessage `json:"requirements"`
	AntiAffinity  int             `json:"antiAffinity"`
	AtLeastOnce   bool            `json:"atLeastOnce"`
	LongRunning   bool            `json:"longRunning"`
}

// labels are those that a worker must have: written as one text or as a list.
func (s stage) labels() []string {
	var one string
	if json.Unmarshal(s.Requirements, &one) == nil {
		if one == "" {
			return nil
		}
		return []string{one}
	}
	var many []string
	if json.Unmarshal(s.Requirements, &many) != nil {
		return nil
	}
	return many
}

// specification is a job's body.
type specification struct {
	Text        string  `json:"specification"`
	Stages      []stage `json:"stages"`
	Repetitions int     `json:"repetitions"`
	FirstRunMS  int64   `json:"firstRunMs"`
	IntervalMS  int64   `json:"intervalMs"`
}

func (s specification) repetitions() int { return max(1, s.Repetitions) }

// due is when a time's stages may start; the zero time for jobs without a schedule.
func (s specification) due(repetition int) time.Time {
	if s.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.FirstRunMS + int64(repetition)*s.IntervalMS)
}

// jobRecord is what clients did about one job.
type jobRecord struct {
	id           string
	path         string
	host         string
	spec         specification
	submitted    bool
	accepted     time.Time // the first answer of success; the zero time without one
	rejectedOnly bool      // each attempt to submit it was rejected
	cancelSent   time.Time
	cancelled    time.Time // the first acknowledgement of a cancel
	completed    time.Time // when it was first shown as completed
}

// task is a task's name.
type task struct {
	job                      string
	repetition, stage, index int
}

// parseTask reads ID.K.STEP.INDEX.
func parseTask(name string) (task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return task{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return task{}, false
		}
		numbers[i] = number
	}
	return task{parts[0], numbers[0], numbers[1], numbers[2]}, true
}

// first is the name of a stage's first task.
func (t task) first() task { return task{t.job, t.repetition, t.stage, 0} }

// jobID is the last part of a path.
func jobID(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

const (
	statusOK             = 200
	statusRequestTimeout = 408
	statusMultiple       = 300
	statusNotFound       = 404
	statusGone           = 410
	statusTooMany        = 429
	statusNoService      = 503
)

func success(status int) bool { return status >= statusOK && status < statusMultiple }

// rejected reports whether a status says that a job was not accepted and never runs.
func rejected(status int) bool {
	return status == statusTooMany || status == statusNoService || status == statusNotFound
}

// indexRequests reads what clients did.
func (c *checker) indexRequests() {
	for i := range c.Requests {
		request := &c.Requests[i]
		id := jobID(request.Path)
		if id == "" {
			continue
		}
		j := c.jobs[id]
		if j == nil {
			j = &jobRecord{id: id, rejectedOnly: true}
			c.jobs[id] = j
		}
		j.addRequest(request)
	}
}

func (j *jobRecord) addRequest(request *Request) {
	switch request.Method {
	case http.MethodPost:
		j.addSubmit(request)
	case http.MethodDelete:
		j.cancelSent = earlier(j.cancelSent, request.SentAt)
		if success(request.Status) {
			j.cancelled = earlier(j.cancelled, request.AnsweredAt)
		}
	case http.MethodGet:
		if request.Status == statusOK && stateOf(request) == "completed" {
			j.completed = earlier(j.completed, request.AnsweredAt)
		}
	}
}

func (j *jobRecord) addSubmit(request *Request) {
	if !j.submitted {
		_ = json.Unmarshal(request.Body, &j.spec) // of a body that cannot be read nothing may run
		j.path, j.host, j.submitted = request.Path, request.Host, true
	}
	if success(request.Status) {
		j.accepted = earlier(j.accepted, request.AnsweredAt)
	}
	if !rejected(request.Status) {
		j.rejectedOnly = false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// stateOf is the state in an answer; empty where it cannot be read.
func stateOf(request *Request) string {
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal(request.Answer, &answer) != nil {
		return ""
	}
	return answer.State
}
