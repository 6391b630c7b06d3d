package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	soakQueueCount     = 3                      // queues that move, leave, return and nest
	soakQueueClients   = 6                      // clients of a soak that submit jobs to these queues
	maxClientPause     = 400 * time.Millisecond // between two jobs of one client, and between two calls about one job
	maxLeaveAfter      = 150 * time.Millisecond // when a client leaves that does not wait for its answer
	maxSubmissionTries = 8                      // tries to submit a job whose queue may be missing for long
)

// movingQueues are the queues of a soak whose routes change. Some lie beneath others. The service is empty while the configuration has no
// route for a queue.
type movingQueues struct {
	mu     sync.Mutex
	queues []routePlan
}

func newMovingQueues() *movingQueues {
	m := &movingQueues{}
	for number := range soakQueueCount {
		prefix := fmt.Sprintf("/moving-%d/", number)
		m.queues = append(m.queues, routePlan{prefix, guardedService}, routePlan{prefix + "nested/", unguardedService})
	}
	return m
}

// routes returns the routes of the queues.
func (m *movingQueues) routes() []routePlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	var routes []routePlan
	for _, queue := range m.queues {
		if queue.service != "" {
			routes = append(routes, queue)
		}
	}
	return routes
}

// change moves, removes or adds some queues at once.
func (m *movingQueues) change(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	services := []string{guardedService, unguardedService, ""}
	for range 1 + random.IntN(len(m.queues)) {
		m.queues[random.IntN(len(m.queues))].service = services[random.IntN(len(services))]
	}
}

// restore adds all queues that are missing.
func (m *movingQueues) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.queues {
		if m.queues[i].service == "" {
			m.queues[i].service = guardedService
		}
	}
}

func (m *movingQueues) choose(random *rand.Rand) routePlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queues[random.IntN(len(m.queues))]
}

// queueClients submit jobs to moving queues, send them again, leave early, and cancel them before, during and after their submission.
type queueClients struct {
	system  *system
	queues  *movingQueues
	running sync.WaitGroup
	calls   [queueClientActs]atomic.Int64 // number of jobs by what the client did

	mu   sync.Mutex
	jobs []jobPlan // that were sent
}

// What a client does with a job.
const (
	submitsOnce = iota
	submitsAgain
	cancelsFirst
	cancelsMeanwhile
	leavesAndCancels
	queueClientActs
)

// start starts the clients, which go on until the context ends.
func (q *queueClients) start(ctx context.Context, random *rand.Rand) {
	for range soakQueueClients {
		clientRandom := rand.New(rand.NewPCG(random.Uint64(), 10))
		q.running.Go(func() {
			for q.pause(ctx, clientRandom) {
				q.playJob(ctx, clientRandom)
			}
		})
	}
}

// pause waits for a random time, and returns false once the context has ended.
func (q *queueClients) pause(ctx context.Context, random *rand.Rand) bool {
	return sleep(ctx, time.Duration(random.Int64N(int64(maxClientPause)))) == nil
}

// playJob sends a job and does something more with it.
func (q *queueClients) playJob(ctx context.Context, random *rand.Rand) {
	queue := q.queues.choose(random)
	plan := newJobPlan(random, []jobKind{plainJob, plainJob, gangJob, longRunningJob}[random.IntN(4)], queue)
	stage := &plan.body.Stages[0]
	stage.Affinity, stage.Resources, stage.Count = "", job.Resources{Processors: lastingTaskProcessors, MemoryMB: 10}, 1+random.IntN(2)
	if plan.kind != gangJob {
		plan.work = time.Duration(100+random.IntN(2500)) * time.Millisecond
	}
	q.system.plans.add(plan)
	q.mu.Lock()
	q.jobs = append(q.jobs, plan)
	q.mu.Unlock()
	act := random.IntN(queueClientActs)
	q.calls[act].Add(1)
	switch act {
	case submitsOnce:
		q.submit(ctx, random, plan)
	case submitsAgain:
		q.submit(ctx, random, plan)
		for range 1 + random.IntN(3) {
			if !q.pause(ctx, random) {
				return
			}
			q.submit(ctx, random, plan)
		}
	case cancelsFirst:
		q.call(ctx, random, http.MethodDelete, plan)
		q.submit(ctx, random, plan)
	case cancelsMeanwhile:
		var both sync.WaitGroup
		cancelRandom := rand.New(rand.NewPCG(random.Uint64(), 11))
		both.Go(func() {
			if q.pause(ctx, cancelRandom) {
				q.call(ctx, cancelRandom, http.MethodDelete, plan)
			}
		})
		q.submit(ctx, random, plan)
		both.Wait()
	case leavesAndCancels:
		leaving, leave := context.WithTimeout(ctx, time.Duration(random.Int64N(int64(maxLeaveAfter))))
		q.call(leaving, random, http.MethodPost, plan)
		leave()
		q.call(ctx, random, http.MethodDelete, plan)
	}
	q.call(ctx, random, http.MethodGet, plan)
}

// call sends one request about a job to a random front, and returns the status of its answer.
func (q *queueClients) call(ctx context.Context, random *rand.Rand, method string, plan jobPlan) int {
	var body []byte
	if method == http.MethodPost {
		body = plan.encode()
	}
	front := q.system.fronts[random.IntN(len(q.system.fronts))]
	return q.system.clientRequest(ctx, front, method, plan.path(), body).Status
}

// submit sends a job until it is accepted. It gives up after some tries, as its queue may be missing.
func (q *queueClients) submit(ctx context.Context, random *rand.Rand, plan jobPlan) {
	for range maxSubmissionTries {
		if isSuccess(q.call(ctx, random, http.MethodPost, plan)) || sleep(ctx, retryInterval) != nil {
			return
		}
	}
}

// cancelAll cancels all jobs that were sent, once all queues are there. What has ended stays as it is.
func (q *queueClients) cancelAll(ctx context.Context, random *rand.Rand) {
	q.mu.Lock()
	jobs := q.jobs
	q.mu.Unlock()
	q.system.jobs = append(q.system.jobs, jobs...)
	const concurrentCancellations = 8
	slots := make(chan struct{}, concurrentCancellations)
	var all sync.WaitGroup
	for _, plan := range jobs {
		cancelRandom := rand.New(rand.NewPCG(random.Uint64(), 12))
		slots <- struct{}{}
		all.Go(func() {
			q.system.cancel(ctx, cancelRandom, plan.path())
			<-slots
		})
	}
	all.Wait()
}

// summary returns how many jobs were played by each act.
func (q *queueClients) summary() string {
	names := [queueClientActs]string{"submitted once", "submitted again", "cancelled first", "cancelled meanwhile", "left and cancelled"}
	text := ""
	for act, name := range names {
		text += fmt.Sprintf("%s %d; ", name, q.calls[act].Load())
	}
	return text
}
