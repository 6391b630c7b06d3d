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

// Internal calls. Votes, batches and heartbeats have epochs and positions, so that one that comes again changes nothing.
// A resignation that came late would make a process that is back count as gone.
var (
	prepareCall = transport.NewRepeatable[prepareRequest, prepareReply]("/replication/prepare")
	appendCall  = transport.NewRepeatable[appendRequest, appendReply]("/replication/append")
	pingCall    = transport.NewRepeatable[pingRequest, pingReply]("/replication/ping")
	resignCall  = transport.NewOnce[resignRequest, resignReply]("/replication/resign")
	stateCall   = transport.NewRepeatable[stateRequest, stateReply]("/replication/state")
)

// Entry sets one key of a group's state. A nil Value deletes the key. The empty key is not allowed.
type Entry struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// Position names one state of a group: the Sequence-th batch of the leader that was elected under Epoch.
// The zero Position is the empty state before the first leader.
type Position struct {
	Epoch    uint64 `msgpack:"e"`
	Sequence uint64 `msgpack:"s"`
}

// Before tells whether the position is older than another.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Sequence < other.Sequence
}

// prepareRequest asks for a vote. With Probe set, it asks whether a vote would be given, and changes nothing.
type prepareRequest struct {
	Group     string   `msgpack:"g"`
	Epoch     uint64   `msgpack:"e"`
	Candidate string   `msgpack:"c"`
	Position  Position `msgpack:"p"` // the candidate's own
	View      uint64   `msgpack:"w"` // version of the candidate's view
	Probe     bool     `msgpack:"b,omitempty"`
}

type prepareReply struct {
	Granted  bool              `msgpack:"g"`
	Promised uint64            `msgpack:"m"` // the highest epoch promised
	Position Position          `msgpack:"p"`
	State    map[string][]byte `msgpack:"s,omitempty"` // only where Position is newer than the candidate's
	// Large tells that Position is newer than the candidate's and that the state does not fit into this message. The
	// candidate fetches it in parts before it stands.
	Large bool `msgpack:"l,omitempty"`
}

// stateRequest asks for a part of a replica's state as of a position.
type stateRequest struct {
	Group    string   `msgpack:"g"`
	View     uint64   `msgpack:"w"`
	Position Position `msgpack:"p"`
	Chunk    uint32   `msgpack:"a"` // from 0
}

// stateReply is that part. Parts is zero where the replica is not at the position, or may not vote.
type stateReply struct {
	Chunks  uint32  `msgpack:"n"`
	Entries []Entry `msgpack:"t"`
}

// appendRequest moves a replica from Previous to Position, or with Snapshot set, from wherever it is. What does not fit
// into one message comes in parts, and moves the replica with the last one.
type appendRequest struct {
	Group    string   `msgpack:"g"`
	Epoch    uint64   `msgpack:"e"`
	Leader   string   `msgpack:"l"`
	View     uint64   `msgpack:"w"`
	Snapshot bool     `msgpack:"n,omitempty"`
	Previous Position `msgpack:"q"`
	Position Position `msgpack:"p"`
	Entries  []Entry  `msgpack:"t"`
	Chunk    uint32   `msgpack:"a,omitempty"` // from 0
	Chunks   uint32   `msgpack:"m,omitempty"` // how many there are; 0 and 1 both stand for one
}

// outcome is a replica's answer to its leader.
type outcome uint8

const (
	unavailable outcome = iota // the replica may not vote at present, or has a newer view
	accepted                   // the replica follows the leader; its position is in the reply
	behind                     // the replica follows the leader, but the batch does not continue its position
	superseded                 // the replica has promised a higher epoch
	gathering                  // the replica follows the leader, and wants the part that the reply names
)

type appendReply struct {
	Outcome  outcome  `msgpack:"o"`
	Promised uint64   `msgpack:"m"`
	Position Position `msgpack:"p"`
	Wanted   uint32   `msgpack:"w,omitempty"` // with gathering: the part that is missing
}

// beat renews the lease of one group's leader.
type beat struct {
	Group string `msgpack:"g"`
	Epoch uint64 `msgpack:"e"`
}

// pingRequest tells a member that the sender is alive, and carries its heartbeats as a leader.
type pingRequest struct {
	From  string `msgpack:"f"`
	Ready bool   `msgpack:"r"` // the sender may vote
	View  uint64 `msgpack:"w"`
	Sum   uint64 `msgpack:"s"` // checksum of the leaders that the sender knows
	Beats []beat `msgpack:"b"`
}

type pingReply struct {
	Beats   []appendReply          `msgpack:"b"`           // in the order of the request
	Leaders map[string]feed.Leader `msgpack:"l,omitempty"` // only where the checksums differ
}

// resignRequest tells that a leader has ended its term.
type resignRequest struct {
	Group   string `msgpack:"g"`
	Epoch   uint64 `msgpack:"e"`
	From    string `msgpack:"f"`
	Leaving bool   `msgpack:"l"` // its process is stopping
}

type resignReply struct{}
