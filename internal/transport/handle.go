package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errDuplicateCall is the response to a duplicate of a call. The caller must treat the call as possibly executed, because the
// first copy may have been executed.
var errDuplicateCall = errors.New("this call was received before and is not carried out again")

// errLateCall is the response to a call that arrived long after it was sent.
var errLateCall = errors.New("this call came too late and is not carried out")

// Handle registers the handler of an endpoint. If the handler returns an rpcerror.NotExecuted error, the caller gets the same
// classification and its RetryAfter. For any other error, the caller learns that the call may have been executed. Handle
// panics, as http.ServeMux does, if the path has a handler already.
func Handle[Request, Reply any](m *Mux, endpoint Endpoint[Request, Reply], handler func(context.Context, Request) (Reply, error)) {
	var (
		zeroRequest Request
		zeroReply   Reply
		path        = endpoint.Path()
		idempotent  = endpoint.endpoint(zeroRequest, zeroReply).idempotent()
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
		if !idempotent && m.startsTooLate(r) {
			writeError(w, rpcerror.WrapNotExecuted(errLateCall, 0))
			return
		}
		if !idempotent && !m.firstReceipt(r) {
			writeError(w, errDuplicateCall)
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

// replyBuffers is a pool of buffers for encoded replies.
var replyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func writeError(w http.ResponseWriter, err error) {
	if rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(RetryAfterHeader, strconv.FormatInt(rpcerror.RetryAfter(err).Milliseconds(), 10))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeReply(w http.ResponseWriter, reply any) {
	buffer := replyBuffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool has only buffers
	defer func() {
		if buffer.Cap() <= maxPooledBufferBytes {
			replyBuffers.Put(buffer)
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
