package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// Mux serves internal calls by path, for one process.
type Mux struct {
	self     Identity
	selfText string
	started  time.Time
	mux      *http.ServeMux
	once     onceMemory
}

// NewMuxFor makes an empty Mux of a process.
func NewMuxFor(self Identity) *Mux {
	m := &Mux{self: self, selfText: self.String(), started: time.Now(), mux: http.NewServeMux()}
	Handle(m, identityCall, func(context.Context, identityRequest) (identityReply, error) { return identityReply{}, nil })
	return m
}

// NewMux makes an empty Mux of a process without a name, which each Mux then is.
func NewMux() *Mux { return NewMuxFor(NewIdentity("", "")) }

// identityCall asks who serves an address; the answer's header says it.
var identityCall = NewRepeatable[identityRequest, identityReply]("/transport/identity")

type (
	identityRequest struct{}
	identityReply   struct{}
)

// ServeHTTP implements http.Handler. It refuses calls that mean another process.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Get(ToHeader)
	w.Header().Set(FromHeader, m.selfText+separator+callName(header))
	if processText(header) != m.selfText { // the caller does not know this process yet
		w.Header().Set(ClockHeader, clockText(m.clock()))
	}
	if err := m.meant(header); err != nil {
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		return
	}
	m.mux.ServeHTTP(w, r)
}

// clock is how long ago this process started, in milliseconds. It counts the time in which the process was frozen.
func (m *Mux) clock() int64 { return time.Since(m.started).Milliseconds() }

// meant checks that a call means this process. One without the header comes from an older build, and is taken.
func (m *Mux) meant(header string) error {
	if header == "" || processText(header) == m.selfText {
		return nil
	}
	to, err := parseTo(header)
	if err != nil {
		return err
	}
	if !to.means(m.self) {
		return fmt.Errorf("the call means %s, this is %s", to.text(), m.selfText)
	}
	return nil
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// errRunBefore refuses the copy of a call. It has no verdict: the first one may have run.
var errRunBefore = errors.New("this call was received before and is not carried out again")

// Handle serves an endpoint. A handler's error with the verdict NotRun reaches the caller as such; any other error as unclear.
func Handle[Request, Reply any](m *Mux, endpoint Endpoint[Request, Reply], handler func(context.Context, Request) (Reply, error)) {
	var (
		noRequest Request
		noReply   Reply
		path      = endpoint.Path()
		repeats   = endpoint.endpoint(noRequest, noReply).mayRepeat()
	)
	m.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			http.Error(w, "decode "+path+": "+err.Error(), http.StatusBadRequest)
			return
		}
		if !repeats && m.late(r) {
			writeError(w, rpcerror.WrapNotExecuted(errLate, 0))
			return
		}
		if !repeats && !m.first(r) {
			writeError(w, errRunBefore)
			return
		}
		reply, err := handler(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeReply(w, reply)
	})
}

// errLate refuses a call that its caller has given up long ago.
var errLate = errors.New("this call came too late and is not carried out")

// late tells whether the time is over in which a call might begin. Calls of older builds have none.
func (m *Mux) late(r *http.Request) bool {
	until, err := strconv.ParseInt(r.Header.Get(UntilHeader), 10, 64)
	return err == nil && m.clock() > until
}

// first tells whether a call was not received before. Calls of older builds have no name.
func (m *Mux) first(r *http.Request) bool {
	call := callName(r.Header.Get(ToHeader))
	return call == "" || m.once.first(call)
}

func writeError(w http.ResponseWriter, err error) {
	if rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(RetryAfterHeader, strconv.FormatInt(rpcerror.RetryAfter(err).Milliseconds(), 10))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeReply(w http.ResponseWriter, reply any) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= keptBufferBytes {
			buffers.Put(buffer)
		}
	}()
	buffer.Reset()
	if err := msgpack.NewEncoder(buffer).Encode(reply); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(contentTypeHeader, contentType)
	w.Header().Set("Content-Length", strconv.Itoa(buffer.Len()))
	w.Write(buffer.Bytes())
}
