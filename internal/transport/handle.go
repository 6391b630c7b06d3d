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

// errDuplicateCall rejects a duplicate of a call. It does not say that the call was not executed, as the first copy may have been.
var errDuplicateCall = errors.New("this call was received before and is not carried out again")

// errLateCall rejects a call whose caller has given up long ago.
var errLateCall = errors.New("this call came too late and is not carried out")

// Handle serves an endpoint. A handler's rpcerror.NotExecuted error reaches the caller as such, with its RetryAfter; of any
// other error the caller learns that the call may have been executed. It panics, as http.ServeMux does, for a path that is
// served already.
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

// replyBuffers hold encoded replies.
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
	buffer := replyBuffers.Get().(*bytes.Buffer) //nolint:forcetypeassert // the pool has nothing else
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
