package networktest

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
)

// answer records what a handler writes. It and newRequest do without the parsing of package httptest, as a simulation
// makes some thousand calls.
type answer struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

func newAnswer() *answer { return &answer{header: make(http.Header), code: http.StatusOK} }

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(code int) { a.code = code }

// Write implements http.ResponseWriter.
func (a *answer) Write(content []byte) (int, error) { return a.body.Write(content) }

func newRequest(path string, body []byte) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: path}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), RequestURI: path,
	}
}
