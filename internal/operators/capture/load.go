package capture

import (
	"cmp"
	"slices"
)

// Ends counts how queries ended.
type Ends struct {
	Satisfied    int64 `json:"Satisfied"` // within the soft deadline
	Late         int64 `json:"Late"`      // answered after it
	Rejected     int64 `json:"Nacked"`
	Aborted      int64 `json:"Aborted"`
	Disconnected int64 `json:"Gone"` // the client closed the connection
	Full         int64 `json:"Full"` // rejected, because the aggregator held its maximum number of queries
}

func (e *Ends) add(o Ends) {
	e.Satisfied += o.Satisfied
	e.Late += o.Late
	e.Rejected += o.Rejected
	e.Aborted += o.Aborted
	e.Disconnected += o.Disconnected
	e.Full += o.Full
}

// Load counts the queries of one customer of one index.
type Load struct {
	Index    string  `json:"Index"`
	Customer string  `json:"Customer"`
	Queries  int64   `json:"Lookups"`
	Resent   int64   `json:"Resent"` // marked as retries by their clients
	Parts    int64   `json:"Parts"`
	Hint     float64 `json:"Hint"` // sum of the expected work that the queries state, in seconds
	Ends     Ends    `json:"Ends"`
}

// IndexLoad holds the sizes and the latency of the queries of an index.
type IndexLoad struct {
	Index   string        `json:"Index"`
	Parts   map[int]int64 `json:"Parts"`   // number of queries by their number of subqueries
	Latency Histogram     `json:"Latency"` // of answered queries
}

// ShardLoad counts the subqueries of a shard.
type ShardLoad struct {
	Index string `json:"Index"`
	Shard int    `json:"Shard"`
	Parts int64  `json:"Parts"`
}

// BackendLoad holds the results of the subqueries of one index to one backend.
type BackendLoad struct {
	Backend  string    `json:"Searcher"`
	Location string    `json:"Location"`
	Index    string    `json:"Index"`
	Calls    int64     `json:"Calls"`
	Failed   int64     `json:"Failed"` // errors, broken calls and lost calls
	Rejected int64     `json:"TurnedAway"`
	Latency  Histogram `json:"Latency"`
	Alone    Histogram `json:"Alone"`   // of subqueries sent while the aggregator had no other in flight there: close to the service time
	Reports  int64     `json:"Reports"` // load reports received
	Service  float64   `json:"Service"` // sum of the reported service times, in seconds
	Util     float64   `json:"Util"`    // sum of the reported utilization
}

// Level is the mean and the peak of a number in flight.
type Level struct {
	Mean float64 `json:"Mean"`
	Peak int64   `json:"Most"`
}

// Interval is the recorded load of one or more aggregators in a period of time.
type Interval struct {
	At            float64       `json:"At"`   // Unix seconds
	Span          float64       `json:"Span"` // seconds
	Aggregators   []string      `json:"Mixers"`
	Loads         []Load        `json:"Loads"`
	Indexes       []IndexLoad   `json:"Indexes"`
	Shards        []ShardLoad   `json:"Shards"`
	Backends      []BackendLoad `json:"Searchers"`
	InFlight      Level         `json:"Held"` // queries
	CallsInFlight Level         `json:"Out"`  // subqueries
}

// sort sorts the rows, so that equal intervals have equal encodings.
func (i *Interval) sort() {
	slices.SortFunc(i.Loads, func(x, y Load) int {
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Customer, y.Customer))
	})
	slices.SortFunc(i.Indexes, func(x, y IndexLoad) int { return cmp.Compare(x.Index, y.Index) })
	slices.SortFunc(i.Shards, func(x, y ShardLoad) int { return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Shard, y.Shard)) })
	slices.SortFunc(i.Backends, func(x, y BackendLoad) int {
		return cmp.Or(cmp.Compare(x.Backend, y.Backend), cmp.Compare(x.Index, y.Index))
	})
}
