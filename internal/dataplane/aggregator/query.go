package aggregator

import (
	"time"

	"puffinlink.example/puffinlink/policy"
)

// Query is a client's query. It belongs to the aggregator until Done has a reply.
type Query struct {
	ID         string // the client's ID for the query; the names of calls contain it
	Index      policy.IndexID
	Customer   policy.CustomerID
	Key        uint64
	HasKey     bool
	Resent     bool
	Arrived    time.Time
	Timeout    float64 // seconds from Arrived for which the client waits
	Payload    []byte  // content of the query, sent with each subquery
	Subqueries []Subquery
	Done       chan Reply // has capacity for one reply

	id policy.QueryID
}

// Subquery is the part of a query for one shard. Value is set once the subquery is Answered.
type Subquery struct {
	Shard        policy.ShardID
	Weight, Hint float64
	Key          uint64
	HasKey       bool
	Answered     bool
	Value        []byte

	attempts policy.CallNumber // number of calls sent so far
}

// End is the way a query ended for its client.
type End uint8

// The possible ends of a query.
const (
	Satisfied End = iota
	Rejected
	Aborted
	QueueFull // rejected because of the limit of pending queries; not passed to the policy
	Duplicate // rejected because a query with the same ID is pending; not passed to the policy
)

// Reply is the final reply to a query.
type Reply struct {
	End        End
	Complete   bool
	RetryAfter float64 // seconds after which the client may retry; 0 for no advice
	Text       string  // reason of a refusal by the admission
}
