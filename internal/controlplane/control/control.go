// Package control implements the part of the operator HTTP API that reads and changes the configuration. PUT is a
// compare-and-swap on the version in If-Match. If the outcome of a PUT is not known in time, the response is 503, and the
// operator may send the same request again. Package operations implements the rest of the operator API.
package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/entitytag"
)

// ConfigurationPath is the URL path of the configuration.
const ConfigurationPath = "/-/configuration"

const (
	// responseTimeout bounds the time to a response. It is below one second because clients then try another node.
	responseTimeout = 900 * time.Millisecond
	// changeTimeout bounds a change. A change may continue after its request got the response that the outcome is unknown.
	changeTimeout = 3 * time.Second
	// maxConcurrentChanges bounds the changes in flight and so the memory for their bodies.
	maxConcurrentChanges = 32
)

// Configurator reads and changes the configuration. Put applies a change if ifMatch is the current version.
type Configurator interface {
	Put(ctx context.Context, ifMatch uint64, body []byte) configuration.Outcome
	Read(ctx context.Context) (version uint64, body []byte, err error)
}

// Handler is the http.Handler of ConfigurationPath. It responds to any other path with 404.
type Handler struct {
	lifetime     context.Context
	configurator Configurator
	logger       *zap.Logger
	inFlight     chan struct{} // has one element for each change in flight
}

// New returns a Handler. The end of lifetime cancels the changes in flight.
func New(lifetime context.Context, configurator Configurator, logger *zap.Logger) *Handler {
	return &Handler{
		lifetime:     lifetime,
		configurator: configurator,
		logger:       logger,
		inFlight:     make(chan struct{}, maxConcurrentChanges),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != ConfigurationPath {
		writeError(w, http.StatusNotFound, "no such path; the configuration is at "+ConfigurationPath)
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead:
		h.get(w, r)
	case http.MethodPut:
		h.put(w, r)
	default:
		w.Header().Set("Allow", "GET, HEAD, PUT")
		writeError(w, http.StatusMethodNotAllowed, "use GET or PUT")
	}
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	version, body, err := h.configurator.Read(ctx)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "no majority holds an answer at the moment; try another mixer")
	case version == 0:
		writeError(w, http.StatusNotFound, "no configuration has been taken yet; send the first with If-Match: 0")
	default:
		w.Header().Set("ETag", entitytag.Format(version))
		writeBody(w, http.StatusOK, body)
	}
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	ifMatch, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	select {
	case h.inFlight <- struct{}{}:
	default:
		writeError(w, http.StatusServiceUnavailable, "too many orders are under way; send it again")
		return
	}
	body, status, err := readBody(w, r)
	if err != nil {
		<-h.inFlight
		writeError(w, status, err.Error())
		return
	}
	h.writeOutcome(w, h.applyChange(ifMatch, body)) //nolint:contextcheck // a change may outlive its request, so its context is h.lifetime
}

// applyChange executes a change. The caller has added an element to h.inFlight, which the end of the change removes. After
// responseTimeout applyChange returns that the outcome is unknown, but the change continues. A slow majority can then still
// accept it, and a retry by the operator finds it accepted.
func (h *Handler) applyChange(ifMatch uint64, body []byte) configuration.Outcome {
	outcomes := make(chan configuration.Outcome, 1)
	go func() {
		defer func() { <-h.inFlight }()
		ctx, cancel := context.WithTimeout(h.lifetime, changeTimeout)
		defer cancel()
		outcomes <- h.configurator.Put(ctx, ifMatch, body)
	}()
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case outcome := <-outcomes:
		return outcome
	case <-timer.C:
		return configuration.Outcome{Kind: configuration.Unclear, Err: errOutcomeUnknown}
	}
}

// errOutcomeUnknown is the response to a change whose outcome is unknown.
var errOutcomeUnknown = errors.New("the change may or may not be taken; send it again unchanged")

// Errors of invalid requests. Operators see their texts in responses.
var (
	errIfMatchMissing   = errors.New("If-Match is missing; give the version that the change builds on, 0 for the first")
	errIfMatchMalformed = errors.New("If-Match is not a version; give the version that the change builds on, 0 for the first")
	errBodyTooLarge     = errors.New("the body is too long; send at most " + strconv.Itoa(configuration.MaxBodyBytes) + " bytes")
	errBodyTruncated    = errors.New("the body is cut short; send it whole")
	errBodyNotReceived  = errors.New("the body did not arrive; send it again")
)

// acceptedResponse is the body of the response to an accepted change.
type acceptedResponse struct {
	Version uint64 `json:"version"`
}

func (h *Handler) writeOutcome(w http.ResponseWriter, outcome configuration.Outcome) {
	switch outcome.Kind {
	case configuration.Accepted:
		WriteJSON(w, http.StatusOK, acceptedResponse{Version: outcome.Version})
	case configuration.Invalid:
		writeError(w, http.StatusBadRequest, outcome.Err.Error())
	case configuration.Conflict:
		writeError(w, http.StatusPreconditionFailed, outcome.Err.Error())
	default:
		// The operator documentation mentions this message.
		h.logger.Info("configuration change outcome unknown", zap.Stringer("outcome", outcome.Kind), zap.Error(outcome.Err))
		writeError(w, http.StatusServiceUnavailable, unknownOutcomeMessage(outcome.Err))
	}
}

// unknownOutcomeMessage returns the error message for a change whose outcome is unknown. It tells the operator what to do.
func unknownOutcomeMessage(err error) string {
	if errors.Is(err, configuration.ErrOlderThanHistory) || errors.Is(err, configuration.ErrBaseNotInForce) {
		return err.Error()
	}
	return errOutcomeUnknown.Error()
}

// parseIfMatch reads a version, with or without the quotes of an entity tag.
func parseIfMatch(value string) (uint64, error) {
	if value == "" {
		return 0, errIfMatchMissing
	}
	version, err := entitytag.Parse(value)
	if err != nil {
		return 0, errIfMatchMalformed
	}
	return version, nil
}

// readBody reads the body of a request. If it fails, it also returns the status of the response. Only the status for a body
// that was not received in time makes clients retry.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, status int, err error) {
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, http.StatusOK, nil
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, http.StatusBadRequest, errBodyTruncated
	}
	return nil, http.StatusRequestTimeout, errBodyNotReceived
}
