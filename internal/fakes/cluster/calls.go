package cluster

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	maxCompletionsPerAnswer = 500
	maxPollWait             = 2 * time.Second
)

// request is the body of a call of any kind.
type request struct {
	Task          string  `json:"task"`
	AttemptNumber uint64  `json:"execution"`
	Specification string  `json:"specification"`
	ValidUntilMS  *int64  `json:"validUntilMs"`
	FencingToken  uint64  `json:"fencingToken"`
	Checkpoint    string  `json:"checkpointed"`
	LastSeen      *uint64 `json:"lastSeen"`
	WaitMS        int64   `json:"waitMs"`

	task job.TaskID
	late bool
}

// response is the body of an answer of any kind.
type response struct {
	ClockMS  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.cluster.mu.Lock()
	incarnation := s.incarnation
	fault := s.receive(CallKind(r.URL.Path))
	s.cluster.mu.Unlock()
	if r.Header.Get("Expect-Instance") != incarnation.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var req request
	if json.Unmarshal(body, &req) != nil || !s.decode(CallKind(r.URL.Path), &req) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch fault.Kind {
	case NoFault:
		s.answer(w, r, incarnation, req, 0)
	case DelayAnswer:
		s.answer(w, r, incarnation, req, fault.Delay)
	default:
		s.applyFault(w, r, incarnation, req, fault)
	}
}

// receive counts a call and returns its fault.
func (s *Worker) receive(call CallKind) Fault {
	s.calls[call]++
	if s.faultOf == nil {
		return Fault{}
	}
	return s.faultOf(call)
}

// decode parses the task of a start or stop call. It reports whether the call is valid.
func (s *Worker) decode(call CallKind, req *request) bool {
	if call == LeaseCall {
		return req.WaitMS <= maxPollWait.Milliseconds() && req.WaitMS >= 0
	}
	task, err := job.ParseTaskID(req.Task)
	req.task = task
	return err == nil && (call == StartCall || call == StopCall) && (call == StopCall || req.ValidUntilMS != nil)
}

func (s *Worker) applyFault(w http.ResponseWriter, r *http.Request, incarnation *incarnation, req request, fault Fault) {
	switch fault.Kind {
	case Reject:
		w.WriteHeader(fault.Status)
		return
	case ResetConnection:
		panic(http.ErrAbortHandler)
	case DropAnswer:
		s.execute(incarnation, CallKind(r.URL.Path), req)
	case DelayExecution:
		s.executeLate(incarnation, CallKind(r.URL.Path), req, fault)
	}
	select { // wait without an answer until the caller or the worker ends the call
	case <-r.Context().Done():
	case <-incarnation.crashed:
	case <-s.cluster.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Worker) executeLate(incarnation *incarnation, call CallKind, req request, fault Fault) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	arrived := s.clockNow()
	req.late = true
	s.cluster.clock.AfterFunc(fault.Delay, func() {
		if fault.LeaseFromExecution && req.ValidUntilMS != nil {
			s.cluster.mu.Lock()
			shifted := *req.ValidUntilMS + (s.clockNow() - arrived).Milliseconds()
			s.cluster.mu.Unlock()
			req.ValidUntilMS = &shifted
		}
		s.execute(incarnation, call, req)
	})
}

// answer executes a call and answers it after the delay. A poll is answered when a completion is available or its wait is over.
func (s *Worker) answer(w http.ResponseWriter, r *http.Request, incarnation *incarnation, req request, delay time.Duration) {
	call := CallKind(r.URL.Path)
	status, answer := s.execute(incarnation, call, req)
	if call == LeaseCall && status == http.StatusOK {
		s.awaitCompletion(r, incarnation, time.Duration(req.WaitMS)*time.Millisecond)
		answer = s.leaseResponse(incarnation)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	if delay > 0 && !s.delay(r, incarnation, delay) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// delay waits for the given time. It reports false if the call is canceled or the worker crashes before.
func (s *Worker) delay(r *http.Request, incarnation *incarnation, delay time.Duration) bool {
	over := make(chan struct{})
	cancel := s.cluster.clock.AfterFunc(delay, func() { close(over) })
	defer cancel()
	select {
	case <-over:
		return true
	case <-r.Context().Done():
	case <-incarnation.crashed:
	case <-s.cluster.closed:
	}
	return false
}

// execute executes a call, unless the worker has crashed since the call arrived or the call's fencing token is outdated.
func (s *Worker) execute(incarnation *incarnation, call CallKind, req request) (int, response) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.incarnation != incarnation {
		return http.StatusMisdirectedRequest, response{}
	}
	if req.FencingToken < incarnation.fencingToken {
		return s.reject("fence")
	}
	incarnation.fencingToken = req.FencingToken
	switch call {
	case StartCall:
		return s.start(req)
	case StopCall:
		s.stop(req)
	case LeaseCall:
		s.acknowledge(req.LastSeen)
		if req.ValidUntilMS != nil {
			s.renewLease(time.Duration(*req.ValidUntilMS) * time.Millisecond)
		}
	}
	return http.StatusOK, response{ClockMS: s.clockNow().Milliseconds()}
}

func (s *Worker) reject(reason string) (int, response) {
	return http.StatusConflict, response{ClockMS: s.clockNow().Milliseconds(), Reason: reason}
}

func (s *Worker) start(req request) (int, response) {
	accepted := response{ClockMS: s.clockNow().Milliseconds()}
	validUntil := time.Duration(*req.ValidUntilMS) * time.Millisecond
	if validUntil <= s.clockNow() {
		return s.reject("late")
	}
	s.renewLease(validUntil)
	for _, r := range s.incarnation.running {
		if r.record.Task == req.task && r.record.Number == req.AttemptNumber {
			return http.StatusOK, accepted
		}
	}
	if req.AttemptNumber <= s.incarnation.highestFinished[req.task] {
		return s.reject("old")
	}
	profile := s.profile(req)
	fits := s.config.Capacity.Subtract(s.used()).Fits(profile.Resources)
	if s.config.EnforcesCapacity && !fits {
		return s.reject("room")
	}
	s.begin(req, profile, !fits)
	return http.StatusOK, accepted
}

func (s *Worker) profile(req request) Profile {
	if s.cluster.settings.TaskProfile == nil {
		return Profile{}
	}
	return s.cluster.settings.TaskProfile(req.task, req.Specification)
}

func (s *Worker) begin(req request, profile Profile, overCapacity bool) {
	r := &attempt{worker: s, incarnation: s.incarnation, profile: profile}
	r.record = AttemptRecord{
		Worker: s.incarnation.id, Task: req.task, Number: req.AttemptNumber, FencingToken: req.FencingToken,
		Specification: req.Specification, Checkpoint: req.Checkpoint, Late: req.late,
		StartedAt: s.cluster.clock.Now(), OverCapacity: overCapacity,
	}
	r.begin()
}

func (s *Worker) stop(req request) {
	s.incarnation.highestFinished[req.task] = max(s.incarnation.highestFinished[req.task], req.AttemptNumber)
	for _, r := range slices.Clone(s.incarnation.running) {
		if r.record.Task == req.task && r.record.Number == req.AttemptNumber {
			r.stop()
		}
	}
}

// acknowledge removes the completions up to a number.
func (s *Worker) acknowledge(lastSeen *uint64) {
	if lastSeen == nil {
		return
	}
	s.incarnation.completions = slices.DeleteFunc(s.incarnation.completions, func(r *attempt) bool {
		if r.completionNumber > *lastSeen {
			return false
		}
		r.record.Acknowledged = true
		return true
	})
}

// awaitCompletion waits until a completion is available, but no longer than wait.
func (s *Worker) awaitCompletion(r *http.Request, incarnation *incarnation, wait time.Duration) {
	if wait == 0 {
		return
	}
	s.cluster.mu.Lock()
	if len(incarnation.completions) > 0 {
		s.cluster.mu.Unlock()
		return
	}
	waiter, over := make(chan struct{}), make(chan struct{})
	incarnation.waiters[waiter] = true
	s.cluster.mu.Unlock()
	cancel := s.cluster.clock.AfterFunc(wait, func() { close(over) })
	defer cancel()
	select {
	case <-waiter:
	case <-over:
	case <-incarnation.crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	case <-s.cluster.closed:
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	delete(incarnation.waiters, waiter)
}

// leaseResponse returns the answer to a poll: the running attempts and the first unacknowledged completions.
func (s *Worker) leaseResponse(incarnation *incarnation) response {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	answer := response{ClockMS: s.clockNow().Milliseconds(), Running: [][]any{}, Finished: [][]any{}}
	for _, r := range incarnation.running {
		entry := []any{r.record.Task.String(), r.record.Number, r.checkpoint(false), r.percent()}
		answer.Running = append(answer.Running, entry)
	}
	for _, r := range incarnation.completions[:min(len(incarnation.completions), maxCompletionsPerAnswer)] {
		entry := []any{r.completionNumber, r.record.Task.String(), r.record.Number, r.record.Outcome, r.lastCheckpoint}
		answer.Finished = append(answer.Finished, entry)
	}
	return answer
}
