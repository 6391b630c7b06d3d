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

// deadlineHeader is the request header that contains the number of milliseconds for which the client still waits.
const deadlineHeader = "Deadline-Remaining"

// handler serves the clients' HTTP API.
type handler struct {
	feed             *feedFollower
	jobs             *jobService
	requestsCtx      context.Context // canceled at the end of a drain, to end the requests in progress
	now              func() time.Time
	bodies           bodyMemory
	pauses           pauseDetector
	closeConnections atomic.Bool     // whether to close each connection after its answer; set during a drain
	requests         *RequestMetrics // nil if requests are not counted
}

type stateResponse struct {
	State job.State `json:"state"`
}

type pendingResponse struct {
	Pending int `json:"pending"`
}

type errorResponse struct {
	Error string `json:"error"`
}

type emptyResponse struct{}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	read := h.now()
	w := closingWriter{response, &h.closeConnections, h.statusObserver(r, read)}
	target, view, found := h.findTarget(r)
	switch {
	case view.router == nil:
		writeUnavailable(w, "no configuration yet")
	case !found:
		h.writeNoQueue(w, view)
	default:
		// A request that was sent to a leader continues after its client has disconnected, because the leader may already execute it.
		// Therefore r.Context() is not used for calls.
		request := jobRequest{
			received: h.pauses.earliestArrival(read), timeout: answerTimeout(r, target.route), host: r.Host, path: r.URL.Path,
			view: view, queue: target.route.Queue, id: target.id,
		}
		h.serve(w, r, request, view.router)
	}
}

// findTarget finds what a request addresses, and returns the view in which it was found or not. If it is not found, the view is the
// current one.
func (h *handler) findTarget(r *http.Request) (target target, v *view, found bool) {
	for {
		v = h.feed.currentView()
		if v.router == nil {
			return target, v, false
		}
		target, found = locateTarget(v, r.Host, r.URL.Path)
		if found || h.feed.currentView() == v {
			return target, v, found
		}
	}
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, request jobRequest, router Router) {
	if request.id == "" {
		h.serveQueue(w, r, request)
		return
	}
	h.serveJob(w, r, request, router)
}

// closingWriter is a ResponseWriter that closes the connection after an answer that is written while the flag
// closeConnections is set.
type closingWriter struct {
	http.ResponseWriter
	closeConnections *atomic.Bool
	onStatus         func(status int) // called with the status of the answer; may be nil
}

// WriteHeader implements http.ResponseWriter.
func (w closingWriter) WriteHeader(status int) {
	if w.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
	if w.onStatus != nil {
		w.onStatus(status)
	}
}

// statusObserver returns a function that counts a request under the status of its answer. It returns nil if requests are
// not counted.
func (h *handler) statusObserver(r *http.Request, received time.Time) func(status int) {
	if h.requests == nil {
		return nil
	}
	return func(status int) { h.requests.observe(r.Method, status, h.now().Sub(received)) }
}

// writeNoQueue answers a request that addresses no queue in a view: 404 if the view is confirmed as current. An older one may lack the
// queue, so the answer is 503 then.
func (h *handler) writeNoQueue(w http.ResponseWriter, v *view) {
	if !h.feed.confirms(v) {
		writeUnavailable(w, "no such queue in a configuration that may be old")
		return
	}
	writeError(w, http.StatusNotFound, errorText(http.StatusNotFound))
}

func (h *handler) serveQueue(w http.ResponseWriter, r *http.Request, request jobRequest) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		writeError(w, http.StatusMethodNotAllowed, "a queue is only read")
		return
	}
	count, known := h.jobs.count(h.requestsCtx, request)
	if !known {
		writeUnavailable(w, "no scheduler can be reached")
		return
	}
	writeJSON(w, http.StatusOK, pendingResponse{count})
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
		writeError(w, http.StatusMethodNotAllowed, "jobs are posted, read or deleted")
	}
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, request jobRequest, maxBodyBytes int64) {
	release, ok := h.bodies.reserve(r.ContentLength, maxBodyBytes)
	if !ok {
		writeUnavailable(w, "too many requests under way")
		return
	}
	defer release()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	specification, err := job.ParseSpecification(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if r.Context().Err() != nil {
		writeUnavailable(w, "the client has left") // it may submit the job elsewhere, or cancel it
		return
	}
	writeOutcome(w, h.jobs.submit(h.requestsCtx, request, specification), emptyResponse{}) //nolint:contextcheck // a call continues after its client has disconnected
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		return
	}
	writeError(w, http.StatusBadRequest, "the body could not be read")
}

func (h *handler) status(w http.ResponseWriter, request jobRequest) {
	result := h.jobs.status(h.requestsCtx, request)
	writeOutcome(w, result, stateResponse{result.state})
}

func (h *handler) cancel(w http.ResponseWriter, request jobRequest) {
	writeOutcome(w, h.jobs.cancel(h.requestsCtx, request), emptyResponse{})
}

// answerTimeout returns the time allowed for a request: the route's timeout, or the client's remaining time if that is
// shorter.
func answerTimeout(r *http.Request, route Route) time.Duration {
	remaining, err := strconv.ParseFloat(r.Header.Get(deadlineHeader), 64)
	if err != nil || !(remaining >= 0) || remaining >= float64(route.Timeout/time.Millisecond) {
		return route.Timeout
	}
	return time.Duration(remaining * float64(time.Millisecond))
}

// writeOutcome writes the content if the outcome is a success, and otherwise an error.
func writeOutcome(w http.ResponseWriter, result outcome, content any) {
	if result.status == http.StatusOK {
		writeJSON(w, http.StatusOK, content)
		return
	}
	setRetryAfter(w, result.retryAfter)
	writeError(w, result.status, errorText(result.status))
}

func errorText(status int) string {
	switch status {
	case http.StatusNotFound:
		return "no such queue"
	case http.StatusConflict:
		return "a job of another queue has this ID, nothing was taken"
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

func writeUnavailable(w http.ResponseWriter, text string) {
	setRetryAfter(w, unavailableRetryAfter)
	writeError(w, http.StatusServiceUnavailable, text)
}

// setRetryAfter sets the Retry-After header for a positive delay, rounded up to whole seconds.
func setRetryAfter(w http.ResponseWriter, delay time.Duration) {
	if delay <= 0 {
		return
	}
	seconds := (delay + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorResponse{text})
}

func writeJSON(w http.ResponseWriter, status int, content any) {
	body, err := json.Marshal(content)
	if err != nil { // does not happen: all response types can be encoded
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
