package policy

// The records of an instance, by how long they live, and the transitions of their states.

// state is a state of a subquery or of a query, and input an input of their state machines; the tables are in step.go.
type state uint16

const (
	statePending state = 1 << iota
	stateInFlight
	stateAnswered
	stateAbandoned
	stateClosed
	stateFirstStep // a query with a second step to come
	stateLastStep
	stateEnded
)

type input uint16

const (
	onSend input = 1 << iota
	onTooLate
	onAnswer
	onRetry
	onClose
	onComplete
	onPartial
	onGiveUp
	onDisconnect
)

// indexRow has the settings and measures of an index.
type indexRow struct {
	soft, hard, value, lateValue    float64 // deadlines in seconds from arrival, value, and the value's share after the soft one
	required, minimum, partialValue float64
	effect                          Effect
	faultCost                       float64 // what a fault of a backend adds to its cost, as a multiple
	dedupWindow                     float64
	secondStep                      int
	clientTimeout, timeoutVotes     float64 // the timeout of most clients' attempts, and its lead in votes
	meanWork                        float64 // mean hint of a subquery
}

// rule is a row of a state machine's table: in one of these states, on one of these inputs, go to the next state and do
// the effect.
type rule[T any] struct {
	state state
	on    input
	next  state
	do    func(*Aggregator, T)
}

// transition applies an input to a state by the first rule that matches.
func transition[T any](a *Aggregator, table []rule[T], it T, at *state, on input) {
	for i := range table {
		if r := &table[i]; r.state&*at != 0 && r.on&on != 0 {
			*at = r.next
			r.do(a, it)
			return
		}
	}
}

func (a *Aggregator) applyToSubquery(sub *subquery, on input) {
	transition(a, subqueryTable, sub, &sub.state, on)
}

func (a *Aggregator) applyToQuery(q *query, on input) {
	q.partial = q.partial || on == onPartial
	transition(a, queryTable, q, &q.state, on)
}

// call is a call in flight.
type call struct {
	subquery   *subquery
	no         CallNo
	backend    *backend
	sent       float64
	shared     *sharedCall
	canceled   bool    // a cancellation was emitted
	idleBefore float64 // seconds since the backend was last used, when the call was sent
}

// sharedCall is a call with which several subqueries of one step travel to a backend; it counts as one.
type sharedCall struct{ step, subqueries, live int }

// subquery lives until its query is answered, or longer while a call of it is in flight.
type subquery struct {
	id            SubqueryID
	query         *query
	shard         ShardID
	weight        float64
	size          float64
	state         state
	assigned      *backend // where it is bound
	avoid         *backend // where its last call failed
	calls         []*call
	attempts      int
	firstSent     float64 // time of the first call
	executed      bool    // some call of it may have been executed
	retryReserved bool    // a retry after a cancellation is charged to the budget already
	draw          float64
	pin           *PinOverride // where operators pin it, as of pinsVersion
	pinBackend    *backend     // the pin's backend; nil where there is none of that number
	pinsVersion   int
}

// mayHaveExecuted tells whether some call of sub may have been executed or may be yet.
func (sub *subquery) mayHaveExecuted() bool { return sub.executed || len(sub.calls) > 0 }

// query lives until its last answer, or until its client disconnects.
type query struct {
	id                              QueryID
	no                              QueryNo
	index                           IndexID
	state                           state
	overQuota                       bool // its customer is over its quota
	partial                         bool // an answer of it was not complete
	firstStepDone                   bool // its first step is answered
	soft                            float64
	deadline                        float64
	expected                        int
	required                        float64 // weight that completes this step
	subqueries                      []*subquery
	answeredWeight, abandonedWeight float64
	brokenCalls                     int  // calls that broke, maybe by a crash of their backend
	anyAnswered                     bool // some call was answered
	unfinished                      int  // subqueries neither answered nor abandoned
	assignments                     []assignment
	size                            float64
	zones                           *Zones // locations that may serve it
}

// assignment counts the subqueries of a query that are pending for a backend.
type assignment struct {
	backend    *backend
	subqueries int
}

// backend lives as long as the list names it and as calls to it are in flight; a later change of the list removes it.
type backend struct {
	id                 BackendID
	location           LocationID
	ready              bool
	removed            bool    // the list no longer names it
	started            float64 // last start, as listed or suspected; minus infinity if unknown
	latency            float64 // smoothed, in seconds; 0 before the first answer
	latencyAt          float64 // time of its last change
	answeredAt         float64
	aliveAt            float64 // last answer to a call or a probe
	unansweredSince    float64 // time of the first call or probe since; 0 if there was none
	probedAt           float64 // time of the last probe
	probeFailed        bool    // a probe has failed since
	lastUsedAt         float64
	window             float64
	narrowedAt         float64
	callsInFlight      int // this aggregator's, a shared one counted once
	callsPending       int
	queue              float64 // scratch value of reorder
	calls              []*call
	shared             *sharedCall
	faults             []decayingMean // by index
	locationFaults     []decayingMean // shared by all backends of its location
	unreachableUntil   float64
	unreachableBackoff float64
	probing            bool
	connectFailed      bool            // a connect has failed since its last answer
	slowStartWork      []sentWork      // while in slow start
	draw               float64         // random; with a subquery's, decides on slow start and weights
	overrides          []indexOverride // by index; nil where there are none
	excluded           bool            // from every index
	relocated          bool            // the list has named another location for its number
	peerLatency        decaying        // multiple of the usual latency that peers observed; it counts until at
	withheld           times           // expected end of each call that a weight diverted from here
	diverted           times           // and of each call that was diverted to here
}

// indexOverride is what operators override of a backend for one index.
type indexOverride struct {
	excluded bool
	weight   float64
}

// pinKey names what a pin applies to.
type pinKey struct {
	shard ShardID
	index IndexID
}

// sentWork is work that was sent to a backend in slow start.
type sentWork struct{ at, work float64 }

// customer is the token bucket of a customer's quota.
type customer struct{ tokens, at float64 }

// Aggregator is an instance of the policy: a state machine that only Step moves. It is not safe for concurrent use.
type Aggregator struct {
	settings        Settings
	indexes         []indexRow
	customers       []customer
	now             float64
	step            int
	random          pcg
	actions         []Action
	backends        map[BackendID]*backend
	fleet           []*backend   // in the order of first listing: no decision may depend on a map's order
	holdersByCell   [][]*backend // replicas by a shard's first cell
	queries         map[QueryNo]*query
	numbers         map[QueryID]QueryNo
	subqueries      map[SubqueryID]*subquery
	openQueries     []*query // in order of arrival
	sendOrder       []*query
	orderStale      bool
	averageLatency  float64 // mean latency of usable backends; 0 before the first answer
	usualLatency    float64 // running median of all answers
	meanHint        float64
	longestSoft     float64
	shortestSoft    float64
	topValue        float64
	locationFaults  map[LocationID][]decayingMean // share of faults by index
	crashShare      decayingMean                  // share of calls that broke or could not connect
	unhealthyShare  decayingMean                  // share of calls that failed or were slow
	recentLatencies decayingMean                  // of all backends
	probesQueue     bool                          // probes wait in the backends' queues
	idleLosses      decaying                      // calls lost on idle connections, less those answered
	idleLimit       float64                       // a connection idle for longer may be dead
	receivedTimes   []float64                     // of queries and subqueries, for the retry budget
	retryTimes      []float64                     // of retries, for the retry budget
	retriesReserved int
	pins            map[pinKey]*PinOverride
	pinsVersion     int  // counts changes of pins and of the list
	ignoreWeights   bool // while chooseByWeight finds the cost without weights
	listBackoff     float64
	listPollAt      float64 // time of the next request of the list
}
