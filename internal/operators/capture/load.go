package capture

import (
	"cmp"
	"slices"
)

// Ends counts how lookups ended.
type Ends struct {
	Satisfied int64 // within the soft deadline
	Late      int64 // answered after it
	Nacked    int64
	Aborted   int64
	Gone      int64 // the client left
	Full      int64 // the most held was held
}

func (e *Ends) add(o Ends) {
	e.Satisfied += o.Satisfied
	e.Late += o.Late
	e.Nacked += o.Nacked
	e.Aborted += o.Aborted
	e.Gone += o.Gone
	e.Full += o.Full
}

// Load is what one customer asked of one index.
type Load struct {
	Index, Customer string
	Lookups         int64
	Resent          int64 // marked as tries again by their clients
	Parts           int64
	Hint            float64 // work hinted at, seconds in all
	Ends            Ends
}

// IndexLoad is what came of an index.
type IndexLoad struct {
	Index   string
	Parts   map[int]int64 // lookups by their number of parts
	Latency Hist          // of answered lookups
}

// ShardLoad is how often a shard was asked for.
type ShardLoad struct {
	Index string
	Shard int
	Parts int64
}

// SearcherLoad is what came of the part calls of one index to one searcher.
type SearcherLoad struct {
	Searcher, Location, Index string
	Calls                     int64
	Failed                    int64 // errors, broken and lost calls
	TurnedAway                int64
	Latency                   Hist
	Alone                     Hist    // of calls that found nothing else of this mixer there: near the work of a part
	Reports                   int64   // load reports heard
	Service                   float64 // sum of the service times that they told, seconds
	Util                      float64 // sum of the use that they told
}

// Level is a figure over time.
type Level struct {
	Mean float64
	Most int64
}

// Interval is what one or several mixers saw in a span of time.
type Interval struct {
	At, Span  float64 // Unix seconds, seconds
	Mixers    []string
	Loads     []Load
	Indexes   []IndexLoad
	Shards    []ShardLoad
	Searchers []SearcherLoad
	Held, Out Level // lookups and part calls
}

func (i *Interval) sort() {
	slices.SortFunc(i.Loads, func(x, y Load) int {
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Customer, y.Customer))
	})
	slices.SortFunc(i.Indexes, func(x, y IndexLoad) int { return cmp.Compare(x.Index, y.Index) })
	slices.SortFunc(i.Shards, func(x, y ShardLoad) int { return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Shard, y.Shard)) })
	slices.SortFunc(i.Searchers, func(x, y SearcherLoad) int {
		return cmp.Or(cmp.Compare(x.Searcher, y.Searcher), cmp.Compare(x.Index, y.Index))
	})
}
