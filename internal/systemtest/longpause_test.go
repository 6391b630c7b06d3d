package systemtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

const (
	pauseLength      = 20 * time.Second
	probeLeadTime    = 400 * time.Millisecond // before the process resumes, so that requests wait for it when it does
	probeDuration    = 3 * time.Second        // after the process resumed, during which it gets further requests
	changeInterval   = 1500 * time.Millisecond
	readinessTimeout = 5 * time.Second // after its agent stopped, within which a proxy must report that it is not ready
	jobsPath         = "/-/jobs/"
)

// longPauseScenarios pause one process, or all processes of a machine, for 20 s while the configuration changes and jobs are
// submitted.
var longPauseScenarios = []scenario{
	{name: "leader-paused-long", seed: 31, faults: onLeader(pauseCoreLong)},
	{name: "follower-paused-long", seed: 32, faults: onFollower(pauseCoreLong)},
	{name: "agent-paused-long", seed: 33, faults: pauseAgentLong},
}

// TestNoStaleStateAfterLongPause guards against a process that answers from state of before a long pause. The scenarios run
// concurrently, because the pause makes up most of their time.
func TestNoStaleStateAfterLongPause(t *testing.T) {
	t.Parallel()
	runScenarios(t, longPauseScenarios, len(longPauseScenarios), "No rule is broken, and no stale state is served: ")
}

// newestAcknowledged returns the newest configuration version that was acknowledged to an operator.
func (s *system) newestAcknowledged() (newest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.operatorRequests {
		if request.Method == http.MethodPut && request.Status == http.StatusOK {
			newest = max(newest, versionOf(request.Body))
		}
	}
	return newest
}

// versionOf returns the version in the encoded form of a configuration; 0 if it has none.
func versionOf(body []byte) (version int64) {
	at := bytes.Index(body, []byte(`"version":`))
	if at >= 0 {
		fmt.Sscanf(string(body[at:]), `"version":%d`, &version)
	}
	return version
}

// changeConfigurationFor sets new configuration versions for the given time. They alternately add and remove a route.
func (s *system) changeConfigurationFor(ctx context.Context, length time.Duration) {
	extra := routePlan{"/extra/", guardedService}
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		routes := []routePlan{renderRoute, mailRoute}
		if number%2 == 0 {
			routes = append(routes, extra)
		}
		if !s.configurations.set(ctx, number, routes...) {
			s.recordFailure(errors.New("a change was not acknowledged"))
			return
		}
		if sleep(ctx, changeInterval) != nil {
			return
		}
	}
}

// pauseCoreLong pauses a core machine for pauseLength, and sends it requests from shortly before until probeDuration after
// it resumes.
func pauseCoreLong(ctx context.Context, s *system, m *machine) {
	if !m.reserve() {
		s.recordFailure(errors.New("the machine already has a fault"))
		return
	}
	defer m.release()
	changes := s.acknowledgedChanges()
	m.pause()
	resumeAt := time.Now().Add(pauseLength)
	s.changeWhilePaused(ctx, resumeAt)
	var probes sync.WaitGroup
	for _, probe := range staleStateProbes {
		probes.Go(func() { probe(s, ctx, m, changes[len(changes)-1]) })
	}
	s.recordFailure(sleep(ctx, time.Until(resumeAt)))
	m.resume()
	probes.Wait()
	for end := time.Now().Add(probeDuration); time.Now().Before(end); {
		for _, probe := range staleStateProbes {
			probe(s, ctx, m, changes[len(changes)-1])
		}
	}
}

// changeWhilePaused starts a load of jobs and changes the configuration. It returns probeLeadTime before the process resumes.
func (s *system) changeWhilePaused(ctx context.Context, resumeAt time.Time) {
	wait := s.startLoad(ctx, rand.New(rand.NewPCG(1, 8)))
	s.recoveries.Go(func() { wait() })
	s.changeConfigurationFor(ctx, time.Until(resumeAt)-4*changeInterval)
	s.recordFailure(sleep(ctx, time.Until(resumeAt)-probeLeadTime))
}

// acknowledgedChanges returns the configuration changes that have been acknowledged so far.
func (s *system) acknowledgedChanges() (acknowledged []checker.OperatorRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.operatorRequests {
		if request.Method == http.MethodPut && request.Status == http.StatusOK {
			acknowledged = append(acknowledged, request)
		}
	}
	return acknowledged
}

// staleStateProbes send requests to a core machine that it would answer wrongly from its state of before the pause. Each gets
// the newest change that was acknowledged before the pause.
var staleStateProbes = []func(s *system, ctx context.Context, m *machine, before checker.OperatorRequest){
	(*system).probeRead, (*system).probeStaleChange, (*system).probeRetriedChange, (*system).probeJobs,
}

// probeRead reads the configuration, which must not be older than the newest acknowledged one.
func (s *system) probeRead(ctx context.Context, m *machine, _ checker.OperatorRequest) {
	newest := s.newestAcknowledged()
	read := s.operatorRequest(ctx, m, http.MethodGet, 0, nil)
	if read.Status == http.StatusOK && versionOf(read.Answer) < newest || read.Status == http.StatusNotFound {
		s.recordFailure(fmt.Errorf("%s answers with version %d, though %d was acknowledged before", m.name, versionOf(read.Answer), newest))
	}
}

// probeStaleChange sends a change on top of an old version. It must be refused, and the refusal must not name a version older
// than the newest acknowledged one.
func (s *system) probeStaleChange(ctx context.Context, m *machine, before checker.OperatorRequest) {
	newest := s.newestAcknowledged()
	reply := s.operatorRequest(ctx, m, http.MethodPut, before.BuiltOn, encodeConfiguration(newest+100, []routePlan{renderRoute}))
	if reply.Status == http.StatusOK || reply.Status == http.StatusPreconditionFailed && currentVersionOf(reply.Answer) < newest {
		s.recordFailure(fmt.Errorf("%s answers %d %s to a change on version %d, though %d was acknowledged before",
			m.name, reply.Status, reply.Answer, before.BuiltOn, newest))
	}
}

// probeRetriedChange retries a change that was accepted before, which must not be refused.
func (s *system) probeRetriedChange(ctx context.Context, m *machine, before checker.OperatorRequest) {
	reply := s.operatorRequest(ctx, m, http.MethodPut, before.BuiltOn, before.Body)
	if isDefinite(reply.Status) && reply.Status != http.StatusOK {
		s.recordFailure(fmt.Errorf("%s answers %d %s to a change that was accepted before", m.name, reply.Status, reply.Answer))
	}
}

// currentVersionOf returns the version that a refusal names as the current one; 0 if it names none.
func currentVersionOf(answer []byte) int64 {
	_, rest, _ := strings.Cut(string(answer), "version ")
	number, _, _ := strings.Cut(rest, " ")
	current, _ := strconv.ParseInt(number, 10, 64)
	return current
}

// probeJobs requests the job that was accepted last from a core machine's operator interface and from all fronts. None may
// answer that the job does not exist.
func (s *system) probeJobs(ctx context.Context, m *machine, _ checker.OperatorRequest) {
	path, id := s.newestJob()
	if path == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	status, answer := s.sendWith(bounded, http.Header{}, http.MethodGet, "http://"+m.address(controlOffset)+jobsPath+id, nil)
	if status == http.StatusNotFound {
		s.recordFailure(fmt.Errorf("%s does not find job %s, which was accepted before: %s", m.name, id, answer))
	}
	for _, front := range s.fronts {
		if got := s.clientRequest(ctx, front, http.MethodGet, path, nil); got.Status == http.StatusGone || got.Status == http.StatusNotFound {
			s.recordFailure(fmt.Errorf("%s answers %d about job %s, which was accepted before", front.name, got.Status, id))
		}
	}
}

// newestJob returns the path and identifier of the job that was accepted last; both are empty before the first.
func (s *system) newestJob() (path, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.requests {
		if request.Method == http.MethodPost && request.Status == http.StatusOK {
			path = request.Path
		}
	}
	return path, path[strings.LastIndex(path, "/")+1:]
}

// pauseAgentLong pauses the agent of a proxy for pauseLength. The proxy must become not ready meanwhile. It must not answer
// from stale state before or after its agent resumes, and must be ready again at the end.
func pauseAgentLong(ctx context.Context, s *system) error {
	front := s.fronts[0]
	if !front.reserve() {
		return errors.New("the machine already has a fault")
	}
	defer front.release()
	s.recordFaultStart(front.name)
	front.signalRole(agentRole, syscall.SIGSTOP)
	pausedAt, resumeAt := time.Now(), time.Now().Add(pauseLength)
	s.recoveries.Go(func() {
		if sleep(ctx, readinessTimeout) == nil && s.ready(ctx, front) {
			s.recordFailure(fmt.Errorf("%s is ready %v after its agent stopped", front.name, time.Since(pausedAt)))
		}
	})
	s.changeWhilePaused(ctx, resumeAt)
	added := routePlan{"/late/", guardedService}
	if !s.configurations.set(ctx, 1, renderRoute, mailRoute, added) {
		return errors.New("a change was not acknowledged")
	}
	var probes sync.WaitGroup
	for range 3 {
		probes.Go(func() { s.probeFront(ctx, front, added) })
	}
	err := sleep(ctx, time.Until(resumeAt))
	front.signalRole(agentRole, syscall.SIGCONT)
	s.recordFaultEnd(front.name)
	probes.Wait()
	for end := time.Now().Add(probeDuration); time.Now().Before(end); {
		s.probeFront(ctx, front, added)
	}
	if !s.ready(ctx, front) {
		s.recordFailure(fmt.Errorf("%s is not ready %v after its agent resumed", front.name, probeDuration))
	}
	return err
}

// probeFront requests a route that was added during the pause, and the newest job, from a front whose agent was paused. The
// front must not answer that the route or the job does not exist.
func (s *system) probeFront(ctx context.Context, front *machine, added routePlan) {
	wasReady := s.ready(ctx, front)
	if got := s.clientRequest(ctx, front, http.MethodGet, added.prefix, nil); got.Status == http.StatusNotFound {
		s.recordFailure(fmt.Errorf("%s answers 404 for a route that was acknowledged before; ready: %v", front.name, wasReady))
	}
	if path, id := s.newestJob(); path != "" {
		if got := s.clientRequest(ctx, front, http.MethodGet, path, nil); got.Status == http.StatusGone {
			s.recordFailure(fmt.Errorf("%s answers 410 about job %s, which was accepted before", front.name, id))
		}
	}
}

// ready reports whether the readiness check of a front succeeds.
func (s *system) ready(ctx context.Context, front *machine) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, _ := s.sendWith(bounded, http.Header{}, http.MethodGet, "http://"+front.address(readinessOffset)+"/-/readiness", nil)
	return status == http.StatusOK
}

// signalRole sends a signal to the machine's processes of one role.
func (m *machine) signalRole(target role, signal syscall.Signal) {
	for _, p := range m.processes {
		if p.spec.Role == target {
			p.signal(signal)
		}
	}
}
