package workerclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	// a renewal, a poll, the commands, hedged requests of polls and stops, and one in place of a connection that is being discarded
	maxConnectionsPerWorker = maxCommandsInFlight + maxHedgedRequests + 3
	maxResponseBytes        = 16 << 20
	maxPooledBufferBytes    = 64 << 10 // larger buffers do not go back to the pool
)

// NewHTTPClient makes a client without a budget.
func NewHTTPClient() *http.Client { return unlimited().HTTPClient() }

// workerResponse is a complete response of a worker.
type workerResponse struct {
	status int
	body   responseBody
}

// caller sends calls to one incarnation of a worker.
type caller struct {
	http             http.RoundTripper // redirects are not followed
	leaderLeaseValid func() bool       // whether a call may be sent at this moment
	start            *url.URL
	stop             *url.URL
	renewal          *url.URL
	headers          http.Header // shared by all calls, never changed
}

func newCaller(client *http.Client, address string, id WorkerID, valid func() bool) *caller {
	target := func(path string) *url.URL { return &url.URL{Scheme: "http", Host: address, Path: path} }
	return &caller{
		http: client.Transport, leaderLeaseValid: valid, start: target(startPath), stop: target(stopPath), renewal: target(renewalPath),
		headers: http.Header{"Content-Type": {"application/json"}, "Expect-Instance": {string(id)}},
	}
}

var responseBuffers sync.Pool // of *bytes.Buffer

// post sends one call, once, and reads its response. An error means that there was no complete response in time; rpcerror tells
// whether the call may have been executed.
func (c *caller) post(ctx context.Context, target *url.URL, body []byte, timeout time.Duration) (workerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	permit := &permit{leaderLeaseValid: c.leaderLeaseValid}
	var sending transport.SendTracker
	trace := httptrace.ClientTrace{WroteHeaders: permit.check, GotConn: func(got httptrace.GotConnInfo) {
		permit.connected(got)
		sending.GotConn(got)
	}}
	httpResponse, err := c.http.RoundTrip(c.request(httptrace.WithClientTrace(ctx, &trace), target, body))
	if err != nil && (permit.unsent() || sending.NothingSent()) {
		return workerResponse{}, rpcerror.WrapNotExecuted(err, 0)
	}
	if err != nil {
		return workerResponse{}, rpcerror.WrapMayHaveExecuted(err)
	}
	defer httpResponse.Body.Close()
	result, err := readResponse(httpResponse)
	if err != nil {
		return workerResponse{}, rpcerror.WrapMayHaveExecuted(fmt.Errorf("%s: %w", target, err))
	}
	return result, nil
}

// request is a call without GetBody: no transport can send it again by itself.
func (c *caller) request(ctx context.Context, target *url.URL, body []byte) *http.Request {
	request := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Header: c.headers,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx)
}

var errResponseTooLong = errors.New("response too long")

// readResponse reads a response completely, so that its connection can be used again. Only the bodies of 200 and 409 are decoded.
func readResponse(httpResponse *http.Response) (workerResponse, error) {
	buffer, pooled := responseBuffers.Get().(*bytes.Buffer)
	if !pooled {
		buffer = new(bytes.Buffer)
	}
	defer func() {
		if buffer.Cap() <= maxPooledBufferBytes {
			responseBuffers.Put(buffer)
		}
	}()
	buffer.Reset()
	read, err := buffer.ReadFrom(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return workerResponse{}, fmt.Errorf("read response: %w", err)
	}
	if read > maxResponseBytes {
		return workerResponse{}, errResponseTooLong
	}
	result := workerResponse{status: httpResponse.StatusCode}
	if result.status != http.StatusOK && result.status != http.StatusConflict {
		return result, nil
	}
	result.body, err = decodeResponse(buffer.Bytes())
	return result, err
}
