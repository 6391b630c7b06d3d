package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// searcher is a stand-in of one searcher, as PROTOCOL.md describes it. It guards its capacity.
type searcher struct {
	farm     *farm
	id       string
	address  string
	capacity job.Resources
	server   *http.Server
	start    time.Time // zero of its clock

	// Guarded by the farm's lock.
	token      uint64
	holdUntil  time.Duration // on its clock
	running    []*Run
	highest    map[job.TaskID]uint64 // highest execution that was stopped or has ended
	finished   []*Run                // ends that are not taken note of
	lastNumber uint64
	ended      chan struct{} // closed at the next end
}

// addSearcher starts a searcher.
func (f *farm) addSearcher(id string, capacity job.Resources) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("searcher: %w", err)
	}
	s := &searcher{
		farm: f, id: id, address: listener.Addr().String(), capacity: capacity, start: time.Now(),
		highest: make(map[job.TaskID]uint64), ended: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: callLimit}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.searchers = append(f.searchers, s)
	go func() { _ = s.server.Serve(listener) }() // until close
	return nil
}

// close stops all searchers.
func (f *farm) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range f.searchers {
		s.server.Close()
		for _, run := range s.running {
			if run.timer != nil {
				run.timer.Stop()
			}
		}
	}
}

// order is the body of a call of any kind.
type order struct {
	Task          string `json:"task"`
	Execution     uint64 `json:"execution"`
	Specification string `json:"specification"`
	ValidUntilMS  *int64 `json:"validUntilMs"`
	FencingToken  uint64 `json:"fencingToken"`
	Checkpointed  string `json:"checkpointed"`
	LastSeen      uint64 `json:"lastSeen"`
	WaitMS        int64  `json:"waitMs"`

	task job.TaskID
}

// answerBody is the body of an answer of any kind.
type answerBody struct {
	ClockMS  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	if r.Header.Get("Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path != "/-/hold" {
		if o.task, err = job.ParseTaskID(o.Task); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	status, reply := s.carryOut(r, o)
	encoded, err := json.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(encoded)
}

// carryOut carries an order out, unless a higher fencing token has been seen.
func (s *searcher) carryOut(r *http.Request, o order) (int, answerBody) {
	s.farm.mutex.Lock()
	defer s.farm.mutex.Unlock()
	if o.FencingToken < s.token {
		return s.reject("fence")
	}
	s.token = o.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		return s.startRun(o)
	case "/-/run-stop":
		s.stopRun(o)
		return http.StatusOK, answerBody{ClockMS: s.clock().Milliseconds()}
	case "/-/hold":
		return http.StatusOK, s.hold(r, o)
	}
	return http.StatusNotFound, answerBody{}
}

func (s *searcher) clock() time.Duration { return time.Since(s.start) }

func (s *searcher) reject(reason string) (int, answerBody) {
	return http.StatusConflict, answerBody{ClockMS: s.clock().Milliseconds(), Reason: reason}
}

func (s *searcher) startRun(o order) (int, answerBody) {
	if o.ValidUntilMS == nil {
		return http.StatusBadRequest, answerBody{}
	}
	validUntil := time.Duration(*o.ValidUntilMS) * time.Millisecond
	if validUntil <= s.clock() {
		return s.reject("late")
	}
	s.extend(validUntil)
	accepted := answerBody{ClockMS: s.clock().Milliseconds()}
	if s.find(o) != nil {
		return http.StatusOK, accepted
	}
	if o.Execution <= s.highest[o.task] {
		return s.reject("old")
	}
	profile := s.farm.profile(o.task, o.Specification)
	free := s.capacity
	for _, run := range s.running {
		free = free.Subtract(run.profile.Resources)
	}
	if !free.Fits(profile.Resources) {
		return s.reject("room")
	}
	run := &Run{
		Searcher: s.id, Task: o.task, Execution: o.Execution, FencingToken: o.FencingToken, Checkpointed: o.Checkpointed,
		StartedAt: time.Now(), searcher: s, profile: profile,
	}
	run.begin()
	return http.StatusOK, accepted
}

// find returns the running run that an order names, or nil.
func (s *searcher) find(o order) *Run {
	index := slices.IndexFunc(s.running, func(run *Run) bool { return run.Task == o.task && run.Execution == o.Execution })
	if index < 0 {
		return nil
	}
	return s.running[index]
}

func (s *searcher) stopRun(o order) {
	s.highest[o.task] = max(s.highest[o.task], o.Execution)
	if run := s.find(o); run != nil {
		run.after(StopTime/2, func() { run.end(job.OutcomeStopped) })
	}
}

// hold takes note of ends, extends the hold, waits for an end if there is none, and returns both lists. The lock is held, but not
// during the wait.
func (s *searcher) hold(r *http.Request, o order) answerBody {
	s.finished = slices.DeleteFunc(s.finished, func(run *Run) bool { return run.number <= o.LastSeen })
	if o.ValidUntilMS != nil {
		s.extend(time.Duration(*o.ValidUntilMS) * time.Millisecond)
	}
	if o.WaitMS > 0 && len(s.finished) == 0 {
		ended := s.ended
		s.farm.mutex.Unlock()
		timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
		select {
		case <-ended:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		s.farm.mutex.Lock()
	}
	reply := answerBody{ClockMS: s.clock().Milliseconds()}
	for _, run := range s.running {
		reply.Running = append(reply.Running, []any{run.Task.String(), run.Execution, run.checkpoint(false), run.percent()})
	}
	for _, run := range s.finished[:min(len(s.finished), 500)] {
		reply.Finished = append(reply.Finished, []any{run.number, run.Task.String(), run.Execution, run.End, run.saved})
	}
	return reply
}

// extend extends the hold, to HoldMax from now at most. All that runs lapses when it is over.
func (s *searcher) extend(until time.Duration) {
	until = min(until, s.clock()+HoldMax)
	if until <= s.holdUntil {
		return
	}
	s.holdUntil = until
	time.AfterFunc(until-s.clock()+time.Millisecond, func() {
		s.farm.mutex.Lock()
		defer s.farm.mutex.Unlock()
		if s.clock() < s.holdUntil {
			return
		}
		for _, run := range slices.Clone(s.running) {
			run.end(job.OutcomeLeaseExpired)
		}
	})
}
