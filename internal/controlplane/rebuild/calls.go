package rebuild

import (
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Both only read: a snapshot is as of when it was taken, and a chunk of it stays the same.
var (
	dumpCall  = transport.NewIdempotent[dumpRequest, dumpReply]("/rebuild/dump")
	readyCall = transport.NewIdempotent[readyRequest, readyReply]("/rebuild/ready")
)

// dumpRequest requests a chunk of a snapshot of all replicated tables. The snapshot is taken with chunk 0, once for each attempt.
type dumpRequest struct {
	Member   string          `msgpack:"m"` // the receiver of the snapshot
	View     replicaset.View `msgpack:"v"` // that it works with
	Attempt  uint64          `msgpack:"a"` // the receiver's number, the same for all chunks
	Snapshot uint64          `msgpack:"c"` // as the reply with chunk 0 named it; 0 in the request for that one
	Chunk    uint32          `msgpack:"p"`
}

// dumpReply has the chunk. The whole snapshot is as of one instant after its donor stored the receiver's view.
type dumpReply struct {
	Snapshot uint64           `msgpack:"c"`
	Chunks   uint32           `msgpack:"n"` // of the whole snapshot
	Entries  []storage.Change `msgpack:"e"`
}

// readyRequest asks whether a process may vote as a member, and stays one.
type readyRequest struct{}

// readyReply is the reply. Builds before the last two fields leave them out: such a process counts as one that stays and knows of
// no joining member.
type readyReply struct {
	Ready     bool `msgpack:"r"`
	Departing bool `msgpack:"d,omitempty"` // the process is about to stop
	Joining   bool `msgpack:"j,omitempty"` // the process knows of a core node that waits to become a member
}

// Serve registers the internal calls with which others fetch snapshots, and learn whether this member has been rebuilt.
func (r *Rebuilder) Serve(mux *transport.Mux) {
	transport.Handle(mux, dumpCall, r.handleDump)
	transport.Handle(mux, readyCall, r.handleReady)
}
