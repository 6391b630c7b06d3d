package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// outgoingCall is one attempt to send a call.
type outgoingCall struct {
	address     string
	path        string
	addressee   Addressee
	toHeader    string // value of ToHeader
	id          string // unique among the calls of all clients
	body        []byte
	sentAt      time.Time
	latestStart string // value of UntilHeader; empty for an idempotent call
}

// newOutgoingCall addresses a call to the known process at the address, or to any process if none is known.
func (c *Client) newOutgoingCall(address string, route Route, body []byte) *outgoingCall {
	call := &outgoingCall{address: address, path: route.Path(), body: body, sentAt: time.Now()}
	call.id = c.callIDPrefix + strconv.FormatUint(c.callCount.Add(1), incarnationBase)
	if known, ok := c.directory.lookup(address); ok {
		call.addressee, call.toHeader = Process{known.identity}, known.headerText+headerSeparator+call.id
		if !route.idempotent() {
			call.latestStart = formatClock(known.clockAfter(call.sentAt, maxStartDelay).Milliseconds())
		}
		return call
	}
	call.addressee = AnyProcess{c.cluster}
	call.toHeader = call.addressee.headerText() + headerSeparator + call.id
	return call
}

func (o *outgoingCall) String() string { return o.address + o.path }

func (o *outgoingCall) httpRequest(ctx context.Context, tracker *SendTracker) *http.Request {
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: o.address, Path: o.path}, Host: o.address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{contentTypeHeader: {contentType}, ToHeader: {o.toHeader}},
		Body:   io.NopCloser(bytes.NewReader(o.body)), ContentLength: int64(len(o.body)),
		GetBody: tracker.GetBody(o.body),
	}
	if o.latestStart != "" {
		request.Header.Set(UntilHeader, o.latestStart)
	}
	return request.WithContext(tracker.WithTrace(ctx))
}
