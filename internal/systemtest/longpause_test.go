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
	pauseLength    = 20 * time.Second
	probeLeadTime  = 400 * time.Millisecond // before the process resumes: requests that wait for it then
	probeDuration  = 3 * time.Second        // after it resumed, in which it gets further requests
	changeInterval = 1500 * time.Millisecond
	staleness      = 5 * time.Second // by which a proxy without its agent is not ready
	jobsPath       = "/-/jobs/"
)

// longPauseScenarios pause one process, or all of a machine, for 20 s, while the configuration changes and jobs arrive.
var longPauseScenarios = []scenario{
	{name: "leader-paused-long", seed: 31, faults: onLeader(pauseCoreLong)},
	{name: "follower-paused-long", seed: 32, faults: onFollower(pauseCoreLong)},
	{name: "agent-paused-long", seed: 33, faults: pauseAgentLong},
}

// TestNoStaleStateAfterLongPause plays them side by side, as each takes that long whatever the machine does.
func TestNoStaleStateAfterLongPause(t *testing.T) {
	t.Parallel()
	runScenarios(t, longPauseScenarios, len(longPauseScenarios), "No rule is broken, and no stale state is served: ")
}

// newestAcknowledged is the newest version that an operator was told is in force.
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

func versionOf(body []byte) (version int64) {
	at := bytes.Index(body, []byte(`"version":`))
	if at >= 0 {
		fmt.Sscanf(string(body[at:]), `"version":%d`, &version)
	}
	return version
}

// changeFor sets one version after the other for a time, and adds and removes a route.
func (s *system) changeFor(ctx context.Context, length time.Duration) {
	extra := routePlan{"/extra/", guardedService}
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		routes := []routePlan{renderRoute, mailRoute}
		if number%2 == 0 {
			routes = append(routes, extra)
		}
		if !s.configured.set(ctx, number, routes...) {
			s.recordFailure(errors.New("a change was not acknowledged"))
			return
		}
		if sleep(ctx, changeInterval) != nil {
			return
		}
	}
}

// pauseCoreLong pauses a core machine, and sends it requests shortly before and after it resumes.
func pauseCoreLong(ctx context.Context, s *system, m *machine) {
	if !m.reserve() {
		s.recordFailure(errors.New("the machine has another fault"))
		return
	}
	defer m.release()
	changes := s.acknowledgedChanges()
	m.pause()
	wake := time.Now().Add(pauseLength)
	s.changeWhilePaused(ctx, wake)
	var probes sync.WaitGroup
	for _, probe := range staleStateProbes {
		probes.Go(func() { probe(s, ctx, m, changes[len(changes)-1]) })
	}
	s.recordFailure(sleep(ctx, time.Until(wake)))
	m.resume()
	probes.Wait()
	for end := time.Now().Add(probeDuration); time.Now().Before(end); {
		for _, probe := range staleStateProbes {
			probe(s, ctx, m, changes[len(changes)-1])
		}
	}
}

// changeWhilePaused changes the configuration and submits jobs until shortly before the process resumes.
func (s *system) changeWhilePaused(ctx context.Context, wake time.Time) {
	wait := s.startLoad(ctx, rand.New(rand.NewPCG(1, 8)))
	s.recoveries.Go(func() { wait() })
	s.changeFor(ctx, time.Until(wake)-4*changeInterval)
	s.recordFailure(sleep(ctx, time.Until(wake)-probeLeadTime))
}

// acknowledgedChanges are the changes that have been acknowledged so far.
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

// staleStateProbes request from a core machine what its state from before the pause may answer wrongly. They get the newest change from
// before the pause.
var staleStateProbes = []func(s *system, ctx context.Context, m *machine, before checker.OperatorRequest){
	(*system).probeRead, (*system).probeStaleChange, (*system).probeRetriedChange, (*system).probeJobs,
}

// probeRead reads the configuration.
func (s *system) probeRead(ctx context.Context, m *machine, _ checker.OperatorRequest) {
	newest := s.newestAcknowledged()
	read := s.operatorRequest(ctx, m, http.MethodGet, 0, nil)
	if read.Status == http.StatusOK && versionOf(read.Answer) < newest || read.Status == http.StatusNotFound {
		s.recordFailure(fmt.Errorf("%s hands out version %d, though %d was acknowledged before", m.name, versionOf(read.Answer), newest))
	}
}

// probeStaleChange sends a change on a version that was replaced long ago.
func (s *system) probeStaleChange(ctx context.Context, m *machine, before checker.OperatorRequest) {
	newest := s.newestAcknowledged()
	late := s.operatorRequest(ctx, m, http.MethodPut, before.BuiltOn, encodeConfiguration(newest+100, []routePlan{renderRoute}))
	if late.Status == http.StatusOK || late.Status == http.StatusPreconditionFailed && currentOf(late.Answer) < newest {
		s.recordFailure(fmt.Errorf("%s answers %d %s to a change on version %d, though %d was acknowledged before",
			m.name, late.Status, late.Answer, before.BuiltOn, newest))
	}
}

// probeRetriedChange retries a change that was accepted.
func (s *system) probeRetriedChange(ctx context.Context, m *machine, before checker.OperatorRequest) {
	retried := s.operatorRequest(ctx, m, http.MethodPut, before.BuiltOn, before.Body)
	if isDefinite(retried.Status) && retried.Status != http.StatusOK {
		s.recordFailure(fmt.Errorf("%s answers %d %s to a change that was accepted before", m.name, retried.Status, retried.Answer))
	}
}

// currentOf is the version that a refusal names.
func currentOf(answer []byte) int64 {
	_, rest, _ := strings.Cut(string(answer), "version ")
	number, _, _ := strings.Cut(rest, " ")
	current, _ := strconv.ParseInt(number, 10, 64)
	return current
}

// probeJobs requests the job that was accepted last, from a core machine as an operator does, and from all fronts.
func (s *system) probeJobs(ctx context.Context, m *machine, _ checker.OperatorRequest) {
	path, id := s.newestJob()
	if path == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	status, answer := s.sendWith(bounded, http.Header{}, http.MethodGet, "http://"+m.address(controlOffset)+jobsPath+id, nil)
	if status == http.StatusNotFound {
		s.recordFailure(fmt.Errorf("%s knows nothing of job %s, which was accepted before: %s", m.name, id, answer))
	}
	for _, front := range s.fronts {
		if got := s.clientRequest(ctx, front, http.MethodGet, path, nil); got.Status == http.StatusGone || got.Status == http.StatusNotFound {
			s.recordFailure(fmt.Errorf("%s answers %d about job %s, which was accepted before", front.name, got.Status, id))
		}
	}
}

// newestJob is the job that was accepted last; empty before the first.
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

// pauseAgentLong pauses the agent beside a proxy.
func pauseAgentLong(ctx context.Context, s *system) error {
	front := s.fronts[0]
	if !front.reserve() {
		return errors.New("the machine has another fault")
	}
	defer front.release()
	s.faultBegan(front.name)
	front.signalRole(agentRole, syscall.SIGSTOP)
	stopped, wake := time.Now(), time.Now().Add(pauseLength)
	s.recoveries.Go(func() {
		if sleep(ctx, staleness) == nil && s.ready(ctx, front) {
			s.recordFailure(fmt.Errorf("%s is ready %v after its agent stopped", front.name, time.Since(stopped)))
		}
	})
	s.changeWhilePaused(ctx, wake)
	added := routePlan{"/late/", guardedService}
	if !s.configured.set(ctx, 1, renderRoute, mailRoute, added) {
		return errors.New("a change was not acknowledged")
	}
	var command sync.WaitGroup
	for range 3 {
		command.Go(func() { s.probeFront(ctx, front, added) })
	}
	err := sleep(ctx, time.Until(wake))
	front.signalRole(agentRole, syscall.SIGCONT)
	s.faultEnded(front.name)
	command.Wait()
	for end := time.Now().Add(probeDuration); time.Now().Before(end); {
		s.probeFront(ctx, front, added)
	}
	if !s.ready(ctx, front) {
		s.recordFailure(fmt.Errorf("%s is not ready %v after its agent resumed", front.name, probeDuration))
	}
	return err
}

// probeFront requests a route that was added while the proxy's agent was paused. The proxy must answer neither that there is none, nor
// that there is no job.
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

// ready reports the readiness of a proxy, as the platform sees it.
func (s *system) ready(ctx context.Context, front *machine) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, _ := s.sendWith(bounded, http.Header{}, http.MethodGet, "http://"+front.address(readinessOffset)+"/-/readiness", nil)
	return status == http.StatusOK
}

// signalRole sends a signal to the processes of one role.
func (m *machine) signalRole(of role, signal syscall.Signal) {
	for _, p := range m.processes {
		if p.spec.Role == of {
			p.signal(signal)
		}
	}
}
