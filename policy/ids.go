package policy

// Each kind of id is a type of its own. Ids carry no meaning beyond identity.
type (
	// QueryID names a query.
	QueryID uint64
	// QueryNo numbers the queries of a client.
	QueryNo int64
	// SubqueryID names a subquery of a query.
	SubqueryID uint64
	// BackendID names a backend.
	BackendID uint32
	// IndexID names an index.
	IndexID int
	// CustomerID names a customer.
	CustomerID int
	// LocationID names a location.
	LocationID int
	// ShardID names a shard.
	ShardID int
	// CellID names a cell of the layout of shards on backends.
	CellID int
	// CallNo numbers the calls of a subquery.
	CallNo int
	// AggregatorNo numbers the aggregators.
	AggregatorNo int
	// TimerID names a timer.
	TimerID int
)
