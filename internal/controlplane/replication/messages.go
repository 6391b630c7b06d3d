package replication

import (
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Votes, batches and heartbeats have terms and positions, so that a duplicate changes nothing.
// A late resignation would make a process that is back count as gone, so that one is sent at most once.
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

// voteRequest asks for a vote. With PreVote set, it asks whether a vote would be given, and changes nothing.
type voteRequest struct {
	Group     string   `msgpack:"g"`
	Term      uint64   `msgpack:"e"`
	Candidate string   `msgpack:"c"`
	Position  Position `msgpack:"p"` // the candidate's own
	View      uint64   `msgpack:"w"` // version of the candidate's view
	PreVote   bool     `msgpack:"b,omitempty"`
}

type voteReply struct {
	Granted  bool              `msgpack:"g"`
	Term     uint64            `msgpack:"m"` // the voter's current term
	Position Position          `msgpack:"p"`
	State    map[string][]byte `msgpack:"s,omitempty"` // only where Position is newer than the candidate's
	// StateOmitted tells that Position is newer than the candidate's and that the state does not fit into this message. The
	// candidate fetches it in chunks before it asks for votes.
	StateOmitted bool `msgpack:"l,omitempty"`
}

// snapshotRequest asks for a chunk of a replica's state as of a position.
type snapshotRequest struct {
	Group    string   `msgpack:"g"`
	View     uint64   `msgpack:"w"`
	Position Position `msgpack:"p"`
	Chunk    uint32   `msgpack:"a"` // from 0
}

// snapshotReply is that chunk. Chunks is zero where the replica is not at the position, or may not vote.
type snapshotReply struct {
	Chunks  uint32  `msgpack:"n"`
	Entries []Entry `msgpack:"t"`
}

// appendRequest moves a replica from Previous to Position, or with Snapshot set, from wherever it is. What does not fit
// into one message comes in chunks, and moves the replica with the last one.
type appendRequest struct {
	Group    string   `msgpack:"g"`
	Term     uint64   `msgpack:"e"`
	Leader   string   `msgpack:"l"`
	View     uint64   `msgpack:"w"`
	Snapshot bool     `msgpack:"n,omitempty"`
	Previous Position `msgpack:"q"`
	Position Position `msgpack:"p"`
	Entries  []Entry  `msgpack:"t"`
	Chunk    uint32   `msgpack:"a,omitempty"` // from 0
	Chunks   uint32   `msgpack:"m,omitempty"` // how many there are; 0 and 1 both stand for one
}

// appendOutcome is a replica's answer to its leader.
type appendOutcome uint8

const (
	unavailable      appendOutcome = iota // the replica may not vote at present, or has a newer view
	accepted                              // the replica follows the leader; its position is in the reply
	positionMismatch                      // the replica follows the leader, but the batch does not continue its position
	staleTerm                             // the replica's current term is higher
	incomplete                            // the replica follows the leader, and lacks the chunk that the reply names
)

type appendReply struct {
	Outcome   appendOutcome `msgpack:"o"`
	Term      uint64        `msgpack:"m"`
	Position  Position      `msgpack:"p"`
	NextChunk uint32        `msgpack:"w,omitempty"` // with incomplete: the missing chunk
}

// heartbeat renews the lease of one group's leader.
type heartbeat struct {
	Group string `msgpack:"g"`
	Term  uint64 `msgpack:"e"`
}

// pingRequest shows a member that the sender is alive, and carries its heartbeats as a leader.
type pingRequest struct {
	From            string      `msgpack:"f"`
	Ready           bool        `msgpack:"r"` // the sender may vote
	View            uint64      `msgpack:"w"`
	LeadersChecksum uint64      `msgpack:"s"` // checksum of the leaders that the sender knows
	Heartbeats      []heartbeat `msgpack:"b"`
}

type pingReply struct {
	Heartbeats []appendReply          `msgpack:"b"`           // in the order of the request
	Leaders    map[string]feed.Leader `msgpack:"l,omitempty"` // only where the checksums differ
}

// resignRequest announces that a leader has ended its term.
type resignRequest struct {
	Group    string `msgpack:"g"`
	Term     uint64 `msgpack:"e"`
	From     string `msgpack:"f"`
	Stopping bool   `msgpack:"l"` // its process is stopping
}

type resignReply struct{}
