// Package feed holds what the control plane tells the data plane: the configuration in force, who leads which group,
// and which nodes exist. A Digest names one state of it, so that a reader fetches only what it lacks.
package feed

import (
	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. What they tell has versions, epochs or ages, and changes nothing when it comes again.
var (
	// WatchCall is served by core nodes: it answers once something differs from the reader's digest.
	WatchCall = transport.NewIdempotent[WatchRequest, WatchReply]("/feed/watch")
	// ExchangeCall is served by agents: digests first, then what the other lacks (epidemic reconciliation).
	ExchangeCall = transport.NewIdempotent[Exchange, Exchange]("/feed/exchange")
	// ChunksCall is served by core nodes and agents: it hands out parts of the configuration that they hold.
	ChunksCall = transport.NewIdempotent[ChunksRequest, ChunksReply]("/feed/parts")
	// LocalCall is served by an agent on its own machine, to the proxy beside it.
	LocalCall = transport.NewIdempotent[WatchRequest, WatchReply]("/feed/local")
	// AgentContactsCall is served by core nodes: they tell each other which agents asked them for news.
	AgentContactsCall = transport.NewIdempotent[AgentContacts, AgentContacts]("/feed/front")
)

// Leader is who leads a replication group. The higher epoch is the newer one.
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
	Offer                *Offer            `msgpack:"o,omitempty"` // the configuration by parts, to readers that take it so
}

// Offer describes a configuration by its parts, with some of those that the reader lacks. The others are asked for.
type Offer struct {
	Manifest chunks.Manifest `msgpack:"m"`
	Chunks   [][]byte        `msgpack:"p,omitempty"` // packed
}

// ChunksRequest asks for parts of a configuration.
type ChunksRequest struct {
	Sums     []byte `msgpack:"s"` // checksums, one after the other
	MaxBytes int    `msgpack:"r"` // about how many bytes the answer may have; one part comes in any case
}

// ChunksReply is the answer.
type ChunksReply struct {
	Chunks [][]byte `msgpack:"p"` // packed, those that are held
}

// WatchRequest asks a core node for news.
type WatchRequest struct {
	Known  Digest `msgpack:"k"`
	WaitMS int64  `msgpack:"w"` // answer after that long even without news
	Agent  string `msgpack:"a"` // the asking agent's internal address, by which the core learns of it
	// Current is what the last reply said. An agent answers its proxy at once when that is no longer so.
	Current bool `msgpack:"u,omitempty"`
	// Suspects are agents that have not answered the asking one several times in a row.
	Suspects []string `msgpack:"s,omitempty"`
	// MaxBytes is how many bytes of parts the answer may bring. A reader that leaves it out gets configurations whole.
	MaxBytes int `msgpack:"r,omitempty"`
}

// WatchReply is the answer. A core node without contact to a majority answers with Current false, and its reader turns to another.
type WatchReply struct {
	Current  bool      `msgpack:"u"`
	Changed  bool      `msgpack:"h"`
	Snapshot *Snapshot `msgpack:"s,omitempty"` // nil when nothing changed
}

// Exchange is what one agent tells another: the state it has, and news that the other lacks.
type Exchange struct {
	Known    Digest    `msgpack:"k"`
	Snapshot *Snapshot `msgpack:"s,omitempty"` // nil when there is no news
	Agent    string    `msgpack:"a,omitempty"` // the teller's internal address, from which parts may be fetched
	MaxBytes int       `msgpack:"r,omitempty"` // as in Watch
}

// AgentContact is an agent that has asked a core node for news.
type AgentContact struct {
	Address string `msgpack:"a"` // internal address
	AgeMS   int64  `msgpack:"g"` // milliseconds since then
}

// Front is what one core node tells another, and the reply: the agents that asked it lately.
type AgentContacts struct {
	Agents []AgentContact `msgpack:"a"`
}

// GroupOf is the replication group that schedules a service's jobs.
func GroupOf(service string) string { return "jobs/" + service }
