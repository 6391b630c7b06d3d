// Package transport implements the internal RPC protocol between nodes: typed requests and replies as MessagePack bodies of
// HTTP/1.1 POST requests. It classifies each error by whether the call may have been executed. Routing, timeouts and almost all
// retries are up to its callers.
//
// A call is addressed to a process and not only to a network address, because the address of a lost machine may be assigned to
// another one. Each call has its Addressee in ToHeader, and each response has the responding process in FromHeader. Both also
// have the ID of the call. A process that is not the addressee rejects the call as not executed, with status 421 and its own
// identity. A Client rejects a response from another process or to another call. The Client's first call to an address is
// addressed to AnyProcess. It learns the process from the response, or from the rejection by a restarted process.
//
// Each internal call is declared once with its path, as Idempotent or AtMostOnce. An at-most-once call is sent only to a known
// process, on one connection, and is never retried. The callee rejects a duplicate. It also rejects a call that arrives late
// according to its own clock, for example because the callee was suspended while the call was in its socket's buffer.
//
// For rolling upgrades, a callee accepts a call without ToHeader, which an older build sent. A Client accepts a response
// without FromHeader only if the call was addressed to AnyProcess.
package transport
