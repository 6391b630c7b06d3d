package aggregator

import (
	"time"

	"puffinlink.example/puffinlink/policy"
)

// Query is a client's query. Until Done has a reply it belongs to the aggregator.
type Query struct {
	ID         string // the client's id; names of calls contain it
	Index      policy.IndexID
	Customer   policy.CustomerID
	Key        uint64
	HasKey     bool
	Resent     bool
	Arrived    time.Time
	Timeout    float64 // how long from then the client waits
	Payload      []byte  // what each subquery carries
	Subqueries []Subquery
	Done       chan Reply // holds one

	id policy.QueryID
}

// Subquery is the share of a query for one shard; Value is set once it is Answered.
type Subquery struct {
	Shard        policy.ShardID
	Weight, Hint float64
	Key          uint64
	HasKey       bool
	Answered     bool
	Value        []byte

	attempts policy.CallNo // calls so far
}

// End is how a query ended for its client.
type End uint8

// The ends of a query.
const (
	Satisfied End = iota
	Nacked
	Aborted
	QueueFull // the limit of pending queries is reached; the policy never saw it
	Duplicate
)

// Reply is the final answer of a query.
type Reply struct {
	End        End
	Complete   bool
	RetryAfter float64 // seconds after which the client may retry, 0 for no advice
	Text       string  // why a gate refused it
}
