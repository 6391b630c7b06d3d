package capture

import (
	"cmp"
	"slices"
)

// Ends counts how queries ended.
type Ends struct {
	Satisfied    int64 `json:"Satisfied"` // within the soft deadline
	Late         int64 `json:"Late"`      // answered after it
	Nacked       int64 `json:"Nacked"`
	Aborted      int64 `json:"Aborted"`
	Disconnected int64 `json:"Gone"` // the client left
	Full         int64 `json:"Full"` // the most held was held
}

func (e *Ends) add(o Ends) {
	e.Satisfied += o.Satisfied
	e.Late += o.Late
	e.Nacked += o.Nacked
	e.Aborted += o.Aborted
	e.Disconnected += o.Disconnected
	e.Full += o.Full
}

// Load is what one customer asked of one index.
type Load struct {
	Index    string  `json:"Index"`
	Customer string  `json:"Customer"`
	Queries  int64   `json:"Lookups"`
	Resent   int64   `json:"Resent"` // marked as tries again by their clients
	Parts    int64   `json:"Parts"`
	Hint     float64 `json:"Hint"` // work hinted at, seconds in all
	Ends     Ends    `json:"Ends"`
}

// IndexLoad is what came of an index.
type IndexLoad struct {
	Index   string        `json:"Index"`
	Parts   map[int]int64 `json:"Parts"`   // queries by their number of parts
	Latency Histogram     `json:"Latency"` // of answered queries
}

// ShardLoad is how often a shard was asked for.
type ShardLoad struct {
	Index string `json:"Index"`
	Shard int    `json:"Shard"`
	Parts int64  `json:"Parts"`
}

// BackendLoad is what came of the part calls of one index to one backend.
type BackendLoad struct {
	Backend  string    `json:"Searcher"`
	Location string    `json:"Location"`
	Index    string    `json:"Index"`
	Calls    int64     `json:"Calls"`
	Failed   int64     `json:"Failed"` // errors, broken and lost calls
	Rejected int64     `json:"TurnedAway"`
	Latency  Histogram `json:"Latency"`
	Alone    Histogram `json:"Alone"`   // of calls that found nothing else of this aggregator there: near the work of a part
	Reports  int64     `json:"Reports"` // load reports heard
	Service  float64   `json:"Service"` // sum of the service times that they told, seconds
	Util     float64   `json:"Util"`    // sum of the use that they told
}

// Level is a figure over time.
type Level struct {
	Mean float64 `json:"Mean"`
	Most int64   `json:"Most"`
}

// Interval is what one or several aggregators saw in a span of time.
type Interval struct {
	At            float64       `json:"At"`   // Unix seconds
	Span          float64       `json:"Span"` // seconds
	Aggregators   []string      `json:"Mixers"`
	Loads         []Load        `json:"Loads"`
	Indexes       []IndexLoad   `json:"Indexes"`
	Shards        []ShardLoad   `json:"Shards"`
	Backends      []BackendLoad `json:"Searchers"`
	InFlight      Level         `json:"Held"` // queries
	CallsInFlight Level         `json:"Out"`  // part calls
}

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
