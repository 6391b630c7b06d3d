// Package transport carries the nodes' internal protocol: typed requests and replies as msgpack bodies of HTTP/1.1
// POST calls. It moves bytes and classifies failures; retries, routing and time-outs are left to its callers.
//
// A call is addressed to a process and not only to an address, as the address of a lost machine may soon be another
// machine's. Each call names its Addressee in ToHeader, each response the responding process in FromHeader, and both the
// call that they belong to. A process that is not the addressee rejects the call as not executed (421) and says who it is.
// A response of another process, or to another call, is not accepted. A Client learns who serves an address from the
// first response (FirstContact), and from a rejection by a restarted process.
//
// Each internal call is declared once, as Idempotent or AtMostOnce, beside its path. An at-most-once call is sent to a known
// process only, on one connection, and is never retried. A duplicate of it is rejected, and so is a copy that arrives
// late by the callee's own clock, as when the callee was suspended with the call in its socket's buffer.
//
// Rolling upgrades: a call without ToHeader comes from an older build and is accepted; a response without FromHeader is
// accepted on first contact only.
package transport
