package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	listedEnds  = 500 // ends that one answer lists
	headerLimit = 3 * time.Second
)

// profile says what each task of a job takes.
type profile struct {
	resources job.Resources
	duration  time.Duration
}

// attempt is one run of a task at a searcher, as the searcher sees it.
type attempt struct {
	searcher     string
	task         job.TaskID
	execution    uint64
	fencingToken uint64
	startedAt    time.Time
	endedAt      time.Time // zero while it runs
	outcome      job.Outcome
	noted        bool // lastSeen has reached its end

	profile profile
	number  uint64 // of its end
}

// farm is the set of all searchers, with one lock for their state.
type farm struct {
	profileOf func(id job.ID) profile

	mutex     sync.Mutex
	searchers []*searcher
	attempts  []*attempt
}

// searcher is a stand-in of a searcher, as PROTOCOL.md describes it, for tasks outside gangs that do not checkpoint. It guards its
// capacity.
type searcher struct {
	farm     *farm
	id       string
	service  string
	rack     string
	address  string
	capacity job.Resources
	server   *http.Server
	start    time.Time // zero of its clock

	// Guarded by the farm's lock.
	token     uint64
	holdUntil time.Duration // on its clock
	running   []*attempt
	highest   map[job.TaskID]uint64 // highest execution that was stopped or has ended
	ends      []*attempt            // ends that are not taken note of
	endCount  uint64
	ended     chan struct{} // closed at the next end
}

// add starts a searcher.
func (f *farm) add(service string, number int, capacity job.Resources) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("searcher: %w", err)
	}
	s := &searcher{
		farm: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, rack: fmt.Sprintf("r1-%d", number), address: listener.Addr().String(),
		capacity: capacity, start: time.Now(), highest: make(map[job.TaskID]uint64), ended: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerLimit}
	f.searchers = append(f.searchers, s)
	go func() { _ = s.server.Serve(listener) }() // until close
	return nil
}

// all returns copies of all attempts so far, in the order of their starts.
func (f *farm) all() []attempt {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	copies := make([]attempt, len(f.attempts))
	for i, a := range f.attempts {
		copies[i] = *a
	}
	return copies
}

func (f *farm) close() {
	for _, s := range f.searchers {
		s.server.Close()
	}
}

// call is the body of a call of any kind.
type call struct {
	Task         string `json:"task"`
	Execution    uint64 `json:"execution"`
	ValidUntilMS *int64 `json:"validUntilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`

	task job.TaskID
}

// reply is the body of an answer of any kind.
type reply struct {
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
	var c call
	if err = json.Unmarshal(body, &c); err == nil && r.URL.Path != "/-/hold" {
		c.task, err = job.ParseTaskID(c.Task)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answered := s.execute(r, c)
	text, err := json.Marshal(answered)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}

func (s *searcher) execute(r *http.Request, c call) (int, reply) {
	s.farm.mutex.Lock()
	defer s.farm.mutex.Unlock()
	if c.FencingToken < s.token {
		return s.refuse("fence")
	}
	s.token = c.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		return s.begin(c)
	case "/-/run-stop":
		s.stop(c)
		return http.StatusOK, reply{ClockMS: s.clock().Milliseconds()}
	case "/-/hold":
		return http.StatusOK, s.hold(r, c)
	}
	return http.StatusNotFound, reply{}
}

func (s *searcher) clock() time.Duration { return time.Since(s.start) }

func (s *searcher) refuse(reason string) (int, reply) {
	return http.StatusConflict, reply{ClockMS: s.clock().Milliseconds(), Reason: reason}
}

// begin carries out a start order.
func (s *searcher) begin(c call) (int, reply) {
	if c.ValidUntilMS == nil {
		return http.StatusBadRequest, reply{}
	}
	validUntil := time.Duration(*c.ValidUntilMS) * time.Millisecond
	if validUntil <= s.clock() {
		return s.refuse("late")
	}
	s.extend(validUntil)
	switch {
	case s.find(c) != nil:
		return http.StatusOK, reply{ClockMS: s.clock().Milliseconds()}
	case c.Execution <= s.highest[c.task]:
		return s.refuse("old")
	}
	wanted, free := s.farm.profileOf(c.task.Job), s.capacity
	for _, a := range s.running {
		free = free.Subtract(a.profile.resources)
	}
	if !free.Fits(wanted.resources) {
		return s.refuse("room")
	}
	a := &attempt{searcher: s.id, task: c.task, execution: c.Execution, fencingToken: c.FencingToken, startedAt: time.Now(), profile: wanted}
	s.running = append(s.running, a)
	s.farm.attempts = append(s.farm.attempts, a)
	s.after(wanted.duration, func() { s.end(a, job.OutcomeDone) })
	return http.StatusOK, reply{ClockMS: s.clock().Milliseconds()}
}

// after calls a function with the lock held.
func (s *searcher) after(delay time.Duration, call func()) {
	time.AfterFunc(delay, func() {
		s.farm.mutex.Lock()
		defer s.farm.mutex.Unlock()
		call()
	})
}

// find returns the attempt that an order names, if it runs.
func (s *searcher) find(c call) *attempt {
	for _, a := range s.running {
		if a.task == c.task && a.execution == c.Execution {
			return a
		}
	}
	return nil
}

func (s *searcher) stop(c call) {
	s.highest[c.task] = max(s.highest[c.task], c.Execution)
	if a := s.find(c); a != nil {
		s.after(stopTime/4, func() { s.end(a, job.OutcomeStopped) })
	}
}

// end ends an attempt, unless it has ended already, and lists its end.
func (s *searcher) end(a *attempt, outcome job.Outcome) {
	if !a.endedAt.IsZero() {
		return
	}
	s.running = slices.DeleteFunc(s.running, func(other *attempt) bool { return other == a })
	s.highest[a.task] = max(s.highest[a.task], a.execution)
	s.endCount++
	a.endedAt, a.outcome, a.number = time.Now(), outcome, s.endCount
	s.ends = append(s.ends, a)
	close(s.ended)
	s.ended = make(chan struct{})
}

// hold takes note of ends, extends the hold, waits for an end if that is asked, and returns both lists. The lock is released while
// it waits.
func (s *searcher) hold(r *http.Request, c call) reply {
	s.ends = slices.DeleteFunc(s.ends, func(a *attempt) bool {
		a.noted = a.noted || a.number <= c.LastSeen
		return a.noted
	})
	if c.ValidUntilMS != nil {
		s.extend(time.Duration(*c.ValidUntilMS) * time.Millisecond)
	}
	if c.WaitMS > 0 && len(s.ends) == 0 {
		ended := s.ended
		s.farm.mutex.Unlock()
		timer := time.NewTimer(time.Duration(c.WaitMS) * time.Millisecond)
		select {
		case <-ended:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		s.farm.mutex.Lock()
	}
	lists := reply{ClockMS: s.clock().Milliseconds(), Running: [][]any{}, Finished: [][]any{}}
	for _, a := range s.running {
		percent := min(99, 100*time.Since(a.startedAt)/max(1, a.profile.duration))
		lists.Running = append(lists.Running, []any{a.task.String(), a.execution, "", int(percent)})
	}
	for _, a := range s.ends[:min(len(s.ends), listedEnds)] {
		lists.Finished = append(lists.Finished, []any{a.number, a.task.String(), a.execution, a.outcome, ""})
	}
	return lists
}

// extend extends the hold, to holdMax from now at most. Whatever runs lapses when it is over.
func (s *searcher) extend(until time.Duration) {
	until = min(until, s.clock()+holdMax)
	if until <= s.holdUntil {
		return
	}
	s.holdUntil = until
	s.after(until-s.clock()+time.Millisecond, func() {
		if s.clock() < s.holdUntil {
			return
		}
		for _, a := range slices.Clone(s.running) {
			s.end(a, job.OutcomeLeaseExpired)
		}
	})
}
