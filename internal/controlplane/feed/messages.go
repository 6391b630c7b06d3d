package feed

import (
	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. They are idempotent: what they carry has versions, terms or ages.
var (
	// WatchCall is served by core nodes: it answers once something differs from the reader's digest.
	WatchCall = transport.NewIdempotent[WatchRequest, WatchReply]("/feed/watch")
	// ExchangeCall is served by agents: digests first, then what the other lacks (anti-entropy).
	ExchangeCall = transport.NewIdempotent[Exchange, Exchange]("/feed/exchange")
	// ChunksCall is served by core nodes and agents: it returns chunks of the newest configuration.
	ChunksCall = transport.NewIdempotent[ChunksRequest, ChunksReply]("/feed/parts")
	// LocalCall is served by an agent on its own machine, to the proxy beside it.
	LocalCall = transport.NewIdempotent[WatchRequest, WatchReply]("/feed/local")
	// AgentContactsCall is served by core nodes: they exchange which agents have called them.
	AgentContactsCall = transport.NewIdempotent[AgentContacts, AgentContacts]("/feed/front")
)

// Leader is who leads a replication group. The higher term is the newer one.
type Leader struct {
	Address string `msgpack:"a"` // internal address, host:port
	Term    uint64 `msgpack:"e"`
}

// Digest names a state of the feed.
type Digest struct {
	ConfigurationVersion uint64            `msgpack:"c"`
	LeaderTerms          map[string]uint64 `msgpack:"l"` // by group
	MembersSum           uint64            `msgpack:"m"` // checksum of the members' addresses
	// MembersAgeMS is how long ago a core node confirmed the members, in milliseconds. Only agents fill it in.
	MembersAgeMS int64 `msgpack:"g,omitempty"`
}

// Snapshot is the whole state of the feed.
type Snapshot struct {
	ConfigurationVersion uint64            `msgpack:"c"`
	Configuration        []byte            `msgpack:"b"`           // as the operator sent it; empty before the first, where the reader has it, and beside an offer
	Leaders              map[string]Leader `msgpack:"l"`           // by group
	Core                 []string          `msgpack:"k"`           // internal addresses of core nodes
	Agents               []string          `msgpack:"f"`           // internal addresses of the agents on front machines
	Offer                *Offer            `msgpack:"o,omitempty"` // instead of Configuration, to readers that take chunks
}

// Offer describes a configuration by its chunks, and has some of those that the reader lacks. It requests the others by ChunksCall.
type Offer struct {
	Manifest chunks.Manifest `msgpack:"m"`
	Chunks   [][]byte        `msgpack:"p,omitempty"` // packed
}

// ChunksRequest requests chunks of a configuration.
type ChunksRequest struct {
	Sums     []byte `msgpack:"s"` // concatenated checksums
	MaxBytes int    `msgpack:"r"` // about how many bytes the reply may have; it has one chunk in any case
}

// ChunksReply is the reply to a ChunksRequest.
type ChunksReply struct {
	Chunks [][]byte `msgpack:"p"` // packed; those that the callee has
}

// WatchRequest asks a core node, or an agent on the same machine, for what changed.
type WatchRequest struct {
	Known  Digest `msgpack:"k"`
	WaitMS int64  `msgpack:"w"` // reply after that long even without a change, in milliseconds
	Agent  string `msgpack:"a"` // internal address of the calling agent, by which the core learns of it; empty for a proxy
	// Current is that of the last reply. An agent replies to its proxy at once when it has changed.
	Current bool `msgpack:"u,omitempty"`
	// Suspects are agents that failed to reply to the calling one several times in a row.
	Suspects []string `msgpack:"s,omitempty"`
	// MaxBytes is how many bytes of chunks the reply may have. With 0, configurations are sent whole.
	MaxBytes int `msgpack:"r,omitempty"`
}

// WatchReply is the reply to a WatchRequest. Current is false where the core node is without contact to a majority; the reader
// then turns to another.
type WatchReply struct {
	Current  bool      `msgpack:"u"`
	Changed  bool      `msgpack:"h"`
	Snapshot *Snapshot `msgpack:"s,omitempty"` // what the reader lacks; nil when nothing changed
}

// Exchange is what one agent sends another, and the reply: the state it has, and what the other lacks.
type Exchange struct {
	Known    Digest    `msgpack:"k"`
	Snapshot *Snapshot `msgpack:"s,omitempty"` // nil when the other lacks nothing, or its state is not known yet
	Agent    string    `msgpack:"a,omitempty"` // internal address of the sender, from which chunks may be fetched
	MaxBytes int       `msgpack:"r,omitempty"` // as in WatchRequest
}

// AgentContact is an agent that has called a core node.
type AgentContact struct {
	Address string `msgpack:"a"` // internal address
	AgeMS   int64  `msgpack:"g"` // milliseconds since its last call
}

// AgentContacts is what one core node sends another, and the reply: the agents that have called it lately.
type AgentContacts struct {
	Agents []AgentContact `msgpack:"a"`
}

// GroupOf is the replication group that schedules a service's jobs.
func GroupOf(service string) string { return "jobs/" + service }
