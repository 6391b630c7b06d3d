package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// playMovedQueue removes a queue and adds one at the same place for another service, and sends jobs that were accepted before once
// more after it.
//
// Without the disruption the two changes add and remove an idle queue instead.
func playMovedQueue(s *system) ([]string, error) {
	kept := route{"r-check", "/check/", "beta"}
	if err := s.put(0, s.configuration(1, route{"r-plan", "/plan/", "alpha"}, kept)); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	long, short := newJobID(), newJobID()
	const longTime, shortTime = 25 * time.Second, 500 * time.Millisecond
	s.setProfile(long, taskProfile(longTime))
	s.setProfile(short, taskProfile(shortTime))
	longText, shortText := jobText("long", 2, longTime), jobText("short", 2, shortTime)
	if _, err := s.clientUntil(http.MethodPost, 0, "/plan/"+string(long), longText); err != nil {
		return nil, err
	}
	if _, err := s.clientUntil(http.MethodPost, 0, "/plan/"+string(short), shortText); err != nil {
		return nil, err
	}
	if err := until("start of the long job", func() bool { return len(s.attemptsOf(long, "alpha")) == 2 }); err != nil {
		return nil, err
	}
	if err := until("end of the short job", func() bool {
		return strings.Contains(s.client(http.MethodGet, 0, "/plan/"+string(short), "", clientLimit).body, "completed")
	}); err != nil {
		return nil, err
	}
	shownCompleted := time.Now()
	time.Sleep(2 * time.Second) // the ends are taken note of meanwhile
	plan := route{"r-plan", "/plan/", "alpha"}
	removal, addition := s.configuration(3, plan, kept, route{"r-idle", "/idle/", "beta"}), s.configuration(5, plan, kept)
	if s.trouble {
		removal, addition = s.configuration(3, kept), s.configuration(5, kept, route{"r-plan-2", "/plan/", "beta"})
	}
	if err := s.put(1, removal); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if err := s.put(3, addition); err != nil {
		return nil, err
	}
	time.Sleep(configurationApply + 500*time.Millisecond)
	if _, err := s.clientUntil(http.MethodPost, 1, "/plan/"+string(long), longText); err != nil {
		return nil, err
	}
	if _, err := s.clientUntil(http.MethodPost, 1, "/plan/"+string(short), shortText); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var broken []string
	broken = append(broken, s.overlaps(s.attemptsOf(long, ""))...)
	for _, a := range s.attemptsOf(short, "") {
		if a.startedAt.After(shownCompleted.Add(time.Second)) {
			broken = append(broken, fmt.Sprintf("TWICE: task %v starts at %s at %.3f, its job was shown as completed at %.3f", a.task,
				a.searcher, s.record.since(a.startedAt), s.record.since(shownCompleted)))
		}
	}
	canceled, err := s.clientUntil(http.MethodDelete, 1, "/plan/"+string(long), "")
	if err != nil {
		return nil, err
	}
	time.Sleep(cancelTime + stopTime + 500*time.Millisecond)
	return append(broken, s.runningAfterCancel(s.attemptsOf(long, ""), canceled)...), nil
}

// overlaps returns the runs that began while another run of their task went on.
func (s *system) overlaps(attempts []attempt) []string {
	var broken []string
	for i, later := range attempts {
		for _, earlier := range attempts[:i] {
			if earlier.task == later.task && (earlier.endedAt.IsZero() || earlier.endedAt.After(later.startedAt)) {
				broken = append(broken, fmt.Sprintf("TWICE: task %v runs at %s since %.3f and at %s since %.3f", later.task,
					earlier.searcher, s.record.since(earlier.startedAt), later.searcher, s.record.since(later.startedAt)))
			}
		}
	}
	return broken
}

// lateJob is a job that a client sends to the first front, and cancels at the other one when it has left without an answer.
type lateJob struct {
	id       job.ID
	leave    time.Duration // how long the client waits for the answer
	posted   answer
	canceled answer
	asked    answer // to a GET after the cancelling
	err      error
}

// sendAndCancel plays the client of a late job.
func (s *system) sendAndCancel(j *lateJob, work time.Duration) {
	path := "/plan/" + string(j.id)
	j.posted = s.client(http.MethodPost, 0, path, jobText("late", 2, work), j.leave)
	if j.canceled, j.err = s.clientUntil(http.MethodDelete, 1, path, ""); j.err == nil {
		j.asked = s.client(http.MethodGet, 1, path, "", clientLimit)
	}
}

// playCancelBeforeArrival freezes a front while requests wait at it. Their clients leave, cancel their jobs at the other front, and
// the first front then wakes. One client leaves early, the other one at its deadline.
func playCancelBeforeArrival(s *system) ([]string, error) {
	if err := s.put(0, s.configuration(1, route{"r-plan", "/plan/", "alpha"})); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	first := newJobID()
	s.setProfile(first, taskProfile(300*time.Millisecond))
	if _, err := s.clientUntil(http.MethodPost, 0, "/plan/"+string(first), jobText("first", 1, 300*time.Millisecond)); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second)
	const freeze, work = 3500 * time.Millisecond, 30 * time.Second
	late := []*lateJob{{id: newJobID(), leave: 120 * time.Millisecond}, {id: newJobID(), leave: clientLimit}}
	frozenAt := time.Now()
	if s.trouble {
		if err := s.signalFront(0, syscall.SIGSTOP); err != nil {
			return nil, err
		}
	}
	var clients sync.WaitGroup
	for _, j := range late {
		s.setProfile(j.id, taskProfile(work))
		clients.Go(func() { s.sendAndCancel(j, work) })
	}
	clients.Wait()
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	if s.trouble {
		if err := s.signalFront(0, syscall.SIGCONT); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for _, j := range late {
		if j.err != nil {
			return nil, j.err
		}
		s.client(http.MethodGet, 1, "/plan/"+string(j.id), "", clientLimit)
		s.record.printf("job %s: handed in %d, cancelled %d, then asked for %d", j.id, j.posted.status, j.canceled.status, j.asked.status)
		broken = append(broken, s.runningAfterCancel(s.attemptsOf(j.id, ""), j.canceled)...)
	}
	return broken, nil
}

// playRemovedQueue removes a queue whose prefix lies beneath that of another queue, and asks for a job that it had accepted.
//
// Without the disruption the configuration adds an idle queue instead.
func playRemovedQueue(s *system) ([]string, error) {
	outer, inner := route{"r-nav", "/nav/", "alpha"}, route{"r-urgent", "/nav/urgent/", "alpha"}
	if err := s.put(0, s.configuration(1, outer, inner)); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	id := newJobID()
	const work = 40 * time.Second
	path := inner.prefix + string(id)
	s.setProfile(id, taskProfile(work))
	if _, err := s.clientUntil(http.MethodPost, 0, path, jobText("urgent", 2, work)); err != nil {
		return nil, err
	}
	if err := until("start of the job", func() bool { return len(s.attemptsOf(id, "")) == 2 }); err != nil {
		return nil, err
	}
	next := s.configuration(3, outer, inner, route{"r-idle", "/idle/", "alpha"})
	if s.trouble {
		next = s.configuration(3, outer)
	}
	if err := s.put(1, next); err != nil {
		return nil, err
	}
	time.Sleep(visibleTime + 500*time.Millisecond)
	var broken []string
	for front := range frontMachines {
		asked := s.client(http.MethodGet, front, path, "", clientLimit)
		if asked.status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: front %d answers 410 for job %s, which it accepted and nobody cancelled", front, id))
		}
	}
	canceled, err := s.clientUntil(http.MethodDelete, 1, path, "")
	if err != nil {
		return nil, err
	}
	if canceled.status == http.StatusNotFound {
		return broken, nil // there is no such queue, so nothing was cancelled
	}
	time.Sleep(cancelTime + stopTime + 500*time.Millisecond)
	return append(broken, s.runningAfterCancel(s.attemptsOf(id, ""), canceled)...), nil
}

// runningAfterCancel returns the runs that began more than cancel_ms after the answer to the cancelling, or still run stop_ms after
// that.
func (s *system) runningAfterCancel(attempts []attempt, canceled answer) []string {
	var broken []string
	for _, a := range attempts {
		if a.startedAt.After(canceled.at.Add(cancelTime)) {
			broken = append(broken, fmt.Sprintf("UNASKED: task %v starts at %.3f, the cancelling was answered %d at %.3f", a.task,
				s.record.since(a.startedAt), canceled.status, s.record.since(canceled.at)))
		}
		if a.endedAt.IsZero() || a.endedAt.After(canceled.at.Add(cancelTime+stopTime)) {
			broken = append(broken, fmt.Sprintf("UNASKED: task %v at %s still runs %.3f s after the cancelling was answered %d", a.task, a.searcher,
				time.Since(canceled.at).Seconds(), canceled.status))
		}
	}
	return broken
}
