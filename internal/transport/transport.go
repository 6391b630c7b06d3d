// Package transport carries the nodes' internal protocol: typed requests and replies as msgpack bodies of HTTP/1.1
// POST calls. It moves bytes and classifies failures; retries, routing and timeouts belong to its callers.
//
// A call means a process and not only an address, as an address may be another machine's soon after its own was lost.
// Each call names its Addressee in the header ToHeader, each answer the process that gave it in FromHeader, and both the
// call they belong to. A process that is not meant refuses as not run (421) and says who it is; an answer of another
// process, or to another call, is not taken. A Client learns who serves an address from the first answer (FirstContact),
// and from a refusal where the process was restarted.
//
// Each internal call is declared once, as Repeatable or Once, beside its path. A Once call is sent to a known process
// only, on one connection, by one writing, and is never sent again; a copy of it that arrives is not run, nor is one that
// arrives late by the callee's own clock, as when the callee was frozen with the call in its socket.
//
// Rolling upgrades: a call without ToHeader comes from an older build and is taken; an answer without FromHeader is taken
// on first contact only.
package transport

import (
	"context"
	"time"
)

// Headers of the protocol.
const (
	// ToHeader names whom a call means, and the call: cluster/node/incarnation/call.
	ToHeader = "Puffinlink-To"
	// FromHeader names who answers, and the call that is answered.
	FromHeader = "Puffinlink-From"
	// ClockHeader is the answering process's clock, in milliseconds since its start. Answers have it by which a caller
	// learns of the process.
	ClockHeader = "Puffinlink-Clock"
	// UntilHeader is by when, on the clock of the process that is meant, a Once call may begin.
	UntilHeader = "Puffinlink-Until"
	// RetryAfterHeader carries, in milliseconds, when a refused caller should come back.
	RetryAfterHeader = "Retry-After-Ms"
)

const (
	contentType       = "application/msgpack"
	contentTypeHeader = "Content-Type"
	maxBodyBytes      = 64 << 20
	maxErrorBytes     = 4 << 10
	keptBufferBytes   = 256 << 10 // larger buffers are not kept for later answers
	idleTimeout       = 30 * time.Second
	idlePerAddress    = 8
	onceLateness      = 2 * time.Second // how late a Once call may begin
)

// Caller sends one request to a peer and decodes its reply. Errors carry a verdict. Only endpoints and the few that
// choose among several of them use it directly.
type Caller interface {
	Call(ctx context.Context, address string, route Route, request, reply any) error
}
