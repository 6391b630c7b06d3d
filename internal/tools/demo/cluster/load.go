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
	attemptTimeout  = 2 * time.Second        // for one HTTP request
	submitTimeout   = 20 * time.Second       // maximum time for a job to be accepted, over all attempts
	retryInterval   = 150 * time.Millisecond // between two attempts to submit a job
	jobPollInterval = 400 * time.Millisecond // between two requests for a job's state
	host            = "jobs.example"
)

// serviceNames are the services in configurationText.
var serviceNames = []string{"pricing", "stress"}

// configurationText is the first configuration of the cluster.
const configurationText = `{"version":1,"routes":[
{"name":"pricing","host":"jobs.example","pathPrefix":"/pricing/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":500,"priority":0,"service":"pricing","maxAttempts":3,"extension":2},
{"name":"stress","host":"jobs.example","pathPrefix":"/stress/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"stress","maxAttempts":3,"extension":2}],
"services":[
{"name":"pricing","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","guards":true},
{"name":"stress","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","guards":true}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// jobKinds are the job specifications to choose from, by service.
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

// submission is a job from its client's side.
type submission struct {
	id            job.ID
	service       string
	specification *job.Specification
	accepted      bool
	rejected      bool // every attempt was rejected with 429 or 503, so the job must not run
	state         job.State
}

// loadGenerator submits jobs and polls their states until they have ended.
type loadGenerator struct {
	http    *http.Client
	targets []string // front addresses
	clients sync.WaitGroup

	mutex sync.Mutex
	jobs  map[job.ID]*submission
}

func newLoadGenerator(client *http.Client) *loadGenerator {
	return &loadGenerator{http: client, jobs: make(map[job.ID]*submission)}
}

// taskProfile tells a fake worker the resources and the duration of a task.
func (l *loadGenerator) taskProfile(task job.TaskID, _ string) cluster.Profile {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	submitted := l.jobs[task.Job]
	if submitted == nil || task.Stage >= len(submitted.specification.Stages) {
		return cluster.Profile{}
	}
	stage := submitted.specification.Stages[task.Stage]
	profile := cluster.Profile{
		Resources: stage.Resources, Duration: time.Duration(stage.EstimatedDurationMS) * time.Millisecond, WritesCheckpoints: stage.Checkpoints,
	}
	if stage.GangScheduled {
		profile.GangSize = stage.Count
	}
	return profile
}

// submitJobs submits random jobs at the given rate until loadContext ends. A goroutine for each job polls it until the job has
// ended or jobContext ends.
func (l *loadGenerator) submitJobs(loadContext, jobContext context.Context, jobsPerSecond float64) {
	interval := time.Duration(float64(time.Second) / jobsPerSecond)
	for sleep(loadContext, interval) {
		service := randomElement(serviceNames)
		specification := randomElement(jobKinds[service])
		submitted := &submission{id: job.ID(fmt.Sprintf("%016x", rand.Uint64())), service: service, specification: &specification}
		l.mutex.Lock()
		l.jobs[submitted.id] = submitted
		l.mutex.Unlock()
		l.clients.Go(func() { l.submitAndPoll(jobContext, submitted) })
	}
}

// waitForJobs waits until the clients of all jobs have ended. It reports whether they did so within the limit.
func (l *loadGenerator) waitForJobs(ctx context.Context, limit time.Duration) bool {
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

// submitAndPoll submits a job and polls its state until the state is final.
func (l *loadGenerator) submitAndPoll(ctx context.Context, submitted *submission) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout+completionTimeout)
	defer cancel()
	if !l.submit(ctx, submitted) {
		return
	}
	for sleep(ctx, jobPollInterval) {
		state := l.pollState(ctx, submitted)
		l.mutex.Lock()
		if state != "" {
			submitted.state = state
		}
		l.mutex.Unlock()
		if state.Final() {
			return
		}
	}
}

// submit submits a job to random fronts until one accepts it or submitTimeout has passed. Attempts are repeated with the same
// ID, so that they are one job for the scheduler. The job counts as rejected only if no attempt can have been accepted.
func (l *loadGenerator) submit(ctx context.Context, submitted *submission) bool {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	body, err := json.Marshal(submitted.specification)
	if err != nil {
		return false
	}
	mayBeAccepted := false
	for {
		status, _ := l.send(ctx, http.MethodPost, submitted, body)
		if status/100 == 2 {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			submitted.accepted = true
			return true
		}
		mayBeAccepted = mayBeAccepted || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
		if !sleep(ctx, retryInterval) {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			submitted.rejected = !mayBeAccepted
			return false
		}
	}
}

// pollState returns a job's state, or "" without a valid answer. A job that is gone counts as failed.
func (l *loadGenerator) pollState(ctx context.Context, submitted *submission) job.State {
	status, body := l.send(ctx, http.MethodGet, submitted, nil)
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

// send sends one request for a job to a random front. The status is 0 without an answer.
func (l *loadGenerator) send(ctx context.Context, method string, submitted *submission, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", randomElement(l.targets), submitted.service, submitted.id)
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

// loadCounts contains the numbers of jobs for a progress line.
type loadCounts struct{ submitted, accepted, ended int }

func (l *loadGenerator) counts() loadCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := loadCounts{submitted: len(l.jobs)}
	for _, submitted := range l.jobs {
		if submitted.accepted {
			counts.accepted++
		}
		if submitted.state.Final() {
			counts.ended++
		}
	}
	return counts
}

// submissions returns copies of all submissions.
func (l *loadGenerator) submissions() []submission {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	jobs := make([]submission, 0, len(l.jobs))
	for _, submitted := range l.jobs {
		jobs = append(jobs, *submitted)
	}
	return jobs
}
