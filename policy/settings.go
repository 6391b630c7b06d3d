package policy

// Effect states whether a subquery may be executed more than once.
type Effect uint8

// The effects of a repeated execution.
const (
	Idempotent   Effect = iota // a repeat is always harmless
	Deduplicated               // a repeat is harmless within DedupS, while backends drop repeats
	AtMostOnce                 // a repeat is not allowed
)

// Settings are the settings of an instance. Times are in seconds. A zero value means that a setting is not stated.
type Settings struct {
	Seed           uint64
	Self           AggregatorNumber
	Aggregators    int
	Location       LocationID
	StepInterval   float64 // least time between two calls of Step
	Indexes        []IndexSettings
	Customers      []CustomerSettings
	OverQuotaValue float64 // value of a query over its customer's quota, as a share of its usual value
	ListOnRequest  bool    // the list of backends is sent on request only
	Layout         Layout
	Limits         Limits
	Rules          Rules
	Prices         Prices
}

// IndexSettings are the settings of an index.
type IndexSettings struct {
	Soft, Hard        float64 // deadlines, in seconds from arrival
	Value, LateValue  float64 // value of an answer; share of it that remains after the soft deadline
	Effect            Effect
	DedupS            float64 // seconds for which backends drop repeats of a deduplicated subquery
	Required, Minimum float64 // shares of the weight that a complete answer and a partial answer need
	PartialValue      float64 // value of a partial answer, relative to its share of the weight
	SecondStep        int     // maximum number of subqueries in the second step; 0 for no second step
}

// CustomerSettings describe one customer's share of the service.
type CustomerSettings struct {
	Share, QuotaPerSecond float64
}

// Layout describes which backends hold a shard: those of the cells shard, shard+1, ... shard+Width-1, modulo Cells.
type Layout struct {
	Cells, Width      int
	SubqueriesPerCall int     // subqueries that may share one call
	CallCost          float64 // work of a call itself, in the unit of work hints
}

// Limits describe what the deployment permits.
type Limits struct {
	Cancel, Probe, PeerMessages, Hedge, RetryAfter bool
	MaxAttempts, MaxPending                        int
	MaxRetryAfter, ConnectTimeout                  float64
}

// Rules are the parameters of the six rules of docs/design.md. Fields ending in S are in seconds.
type Rules struct {
	AnswerSlack, ListPollEvery                     float64
	SlowStartShare, SlowStartS                     float64
	DrainGrace                                     float64
	OverloadMultiple, OverloadWindowS              float64
	RetryBudget                                    bool
	RetryBudgetMin, RetryBudgetRatio, RetryBudgetS float64
}

// Prices are the costs deducted from the value of the service. Each price is multiplied by its rate.
type Prices struct {
	CrossLocation, Waste, Probe, LateFailure, Handshake, Connection, Peer, Membership float64
}
