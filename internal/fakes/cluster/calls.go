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
	finishedPerAnswer = 500
	longestWait       = 2 * time.Second
)

// request is the body of any call.
type request struct {
	Task          string  `json:"task"`
	Execution     uint64  `json:"execution"`
	Specification string  `json:"specification"`
	ValidUntilMS  *int64  `json:"validUntilMs"`
	FencingToken  uint64  `json:"fencingToken"`
	Checkpointed  string  `json:"checkpointed"`
	LastSeen      *uint64 `json:"lastSeen"`
	WaitMS        int64   `json:"waitMs"`

	task job.TaskID
	late bool
}

// response is the body of any answer.
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
	fault := s.receive(Call(r.URL.Path))
	s.cluster.mu.Unlock()
	if r.Header.Get("Expect-Instance") != incarnation.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var q request
	if json.Unmarshal(body, &q) != nil || !s.decode(Call(r.URL.Path), &q) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch fault.Kind {
	case None:
		s.answer(w, r, incarnation, q, 0)
	case Slow:
		s.answer(w, r, incarnation, q, fault.Delay)
	default:
		s.fail(w, r, incarnation, q, fault)
	}
}

// receive counts a call and decides what goes wrong with it.
func (s *Worker) receive(call Call) Fault {
	s.calls[call]++
	if s.faults == nil {
		return Fault{}
	}
	return s.faults(call)
}

// decode tells whether a call makes sense, and reads its task's name.
func (s *Worker) decode(call Call, q *request) bool {
	if call == LeaseCall {
		return q.WaitMS <= longestWait.Milliseconds() && q.WaitMS >= 0
	}
	task, err := job.ParseTaskID(q.Task)
	q.task = task
	return err == nil && (call == StartCall || call == StopCall) && (call == StopCall || q.ValidUntilMS != nil)
}

func (s *Worker) fail(w http.ResponseWriter, r *http.Request, incarnation *incarnation, q request, fault Fault) {
	switch fault.Kind {
	case Refuse:
		w.WriteHeader(fault.Status)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Mute:
		s.execute(incarnation, Call(r.URL.Path), q)
	case Late:
		s.executeLate(incarnation, Call(r.URL.Path), q, fault)
	}
	select { // without an answer
	case <-r.Context().Done():
	case <-incarnation.crashed:
	case <-s.cluster.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Worker) executeLate(incarnation *incarnation, call Call, q request, fault Fault) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	arrived := s.clockNow()
	q.late = true
	s.cluster.clock.AfterFunc(fault.Delay, func() {
		if fault.FromArrival && q.ValidUntilMS != nil {
			s.cluster.mu.Lock()
			shifted := *q.ValidUntilMS + (s.clockNow() - arrived).Milliseconds()
			s.cluster.mu.Unlock()
			q.ValidUntilMS = &shifted
		}
		s.execute(incarnation, call, q)
	})
}

// answer carries a call out and answers it, a hold perhaps once a run has ended. The answer is on its way for a while.
func (s *Worker) answer(w http.ResponseWriter, r *http.Request, incarnation *incarnation, q request, way time.Duration) {
	call := Call(r.URL.Path)
	status, answer := s.execute(incarnation, call, q)
	if call == LeaseCall && status == http.StatusOK {
		s.awaitCompletion(r, incarnation, time.Duration(q.WaitMS)*time.Millisecond)
		answer = s.lists(incarnation)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	if way > 0 && !s.delay(r, incarnation, way) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// delay waits for a while; it tells whether the caller is still there then.
func (s *Worker) delay(r *http.Request, incarnation *incarnation, way time.Duration) bool {
	over := make(chan struct{})
	cancel := s.cluster.clock.AfterFunc(way, func() { close(over) })
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

// execute does what a call asks for, unless that life is over.
func (s *Worker) execute(incarnation *incarnation, call Call, q request) (int, response) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.incarnation != incarnation {
		return http.StatusMisdirectedRequest, response{}
	}
	if q.FencingToken < incarnation.fencingToken {
		return s.reject("fence")
	}
	incarnation.fencingToken = q.FencingToken
	switch call {
	case StartCall:
		return s.start(q)
	case StopCall:
		s.stop(q)
	case LeaseCall:
		s.acknowledge(q.LastSeen)
		if q.ValidUntilMS != nil {
			s.renewLease(time.Duration(*q.ValidUntilMS) * time.Millisecond)
		}
	}
	return http.StatusOK, response{ClockMS: s.clockNow().Milliseconds()}
}

func (s *Worker) reject(reason string) (int, response) {
	return http.StatusConflict, response{ClockMS: s.clockNow().Milliseconds(), Reason: reason}
}

func (s *Worker) start(q request) (int, response) {
	accepted := response{ClockMS: s.clockNow().Milliseconds()}
	validUntil := time.Duration(*q.ValidUntilMS) * time.Millisecond
	if validUntil <= s.clockNow() {
		return s.reject("late")
	}
	s.renewLease(validUntil)
	for _, r := range s.incarnation.running {
		if r.record.Task == q.task && r.record.Execution == q.Execution {
			return http.StatusOK, accepted
		}
	}
	if q.Execution <= s.incarnation.barred[q.task] {
		return s.reject("old")
	}
	profile := s.profile(q)
	fits := s.config.Capacity.Subtract(s.used()).Fits(profile.Resources)
	if s.config.Guards && !fits {
		return s.reject("room")
	}
	s.begin(q, profile, !fits)
	return http.StatusOK, accepted
}

func (s *Worker) profile(q request) Profile {
	if s.cluster.settings.Describe == nil {
		return Profile{}
	}
	return s.cluster.settings.Describe(q.task, q.Specification)
}

func (s *Worker) begin(q request, profile Profile, overCapacity bool) {
	r := &run{worker: s, incarnation: s.incarnation, profile: profile}
	r.record = RunRecord{
		Worker: s.incarnation.id, Task: q.task, Execution: q.Execution, FencingToken: q.FencingToken,
		Specification: q.Specification, Checkpoint: q.Checkpointed, Late: q.late,
		StartedAt: s.cluster.clock.Now(), OverCapacity: overCapacity,
	}
	r.begin()
}

func (s *Worker) stop(q request) {
	s.incarnation.barred[q.task] = max(s.incarnation.barred[q.task], q.Execution)
	for _, r := range slices.Clone(s.incarnation.running) {
		if r.record.Task == q.task && r.record.Execution == q.Execution {
			r.stop()
		}
	}
}

// acknowledge forgets the ends up to a number.
func (s *Worker) acknowledge(lastSeen *uint64) {
	if lastSeen == nil {
		return
	}
	s.incarnation.completions = slices.DeleteFunc(s.incarnation.completions, func(r *run) bool {
		if r.number > *lastSeen {
			return false
		}
		r.record.Acknowledged = true
		return true
	})
}

// awaitCompletion waits until an end is listed, for as long as the caller wants.
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

// lists is a hold's answer.
func (s *Worker) lists(incarnation *incarnation) response {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	answer := response{ClockMS: s.clockNow().Milliseconds(), Running: [][]any{}, Finished: [][]any{}}
	for _, r := range incarnation.running {
		entry := []any{r.record.Task.String(), r.record.Execution, r.checkpoint(false), r.percent()}
		answer.Running = append(answer.Running, entry)
	}
	for _, r := range incarnation.completions[:min(len(incarnation.completions), finishedPerAnswer)] {
		entry := []any{r.number, r.record.Task.String(), r.record.Execution, r.record.Outcome, r.saved}
		answer.Finished = append(answer.Finished, entry)
	}
	return answer
}
