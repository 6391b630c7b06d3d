// Package replication keeps replicated key/value states, one per group, on the core nodes. A group has at most one
// acting leader. The leader gathers changes into batches, and a batch is committed once a majority of the replicas has
// synced it to disk. There is no log: each replica holds the state as of one Position, a batch moves it from one
// Position to the next, and a replica that is elsewhere gets a whole snapshot.
//
// All decisions are made by the type core and what it consists of (replica, campaign, leadership), which know neither
// goroutines nor sockets and take the time as an argument. Node runs a core on a real clock, store and network.
package replication

import (
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Votes, batches and heartbeats have terms and positions, so that one that comes again changes nothing.
// A resignation that came late would make a process that is back count as gone.
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

// voteRequest asks for a vote. With Probe set, it asks whether a vote would be given, and changes nothing.
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
	Term     uint64            `msgpack:"m"` // the highest term promised
	Position Position          `msgpack:"p"`
	State    map[string][]byte `msgpack:"s,omitempty"` // only where Position is newer than the candidate's
	// StateOmitted tells that Position is newer than the candidate's and that the state does not fit into this message. The
	// candidate fetches it in parts before it stands.
	StateOmitted bool `msgpack:"l,omitempty"`
}

// snapshotRequest asks for a part of a replica's state as of a position.
type snapshotRequest struct {
	Group    string   `msgpack:"g"`
	View     uint64   `msgpack:"w"`
	Position Position `msgpack:"p"`
	Chunk    uint32   `msgpack:"a"` // from 0
}

// snapshotReply is that part. Parts is zero where the replica is not at the position, or may not vote.
type snapshotReply struct {
	Chunks  uint32  `msgpack:"n"`
	Entries []Entry `msgpack:"t"`
}

// appendRequest moves a replica from Previous to Position, or with Snapshot set, from wherever it is. What does not fit
// into one message comes in parts, and moves the replica with the last one.
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
	staleTerm                             // the replica has promised a higher term
	incomplete                            // the replica follows the leader, and wants the part that the reply names
)

type appendReply struct {
	Outcome   appendOutcome `msgpack:"o"`
	Term      uint64        `msgpack:"m"`
	Position  Position      `msgpack:"p"`
	NextChunk uint32        `msgpack:"w,omitempty"` // with gathering: the part that is missing
}

// heartbeat renews the lease of one group's leader.
type heartbeat struct {
	Group string `msgpack:"g"`
	Term  uint64 `msgpack:"e"`
}

// pingRequest tells a member that the sender is alive, and carries its heartbeats as a leader.
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

// resignRequest tells that a leader has ended its term.
type resignRequest struct {
	Group    string `msgpack:"g"`
	Term     uint64 `msgpack:"e"`
	From     string `msgpack:"f"`
	Stopping bool   `msgpack:"l"` // its process is stopping
}

type resignReply struct{}
