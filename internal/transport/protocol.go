package transport

import (
	"context"
	"time"
)

// Headers of the protocol.
const (
	// ToHeader names the addressee of a call, and the call: cluster/node/incarnation/call.
	ToHeader = "Puffinlink-To"
	// FromHeader names the responding process, and the call, in the same form.
	FromHeader = "Puffinlink-From"
	// ClockHeader is the responding process's clock, in milliseconds since its start. Responses to callers who do not know
	// the process yet have it.
	ClockHeader = "Puffinlink-Clock"
	// UntilHeader is the latest time, on the addressee's clock, at which an at-most-once call may start.
	UntilHeader = "Puffinlink-Until"
	// RetryAfterHeader is how long, in milliseconds, a rejected caller should wait before it retries.
	RetryAfterHeader = "Retry-After-Ms"
)

const (
	contentType          = "application/msgpack"
	contentTypeHeader    = "Content-Type"
	maxBodyBytes         = 64 << 20
	maxErrorBytes        = 4 << 10
	maxPooledBufferBytes = 256 << 10 // larger buffers are not kept for later replies
	idleTimeout          = 30 * time.Second
	idlePerAddress       = 8
	maxStartDelay        = 2 * time.Second // how long after it was sent an at-most-once call may start
)

// Caller sends one request to a node, at an address host:port, and decodes its response into reply, a pointer. It does not
// retry at another process, and has no time-out but that of the context. Each error carries an rpcerror.Error. Most code
// calls Idempotent.Call and AtMostOnce.Call instead, which have types for the request and the reply.
type Caller interface {
	Call(ctx context.Context, address string, route Route, request, reply any) error
}
