package policy

// What an instance remembers: its records, by how long they live, and how their states change by the tables.

// state and input are those of the two tables in policy.go; a part and a query have states of their own.
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

// indexRow is what differs by index.
type indexRow struct {
	soft, hard, value, lateValue    float64 // deadlines, gain, and its share after the soft one
	required, minimum, partialValue float64
	effect                          Effect
	faultCost                       float64 // what a fault of a backend adds to its cost
	dedupWindow                     float64
	secondStep                      int
	clientTimeout, timeoutVotes     float64 // the time that most tries give, and how many more than others
	meanWork                        float64 // mean hint of a part
}

// rule is a row of a table: in one of these states, on one of these inputs, go to the next state and do this.
type rule[T any] struct {
	state state
	on    input
	next  state
	do    func(*Aggregator, T)
}

func transition[T any](m *Aggregator, table []rule[T], it T, at *state, on input) {
	for i := range table {
		if r := &table[i]; r.state&*at != 0 && r.on&on != 0 {
			*at = r.next
			r.do(m, it)
			return
		}
	}
}

func (m *Aggregator) applyToSubquery(p *subquery, on input) {
	transition(m, subqueryTable, p, &p.state, on)
}

func (m *Aggregator) applyToQuery(lk *query, on input) {
	lk.partial = lk.partial || on == onPartial
	transition(m, queryTable, lk, &lk.state, on)
}

// call lives as long as one part call.
type call struct {
	subquery   *subquery
	no         CallNo
	backend    *backend
	sent       float64
	shared     *sharedCall
	canceled   bool    // taken back already
	idleBefore float64 // how long nothing had gone to or come from its backend
}

// trip is what travels to one backend in one step; where parts share calls it is what is counted.
type sharedCall struct{ step, subqueries, live int }

// applyToSubquery lives until its query is answered, or longer while a call of it is out.
type subquery struct {
	id            SubqueryID
	query         *query
	shard         ShardID
	weight        float64
	size          float64
	state         state
	assigned      *backend // where it is bound
	avoid         *backend // where its last call came to nothing
	calls         []*call
	attempts      int
	firstSent     float64 // time of the first call
	executed      bool    // some call of it may have run
	retryReserved bool    // a further call is promised to it
	draw          float64
	pin           *PinOverride // where operators pin it, as of so many changes of pins and lists
	pinBackend    *backend     // that one; nil where nobody has its number
	pinsVersion   int
}

// mayHaveExecuted tells whether some call of p may have run or may yet.
func (p *subquery) mayHaveExecuted() bool { return p.executed || len(p.calls) > 0 }

type query struct {
	id                              QueryID
	no                              QueryNo
	index                           IndexID
	state                           state
	overQuota                       bool // past its customer's share
	partial                         bool // an answer of it was not whole
	firstStepDone                   bool // its first step is answered
	soft                            float64
	deadline                        float64
	expected                        int
	required                        float64 // weight that makes this step whole
	subqueries                      []*subquery
	answeredWeight, abandonedWeight float64 // weights
	brokenCalls                     int     // calls of it that ended with their backend
	anyAnswered                     bool    // some part was answered
	unfinished                      int     // parts neither in nor lost
	assignments                     []assignment
	size                            float64
	zones                           *Zones // where its parts may go
}

type assignment struct {
	backend    *backend
	subqueries int
}

// backend lives as long as the list names it, and on, as its calls do; the next change to the list ends it.
type backend struct {
	id                 BackendID
	location           LocationID
	ready              bool
	removed            bool    // the list no longer names it
	started            float64 // last start, as told or suspected; far past if never
	latency            float64 // smoothed; 0 while unheard
	latencyAt          float64 // its last change
	answeredAt         float64
	aliveAt            float64 // last answer to a call or a probe
	unansweredSince    float64 // when it was first asked or called since; 0 if it was not
	probedAt           float64 // last probe
	probeFailed        bool    // a probe has failed since
	lastUsedAt         float64
	window             float64
	narrowedAt         float64
	callsInFlight      int // own calls out
	callsPending       int
	queue              float64 // scratch of the order
	calls              []*call
	shared             *sharedCall
	faults             []decayingMean // by index
	locationFaults     []decayingMean // the same of all at its location
	unreachableUntil   float64
	unreachableBackoff float64
	probing            bool
	connectFailed      bool            // a connect has failed since it was last heard
	slowStartWork      []sentWork      // while cold
	draw               float64         // with that of a part, decides whether it may go there while cold, or weighed
	overrides          []indexOverride // by index, what operators override; nil where they do not
	excluded           bool            // out of every index
	relocated          bool            // the list has named another location under its number
	peerLatency        decaying        // times the usual latency that others found here, until at
	withheld           times           // until when each call that a weight kept away would have been out here
	diverted           times           // and where it is out instead
}

// scope is what operators override of a backend for one index.
type indexOverride struct {
	excluded bool
	weight   float64
}

// pinKey is where a shard of an index is pinned to.
type pinKey struct {
	shard ShardID
	index IndexID
}

type sentWork struct{ at, work float64 }

// customer and what follows live as long as the instance.
type customer struct{ tokens, at float64 }

// Aggregator is one instance.
type Aggregator struct {
	settings        Settings
	indexes         []indexRow
	customers       []customer
	now             float64
	step            int
	random          pcg
	actions         []Action
	backends        map[BackendID]*backend
	fleet           []*backend   // in the order of first naming, so that nothing hangs on a map's
	holdersByCell   [][]*backend // by cell at which a shard begins
	queries         map[QueryNo]*query
	numbers         map[QueryID]QueryNo
	subqueries      map[SubqueryID]*subquery
	openQueries     []*query // in order of arrival
	sendOrder       []*query
	orderStale      bool
	averageLatency  float64 // latency of heard backends; 0 while none is
	usualLatency    float64
	meanHint        float64
	longestSoft     float64
	shortestSoft    float64
	topValue        float64
	locationFaults  map[LocationID][]decayingMean // share of faults by index
	crashShare      decayingMean                  // share of calls that ended with their backend
	unhealthyShare  decayingMean                  // share of calls that fail or crawl
	recentLatencies decayingMean                  // latency of late, over all backends
	probesQueue     bool                          // probes wait in the backends' queues
	idleLosses      decaying                      // calls lost after a pause, less those answered
	idleLimit       float64                       // a connection idle for longer may be dead
	receivedTimes   []float64                     // times of what the budget counts as taken
	retryTimes      []float64                     // and as further calls
	retriesReserved int
	pins            map[pinKey]*PinOverride
	pinsVersion     int  // counts their changes
	ignoreWeights   bool // costs are those without weights
	listBackoff     float64
	listPollAt      float64 // when to ask next
}
