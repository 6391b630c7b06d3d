package transport

import (
	"context"
	"time"
)

// Headers of the protocol.
const (
	// ToHeader identifies the addressee of a call and the call: cluster/node/incarnation/call.
	ToHeader = "Puffinlink-To"
	// FromHeader identifies the responding process and the call, in the same format.
	FromHeader = "Puffinlink-From"
	// ClockHeader is the clock of the responding process, in milliseconds since its start. It is only in responses to callers
	// that don't know the process yet.
	ClockHeader = "Puffinlink-Clock"
	// UntilHeader is the latest time at which an at-most-once call may start, on the clock of the addressee.
	UntilHeader = "Puffinlink-Until"
	// RetryAfterHeader is the time in milliseconds that the caller should wait before it retries a rejected call.
	RetryAfterHeader = "Retry-After-Ms"
)

const (
	contentType                  = "application/msgpack"
	contentTypeHeader            = "Content-Type"
	maxBodyBytes                 = 64 << 20
	maxErrorTextBytes            = 4 << 10
	maxPooledBufferBytes         = 256 << 10 // larger buffers are not returned to the pool
	idleConnectionTimeout        = 30 * time.Second
	maxIdleConnectionsPerAddress = 8
	maxStartDelay                = 2 * time.Second // time after sending an at-most-once call within which it may start
)

// Caller sends a request to a node at an address, host:port, and decodes its response into reply, which must be a pointer. It
// never retries at another node, and only the context limits its duration. Each error wraps an rpcerror.Error. Most code calls
// Idempotent.Call or AtMostOnce.Call instead, which have types for the request and the reply.
type Caller interface {
	Call(ctx context.Context, address string, route Route, request, reply any) error
}
