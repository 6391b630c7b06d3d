package systemtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	earlyCancelTimeout = 3 * time.Minute
	shortFrontPause    = 2 * time.Second        // shorter than a client's deadline, so that requests in the socket are sent on
	leaderPause        = 700 * time.Millisecond // too short for another leader to be elected
	leaveAfter         = 120 * time.Millisecond // when a client leaves that does not wait for its answer
	slowLinkDelay      = 800 * time.Millisecond // of each call; shorter than the time-out of an attempt
	lateJobs           = 12                     // jobs of a play whose submissions are late at the leader
)

var errNotGone = errors.New("a cancellation was not answered with 410")

// earlyCancelPlays are the plays. Each returns jobs whose cancellation was answered before they arrived anywhere, of which nothing may run.
var earlyCancelPlays = []queuePlay{
	{"a front is paused, its clients leave, and cancel at another one", func(m *queueMove, ctx context.Context) ([]jobPlan, error) {
		return m.cancelAtOtherFront(ctx, frontPause, func(context.Context) error { return nil })
	}},
	{"a front is paused, and its clients cancel at another one and wait", func(m *queueMove, ctx context.Context) ([]jobPlan, error) {
		return m.cancelAtOtherFront(ctx, shortFrontPause, func(context.Context) error { return nil })
	}},
	{"all coordinators are killed between the cancellation and the arrival", func(m *queueMove, ctx context.Context) ([]jobPlan, error) {
		return m.cancelAtOtherFront(ctx, frontPause, m.killCoordinators)
	}},
	{"the queue moves between the cancellation and the arrival", func(m *queueMove, ctx context.Context) ([]jobPlan, error) {
		return m.cancelAtOtherFront(ctx, shortFrontPause, m.moveAtOnce)
	}},
	{"the link from a front to the leader is slow, and the cancellations come by another front", (*queueMove).overtakeOnFasterLink},
	{"the leader is paused with submissions and cancellations in its sockets", (*queueMove).cancelAtPausedLeader},
}

// cancelAtOtherFront pauses a front with two submissions in its socket. The client of one leaves, that of the other one waits. Both
// cancel at another front, and the paused front resumes after what is done between.
func (m *queueMove) cancelAtOtherFront(ctx context.Context, pause time.Duration, between func(context.Context) error) ([]jobPlan, error) {
	paused := m.fronts[0]
	if !paused.reserve() {
		return nil, fmt.Errorf("%s has a fault already", paused.name)
	}
	defer paused.release()
	paused.pause()
	resumeAt := time.Now().Add(pause)
	jobs := []jobPlan{m.newJob(movedWork), m.newJob(movedWork)}
	for number, plan := range jobs {
		m.plans.add(plan)
		connection, err := m.leaveInSocket(paused, plan)
		if err != nil {
			return nil, err
		}
		if number == 0 {
			_ = sleep(ctx, leaveAfter) // the calls below check the context
			connection.Close()
			continue
		}
		defer func(waiting net.Conn) { waiting.Close() }(connection)
	}
	err := m.cancelUnknown(ctx, m.fronts[1], jobs)
	if err == nil {
		err = between(ctx)
	}
	_ = sleep(ctx, time.Until(resumeAt)) // the calls below check the context
	paused.resume()
	if err != nil {
		return nil, err
	}
	return jobs, sleep(ctx, runOnTime)
}

// cancelUnknown cancels jobs that have not arrived anywhere, and fails unless each cancellation is answered with 410.
func (m *queueMove) cancelUnknown(ctx context.Context, front *machine, jobs []jobPlan) error {
	for _, plan := range jobs {
		answer := m.clientRequest(ctx, front, http.MethodDelete, plan.path(), nil)
		for answer.Status >= http.StatusInternalServerError {
			if err := sleep(ctx, retryInterval); err != nil {
				return err
			}
			answer = m.clientRequest(ctx, front, http.MethodDelete, plan.path(), nil)
		}
		if answer.Status != http.StatusGone {
			return fmt.Errorf("%w: job %s, %d", errNotGone, plan.id, answer.Status)
		}
	}
	return nil
}

func (m *queueMove) killCoordinators(ctx context.Context) error {
	for _, core := range m.core {
		m.crashMachine(ctx, core, minOutage, false)
	}
	m.recoveries.Wait()
	return m.awaitLeader(ctx, guardedService)
}

// overtakeOnFasterLink submits jobs at a front whose calls reach the leader late, and cancels them at another one.
func (m *queueMove) overtakeOnFasterLink(ctx context.Context) ([]jobPlan, error) {
	leader := m.leaderOf(guardedService)
	if leader == nil {
		return nil, fmt.Errorf("service %s has no leader", guardedService)
	}
	m.network.setDelay(m.fronts[0].name, leader.name, slowLinkDelay)
	defer m.network.setDelay(m.fronts[0].name, leader.name, 0)
	jobs := m.newLateJobs()
	var submissions sync.WaitGroup
	for _, plan := range jobs {
		submissions.Go(func() { m.clientRequest(ctx, m.fronts[0], http.MethodPost, plan.path(), plan.encode()) })
	}
	defer submissions.Wait()
	if err := sleep(ctx, leaveAfter); err != nil {
		return nil, err
	}
	if err := m.cancelUnknown(ctx, m.fronts[1], jobs); err != nil {
		return nil, err
	}
	return jobs, sleep(ctx, slowLinkDelay+runOnTime)
}

func (m *queueMove) newLateJobs() []jobPlan {
	var jobs []jobPlan
	for range lateJobs {
		plan := m.newJob(movedWork)
		m.plans.add(plan)
		jobs = append(jobs, plan)
	}
	return jobs
}

// cancelAtPausedLeader submits jobs at one front and cancels them at another one while the leader is paused, so that the calls of both wait
// in its sockets. Clients of the submissions leave.
func (m *queueMove) cancelAtPausedLeader(ctx context.Context) ([]jobPlan, error) {
	leader := m.leaderOf(guardedService)
	if leader == nil || !leader.reserve() {
		return nil, fmt.Errorf("service %s has no leader without a fault", guardedService)
	}
	defer leader.release()
	jobs := m.newLateJobs()
	leader.pause()
	var calls sync.WaitGroup
	for _, plan := range jobs {
		calls.Go(func() {
			leaving, leave := context.WithTimeout(ctx, leaveAfter)
			defer leave()
			m.clientRequest(leaving, m.fronts[0], http.MethodPost, plan.path(), plan.encode())
			m.clientRequest(ctx, m.fronts[1], http.MethodDelete, plan.path(), nil)
		})
	}
	_ = sleep(ctx, leaderPause) // the calls below check the context
	leader.resume()
	calls.Wait()
	return m.cancelledBeforeAcceptance(jobs), sleep(ctx, runOnTime)
}

// cancelledBeforeAcceptance returns the jobs whose cancellation was answered with 410. The leader may have read the submissions of the others
// first.
func (m *queueMove) cancelledBeforeAcceptance(jobs []jobPlan) []jobPlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	var unknown []jobPlan
	for _, plan := range jobs {
		for _, request := range m.requests {
			if request.Method == http.MethodDelete && request.Path == plan.path() && request.Status == http.StatusGone {
				unknown = append(unknown, plan)
			}
		}
	}
	return unknown
}

// A job whose cancellation was answered with 410 never runs, wherever its submission waits and whatever happens before it arrives: guards
// against jobs that nobody asks for any more (review case 5 and what was found beside it).
func TestJobsCancelledBeforeTheyArriveNeverRun(t *testing.T) {
	t.Parallel()
	ran := map[string][]string{}
	s := playOnQueues(t, "early-cancellations", earlyCancelTimeout, earlyCancelPlays, func(m *queueMove, play string, jobs []jobPlan) {
		for _, plan := range jobs {
			if attempts := m.attemptsOf(plan); len(attempts) > 0 {
				ran[play] = append(ran[play], fmt.Sprintf("%+v", attempts))
			}
		}
	})
	result := s.checkHistory(outcome{})
	Convey("Nothing of them runs, and no rule is broken", t, func() {
		So(result.failures, ShouldBeEmpty)
		So(ran, ShouldBeEmpty)
		So(result.violations, ShouldBeEmpty)
	})
}
