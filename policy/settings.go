package policy

// Effect tells whether a subquery may be executed twice.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // harmless at any time
	Fingerprinted               // harmless within DedupS, in which backends drop repeats
	OnceOnly                    // not allowed
)

// Settings are an instance's settings. Times are in seconds; a zero value means not stated.
type Settings struct {
	Seed          uint64
	Self          AggregatorNo
	Aggregators   int
	Location      LocationID
	Step          float64 // least time between two calls of Step
	Indexes       []IndexSettings
	Customers     []CustomerSettings
	OverShare     float64 // value of a query over its customer's quota, as a share of its usual value
	ListOnRequest bool    // the list comes only on request
	Layout        Layout
	Limits        Limits
	Rules         Rules
	Prices        Prices
}

// IndexSettings are the settings of an index.
type IndexSettings struct {
	Soft, Hard        float64 // deadlines, in seconds from arrival
	Value, LateValue  float64 // of an answer; share of it after the soft deadline
	Effect            Effect
	DedupS            float64 // how many seconds backends drop repeats of a fingerprinted subquery
	Required, Minimum float64 // shares of the weight for a complete answer, and for any
	PartialValue      float64 // of a partial answer, by its share of the weight
	SecondStep        int     // most subqueries of the second step, 0 for none
}

// CustomerSettings describe one customer's share of the service.
type CustomerSettings struct {
	Share, QuotaPerS float64
}

// Layout says which backends hold a shard: those of cells shard, shard+1, ... shard+Width-1, modulo Cells.
type Layout struct {
	Cells, Width   int
	CallSubqueries int // subqueries that may share one call
	CallCost       float64
}

// Limits are what the deployment permits.
type Limits struct {
	Cancel, Probe, PeerMessages, Hedge, RetryAfter bool
	MaxAttempts, MaxPending                        int
	MaxRetryAfter, ConnectTimeout                  float64
}

// Rules are the parameters of the six rules of docs/design.md. Fields ending in S are in seconds.
type Rules struct {
	AnswerSlack, ListPollEvery                    float64
	SlowStartShare, SlowStartS                    float64
	DrainGrace                                    float64
	CrashMultiple, CrashWindowS                   float64
	RetryBudget                                   bool
	RetryBudgetFree, RetryBudgetPer, RetryBudgetS float64
}

// Prices are deducted from the service's value, each times its rate.
type Prices struct {
	CrossLocation, Waste, Probe, LateFail, Handshake, Connection, Peer, Lists float64
}
