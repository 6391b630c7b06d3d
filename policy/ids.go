package policy

// Each kind of identifier has its own type. An identifier carries no information beyond identity.
type (
	// QueryID identifies a query.
	QueryID uint64
	// QueryNumber is the sequence number of a client's query.
	QueryNumber int64
	// SubqueryID identifies a subquery.
	SubqueryID uint64
	// BackendID identifies a backend.
	BackendID uint32
	// IndexID identifies an index.
	IndexID int
	// CustomerID identifies a customer.
	CustomerID int
	// LocationID identifies a location.
	LocationID int
	// ShardID identifies a shard.
	ShardID int
	// CellID identifies a cell in the placement of shards on backends.
	CellID int
	// CallNumber is the sequence number of a subquery's call.
	CallNumber int
	// AggregatorNumber is the sequence number of an aggregator.
	AggregatorNumber int
	// TimerID identifies a timer.
	TimerID int
)
