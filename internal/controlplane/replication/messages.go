package replication

import (
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Votes, batches and heartbeats carry terms and positions, so processing a duplicate has no effect.
// A resignation is sent at most once: a late duplicate would mark a restarted process as stopped.
var (
	voteCall     = transport.NewIdempotent[voteRequest, voteReply]("/replication/prepare")
	appendCall   = transport.NewIdempotent[appendRequest, appendReply]("/replication/append")
	pingCall     = transport.NewIdempotent[pingRequest, pingReply]("/replication/ping")
	resignCall   = transport.NewAtMostOnce[resignRequest, resignReply]("/replication/resign")
	snapshotCall = transport.NewIdempotent[snapshotRequest, snapshotReply]("/replication/state")
)

// Entry sets one key of a group's state. A nil Value deletes the key. The empty key is not allowed.
type Entry struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// voteRequest asks a replica for its vote. If PreVote is set, it asks whether the replica would grant a vote, without changing
// the replica.
type voteRequest struct {
	Group     string   `msgpack:"g"`
	Term      uint64   `msgpack:"e"`
	Candidate string   `msgpack:"c"`
	Position  Position `msgpack:"p"` // the candidate's position
	View      uint64   `msgpack:"w"` // version of the candidate's view
	PreVote   bool     `msgpack:"b,omitempty"`
}

type voteReply struct {
	Granted  bool              `msgpack:"g"`
	Term     uint64            `msgpack:"m"` // the voter's current term
	Position Position          `msgpack:"p"`
	State    map[string][]byte `msgpack:"s,omitempty"` // set only if Position is newer than the candidate's
	// StateOmitted is set if Position is newer than the candidate's but the state does not fit into this message. The
	// candidate then fetches the state in chunks before it requests votes.
	StateOmitted bool `msgpack:"l,omitempty"`
}

// snapshotRequest asks for one chunk of a replica's state at a position.
type snapshotRequest struct {
	Group    string   `msgpack:"g"`
	View     uint64   `msgpack:"w"`
	Position Position `msgpack:"p"`
	Chunk    uint32   `msgpack:"a"` // starts at 0
}

// snapshotReply carries the requested chunk. Chunks is the total number of chunks, or zero if the replica is not at the
// requested position or may not vote.
type snapshotReply struct {
	Chunks  uint32  `msgpack:"n"`
	Entries []Entry `msgpack:"t"`
}

// appendRequest moves a replica from Previous to Position. If Snapshot is set, Entries replace the whole state, whatever the
// replica's position. Entries that do not fit into one message are sent in chunks. The replica moves to Position after the
// last chunk.
type appendRequest struct {
	Group    string   `msgpack:"g"`
	Term     uint64   `msgpack:"e"`
	Leader   string   `msgpack:"l"`
	View     uint64   `msgpack:"w"`
	Snapshot bool     `msgpack:"n,omitempty"`
	Previous Position `msgpack:"q"`
	Position Position `msgpack:"p"`
	Entries  []Entry  `msgpack:"t"`
	Chunk    uint32   `msgpack:"a,omitempty"` // starts at 0
	Chunks   uint32   `msgpack:"m,omitempty"` // total number of chunks; 0 and 1 both mean a single chunk
}

// appendOutcome is the result of an append request or a heartbeat.
type appendOutcome uint8

const (
	unavailable      appendOutcome = iota // the replica may not vote at the moment, or has a newer view
	accepted                              // the replica follows the leader; the reply has its position
	positionMismatch                      // the replica follows the leader, but the batch does not start at its position
	staleTerm                             // the replica's current term is higher
	incomplete                            // the replica follows the leader, and expects chunk NextChunk next
)

type appendReply struct {
	Outcome   appendOutcome `msgpack:"o"`
	Term      uint64        `msgpack:"m"`
	Position  Position      `msgpack:"p"`
	NextChunk uint32        `msgpack:"w,omitempty"` // the next expected chunk, if Outcome is incomplete
}

// heartbeat renews the lease of the leader of one group.
type heartbeat struct {
	Group string `msgpack:"g"`
	Term  uint64 `msgpack:"e"`
}

// pingRequest shows that its sender is alive, and carries the heartbeats of all groups that the sender leads.
type pingRequest struct {
	From            string      `msgpack:"f"`
	Ready           bool        `msgpack:"r"` // the sender may vote
	View            uint64      `msgpack:"w"`
	LeadersChecksum uint64      `msgpack:"s"` // checksum of the leaders known to the sender
	Heartbeats      []heartbeat `msgpack:"b"`
}

type pingReply struct {
	Heartbeats []appendReply          `msgpack:"b"`           // in the order of the request
	Leaders    map[string]feed.Leader `msgpack:"l,omitempty"` // set only if the checksums differ
}

// resignRequest announces that a leader has ended its term.
type resignRequest struct {
	Group    string `msgpack:"g"`
	Term     uint64 `msgpack:"e"`
	From     string `msgpack:"f"`
	Stopping bool   `msgpack:"l"` // the process of the leader is stopping
}

type resignReply struct{}
