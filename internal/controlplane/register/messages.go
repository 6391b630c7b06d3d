package register

import (
	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/transport"
)

// outcome is an acceptor's decision on a request.
type outcome uint8

const (
	granted       outcome = iota + 1 // done, and durable
	conflict                         // a higher proposal number was promised to another proposer
	viewMismatch                     // the proposer works with another view
	chunksMissing                    // nothing was done, as chunks of the value are missing here
)

// prepareRequest asks an acceptor to promise to refuse lower proposal numbers.
type prepareRequest struct {
	ViewVersion    uint64         `msgpack:"w"`
	ProposalNumber ProposalNumber `msgpack:"b"`
	Known          ProposalNumber `msgpack:"k"`           // as in readRequest
	ByChunks       bool           `msgpack:"y,omitempty"` // as in readRequest
}

// acceptRequest asks an acceptor to store a state.
type acceptRequest struct {
	ViewVersion    uint64         `msgpack:"w"`
	ProposalNumber ProposalNumber `msgpack:"b"`
	State          state          `msgpack:"s"`
	Content        *content       `msgpack:"c,omitempty"` // the state's value, where it is sent in chunks
}

// content names a large value and brings some of its chunks.
type content struct {
	Manifest chunks.Manifest `msgpack:"m"`
	Chunks   [][]byte        `msgpack:"p,omitempty"` // packed
}

// pushRequest brings an acceptor chunks of a value that it is going to be asked to accept. They change nothing by themselves.
type pushRequest struct {
	Chunks [][]byte `msgpack:"p"` // packed
}

// pushReply says that the chunks were taken.
type pushReply struct{}

// fetchRequest asks an acceptor for chunks of the value that it has accepted.
type fetchRequest struct {
	Sums     []byte `msgpack:"s"` // checksums, one after the other
	MaxBytes int    `msgpack:"r"` // about how many bytes the answer may have; one chunk is sent in any case
}

// fetchReply brings chunks.
type fetchReply struct {
	Chunks [][]byte `msgpack:"p"` // packed, those that the acceptor has
}

// readRequest asks an acceptor for its state, without a promise. A state is left out of the answer where the proposer has it
// cached: a proposal number stands for one state within a view.
type readRequest struct {
	ViewVersion uint64         `msgpack:"w"`
	Known       ProposalNumber `msgpack:"k"` // under which the newest state that the proposer has cached was accepted
	// ByChunks asks for the manifest of a large value in its place. Proposers of older builds leave it out.
	ByChunks bool `msgpack:"y,omitempty"`
}

// reply is an acceptor's answer to prepare, accept and read requests.
type reply struct {
	member   string           // that gave it; set by the receiver
	Outcome  outcome          `msgpack:"o"`
	View     replicaset.View  `msgpack:"w"` // the acceptor's; without the members where the versions match
	Promised ProposalNumber   `msgpack:"p"`
	Accepted ProposalNumber   `msgpack:"a"`
	State    state            `msgpack:"s"`           // not in answers to accept requests, nor where the proposer has it
	Manifest *chunks.Manifest `msgpack:"m,omitempty"` // of the state's value, which is left out then
	Missing  []byte           `msgpack:"x,omitempty"` // checksums of missing chunks, one after the other
	// TakesChunks tells that the acceptor serves acceptChunksCall. One of an older build would take a request without a value
	// for one to accept an empty value, so that it gets values inline, by acceptCall.
	TakesChunks bool `msgpack:"t,omitempty"`
}

// Internal calls of the register of a name. Votes under one proposal number are alike whenever and however often they are given.
func prepareCall(name string) transport.Idempotent[prepareRequest, reply] {
	return transport.NewIdempotent[prepareRequest, reply]("/register/" + name + "/prepare")
}

func acceptCall(name string) transport.Idempotent[acceptRequest, reply] {
	return transport.NewIdempotent[acceptRequest, reply]("/register/" + name + "/accept")
}

// acceptChunksCall is an accept request whose value is sent in chunks.
func acceptChunksCall(name string) transport.Idempotent[acceptRequest, reply] {
	return transport.NewIdempotent[acceptRequest, reply]("/register/" + name + "/accept-parts")
}

func readCall(name string) transport.Idempotent[readRequest, reply] {
	return transport.NewIdempotent[readRequest, reply]("/register/" + name + "/read")
}

func pushCall(name string) transport.Idempotent[pushRequest, pushReply] {
	return transport.NewIdempotent[pushRequest, pushReply]("/register/" + name + "/push")
}

func fetchCall(name string) transport.Idempotent[fetchRequest, fetchReply] {
	return transport.NewIdempotent[fetchRequest, fetchReply]("/register/" + name + "/fetch")
}
