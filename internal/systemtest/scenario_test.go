package systemtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// scenario is a run of the system under load, with faults injected while the load is running.
type scenario struct {
	name string
	seed uint64
	// faults injects faults while the load is running; nil for none. When it returns, machines may still be recovering in the
	// background.
	faults func(ctx context.Context, s *system) error
	// prepare changes the system before it starts; nil for no change.
	prepare func(s *system)
	size    systemSize    // zero for defaultSize
	timeout time.Duration // 0 for scenarioTimeout
}

const (
	scenarioTimeout  = 2 * time.Minute
	loadLength       = 4 * time.Second // time over which the load submits its jobs
	jobsPerKind      = 2
	loadBeforeFaults = 1500 * time.Millisecond // time from the start of the load to the first fault
)

var errChangeNotAcknowledged = errors.New("a change of the configuration was not acknowledged")

// outcome is the result of a scenario.
type outcome struct {
	violations []checker.Violation
	failures   []error       // of the test itself, or of processes
	accepted   int           // jobs
	duration   time.Duration // from the start of the first process
	summary    summary
}

// matches reports whether a scenario's name matches one of the comma-separated patterns, in the syntax of path.Match.
func (sc scenario) matches(patterns string) bool {
	return slices.ContainsFunc(strings.Split(patterns, ","), func(pattern string) bool {
		matched, err := path.Match(pattern, sc.name)
		return matched && err == nil
	})
}

// run runs a scenario in its own folder and checks what was observed.
func (sc scenario) run(folder string) outcome {
	if sc.timeout == 0 {
		sc.timeout = scenarioTimeout
	}
	if sc.size.fronts == 0 {
		sc.size = defaultSize
	}
	ctx, cancel := context.WithTimeout(context.Background(), sc.timeout)
	defer cancel()
	s, err := newSystem(folder, sc.size)
	if err != nil {
		return outcome{failures: []error{err}}
	}
	if sc.prepare != nil {
		sc.prepare(s)
	}
	var result outcome
	began := time.Now()
	func() {
		defer s.stop()
		result.accepted = sc.runWithLoad(ctx, s)
	}()
	result.duration = time.Since(began).Round(time.Millisecond)
	return s.checkHistory(result)
}

// runWithLoad starts the system, runs the load and the faults, and waits until all jobs have ended. It returns how many jobs
// were accepted.
func (sc scenario) runWithLoad(ctx context.Context, s *system) int {
	random := rand.New(rand.NewPCG(sc.seed, 1))
	if err := s.bringUp(ctx); err != nil {
		s.recordFailure(err)
		return 0
	}
	load := s.startLoad(ctx, random)
	s.recordFailure(sleep(ctx, loadBeforeFaults))
	if sc.faults != nil {
		s.recordFailure(sc.faults(ctx, s))
	}
	accepted := load()
	s.recoveries.Wait()
	s.cancelLongRunning(ctx, random)
	s.endedAt = time.Now()
	s.awaitStateAnswers(ctx, random)
	s.awaitConfigurationRead(ctx)
	s.awaitNoRunningTasks(ctx)
	return accepted
}

// bringUp starts the system, sets the first configuration, and waits until all fronts serve it and both services have
// leaders.
func (s *system) bringUp(ctx context.Context) error {
	if err := s.start(); err != nil {
		return err
	}
	if !s.configurations.set(ctx, 0, renderRoute, mailRoute) {
		return errChangeNotAcknowledged
	}
	for _, front := range s.fronts {
		if err := s.awaitRoute(ctx, front, renderRoute); err != nil {
			return err
		}
	}
	return errors.Join(s.awaitLeader(ctx, guardedService), s.awaitLeader(ctx, unguardedService))
}

// awaitRoute waits until a front serves a route.
func (s *system) awaitRoute(ctx context.Context, front *machine, route routePlan) error {
	for {
		if s.clientRequest(ctx, front, http.MethodGet, route.prefix, nil).Status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("%s does not serve %s: %w", front.name, route.prefix, err)
		}
	}
}

// startLoad submits jobs of all kinds over loadLength in the background. The returned function waits until these jobs have
// been followed to their ends, and returns how many were accepted.
func (s *system) startLoad(ctx context.Context, random *rand.Rand) (wait func() (accepted int)) {
	var jobs []jobPlan
	for kind := range jobKindCount {
		for i := range jobsPerKind {
			jobs = append(jobs, newJobPlan(random, kind, []routePlan{renderRoute, mailRoute}[i%2]))
		}
	}
	random.Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
	last := slices.IndexFunc(jobs, func(plan jobPlan) bool { return plan.kind == cancelledJob })
	jobs[last], jobs[len(jobs)-1] = jobs[len(jobs)-1], jobs[last] // so that at least one cancel comes after the faults
	s.jobs = append(s.jobs, jobs...)
	accepted := make(chan bool, len(jobs))
	for i, plan := range jobs {
		delay := time.Duration(i) * loadLength / time.Duration(len(jobs))
		jobRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		go func() { accepted <- sleep(ctx, delay) == nil && s.runJob(ctx, jobRandom, plan) }()
	}
	return func() (count int) {
		for range jobs {
			if <-accepted {
				count++
			}
		}
		return count
	}
}

// awaitStateAnswers requests the state of each job from the fronts until one answers with a state, or that the job does not
// exist any more. It stops after clientTimeout.
func (s *system) awaitStateAnswers(ctx context.Context, random *rand.Rand) {
	var all sync.WaitGroup
	for _, plan := range s.jobs {
		jobRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		all.Go(func() {
			s.retryUntil(ctx, jobRandom, http.MethodGet, plan.path(), nil, func(status int) bool {
				return status == http.StatusOK || status == http.StatusGone
			})
		})
	}
	all.Wait()
}

func (s *system) cancelLongRunning(ctx context.Context, random *rand.Rand) {
	for _, plan := range s.jobs {
		if plan.kind == longRunningJob {
			s.cancel(ctx, random, plan.path())
		}
	}
}

// awaitNoRunningTasks waits until no worker runs a task, since all jobs have ended. It stops waiting once a task that is
// still running is a violation.
func (s *system) awaitNoRunningTasks(ctx context.Context) {
	bounds := s.bounds()
	ctx, cancel := context.WithTimeout(ctx, bounds.Cancel+bounds.Stop+time.Second)
	defer cancel()
	for slices.ContainsFunc(s.cluster.Attempts(), func(run cluster.AttemptRecord) bool { return run.EndedAt.IsZero() }) {
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// checkHistory runs the checker on what was observed, and adds the violations and failures to the outcome. It writes a report
// on violations to the system's folder.
func (s *system) checkHistory(result outcome) outcome {
	h := s.history(s.endedAt)
	result.violations = checker.Check(h)
	result.summary = summarize(h)
	result.failures = append(result.failures, s.failures...)
	result.failures = append(result.failures, s.processProblems()...)
	s.writeViolationReport(h, result)
	return result
}

// awaitLeader waits until a service has a leader.
func (s *system) awaitLeader(ctx context.Context, service string) error {
	for s.leaderOf(service) == nil {
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("service %s has no leader: %w", service, err)
		}
	}
	return nil
}

// leaderOf returns the core machine that last sent a call to one of the service's workers; nil if there is none.
func (s *system) leaderOf(service string) *machine {
	for _, w := range s.workers {
		if w.description.Service != service {
			continue
		}
		name := s.recorder.leader(w.relay.to)
		for _, m := range s.core {
			if m.name == name {
				return m
			}
		}
	}
	return nil
}

// startSystem creates a system for a test that is not a scenario, and a context with the test's timeout. It starts no
// process.
func startSystem(t *testing.T, name string, dimensions systemSize, timeout time.Duration) (context.Context, *system) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	s, err := newSystem(scenarioFolder(t, name), dimensions)
	if err != nil {
		t.Fatal(err)
	}
	return ctx, s
}

// scenarioFolder returns the folder for the logs and disks of a scenario. It is kept after the test only if
// PUFFINLINK_SYSTEMTEST_KEEP is set.
func scenarioFolder(t *testing.T, name string) string {
	if keepFolder := os.Getenv("PUFFINLINK_SYSTEMTEST_KEEP"); keepFolder != "" {
		folder := filepath.Join(keepFolder, name)
		os.RemoveAll(folder)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
		return folder
	}
	return t.TempDir()
}
