package transport

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Mux is the http.Handler of the internal calls that a process serves. Handle adds endpoints.
type Mux struct {
	identity      Identity
	identityText  string
	started       time.Time
	mux           *http.ServeMux
	receivedCalls callIDSet
}

// NewMuxFor returns a Mux for a process. It serves only the identity call until endpoints are added.
func NewMuxFor(self Identity) *Mux {
	m := &Mux{identity: self, identityText: self.String(), started: time.Now(), mux: http.NewServeMux()}
	Handle(m, identityCall, func(context.Context, identityRequest) (identityReply, error) { return identityReply{}, nil })
	return m
}

// NewMux returns a Mux for a new process identity that belongs to no cluster.
func NewMux() *Mux { return NewMuxFor(NewIdentity("", "")) }

// identityCall requests the identity of the process at an address. The identity is in the headers of the response.
var identityCall = NewIdempotent[identityRequest, identityReply]("/transport/identity")

type (
	identityRequest struct{}
	identityReply   struct{}
)

// ServeHTTP implements http.Handler. It rejects calls to another process with status 421, before it reads their body.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Get(ToHeader)
	w.Header().Set(FromHeader, m.identityText+headerSeparator+callIDOf(header))
	if processOf(header) != m.identityText { // the caller doesn't know this process yet
		w.Header().Set(ClockHeader, formatClock(m.clock()))
	}
	if err := m.checkAddressee(header); err != nil {
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		return
	}
	m.mux.ServeHTTP(w, r)
}

// clock returns the time since the start of this process in milliseconds. It includes time in which the process was suspended.
func (m *Mux) clock() int64 { return time.Since(m.started).Milliseconds() }

// checkAddressee returns an error if a call is not addressed to this process. It accepts a call without the header, which an
// older build sent.
func (m *Mux) checkAddressee(header string) error {
	if header == "" || processOf(header) == m.identityText {
		return nil
	}
	addressee, err := parseToHeader(header)
	if err != nil {
		return err
	}
	if !addressee.matches(m.identity) {
		return &wrongAddresseeError{addressee, m.identityText}
	}
	return nil
}

// wrongAddresseeError is the response to a call that is addressed to another process. Callers of other builds get its text.
type wrongAddresseeError struct {
	addressee    Addressee
	identityText string // of the process that rejects the call
}

// Error implements the error interface.
func (e *wrongAddresseeError) Error() string {
	return fmt.Sprintf("the call means %s, this is %s", e.addressee.headerText(), e.identityText)
}

// startsTooLate reports whether the latest time at which a call may start has passed. Calls from older builds have no such
// time.
func (m *Mux) startsTooLate(r *http.Request) bool {
	latestStart, err := strconv.ParseInt(r.Header.Get(UntilHeader), 10, 64)
	return err == nil && m.clock() > latestStart
}

// firstReceipt reports whether a call was not received before. Calls from older builds have no ID and count as new.
func (m *Mux) firstReceipt(r *http.Request) bool {
	id := callIDOf(r.Header.Get(ToHeader))
	return id == "" || m.receivedCalls.add(id)
}
