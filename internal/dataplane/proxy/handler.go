package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// deadlineHeader says how many milliseconds the client still waits.
const deadlineHeader = "Deadline-Remaining"

// handler is the clients' API.
type handler struct {
	feed     *follower
	jobs     *jobService
	working  context.Context // ends when requests under way are to be given up
	now      func() time.Time
	bodies   bodyMemory
	lastCall atomic.Bool     // answers end their connections
	requests *RequestMetrics // nil to count none
}

type stateAnswer struct {
	State job.State `json:"state"`
}

type pendingAnswer struct {
	Pending int `json:"pending"`
}

type errorAnswer struct {
	Error string `json:"error"`
}

type emptyAnswer struct{}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(plain http.ResponseWriter, r *http.Request) {
	begun := h.now()
	w := closingWriter{plain, &h.lastCall, h.counter(r, begun)}
	router := h.feed.newest().router
	if router == nil {
		answerUnavailable(w, "no configuration yet")
		return
	}
	route, rest, found := router.Match(r.Host, r.URL.Path)
	if !found {
		h.answerNoRoute(w)
		return
	}
	request := jobRequest{begun: begun, allowed: allowed(r, route), queue: route.Queue, id: job.ID(rest)}
	// A request goes on when its client has gone: the leader may have begun it already. So r.Context() is not used.
	if rest == "" {
		h.serveQueue(w, r, request)
		return
	}
	h.serveJob(w, r, request, router)
}

// closingWriter ends the connection with an answer that is written while the flag is set.
type closingWriter struct {
	http.ResponseWriter
	closes   *atomic.Bool
	answered func(status int) // nil to count nothing
}

// WriteHeader implements http.ResponseWriter.
func (w closingWriter) WriteHeader(status int) {
	if w.closes.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
	if w.answered != nil {
		w.answered(status)
	}
}

// counter counts the answer of a request; nil where none are counted.
func (h *handler) counter(r *http.Request, begun time.Time) func(status int) {
	if h.requests == nil {
		return nil
	}
	return func(status int) { h.requests.observe(r.Method, status, h.now().Sub(begun)) }
}

// answerNoRoute says that there is no such queue, if the proxy can be sure.
func (h *handler) answerNoRoute(w http.ResponseWriter) {
	if h.feed.stale() {
		answerUnavailable(w, "no such queue in a configuration that may be old")
		return
	}
	answerError(w, http.StatusNotFound, "no such queue")
}

func (h *handler) serveQueue(w http.ResponseWriter, r *http.Request, request jobRequest) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		answerError(w, http.StatusMethodNotAllowed, "a queue is only read")
		return
	}
	count, known := h.jobs.count(h.working, request)
	if !known {
		answerUnavailable(w, "no scheduler can be reached")
		return
	}
	answer(w, http.StatusOK, pendingAnswer{count})
}

func (h *handler) serveJob(w http.ResponseWriter, r *http.Request, request jobRequest, router Router) {
	switch r.Method {
	case http.MethodPost:
		h.submit(w, r, request, router.Limits().withDefaults().BodyBytes)
	case http.MethodGet:
		h.status(w, request)
	case http.MethodDelete:
		h.cancel(w, request)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		answerError(w, http.StatusMethodNotAllowed, "jobs are posted, read or deleted")
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, request jobRequest, most int64) {
	if !request.id.Valid() {
		answerError(w, http.StatusBadRequest, "the job's ID must be 16 hexadecimal digits")
		return
	}
	release, ok := h.bodies.reserve(r.ContentLength, most)
	if !ok {
		answerUnavailable(w, "too many requests under way")
		return
	}
	defer release()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		answerUnreadable(w, err)
		return
	}
	specification, err := job.ParseSpecification(body)
	if err != nil {
		answerError(w, http.StatusBadRequest, err.Error())
		return
	}
	answerOutcome(w, h.jobs.submit(h.working, request, specification), emptyAnswer{})
}

func answerUnreadable(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		answerError(w, http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		return
	}
	answerError(w, http.StatusBadRequest, "the body could not be read")
}

func (h *handler) status(w http.ResponseWriter, request jobRequest) {
	if !request.id.Valid() {
		answerError(w, http.StatusGone, "no such job")
		return
	}
	result := h.jobs.status(h.working, request)
	answerOutcome(w, result, stateAnswer{result.state})
}

func (h *handler) cancel(w http.ResponseWriter, request jobRequest) {
	if !request.id.Valid() {
		answerError(w, http.StatusGone, "no such job")
		return
	}
	answerOutcome(w, h.jobs.cancel(h.working, request), emptyAnswer{})
}

// allowed is the time that the client and the route leave for an answer.
func allowed(r *http.Request, route Route) time.Duration {
	remaining, err := strconv.ParseFloat(r.Header.Get(deadlineHeader), 64)
	if err != nil || !(remaining >= 0) || remaining >= float64(route.Timeout/time.Millisecond) {
		return route.Timeout
	}
	return time.Duration(remaining * float64(time.Millisecond))
}

// answerOutcome answers with the content if the outcome is a success.
func answerOutcome(w http.ResponseWriter, result outcome, content any) {
	if result.status == http.StatusOK {
		answer(w, http.StatusOK, content)
		return
	}
	setRetryAfter(w, result.retryAfter)
	answerError(w, result.status, errorText(result.status))
}

func errorText(status int) string {
	switch status {
	case http.StatusGone:
		return "no such job"
	case http.StatusTooManyRequests:
		return "the queue is full, nothing was taken"
	case http.StatusServiceUnavailable:
		return "no scheduler can be reached, nothing was taken"
	default:
		return "no clear answer in time, the request may have been taken"
	}
}

func answerUnavailable(w http.ResponseWriter, text string) {
	setRetryAfter(w, earlyRetryAfter)
	answerError(w, http.StatusServiceUnavailable, text)
}

// setRetryAfter states a time, if there is one, in whole seconds and at least one.
func setRetryAfter(w http.ResponseWriter, delay time.Duration) {
	if delay <= 0 {
		return
	}
	seconds := (delay + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

func answerError(w http.ResponseWriter, status int, text string) {
	answer(w, status, errorAnswer{text})
}

func answer(w http.ResponseWriter, status int, content any) {
	body, err := json.Marshal(content)
	if err != nil { // the types of answers can all be written
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
