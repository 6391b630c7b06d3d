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
	// maxConnectionsPerWorker covers a renewal, a poll, the commands, hedged requests of polls and stops, and the replacement of a
	// connection that is being discarded.
	maxConnectionsPerWorker = maxCommandsInFlight + maxHedgedRequests + 3
	maxResponseBytes        = 16 << 20
	maxPooledBufferBytes    = 64 << 10 // larger buffers are not returned to the pool
)

// NewHTTPClient returns an HTTP client without a connection budget.
func NewHTTPClient() *http.Client { return unlimited().HTTPClient() }

// workerResponse is a complete response from a worker.
type workerResponse struct {
	status int
	body   responseBody
}

// rpcClient sends calls to one incarnation of a worker.
type rpcClient struct {
	http             http.RoundTripper // redirects are not followed
	leaderLeaseValid func() bool       // reports whether a call may be sent now
	start            *url.URL
	stop             *url.URL
	renewal          *url.URL
	headers          http.Header // shared by all calls; read-only
}

func newRPCClient(client *http.Client, address string, id WorkerID, leaderLeaseValid func() bool) *rpcClient {
	target := func(path string) *url.URL { return &url.URL{Scheme: "http", Host: address, Path: path} }
	return &rpcClient{
		http: client.Transport, leaderLeaseValid: leaderLeaseValid, start: target(startPath), stop: target(stopPath), renewal: target(renewalPath),
		headers: http.Header{"Content-Type": {"application/json"}, "Expect-Instance": {string(id)}},
	}
}

var responseBuffers sync.Pool // of *bytes.Buffer

// post sends a call once and reads its response. An error means that no complete response arrived in time. Package rpcerror reports
// whether the worker may have executed the call.
func (c *rpcClient) post(ctx context.Context, target *url.URL, body []byte, timeout time.Duration) (workerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	permit := &permit{leaderLeaseValid: c.leaderLeaseValid}
	var sendTracker transport.SendTracker
	trace := httptrace.ClientTrace{WroteHeaders: permit.check, GotConn: func(info httptrace.GotConnInfo) {
		permit.connected(info)
		sendTracker.GotConn(info)
	}}
	httpResponse, err := c.http.RoundTrip(c.request(httptrace.WithClientTrace(ctx, &trace), target, body))
	if err != nil && (permit.notSent() || sendTracker.NothingSent()) {
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

// request returns the HTTP request for a call. It has no GetBody, so that no transport can resend it.
func (c *rpcClient) request(ctx context.Context, target *url.URL, body []byte) *http.Request {
	request := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Header: c.headers,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx)
}

var errResponseTooLong = errors.New("response exceeds the size limit")

// readResponse reads a response completely, so that its connection can be reused. It decodes the body only for status 200 and 409.
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
	bytesRead, err := buffer.ReadFrom(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return workerResponse{}, fmt.Errorf("read response: %w", err)
	}
	if bytesRead > maxResponseBytes {
		return workerResponse{}, errResponseTooLong
	}
	result := workerResponse{status: httpResponse.StatusCode}
	if result.status != http.StatusOK && result.status != http.StatusConflict {
		return result, nil
	}
	result.body, err = decodeResponse(buffer.Bytes())
	return result, err
}
