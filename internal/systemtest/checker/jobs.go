package checker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stage is one stage of a job, as submitted by its client.
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

// labels returns the labels that a worker must have. In JSON they are a string or a list of strings.
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

// specification is the body of a request that submits a job.
type specification struct {
	Text        string  `json:"specification"`
	Stages      []stage `json:"stages"`
	Repetitions int     `json:"repetitions"`
	FirstRunMS  int64   `json:"firstRunMs"`
	IntervalMS  int64   `json:"intervalMs"`
}

func (s specification) repetitions() int { return max(1, s.Repetitions) }

// dueTime returns the due time of a repetition, or zero for jobs without a schedule.
func (s specification) dueTime(repetition int) time.Time {
	if s.Repetitions == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.FirstRunMS + int64(repetition)*s.IntervalMS)
}

// jobRecord summarizes the clients' requests about one job.
type jobRecord struct {
	id           string
	path         string
	host         string
	spec         specification
	submitted    bool
	acceptedAt   time.Time // first successful answer to a submission; zero without one
	rejectedOnly bool      // every submission was rejected
	cancelSentAt time.Time
	cancelledAt  time.Time // first acknowledgement of a cancellation
	completedAt  time.Time // first answer with the state completed
	service      string    // of the worker of its first attempt
}

// task identifies a task.
type task struct {
	job                      string
	repetition, stage, index int
}

// parseTask parses a task name of the form JOB.REPETITION.STAGE.INDEX.
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

// firstOfStage returns the first task of the same stage. It identifies the stage.
func (t task) firstOfStage() task { return task{t.job, t.repetition, t.stage, 0} }

// jobID returns the last segment of a path.
func jobID(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

const (
	statusOK                 = 200
	statusRequestTimeout     = 408
	statusMultipleChoices    = 300
	statusNotFound           = 404
	statusGone               = 410
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

func succeeded(status int) bool { return status >= statusOK && status < statusMultipleChoices }

// rejected reports whether a status says that a job was not accepted and never runs.
func rejected(status int) bool {
	return status == statusTooManyRequests || status == statusServiceUnavailable || status == statusNotFound
}

// indexRequests collects the clients' requests about each job.
func (c *checker) indexRequests() {
	for i := range c.Requests {
		request := &c.Requests[i]
		id := jobID(request.Path)
		if id == "" {
			continue
		}
		job := c.jobs[id]
		if job == nil {
			job = &jobRecord{id: id, rejectedOnly: true}
			c.jobs[id] = job
		}
		job.addRequest(request)
	}
}

func (j *jobRecord) addRequest(request *Request) {
	switch request.Method {
	case http.MethodPost:
		j.addSubmission(request)
	case http.MethodDelete:
		j.cancelSentAt = earlierOf(j.cancelSentAt, request.SentAt)
		if succeeded(request.Status) || request.Status == statusGone { // 410: no such job, so none may run later
			j.cancelledAt = earlierOf(j.cancelledAt, request.AnsweredAt)
		}
	case http.MethodGet:
		if request.Status == statusOK && stateOf(request) == "completed" {
			j.completedAt = earlierOf(j.completedAt, request.AnsweredAt)
		}
	}
}

func (j *jobRecord) addSubmission(request *Request) {
	if !j.submitted {
		_ = json.Unmarshal(request.Body, &j.spec) // no attempt may run for an invalid body
		j.path, j.host, j.submitted = request.Path, request.Host, true
	}
	if succeeded(request.Status) {
		j.acceptedAt = earlierOf(j.acceptedAt, request.AnsweredAt)
	}
	if !rejected(request.Status) {
		j.rejectedOnly = false
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// stateOf returns the state in an answer, or an empty string if the answer cannot be parsed.
func stateOf(request *Request) string {
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal(request.Answer, &answer) != nil {
		return ""
	}
	return answer.State
}
