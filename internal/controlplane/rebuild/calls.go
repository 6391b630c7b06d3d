package rebuild

import (
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Both are idempotent: a snapshot is fixed when it is taken, so each of its chunks stays the same.
var (
	chunkCall = transport.NewIdempotent[chunkRequest, chunkReply]("/rebuild/dump")
	readyCall = transport.NewIdempotent[readyRequest, readyReply]("/rebuild/ready")
)

// chunkRequest requests one chunk of a snapshot of all replicated tables. The donor takes the snapshot on the request for
// chunk 0, once per attempt.
type chunkRequest struct {
	Member   string          `msgpack:"m"` // address of the receiver
	View     replicaset.View `msgpack:"v"` // current view of the receiver
	Attempt  uint64          `msgpack:"a"` // chosen by the receiver; the same for all chunks
	Snapshot uint64          `msgpack:"c"` // identifier from the reply to chunk 0; 0 in the request for chunk 0
	Chunk    uint32          `msgpack:"p"`
}

// chunkReply contains one chunk. The whole snapshot shows the donor's state at one instant, after the donor stored the
// receiver's view.
type chunkReply struct {
	Snapshot uint64           `msgpack:"c"`
	Chunks   uint32           `msgpack:"n"` // number of chunks in the snapshot
	Entries  []storage.Change `msgpack:"e"`
}

// readyRequest asks whether a process may vote as a member, and whether it is about to stop.
type readyRequest struct{}

// readyReply is the reply to a readyRequest. Earlier builds do not send the last two fields. Such a process counts as one that
// stays and knows of no joining member.
type readyReply struct {
	Ready     bool `msgpack:"r"`
	Departing bool `msgpack:"d,omitempty"` // the process is about to stop
	Joining   bool `msgpack:"j,omitempty"` // the process knows of a coordinator that is waiting to become a member
}

// Serve registers the internal calls. Other members use them to fetch snapshots, and to ask whether this member may vote.
func (r *Rebuilder) Serve(mux *transport.Mux) {
	transport.Handle(mux, chunkCall, r.handleChunk)
	transport.Handle(mux, readyCall, r.handleReady)
}
