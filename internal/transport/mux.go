package transport

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Mux is the http.Handler of the internal calls that one process serves. Endpoints are added by Handle.
type Mux struct {
	identity      Identity
	identityText  string
	started       time.Time
	mux           *http.ServeMux
	receivedCalls callIDSet
}

// NewMuxFor makes an empty Mux of a process.
func NewMuxFor(self Identity) *Mux {
	m := &Mux{identity: self, identityText: self.String(), started: time.Now(), mux: http.NewServeMux()}
	Handle(m, identityCall, func(context.Context, identityRequest) (identityReply, error) { return identityReply{}, nil })
	return m
}

// NewMux makes an empty Mux of a process of its own, of no cluster.
func NewMux() *Mux { return NewMuxFor(NewIdentity("", "")) }

// identityCall asks who serves an address; the headers of the response say it.
var identityCall = NewIdempotent[identityRequest, identityReply]("/transport/identity")

type (
	identityRequest struct{}
	identityReply   struct{}
)

// ServeHTTP implements http.Handler. It rejects calls to another process, by 421 and before it reads their body.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Get(ToHeader)
	w.Header().Set(FromHeader, m.identityText+separator+callIDOf(header))
	if processOf(header) != m.identityText { // the caller does not know this process yet
		w.Header().Set(ClockHeader, formatClock(m.clock()))
	}
	if err := m.checkAddressee(header); err != nil {
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		return
	}
	m.mux.ServeHTTP(w, r)
}

// clock is how long ago this process started, in milliseconds, including the time in which it was suspended.
func (m *Mux) clock() int64 { return time.Since(m.started).Milliseconds() }

// checkAddressee checks that a call is to this process. One without the header comes from an older build and is accepted.
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

// wrongAddresseeError rejects a call to another process. Its text is read by callers of other builds.
type wrongAddresseeError struct {
	addressee    Addressee
	identityText string // of the process that rejects the call
}

// Error implements the error interface.
func (e *wrongAddresseeError) Error() string {
	return fmt.Sprintf("the call means %s, this is %s", e.addressee.headerText(), e.identityText)
}

// startsTooLate tells whether the latest start of a call has passed. Calls of older builds have none.
func (m *Mux) startsTooLate(r *http.Request) bool {
	latestStart, err := strconv.ParseInt(r.Header.Get(UntilHeader), 10, 64)
	return err == nil && m.clock() > latestStart
}

// firstReceipt tells whether a call was not received before. Calls of older builds have no ID.
func (m *Mux) firstReceipt(r *http.Request) bool {
	id := callIDOf(r.Header.Get(ToHeader))
	return id == "" || m.receivedCalls.add(id)
}
