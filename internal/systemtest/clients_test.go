package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

const (
	clientDeadline    = 3 * time.Second
	clientTimeout     = 30 * time.Second // from the first attempt to the last
	retryInterval     = 150 * time.Millisecond
	statePollInterval = 300 * time.Millisecond
	completionTimeout = 45 * time.Second // from a job's first send until its end
)

// clientRequest makes one call of a client and records it.
func (s *system) clientRequest(ctx context.Context, front *machine, method, path string, body []byte) checker.Request {
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+time.Second)
	defer cancel()
	record := checker.Request{Machine: front.name, Incarnation: front.incarnation(), Method: method, Host: routeHost, Path: path, Body: body, SentAt: time.Now()}
	record.Status, record.Answer = s.send(ctx, method, "http://"+front.address(frontOffset)+path, body)
	record.AnsweredAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, record)
	return record
}

// send makes a client's call.
func (s *system) send(ctx context.Context, method, url string, body []byte) (status int, answer []byte) {
	return s.sendWith(ctx, http.Header{"Deadline-Remaining": {"3000"}}, method, url, body)
}

// sendWith makes a call; the status is 0 without a complete reply.
func (s *system) sendWith(ctx context.Context, header http.Header, method, url string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = routeHost
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	response, err := s.clients.Do(request)
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

// sleep waits, or ends with the context.
func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryUntil sends a request to one proxy after the other until an answer's status is accepted.
func (s *system) retryUntil(ctx context.Context, random *rand.Rand, method, path string, body []byte, serves func(status int) bool) (checker.Request, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	for attempt := random.IntN(len(s.fronts)); ; attempt++ {
		answer := s.clientRequest(ctx, s.fronts[attempt%len(s.fronts)], method, path, body)
		if serves(answer.Status) {
			return answer, nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return answer, err
		}
	}
}

func isSuccess(status int) bool { return status == http.StatusOK }

// runJob submits a job, follows it to its end, and cancels it where that is planned. It reports whether the job was accepted.
func (s *system) runJob(ctx context.Context, random *rand.Rand, plan jobPlan) bool {
	if s.submit(ctx, random, plan) != nil {
		return false
	}
	if plan.cancelAfter > 0 && sleep(ctx, plan.cancelAfter) == nil {
		s.cancel(ctx, random, plan.path())
	}
	if plan.kind != longRunningJob {
		s.awaitFinalState(ctx, random, plan.path())
	}
	return true
}

// submit submits a job until a proxy accepts it.
func (s *system) submit(ctx context.Context, random *rand.Rand, plan jobPlan) error {
	s.plans.add(plan)
	if _, err := s.retryUntil(ctx, random, http.MethodPost, plan.path(), plan.encode(), isSuccess); err != nil {
		return fmt.Errorf("job %s was not accepted: %w", plan.id, err)
	}
	return nil
}

func (s *system) cancel(ctx context.Context, random *rand.Rand, path string) {
	s.retryUntil(ctx, random, http.MethodDelete, path, nil, func(status int) bool { return status == http.StatusOK || status == http.StatusGone })
}

// awaitFinalState polls a job's state until it is final.
func (s *system) awaitFinalState(ctx context.Context, random *rand.Rand, path string) {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	for sleep(ctx, statePollInterval) == nil {
		answer := s.clientRequest(ctx, s.fronts[random.IntN(len(s.fronts))], http.MethodGet, path, nil)
		if answer.Status == http.StatusOK && isFinalState(answer.Answer) {
			return
		}
	}
}

func isFinalState(answer []byte) bool {
	state := stateOf(answer)
	return state == "completed" || state == "failed" || state == "cancelled"
}

// stateOf is the state of a job in an answer to a client.
func stateOf(answer []byte) string {
	var content struct{ State string }
	json.Unmarshal(answer, &content)
	return content.State
}
