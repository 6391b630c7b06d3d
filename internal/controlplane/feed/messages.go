package feed

import (
	"strings"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. They are idempotent because their contents are ordered by versions, terms or ages.
var (
	// WatchCall is served by coordinators. It is a long poll that returns when the state differs from the reader's digest.
	WatchCall = transport.NewIdempotent[WatchRequest, WatchReply]("/feed/watch")
	// ExchangeCall is served by agents for anti-entropy: agents exchange digests first, then what the other side lacks.
	ExchangeCall = transport.NewIdempotent[Exchange, Exchange]("/feed/exchange")
	// ChunksCall is served by coordinators and agents. It returns chunks of the newest configuration.
	ChunksCall = transport.NewIdempotent[ChunksRequest, ChunksReply]("/feed/parts")
	// LocalCall is served by an agent to the proxy on its machine.
	LocalCall = transport.NewIdempotent[WatchRequest, WatchReply]("/feed/local")
	// AgentContactsCall is served by coordinators. They use it to exchange which agents have called them.
	AgentContactsCall = transport.NewIdempotent[AgentContacts, AgentContacts]("/feed/front")
)

// Leader identifies the leader of a replication group. Of two leaders, the one with the higher term is newer.
type Leader struct {
	Address string `msgpack:"a"` // internal address, host:port
	Term    uint64 `msgpack:"e"`
}

// Digest identifies a state of the feed.
type Digest struct {
	ConfigurationVersion uint64            `msgpack:"c"`
	LeaderTerms          map[string]uint64 `msgpack:"l"` // by group
	MembersSum           uint64            `msgpack:"m"` // checksum of the members' addresses
	// MembersAgeMS is the time since a coordinator confirmed the members, in milliseconds. Only agents set it.
	MembersAgeMS int64 `msgpack:"g,omitempty"`
}

// Snapshot is the complete state of the feed, or the part of it that a reader lacks.
type Snapshot struct {
	ConfigurationVersion uint64            `msgpack:"c"`
	Configuration        []byte            `msgpack:"b"`           // as submitted by the operator; empty if there is none, if the reader has it, or if Offer is set
	Leaders              map[string]Leader `msgpack:"l"`           // by group
	Coordinators         []string          `msgpack:"k"`           // internal addresses of coordinators
	Agents               []string          `msgpack:"f"`           // internal addresses of agents
	Offer                *Offer            `msgpack:"o,omitempty"` // replaces Configuration for readers that accept chunks
}

// Offer describes a configuration by its chunks and contains some of the chunks that the reader lacks. The reader requests the
// others with ChunksCall.
type Offer struct {
	Manifest chunks.Manifest `msgpack:"m"`
	Chunks   [][]byte        `msgpack:"p,omitempty"` // in packed form
}

// ChunksRequest requests chunks of a configuration.
type ChunksRequest struct {
	Sums     []byte `msgpack:"s"` // concatenated checksums
	MaxBytes int    `msgpack:"r"` // approximate size limit of the reply, which contains at least one chunk if the callee has any
}

// ChunksReply is the reply to a ChunksRequest.
type ChunksReply struct {
	Chunks [][]byte `msgpack:"p"` // in packed form; only chunks that the callee has
}

// WatchRequest asks a coordinator, or the agent on the same machine, for changes.
type WatchRequest struct {
	Known  Digest `msgpack:"k"`
	WaitMS int64  `msgpack:"w"` // maximum wait for a change, in milliseconds
	Agent  string `msgpack:"a"` // internal address of the calling agent, which the coordinator records; empty for a proxy
	// Current is the value from the caller's last reply. An agent replies to its proxy at once if the value has changed.
	Current bool `msgpack:"u,omitempty"`
	// Suspects are agents whose exchanges with the calling agent failed several times in a row.
	Suspects []string `msgpack:"s,omitempty"`
	// MaxBytes limits the bytes of chunks in the reply. If it is 0, the reply contains the complete configuration instead.
	MaxBytes int `msgpack:"r,omitempty"`
}

// WatchReply is the reply to a WatchRequest. Current is false if the coordinator is not in contact with a majority. The reader then
// tries another coordinator. In an agent's reply to its proxy, Current reports whether the agent is in contact with the control plane.
type WatchReply struct {
	Current  bool      `msgpack:"u"`
	Changed  bool      `msgpack:"h"`
	Snapshot *Snapshot `msgpack:"s,omitempty"` // what the reader lacks; nil if nothing changed
}

// Exchange is both the request and the reply of ExchangeCall. It holds the digest of the sender and what the receiver lacks.
type Exchange struct {
	Known    Digest    `msgpack:"k"`
	Snapshot *Snapshot `msgpack:"s,omitempty"` // nil if the receiver lacks nothing or its state isn't known yet
	Agent    string    `msgpack:"a,omitempty"` // internal address of the sender, from which chunks may be fetched
	MaxBytes int       `msgpack:"r,omitempty"` // as in WatchRequest
}

// AgentContact records the last call of an agent to a coordinator.
type AgentContact struct {
	Address string `msgpack:"a"` // internal address
	AgeMS   int64  `msgpack:"g"` // milliseconds since its last call
}

// AgentContacts is both the request and the reply of AgentContactsCall. It lists the agents that have called the sender recently.
type AgentContacts struct {
	Agents []AgentContact `msgpack:"a"`
}

// groupPrefix is the prefix of the names of groups that schedule jobs.
const groupPrefix = "jobs/"

// GroupOf returns the name of the replication group that schedules a service's jobs.
func GroupOf(service string) string { return groupPrefix + service }

// ServiceOf returns the service whose jobs a replication group schedules. It is the inverse of GroupOf.
func ServiceOf(group string) string { return strings.TrimPrefix(group, groupPrefix) }
