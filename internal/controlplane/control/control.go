// Package control serves the operators' API of the configuration: GET, and PUT as a compare-and-swap by If-Match. A PUT whose
// outcome is not known in time is answered by 503, and may be sent again unchanged. Package operations serves the rest of the
// operators' API.
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

// Path is the path of the configuration.
const Path = "/-/configuration"

const (
	// responseTimeout bounds the time to a response; callers turn to another node after a second.
	responseTimeout = 900 * time.Millisecond
	// changeTimeout bounds a change, which continues after its request was answered as uncertain.
	changeTimeout = 3 * time.Second
	// maxConcurrentChanges bounds the changes in flight, and with them the memory that their bodies take.
	maxConcurrentChanges = 32
)

// Configurator changes and reads the configuration.
type Configurator interface {
	Put(ctx context.Context, ifMatch uint64, body []byte) configuration.Outcome
	Read(ctx context.Context) (version uint64, body []byte, err error)
}

// Handler is the http.Handler of Path; it answers any other path with 404.
type Handler struct {
	lifetime     context.Context
	configurator Configurator
	logger       *zap.Logger
	inFlight     chan struct{} // one token for each change
}

// New makes a Handler. Changes that are still in flight end with lifetime.
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
	if r.URL.Path != Path {
		writeError(w, http.StatusNotFound, "no such path; the configuration is at "+Path)
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
	h.writeOutcome(w, h.applyChange(ifMatch, body)) //nolint:contextcheck // a change outlasts its request: it ends with the lifetime
}

// applyChange runs a change for which the caller has put a token into h.inFlight, and takes the token out at its end. After
// responseTimeout the change is reported as uncertain but continues, so that a slow majority still accepts it and the caller's
// retry finds it accepted.
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
		return configuration.Outcome{Kind: configuration.Unclear, Err: errUncertain}
	}
}

// errUncertain answers a change without a clear outcome.
var errUncertain = errors.New("the change may or may not be taken; send it again unchanged")

// Errors of requests. Operators read their texts.
var (
	errIfMatchMissing   = errors.New("If-Match is missing; give the version that the change builds on, 0 for the first")
	errIfMatchMalformed = errors.New("If-Match is not a version; give the version that the change builds on, 0 for the first")
	errBodyTooLong      = errors.New("the body is too long; send at most " + strconv.Itoa(configuration.MaxBodyBytes) + " bytes")
	errBodyTruncated    = errors.New("the body is cut short; send it whole")
	errBodyNotReceived  = errors.New("the body did not arrive; send it again")
)

// acceptedBody is the body of the response to an accepted change.
type acceptedBody struct {
	Version uint64 `json:"version"`
}

func (h *Handler) writeOutcome(w http.ResponseWriter, outcome configuration.Outcome) {
	switch outcome.Kind {
	case configuration.Accepted:
		WriteJSON(w, http.StatusOK, acceptedBody{Version: outcome.Version})
	case configuration.Invalid:
		writeError(w, http.StatusBadRequest, outcome.Err.Error())
	case configuration.Conflict:
		writeError(w, http.StatusPreconditionFailed, outcome.Err.Error())
	default:
		// Operators' pages name this event.
		h.logger.Info("configuration change outcome unknown", zap.Stringer("outcome", outcome.Kind), zap.Error(outcome.Err))
		writeError(w, http.StatusServiceUnavailable, uncertainText(outcome.Err))
	}
}

// uncertainText tells the operator what to do about a change without a clear outcome.
func uncertainText(err error) string {
	if errors.Is(err, configuration.ErrOlderThanHistory) || errors.Is(err, configuration.ErrBaseNotInForce) {
		return err.Error()
	}
	return errUncertain.Error()
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

// readBody reads a request's body. With an error it returns the status of the response, which makes the caller retry only
// where the bytes failed to arrive in time.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, status int, err error) {
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, http.StatusOK, nil
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, errBodyTooLong
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, http.StatusBadRequest, errBodyTruncated
	}
	return nil, http.StatusRequestTimeout, errBodyNotReceived
}
