package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	attemptTimeout  = 2 * time.Second
	submitTimeout   = 20 * time.Second // for a job to be accepted
	retryInterval   = 150 * time.Millisecond
	pollingInterval = 400 * time.Millisecond
	host            = "jobs.example"
)

// services are those of the configuration.
var services = []string{"pricing", "stress"}

const configurationText = `{"version":1,"routes":[
{"name":"pricing","host":"jobs.example","pathPrefix":"/pricing/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":500,"priority":0,"service":"pricing","maxAttempts":3,"extension":2},
{"name":"stress","host":"jobs.example","pathPrefix":"/stress/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"stress","maxAttempts":3,"extension":2}],
"services":[
{"name":"pricing","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","guards":true},
{"name":"stress","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","guards":true}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// jobKinds are the kinds of jobs handed in, by service.
var jobKinds = map[string][]job.Specification{
	"pricing": {
		{Text: "quick", Stages: []job.Stage{{Count: 2, Resources: job.Resources{Processors: 1000, MemoryMB: 256}, EstimatedDurationMS: 250}}},
		{Text: "chain", Stages: []job.Stage{
			{Count: 3, Resources: job.Resources{Processors: 1500, MemoryMB: 512}, EstimatedDurationMS: 300},
			{Count: 4, Resources: job.Resources{Processors: 1500, MemoryMB: 512}, EstimatedDurationMS: 300, DependsOn: []int{0}},
			{Count: 1, Resources: job.Resources{Processors: 500, MemoryMB: 256}, EstimatedDurationMS: 150, DependsOn: []int{1}},
		}},
	},
	"stress": {
		{Text: "gang", Stages: []job.Stage{{Count: 3, GangScheduled: true, Resources: job.Resources{Processors: 2000, MemoryMB: 1024, Accelerators: 1}, EstimatedDurationMS: 700}}},
		{Text: "long", Stages: []job.Stage{{Count: 2, Checkpoints: true, Resources: job.Resources{Processors: 2000, MemoryMB: 1024}, EstimatedDurationMS: 2500}}},
	},
}

// submission is one job from its client's side.
type submission struct {
	id            job.ID
	service       string
	specification *job.Specification
	accepted      bool
	refused       bool // no try was taken, and it never runs
	state         job.State
}

// load hands jobs in and asks for their states until they have ended.
type load struct {
	http    *http.Client
	targets []string // front addresses
	clients sync.WaitGroup

	mutex sync.Mutex
	jobs  map[job.ID]*submission
}

func newLoad(client *http.Client) *load {
	return &load{http: client, jobs: make(map[job.ID]*submission)}
}

// profile tells a stand-in worker what a task needs and does.
func (l *load) profile(task job.TaskID, _ string) cluster.Profile {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	handed := l.jobs[task.Job]
	if handed == nil || task.Stage >= len(handed.specification.Stages) {
		return cluster.Profile{}
	}
	stage := handed.specification.Stages[task.Stage]
	profile := cluster.Profile{
		Resources: stage.Resources, Duration: time.Duration(stage.EstimatedDurationMS) * time.Millisecond, WritesCheckpoints: stage.Checkpoints,
	}
	if stage.GangScheduled {
		profile.GangSize = stage.Count
	}
	return profile
}

// run hands jobs in until loading ends. Their clients go on until their jobs have ended, or until life ends.
func (l *load) run(loading, life context.Context, jobsPerSecond float64) {
	interval := time.Duration(float64(time.Second) / jobsPerSecond)
	for wait(loading, interval) {
		service := pick(services)
		specification := pick(jobKinds[service])
		handed := &submission{id: job.ID(fmt.Sprintf("%016x", rand.Uint64())), service: service, specification: &specification}
		l.mutex.Lock()
		l.jobs[handed.id] = handed
		l.mutex.Unlock()
		l.clients.Go(func() { l.follow(life, handed) })
	}
}

// wait waits until all jobs have ended, and tells whether they did in time.
func (l *load) wait(ctx context.Context, limit time.Duration) bool {
	ended := make(chan struct{})
	go func() { l.clients.Wait(); close(ended) }()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// follow hands a job in and asks for its state until it is final.
func (l *load) follow(ctx context.Context, handed *submission) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout+completionTimeout)
	defer cancel()
	if !l.submit(ctx, handed) {
		return
	}
	for wait(ctx, pollingInterval) {
		state := l.pollState(ctx, handed)
		l.mutex.Lock()
		if state != "" {
			handed.state = state
		}
		l.mutex.Unlock()
		if state.Final() {
			return
		}
	}
}

// submit hands a job in, at any front, until it is accepted. The same ID remains one job.
func (l *load) submit(ctx context.Context, handed *submission) bool {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	body, err := json.Marshal(handed.specification)
	if err != nil {
		return false
	}
	unclear := false
	for {
		status, _ := l.call(ctx, http.MethodPost, handed, body)
		if status/100 == 2 {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			handed.accepted = true
			return true
		}
		unclear = unclear || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
		if !wait(ctx, retryInterval) {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			handed.refused = !unclear
			return false
		}
	}
}

// pollState reads a job's state; empty when there was no answer. A job that is unknown counts as failed.
func (l *load) pollState(ctx context.Context, handed *submission) job.State {
	status, body := l.call(ctx, http.MethodGet, handed, nil)
	if status == http.StatusGone {
		return job.Failed
	}
	var answer struct {
		State job.State `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.State
}

// call makes one call at a random front; the status is 0 without an answer.
func (l *load) call(ctx context.Context, method string, handed *submission, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", pick(l.targets), handed.service, handed.id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	response, err := l.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// loadCounts are numbers of jobs.
type loadCounts struct{ submitted, accepted, ended int }

func (l *load) counts() loadCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := loadCounts{submitted: len(l.jobs)}
	for _, handed := range l.jobs {
		if handed.accepted {
			counts.accepted++
		}
		if handed.state.Final() {
			counts.ended++
		}
	}
	return counts
}

// submissions returns copies of all jobs.
func (l *load) submissions() []submission {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	jobs := make([]submission, 0, len(l.jobs))
	for _, handed := range l.jobs {
		jobs = append(jobs, *handed)
	}
	return jobs
}
