package register

import (
	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/transport"
)

// outcome is the result of a prepare, accept or read request at an acceptor.
type outcome uint8

const (
	granted       outcome = iota + 1 // the request was executed, and any vote is durable
	conflict                         // an earlier promise of the acceptor forbids the request
	viewMismatch                     // the proposer uses another view than the acceptor
	chunksMissing                    // the acceptor lacks chunks of the value and changed nothing
)

// prepareRequest asks an acceptor to promise that it will refuse lower proposal numbers.
type prepareRequest struct {
	ViewVersion          uint64         `msgpack:"w"`
	ProposalNumber       ProposalNumber `msgpack:"b"`
	CachedProposalNumber ProposalNumber `msgpack:"k"`           // as in readRequest
	AcceptsManifest      bool           `msgpack:"y,omitempty"` // as in readRequest
}

// acceptRequest asks an acceptor to store a state.
type acceptRequest struct {
	ViewVersion    uint64         `msgpack:"w"`
	ProposalNumber ProposalNumber `msgpack:"b"`
	State          state          `msgpack:"s"`
	ChunkedValue   *chunkedValue  `msgpack:"c,omitempty"` // set instead of the state's value if the value is sent in chunks
}

// chunkedValue contains the manifest of a large value and some of its chunks.
type chunkedValue struct {
	Manifest chunks.Manifest `msgpack:"m"`
	Chunks   [][]byte        `msgpack:"p,omitempty"` // packed
}

// pushRequest sends an acceptor chunks of a value that a proposer is about to propose. The acceptor caches the chunks. Its
// accepted state does not change.
type pushRequest struct {
	Chunks [][]byte `msgpack:"p"` // packed
}

// pushReply confirms that the acceptor cached the chunks.
type pushReply struct{}

// fetchRequest requests chunks of the value that an acceptor accepted last.
type fetchRequest struct {
	Sums     []byte `msgpack:"s"` // concatenated checksums
	MaxBytes int    `msgpack:"r"` // approximate limit for the reply, which has at least one chunk if the acceptor has any of them
}

// fetchReply contains the requested chunks.
type fetchReply struct {
	Chunks [][]byte `msgpack:"p"` // packed; without the chunks that the acceptor lacks
}

// readRequest requests the state of an acceptor without a promise. The reply omits the state if the proposer has it cached.
// The proposal number is enough to detect this, because it identifies one state within a view.
type readRequest struct {
	ViewVersion          uint64         `msgpack:"w"`
	CachedProposalNumber ProposalNumber `msgpack:"k"` // of the newest state in the proposer's cache
	// AcceptsManifest makes the reply contain the manifest of a large value instead of the value. Proposers of older builds do
	// not send this field.
	AcceptsManifest bool `msgpack:"y,omitempty"`
}

// reply is the reply of an acceptor to a prepare, accept or read request.
type reply struct {
	member   string           // address of the acceptor; set by the receiver
	Outcome  outcome          `msgpack:"o"`
	View     replicaset.View  `msgpack:"w"` // view of the acceptor; without its members if the versions match
	Promised ProposalNumber   `msgpack:"p"`
	Accepted ProposalNumber   `msgpack:"a"`
	State    state            `msgpack:"s"`           // not in replies to accept requests, nor if the proposer has it cached
	Manifest *chunks.Manifest `msgpack:"m,omitempty"` // set instead of the state's value if that is large
	Missing  []byte           `msgpack:"x,omitempty"` // concatenated checksums of the missing chunks
	// SupportsChunks reports whether the acceptor serves acceptChunksCall. An acceptor of an older build ignores the chunked
	// value and would accept an empty value. Therefore proposers send it the value inline with acceptCall.
	SupportsChunks bool `msgpack:"t,omitempty"`
}

// prepareCall is the prepare request of the register with the given name. The calls in this file are declared idempotent
// because a repeated request with the same proposal number does not change the outcome of the protocol.
func prepareCall(name string) transport.Idempotent[prepareRequest, reply] {
	return transport.NewIdempotent[prepareRequest, reply]("/register/" + name + "/prepare")
}

// acceptCall is an accept request whose value is sent inline.
func acceptCall(name string) transport.Idempotent[acceptRequest, reply] {
	return transport.NewIdempotent[acceptRequest, reply]("/register/" + name + "/accept")
}

// acceptChunksCall is an accept request whose value is sent in chunks. Older builds do not serve it.
func acceptChunksCall(name string) transport.Idempotent[acceptRequest, reply] {
	return transport.NewIdempotent[acceptRequest, reply]("/register/" + name + "/accept-parts")
}

// readCall is the read request of the register with the given name.
func readCall(name string) transport.Idempotent[readRequest, reply] {
	return transport.NewIdempotent[readRequest, reply]("/register/" + name + "/read")
}

// pushCall sends an acceptor chunks of a value that is about to be proposed.
func pushCall(name string) transport.Idempotent[pushRequest, pushReply] {
	return transport.NewIdempotent[pushRequest, pushReply]("/register/" + name + "/push")
}

// fetchCall requests chunks of the value that an acceptor accepted last.
func fetchCall(name string) transport.Idempotent[fetchRequest, fetchReply] {
	return transport.NewIdempotent[fetchRequest, fetchReply]("/register/" + name + "/fetch")
}
