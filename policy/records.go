package policy

// Records of an instance and the state machines of queries and subqueries.

// state is a state of a subquery or of a query. The transition tables are in step.go.
type state uint16

const (
	statePending state = 1 << iota
	stateInFlight
	stateAnswered
	stateAbandoned
	stateClosed
	stateFirstStep // the first of a query's two steps
	stateLastStep
	stateEnded
)

// input is an input of the state machine of a subquery or of a query.
type input uint16

const (
	onSend input = 1 << iota
	onAbandon
	onAnswer
	onRetry
	onClose
	onComplete
	onPartial
	onReject
	onDisconnect
)

// indexState contains the settings and running statistics of an index.
type indexState struct {
	softDeadline, hardDeadline, value, lateValue float64 // deadlines in seconds from arrival; value of an answer; share of it after the soft deadline
	requiredWeight, minimumWeight, partialValue  float64
	effect                                       Effect
	faultCost                                    float64 // relative cost that a fault share of 1 adds to a backend
	dedupWindow                                  float64
	secondStep                                   int
	clientTimeout, timeoutVotes                  float64 // timeout that most client attempts state; its lead in votes
	meanWork                                     float64 // mean work hint of a subquery
}

// transition is a row of a state machine's table. In one of the states from, on one of the inputs on, the state becomes to
// and do is called.
type transition[T any] struct {
	from state
	on   input
	to   state
	do   func(*Aggregator, T)
}

// applyInput applies an input to a state by the first matching transition.
func applyInput[T any](a *Aggregator, table []transition[T], item T, current *state, on input) {
	for i := range table {
		if r := &table[i]; r.from&*current != 0 && r.on&on != 0 {
			*current = r.to
			r.do(a, item)
			return
		}
	}
}

func (a *Aggregator) applyToSubquery(sub *subquery, on input) {
	applyInput(a, subqueryTable, sub, &sub.state, on)
}

func (a *Aggregator) applyToQuery(q *query, on input) {
	q.partial = q.partial || on == onPartial
	applyInput(a, queryTable, q, &q.state, on)
}

// call is a call in flight.
type call struct {
	subquery   *subquery
	number     CallNumber
	backend    *backend
	sentAt     float64
	shared     *sharedCall
	canceled   bool    // a cancellation was emitted
	idleBefore float64 // seconds for which the backend had not been used when the call was sent
}

// sharedCall is a call that carries several subqueries of one step to a backend. It counts as one call in flight.
type sharedCall struct{ step, subqueries, unfinished int }

// subquery is kept until its query is answered and no call of it is in flight.
type subquery struct {
	id                SubqueryID
	query             *query
	shard             ShardID
	weight            float64
	size              float64
	state             state
	backend           *backend // the backend that it is pending for
	lastFailedBackend *backend // the backend on which its last call failed
	calls             []*call
	attempts          int
	firstSentAt       float64      // send time of the first call
	maybeExecuted     bool         // some call that has ended may have been executed
	retryReserved     bool         // a retry after a cancellation is already charged to the retry budget
	draw              float64      // random number in [0, 1), for pins, weights and slow start
	pin               *PinOverride // the pin that applies to it, as of pinsVersion
	pinnedBackend     *backend     // the pin's backend; nil if it is unknown
	pinsVersion       int
}

// mayHaveExecuted reports whether some call of sub may have been executed or may still be executed.
func (sub *subquery) mayHaveExecuted() bool { return sub.maybeExecuted || len(sub.calls) > 0 }

// query is kept until it ends with an answer or a rejection, or until its client disconnects.
type query struct {
	id                              QueryID
	number                          QueryNumber
	index                           IndexID
	state                           state
	overQuota                       bool // its customer exceeds the quota
	partial                         bool // an answer to it was incomplete
	firstStepDone                   bool // its first step was answered
	softDeadline                    float64
	deadline                        float64
	expectedSubqueries              int
	requiredWeight                  float64 // weight of answered subqueries that completes this step
	subqueries                      []*subquery
	answeredWeight, abandonedWeight float64
	brokenCalls                     int  // calls that broke, possibly by a crash of their backend
	anyAnswered                     bool // some call was answered
	openSubqueries                  int  // subqueries that are neither answered nor abandoned
	assignments                     []assignment
	pendingCalls                    float64 // number of calls pending for it
	zones                           *Zones  // locations that may serve it
}

// assignment is the number of a query's subqueries that are pending for a backend.
type assignment struct {
	backend    *backend
	subqueries int
}

// backend is kept while the list contains it or calls to it are in flight. The next change of the list deletes it.
type backend struct {
	id                 BackendID
	location           LocationID
	ready              bool
	removed            bool    // the list no longer contains it
	startedAt          float64 // time of its last listed or suspected start; minus infinity if unknown
	latency            float64 // smoothed latency in seconds; 0 before the first answer
	latencyUpdatedAt   float64 // time of the last change of latency
	answeredAt         float64
	aliveAt            float64 // time of the last answer to a call or a probe
	unansweredSince    float64 // time of the first call or probe after that answer; 0 if there was none
	probedAt           float64 // time of the last probe
	probeFailed        bool    // a probe has failed after the last answer
	lastUsedAt         float64
	window             float64
	windowShrunkAt     float64
	callsInFlight      int // calls of this aggregator; a shared call counts once
	callsPending       int
	projectedQueue     float64 // temporary value of reorder
	calls              []*call
	shared             *sharedCall
	faults             []decayingMean // by index
	locationFaults     []decayingMean // shared by all backends of its location
	unreachableUntil   float64
	unreachableBackoff float64
	probing            bool
	connectFailed      bool            // a connection attempt has failed since its last answer
	slowStartWork      []sentWork      // work sent during slow start
	draw               float64         // random number in [0, 1); added to a subquery's draw for slow start and weights
	overrides          []indexOverride // by index; nil if there are none
	excluded           bool            // excluded from all indexes
	relocated          bool            // the list has changed its location
	peerLatency        decaying        // multiple of the average latency that peers observed; valid until its time
	divertedOut        timestamps      // expected ends of the calls that its weight diverted to siblings
	divertedIn         timestamps      // expected ends of the calls that siblings' weights diverted to it
}

// indexOverride is the operators' override of a backend for one index.
type indexOverride struct {
	excluded bool
	weight   float64
}

// pinKey identifies the shard of an index that a pin applies to.
type pinKey struct {
	shard ShardID
	index IndexID
}

// sentWork is work that was sent to a backend in slow start.
type sentWork struct{ at, work float64 }

// customer is the token bucket of a customer's quota.
type customer struct{ tokens, at float64 }

// Aggregator is an instance of the policy. Only Step changes its state. It is not safe for concurrent use.
type Aggregator struct {
	settings              Settings
	indexes               []indexState
	customers             []customer
	now                   float64
	step                  int
	random                pcg
	actions               []Action
	backends              map[BackendID]*backend
	orderedBackends       []*backend   // in the order of first listing, as no decision may depend on the order of a map
	replicasByCell        [][]*backend // replicas of the shards of each cell
	queries               map[QueryNumber]*query
	queryNumbers          map[QueryID]QueryNumber
	subqueries            map[SubqueryID]*subquery
	openQueries           []*query // in order of arrival
	sendOrder             []*query
	sendOrderStale        bool
	averageLatency        float64 // mean latency of usable backends; 0 before the first answer
	medianLatency         float64 // running median of the latency of all answers
	meanWorkHint          float64
	longestSoftDeadline   float64
	shortestSoftDeadline  float64
	maxQueryValue         float64
	locationFaults        map[LocationID][]decayingMean // shares of faults, by index
	crashShare            decayingMean                  // share of calls that broke or failed to connect
	unhealthyShare        decayingMean                  // share of calls that failed or were slow
	recentLatencies       decayingMean                  // latencies of recent answers of all backends
	probesQueue           bool                          // probes wait in the queues of the backends
	idleConnectionLosses  decaying                      // calls lost on idle connections, less a credit for those answered
	maxConnectionIdleTime float64                       // a connection that was idle for longer may be dead
	receivedTimes         []float64                     // receipt times of queries and subqueries, for the retry budget
	retryTimes            []float64                     // send times of retries, for the retry budget
	retriesReserved       int
	pins                  map[pinKey]*PinOverride
	pinsVersion           int  // number of changes of pins and of the list
	ignoreWeights         bool // set while chooseByWeight calculates costs without weights
	listBackoff           float64
	listPollAt            float64 // time of the next request for the list
}
