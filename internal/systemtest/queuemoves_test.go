package systemtest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

const (
	queueMovesTimeout   = 3 * time.Minute
	moveApplyTime       = 2500 * time.Millisecond // after it, fronts in contact serve a change of the configuration
	frontPause          = 3500 * time.Millisecond
	otherFrontApplyTime = 2 * time.Second // of frontPause; after it, the other front serves a change, and the paused one does not know it
	runOnTime           = 2 * time.Second // in which a job that wrongly runs again starts
	movedWork           = 12 * time.Second
	queuePlaySalt       = 8
)

// queueMove is a play about one queue that goes from the guarded service to the unguarded one.
type queueMove struct {
	*system
	random *rand.Rand
	queue  string      // prefix
	others []routePlan // routes beside that of the queue
}

// queuePlay is a play on a queue of its own. It returns the jobs that the test judges.
type queuePlay struct {
	name string
	play func(m *queueMove, ctx context.Context) ([]jobPlan, error)
}

// queueMovePlays are the plays. Each returns the jobs of which every task must have had exactly one attempt.
var queueMovePlays = []queuePlay{
	{"a queue moves in one change, and its jobs are sent again", func(m *queueMove, ctx context.Context) ([]jobPlan, error) {
		return m.sendAgain(ctx, m.moveAtOnce)
	}},
	{"a queue is removed, added for another service, and its jobs are sent again", func(m *queueMove, ctx context.Context) ([]jobPlan, error) {
		return m.sendAgain(ctx, m.removeAndAdd)
	}},
	{"a job is cancelled, its queue moves, and it is sent again", (*queueMove).sendCancelledAgain},
	{"a front wakes with a job in its socket, whose queue has moved and which another front has taken", (*queueMove).wakeWithOldView},
	{"the earlier service has no leader when jobs are sent again", (*queueMove).sendAgainWithoutLeader},
	{"a queue beneath another one is removed, and added again", (*queueMove).removeNested},
}

// routes returns the other routes and that of the play's queue.
func (m *queueMove) routes(service string) []routePlan {
	return append(slices.Clone(m.others), routePlan{m.queue, service})
}

func (m *queueMove) set(ctx context.Context, routes ...routePlan) error {
	if !m.configurations.set(ctx, 0, routes...) {
		return errChangeNotAcknowledged
	}
	return nil
}

func (m *queueMove) moveAtOnce(ctx context.Context) error {
	return m.set(ctx, m.routes(unguardedService)...)
}

func (m *queueMove) removeAndAdd(ctx context.Context) error {
	if err := m.set(ctx, m.others...); err != nil {
		return err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	return m.moveAtOnce(ctx)
}

// newJob returns a job of the play's queue with two tasks.
func (m *queueMove) newJob(work time.Duration) jobPlan {
	plan := newJobPlan(m.random, plainJob, routePlan{m.queue, guardedService})
	plan.body.Stages[0].Count, plan.body.Stages[0].Affinity, plan.work = 2, "", work
	m.jobs = append(m.jobs, plan)
	return plan
}

// beginQueue adds the play's queue for the guarded service, and waits until all fronts serve it.
func (m *queueMove) beginQueue(ctx context.Context) error {
	if err := m.set(ctx, m.routes(guardedService)...); err != nil {
		return err
	}
	for _, front := range m.fronts {
		if err := m.awaitRoute(ctx, front, routePlan{m.queue, guardedService}); err != nil {
			return err
		}
	}
	return nil
}

// startJobs submits a job that runs on and one that is completed.
func (m *queueMove) startJobs(ctx context.Context) (long, short jobPlan, err error) {
	long, short = m.newJob(movedWork), m.newJob(300*time.Millisecond)
	for _, plan := range []jobPlan{long, short} {
		if err := m.submit(ctx, m.random, plan); err != nil {
			return long, short, err
		}
	}
	m.awaitFinalState(ctx, m.random, short.path())
	return long, short, m.awaitAttempts(ctx, long)
}

// sendAgain moves the queue of two jobs, sends both again at each front, and cancels the one that runs.
func (m *queueMove) sendAgain(ctx context.Context, move func(context.Context) error) ([]jobPlan, error) {
	long, short, err := m.startJobs(ctx)
	if err != nil {
		return nil, err
	}
	if err := move(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, moveApplyTime); err != nil {
		return nil, err
	}
	for range m.fronts {
		for _, plan := range []jobPlan{long, short} {
			if err := m.submit(ctx, m.random, plan); err != nil {
				return nil, err
			}
		}
	}
	m.cancel(ctx, m.random, long.path())
	return []jobPlan{long, short}, sleep(ctx, runOnTime)
}

// sendCancelledAgain cancels a job, moves its queue, and sends the job again.
func (m *queueMove) sendCancelledAgain(ctx context.Context) ([]jobPlan, error) {
	long, _, err := m.startJobs(ctx)
	if err != nil {
		return nil, err
	}
	m.cancel(ctx, m.random, long.path())
	if err := m.moveAtOnce(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, moveApplyTime); err != nil {
		return nil, err
	}
	if err := m.submit(ctx, m.random, long); err != nil {
		return nil, err
	}
	return []jobPlan{long}, sleep(ctx, runOnTime)
}

// wakeWithOldView pauses a front with a submission in its socket, moves the queue, and submits the job at another front. The paused front
// then goes on with its old view.
func (m *queueMove) wakeWithOldView(ctx context.Context) ([]jobPlan, error) {
	plan := m.newJob(time.Second)
	m.plans.add(plan)
	paused := m.fronts[0]
	if !paused.reserve() {
		return nil, fmt.Errorf("%s has a fault already", paused.name)
	}
	defer paused.release()
	paused.pause()
	resumeAt := time.Now().Add(frontPause)
	late, err := m.leaveInSocket(paused, plan)
	if err != nil {
		return nil, err
	}
	defer late.Close()
	if err := m.moveAtOnce(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, otherFrontApplyTime); err != nil {
		return nil, err
	}
	for !isSuccess(m.clientRequest(ctx, m.fronts[1], http.MethodPost, plan.path(), plan.encode()).Status) {
		if err := sleep(ctx, retryInterval); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, time.Until(resumeAt)); err != nil {
		return nil, err
	}
	paused.resume()
	answer, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil {
		return nil, err
	}
	if err := answer.Body.Close(); err != nil {
		return nil, err
	}
	m.awaitFinalState(ctx, m.random, plan.path())
	return []jobPlan{plan}, sleep(ctx, runOnTime)
}

// leaveInSocket sends a submission to a paused front, past its relay, and records it for the checker.
func (m *queueMove) leaveInSocket(front *machine, plan jobPlan) (net.Conn, error) {
	connection, err := net.Dial("tcp", front.address(frontOffset+targetPortOffset))
	if err != nil {
		return nil, err
	}
	body := plan.encode()
	sent := checker.Request{Machine: front.name, Incarnation: front.incarnation(), Method: http.MethodPost, Host: routeHost, Path: plan.path(), Body: body, SentAt: time.Now()}
	sent.AnsweredAt = sent.SentAt // without an answer
	m.mu.Lock()
	m.requests = append(m.requests, sent)
	m.mu.Unlock()
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", plan.path(), routeHost, len(body), body)
	return connection, err
}

// sendAgainWithoutLeader moves the queue of two jobs, kills the leader of its earlier service, and sends the jobs again at once: whatever
// is answered meanwhile can be repeated, and in the end they are the same jobs.
func (m *queueMove) sendAgainWithoutLeader(ctx context.Context) ([]jobPlan, error) {
	long, short, err := m.startJobs(ctx)
	if err != nil {
		return nil, err
	}
	if err := m.moveAtOnce(ctx); err != nil {
		return nil, err
	}
	m.crashMachine(ctx, m.leaderOf(guardedService), outageBeyondLease, false)
	for _, plan := range []jobPlan{long, short} {
		if err := m.submit(ctx, m.random, plan); err != nil {
			return nil, err
		}
	}
	m.cancel(ctx, m.random, long.path())
	m.recoveries.Wait()
	return []jobPlan{long, short}, sleep(ctx, runOnTime)
}

// errNotMissing says that a queue which was removed is not answered with 404.
var errNotMissing = errors.New("not answered with 404")

// removeNested removes a queue beneath another one, asks for a job of it, and adds the queue again. Meanwhile there is no such queue, which
// says nothing about the job; afterwards it is the same job.
func (m *queueMove) removeNested(ctx context.Context) ([]jobPlan, error) {
	nested := queueMove{system: m.system, random: m.random, queue: m.queue + "urgent/", others: m.routes(guardedService)}
	if err := nested.beginQueue(ctx); err != nil {
		return nil, err
	}
	long, _, err := nested.startJobs(ctx)
	if err != nil {
		return nil, err
	}
	if err := nested.set(ctx, nested.others...); err != nil {
		return nil, err
	}
	if err := sleep(ctx, moveApplyTime); err != nil {
		return nil, err
	}
	for _, front := range m.fronts {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			if answer := m.clientRequest(ctx, front, method, long.path(), nil); answer.Status != http.StatusNotFound {
				return nil, fmt.Errorf("%s %s: %w: %d", method, long.path(), errNotMissing, answer.Status)
			}
		}
	}
	if err := nested.beginQueue(ctx); err != nil {
		return nil, err
	}
	if err := m.submit(ctx, m.random, long); err != nil {
		return nil, err
	}
	m.cancel(ctx, m.random, long.path())
	return []jobPlan{long}, sleep(ctx, runOnTime)
}

// awaitAttempts waits until both tasks of a job run.
func (m *queueMove) awaitAttempts(ctx context.Context, plan jobPlan) error {
	for len(m.attemptsOf(plan)) < plan.body.Stages[0].Count {
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("job %s does not run: %w", plan.id, err)
		}
	}
	return nil
}

// attemptsOf returns the attempts of a job at all workers.
func (s *system) attemptsOf(plan jobPlan) []cluster.AttemptRecord {
	var attempts []cluster.AttemptRecord
	for _, attempt := range s.cluster.Attempts() {
		if attempt.Task.Job == plan.id {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// playOnQueues plays each play on a queue of its own, one after another, calls judge with the jobs that it returns, and ends in the calm after
// all of them. The name is that of the test's folder and of the queues.
func playOnQueues(t *testing.T, name string, timeout time.Duration, plays []queuePlay, judge func(m *queueMove, play string, jobs []jobPlan)) *system {
	t.Helper()
	ctx, s := startSystem(t, name, defaultSize, timeout)
	defer s.stop()
	if err := s.bringUp(ctx); err != nil {
		s.recordFailure(err)
		return s
	}
	routes := []routePlan{renderRoute, mailRoute}
	for number, play := range plays {
		m := &queueMove{system: s, random: rand.New(rand.NewPCG(uint64(number), queuePlaySalt)), queue: fmt.Sprintf("/%s-%d/", name, number), others: routes}
		if err := m.beginQueue(ctx); err != nil {
			s.recordFailure(fmt.Errorf("%s: %w", play.name, err))
			return s
		}
		jobs, err := play.play(m, ctx)
		if err != nil {
			s.recordFailure(fmt.Errorf("%s: %w", play.name, err))
		}
		judge(m, play.name, jobs)
		routes = m.configurations.routes
	}
	s.endedAt = time.Now()
	s.awaitStateAnswers(ctx, rand.New(rand.NewPCG(0, queuePlaySalt)))
	s.awaitConfigurationRead(ctx)
	s.awaitNoRunningTasks(ctx)
	return s
}

// A job stays one job when its queue goes to another service: guards against jobs that run in both, and against cancellations that leave
// the first run (review case 4 and what was found beside it).
func TestJobsStayOneJobWhenTheirQueueMoves(t *testing.T) {
	t.Parallel()
	repeated := map[string][]string{}
	s := playOnQueues(t, "queue-moves", queueMovesTimeout, queueMovePlays, func(m *queueMove, play string, jobs []jobPlan) {
		for _, plan := range jobs {
			if attempts := m.attemptsOf(plan); len(attempts) != plan.body.Stages[0].Count {
				repeated[play] = append(repeated[play], fmt.Sprintf("%+v", attempts))
			}
		}
	})
	result := s.checkHistory(outcome{})
	Convey("Every task has one attempt, and no rule is broken", t, func() {
		So(result.failures, ShouldBeEmpty)
		So(repeated, ShouldBeEmpty)
		So(result.violations, ShouldBeEmpty)
	})
}
